package jobcontrol

// handoverMS is how long a new owner waits before it evacuates long-running tasks; stops that an earlier owner ordered take less.
const handoverMS = 1500

// Cordon stops placing new work on a VM, or allows it again.
func (ct *Controller) Cordon(id string, cordoned bool) {
	if vm, ok := ct.vms[id]; ok {
		vm.cordoned = cordoned
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
		return vm.processed == vm.stored
	}
	// Runs that an earlier owner stopped may still be listed as running.
	handoverDone := ct.ck.Now()-ct.startedMS >= handoverMS
	for _, rn := range vm.runs {
		if rn.phase != phaseRunning || (!rn.lasting() && !force) {
			continue
		}
		if !rn.lasting() {
			ct.stop(rn)
			continue
		}
		// A task that wasn't available at the last poll may be by now, so it is stopped only within the budget, like any other.
		if handoverDone && rn.task.st.unavailable(rn.task) < int(rn.task.st.row.GetDisruptionBudget()) {
			ct.lg.Info("run-evacuated", "vm", id, "task", rn.key.task, "run", rn.key.run)
			ct.stop(rn)
		}
	}
	return false
}

// HasLasting reports whether long-running tasks run on a VM.
func (ct *Controller) HasLasting(id string) bool {
	vm, ok := ct.vms[id]
	return ok && vm.hasRun((*run).lasting)
}
