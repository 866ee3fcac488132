package jobcontrol

import (
	"math"
	"slices"
	"strings"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/configuration/rulesindex"
	"github.com/fulmarloft/fulmarloft/internal/observability/event"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/jobwork"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/orderedpace"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/size"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/sizefairness"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/taskpace"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/teamshare"
)

// Controller holds all jobs and VMs of one ownership; it isn't safe for concurrent use.
type Controller struct {
	ck    *clock.Clock
	lg    *event.Log
	token int64
	// latestToken is the highest fencing token that this ownership may use, 0 if it uses but one.
	latestToken int64
	// runLeaseMS is the lease that each start and each poll grants to runs, longestLeaseMS the longest that VMs grant.
	runLeaseMS     int64
	longestLeaseMS int64
	startedMS      int64

	rules *rulesindex.Index
	// services holds the names of the services under the rules.
	services map[string]bool
	caps     map[string]size.Size
	// weights holds the teams' weights for fair sharing of a full pool.
	weights map[string]float64
	// shares holds the teams' recent use of each service's pool.
	shares map[string]*teamshare.Shares
	// sharesObservedMS and sharesStoredMS are when the shares were observed and handed over to be stored last, sharesStored whether the stored ones hold a team above its share.
	sharesObservedMS int64
	sharesStoredMS   int64
	sharesStored     bool
	// loggedLevels holds for each service the teams above their share as they were logged last.
	loggedLevels map[string]map[string]int32
	// sizes holds by queue which jobs were in time, by size; undecided holds the jobs that wait to be chosen, with their latest starts.
	sizes     map[string]*sizefairness.History
	undecided map[*occurrence]int64
	// choices holds for each service the jobs that were deferred last.
	choices       map[string]choice
	loggedChoices map[string]loggedChoice
	// weighted is set if a team has a weight.
	weighted bool
	// nextMoveMS is when runs on slow VMs are looked for next.
	nextMoveMS int64
	// nextSecondMS is when second runs are looked for next.
	nextSecondMS int64
	// room holds, by service, what its usable VMs have free during the planning pass.
	room map[string]poolRoom
	// movedRuns holds the runs that are being stopped to move them to a target, and some that have ended since.
	movedRuns []*run
	// pace holds what was learned of the speed of VMs and of the duration of work.
	pace *taskpace.Pace
	// unplaceable holds the services with long-running tasks that fit none of their VMs.
	unplaceable map[string]*unplaceable
	jobs        map[string]*job
	active      map[string]*job
	// completed holds the ids of completed jobs, whose rows may be seen again.
	completed map[string]bool
	// shortRows holds the short rows of completed jobs whose rows are still whole.
	shortRows map[string]*workpb.Job
	// endedIDs holds the ids of ended jobs that Ended hasn't returned yet.
	endedIDs []string
	vms      map[string]*vmState
	// sortedVMs holds the same VMs in order of their ids.
	sortedVMs []*vmState
	zones     map[string]*zone
	// evacuated holds the zones in which the operators allow no starts.
	evacuated map[string]bool
	// used holds what each team's runs take.
	used map[string]size.Size
	// lateVMs holds the VMs with late starts.
	lateVMs map[*vmState]bool
	// waitingParts holds the parts of progress that wait to be stored, in order of their turns; lastTurn is the last turn that was given.
	waitingParts []*progressPart
	lastTurn     int64
	// asideParts is how many of them belonged to jobs that are set aside when the last planning pass began.
	asideParts int
	// heldStarts holds the planned starts whose progress didn't fit into the last batch.
	heldStarts []*run
	limits     batchLimits
	outbox     []*workpb.Order
	advice     []*workpb.AdviceRequest
	// adviceInFlight is the number of requests for advice without an answer.
	adviceInFlight int
	arrivals       []arrival
	// refusedMS holds when the jobs were first tried whose refused submissions are among the arrivals.
	refusedMS map[string]int64
	// startLimit is how many starts may be under way, startsUnderWay how many are.
	startLimit     int
	startsUnderWay int
	// startsOver holds the runs whose starts are no longer under way, for EachStartOver.
	startsOver []*run
	// idlePolls is the number of polls under way of VMs without runs that answer or are new, unresponsivePolls that of those that don't answer.
	idlePolls         int
	unresponsivePolls int
	// firstPolls is the number of polls under way of VMs with runs whose lists this owner hasn't seen yet, firstPollLimit how many may be.
	firstPolls     int
	firstPollLimit int
	// busyPollMS is the interval between polls of a VM with runs.
	busyPollMS int64
	// unexplainedCrashMS holds, by service, when a VM last crashed though nothing had started there shortly before.
	unexplainedCrashMS map[string]int64
}

const (
	// minClockRatePercent is the lowest rate of a VM's clock relative to the controller's.
	minClockRatePercent = 98
	// leaseMarginMS is added to the wait for a lease to expire.
	leaseMarginMS = 200
	// RenewalWindowMS is how long after the start of its last commit an owner may renew run leases.
	RenewalWindowMS = 5000
	// inDoubtMS is how long after it was sent an unanswered order may still be executed.
	inDoubtMS = 13000
)

// New returns a controller without jobs for an ownership's fencing token; runLeaseMS is the duration of run leases.
func New(ck *clock.Clock, lg *event.Log, token, runLeaseMS int64) *Controller {
	return &Controller{
		ck: ck, lg: lg, token: token, runLeaseMS: runLeaseMS, longestLeaseMS: defaultLongestLeaseMS, startedMS: ck.Now(),
		services: map[string]bool{}, caps: map[string]size.Size{}, weights: map[string]float64{}, shares: map[string]*teamshare.Shares{}, sizes: map[string]*sizefairness.History{}, undecided: map[*occurrence]int64{}, choices: map[string]choice{}, loggedChoices: map[string]loggedChoice{}, loggedLevels: map[string]map[string]int32{},
		pace: taskpace.New(), room: map[string]poolRoom{},
		jobs: map[string]*job{}, active: map[string]*job{}, completed: map[string]bool{}, shortRows: map[string]*workpb.Job{},
		vms: map[string]*vmState{}, zones: map[string]*zone{}, used: map[string]size.Size{}, lateVMs: map[*vmState]bool{}, unexplainedCrashMS: map[string]int64{}, unplaceable: map[string]*unplaceable{},
		limits: batchLimits{rows: maxBatchRows}, startLimit: math.MaxInt, firstPollLimit: math.MaxInt, busyPollMS: busyPollIntervalMS, refusedMS: map[string]int64{},
	}
}

// SetRules applies a version of the operators' rules.
func (ct *Controller) SetRules(ix *rulesindex.Index) {
	ct.rules = ix
	clear(ct.services)
	for _, sv := range ix.Rules().GetServices() {
		ct.services[sv.GetName()] = true
	}
	clear(ct.caps)
	clear(ct.weights)
	ct.weighted = jobwork.Weighted(ix.Rules())
	for _, tm := range ix.Rules().GetTeams() {
		ct.weights[tm.GetName()] = tm.GetWeight()
		ct.caps[tm.GetName()] = size.New(tm.GetCapCpuMilli(), tm.GetCapMemoryMb(), tm.GetCapAccelerators())
	}
}

// LimitStarts sets how many starts may be under way at once: planned or ordered, but not answered yet.
func (ct *Controller) LimitStarts(limit int) { ct.startLimit = limit }

// LimitFirstPolls sets how many VMs whose lists this owner hasn't seen yet may be polled at once.
func (ct *Controller) LimitFirstPolls(limit int) { ct.firstPollLimit = limit }

// mayStartMore reports whether another start may be planned.
func (ct *Controller) mayStartMore() bool { return ct.startsUnderWay < ct.startLimit }

// Submit adds an accepted job; a known job is left unchanged.
func (ct *Controller) Submit(row *workpb.Job) {
	if _, ok := ct.jobs[row.GetId()]; !ok && !ct.completed[row.GetId()] && row.GetEnded() == workpb.State_QUEUED {
		ct.recordArrival(ct.addJob(row))
	}
}

func (ct *Controller) addJob(row *workpb.Job) *job {
	jb := newJob(row)
	ct.jobs[row.GetId()] = jb
	ct.active[row.GetId()] = jb
	jb.openDueOccurrences(ct.ck.Now(), 0)
	return jb
}

// Cancel ends a job whose cancellation has been stored.
func (ct *Controller) Cancel(id string) {
	jb, ok := ct.jobs[id]
	if !ok || jb.ended() {
		return
	}
	ct.lg.Info("job-cancelled", "job", id)
	ct.end(jb, workpb.State_CANCELLED)
}

func (ct *Controller) end(jb *job, st workpb.State) {
	jb.state = st
	ct.markState(jb)
	for _, pt := range jb.parts {
		ct.markPart(pt)
	}
	ct.stopAll(jb)
	ct.forgetPace(jb)
	delete(ct.active, jb.row.GetId())
	ct.endedIDs = append(ct.endedIDs, jb.row.GetId())
	if st == workpb.State_COMPLETED {
		delete(ct.jobs, jb.row.GetId())
		ct.completed[jb.row.GetId()] = true
		ct.shortRows[jb.row.GetId()] = jb.shortRow()
	}
}

// ShortRow returns what is to remain of an ended job's row, nil if the row is short already. It returns false while the whole row is needed: a task may have a run, or progress is waiting to be stored.
func (ct *Controller) ShortRow(id string) (*workpb.Job, bool) {
	if ct.progressWaits(id) {
		return nil, false
	}
	if jb, ok := ct.jobs[id]; ok {
		return jb.shortRow(), jb.ended() && !jb.running()
	}
	return ct.shortRows[id], true
}

// RowShortened records that an ended job's row was replaced by its short one.
func (ct *Controller) RowShortened(id string) { delete(ct.shortRows, id) }

// progressWaits reports whether progress of a job is waiting to be stored.
func (ct *Controller) progressWaits(id string) bool {
	return slices.ContainsFunc(ct.waitingParts, func(pt *progressPart) bool { return pt.jb.row.GetId() == id })
}

// Ended returns the ids of the jobs that ended, or were restored as ended, since the last call.
func (ct *Controller) Ended() []string {
	out := ct.endedIDs
	ct.endedIDs = nil
	return out
}

// Forget removes an ended job and reports whether its rows may be deleted: none of its tasks has a run, and none of its progress is waiting to be stored.
func (ct *Controller) Forget(id string) bool {
	if ct.progressWaits(id) {
		return false
	}
	if jb, ok := ct.jobs[id]; ok {
		if !jb.ended() || jb.running() {
			return false
		}
		delete(ct.jobs, id)
	}
	delete(ct.completed, id)
	delete(ct.shortRows, id)
	return true
}

func (ct *Controller) stopAll(jb *job) {
	jb.eachTask(func(tk *task) {
		if tk.current != nil {
			ct.stop(tk.current)
		}
		ct.stopFirst(tk)
	})
}

// ensureVM returns the state of a VM, creating it if the VM is unknown. A new VM's lease deadline covers leases that the previous owner may have renewed up to RenewalWindowMS after this controller's start, and the longest lease if it was granted before.
func (ct *Controller) ensureVM(id string) *vmState {
	if got, ok := ct.vms[id]; ok {
		return got
	}
	got := newVM(id)
	got.firstSeenMS = ct.ck.Now()
	// It may have been known before, under any token of this ownership.
	got.token = ct.latestToken
	got.leaseUntilMS = ct.startedMS + max(RenewalWindowMS+ct.maxLeaseMS(), ct.longestLeaseOverMS())
	ct.vms[id] = got
	at, _ := slices.BinarySearchFunc(ct.sortedVMs, id, compareID)
	ct.sortedVMs = slices.Insert(ct.sortedVMs, at, got)
	return got
}

// forgetVM removes a VM that is no longer registered and has no runs.
func (ct *Controller) forgetVM(vm *vmState) {
	ct.forgetVMPace(vm.id)
	delete(ct.vms, vm.id)
	if at, ok := slices.BinarySearchFunc(ct.sortedVMs, vm.id, compareID); ok {
		ct.sortedVMs = slices.Delete(ct.sortedVMs, at, at+1)
	}
}

func compareID(vm *vmState, id string) int { return strings.Compare(vm.id, id) }

// maxLeaseMS returns how long after a renewal every run on a VM has certainly ended, even if the VM's clock runs slow.
func (ct *Controller) maxLeaseMS() int64 { return ct.waitForLeaseMS(ct.runLeaseMS) }

// waitForLeaseMS returns how long a lease of a VM lasts at most, even if the VM's clock runs slow, and a margin.
func (ct *Controller) waitForLeaseMS(leaseMS int64) int64 {
	return leaseMS*fullPercent/minClockRatePercent + leaseMarginMS
}

// allocate creates the run for a task's current run number and allocates its resources on a VM.
func (ct *Controller) allocate(vm *vmState, tk *task, ph phase) *run {
	rn := ct.newRun(vm, tk, tk.run, ph)
	rn.task = tk
	tk.setCurrent(rn)
	ct.addRun(rn)
	return rn
}

// newRun returns a run of a task that isn't on its VM and doesn't belong to the task yet.
func (ct *Controller) newRun(vm *vmState, tk *task, number int64, ph phase) *run {
	return &run{
		key: runKey{tk.name().String(), number}, vm: vm, st: tk.st, index: tk.index, team: tk.job().row.GetTeam(),
		need: tk.st.need(), capUse: tk.st.capUse(), phase: ph, token: ct.tokenOf(vm), startedMS: ct.ck.Now(), progressMS: ct.ck.Now(), pace: orderedpace.New(fullPercent),
		onProbation: tk.crashes.probation,
	}
}

// setPhase changes the phase of a run and keeps count of the starts under way.
func (ct *Controller) setPhase(rn *run, ph phase) {
	if rn.phase.startUnderWay() {
		ct.startOver(rn)
	}
	rn.phase = ph
	if rn.phase.startUnderWay() {
		ct.startsUnderWay++
		rn.vm.startsUnderWay++
	}
}

func (ct *Controller) addRun(rn *run) {
	if rn.phase.startUnderWay() {
		ct.startsUnderWay++
		rn.vm.startsUnderWay++
	}
	if rn.st == nil {
		rn.vm.unknownRuns++
	}
	rn.vm.runs[rn.key] = rn
	rn.vm.countOfStep(rn.st, 1)
	rn.countUncleared(1)
	rn.vm.used = rn.vm.used.Plus(rn.need)
	ct.used[rn.team] = ct.used[rn.team].Plus(rn.capUse)
}

// release frees the run's resources, detaches the run from its task and returns the task.
func (ct *Controller) release(rn *run) *task {
	if _, ok := rn.vm.runs[rn.key]; !ok {
		return nil
	}
	if rn.phase.startUnderWay() {
		ct.startOver(rn)
	}
	if rn.st == nil {
		rn.vm.unknownRuns--
	}
	delete(rn.vm.runs, rn.key)
	rn.vm.countOfStep(rn.st, -1)
	rn.countUncleared(-1)
	rn.vm.used = rn.vm.used.Minus(rn.need)
	ct.used[rn.team] = ct.used[rn.team].Minus(rn.capUse)
	ct.keepLateStart(rn)
	ct.forgetReplaced(rn)
	return ct.detach(rn)
}

// detach separates a run from its task and returns the task; the run keeps its resources.
func (ct *Controller) detach(rn *run) *task {
	tk := rn.task
	rn.task = nil
	if tk == nil || tk.current != rn {
		return nil
	}
	tk.setCurrent(nil)
	ct.markTask(tk)
	return tk
}

// stop requests the end of a run; its resources stay allocated until the VM reports the end.
func (ct *Controller) stop(rn *run) {
	if rn.phase == phasePlanned {
		return
	}
	ct.setPhase(rn, phaseStopping)
	ct.sendStop(rn)
}

func (ct *Controller) sendStop(rn *run) {
	if rn.vm.reg.GetAddress() == "" {
		return
	}
	rn.stopSentMS = ct.ck.Now()
	ct.outbox = append(ct.outbox, ct.newOrder(workpb.Verb_STOP, rn))
}

// newOrder returns an order for a run with the fields common to all verbs.
func (ct *Controller) newOrder(verb workpb.Verb, rn *run) *workpb.Order {
	return &workpb.Order{
		Verb: verb, Vm: rn.vm.id, Address: rn.vm.reg.GetAddress(), Task: rn.key.task, Run: rn.key.run, Token: ct.tokenOf(rn.vm),
		Zone: rn.vm.reg.GetZone(), VmBornMs: rn.vm.incarnation(),
	}
}

// Outbox returns and clears the orders that may be sent without storing anything first.
func (ct *Controller) Outbox() []*workpb.Order {
	out := ct.outbox
	ct.outbox = nil
	return out
}

// Pending counts the jobs per queue of which no task has started.
func (ct *Controller) Pending() *workpb.Pending {
	pd := &workpb.Pending{Waiting: map[string]int32{}}
	for _, jb := range ct.active {
		if jb.state == workpb.State_QUEUED {
			pd.Waiting[jb.row.GetQueue()]++
		}
	}
	return pd
}
