package fleet

import (
	"context"

	"github.com/fulmarloft/fulmarloft/internal/machines/poolmembers"
	"github.com/fulmarloft/fulmarloft/internal/machines/presence"
	"github.com/fulmarloft/fulmarloft/internal/machines/vm"
	"github.com/fulmarloft/fulmarloft/internal/pb/fleetpb"
	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
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
	for _, inst := range append(mb.VMs(), mb.Gone()...) {
		if tried[inst.Name()] {
			continue
		}
		if retentionExpired(inst, fl.ck.Now()) && pr.Listed(inst.Name()) == nil {
			tried[inst.Name()] = true
			return fl.deleteGone(ctx, inst, mb)
		}
		next, err := reconcile(inst, pr, fl.ck.Now())
		if err == nil && next == nil && inst.Away() {
			next, err = fl.advance(ctx, pr, inst)
		}
		if err != nil {
			fl.logFailure("vm-step-failed", err, "vm", inst.Name(), "state", vm.StateName(inst.State()))
			continue
		}
		if next != nil {
			tried[inst.Name()] = true
			return fl.commit(ctx, poolLease(mb.Name()), next, mb)
		}
	}
	return false
}

// advance requests the platform action that the VM's state waits for and returns the step that the reply allows, nil if there is none yet.
func (fl *Fleet) advance(ctx context.Context, pr *presence.Presence, inst *vm.VM) (*vm.VM, error) {
	switch inst.State() {
	case fleetpb.VMState_VM_STATE_DRAINING:
		return fl.drain(ctx, pr, inst)
	case fleetpb.VMState_VM_STATE_REBOOTING, fleetpb.VMState_VM_STATE_MOVING:
		return fl.reboot(ctx, pr, inst)
	case fleetpb.VMState_VM_STATE_RETURNING:
		return fl.returnToService(ctx, pr, inst)
	default:
		return nil, nil
	}
}

// drain waits until every entry has stopped sending requests to the VM, asks the platform to drain it, and then waits until the longest request sent before can have ended and no job is placed on the VM. A VM that isn't listed can't be drained and stays as it is.
func (fl *Fleet) drain(ctx context.Context, pr *presence.Presence, inst *vm.VM) (*vm.VM, error) {
	if !pr.Fresh() || pr.Listed(inst.Name()) == nil || fl.ck.Now()-inst.SinceMS() < stopSendingMS {
		return nil, nil
	}
	state, err := fl.requestAction(ctx, inst, inst.Incarnation())
	if err != nil || state != actionDone {
		return nil, err
	}
	if fl.ck.Now()-inst.SinceMS() < stopSendingMS+fl.config().MaxRunMS() {
		return nil, nil
	}
	busy, err := fl.busy(ctx, inst.Name())
	if err != nil || busy {
		return nil, err
	}
	if _, err := fl.pool(inst.Target()); err != nil && inst.Target() != "" {
		return inst.Abort("pool "+inst.Target()+" isn't in the bundle any more", fl.ck.Now())
	}
	return inst.Drained(fl.ck.Now())
}

// reboot requests the reboot until the platform reports it as done. If the platform doesn't know the incarnation and lists another one, the VM was replaced.
func (fl *Fleet) reboot(ctx context.Context, pr *presence.Presence, inst *vm.VM) (*vm.VM, error) {
	state, err := fl.requestAction(ctx, inst, inst.Incarnation())
	if err != nil {
		return nil, err
	}
	now := fl.ck.Now()
	if state == actionDone {
		return inst.Rebooted(now)
	}
	listed := pr.Listed(inst.Name())
	if state == actionUnknown && pr.ReflectsState(inst, clockMarginMS) && listed != nil && listed.GetIncarnation() != inst.Incarnation() {
		return inst.Replaced(listed, now)
	}
	return nil, nil
}

// returnToService undrains the listed incarnation, and lets the VM serve once a list made after its last step shows it as not leaving.
func (fl *Fleet) returnToService(ctx context.Context, pr *presence.Presence, inst *vm.VM) (*vm.VM, error) {
	listed := pr.Listed(inst.Name())
	if listed == nil || !pr.ReflectsState(inst, clockMarginMS) {
		return nil, nil
	}
	state, err := fl.requestAction(ctx, inst, listed.GetIncarnation())
	if err != nil || state != actionDone || !pr.HasReturned(inst, clockMarginMS) {
		return nil, err
	}
	return inst.Returned(listed.GetIncarnation(), fl.ck.Now())
}

// requestAction requests the platform action that the VM's state waits for, if the lease is still held, and returns the state that the platform reports, empty if nothing was requested.
func (fl *Fleet) requestAction(ctx context.Context, inst *vm.VM, incarnation string) (string, error) {
	req := inst.PendingAction(incarnation)
	if req == nil || !fl.holdsLease(poolLease(inst.Pool())) {
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
	if !fl.holdsLease(lease) {
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
	for _, inst := range mb.VMs() {
		fl.notifyLeaving(inst)
	}
}

// notifyLeaving notifies the request path of the incarnation of a VM that is unavailable as planned, except while it restarts; a VM that serves again has a new incarnation.
func (fl *Fleet) notifyLeaving(inst *vm.VM) {
	if inst.Away() && !inst.Restarting() {
		fl.onLeaving(inst.Incarnation())
	}
}

// deleteGone deletes the row of a gone VM and reports whether the pool must be read again.
func (fl *Fleet) deleteGone(ctx context.Context, inst *vm.VM, mb *poolmembers.Membership) bool {
	if !fl.holdsLease(poolLease(mb.Name())) {
		return false
	}
	err := fl.tab.DeleteGone(ctx, "forget-"+inst.Name()+"-"+inst.Incarnation()+"-"+fl.name, inst, mb)
	fl.invalidate(mb.Name())
	if err != nil {
		fl.logFailure("vm-step-failed", err, "vm", inst.Name())
		return isConflict(err)
	}
	fl.log.Info("vm-forgotten", "vm", inst.Name(), "pool", mb.Name())
	return true
}
