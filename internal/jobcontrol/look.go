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
)

func nameOf(jb *job, tr *workpb.Task) taskname.Name {
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

// HandlePoll takes up the answer to a look that was sent at sentMS.
func (ct *Controller) HandlePoll(id string, sentMS int64, lk *workpb.Look, vd workpb.Verdict) {
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
