package jobcontrol

import "github.com/fulmarloft/fulmarloft/internal/scheduling/taskname"

// taskNamed returns the task of a name, or nil if the controller doesn't know its job or the job has no such task.
func (ct *Controller) taskNamed(name string) *task {
	nm, err := taskname.Parse(name)
	if err != nil {
		return nil
	}
	jb, ok := ct.jobs[nm.Job()]
	if !ok {
		return nil
	}
	return jb.task(nm)
}

// openTask returns the task of a name if it isn't done and its job hasn't ended, or nil.
func (ct *Controller) openTask(name string) *task {
	tk := ct.taskNamed(name)
	if tk == nil || tk.done || tk.job().ended() {
		return nil
	}
	return tk
}
