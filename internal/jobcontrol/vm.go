package jobcontrol

import (
	"slices"

	"github.com/fulmarloft/fulmarloft/internal/size"
	"github.com/fulmarloft/fulmarloft/internal/suspicion"
	"github.com/fulmarloft/fulmarloft/internal/workpb"
)

// vm is the ledger of one VM: what it offers and all that may run there.
type vmState struct {
	id  string
	reg *workpb.VM
	// registered is false for a VM that isn't or is no longer in the registry.
	registered bool
	// synced is true once its lists were seen under this owner's token in its present life.
	synced  bool
	startMS int64
	// clockMS is the VM's clock when it answered at clockAtMS of our clock.
	lastClockMS   int64
	lastClockAtMS int64
	runs          map[runKey]*run
	used          size.Size
	// processed is the highest end that was taken up, stored the highest whose effect is stored.
	processed int64
	stored    int64
	// leaseUntilMS is when everything there has surely ended unless a lease is renewed.
	leaseUntilMS int64
	answeredMS   int64
	// seenMS is when the VM was first heard of.
	firstSeenMS int64
	polling     bool
	nextPollMS  int64
	// failedLooks counts the looks in a row that had no answer; the VM is silent after maxFailedLooks.
	failedPolls int
	silent      bool
	cordoned    bool
	// shed VMs belong to machines that another pool wants, leaving ones to machines that are being moved.
	cordonedForMove bool
	leaving         bool
	reserved        bool
	suspicion       *suspicion.Suspicion
	pace            int64
}

type runKey struct {
	task string
	run  int64
}

type phase int

const (
	// phasePlanned: the intent isn't stored yet.
	phasePlanned phase = iota
	// phaseOrdered: the start was sent.
	phaseOrdered
	// phaseRunning: the VM has confirmed the run.
	phaseRunning
	// phaseDoubtful: the start may have been executed or may yet be.
	phaseInDoubt
	// phaseStopping: a stop is wanted.
	phaseStopping
)

const fullPercent = 100

// run is something that runs or may run on a VM and takes room there.
type run struct {
	key runKey
	vm  *vmState
	// isCopy is set for a run whose task was started elsewhere as well.
	isDuplicate bool
	// task is nil for a run that belongs to no task any more.
	task       *task
	team       string
	need       size.Size
	capUse     size.Size
	phase      phase
	token      int64
	startedMS  int64
	percent    int64
	progressMS int64
	gauge      int64
	// paceSet is the pace that the VM was told last, in percent.
	sentPace   int64
	stopSentMS int64
	stoppedMS  int64
}

func newVM(id string) *vmState {
	return &vmState{id: id, reg: &workpb.VM{Id: id}, runs: map[runKey]*run{}, suspicion: suspicion.New(), pace: fullPercent}
}

func (vm *vmState) capacity() size.Size {
	return size.New(vm.reg.GetCpuMilli(), vm.reg.GetMemoryMb(), vm.reg.GetAccelerators())
}

func (vm *vmState) free() size.Size { return vm.capacity().Minus(vm.used) }

// answers reports whether the VM is registered, not draining and not silent.
func (vm *vmState) responsive() bool { return vm.registered && !vm.silent && !vm.reg.GetDraining() }

// stays reports whether the VM answers and nobody is about to take it away.
func (vm *vmState) schedulable() bool { return vm.responsive() && !vm.cordoned && !vm.leaving }

// usable reports whether new work may be placed on the VM.
func (vm *vmState) usable(nowMS int64) bool {
	return vm.schedulable() && vm.synced && !vm.cordonedForMove && vm.suspicion.Usable(nowMS)
}

// clock returns a lower bound of the VM's clock; its rate may be 2% slow.
func (vm *vmState) clockLowerBound(nowMS int64) int64 {
	return vm.lastClockMS + (nowMS-vm.lastClockAtMS)*minClockRatePercent/fullPercent
}

func (vm *vmState) hasLabel(label string) bool { return slices.Contains(vm.reg.GetLabels(), label) }

// has reports whether a run on the VM matches.
func (vm *vmState) hasRun(match func(*run) bool) bool {
	for _, rn := range vm.runs {
		if match(rn) {
			return true
		}
	}
	return false
}

// unsettled reports whether a run on the VM is in doubt or to be stopped, which the next look may settle.
func (vm *vmState) hasUnresolvedRun() bool {
	return vm.hasRun(func(rn *run) bool { return rn.phase == phaseInDoubt || rn.phase == phaseStopping })
}

// ofStep counts the runs of a step on the VM.
func (vm *vmState) runsOfStep(st *step) int {
	count := 0
	for _, rn := range vm.runs {
		if rn.task != nil && rn.task.st == st {
			count++
		}
	}
	return count
}

// serving reports whether a task with a tail target runs on the VM.
func (vm *vmState) hasLatencySensitive() bool { return vm.hasRun((*run).latencySensitive) }

// filled reports whether a task runs on the VM that uses what others leave.
func (vm *vmState) hasBestEffort() bool { return vm.hasRun((*run).bestEffort) }

func (rn *run) latencySensitive() bool { return rn.task != nil && rn.task.st.row.GetTailTargetMs() > 0 }

func (rn *run) bestEffort() bool { return rn.task != nil && rn.task.st.row.GetFills() }

func (rn *run) lasting() bool { return rn.task != nil && rn.task.st.row.GetLasting() }
