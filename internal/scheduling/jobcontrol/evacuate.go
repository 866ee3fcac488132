package jobcontrol

import (
	"slices"

	"github.com/fulmarloft/fulmarloft/internal/scheduling/size"
)

// handoverMS is how long a new owner waits before it evacuates long-running tasks; stops that an earlier owner ordered take less.
const handoverMS = 1500

// Cordon stops placing new work on a VM, or allows it again.
func (ct *Controller) Cordon(id string, cordoned bool) {
	if vm, ok := ct.vms[id]; ok {
		vm.cordoned = cordoned
	}
}

// SetMaintenanceDue sets which machines wait for their maintenance, so that long-running tasks are placed on others.
func (ct *Controller) SetMaintenanceDue(machines map[string]bool) {
	for _, vm := range ct.vms {
		vm.maintenanceDue = machines[vm.reg.GetMachine()]
	}
}

// Load returns the number of runs on a VM, 0 for an unknown one.
func (ct *Controller) Load(id string) int {
	vm, ok := ct.vms[id]
	if !ok {
		return 0
	}
	return len(vm.runs)
}

// Evacuate moves long-running tasks off a cordoned VM as their disruption budgets allow, lets other tasks finish, or stops them if force is set, and reports whether nothing runs there any more and all ends are stored.
func (ct *Controller) Evacuate(id string, force bool) bool {
	vm, ok := ct.vms[id]
	if !ok {
		return true
	}
	if len(vm.runs) == 0 {
		return !vm.endsUnstored()
	}
	for _, rn := range vm.runs {
		if rn.phase != phaseRunning || (!rn.lasting() && !force) {
			continue
		}
		if !rn.lasting() {
			ct.stop(rn)
			continue
		}
		// A task that wasn't available at the last poll may be by now, so it is stopped only within the budget, like any other.
		if ct.mayEvacuate(rn, int(rn.task.st.row.GetDisruptionBudget())) {
			ct.evacuateRun(rn)
		}
	}
	return false
}

// mayEvacuate reports whether stopping the run of a long-running task leaves no more than a number of the step's tasks unavailable.
func (ct *Controller) mayEvacuate(rn *run, maxUnavailable int) bool {
	// Runs that an earlier owner stopped may still be listed as running.
	return ct.ck.Now()-ct.startedMS >= handoverMS && rn.task.st.unavailable(rn.task) < maxUnavailable
}

func (ct *Controller) evacuateRun(rn *run) {
	ct.lg.Info("run-evacuated", "vm", rn.vm.id, "task", rn.key.task, "run", rn.key.run)
	ct.stop(rn)
}

// heldRoom is the room on VMs that is held during a planning pass for tasks that still run elsewhere.
type heldRoom map[*vmState]size.Size

func (hr heldRoom) hold(vm *vmState, need size.Size) {
	hr[vm] = hr[vm].Plus(need)
	vm.used = vm.used.Plus(need)
}

func (hr heldRoom) release() {
	for vm, held := range hr {
		vm.used = vm.used.Minus(held)
	}
}

// holdRoom holds room for the long-running tasks that are being moved off draining VMs, so that nothing else is placed there before they have been stopped.
func (ct *Controller) holdRoom() heldRoom {
	hr := heldRoom{}
	ct.movedRuns = slices.DeleteFunc(ct.movedRuns, func(rn *run) bool { return rn.vm.runs[rn.key] != rn })
	for _, rn := range ct.movedRuns {
		if rn.target != nil && rn.task != nil && !rn.task.job().ended() {
			hr.hold(rn.target, rn.need)
		}
	}
	return hr
}

// moveTo records that a run is being stopped so that its task moves to another VM.
func (ct *Controller) moveTo(rn *run, target *vmState) {
	rn.target = target
	ct.movedRuns = append(ct.movedRuns, rn)
}

// chooseOtherVM returns the VM to which a run's task can be moved, or nil if none has room for it or its team is over its cap.
func (ct *Controller) chooseOtherVM(rn *run, pools map[string][]*vmState, nowMS int64) *vmState {
	pool := pools[rn.vm.reg.GetService()]
	if len(pool) == 0 || !ct.withinCap(rn.team, size.Size{}) {
		return nil
	}
	if ct.queueOf(rn.task.job()).GetAdvised() {
		pool = ct.vmsWithTicket(rn.task.st, pool, nowMS)
	}
	return chooseVM(rn.task, pool)
}

// evacuateDraining moves long-running tasks off VMs that are about to end, as many of each step at a time as its budget allows and at least one, if other VMs have room for them: at its VM's end a task is unavailable for longer. Gangs stay, since moving one member stops the others.
func (ct *Controller) evacuateDraining(pools map[string][]*vmState, hr heldRoom, nowMS int64) {
	for _, vm := range ct.vms {
		if !vm.registered || !vm.reg.GetDraining() || vm.unresponsive {
			continue
		}
		for _, rn := range vm.runs {
			if rn.phase != phaseRunning || !rn.lasting() || rn.task.st.row.GetGang() {
				continue
			}
			if !ct.mayEvacuate(rn, max(int(rn.task.st.row.GetDisruptionBudget()), 1)) {
				continue
			}
			if target := ct.chooseOtherVM(rn, pools, nowMS); target != nil {
				ct.moveTo(rn, target)
				hr.hold(target, rn.need)
				ct.evacuateRun(rn)
			}
		}
	}
}

// HasLasting reports whether long-running tasks run on a VM.
func (ct *Controller) HasLasting(id string) bool {
	vm, ok := ct.vms[id]
	return ok && vm.hasRun((*run).lasting)
}
