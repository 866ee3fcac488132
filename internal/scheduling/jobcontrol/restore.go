package jobcontrol

import "github.com/fulmarloft/fulmarloft/internal/pb/workpb"

// Restore adds a stored job with its stored progress, which is nil if none was stored.
func (ct *Controller) Restore(row *workpb.Job, pg *workpb.Progress) {
	if pg.GetState() == workpb.State_COMPLETED || row.GetEnded() != workpb.State_QUEUED {
		ct.restoreEnded(row)
		return
	}
	jb := ct.addJob(row)
	ct.recordArrival(jb)
	if pg == nil {
		return
	}
	jb.state = pg.GetState()
	for _, tr := range pg.GetTasks() {
		ct.restoreTask(jb, pg, tr)
	}
	if jb.ended() {
		ct.stopAll(jb)
		delete(ct.active, row.GetId())
		ct.endedIDs = append(ct.endedIDs, row.GetId())
	}
}

// restoreEnded adds a stored job that is completed or whose row is short.
func (ct *Controller) restoreEnded(row *workpb.Job) {
	jb := newJob(row)
	jb.state = workpb.State_COMPLETED
	ct.completed[row.GetId()] = true
	ct.endedIDs = append(ct.endedIDs, row.GetId())
	ct.recordArrival(jb)
	if row.GetEnded() == workpb.State_QUEUED {
		ct.shortRows[row.GetId()] = jb.shortRow()
	}
}

func (ct *Controller) restoreTask(jb *job, pg *workpb.Progress, tr *workpb.Task) {
	tk := jb.storedTask(taskNameOf(jb, tr))
	if tk == nil {
		ct.lg.Info("stored-task-unknown", "job", jb.row.GetId(), "step", tr.GetStep(), "index", tr.GetIndex())
		return
	}
	if tk.run > 0 || tr.GetRun() <= 0 {
		// The row lists the task twice, or a run that no owner starts.
		ct.lg.Info("stored-task-unusable", "job", jb.row.GetId(), "step", tr.GetStep(), "index", tr.GetIndex())
		return
	}
	tk.run = tr.GetRun()
	tk.failures = tr.GetFailures()
	tk.checkpoint = tr.GetCheckpoint()
	if cr := tr.GetCrashes(); cr != nil {
		tk.crashes = crashes{confirmed: cr.GetConfirmed(), doubtful: cr.GetDoubtful(), blamed: cr.GetBlamed(), probation: true}
	}
	tk.st.failures = max(tk.st.failures, tr.GetFailures())
	switch tr.GetPhase() {
	case workpb.Phase_DONE:
		tk.done = true
		tk.st.done++
	case workpb.Phase_INTENDED:
		rn := ct.allocate(ct.restoreHost(hostOf(pg, tr)), tk, phaseInDoubt)
		rn.token, rn.settled = 0, tr.GetSettled()
		if !rn.settled {
			rn.mayStartUntilMS = ct.ck.Now() + inDoubtMS
		}
	case workpb.Phase_WAITING:
	}
	ct.restoreEarlierRuns(pg, tk, tr)
}

// restoreEarlierRuns restores the runs that an earlier owner no longer counted for the task, but for their VMs, their team or the task's failures.
func (ct *Controller) restoreEarlierRuns(pg *workpb.Progress, tk *task, tr *workpb.Task) {
	for _, er := range tr.GetReplaced() {
		rn := ct.newRun(ct.restoreHost(hostAt(pg, er.GetHost())), tk, er.GetRun(), phaseStopping)
		rn.token, rn.mayStartUntilMS = 0, ct.ck.Now()+inDoubtMS
		markReplaced(rn, tk)
		ct.addRun(rn)
	}
	for _, er := range tr.GetGivenUp() {
		tk.giveUp(er.GetRun(), ct.restoreHost(hostAt(pg, er.GetHost())))
	}
}

// restoreHost returns the VM of a stored run.
func (ct *Controller) restoreHost(host *workpb.Host) *vmState {
	vm := ct.ensureVM(host.GetVm())
	vm.reg.Machine, vm.reg.Address, vm.reg.Zone = host.GetMachine(), host.GetAddress(), host.GetZone()
	return vm
}

// hostAt returns the VM at a position in a progress row's hosts, counted from 1.
func hostAt(pg *workpb.Progress, at int32) *workpb.Host {
	if at < 1 || int(at) > len(pg.GetHosts()) {
		return &workpb.Host{}
	}
	return pg.GetHosts()[at-1]
}

// hostOf returns the VM of a stored task; rows of earlier versions name it in the task itself.
func hostOf(pg *workpb.Progress, tr *workpb.Task) *workpb.Host {
	if tr.GetHost() > 0 {
		return hostAt(pg, tr.GetHost())
	}
	return &workpb.Host{Vm: tr.GetVm(), Machine: tr.GetMachine()}
}
