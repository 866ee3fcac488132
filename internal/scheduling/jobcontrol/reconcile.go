package jobcontrol

import "github.com/fulmarloft/fulmarloft/internal/pb/workpb"

const (
	// stopRetryMS is the minimum interval between stop orders for a run that doesn't end.
	stopRetryMS = 500
	// stallTimeoutMS is the minimum time without progress after which a run counts as stalled.
	stallTimeoutMS = 3000
	// minSlowAgeMS is the minimum age at which a run may count as slow.
	minSlowAgeMS = 1200
	// slowFactor is the number of estimates that the projected rest of a run must exceed, in addition to minSlowAgeMS, for the run to count as slow.
	slowFactor = 2
	// settleDelayMS is how much later than necessary runs are marked as settled.
	settleDelayMS = 2000
)

// reconcile compares the runs known for a VM with those it listed in the answer to a poll sent at sentMS, and handles runs that are missing, stalled, slow or don't stop. Nothing is known of a missing run while the VM may have more ended runs than it has listed.
func (ct *Controller) reconcile(vm *vmState, sentMS int64, listed map[runKey]bool) {
	nowMS := ct.ck.Now()
	ended := map[string]bool{}
	for key, rn := range vm.runs {
		switch {
		case listed[key]:
			ct.settleRuns(rn, nowMS)
			ct.learnProgress(rn, nowMS)
			ct.clearRun(rn, sentMS)
			rn.recordAtWork(nowMS)
			ct.reconcileListed(rn, nowMS)
		case vm.moreEnds:
			// It may be among the ends that the VM hasn't listed yet.
			ct.repeatStop(rn, nowMS)
		case rn.phase == phaseRunning && rn.startedMS < sentMS && nowMS < rn.mayStartUntilMS:
			// The VM has restarted and doesn't know yet that the run must not start there.
			ct.stop(rn)
		case rn.phase == phaseRunning && rn.startedMS < sentMS:
			ct.lg.Info("run-vanished", "vm", vm.id, "task", key.task, "run", key.run)
			ct.endRun(rn, workpb.End_END_LEASE_EXPIRED, "")
		case rn.phase == phaseInDoubt && rn.token < ct.token:
			// The VM has seen this owner's token, so it will no longer execute an earlier owner's order.
			ct.giveUpRun(rn, proofEarlierFenced)
			ended[key.task] = true
		case rn.phase == phaseInDoubt:
			ct.stop(rn)
		case rn.phase == phaseStopping && rn.stoppedMS > 0 && rn.stoppedMS < sentMS:
			ct.endRun(rn, workpb.End_END_STOPPED, "")
		case rn.phase == phaseStopping && rn.mayStartUntilMS > 0 && rn.mayStartUntilMS <= sentMS:
			// It isn't there, and no order can start it any more.
			ct.endRun(rn, workpb.End_END_STOPPED, "")
		default:
			ct.repeatStop(rn, nowMS)
		}
	}
	ct.attachOthers(vm, ended)
}

// repeatStop sends the stop of a run again if it is due.
func (ct *Controller) repeatStop(rn *run, nowMS int64) {
	if rn.phase == phaseStopping && nowMS-rn.stopSentMS >= stopRetryMS {
		ct.sendStop(rn)
	}
}

// attachOthers lets waiting tasks, given by their names, wait for other runs of them on a VM: one that a task waited for under an earlier owner is stored with the number of the task's last run.
func (ct *Controller) attachOthers(vm *vmState, names map[string]bool) {
	if len(names) == 0 {
		return
	}
	for key, rn := range vm.runs {
		if names[key.task] && rn.task == nil {
			ct.attachUnknown(rn)
		}
	}
}

// settleRuns marks the runs of a job that can't be started by any order any more as settled, for later owners too, some time after one of them can't, so that they share a write.
func (ct *Controller) settleRuns(rn *run, nowMS int64) {
	if rn.settled || rn.task == nil || rn.phase != phaseRunning || nowMS-rn.startedMS < inDoubtMS+settleDelayMS || nowMS < rn.mayStartUntilMS {
		return
	}
	rn.task.job().eachTask(func(tk *task) {
		if cur := tk.current; cur != nil && !cur.settled && cur.phase == phaseRunning && nowMS-cur.startedMS >= inDoubtMS && nowMS >= cur.mayStartUntilMS {
			cur.settled = true
			ct.markTask(tk)
		}
	})
}

func (ct *Controller) reconcileListed(rn *run, nowMS int64) {
	switch {
	case rn.phase == phaseStopping:
		ct.repeatStop(rn, nowMS)
	case rn.phase == phaseRunning && ct.stalled(rn, nowMS):
		ct.lg.Info("run-stalled", "vm", rn.vm.id, "task", rn.key.task, "run", rn.key.run, "percent", rn.percent)
		ct.recordSuspicion(rn)
		ct.stop(rn)
	case rn.phase == phaseRunning && rn.slow(nowMS) && !ct.paceKnown(rn, nowMS):
		ct.lg.Info("run-slow", "vm", rn.vm.id, "task", rn.key.task, "run", rn.key.run, "percent", rn.percent, "age-ms", nowMS-rn.startedMS)
		rn.task.movedOffSlowVM = true
		ct.recordSuspicion(rn)
		ct.stop(rn)
	}
}

// slow reports whether a run would end much sooner if it were restarted elsewhere; a task is moved for this reason only once, since estimates are rough.
func (rn *run) slow(nowMS int64) bool {
	if rn.task == nil || rn.task.movedOffSlowVM || rn.lasting() || rn.task.st.row.GetGang() {
		return false
	}
	age, estimate := nowMS-rn.startedMS, rn.task.st.row.GetEstimateMs()
	if estimate <= 0 || age < max(minSlowAgeMS, estimate) || rn.percent >= fullPercent {
		return false
	}
	rest := age * (fullPercent - rn.percent) / max(rn.percent, 1)
	return rest > slowFactor*estimate+minSlowAgeMS
}

// stalled reports whether a run makes no progress though nothing holds it back; members of a gang wait for each other, and best-effort runs may be throttled.
func (ct *Controller) stalled(rn *run, nowMS int64) bool {
	if rn.task == nil || rn.task.st.row.GetGang() || rn.bestEffort() {
		return false
	}
	if rn.percent >= fullPercent {
		return false
	}
	return nowMS-rn.progressMS > max(stallTimeoutMS, rn.task.st.row.GetEstimateMs())
}

// recordSuspicion makes the run's task avoid the VM and counts a failure against the VM, unless the job fails everywhere.
func (ct *Controller) recordSuspicion(rn *run) {
	if rn.task == nil {
		return
	}
	rn.task.avoid = append(rn.task.avoid, rn.vm.id)
	jb, nowMS := rn.task.job(), ct.ck.Now()
	jb.outcomes.recordFailure(rn.vm.id)
	if jb.outcomes.jobAtFault() {
		rn.vm.suspicion.Forgive(jb.row.GetId())
		return
	}
	if rn.vm.suspicion.RecordFailure(nowMS, jb.row.GetId(), ct.mayExclude(rn.vm.reg.GetService(), nowMS)) {
		ct.lg.Info("vm-suspected", "vm", rn.vm.id)
	}
}
