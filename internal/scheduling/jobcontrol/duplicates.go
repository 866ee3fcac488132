package jobcontrol

// duplicableTask returns the named task if it isn't done and its step allows duplicate runs, or nil.
func (ct *Controller) duplicableTask(name string) *task {
	tk := ct.openTask(name)
	if tk == nil || !tk.st.row.GetDuplicates() || tk.st.row.GetLasting() {
		return nil
	}
	return tk
}

// duplicateFailed counts the failure of a duplicate run that this owner detached; failures of an earlier owner's runs may have been counted by that owner.
func (ct *Controller) duplicateFailed(name string) {
	if tk := ct.duplicableTask(name); tk != nil {
		ct.markTask(tk)
		ct.taskFailed(tk)
	}
}

// detachDuplicates lets tasks whose steps allow duplicate runs start elsewhere as soon as their VM is unresponsive; their runs there are stopped when it answers again.
func (ct *Controller) detachDuplicates(vm *vmState) {
	for _, rn := range vm.runs {
		if rn.isDuplicate && rn.phase == phaseRunning {
			// The first of two runs: its task goes on with the second, or starts elsewhere.
			ct.setPhase(rn, phaseStopping)
		}
		if rn.task == nil || rn.phase == phasePlanned || !rn.task.st.row.GetDuplicates() || rn.lasting() || rn.task.st.row.GetGang() || !rn.mayDetach() {
			continue
		}
		markReplaced(rn, ct.detach(rn))
		if rn.phase == phaseOrdered {
			// Its start may still wait to be sent.
			ct.sendStop(rn)
		}
		ct.setPhase(rn, phaseStopping)
	}
}

// markReplaced records that a task may start elsewhere beside one of its runs.
func markReplaced(rn *run, tk *task) {
	rn.isDuplicate = true
	if tk == nil {
		return
	}
	if tk.replaced == nil {
		tk.replaced = map[int64]*run{}
	}
	tk.replaced[rn.key.run] = rn
}

// forgetReplaced removes a run that has ended from those that its task was started beside.
func (ct *Controller) forgetReplaced(rn *run) {
	if !rn.isDuplicate {
		return
	}
	if tk := ct.taskNamed(rn.key.task); tk != nil {
		delete(tk.replaced, rn.key.run)
	}
}
