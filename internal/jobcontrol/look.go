package jobcontrol

import (
	"github.com/fulmarloft/fulmarloft/internal/taskname"
	"github.com/fulmarloft/fulmarloft/internal/workpb"
)

const (
	// busyLookMS is the pause between looks at a VM where something runs; ends that come together are then listed together.
	busyLookMS = 120
	// busyWaitMS is how long a VM waits for an end before it answers a look.
	busyWaitMS = 600
	// idleLookMS is the pause between looks at a VM where nothing runs.
	idleLookMS = 1500
	// lostLookMS is the pause before the next look at a VM that didn't answer.
	lostLookMS = 300
	// maxFailedLooks is after how many looks in a row without an answer a VM counts as silent; single answers may get lost.
	maxFailedLooks = 2
	// stopRetryMS is the pause between stops of a run that doesn't end.
	stopRetryMS = 500
	// stalledMS is how long a run may show no progress.
	stalledMS = 3000
)

func nameOf(jb *job, tr *workpb.Task) taskname.Name {
	return taskname.New(jb.row.GetId(), int(tr.GetOccurrence()), int(tr.GetStep()), int(tr.GetIndex()))
}

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

// VMs returns the ids of all VMs in the ledger.
func (ct *Controller) VMs() []string {
	ids := make([]string, 0, len(ct.vms))
	for id := range ct.vms {
		ids = append(ids, id)
	}
	return ids
}

// NextLook returns the look that is due at a VM, or nil.
func (ct *Controller) NextLook(id string) *workpb.LookRequest {
	on, ok := ct.vms[id]
	nowMS := ct.ck.Now()
	if !ok || on.looking || on.reg.GetAddress() == "" || nowMS < on.nextLookMS {
		return nil
	}
	if (!on.registered || on.departing()) && len(on.runs) == 0 {
		return nil
	}
	on.looking = true
	req := &workpb.LookRequest{Vm: id, Address: on.reg.GetAddress(), Token: ct.token, Acknowledged: on.stored}
	if on.synced && !on.silent {
		// A VM that doesn't answer gets no new lease, so that the end of the last one can be waited out.
		req.LeaseUntilMs = ct.lease(on)
	}
	if on.synced && !on.silent && len(on.runs) > 0 && on.stored == on.processed && on.failedLooks == 0 && !on.mixed() && !on.unsettled() {
		req.WaitMs = busyWaitMS
	}
	return req
}

// departing reports whether the VM is about to end with its machine's move, all of its ends being stored.
func (vm *vm) departing() bool { return vm.leaving && vm.processed == vm.stored }

// mixed reports whether filling and serving tasks share the VM, so that the tails must be watched.
func (vm *vm) mixed() bool { return vm.serving() && vm.filled() }

// lease returns a deadline on the VM's clock for a renewal that is sent now.
func (ct *Controller) lease(on *vm) int64 {
	nowMS := ct.ck.Now()
	on.leaseUntilMS = max(on.leaseUntilMS, nowMS+ct.outwaitMS())
	return on.clock(nowMS) + ct.runLeaseMS
}

// Looked takes up the answer to a look that was sent at sentMS.
func (ct *Controller) Looked(id string, sentMS int64, lk *workpb.Look, vd workpb.Verdict) {
	on, ok := ct.vms[id]
	if !ok {
		return
	}
	on.looking = false
	nowMS := ct.ck.Now()
	if vd != workpb.Verdict_ACCEPTED {
		ct.lookFailed(on, vd)
		return
	}
	if on.silent {
		ct.lg.Info("vm-answers", "vm", id)
	}
	on.silent = false
	on.failedLooks = 0
	ct.zoneAnswered(on.reg.GetZone())
	on.answeredMS = nowMS
	if lk.GetBornMs() != 0 && lk.GetBornMs() != on.bornMS {
		if on.bornMS != 0 {
			ct.newLife(on, lk.GetBornMs())
		}
		on.bornMS = lk.GetBornMs()
	}
	on.clockMS, on.clockAtMS = lk.GetClockMs(), nowMS
	listed := ct.takeRunning(on, lk.GetRunning())
	ct.takeEnded(on, lk.GetEnded(), listed)
	ct.review(on, sentMS, listed)
	on.synced = true
	ct.pace(on)
	on.nextLookMS = nowMS + ct.lookPause(on)
}

func (ct *Controller) lookPause(on *vm) int64 {
	switch {
	case on.mixed():
		return mixedLookMS
	case len(on.runs) > 0 || on.processed > on.stored:
		return busyLookMS
	default:
		return idleLookMS
	}
}

func (ct *Controller) lookFailed(on *vm, vd workpb.Verdict) {
	on.failedLooks++
	if vd == workpb.Verdict_IN_DOUBT {
		ct.zoneFailed(on.reg.GetZone())
	}
	if vd == workpb.Verdict_IN_DOUBT && on.failedLooks < maxFailedLooks {
		on.nextLookMS = ct.ck.Now()
		return
	}
	if !on.silent {
		ct.lg.Info("vm-silent", "vm", on.id, "verdict", vd.String(), "runs", len(on.runs))
		ct.copyElsewhere(on)
	}
	on.silent = true
	on.nextLookMS = ct.ck.Now() + lostLookMS
	if vd == workpb.Verdict_OTHER_VM {
		// Another VM has the address, so the one that was meant has ended.
		on.synced = false
		ct.loseRuns(on)
	}
}

// takeRunning takes up the list of runs and returns their keys.
func (ct *Controller) takeRunning(on *vm, list []*workpb.RunningRun) map[runKey]bool {
	listed := make(map[runKey]bool, len(list))
	nowMS := ct.ck.Now()
	for _, row := range list {
		key := runKey{row.GetTask(), row.GetRun()}
		listed[key] = true
		rn, ok := on.runs[key]
		if !ok {
			rn = ct.adopt(on, key)
		}
		if rn.phase == phaseOrdered || rn.phase == phaseDoubtful {
			rn.phase = phaseRunning
			rn.progressMS = nowMS
			ct.began(rn)
		}
		if row.GetPercent() != rn.percent {
			rn.progressMS = nowMS
		}
		rn.percent, rn.gauge = row.GetPercent(), row.GetGauge()
		if rn.task != nil && row.GetCheckpoint() != "" {
			rn.task.checkpoint = row.GetCheckpoint()
		}
	}
	return listed
}

// adopt takes a run into the ledger that nobody here asked for, to be stopped.
func (ct *Controller) adopt(on *vm, key runKey) *run {
	rn := &run{key: key, vm: on, phase: phaseStopping, token: ct.token, sinceMS: ct.ck.Now(), need: on.free(), progressMS: ct.ck.Now()}
	if nm, err := taskname.Parse(key.task); err == nil {
		if jb, ok := ct.jobs[nm.Job()]; ok {
			if tk := jb.task(nm); tk != nil {
				rn.need, rn.demand, rn.team = tk.st.need(), tk.st.demand(), jb.row.GetTeam()
			}
		}
	}
	ct.lg.Info("run-unknown", "vm", on.id, "task", key.task, "run", key.run)
	ct.hold(rn)
	ct.sendStop(rn)
	return rn
}

// began notes that a task of the job has started.
func (ct *Controller) began(rn *run) {
	if rn.task == nil {
		return
	}
	jb := rn.task.job()
	if jb.state == workpb.State_QUEUED {
		jb.state = workpb.State_RUNNING
		ct.touch(jb)
	}
}

func (ct *Controller) takeEnded(on *vm, list []*workpb.EndedRun, listed map[runKey]bool) {
	for _, row := range list {
		if row.GetNumber() <= on.processed {
			continue
		}
		on.processed = row.GetNumber()
		key := runKey{row.GetTask(), row.GetRun()}
		delete(listed, key)
		rn, ok := on.runs[key]
		if ok && rn.isCopy && row.GetEnd() == workpb.End_END_FAILED {
			ct.copyFailed(row.GetTask())
		}
		if ok {
			ct.endRun(rn, row.GetEnd(), row.GetCheckpoint())
		}
		if row.GetEnd() == workpb.End_END_DONE {
			ct.copyDone(row.GetTask())
		}
	}
}

// copied returns the waiting or running task of a name where copies may run side by side, or nil.
func (ct *Controller) copied(name string) *task {
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
func (ct *Controller) copyDone(name string) {
	tk := ct.copied(name)
	if tk == nil {
		return
	}
	if rn := tk.cur; rn != nil {
		ct.detach(rn)
		ct.stop(rn)
	}
	ct.touch(tk.job())
	ct.taskDone(tk)
}

// copyFailed counts the failure of a copy that this owner left behind; an earlier owner's failures may have been counted by it.
func (ct *Controller) copyFailed(name string) {
	if tk := ct.copied(name); tk != nil {
		ct.touch(tk.job())
		ct.taskFailed(tk)
	}
}

// review looks after the runs of the ledger that the VM doesn't list, that stall or that don't stop.
func (ct *Controller) review(on *vm, sentMS int64, listed map[runKey]bool) {
	nowMS := ct.ck.Now()
	for key, rn := range on.runs {
		switch {
		case listed[key]:
			ct.reviewListed(rn, nowMS)
		case rn.phase == phaseRunning && rn.sinceMS < sentMS:
			ct.lg.Info("run-vanished", "vm", on.id, "task", key.task, "run", key.run)
			ct.endRun(rn, workpb.End_END_LEASE_EXPIRED, "")
		case rn.phase == phaseDoubtful && rn.token < ct.token:
			// The VM has seen this owner's token, so an earlier owner's order can't be executed any more.
			ct.endRun(rn, workpb.End_END_LEASE_EXPIRED, "")
		case rn.phase == phaseDoubtful:
			ct.stop(rn)
		case rn.phase == phaseStopping && rn.stoppedMS > 0 && rn.stoppedMS < sentMS:
			ct.endRun(rn, workpb.End_END_STOPPED, "")
		case rn.phase == phaseStopping && nowMS-rn.stopSentMS >= stopRetryMS:
			ct.sendStop(rn)
		}
	}
}

func (ct *Controller) reviewListed(rn *run, nowMS int64) {
	switch {
	case rn.phase == phaseStopping && nowMS-rn.stopSentMS >= stopRetryMS:
		ct.sendStop(rn)
	case rn.phase == phaseRunning && ct.stalled(rn, nowMS):
		ct.lg.Info("run-stalled", "vm", rn.vm.id, "task", rn.key.task, "run", rn.key.run, "percent", rn.percent)
		ct.suspect(rn)
		ct.stop(rn)
	case rn.phase == phaseRunning && rn.slow(nowMS):
		ct.lg.Info("run-slow", "vm", rn.vm.id, "task", rn.key.task, "run", rn.key.run, "percent", rn.percent, "age-ms", nowMS-rn.sinceMS)
		rn.task.movedSlow = true
		ct.suspect(rn)
		ct.stop(rn)
	}
}

const (
	// slowAfterMS is the least age of a run that is judged by its progress.
	slowAfterMS = 1200
	// slowFactor is by how many estimates the rest of a run must exceed what a new run elsewhere takes.
	slowFactor = 2
)

// slow reports whether a run would end much sooner if it were started anew elsewhere; a task is moved for that once, since estimates are rough.
func (rn *run) slow(nowMS int64) bool {
	if rn.task == nil || rn.task.movedSlow || rn.lasting() || rn.task.st.row.GetGang() {
		return false
	}
	age, estimate := nowMS-rn.sinceMS, rn.task.st.row.GetEstimateMs()
	if estimate <= 0 || age < max(slowAfterMS, estimate) || rn.percent >= fullPercent {
		return false
	}
	rest := age * (fullPercent - rn.percent) / max(rn.percent, 1)
	return rest > slowFactor*estimate+slowAfterMS
}

// copyElsewhere lets tasks whose copies may run side by side start elsewhere at once when their VM is silent; what runs there is stopped when it answers.
func (ct *Controller) copyElsewhere(on *vm) {
	for _, rn := range on.runs {
		if rn.task == nil || rn.phase == phasePlanned || !rn.task.st.row.GetDuplicates() || rn.lasting() || rn.task.st.row.GetGang() {
			continue
		}
		ct.detach(rn)
		rn.isCopy = true
		rn.phase = phaseStopping
	}
}

// stalled reports whether a run shows no progress though nothing holds it back.
func (ct *Controller) stalled(rn *run, nowMS int64) bool {
	if rn.task == nil || rn.task.st.row.GetGang() || rn.fills() {
		return false
	}
	if rn.percent >= fullPercent {
		return false
	}
	return nowMS-rn.progressMS > max(stalledMS, rn.task.st.row.GetEstimateMs())
}

func (ct *Controller) suspect(rn *run) {
	if rn.task == nil {
		return
	}
	rn.task.avoid = append(rn.task.avoid, rn.vm.id)
	if rn.vm.trust.Fail(ct.ck.Now(), rn.task.job().row.GetId()) {
		ct.lg.Info("vm-suspected", "vm", rn.vm.id)
	}
}
