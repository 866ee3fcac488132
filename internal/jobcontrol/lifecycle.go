package jobcontrol

import "github.com/fulmarloft/fulmarloft/internal/workpb"

// SetVM takes up a VM's registration.
func (ct *Controller) SetVM(reg *workpb.VM) {
	vm := ct.ensureVM(reg.GetId())
	if vm.startMS != 0 && reg.GetBornMs() != 0 && reg.GetBornMs() > vm.startMS {
		// Only the VM's own lists tell what was started in its new life already.
		vm.synced = false
		vm.nextPollMS = ct.ck.Now()
	}
	if !vm.registered || vm.reg.GetDraining() != reg.GetDraining() {
		ct.lg.Info("vm-registered", "vm", reg.GetId(), "service", reg.GetService(), "draining", reg.GetDraining())
	}
	vm.reg = reg
	vm.registered = true
}

// DropVM takes up that a VM isn't registered any more.
func (ct *Controller) DropVM(id string) {
	if vm, ok := ct.vms[id]; ok && vm.registered {
		ct.lg.Info("vm-unregistered", "vm", id, "runs", len(vm.runs))
		vm.registered = false
	}
}

// SetMachines takes up a list of machines that was read from readMS on: a VM whose machine carries another one, or none since it is being moved or maintained, has ended.
func (ct *Controller) SetMachines(readMS int64, list []*workpb.Machine) {
	rows := make(map[string]*workpb.Machine, len(list))
	for _, row := range list {
		rows[row.GetId()] = row
	}
	for id, vm := range ct.vms {
		row, ok := rows[vm.reg.GetMachine()]
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

// newLife takes up that a VM started anew: its counts begin at 0, and no stop of before still holds. What ran there is over unless the VM lists it, since a start may have been executed in the new life already.
func (ct *Controller) handleRestart(vm *vmState, bornMS int64) {
	ct.lg.Info("vm-restarted", "vm", vm.id, "born", bornMS, "runs", len(vm.runs))
	vm.startMS = bornMS
	vm.processed, vm.stored = 0, 0
	vm.pace = fullPercent
	// A start with a deadline on the clock of the earlier life got the longest lease that there is.
	vm.leaseUntilMS = max(vm.leaseUntilMS, ct.ck.Now()+inDoubtMS)
	for _, rn := range vm.runs {
		rn.stoppedMS = 0
	}
}

// loseRuns ends all runs of a VM whose life or leases have ended, but for orders that may yet be executed in its next life.
func (ct *Controller) expireRuns(vm *vmState) {
	nowMS := ct.ck.Now()
	for _, rn := range vm.runs {
		if rn.phase == phasePlanned {
			continue
		}
		unanswered := rn.phase == phaseOrdered || rn.phase == phaseInDoubt
		if unanswered && rn.token == ct.token && nowMS-rn.startedMS < inDoubtMS && vm.registered {
			rn.phase = phaseStopping
			rn.stoppedMS = 0
			continue
		}
		ct.endRun(rn, workpb.End_END_LEASE_EXPIRED, "")
	}
}
