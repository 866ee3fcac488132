package jobcontrol

import (
	"github.com/fulmarloft/fulmarloft/internal/taskname"
	"github.com/fulmarloft/fulmarloft/internal/workpb"
)

const (
	// busyLookMS is the pause between looks at a VM where something runs; ends that come together are then listed together.
	busyPollMS = 120
	// busyWaitMS is how long a VM waits for an end before it answers a look.
	longPollMS = 600
	// idleLookMS is the pause between looks at a VM where nothing runs.
	idlePollMS = 1500
	// lostLookMS is the pause before the next look at a VM that didn't answer.
	silentPollMS = 300
	// maxFailedLooks is after how many looks in a row without an answer a VM counts as silent; single answers may get lost.
	maxFailedPolls = 2
)

func taskNameOf(jb *job, tr *workpb.Task) taskname.Name {
	return taskname.New(jb.row.GetId(), int(tr.GetOccurrence()), int(tr.GetStep()), int(tr.GetIndex()))
}

// VMs returns the ids of all VMs in the ledger.
func (ct *Controller) VMs() []string {
	ids := make([]string, 0, len(ct.vms))
	for id := range ct.vms {
		ids = append(ids, id)
	}
	return ids
}

// NextPoll returns the look that is due at a VM, or nil.
func (ct *Controller) NextPoll(id string) *workpb.LookRequest {
	vm, ok := ct.vms[id]
	nowMS := ct.ck.Now()
	if !ok || vm.polling || vm.reg.GetAddress() == "" || nowMS < vm.nextPollMS {
		return nil
	}
	if (!vm.registered || vm.departing()) && len(vm.runs) == 0 {
		return nil
	}
	vm.polling = true
	req := &workpb.LookRequest{Vm: id, Address: vm.reg.GetAddress(), Token: ct.token, Acknowledged: vm.stored}
	if vm.synced && !vm.silent {
		// A VM that doesn't answer gets no new lease, so that the end of the last one can be waited out.
		req.LeaseUntilMs = ct.extendLease(vm)
	}
	if vm.synced && !vm.silent && len(vm.runs) > 0 && vm.stored == vm.processed && vm.failedPolls == 0 && !vm.mixed() && !vm.hasUnresolvedRun() {
		req.WaitMs = longPollMS
	}
	return req
}

// departing reports whether the VM is about to end with its machine's move, all of its ends being stored.
func (vm *vmState) departing() bool { return vm.leaving && vm.processed == vm.stored }

// mixed reports whether filling and serving tasks share the VM, so that the tails must be watched.
func (vm *vmState) mixed() bool { return vm.hasLatencySensitive() && vm.hasBestEffort() }

// lease returns a deadline on the VM's clock for a renewal that is sent now.
func (ct *Controller) extendLease(vm *vmState) int64 {
	nowMS := ct.ck.Now()
	vm.leaseUntilMS = max(vm.leaseUntilMS, nowMS+ct.maxLeaseMS())
	return vm.clockLowerBound(nowMS) + ct.runLeaseMS
}

// HandlePoll takes up the answer to a look that was sent at sentMS.
func (ct *Controller) HandlePoll(id string, sentMS int64, lk *workpb.Look, vd workpb.Verdict) {
	vm, ok := ct.vms[id]
	if !ok {
		return
	}
	vm.polling = false
	nowMS := ct.ck.Now()
	if vd != workpb.Verdict_ACCEPTED {
		ct.handlePollFailure(vm, vd)
		return
	}
	if vm.silent {
		ct.lg.Info("vm-answers", "vm", id)
	}
	vm.silent = false
	vm.failedPolls = 0
	ct.zoneAnswered(vm.reg.GetZone())
	vm.answeredMS = nowMS
	if lk.GetBornMs() != 0 && lk.GetBornMs() != vm.startMS {
		if vm.startMS != 0 {
			ct.handleRestart(vm, lk.GetBornMs())
		}
		vm.startMS = lk.GetBornMs()
	}
	vm.lastClockMS, vm.lastClockAtMS = lk.GetClockMs(), nowMS
	listed := ct.applyRunning(vm, lk.GetRunning())
	ct.applyEnded(vm, lk.GetEnded(), listed)
	ct.reconcile(vm, sentMS, listed)
	vm.synced = true
	ct.adjustPace(vm)
	vm.nextPollMS = nowMS + ct.pollInterval(vm)
}

func (ct *Controller) pollInterval(vm *vmState) int64 {
	switch {
	case vm.mixed():
		return mixedPollMS
	case len(vm.runs) > 0 || vm.processed > vm.stored:
		return busyPollMS
	default:
		return idlePollMS
	}
}

func (ct *Controller) handlePollFailure(vm *vmState, vd workpb.Verdict) {
	vm.failedPolls++
	if vd == workpb.Verdict_IN_DOUBT {
		ct.zoneFailed(vm.reg.GetZone())
	}
	if vd == workpb.Verdict_IN_DOUBT && vm.failedPolls < maxFailedPolls {
		vm.nextPollMS = ct.ck.Now()
		return
	}
	if !vm.silent {
		ct.lg.Info("vm-silent", "vm", vm.id, "verdict", vd.String(), "runs", len(vm.runs))
		ct.detachDuplicates(vm)
	}
	vm.silent = true
	vm.nextPollMS = ct.ck.Now() + silentPollMS
	if vd == workpb.Verdict_OTHER_VM {
		// Another VM has the address, so the one that was meant has ended.
		vm.synced = false
		ct.expireRuns(vm)
	}
}

// takeRunning takes up the list of runs and returns their keys.
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
		if rn.phase == phaseOrdered || rn.phase == phaseInDoubt {
			rn.phase = phaseRunning
			rn.progressMS = nowMS
			ct.markJobRunning(rn)
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
func (ct *Controller) adoptUnknown(vm *vmState, key runKey) *run {
	rn := &run{key: key, vm: vm, phase: phaseStopping, token: ct.token, startedMS: ct.ck.Now(), need: vm.free(), progressMS: ct.ck.Now()}
	if nm, err := taskname.Parse(key.task); err == nil {
		if jb, ok := ct.jobs[nm.Job()]; ok {
			if tk := jb.task(nm); tk != nil {
				rn.need, rn.capUse, rn.team = tk.st.need(), tk.st.capUse(), jb.row.GetTeam()
			}
		}
	}
	ct.lg.Info("run-unknown", "vm", vm.id, "task", key.task, "run", key.run)
	ct.addRun(rn)
	ct.sendStop(rn)
	return rn
}

// began notes that a task of the job has started.
func (ct *Controller) markJobRunning(rn *run) {
	if rn.task == nil {
		return
	}
	jb := rn.task.job()
	if jb.state == workpb.State_QUEUED {
		jb.state = workpb.State_RUNNING
		ct.markDirty(jb)
	}
}

func (ct *Controller) applyEnded(vm *vmState, list []*workpb.EndedRun, listed map[runKey]bool) {
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
		if row.GetEnd() == workpb.End_END_DONE {
			ct.duplicateDone(row.GetTask())
		}
	}
}
