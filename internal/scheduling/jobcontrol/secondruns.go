package jobcontrol

import (
	"slices"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

const (
	// maxSecondRuns is how often a task gets a second run; one whose second runs fail or are stopped isn't helped by more.
	maxSecondRuns = 2
	// spareDivisor divides a pool's CPU capacity into the part that second runs leave free, so that jobs that arrive in bursts don't wait for them.
	spareDivisor = 3
)

// first returns the run of a task that goes on beside its second run, or nil. It was detached from the task, like a run on a silent VM, but isn't to be stopped before one of the two is done.
func (tk *task) first() *run {
	if len(tk.replaced) == 0 {
		return nil
	}
	for _, rn := range tk.replaced {
		if rn.phase == phaseRunning {
			return rn
		}
	}
	return nil
}

// stopFirst stops the run that goes on beside a task's second run.
func (ct *Controller) stopFirst(tk *task) {
	if rn := tk.first(); rn != nil {
		ct.stop(rn)
	}
}

// placeSecondRuns starts second runs of the last tasks of steps that allow duplicate runs, on VMs with room that no waiting task needs, and stops one of both runs where waiting tasks do need it.
func (ct *Controller) placeSecondRuns(bt *Batch, ready map[string][]candidate, pools map[string][]*vmState, nowMS int64) {
	if !ct.weighted || nowMS < ct.nextSecondMS || !ct.mayStartMore() {
		return
	}
	ct.nextSecondMS = nowMS + moveIntervalMS
	for service, pool := range pools {
		if ct.lacksRoom(ready[service], nowMS) {
			ct.yieldSecondRuns(pool, nowMS)
			continue
		}
		ct.startSecondRuns(bt, pools, service, nowMS)
	}
}

// lacksRoom reports whether a step among the candidates has tasks left that wait for room rather than for their team's cap.
func (ct *Controller) lacksRoom(list []candidate, nowMS int64) bool {
	return slices.ContainsFunc(list, func(cd candidate) bool {
		return cd.st.waiting(nowMS) && ct.mayUse(cd.st.oc.jb.row.GetTeam(), cd.st.capUse())
	})
}

// startSecondRuns starts the second runs of a service's pool that pay, those of the runs with the longest rest first.
func (ct *Controller) startSecondRuns(bt *Batch, pools map[string][]*vmState, service string, nowMS int64) {
	var found []straggler
	spareMilli := int64(0)
	for _, vm := range pools[service] {
		spareMilli += vm.free().CoresMilli() - vm.capacity().CoresMilli()/spareDivisor
	}
	for _, vm := range pools[service] {
		for _, rn := range vm.runs {
			if sg, ok := ct.duplicable(rn, nowMS); ok {
				found = append(found, sg)
			}
		}
	}
	slices.SortFunc(found, compareStragglers)
	for _, sg := range found {
		if ct.batchFull() || !ct.mayStartMore() {
			return
		}
		spareMilli -= sg.rn.need.CoresMilli()
		if spareMilli < 0 || !ct.mayUse(sg.rn.team, sg.rn.capUse) {
			continue
		}
		if vm := ct.chooseOtherVM(sg.rn, ct.fasterVMs(sg.rn, pools), nowMS); vm != nil {
			ct.startSecondRun(bt, sg, vm, nowMS)
		}
	}
}

// duplicable returns the only run of one of its step's last tasks as a straggler if a second run pays.
func (ct *Controller) duplicable(rn *run, nowMS int64) (straggler, bool) {
	tk := rn.task
	if tk == nil || tk.current != rn || !rn.st.row.GetDuplicates() || tk.secondRuns >= maxSecondRuns || tk.first() != nil || tk.notBeforeMS > nowMS {
		return straggler{}, false
	}
	if !ct.lastTasks(rn.st, nowMS) {
		return straggler{}, false
	}
	sg, ok := ct.straggler(rn, nowMS)
	if !ok || !ct.pace.SecondRunPays(rn.st.oc.jb.row.GetQueue(), rn.vm.id, sg.expectedMS, sg.restMS, rn.savedPercent, nowMS) {
		return straggler{}, false
	}
	return sg, true
}

// lastTasks reports whether the open tasks of a step are its last ones, and none of them waits.
func (ct *Controller) lastTasks(st *step, nowMS int64) bool {
	return ct.pace.LastTasks(st.taskCount()-st.done, st.taskCount()) && !st.waiting(nowMS)
}

// startSecondRun plans a second run of a task on a VM. The first one is stored with the task, as one that may go on beside the next, and counts on its VM and for its team until it has ended.
func (ct *Controller) startSecondRun(bt *Batch, sg straggler, vm *vmState, nowMS int64) {
	rn, tk := sg.rn, sg.rn.task
	ct.lg.Info("second-run-planned", "vm", vm.id, "task", rn.key.task, "run", tk.run+1, "first-vm", rn.vm.id, "percent", rn.percent,
		"age-ms", nowMS-rn.startedMS, "rest-ms", sg.restMS, "expected-ms", sg.expectedMS)
	tk.secondRuns++
	if tk.firstOnSoundVM = ct.pace.VMSound(rn.vm.id, nowMS); tk.firstOnSoundVM {
		ct.pace.RetryBegun(tk.job().row.GetQueue(), nowMS)
	}
	markReplaced(rn, ct.detach(rn))
	ct.planStart(bt, vm, tk, tk.run+1)
}

// learnSecondRun learns from the end of a task with two runs of which the second ended first.
func (ct *Controller) learnSecondRun(tk *task) {
	if tk.firstOnSoundVM {
		tk.firstOnSoundVM = false
		ct.pace.RetryHelped(tk.job().row.GetQueue())
	}
}

// yieldSecondRuns stops, for each task with two runs in a pool, the one with the longer rest.
func (ct *Controller) yieldSecondRuns(pool []*vmState, nowMS int64) {
	for _, vm := range pool {
		for _, rn := range vm.runs {
			if rn.task == nil || rn.phase != phaseRunning {
				continue
			}
			if first := rn.task.first(); first != nil {
				ct.yieldRun(rn, first, nowMS)
			}
		}
	}
}

// yieldRun stops the one of two runs of a task that would end later.
func (ct *Controller) yieldRun(second, first *run, nowMS int64) {
	rn := second
	if first.restMS(nowMS) > second.restMS(nowMS) {
		rn = first
	}
	ct.lg.Info("second-run-yielded", "vm", rn.vm.id, "task", rn.key.task, "run", rn.key.run, "percent", rn.percent)
	ct.stop(rn)
}

// replacedRunLost remembers a first run whose end isn't known, so that its failure counts if its VM reports it later.
func (ct *Controller) replacedRunLost(rn *run, how workpb.End) {
	if how != workpb.End_END_LEASE_EXPIRED {
		return
	}
	if tk := ct.openTask(rn.key.task); tk != nil {
		tk.giveUp(rn.key.run, rn.vm)
		ct.markTask(tk)
	}
}
