package jobcontrol

import "github.com/fulmarloft/fulmarloft/internal/pb/workpb"

// defaultLongestLeaseMS is the longest lease that VMs grant if the settings name none.
const defaultLongestLeaseMS = 10_000

// unnoticedRestartMS is how long after a VM's start calls for its earlier incarnation may still be executed: an owner polls each VM within inDoubtMS, and calls are executed up to inDoubtMS after they were sent.
const unnoticedRestartMS = 2 * inDoubtMS

// clockToleranceMS is by how much an answer's clock may lie below what was expected: clocks are cut to whole milliseconds, and run at the lowest rate at the worst.
const clockToleranceMS = 10

// SetLongestLease sets the longest lease, in milliseconds of a VM's clock, that VMs grant whatever deadline a call carries; 0 if it is unknown.
func (ct *Controller) SetLongestLease(ms int64) {
	ct.longestLeaseMS = ms
	if ms <= 0 {
		ct.longestLeaseMS = defaultLongestLeaseMS
	}
}

// longestLeaseOverMS returns how long after a VM granted its longest lease every run there has certainly ended, even if the VM's clock runs slow.
func (ct *Controller) longestLeaseOverMS() int64 { return ct.waitForLeaseMS(ct.longestLeaseMS) }

// expectLongLeases extends the time by which the runs on a restarted VM have certainly ended: calls whose deadlines were computed for the clock of the incarnation before may be executed for a while, and each grants the longest lease.
func (ct *Controller) expectLongLeases(vm *vmState) {
	vm.leaseUntilMS = max(vm.leaseUntilMS, ct.ck.Now()+inDoubtMS+ct.longestLeaseOverMS())
}

// expectInheritedLeases extends the time by which the runs on a VM that answers this owner for the first time have certainly ended: until then it executed calls of the earlier owner, who may have made them for the clock of an earlier incarnation, so that each granted the longest lease. There are none for a VM that became known later, nor for one whose incarnation the earlier owner knew.
func (ct *Controller) expectInheritedLeases(vm *vmState, clockMS int64) {
	ownedMS := ct.ck.Now() - ct.startedMS
	if vm.firstSeenMS-ct.startedMS >= RenewalWindowMS+inDoubtMS || clockMS >= ownedMS+unnoticedRestartMS {
		return
	}
	vm.leaseUntilMS = max(vm.leaseUntilMS, ct.ck.Now()+ct.longestLeaseOverMS())
}

// mayRunUntilMS returns until when a silent VM may go on with a run of which a copy of the start is unanswered, 0 if none is, or the VM has answered a poll that was sent since it can't be executed any more. The VM's next incarnation may execute it, and calls that were made for the clock of the one before, of which each grants the longest lease. The starts of an earlier owner were most likely answered, so their runs don't wait for that.
func (ct *Controller) mayRunUntilMS(rn *run) int64 {
	switch {
	case rn.mayStartUntilMS <= rn.vm.listedMS:
		return 0
	case rn.token < ct.token:
		return rn.mayStartUntilMS
	default:
		return max(rn.mayStartUntilMS, rn.vm.grantedMS+inDoubtMS) + ct.longestLeaseOverMS()
	}
}

// checkIncarnation compares the clock in the answer to a start with the start's deadline. The clock of each incarnation begins at 0, so a deadline that is too far ahead was computed for an earlier one; so was any, for all that is known, if the answer lacks the clock.
func (ct *Controller) checkIncarnation(vm *vmState, od *workpb.Order, oc *workpb.Outcome) {
	leaseMS := od.GetLeaseUntilMs() - oc.GetClockMs()
	if !extendsLease(od, oc) || (oc.GetClockMs() > 0 && leaseMS <= ct.runLeaseMS+clockToleranceMS) {
		return
	}
	ct.lg.Warn("start-on-restarted-vm", "vm", vm.id, "task", od.GetTask(), "run", od.GetRun(), "token", od.GetToken(),
		"lease-ms", leaseMS, "clock-ms", oc.GetClockMs(), "born", od.GetVmBornMs())
	ct.expectLongLeases(vm)
	if oc.GetClockMs() <= 0 {
		return
	}
	// Nothing is known of this incarnation until it has been polled: no poll must extend its leases, or acknowledge ends by the numbers of the one before.
	vm.synced, vm.unknownSinceMS = false, ct.ck.Now()
	vm.nextPollMS = ct.ck.Now()
}

// extendsLease reports whether a VM extended the lease of its runs to the deadline of an order: it also does so for a start that it refuses as an old one or for want of room.
func extendsLease(od *workpb.Order, oc *workpb.Outcome) bool {
	if od.GetVerb() != workpb.Verb_START {
		return false
	}
	switch oc.GetVerdict() {
	case workpb.Verdict_ACCEPTED, workpb.Verdict_STALE_RUN, workpb.Verdict_NO_ROOM:
		return true
	default:
		return false
	}
}
