package jobcontrol

// admitted reports whether a run for which room is allocated may be started on its VM. The VM's service, labels, capacity and runs may have changed since the start was planned.
func (ct *Controller) admitted(rn *run) bool {
	qu := ct.queueOf(rn.task.job())
	if qu == nil || !rn.vm.registrationCurrent() || qu.GetService() != rn.vm.reg.GetService() || !rn.vm.offersLabel(rn.st) {
		return false
	}
	limit := int(rn.st.row.GetMaxPerVm())
	if limit > 0 && rn.vm.runsOfStep(rn.st) > limit {
		return false
	}
	return rn.vm.used.Fits(rn.vm.capacity())
}

// stopUnadmitted stops the starts on a VM that were ordered and aren't answered yet, and that its registration or its other runs no longer admit; a start that still waits to be sent is withdrawn.
func (ct *Controller) stopUnadmitted(vm *vmState) {
	for _, rn := range vm.runs {
		if rn.phase == phaseOrdered && rn.task != nil && !ct.admitted(rn) {
			ct.lg.Info("start-unadmitted", "vm", vm.id, "task", rn.key.task, "run", rn.key.run)
			ct.stop(rn)
		}
	}
}

// offersLabel reports whether the VM has the label that a step requires.
func (vm *vmState) offersLabel(st *step) bool {
	return st.row.GetLabel() == "" || vm.hasLabel(st.row.GetLabel())
}
