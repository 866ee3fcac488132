package jobcontrol

import "github.com/fulmarloft/fulmarloft/internal/workpb"

// SetVM applies a VM's registration.
func (ct *Controller) SetVM(reg *workpb.VM) {
	vm := ct.ensureVM(reg.GetId())
	if vm.startMS != 0 && reg.GetBornMs() != 0 && reg.GetBornMs() > vm.startMS {
		// Only the VM's own lists show what was already started in its new incarnation.
		vm.synced = false
		vm.nextPollMS = ct.ck.Now()
	}
	if !vm.registered || vm.reg.GetDraining() != reg.GetDraining() {
		ct.lg.Info("vm-registered", "vm", reg.GetId(), "service", reg.GetService(), "draining", reg.GetDraining())
	}
	vm.reg = reg
	vm.registered = true
}

// DropVM records that a VM is no longer registered.
func (ct *Controller) DropVM(id string) {
	if vm, ok := ct.vms[id]; ok && vm.registered {
		ct.lg.Info("vm-unregistered", "vm", id, "runs", len(vm.runs))
		vm.registered = false
	}
}

// SetMachines applies a list of machines whose read began at readMS: a VM has ended if its machine hosts another VM, or none because the machine is being moved or maintained.
func (ct *Controller) SetMachines(readMS int64, list []*workpb.Machine) {
	rows := make(map[string]*workpb.Machine, len(list))
	for _, row := range list {
		rows[row.GetId()] = row
	}
	for id, vm := range ct.vms {
		row, ok := rows[vm.reg.GetMachine()]
		ct.logUnresolved(vm, row)
		if !ok || vm.firstSeenMS >= readMS || vm.answeredMS >= readMS || len(vm.runs) == 0 {
			continue
		}
		replaced := row.GetUp() && row.GetVm() != "" && row.GetVm() != id
		if replaced || row.GetMoving() || row.GetInUpkeep() {
			ct.lg.Info("vm-ended", "vm", id, "machine", row.GetId(), "runs", len(vm.runs))
			vm.synced = false
			ct.expireRuns(vm)
		}
	}
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
	default:
		return "down"
	}
}

// handleRestart records that a VM has restarted: its end numbers begin at 0 again, and stops accepted before the restart no longer hold. Its earlier runs are over unless the VM lists them, since a start may already have been executed in the new incarnation.
func (ct *Controller) handleRestart(vm *vmState, startMS int64) {
	ct.lg.Info("vm-restarted", "vm", vm.id, "born", startMS, "runs", len(vm.runs))
	vm.startMS = startMS
	vm.processed, vm.stored = 0, 0
	vm.pace = fullPercent
	// A start whose deadline was computed for the earlier incarnation's clock may have got the longest possible lease.
	vm.leaseUntilMS = max(vm.leaseUntilMS, ct.ck.Now()+inDoubtMS)
	for _, rn := range vm.runs {
		rn.stoppedMS = 0
	}
}

// expireRuns ends all runs of a VM whose incarnation or leases have ended, except for unanswered starts that its next incarnation may still execute.
func (ct *Controller) expireRuns(vm *vmState) {
	nowMS := ct.ck.Now()
	for _, rn := range vm.runs {
		if rn.phase == phasePlanned {
			continue
		}
		unanswered := rn.phase == phaseOrdered || rn.phase == phaseInDoubt
		if unanswered && rn.token == ct.token && nowMS-rn.startedMS < inDoubtMS && vm.registered {
			ct.setPhase(rn, phaseStopping)
			rn.stoppedMS = 0
			continue
		}
		ct.endRun(rn, workpb.End_END_LEASE_EXPIRED, "")
	}
}
