package jobcontrol

import (
	"slices"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/orderedpace"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/size"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/startwindow"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/suspicion"
)

// vmState is the controller's view of one VM: its registration and every run that may exist there.
type vmState struct {
	id  string
	reg *workpb.VM
	// registered is false for a VM that isn't, or is no longer, in the registry.
	registered bool
	// synced is true once this owner has seen the lists of the VM's current incarnation under its own token.
	synced bool
	// unknownSinceMS is when the answer to a start last showed an incarnation whose lists this owner hasn't seen.
	unknownSinceMS int64
	// token is the fencing token of calls to the VM's incarnation, 0 for the ownership's own; tokenDue is set while a higher one is needed.
	token    int64
	tokenDue bool
	// startMS is the start time that the VM reported for its current incarnation.
	startMS int64
	// lastClockMS is the VM's clock in its last answer, received at lastClockAtMS on the controller's clock.
	lastClockMS   int64
	lastClockAtMS int64
	runs          map[runKey]*run
	// ofStep counts the runs of each step.
	ofStep map[*step]int
	used   size.Size
	// startsUnderWay counts the starts that are planned or ordered and not answered yet, window limits them.
	startsUnderWay int
	window         *startwindow.Window
	// uncleared counts the runs whose start the VM isn't known to have survived, onProbation those of tasks under which VMs have crashed.
	uncleared, onProbation int
	// heldForProbation is set, until heldUntilMS, while the VM takes no other work than a task on probation.
	heldForProbation bool
	heldUntilMS      int64
	// crashRecorded is set once the crash of the VM's incarnation was recorded.
	crashRecorded bool
	// unknownRuns counts the runs of unknown jobs, of which nobody knows what they take.
	unknownRuns int
	// lateStarts holds the released runs that may still begin in the VM's next incarnation.
	lateStarts map[runKey]*run
	// lateOfStep counts the late starts of each step, lateUse sums up what those of each team would take.
	lateOfStep map[*step]int
	lateUse    map[string]size.Size
	// processed is the highest number of a run end that was applied, stored the highest whose effect is stored.
	processed int64
	stored    int64
	// moreEnds is set while the VM may have more ended runs than it has listed.
	moreEnds bool
	// unstoredEnds holds what was processed and isn't known to be stored, in order.
	unstoredEnds []storedEnd
	// acknowledged is the highest number of an end that an answered poll has acknowledged, acknowledging that of the poll under way.
	acknowledged  int64
	acknowledging int64
	// leaseUntilMS is when every run there has certainly ended unless its lease is renewed.
	leaseUntilMS int64
	// grantedMS is when this owner made a call with a deadline last.
	grantedMS int64
	// listedMS is when the last poll that the VM answered was sent, answeredMS when its answer was handled.
	listedMS   int64
	answeredMS int64
	// polledAddress is where the VM was polled last, answeredAddress where it answered last, or where an earlier owner's runs were started.
	polledAddress, answeredAddress string
	// firstSeenMS is when the VM became known.
	firstSeenMS int64
	polling     bool
	// pollCount is the count that includes the poll under way, nil if the poll isn't counted.
	pollCount  *int
	nextPollMS int64
	// shortPollsUntilMS is until when the VM isn't asked to hold polls open.
	shortPollsUntilMS int64
	// failedPolls counts consecutive polls without an answer; the VM is unresponsive after maxFailedPolls.
	failedPolls  int
	unresponsive bool
	// silentSinceMS is when the first of the failedPolls failed.
	silentSinceMS int64
	// machineLost is set once a list of machines, or another VM at its address, has shown that the VM isn't up; an answer or a new registration resets it.
	machineLost bool
	cordoned    bool
	// cordonedForMove is set for VMs on machines that another pool needs, leaving for those on machines that are being moved.
	cordonedForMove bool
	leaving         bool
	// maintenanceDue is set while the VM's machine waits for its maintenance.
	maintenanceDue bool
	reserved       bool
	// slow and trialDue are set, as of the last planning pass, while the VM is slow by comparison, and while one task should show whether it still is.
	slow, trialDue bool
	// lastingSum is what the long-running tasks take, nil until lastingUse computes it in a planning pass.
	lastingSum *size.Size
	suspicion  *suspicion.Suspicion
	// unlistedReads counts the lists of machines in a row, since the VM's last answer, that lacked the VM's machine.
	unlistedReads int
	// machineStatus is the status of the VM's machine that was logged last, empty while the VM answers.
	machineStatus string
	// pace is the pace last set for best-effort tasks on the VM, in percent; 100 is unthrottled.
	pace int64
	// paceInherited is set while the VM may have best-effort tasks at a pace that an earlier owner has set.
	paceInherited bool
}

type runKey struct {
	task string
	run  int64
}

type phase int

const (
	// phasePlanned: the start isn't stored yet.
	phasePlanned phase = iota
	// phaseOrdered: the start has been handed over to be sent.
	phaseOrdered
	// phaseRunning: the VM has confirmed the run.
	phaseRunning
	// phaseInDoubt: the start may have been executed or may still be.
	phaseInDoubt
	// phaseStopping: the run is to be stopped.
	phaseStopping
)

// startUnderWay reports whether a run's start is planned or ordered and not answered yet.
func (ph phase) startUnderWay() bool { return ph == phasePlanned || ph == phaseOrdered }

const fullPercent = 100

// run is one execution of a task that runs, or may run, on a VM and takes resources there.
type run struct {
	key runKey
	vm  *vmState
	// isDuplicate is set for a run that was detached so that its task may start elsewhere as well.
	isDuplicate bool
	// task is nil for a run that doesn't belong to a task, or no longer does.
	task *task
	// st is the step of the run's task, also while the run no longer belongs to the task; nil for an unknown task.
	st *step
	// index is the number of the run's task in its step.
	index  int
	team   string
	need   size.Size
	capUse size.Size
	phase  phase
	token  int64
	// settled is set once no order can start the run any more: it was confirmed, and its start was sent once, or inDoubtMS has passed since.
	settled bool
	// mayStartUntilMS is until when an unanswered copy of the run's start may still be executed, 0 if there is none.
	mayStartUntilMS int64
	// unanswered is set while the VM has neither answered the run's start nor listed the run.
	unanswered bool
	// cleared is set once the VM has survived the run's start, crashed once a crash of the VM was counted for the run's task.
	cleared, crashed bool
	// onProbation is set if the run's task was on probation when the run was created.
	onProbation bool
	// countedGood is set once the run of a long-running task counts as a good one.
	countedGood bool
	// repeated is set once the run's start was sent again.
	repeated bool
	// target is the VM on which room is held for the task while this run is stopped to move it, or nil.
	target *vmState
	// startedMS is when the run was created, its start was ordered or the start was accepted, whichever came last.
	startedMS  int64
	percent    int64
	progressMS int64
	// fromStart is set if startedMS is when the run began, and it began without saved progress.
	fromStart bool
	// earlier and recent are points of the run's progress from which its rate is computed.
	earlier, recent progressPoint
	// listed is the run's progress when its VM listed it last.
	listed progressPoint
	// projectedMS is the duration of the run that was projected and compared with other runs last, at projectedAtMS.
	projectedMS, projectedAtMS int64
	// savedPercent is the run's progress when it last reported a checkpoint.
	savedPercent int64
	// gauge is the tail latency in milliseconds for a latency-sensitive task, else the CPU use in thousandths of a core.
	gauge int64
	// pace is what the VM was ordered; it matters for best-effort runs only.
	pace       orderedpace.Pace
	stopSentMS int64
	stoppedMS  int64
}

func newVM(id string) *vmState {
	return &vmState{id: id, reg: &workpb.VM{Id: id}, runs: map[runKey]*run{}, ofStep: map[*step]int{}, lateStarts: map[runKey]*run{}, lateOfStep: map[*step]int{}, lateUse: map[string]size.Size{}, suspicion: suspicion.New(), window: startwindow.New(), pace: fullPercent}
}

func (vm *vmState) capacity() size.Size {
	return size.New(vm.reg.GetCpuMilli(), vm.reg.GetMemoryMb(), vm.reg.GetAccelerators())
}

func (vm *vmState) free() size.Size { return vm.capacity().Minus(vm.used) }

// lastingUse returns what the long-running tasks on the VM take.
func (vm *vmState) lastingUse() size.Size {
	if vm.lastingSum == nil {
		var sum size.Size
		for _, rn := range vm.runs {
			if rn.lasting() {
				sum = sum.Plus(rn.need)
			}
		}
		vm.lastingSum = &sum
	}
	return *vm.lastingSum
}

// endsUnstored reports whether ends of runs on the VM aren't stored yet, so that they would be lost with the VM.
func (vm *vmState) endsUnstored() bool { return vm.processed > vm.stored || vm.moreEnds }

// accepting reports whether the VM is registered, responsive and not draining.
func (vm *vmState) accepting() bool {
	return vm.registered && !vm.unresponsive && !vm.reg.GetDraining()
}

// schedulable reports whether the VM is accepting, not cordoned and not about to end; it may still be unusable for the time being.
func (vm *vmState) schedulable() bool { return vm.accepting() && !vm.cordoned && !vm.leaving }

// usable reports whether new work may be placed on the VM.
func (vm *vmState) usable(nowMS int64) bool {
	return vm.schedulable() && vm.synced && vm.unknownRuns == 0 && vm.registrationCurrent() && !vm.cordonedForMove && vm.suspicion.Usable(nowMS)
}

// incarnation returns the start time of the VM's incarnation, as far as it is known.
func (vm *vmState) incarnation() int64 {
	if vm.startMS != 0 {
		return vm.startMS
	}
	return vm.reg.GetBornMs()
}

// registrationCurrent reports whether the VM's registration is that of the incarnation that answered last; another one may differ in service, labels and capacity.
func (vm *vmState) registrationCurrent() bool {
	born := vm.reg.GetBornMs()
	return born == 0 || vm.startMS == 0 || born == vm.startMS
}

// clockLowerBound returns a lower bound of the VM's clock, which may run up to 2% slow.
func (vm *vmState) clockLowerBound(nowMS int64) int64 {
	return vm.lastClockMS + (nowMS-vm.lastClockAtMS)*minClockRatePercent/fullPercent
}

func (vm *vmState) hasLabel(label string) bool { return slices.Contains(vm.reg.GetLabels(), label) }

// hasRun reports whether a run on the VM matches.
func (vm *vmState) hasRun(match func(*run) bool) bool {
	for _, rn := range vm.runs {
		if match(rn) {
			return true
		}
	}
	return false
}

// hasUnresolvedRun reports whether a run on the VM is in doubt or to be stopped, which the next poll may resolve.
func (vm *vmState) hasUnresolvedRun() bool {
	return vm.hasRun(func(rn *run) bool { return rn.phase == phaseInDoubt || rn.phase == phaseStopping })
}

// runsOfStep counts the runs of a step that are on the VM or may still begin there.
func (vm *vmState) runsOfStep(st *step) int {
	return vm.ofStep[st] + vm.lateStartsOfStep(st)
}

// countOfStep counts a run that is added to the VM or removed from it.
func (vm *vmState) countOfStep(st *step, added int) {
	if vm.ofStep[st] += added; vm.ofStep[st] == 0 {
		delete(vm.ofStep, st)
	}
}

// hasLatencySensitive reports whether a task with a tail latency target runs on the VM.
func (vm *vmState) hasLatencySensitive() bool { return vm.hasRun((*run).latencySensitive) }

// hasBestEffort reports whether a best-effort task runs on the VM, which uses only CPU time that others leave.
func (vm *vmState) hasBestEffort() bool { return vm.hasRun((*run).bestEffort) }

func (rn *run) latencySensitive() bool { return rn.task != nil && rn.task.st.row.GetTailTargetMs() > 0 }

func (rn *run) bestEffort() bool { return rn.task != nil && rn.task.st.row.GetFills() }

func (rn *run) lasting() bool { return rn.task != nil && rn.task.st.row.GetLasting() }
