package jobcontrol

import "github.com/fulmarloft/fulmarloft/internal/workpb"

// SetVM takes up a VM's registration.
func (ct *Controller) SetVM(reg *workpb.VM) {
	on := ct.vmOf(reg.GetId())
	if on.bornMS != 0 && reg.GetBornMs() != 0 && reg.GetBornMs() > on.bornMS {
		// Only the VM's own lists tell what was started in its new life already.
		on.synced = false
		on.nextLookMS = ct.ck.Now()
	}
	if !on.registered || on.reg.GetDraining() != reg.GetDraining() {
		ct.lg.Info("vm-registered", "vm", reg.GetId(), "service", reg.GetService(), "draining", reg.GetDraining())
	}
	on.reg = reg
	on.registered = true
}

// DropVM takes up that a VM isn't registered any more.
func (ct *Controller) DropVM(id string) {
	if on, ok := ct.vms[id]; ok && on.registered {
		ct.lg.Info("vm-unregistered", "vm", id, "runs", len(on.runs))
		on.registered = false
	}
}

// SetMachines takes up a list of machines that was read from readMS on: a VM whose machine carries another one, or none since it is being moved or maintained, has ended.
func (ct *Controller) SetMachines(readMS int64, list []*workpb.Machine) {
	rows := make(map[string]*workpb.Machine, len(list))
	for _, row := range list {
		rows[row.GetId()] = row
	}
	for id, on := range ct.vms {
		row, ok := rows[on.reg.GetMachine()]
		if !ok || on.seenMS >= readMS || on.answeredMS >= readMS || len(on.runs) == 0 {
			continue
		}
		replaced := row.GetUp() && row.GetVm() != "" && row.GetVm() != id
		if replaced || row.GetMoving() || row.GetInUpkeep() {
			ct.lg.Info("vm-ended", "vm", id, "machine", row.GetId(), "runs", len(on.runs))
			on.synced = false
			ct.loseRuns(on)
		}
	}
}

// newLife takes up that a VM started anew: its counts begin at 0, and no stop of before still holds. What ran there is over unless the VM lists it, since a start may have been executed in the new life already.
func (ct *Controller) newLife(on *vm, bornMS int64) {
	ct.lg.Info("vm-restarted", "vm", on.id, "born", bornMS, "runs", len(on.runs))
	on.bornMS = bornMS
	on.processed, on.stored = 0, 0
	on.pace = fullPercent
	// A start with a deadline on the clock of the earlier life got the longest lease that there is.
	on.leaseUntilMS = max(on.leaseUntilMS, ct.ck.Now()+doubtMS)
	for _, rn := range on.runs {
		rn.stoppedMS = 0
	}
}

// loseRuns ends all runs of a VM whose life or leases have ended, but for orders that may yet be executed in its next life.
func (ct *Controller) loseRuns(on *vm) {
	nowMS := ct.ck.Now()
	for _, rn := range on.runs {
		if rn.phase == phasePlanned {
			continue
		}
		unanswered := rn.phase == phaseOrdered || rn.phase == phaseDoubtful
		if unanswered && rn.token == ct.token && nowMS-rn.sinceMS < doubtMS && on.registered {
			rn.phase = phaseStopping
			rn.stoppedMS = 0
			continue
		}
		ct.endRun(rn, workpb.End_END_LEASE_EXPIRED, "")
	}
}
