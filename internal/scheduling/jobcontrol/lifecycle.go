package jobcontrol

import (
	"cmp"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

// SetVM applies a VM's registration.
func (ct *Controller) SetVM(reg *workpb.VM) {
	vm := ct.ensureVM(reg.GetId())
	if reg.GetBornMs() != vm.reg.GetBornMs() && reg.GetBornMs() != vm.startMS {
		// Only the VM's own lists show what was already started in its new incarnation.
		vm.synced, vm.machineLost = false, false
		vm.nextPollMS = ct.ck.Now()
		if vm.incarnation() != 0 {
			ct.raiseToken(vm)
		}
	}
	if !vm.registered || vm.reg.GetDraining() != reg.GetDraining() {
		ct.lg.Info("vm-registered", "vm", reg.GetId(), "service", reg.GetService(), "draining", reg.GetDraining())
	}
	vm.reg = reg
	vm.registered = true
	ct.stopUnadmitted(vm)
}

// DropVM records that a VM is no longer registered.
func (ct *Controller) DropVM(id string) {
	if vm, ok := ct.vms[id]; ok && vm.registered {
		ct.lg.Info("vm-unregistered", "vm", id, "runs", len(vm.runs))
		vm.registered = false
	}
}

// minUnlistedReads is how many lists in a row, without an answer of its VM, must lack a machine before it counts as removed: a list is read in pages, and a machine may be missed while others come and go.
const minUnlistedReads = 2

// SetMachines applies a list of machines whose read began at readMS and ends the runs of VMs that, by this list, have ended. A VM that the list shows as hosted hasn't, whatever machine it was registered on.
func (ct *Controller) SetMachines(readMS int64, list []*workpb.Machine) {
	if len(list) == 0 {
		return
	}
	rows := make(map[string]*workpb.Machine, len(list))
	for _, row := range list {
		rows[row.GetId()] = row
	}
	hosts := make(map[string]*workpb.Machine, len(rows))
	for _, row := range rows {
		if row.GetUp() {
			hosts[row.GetVm()] = row
		}
	}
	for _, vm := range ct.vms {
		row := cmp.Or(hosts[vm.id], rows[vm.reg.GetMachine()])
		vm.countUnlisted(row)
		ct.logUnresolved(vm, row)
		if vm.firstSeenMS >= readMS || vm.answeredMS >= readMS {
			continue
		}
		vm.machineLost = vm.endedBy(row) || row.GetDown()
		if len(vm.runs) == 0 {
			continue
		}
		switch {
		case vm.endedBy(row):
			ct.lg.Info("vm-ended", "vm", vm.id, "machine", vm.reg.GetMachine(), "machine-status", machineStatus(row), "runs", len(vm.runs))
			vm.synced = false
			ct.endRuns(vm)
		case row.GetDown() && row.GetVm() != vm.id:
			vm.synced = false
			ct.endBegunRuns(vm, readMS)
		}
	}
}

// endBegunRuns ends the runs that certainly began on a VM before a list of machines was read that shows its machine as down. The VM may start again under its id and execute unanswered starts then, so those are kept as long as they may be executed.
func (ct *Controller) endBegunRuns(vm *vmState, readMS int64) {
	before := len(vm.runs)
	ct.recordCrash(vm, func(rn *run) bool { return rn.startedMS >= readMS })
	for _, rn := range vm.runs {
		confirmed := rn.phase == phaseRunning && readMS >= rn.mayStartUntilMS
		tooLate := rn.mayStartUntilMS > 0 && readMS >= rn.mayStartUntilMS
		if rn.startedMS < readMS && (rn.settled || confirmed || tooLate) {
			ct.giveUpRun(rn, proofMachineDown)
		}
	}
	if ended := before - len(vm.runs); ended > 0 {
		ct.lg.Info("vm-down", "vm", vm.id, "machine", vm.reg.GetMachine(), "ended-runs", ended, "unanswered-starts", len(vm.runs))
	}
	ct.restoreLateStarts(vm)
}

// countUnlisted counts the lists in a row that lack the VM's machine; row is nil for such a list.
func (vm *vmState) countUnlisted(row *workpb.Machine) {
	if row != nil || vm.reg.GetMachine() == "" {
		vm.unlistedReads = 0
		return
	}
	vm.unlistedReads++
}

// endedBy reports whether the row of the VM's machine proves that the VM has ended: the machine is removed for good and the VM doesn't answer, or it hosts another VM, or none because it is being moved or maintained.
func (vm *vmState) endedBy(row *workpb.Machine) bool {
	if row == nil {
		return vm.unresponsive && vm.unlistedReads >= minUnlistedReads
	}
	replaced := row.GetUp() && row.GetVm() != "" && row.GetVm() != vm.id
	return replaced || row.GetMoving() || row.GetInUpkeep()
}

// logUnresolved logs what the list of machines says of a VM that has runs but isn't registered or doesn't answer, once for each change.
func (ct *Controller) logUnresolved(vm *vmState, row *workpb.Machine) {
	if len(vm.runs) == 0 || (vm.registered && !vm.unresponsive) {
		vm.machineStatus = ""
		return
	}
	status := machineStatus(row)
	if vm.machineStatus == status {
		return
	}
	vm.machineStatus = status
	ct.lg.Info("vm-unresolved", "vm", vm.id, "machine", vm.reg.GetMachine(), "machine-status", status, "hosts", row.GetVm(),
		"registered", vm.registered, "runs", len(vm.runs), "wait-ms", vm.leaseUntilMS-ct.ck.Now())
}

// machineStatus names the status of a listed machine for the log; row is nil for a machine that isn't listed.
func machineStatus(row *workpb.Machine) string {
	switch {
	case row == nil:
		return "unlisted"
	case row.GetUp():
		return "up"
	case row.GetMoving():
		return "moving"
	case row.GetInUpkeep():
		return "in-maintenance"
	case row.GetDown():
		return "down"
	default:
		return "unknown"
	}
}

// handleRestart records that a VM has restarted: its end numbers begin at 0 again, and stops accepted before the restart no longer hold. Its earlier runs are over unless the VM lists them, since a start may already have been executed in the new incarnation.
func (ct *Controller) handleRestart(vm *vmState, lk *workpb.Look) {
	startMS := lk.GetBornMs()
	if vm.reg.GetBornMs() != startMS {
		// No registration has told of the incarnation yet, so it was called under the token of the one before.
		ct.raiseToken(vm)
	}
	ct.lg.Info("vm-restarted", "vm", vm.id, "born", startMS, "runs", len(vm.runs))
	vm.startMS = startMS
	ct.recordCrash(vm, lists(lk))
	vm.crashRecorded = false
	vm.processed, vm.stored, vm.acknowledged, vm.acknowledging = 0, 0, 0, 0
	vm.unstoredEnds = nil
	vm.pace = fullPercent
	ct.forgetVMPace(vm.id)
	ct.expectLongLeases(vm)
	for _, rn := range vm.runs {
		rn.stoppedMS = 0
		// A run that the new incarnation lists has begun there anew, at full pace.
		rn.pace.Forget()
	}
	ct.restoreLateStarts(vm)
}

// expireRuns ends the runs of a VM whose leases have expired, except for those whose start may still be executed once the VM starts again under its id, or may have been by an incarnation that nobody has heard of.
func (ct *Controller) expireRuns(vm *vmState, why proof) {
	nowMS := ct.ck.Now()
	before := len(vm.runs)
	for _, rn := range vm.runs {
		switch {
		case rn.phase == phasePlanned:
		case nowMS < ct.mayRunUntilMS(rn):
			ct.setPhase(rn, phaseStopping)
			rn.stoppedMS = 0
		default:
			ct.giveUpRun(rn, why)
		}
	}
	if ended := before - len(vm.runs); ended > 0 {
		ct.lg.Info("vm-leases-expired", "vm", vm.id, "ended-runs", ended, "unanswered-starts", len(vm.runs), "registered", vm.registered)
	}
	ct.restoreLateStarts(vm)
}

// endRuns ends all runs of a VM that has ended for good and will execute no order any more.
func (ct *Controller) endRuns(vm *vmState) {
	ct.dropAllLateStarts(vm)
	for _, rn := range vm.runs {
		if rn.phase != phasePlanned {
			rn.mayStartUntilMS = 0
			ct.giveUpRun(rn, proofMachineEnded)
		}
	}
}
