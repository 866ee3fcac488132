package jobcontrol

import (
	"cmp"
	"slices"

	"github.com/fulmarloft/fulmarloft/internal/scheduling/jobwork"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/taskname"
)

const (
	// rateWindowMS is the minimum length of the window over which a run's rate of progress is measured, so that a VM that has slowed down or recovered is noticed during a run.
	rateWindowMS = 1500
	// minRestMS is the rest below which a restart can't pay; it spares most runs the comparison.
	minRestMS = 300
	// maxMoves is how often a task is moved off slow VMs; more would make a task that is slow everywhere run forever.
	maxMoves = 2
	// maxMovesPerPass bounds the runs that are stopped in one planning pass, since what follows shows whether the VMs or the work are slow.
	maxMovesPerPass = 8
	// moveIntervalMS is the interval between passes that look for runs to move; progress becomes known no more often.
	moveIntervalMS = 200
	// learnIntervalMS is the interval at which a run whose projected duration changes by less than one projectionDivisor-th is compared with others; busy VMs list their runs several times a second.
	learnIntervalMS   = 1000
	projectionDivisor = 20
	// minExactPercent is the progress below which up to one more percent is assumed: progress comes in whole percent, so 1 may stand for nearly 2.
	minExactPercent = 5
	// minObservedMS is how long a run's progress must have been watched before it is compared.
	minObservedMS = 300
)

// progressPoint is the progress of a run at a time.
type progressPoint struct {
	atMS    int64
	percent int64
}

// straggler is a run with what is left of it on its VM and how long its task takes elsewhere.
type straggler struct {
	rn         *run
	restMS     int64
	expectedMS int64
}

// paced reports whether what was learned of VMs and work decides about a step: it is asked for by an objective of its queue, which isn't public, and by weights of teams.
func (ct *Controller) paced(st *step) bool {
	if !ct.weighted || st.row.GetGang() || st.row.GetLasting() || st.row.GetFills() {
		return false
	}
	qu := ct.queueOf(st.oc.jb)
	return jobwork.HasObjective(qu)
}

// WorkFactor returns how long a queue's tasks take relative to their estimates, 1 while too few have ended under this owner.
func (ct *Controller) WorkFactor(queue string) float64 { return ct.pace.Factor(queue) }

// SlowVMs returns the VMs that are slow by comparison, in order.
func (ct *Controller) SlowVMs() []string { return ct.pace.SlowVMs() }

// name returns the name under which the step's durations are learned.
func (st *step) name() string {
	if st.paceKey == "" {
		st.paceKey = taskname.New(st.oc.jb.row.GetId(), st.oc.number, st.number, 0).String()
	}
	return st.paceKey
}

// beginProgress records the first point of a run's progress. That of a run that continues from saved progress isn't known before its VM lists it.
func (rn *run) beginProgress(nowMS int64) {
	rn.earlier = progressPoint{nowMS, rn.percent}
	rn.recent, rn.listed = rn.earlier, rn.earlier
	if !rn.fromStart && rn.task != nil && rn.task.checkpoint != "" {
		rn.savedPercent = rn.percent
	}
}

// listProgress records the progress that the VM has just listed, and moves the window over which the run's rate is measured.
func (rn *run) listProgress(nowMS int64) {
	rn.listed = progressPoint{nowMS, rn.percent}
	if nowMS-rn.recent.atMS >= rateWindowMS {
		rn.earlier, rn.recent = rn.recent, rn.listed
	}
}

// observed returns how long the run's recent progress was watched, and how much it made.
func (rn *run) observed() (tookMS, percent int64) {
	return rn.listed.atMS - rn.earlier.atMS, rn.listed.percent - rn.earlier.percent
}

// restMS returns how long what is left of the run takes at its recent rate, at the least.
func (rn *run) restMS(nowMS int64) int64 {
	tookMS, percent := rn.observed()
	if percent < minExactPercent {
		percent = max(percent, 0) + 1
	}
	return tookMS*(fullPercent-rn.percent)/percent - (nowMS - rn.listed.atMS)
}

// learns reports whether a run shows the speed of its VM.
func (ct *Controller) learns(rn *run) bool {
	return rn.st != nil && rn.phase == phaseRunning && rn.earlier.atMS > 0 && !rn.st.oc.jb.ended() && rn.st.done < rn.st.taskCount() && ct.paced(rn.st)
}

// learnProgress learns from the progress of a run that its VM lists.
func (ct *Controller) learnProgress(rn *run, nowMS int64) {
	if rn.phase == phaseRunning && rn.earlier.atMS == 0 {
		rn.beginProgress(nowMS)
	}
	if !ct.learns(rn) {
		return
	}
	rn.listProgress(nowMS)
	projectedMS, ok := ct.pace.ProjectedMS(rn.observed())
	if !ok || !rn.projectionChanged(projectedMS, nowMS) {
		return
	}
	changed := ct.pace.RecordProgress(rn.st.oc.jb.row.GetQueue(), rn.st.name(), rn.index, rn.vm.id, rn.st.expectedTaskMS(), projectedMS, rn.startedMS, nowMS)
	ct.logPace(rn.vm, changed)
}

// projectionChanged reports whether a run's projected duration should be compared again: it differs clearly from the last one, or that is old.
func (rn *run) projectionChanged(projectedMS, nowMS int64) bool {
	differenceMS := max(projectedMS-rn.projectedMS, rn.projectedMS-projectedMS)
	if differenceMS*projectionDivisor < rn.projectedMS && nowMS-rn.projectedAtMS < learnIntervalMS {
		return false
	}
	rn.projectedMS, rn.projectedAtMS = projectedMS, nowMS
	return true
}

// learnDone learns from the end of a run that was watched from its beginning.
func (ct *Controller) learnDone(rn *run) {
	if !ct.learns(rn) {
		return
	}
	nowMS := ct.ck.Now()
	ct.learnRetry(rn, nowMS)
	if !rn.fromStart {
		return
	}
	changed := ct.pace.RecordDone(rn.st.oc.jb.row.GetQueue(), rn.st.name(), rn.index, rn.vm.id, rn.st.expectedTaskMS(), rn.startedMS, nowMS)
	ct.logPace(rn.vm, changed)
}

// learnRetry learns from the end of a task that was moved as it was long on a VM of normal speed.
func (ct *Controller) learnRetry(rn *run, nowMS int64) {
	tk := rn.task
	if tk == nil || tk.longMS == 0 {
		return
	}
	tookMS, ok := nowMS-rn.startedMS, rn.fromStart
	if !ok {
		tookMS, ok = ct.pace.ProjectedMS(rn.observed())
	}
	if ok && 2*tookMS < tk.longMS {
		ct.pace.RetryHelped(rn.st.oc.jb.row.GetQueue())
	}
	tk.longMS = 0
}

func (ct *Controller) logPace(vm *vmState, changed bool) {
	switch {
	case !changed:
	case ct.pace.VMSlow(vm.id):
		ct.lg.Info("vm-slow", "vm", vm.id, "slow-percent", ct.pace.SlowPercent(vm.id))
	default:
		ct.lg.Info("vm-recovered", "vm", vm.id, "slow-percent", ct.pace.SlowPercent(vm.id))
	}
}

// forgetPace forgets how long the tasks of a job that has ended took.
func (ct *Controller) forgetPace(jb *job) {
	for _, oc := range jb.occurrences {
		for _, st := range oc.steps {
			ct.pace.ForgetStep(st.name())
		}
	}
}

// forgetVMPace forgets the speed of a VM that has restarted or is gone.
func (ct *Controller) forgetVMPace(id string) {
	if ct.pace.VMSlow(id) {
		ct.lg.Info("vm-pace-forgotten", "vm", id)
	}
	ct.pace.ForgetVM(id)
}

// expectedMS returns how long a run's task takes on a VM of normal speed, and whether enough is known to tell.
func (ct *Controller) expectedMS(rn *run) (int64, bool) {
	return ct.pace.ExpectedMS(rn.st.oc.jb.row.GetQueue(), rn.st.name(), rn.index, rn.vm.id, rn.st.expectedTaskMS())
}

// paceKnown reports whether what was learned tells if a run should move, so that its declared estimate doesn't matter.
func (ct *Controller) paceKnown(rn *run, nowMS int64) bool {
	if !ct.paced(rn.st) {
		return false
	}
	_, known := ct.expectedMS(rn)
	return known || ct.pace.VMSound(rn.vm.id, nowMS)
}

// straggler returns a run with its rest if it can be compared with a fresh run elsewhere.
func (ct *Controller) straggler(rn *run, nowMS int64) (straggler, bool) {
	tookMS, _ := rn.observed()
	restMS := rn.restMS(nowMS)
	if tookMS < minObservedMS || restMS < minRestMS || rn.vm.unresponsive || !ct.learns(rn) {
		return straggler{}, false
	}
	expectedMS, ok := ct.expectedMS(rn)
	return straggler{rn, restMS, expectedMS}, ok
}

func compareStragglers(one, other straggler) int {
	return cmp.Or(cmp.Compare(other.restMS, one.restMS), cmp.Compare(one.rn.key.task, other.rn.key.task))
}

// moveSlowRuns stops runs that would end much sooner elsewhere, where room is free after the waiting tasks have been placed. It holds that room for them, or starts the next run at once where the step allows duplicate runs.
func (ct *Controller) moveSlowRuns(bt *Batch, pools map[string][]*vmState, hr heldRoom, nowMS int64) {
	if !ct.weighted || nowMS < ct.nextMoveMS {
		return
	}
	ct.nextMoveMS = nowMS + moveIntervalMS
	var found []straggler
	for _, vm := range ct.vms {
		for _, rn := range vm.runs {
			if sg, ok := ct.movable(rn, nowMS); ok {
				found = append(found, sg)
			}
		}
	}
	slices.SortFunc(found, compareStragglers)
	for _, sg := range found[:min(len(found), maxMovesPerPass)] {
		vm := ct.chooseOtherVM(sg.rn, ct.fasterVMs(sg.rn, pools), nowMS)
		if vm == nil {
			continue
		}
		tk := sg.rn.task
		ct.moveRun(sg, nowMS)
		if ct.mayOverlap(sg.rn) {
			markReplaced(sg.rn, ct.detach(sg.rn))
			ct.planStart(bt, vm, tk, tk.run+1)
			continue
		}
		ct.moveTo(sg.rn, vm)
		hr.hold(vm, sg.rn.need)
	}
}

// mayOverlap reports whether the task of a run that is being stopped may start elsewhere before the run has ended.
func (ct *Controller) mayOverlap(rn *run) bool {
	return rn.st.row.GetDuplicates() && ct.mayStartMore() && !ct.batchFull() && ct.mayUse(rn.team, rn.capUse)
}

// movable returns a run as a straggler if moving it pays.
func (ct *Controller) movable(rn *run, nowMS int64) (straggler, bool) {
	if rn.task == nil || rn.task.moves >= maxMoves || rn.vm.leaving || rn.task.first() != nil {
		return straggler{}, false
	}
	if rn.st.row.GetDuplicates() && !ct.pace.VMSlow(rn.vm.id) && ct.lastTasks(rn.st, nowMS) {
		// It may get a second run, which loses nothing if the task proves to be long anywhere.
		return straggler{}, false
	}
	sg, ok := ct.straggler(rn, nowMS)
	if !ok || !ct.pace.MovePays(rn.st.oc.jb.row.GetQueue(), rn.vm.id, sg.expectedMS, sg.restMS, rn.percent, rn.savedPercent, nowMS) {
		return straggler{}, false
	}
	return sg, true
}

// fasterVMs returns the pools without the run's own VM and those that are slow too.
func (ct *Controller) fasterVMs(rn *run, pools map[string][]*vmState) map[string][]*vmState {
	service := rn.vm.reg.GetService()
	var out []*vmState
	for _, vm := range pools[service] {
		if vm != rn.vm && !vm.slow {
			out = append(out, vm)
		}
	}
	return map[string][]*vmState{service: out}
}

func (ct *Controller) moveRun(sg straggler, nowMS int64) {
	rn := sg.rn
	ct.lg.Info("slow-run-moved", "vm", rn.vm.id, "task", rn.key.task, "run", rn.key.run, "percent", rn.percent,
		"age-ms", nowMS-rn.startedMS, "rest-ms", sg.restMS, "expected-ms", sg.expectedMS)
	if ct.pace.VMSound(rn.vm.id, nowMS) {
		rn.task.longMS = nowMS - rn.startedMS + sg.restMS
		ct.pace.RetryBegun(rn.st.oc.jb.row.GetQueue(), nowMS)
	}
	rn.task.moves++
	rn.task.movedOffSlowVM = true
	rn.task.avoid = append(rn.task.avoid, rn.vm.id)
	ct.stop(rn)
}

// paceCost returns the base cost of a VM, with that of its slowness: a slow VM is chosen last, or first if one task is to show whether it has recovered.
func (vm *vmState) paceCost(base int64) int64 {
	switch {
	case !vm.slow:
		return base
	case vm.trialDue && len(vm.runs) == 0:
		return 0
	default:
		return base + slowVMCost
	}
}

// beginTrial records that a slow VM gets the task that is to show whether it has recovered.
func (ct *Controller) beginTrial(vm *vmState) {
	if vm.slow && vm.trialDue {
		vm.trialDue = false
		ct.pace.TrialBegun(vm.id, ct.ck.Now())
	}
}
