package jobcontrol

import (
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/taskname"
)

const (
	// busyPollIntervalMS is the interval between polls of a VM with runs unless SetBusyPollInterval sets another; ends that are close together are then reported together.
	busyPollIntervalMS = 120
	// longPollWaitMS is how long a VM may hold a poll open until a run ends.
	longPollWaitMS = 600
	// idlePollIntervalMS is the interval between polls of a VM without runs.
	idlePollIntervalMS = 6000
	// maxIdlePolls is the maximum number of polls under way of VMs without runs, for responsive and unresponsive ones each.
	maxIdlePolls = 32
	// unresponsivePollIntervalMS is the interval before the next poll of a VM that didn't answer.
	unresponsivePollIntervalMS = 300
	// maxFailedPolls is the number of consecutive unanswered polls after which a VM counts as unresponsive; a single answer may just be lost.
	maxFailedPolls = 2
	// shortPollsMS is how long after only a repeated poll was answered the VM isn't asked to hold polls open: a lost answer then costs little time.
	shortPollsMS = 3000
)

func taskNameOf(jb *job, tr *workpb.Task) taskname.Name {
	return taskname.New(jb.row.GetId(), int(tr.GetOccurrence()), int(tr.GetStep()), int(tr.GetIndex()))
}

// VMs returns the ids of all known VMs.
func (ct *Controller) VMs() []string {
	ids := make([]string, 0, len(ct.vms))
	for id := range ct.vms {
		ids = append(ids, id)
	}
	return ids
}

// DuePolls returns the polls that are due; each also renews the run leases on its VM. Polls of VMs without runs are limited in number, so that those that renew leases don't wait behind them when an owner begins.
func (ct *Controller) DuePolls() []*workpb.LookRequest {
	var out []*workpb.LookRequest
	nowMS := ct.ck.Now()
	for _, vm := range ct.vms {
		if vm.polling || vm.reg.GetAddress() == "" || nowMS < vm.nextPollMS {
			continue
		}
		if len(vm.runs) == 0 && (!vm.registered || vm.departing() || !ct.serves(vm)) {
			continue
		}
		if !ct.grantToken(vm) || !ct.countPoll(vm) {
			continue
		}
		out = append(out, ct.newPoll(vm))
	}
	return out
}

// serves reports whether the VM belongs to a service under the rules; the registration of any other may come from another writer.
func (ct *Controller) serves(vm *vmState) bool {
	return ct.rules == nil || ct.services[vm.reg.GetService()]
}

// countPoll counts a poll of a VM without runs, or the first ones of a VM with runs, and reports whether it may be sent now. Unresponsive VMs are counted apart, since their polls last until they time out.
func (ct *Controller) countPoll(vm *vmState) bool {
	count, limit := &ct.idlePolls, min(maxIdlePolls, ct.firstPollLimit)
	switch {
	case len(vm.runs) > 0 && (vm.synced || vm.unresponsive):
		return true
	case len(vm.runs) > 0:
		count, limit = &ct.firstPolls, ct.firstPollLimit
	case vm.unresponsive:
		count, limit = &ct.unresponsivePolls, maxIdlePolls
	}
	if *count >= limit {
		return false
	}
	*count++
	vm.pollCount = count
	return true
}

// newPoll returns a poll of a VM and marks it as sent.
func (ct *Controller) newPoll(vm *vmState) *workpb.LookRequest {
	vm.polling, vm.polledAddress = true, vm.reg.GetAddress()
	vm.acknowledging = vm.unacknowledged()
	req := &workpb.LookRequest{Vm: vm.id, Address: vm.reg.GetAddress(), Token: ct.tokenOf(vm), Acknowledged: vm.acknowledging, Zone: vm.reg.GetZone()}
	if vm.synced && !vm.unresponsive {
		// An unresponsive VM gets no new lease, so that the controller can wait for the last one to expire.
		req.LeaseUntilMs = ct.extendLease(vm)
	}
	if ct.mayHoldPoll(vm) {
		req.WaitMs = longPollWaitMS
	}
	return req
}

// unacknowledged returns the number up to which the VM's ends are stored, 0 if it knows that already, or if it may have restarted: its next incarnation counts from 1 again and would drop ends that nobody has read.
func (vm *vmState) unacknowledged() int64 {
	if vm.stored == vm.acknowledged || vm.failedPolls > 0 || !vm.synced {
		return 0
	}
	return vm.stored
}

// mayHoldPoll reports whether the VM may hold a poll open until a run ends: nothing else is to be learned from it, and its answers arrive.
func (ct *Controller) mayHoldPoll(vm *vmState) bool {
	if !vm.synced || vm.unresponsive || vm.failedPolls > 0 || ct.ck.Now() < vm.shortPollsUntilMS {
		return false
	}
	return len(vm.runs) > 0 && !vm.endsUnstored() && !vm.mixed() && !vm.hasUnresolvedRun()
}

// SetBusyPollInterval sets the interval between polls of a VM with runs.
func (ct *Controller) SetBusyPollInterval(ms int64) { ct.busyPollMS = ms }

// BusyVMs returns the number of VMs with runs.
func (ct *Controller) BusyVMs() int {
	count := 0
	for _, vm := range ct.vms {
		if len(vm.runs) > 0 {
			count++
		}
	}
	return count
}

// Responsive reports whether a VM answers its polls, as far as is known.
func (ct *Controller) Responsive(id string) bool {
	vm, ok := ct.vms[id]
	return ok && !vm.unresponsive
}

// HandleRepeatedPoll records that a poll of a VM was answered only when it was sent again.
func (ct *Controller) HandleRepeatedPoll(id string) {
	if vm, ok := ct.vms[id]; ok {
		vm.shortPollsUntilMS = ct.ck.Now() + shortPollsMS
	}
}

// pollEnded records that no poll of a VM is under way any more.
func (ct *Controller) pollEnded(vm *vmState) {
	vm.polling = false
	if vm.pollCount != nil {
		*vm.pollCount--
		vm.pollCount = nil
	}
}

// departing reports whether the VM is about to end because its machine moves, and all of its ends are stored.
func (vm *vmState) departing() bool { return vm.leaving && !vm.endsUnstored() }

// mixed reports whether best-effort and latency-sensitive tasks share the VM, so that tail latencies must be watched.
func (vm *vmState) mixed() bool { return vm.hasLatencySensitive() && vm.hasBestEffort() }

// extendLease returns the lease deadline, on the VM's clock, for a start or renewal that is sent now, and extends the time by which the VM's runs have certainly ended.
func (ct *Controller) extendLease(vm *vmState) int64 {
	nowMS := ct.ck.Now()
	vm.grantedMS = max(vm.grantedMS, nowMS)
	vm.leaseUntilMS = max(vm.leaseUntilMS, nowMS+ct.maxLeaseMS())
	return vm.clockLowerBound(nowMS) + ct.runLeaseMS
}

// HandlePoll applies the answer to a poll that was sent at sentMS and has just arrived.
func (ct *Controller) HandlePoll(id string, sentMS int64, lk *workpb.Look, vd workpb.Verdict) {
	ct.HandleWaitingPoll(id, sentMS, ct.ck.Now(), lk, vd)
}

// HandleWaitingPoll applies the answer to a poll that was sent at sentMS and arrived at arrivedMS; the VM's clock has gone on while the answer waited.
func (ct *Controller) HandleWaitingPoll(id string, sentMS, arrivedMS int64, lk *workpb.Look, vd workpb.Verdict) {
	vm, ok := ct.vms[id]
	if !ok {
		return
	}
	ct.pollEnded(vm)
	nowMS := ct.ck.Now()
	if vd != workpb.Verdict_ACCEPTED {
		ct.handlePollFailure(vm, vd)
		return
	}
	if vm.unresponsive {
		ct.lg.Info("vm-answers", "vm", id)
	}
	vm.unresponsive, vm.machineLost = false, false
	vm.failedPolls = 0
	ct.zoneAnswered(vm.reg.GetZone())
	if vm.answeredMS == 0 {
		ct.expectInheritedLeases(vm, lk.GetClockMs())
	}
	vm.answeredMS, vm.listedMS, vm.answeredAddress = nowMS, max(vm.listedMS, sentMS), vm.polledAddress
	vm.unlistedReads = 0
	if lk.GetBornMs() != 0 && lk.GetBornMs() != vm.startMS {
		if vm.startMS != 0 {
			ct.handleRestart(vm, lk)
		}
		vm.startMS = lk.GetBornMs()
	}
	if lk.GetClockMs() < vm.lastClockMS {
		ct.expectLongLeases(vm)
	}
	vm.acknowledged = max(vm.acknowledged, vm.acknowledging)
	vm.lastClockMS, vm.lastClockAtMS = lk.GetClockMs(), arrivedMS
	vm.moreEnds = lk.GetMoreEnded()
	listed := ct.applyRunning(vm, lk.GetRunning())
	ct.applyEnded(vm, lk.GetEnded(), listed)
	ct.reconcile(vm, sentMS, listed)
	ct.stopUnadmitted(vm)
	vm.synced = sentMS >= vm.unknownSinceMS
	ct.adjustPace(vm)
	vm.nextPollMS = nowMS
	if vm.synced {
		vm.nextPollMS += ct.pollInterval(vm)
	}
}

func (ct *Controller) pollInterval(vm *vmState) int64 {
	switch {
	case vm.mixed():
		return mixedPollIntervalMS
	case vm.moreEnds && vm.stored > vm.acknowledged:
		// It lists the next ones once these are acknowledged.
		return 0
	case len(vm.runs) > 0 || vm.endsUnstored():
		return ct.busyPollMS
	default:
		return idlePollIntervalMS
	}
}

func (ct *Controller) handlePollFailure(vm *vmState, vd workpb.Verdict) {
	if vm.failedPolls == 0 {
		vm.silentSinceMS = ct.ck.Now()
	}
	vm.failedPolls++
	if vd == workpb.Verdict_IN_DOUBT {
		ct.zoneFailed(vm.reg.GetZone())
	}
	if vd == workpb.Verdict_IN_DOUBT && vm.failedPolls < maxFailedPolls {
		vm.nextPollMS = ct.ck.Now()
		return
	}
	if !vm.unresponsive {
		ct.lg.Info("vm-silent", "vm", vm.id, "verdict", vd.String(), "runs", len(vm.runs))
		ct.detachDuplicates(vm)
	}
	vm.unresponsive = true
	vm.nextPollMS = ct.ck.Now() + unresponsivePollIntervalMS
	if vd == workpb.Verdict_OTHER_VM && (vm.answeredAddress == "" || vm.answeredAddress == vm.polledAddress) {
		// Another VM has the address, so the addressed one has ended.
		vm.synced, vm.machineLost = false, true
		ct.expireRuns(vm, proofOtherVM)
	}
}

// applyRunning applies the VM's list of current runs and returns their keys.
func (ct *Controller) applyRunning(vm *vmState, list []*workpb.RunningRun) map[runKey]bool {
	listed := make(map[runKey]bool, len(list))
	nowMS := ct.ck.Now()
	for _, row := range list {
		key := runKey{row.GetTask(), row.GetRun()}
		listed[key] = true
		rn, ok := vm.runs[key]
		if !ok {
			rn = ct.adoptUnknown(vm, key)
		}
		rn.unanswered = false
		if rn.phase == phaseOrdered || rn.phase == phaseInDoubt {
			if rn.phase == phaseOrdered {
				rn.recordStartAnswer(nowMS)
			}
			ct.setPhase(rn, phaseRunning)
			rn.startedMS, rn.progressMS = nowMS, nowMS
			rn.percent = row.GetPercent()
			rn.beginProgress(nowMS)
			ct.markJobRunning(rn)
		}
		if row.GetPercent() != rn.percent {
			rn.progressMS = nowMS
		}
		rn.percent, rn.gauge = row.GetPercent(), row.GetGauge()
		if rn.task != nil && row.GetCheckpoint() != "" {
			if rn.task.checkpoint != row.GetCheckpoint() {
				rn.savedPercent = rn.percent
			}
			rn.task.checkpoint, rn.task.checkpointMS = row.GetCheckpoint(), nowMS
		}
	}
	return listed
}

// adoptUnknown records a listed run that this controller doesn't know, and stops it.
func (ct *Controller) adoptUnknown(vm *vmState, key runKey) *run {
	rn := &run{key: key, vm: vm, phase: phaseStopping, token: ct.tokenOf(vm), startedMS: ct.ck.Now(), progressMS: ct.ck.Now()}
	if tk := ct.taskNamed(key.task); tk != nil {
		rn.st, rn.need, rn.capUse, rn.team = tk.st, tk.st.need(), tk.st.capUse(), tk.job().row.GetTeam()
		ct.attachUnknown(rn)
	}
	ct.lg.Info("run-unknown", "vm", vm.id, "task", key.task, "run", key.run)
	ct.addRun(rn)
	ct.sendStop(rn)
	return rn
}

// attachUnknown lets a waiting task wait for the end of a run of it that the controller didn't know, or had given up, unless runs of the task may overlap.
func (ct *Controller) attachUnknown(rn *run) {
	tk := ct.openTask(rn.key.task)
	if tk == nil || tk.current != nil || tk.st.row.GetDuplicates() || tk.st.row.GetGang() {
		return
	}
	rn.task = tk
	tk.setCurrent(rn)
	tk.run = max(tk.run, rn.key.run)
	delete(tk.givenUp, rn.key.run)
	ct.markTask(tk)
}

// markJobRunning moves the run's job from queued to running.
func (ct *Controller) markJobRunning(rn *run) {
	if rn.task == nil {
		return
	}
	jb := rn.task.job()
	if jb.state == workpb.State_QUEUED {
		jb.state = workpb.State_RUNNING
		ct.markState(jb)
	}
}

func (ct *Controller) applyEnded(vm *vmState, list []*workpb.EndedRun, listed map[runKey]bool) {
	before := vm.processed
	for _, row := range list {
		if row.GetNumber() <= vm.processed {
			continue
		}
		vm.processed = row.GetNumber()
		key := runKey{row.GetTask(), row.GetRun()}
		delete(listed, key)
		rn, ok := vm.runs[key]
		if ok && rn.isDuplicate && row.GetEnd() == workpb.End_END_FAILED {
			ct.duplicateFailed(row.GetTask())
		}
		if ok {
			ct.endRun(rn, row.GetEnd(), row.GetCheckpoint())
		}
		switch row.GetEnd() {
		case workpb.End_END_DONE:
			ct.otherRunDone(key)
		case workpb.End_END_FAILED:
			ct.givenUpRunFailed(vm, key)
		default:
		}
	}
	if vm.processed > before {
		vm.unstoredEnds = append(vm.unstoredEnds, storedEnd{number: vm.processed, turn: ct.lastTurn})
	}
}

// otherRunDone records that a task is done by another run than the one that it has: a duplicate, one that was given up while its VM couldn't be reached, or one whose start was executed late. The first to finish counts, and the run that the task has is stopped. A gang's tasks run together, so the end of one of them doesn't count.
func (ct *Controller) otherRunDone(key runKey) {
	tk := ct.openTask(key.task)
	if tk == nil || tk.st.row.GetGang() || tk.st.row.GetLasting() {
		return
	}
	if rn := tk.current; rn != nil {
		ct.lg.Info("other-run-done", "task", key.task, "run", key.run, "stopped-run", rn.key.run, "vm", rn.vm.id)
		markReplaced(rn, ct.detach(rn))
		ct.stop(rn)
	} else {
		ct.lg.Info("run-done-late", "task", key.task, "run", key.run)
	}
	ct.markTask(tk)
	ct.taskDone(tk)
}
