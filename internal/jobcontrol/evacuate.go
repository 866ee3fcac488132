package jobcontrol

// handoverMS is how long a new owner stops no lasting task: longer than stops that an earlier owner ordered take.
const handoverMS = 1500

// Cordon keeps new work from a VM, or admits it again.
func (ct *Controller) Cordon(id string, cordoned bool) {
	if vm, ok := ct.vms[id]; ok {
		vm.cordoned = cordoned
	}
}

// Load returns the runs on a VM; it is 0 for one that isn't known.
func (ct *Controller) Load(id string) int {
	vm, ok := ct.vms[id]
	if !ok {
		return 0
	}
	return len(vm.runs)
}

// Evacuate moves lasting tasks off a cordoned VM as their disruption budgets allow, lets the others end unless they are stopped by force, and reports whether nothing runs there any more and all ends are stored.
func (ct *Controller) Evacuate(id string, force bool) bool {
	vm, ok := ct.vms[id]
	if !ok {
		return true
	}
	if len(vm.runs) == 0 {
		return vm.processed == vm.stored
	}
	// What an earlier owner stopped may still be listed as at work.
	settled := ct.ck.Now()-ct.startedMS >= handoverMS
	for _, rn := range vm.runs {
		if rn.phase != phaseRunning || (!rn.lasting() && !force) {
			continue
		}
		if !rn.lasting() {
			ct.stop(rn)
			continue
		}
		// A task that didn't serve when it was last looked at may serve by now, so it counts like any other.
		if settled && rn.task.st.unavailable(rn.task) < int(rn.task.st.row.GetDisruptionBudget()) {
			ct.lg.Info("run-evacuated", "vm", id, "task", rn.key.task, "run", rn.key.run)
			ct.stop(rn)
		}
	}
	return false
}

// HasLasting reports whether tasks that last run on a VM.
func (ct *Controller) HasLasting(id string) bool {
	vm, ok := ct.vms[id]
	return ok && vm.hasRun((*run).lasting)
}
