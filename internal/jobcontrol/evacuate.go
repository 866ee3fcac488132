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
	for _, rn := range vm.runs {
		if rn.phase != phaseRunning || (!rn.lasting() && !force) {
			continue
		}
		if !rn.lasting() {
			ct.stop(rn)
			continue
		}
		// A task that wasn't available at the last poll may be by now, so it is stopped only within the budget, like any other.
		ct.evacuateRun(rn, int(rn.task.st.row.GetDisruptionBudget()))
	}
	return false
}

// evacuateRun stops the run of a long-running task if that leaves no more than a number of the step's tasks unavailable.
func (ct *Controller) evacuateRun(rn *run, maxUnavailable int) {
	// Runs that an earlier owner stopped may still be listed as running.
	if ct.ck.Now()-ct.startedMS < handoverMS || rn.task.st.unavailable(rn.task) >= maxUnavailable {
		return
	}
	ct.lg.Info("run-evacuated", "vm", rn.vm.id, "task", rn.key.task, "run", rn.key.run)
	ct.stop(rn)
}

// evacuateDraining moves long-running tasks off VMs that are about to end, one of each step at least, as far as other VMs have room for them: at its VM's end a task is unavailable for longer.
func (ct *Controller) evacuateDraining(pools map[string][]*vmState) {
	for _, vm := range ct.vms {
		if !vm.registered || !vm.reg.GetDraining() || vm.unresponsive {
			continue
		}
		pool := pools[vm.reg.GetService()]
		for _, rn := range vm.runs {
			if rn.phase == phaseRunning && rn.lasting() && chooseVM(rn.task, pool) != nil {
				ct.evacuateRun(rn, max(int(rn.task.st.row.GetDisruptionBudget()), 1))
			}
		}
	}
}

// HasLasting reports whether long-running tasks run on a VM.
func (ct *Controller) HasLasting(id string) bool {
	vm, ok := ct.vms[id]
	return ok && vm.hasRun((*run).lasting)
}
