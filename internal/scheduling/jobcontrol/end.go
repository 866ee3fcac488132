package jobcontrol

import "github.com/fulmarloft/fulmarloft/internal/pb/workpb"

const (
	// retryBackoffMS is the delay before a failed task's next run, multiplied by its failures so far.
	retryBackoffMS = 100
	// gangBackoffMS is the delay before a gang is started again of which a start couldn't be sent.
	gangBackoffMS = 500
	// maxAvoidedVMs bounds the list of VMs that a task avoids.
	maxAvoidedVMs = 3
)

// endRun handles the end of a run: it frees the run's resources, and its task is done, failed or waits for its next run.
func (ct *Controller) endRun(rn *run, how workpb.End, checkpoint string) {
	tk := rn.task
	if how == workpb.End_END_FAILED {
		ct.recordSuspicion(rn)
	}
	if how == workpb.End_END_DONE {
		ct.learnDone(rn)
	}
	isFirst := rn.isDuplicate && rn.phase == phaseRunning
	if ct.release(rn) == nil {
		if isFirst {
			ct.replacedRunLost(rn, how)
		}
		return
	}
	if checkpoint != "" {
		tk.checkpoint, tk.checkpointMS = checkpoint, ct.ck.Now()
	}
	if how == workpb.End_END_LEASE_EXPIRED && !tk.st.row.GetLasting() && !tk.st.row.GetGang() {
		tk.giveUp(rn.key.run, rn.vm)
	}
	if len(tk.avoid) > maxAvoidedVMs {
		tk.avoid = tk.avoid[len(tk.avoid)-maxAvoidedVMs:]
	}
	jb := tk.job()
	if jb.ended() {
		return
	}
	switch how {
	case workpb.End_END_DONE:
		rn.vm.suspicion.RecordSuccess()
		jb.outcomes.good++
		ct.learnSecondRun(tk)
		ct.taskDone(tk)
	case workpb.End_END_FAILED:
		ct.countFailure(tk)
		ct.lg.Info("run-failed", "vm", rn.vm.id, "task", rn.key.task, "run", rn.key.run, "failures", tk.failures)
		ct.endFailedJob(tk)
	default:
		ct.lg.Info("run-ended", "vm", rn.vm.id, "task", rn.key.task, "run", rn.key.run, "end", how.String())
	}
	if tk.st.row.GetGang() && how != workpb.End_END_DONE {
		ct.stopGang(tk.st, rn.key.run)
	}
}

// giveUp remembers a run whose end isn't known.
func (tk *task) giveUp(number int64, vm *vmState) {
	if tk.givenUp == nil {
		tk.givenUp = map[int64]*vmState{}
	}
	tk.givenUp[number] = vm
}

// givenUpRunFailed counts a failure that the VM reports after its run was given up.
func (ct *Controller) givenUpRunFailed(vm *vmState, key runKey) {
	tk := ct.openTask(key.task)
	if tk == nil || tk.givenUp[key.run] == nil || tk.givenUp[key.run].id != vm.id || tk.st.row.GetGang() || tk.st.row.GetLasting() {
		return
	}
	delete(tk.givenUp, key.run)
	ct.lg.Info("run-failed-late", "vm", vm.id, "task", key.task, "run", key.run)
	ct.markTask(tk)
	ct.taskFailed(tk)
}

func (ct *Controller) taskDone(tk *task) {
	if tk.st.row.GetLasting() {
		return
	}
	if tk.st.row.GetGang() {
		for member := range tk.st.allTasks() {
			ct.markDone(member)
		}
	} else {
		ct.markDone(tk)
	}
	jb := tk.job()
	if tk.st.oc.complete() {
		ct.closeOccurrence(tk.st.oc)
	}
	if jb.complete() && !jb.ended() {
		ct.lg.Info("job-completed", "job", jb.row.GetId(), "age-ms", ct.ck.Now()-jb.row.GetAcceptedMs())
		ct.end(jb, workpb.State_COMPLETED)
	}
}

// closeOccurrence replaces a completed occurrence by its number, in memory and in the stored progress.
func (ct *Controller) closeOccurrence(oc *occurrence) {
	if !oc.jb.closeOccurrence(oc) {
		return
	}
	ct.markState(oc.jb)
	ct.markOccurrence(oc)
}

func (ct *Controller) markDone(tk *task) {
	if !tk.done {
		tk.setDone()
		ct.markTask(tk)
	}
	ct.stopFirst(tk)
	if tk.st.done == tk.st.taskCount() {
		ct.pace.ForgetStep(tk.st.name())
	}
}

// taskFailed counts a failure of a task whose run was no longer followed.
func (ct *Controller) taskFailed(tk *task) {
	ct.countFailure(tk)
	ct.endFailedJob(tk)
}

// countFailure counts a failure of a task; a gang's run counts once, however many of its members fail.
func (ct *Controller) countFailure(tk *task) {
	nowMS := ct.ck.Now()
	st := tk.st
	tk.notBeforeMS = nowMS + retryBackoffMS*int64(tk.failures+1)
	if st.row.GetLasting() {
		return
	}
	if st.row.GetGang() {
		if st.failedRun == tk.run {
			return
		}
		st.failedRun = tk.run
		st.failures++
		for member := range st.allTasks() {
			member.failures = st.failures
			ct.markTask(member)
		}
		return
	}
	tk.failures++
}

// endFailedJob ends a task's job as failed once the task has failed as often as its queue allows; long-running tasks fail without a limit.
func (ct *Controller) endFailedJob(tk *task) {
	jb := tk.job()
	if jb.ended() || tk.st.row.GetLasting() {
		return
	}
	limit := ct.queueOf(jb).GetMaxAttempts()
	if limit > 0 && tk.failures >= limit {
		ct.lg.Info("job-failed", "job", jb.row.GetId(), "task", tk.name().String(), "failures", tk.failures)
		ct.end(jb, workpb.State_FAILED)
	}
}

// stopGang stops the other members of a gang's run.
func (ct *Controller) stopGang(st *step, number int64) {
	for member := range st.tasks.recorded() {
		if member.current != nil && member.run == number && member.current.phase != phaseStopping {
			ct.stop(member.current)
		}
	}
}

// queueOf returns the queue of a job, or the queue as it was at acceptance if it has been removed since.
func (ct *Controller) queueOf(jb *job) *workpb.Queue {
	if jb.queueRules == ct.rules && ct.rules != nil {
		return jb.queue
	}
	jb.queueRules, jb.queue = ct.rules, jb.row.GetAcceptedUnder()
	if ct.rules != nil {
		if qu, ok := ct.rules.Queue(jb.row.GetQueue()); ok {
			jb.queue = qu
		}
	}
	return jb.queue
}

// HandleOutcome records the outcome of an order.
func (ct *Controller) HandleOutcome(od *workpb.Order, oc *workpb.Outcome) {
	vm, ok := ct.vms[od.GetVm()]
	if !ok {
		return
	}
	vd := oc.GetVerdict()
	ct.checkIncarnation(vm, od, oc)
	key := runKey{od.GetTask(), od.GetRun()}
	rn, ok := vm.runs[key]
	if !ok {
		if od.GetVerb() == workpb.Verb_START {
			ct.handleLateStartVerdict(vm, key, vd)
		}
		return
	}
	switch od.GetVerb() {
	case workpb.Verb_START:
		ct.handleStartVerdict(rn, vd)
	case workpb.Verb_STOP:
		// A stop that an earlier incarnation of the VM accepted is forgotten.
		if vd == workpb.Verdict_ACCEPTED && od.GetVmBornMs() == vm.incarnation() {
			rn.stoppedMS = ct.ck.Now()
		}
	case workpb.Verb_PACE:
		ct.handlePaceVerdict(rn, od.GetPercent(), vd)
	}
}

// HandleRepeated records that a start was sent more than once: an unanswered copy may be executed after the run was confirmed.
func (ct *Controller) HandleRepeated(od *workpb.Order) {
	vm, ok := ct.vms[od.GetVm()]
	if !ok {
		return
	}
	if rn := vm.runOrLateStart(runKey{od.GetTask(), od.GetRun()}); rn != nil {
		rn.repeated = true
		rn.mayStartUntilMS = ct.ck.Now() + inDoubtMS
	}
}

// HandleWithdrawn records that the start of a run that is to be stopped was withdrawn before it was sent.
func (ct *Controller) HandleWithdrawn(od *workpb.Order) {
	rn := ct.runOf(od)
	if rn == nil {
		return
	}
	ct.lg.Info("start-withdrawn", "vm", rn.vm.id, "task", rn.key.task, "run", rn.key.run)
	ct.endUnsent(rn)
}

// HandleUnsent records that a start was not sent, for a reason that has nothing to do with the VM. The VM is polled soon, since slow answers may have kept the start waiting.
func (ct *Controller) HandleUnsent(od *workpb.Order) {
	rn := ct.runOf(od)
	if rn == nil {
		return
	}
	rn.vm.nextPollMS = min(rn.vm.nextPollMS, ct.ck.Now()+unresponsivePollIntervalMS)
	rn.recordStartAnswer(ct.ck.Now())
	if tk := rn.task; tk != nil && tk.st.row.GetGang() {
		// The stops of the other members go first.
		tk.notBeforeMS = ct.ck.Now() + gangBackoffMS
	}
	ct.endUnsent(rn)
}

// runOf returns the run that an order concerns if it is on its VM, or nil.
func (ct *Controller) runOf(od *workpb.Order) *run {
	vm, ok := ct.vms[od.GetVm()]
	if !ok {
		return nil
	}
	return vm.runs[runKey{od.GetTask(), od.GetRun()}]
}

// endUnsent ends a run whose start was never sent.
func (ct *Controller) endUnsent(rn *run) {
	rn.mayStartUntilMS = 0
	if rn.phase == phaseStopping || rn.phase == phaseOrdered {
		ct.endRun(rn, workpb.End_END_STOPPED, "")
	}
}

func (ct *Controller) handleStartVerdict(rn *run, vd workpb.Verdict) {
	if vd == workpb.Verdict_IN_DOUBT {
		ct.lg.Info("start-in-doubt", "vm", rn.vm.id, "task", rn.key.task, "run", rn.key.run)
		rn.mayStartUntilMS = ct.ck.Now() + inDoubtMS
		if rn.phase == phaseOrdered {
			rn.unanswered = true
			ct.setPhase(rn, phaseInDoubt)
		}
		return
	}
	if vd == workpb.Verdict_ACCEPTED {
		if !rn.repeated {
			ct.settleStart(rn)
		}
		if rn.phase == phaseOrdered {
			ct.setPhase(rn, phaseRunning)
			rn.recordStartAnswer(ct.ck.Now())
			rn.startedMS = ct.ck.Now()
			rn.progressMS = rn.startedMS
			if rn.fromStart {
				rn.beginProgress(rn.startedMS)
			}
			ct.markJobRunning(rn)
		}
		return
	}
	ct.lg.Info("start-refused", "vm", rn.vm.id, "task", rn.key.task, "run", rn.key.run, "verdict", vd.String())
	ct.handleRefusedStart(rn, vd)
}

// settleStart records that the only copy of a run's start was answered. A long-running task is marked as settled for later owners at once; other runs share a later write.
func (ct *Controller) settleStart(rn *run) {
	rn.mayStartUntilMS = 0
	if rn.lasting() && !rn.settled {
		rn.settled = true
		ct.markTask(rn.task)
	}
}

// handleRefusedStart handles a start that certainly wasn't and won't be executed.
func (ct *Controller) handleRefusedStart(rn *run, vd workpb.Verdict) {
	nowMS := ct.ck.Now()
	vm := rn.vm
	rn.mayStartUntilMS = 0
	switch vd {
	case workpb.Verdict_LEASE_PASSED, workpb.Verdict_OTHER_VM:
		vm.synced = false
		vm.nextPollMS = nowMS
	case workpb.Verdict_NOT_SENT:
		vm.unresponsive = true
		vm.nextPollMS = min(vm.nextPollMS, nowMS+unresponsivePollIntervalMS)
	case workpb.Verdict_OVERLOADED:
		ct.recordSuspicion(rn)
	case workpb.Verdict_NO_ROOM, workpb.Verdict_NO_TICKET, workpb.Verdict_MALFORMED:
		if rn.task != nil {
			rn.task.notBeforeMS = nowMS + retryBackoffMS
		}
	default:
	}
	if rn.phase == phaseStopping || rn.phase == phaseOrdered {
		ct.endRun(rn, workpb.End_END_STOPPED, "")
	}
}
