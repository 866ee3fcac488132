package jobcontrol

import (
	"slices"

	"github.com/fulmarloft/fulmarloft/internal/size"
	"github.com/fulmarloft/fulmarloft/internal/suspicion"
	"github.com/fulmarloft/fulmarloft/internal/workpb"
)

// vm is the ledger of one VM: what it offers and all that may run there.
type vm struct {
	id  string
	reg *workpb.VM
	// registered is false for a VM that isn't or is no longer in the registry.
	registered bool
	// synced is true once its lists were seen under this owner's token in its present life.
	synced bool
	bornMS int64
	// clockMS is the VM's clock when it answered at clockAtMS of our clock.
	clockMS   int64
	clockAtMS int64
	runs      map[runKey]*run
	used      size.Size
	// processed is the highest end that was taken up, stored the highest whose effect is stored.
	processed int64
	stored    int64
	// leaseUntilMS is when everything there has surely ended unless a lease is renewed.
	leaseUntilMS int64
	answeredMS   int64
	// seenMS is when the VM was first heard of.
	seenMS     int64
	looking    bool
	nextLookMS int64
	// failedLooks counts the looks in a row that had no answer; the VM is silent after maxFailedLooks.
	failedLooks int
	silent      bool
	cordoned    bool
	// shed VMs belong to machines that another pool wants, leaving ones to machines that are being moved.
	shed     bool
	leaving  bool
	reserved bool
	trust    *suspicion.Suspicion
	pace     int64
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
	phaseDoubtful
	// phaseStopping: a stop is wanted.
	phaseStopping
)

const fullPercent = 100

// run is something that runs or may run on a VM and takes room there.
type run struct {
	key runKey
	vm  *vm
	// isCopy is set for a run whose task was started elsewhere as well.
	isCopy bool
	// task is nil for a run that belongs to no task any more.
	task       *task
	team       string
	need       size.Size
	demand     size.Size
	phase      phase
	token      int64
	sinceMS    int64
	percent    int64
	progressMS int64
	gauge      int64
	// paceSet is the pace that the VM was told last, in percent.
	paceSet    int64
	stopSentMS int64
	stoppedMS  int64
}

func newVM(id string) *vm {
	return &vm{id: id, reg: &workpb.VM{Id: id}, runs: map[runKey]*run{}, trust: suspicion.New(), pace: fullPercent}
}

func (vm *vm) capacity() size.Size {
	return size.New(vm.reg.GetCpuMilli(), vm.reg.GetMemoryMb(), vm.reg.GetAccelerators())
}

func (vm *vm) free() size.Size { return vm.capacity().Minus(vm.used) }

// answers reports whether the VM is registered, not draining and not silent.
func (vm *vm) answers() bool { return vm.registered && !vm.silent && !vm.reg.GetDraining() }

// stays reports whether the VM answers and nobody is about to take it away.
func (vm *vm) stays() bool { return vm.answers() && !vm.cordoned && !vm.leaving }

// usable reports whether new work may be placed on the VM.
func (vm *vm) usable(nowMS int64) bool {
	return vm.stays() && vm.synced && !vm.shed && vm.trust.Usable(nowMS)
}

// clock returns a lower bound of the VM's clock; its rate may be 2% slow.
func (vm *vm) clock(nowMS int64) int64 {
	return vm.clockMS + (nowMS-vm.clockAtMS)*slowestRatePercent/fullPercent
}

func (vm *vm) hasLabel(label string) bool { return slices.Contains(vm.reg.GetLabels(), label) }

// has reports whether a run on the VM matches.
func (vm *vm) has(match func(*run) bool) bool {
	for _, rn := range vm.runs {
		if match(rn) {
			return true
		}
	}
	return false
}

// unsettled reports whether a run on the VM is in doubt or to be stopped, which the next look may settle.
func (vm *vm) unsettled() bool {
	return vm.has(func(rn *run) bool { return rn.phase == phaseDoubtful || rn.phase == phaseStopping })
}

// ofStep counts the runs of a step on the VM.
func (vm *vm) ofStep(st *step) int {
	count := 0
	for _, rn := range vm.runs {
		if rn.task != nil && rn.task.st == st {
			count++
		}
	}
	return count
}

// serving reports whether a task with a tail target runs on the VM.
func (vm *vm) serving() bool { return vm.has((*run).serves) }

// filled reports whether a task runs on the VM that uses what others leave.
func (vm *vm) filled() bool { return vm.has((*run).fills) }

func (rn *run) serves() bool { return rn.task != nil && rn.task.st.row.GetTailTargetMs() > 0 }

func (rn *run) fills() bool { return rn.task != nil && rn.task.st.row.GetFills() }

func (rn *run) lasting() bool { return rn.task != nil && rn.task.st.row.GetLasting() }
