package fleet

import (
	"context"

	"github.com/fulmarloft/fulmarloft/internal/fleetpb"
	"github.com/fulmarloft/fulmarloft/internal/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/poolmembers"
	"github.com/fulmarloft/fulmarloft/internal/presence"
	"github.com/fulmarloft/fulmarloft/internal/vm"
	"github.com/fulmarloft/fulmarloft/pkg/pool"
)

// States of a VM action that the platform reports.
const (
	actionDone    = "done"
	actionUnknown = "unknown"
)

// drivePool reconciles the pool's rows with the VM list and advances transitions in progress, by at most maxStepsPerPool steps a tick.
func (fl *Fleet) drivePool(ctx context.Context, pr *presence.Presence, pl pool.Pool) {
	tried := map[string]bool{}
	for range maxStepsPerPool {
		mb, err := fl.load(ctx, pl.Name())
		if err != nil {
			fl.logFailure("pools-unread", err, "pool", pl.Name())
			return
		}
		fl.notifyAway(mb)
		if !fl.stepOne(ctx, pr, mb, tried) {
			return
		}
	}
}

// stepOne takes the first step that is due and reports whether the pool changed, so that it must be read again.
func (fl *Fleet) stepOne(ctx context.Context, pr *presence.Presence, mb *poolmembers.Membership, tried map[string]bool) bool {
	for _, at := range append(mb.VMs(), mb.Gone()...) {
		if tried[at.Name()] {
			continue
		}
		if retentionExpired(at, fl.ck.Now()) && pr.Listed(at.Name()) == nil {
			tried[at.Name()] = true
			return fl.deleteGone(ctx, at, mb)
		}
		next, err := reconcile(at, pr, fl.ck.Now())
		if err == nil && next == nil && at.Away() {
			next, err = fl.advance(ctx, pr, at)
		}
		if err != nil {
			fl.logFailure("vm-step-failed", err, "vm", at.Name(), "state", vm.StateName(at.State()))
			continue
		}
		if next != nil {
			tried[at.Name()] = true
			return fl.commit(ctx, poolLease(mb.Name()), next, mb)
		}
	}
	return false
}

// advance requests the platform action that the VM's state waits for and returns the step that the reply allows, nil if there is none yet.
func (fl *Fleet) advance(ctx context.Context, pr *presence.Presence, at *vm.VM) (*vm.VM, error) {
	switch at.State() {
	case fleetpb.VMState_VM_STATE_DRAINING:
		return fl.drain(ctx, pr, at)
	case fleetpb.VMState_VM_STATE_REBOOTING, fleetpb.VMState_VM_STATE_MOVING:
		return fl.reboot(ctx, pr, at)
	case fleetpb.VMState_VM_STATE_RETURNING:
		return fl.returnToService(ctx, pr, at)
	default:
		return nil, nil
	}
}

// drain waits until every entry has stopped sending requests to the VM, asks the platform to drain it, and then waits until the longest request sent before can have ended and no job is placed on the VM. A VM that isn't listed can't be drained and stays as it is.
func (fl *Fleet) drain(ctx context.Context, pr *presence.Presence, at *vm.VM) (*vm.VM, error) {
	if !pr.Fresh() || pr.Listed(at.Name()) == nil || fl.ck.Now()-at.SinceMS() < stopSendingMS {
		return nil, nil
	}
	answer, err := fl.requestAction(ctx, at, at.Incarnation())
	if err != nil || answer != actionDone {
		return nil, err
	}
	if fl.ck.Now()-at.SinceMS() < stopSendingMS+fl.config().MaxRunMS() {
		return nil, nil
	}
	busy, err := fl.busy(ctx, at.Name())
	if err != nil || busy {
		return nil, err
	}
	if _, err := fl.pool(at.Target()); err != nil && at.Target() != "" {
		return at.Abort("pool "+at.Target()+" isn't in the bundle any more", fl.ck.Now())
	}
	return at.Drained(fl.ck.Now())
}

// reboot requests the reboot until the platform reports it as done. If the platform doesn't know the incarnation and lists another one, the VM was replaced.
func (fl *Fleet) reboot(ctx context.Context, pr *presence.Presence, at *vm.VM) (*vm.VM, error) {
	answer, err := fl.requestAction(ctx, at, at.Incarnation())
	if err != nil {
		return nil, err
	}
	now := fl.ck.Now()
	if answer == actionDone {
		return at.Rebooted(now)
	}
	seen := pr.Listed(at.Name())
	if answer == actionUnknown && pr.ReflectsState(at, clockMarginMS) && seen != nil && seen.GetIncarnation() != at.Incarnation() {
		return at.Replaced(seen, now)
	}
	return nil, nil
}

// returnToService undrains the listed incarnation, and lets the VM serve once a list made after its last step shows it as not leaving.
func (fl *Fleet) returnToService(ctx context.Context, pr *presence.Presence, at *vm.VM) (*vm.VM, error) {
	seen := pr.Listed(at.Name())
	if seen == nil || !pr.ReflectsState(at, clockMarginMS) {
		return nil, nil
	}
	answer, err := fl.requestAction(ctx, at, seen.GetIncarnation())
	if err != nil || answer != actionDone || !pr.HasReturned(at, clockMarginMS) {
		return nil, err
	}
	return at.Returned(seen.GetIncarnation(), fl.ck.Now())
}

// requestAction requests the platform action that the VM's state waits for, if the lease is still held, and returns the state that the platform reports, empty if nothing was requested.
func (fl *Fleet) requestAction(ctx context.Context, at *vm.VM, incarnation string) (string, error) {
	req := at.PendingAction(incarnation)
	if req == nil || !fl.held(poolLease(at.Pool())) {
		return "", nil
	}
	rep, err := fl.act(ctx, req)
	if err != nil {
		return "", err
	}
	fl.reg.Count(1, "fleet", "calls", req.GetVerb())
	return rep.GetState(), nil
}

// commit writes a step and the rows of the pools that it changes, if the lease is still held, and reports whether the pool must be read again.
func (fl *Fleet) commit(ctx context.Context, lease string, next *vm.VM, from *poolmembers.Membership, conditions ...*platformpb.Condition) bool {
	var to *poolmembers.Membership
	if next.Pool() != from.Name() {
		var err error
		to, err = fl.load(ctx, next.Pool())
		if err != nil {
			fl.logFailure("pools-unread", err, "pool", next.Pool())
			return false
		}
	}
	if !fl.held(lease) {
		return false
	}
	err := fl.tab.CommitStep(ctx, fl.commitID(next), next, from, to, conditions...)
	fl.invalidate(from.Name())
	fl.invalidate(next.Pool())
	if err != nil {
		fl.logFailure("vm-step-failed", err, "vm", next.Name(), "state", vm.StateName(next.State()))
		return isConflict(err)
	}
	fl.reportStep(next)
	return true
}

// reportStep logs and counts a committed step and notifies the request path if the VM is leaving.
func (fl *Fleet) reportStep(next *vm.VM) {
	fl.log.Info("vm-step", "vm", next.Name(), "state", vm.StateName(next.State()), "pool", next.Pool(), "epoch", next.Epoch(), "operation", next.Operation(), "reason", next.Reason())
	fl.reg.Count(1, "fleet", "steps", vm.StateName(next.State()))
	fl.notifyLeaving(next)
}

// notifyAway notifies the request path of the VMs of a pool that must get no work.
func (fl *Fleet) notifyAway(mb *poolmembers.Membership) {
	for _, at := range mb.VMs() {
		fl.notifyLeaving(at)
	}
}

// notifyLeaving notifies the request path of the incarnation of a VM that is away, except while it restarts; a VM that serves again has a new incarnation.
func (fl *Fleet) notifyLeaving(at *vm.VM) {
	if at.Away() && !at.Restarting() {
		fl.leaving(at.Incarnation())
	}
}

// deleteGone deletes the row of a gone VM and reports whether the pool must be read again.
func (fl *Fleet) deleteGone(ctx context.Context, at *vm.VM, mb *poolmembers.Membership) bool {
	if !fl.held(poolLease(mb.Name())) {
		return false
	}
	err := fl.tab.DeleteGone(ctx, "forget-"+at.Name()+"-"+at.Incarnation()+"-"+fl.name, at, mb)
	fl.invalidate(mb.Name())
	if err != nil {
		fl.logFailure("vm-step-failed", err, "vm", at.Name())
		return isConflict(err)
	}
	fl.log.Info("vm-forgotten", "vm", at.Name(), "pool", mb.Name())
	return true
}
