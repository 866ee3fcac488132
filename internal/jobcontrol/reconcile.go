package jobcontrol

import "github.com/fulmarloft/fulmarloft/internal/workpb"

const (
	// stopRetryMS is the pause between stops of a run that doesn't end.
	stopRetryMS = 500
	// stalledMS is how long a run may show no progress.
	stallTimeoutMS = 3000
	// slowAfterMS is the least age of a run that is judged by its progress.
	minSlowAgeMS = 1200
	// slowFactor is by how many estimates the rest of a run must exceed what a new run elsewhere takes.
	slowFactor = 2
)

// review looks after the runs of the ledger that the VM doesn't list, that stall or that don't stop.
func (ct *Controller) reconcile(vm *vmState, sentMS int64, listed map[runKey]bool) {
	nowMS := ct.ck.Now()
	for key, rn := range vm.runs {
		switch {
		case listed[key]:
			ct.reconcileListed(rn, nowMS)
		case rn.phase == phaseRunning && rn.startedMS < sentMS:
			ct.lg.Info("run-vanished", "vm", vm.id, "task", key.task, "run", key.run)
			ct.endRun(rn, workpb.End_END_LEASE_EXPIRED, "")
		case rn.phase == phaseInDoubt && rn.token < ct.token:
			// The VM has seen this owner's token, so an earlier owner's order can't be executed any more.
			ct.endRun(rn, workpb.End_END_LEASE_EXPIRED, "")
		case rn.phase == phaseInDoubt:
			ct.stop(rn)
		case rn.phase == phaseStopping && rn.stoppedMS > 0 && rn.stoppedMS < sentMS:
			ct.endRun(rn, workpb.End_END_STOPPED, "")
		case rn.phase == phaseStopping && nowMS-rn.stopSentMS >= stopRetryMS:
			ct.sendStop(rn)
		}
	}
}

func (ct *Controller) reconcileListed(rn *run, nowMS int64) {
	switch {
	case rn.phase == phaseStopping && nowMS-rn.stopSentMS >= stopRetryMS:
		ct.sendStop(rn)
	case rn.phase == phaseRunning && ct.stalled(rn, nowMS):
		ct.lg.Info("run-stalled", "vm", rn.vm.id, "task", rn.key.task, "run", rn.key.run, "percent", rn.percent)
		ct.recordSuspicion(rn)
		ct.stop(rn)
	case rn.phase == phaseRunning && rn.slow(nowMS):
		ct.lg.Info("run-slow", "vm", rn.vm.id, "task", rn.key.task, "run", rn.key.run, "percent", rn.percent, "age-ms", nowMS-rn.startedMS)
		rn.task.movedOffSlowVM = true
		ct.recordSuspicion(rn)
		ct.stop(rn)
	}
}

// slow reports whether a run would end much sooner if it were started anew elsewhere; a task is moved for that once, since estimates are rough.
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

// stalled reports whether a run shows no progress though nothing holds it back.
func (ct *Controller) stalled(rn *run, nowMS int64) bool {
	if rn.task == nil || rn.task.st.row.GetGang() || rn.bestEffort() {
		return false
	}
	if rn.percent >= fullPercent {
		return false
	}
	return nowMS-rn.progressMS > max(stallTimeoutMS, rn.task.st.row.GetEstimateMs())
}

func (ct *Controller) recordSuspicion(rn *run) {
	if rn.task == nil {
		return
	}
	rn.task.avoid = append(rn.task.avoid, rn.vm.id)
	if rn.vm.suspicion.Fail(ct.ck.Now(), rn.task.job().row.GetId()) {
		ct.lg.Info("vm-suspected", "vm", rn.vm.id)
	}
}
