package jobcontrol

import (
	"cmp"
	"slices"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

// Restore adds a stored job with the rows of its stored progress, of which there may be none.
func (ct *Controller) Restore(row *workpb.Job, rows []*workpb.Progress) {
	state := firstRow(rows)
	if state.GetState() == workpb.State_COMPLETED || row.GetEnded() != workpb.State_QUEUED {
		ct.restoreEnded(row)
		return
	}
	jb := ct.addJob(row)
	ct.recordArrival(jb)
	if len(rows) == 0 {
		return
	}
	jb.state = state.GetState()
	if len(state.GetCompleted()) > 0 {
		if err := jb.restoreCompleted(state.GetCompleted()); err != nil {
			ct.lg.Fail("stored-occurrences-unusable", err, "job", row.GetId())
		}
	}
	ct.restoreRows(jb, rows)
	if jb.ended() {
		ct.stopAll(jb)
		delete(ct.active, row.GetId())
		ct.endedIDs = append(ct.endedIDs, row.GetId())
		return
	}
	ct.completeRestored(jb)
}

// firstRow returns the row with the job's state, nil if there is none.
func firstRow(rows []*workpb.Progress) *workpb.Progress {
	for _, pg := range rows {
		if pg.GetPart() == firstPart {
			return pg
		}
	}
	return nil
}

// restoreRows restores the tasks of all rows. An earlier version kept all tasks in the first row, which therefore counts last, and the parts to which they belong are written; so are those in which nothing is left to be stored.
func (ct *Controller) restoreRows(jb *job, rows []*workpb.Progress) {
	rows = slices.SortedFunc(slices.Values(rows), func(one, other *workpb.Progress) int { return cmp.Compare(other.GetPart(), one.GetPart()) })
	for _, pg := range rows {
		jb.part(pg.GetPart()).stored = true
		for _, tr := range pg.GetTasks() {
			ct.restoreTask(jb, pg, tr)
		}
	}
	for _, pg := range rows {
		if pt := jb.part(pg.GetPart()); pt.row() == nil {
			ct.markPart(pt)
		}
	}
}

// completeRestored takes a gang of which a member is done for done, since its other members are stored in other rows, and closes what is complete.
func (ct *Controller) completeRestored(jb *job) {
	for _, oc := range slices.Clone(jb.occurrences) {
		for _, st := range oc.steps {
			if st.row.GetGang() && st.done > 0 {
				ct.taskDone(st.task(0))
			}
		}
		if len(oc.steps) > 0 && oc.complete() {
			ct.closeOccurrence(oc)
		}
	}
	if jb.complete() && !jb.ended() {
		ct.end(jb, workpb.State_COMPLETED)
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
	name := taskNameOf(jb, tr)
	if jb.completed.Contains(name.Occurrence()) {
		return
	}
	tk := jb.storedTask(name)
	if tk == nil {
		ct.lg.Info("stored-task-unknown", "job", jb.row.GetId(), "step", tr.GetStep(), "index", tr.GetIndex())
		return
	}
	if part := tk.partNumber(); part != pg.GetPart() && tr.GetRun() > 0 {
		if tk.run > 0 {
			return
		}
		ct.markTask(tk)
	}
	if tk.run > 0 || tr.GetRun() <= 0 {
		// The row lists the task twice, or a run that no owner starts.
		ct.lg.Info("stored-task-unusable", "job", jb.row.GetId(), "step", tr.GetStep(), "index", tr.GetIndex())
		return
	}
	tk.run = tr.GetRun()
	tk.st.oc.begun = true
	tk.failures = tr.GetFailures()
	tk.checkpoint = tr.GetCheckpoint()
	if cr := tr.GetCrashes(); cr != nil {
		tk.crashes = crashes{confirmed: cr.GetConfirmed(), doubtful: cr.GetDoubtful(), blamed: cr.GetBlamed()}
		tk.setProbation(true)
	}
	tk.st.failures = max(tk.st.failures, tr.GetFailures())
	switch tr.GetPhase() {
	case workpb.Phase_DONE:
		tk.setDone()
	case workpb.Phase_INTENDED:
		rn := ct.allocate(ct.restoreHost(hostOf(pg, tr)), tk, phaseInDoubt)
		rn.token, rn.settled = 0, tr.GetSettled()
		rn.pace.Forget()
		rn.vm.paceInherited = rn.vm.paceInherited || rn.bestEffort()
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
	vm.answeredAddress = host.GetAddress()
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
