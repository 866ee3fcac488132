package jobcontrol

import "github.com/fulmarloft/fulmarloft/internal/taskname"

// copied returns the waiting or running task of a name where copies may run side by side, or nil.
func (ct *Controller) duplicableTask(name string) *task {
	nm, err := taskname.Parse(name)
	if err != nil {
		return nil
	}
	jb, ok := ct.jobs[nm.Job()]
	if !ok || jb.ended() {
		return nil
	}
	tk := jb.task(nm)
	if tk == nil || tk.done || !tk.st.row.GetDuplicates() || tk.st.row.GetLasting() {
		return nil
	}
	return tk
}

// copyDone takes up that some copy of a task is done: the first one counts, and the other is stopped.
func (ct *Controller) duplicateDone(name string) {
	tk := ct.duplicableTask(name)
	if tk == nil {
		return
	}
	if rn := tk.current; rn != nil {
		ct.detach(rn)
		ct.stop(rn)
	}
	ct.markDirty(tk.job())
	ct.taskDone(tk)
}

// copyFailed counts the failure of a copy that this owner left behind; an earlier owner's failures may have been counted by it.
func (ct *Controller) duplicateFailed(name string) {
	if tk := ct.duplicableTask(name); tk != nil {
		ct.markDirty(tk.job())
		ct.taskFailed(tk)
	}
}

// copyElsewhere lets tasks whose copies may run side by side start elsewhere at once when their VM is silent; what runs there is stopped when it answers.
func (ct *Controller) detachDuplicates(vm *vmState) {
	for _, rn := range vm.runs {
		if rn.task == nil || rn.phase == phasePlanned || !rn.task.st.row.GetDuplicates() || rn.lasting() || rn.task.st.row.GetGang() {
			continue
		}
		ct.detach(rn)
		rn.isDuplicate = true
		rn.phase = phaseStopping
	}
}
