package fleet

import (
	"context"

	"github.com/fulmarloft/fulmarloft/internal/fleetpb"
	"github.com/fulmarloft/fulmarloft/internal/membership"
	"github.com/fulmarloft/fulmarloft/internal/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/presence"
	"github.com/fulmarloft/fulmarloft/internal/vm"
	"github.com/fulmarloft/fulmarloft/pkg/pool"
)

// Answers of the platform to a VM action.
const (
	actionDone    = "done"
	actionUnknown = "unknown"
)

// drivePool brings the pool's rows in line with the list, then carries on what is under way; the number of steps in one tick is bounded.
func (fl *Fleet) drivePool(ctx context.Context, pr *presence.Presence, pl pool.Pool) {
	tried := map[string]bool{}
	for range stepsPerPool {
		mb, err := fl.load(ctx, pl.Name())
		if err != nil {
			fl.fail("pools-unread", err, "pool", pl.Name())
			return
		}
		fl.tellAway(mb)
		if !fl.stepOne(ctx, pr, mb, tried) {
			return
		}
	}
}

// stepOne takes the first step that is due and reports whether the pool was changed.
func (fl *Fleet) stepOne(ctx context.Context, pr *presence.Presence, mb *membership.Membership, tried map[string]bool) bool {
	for _, at := range append(mb.VMs(), mb.Gone()...) {
		if tried[at.Name()] {
			continue
		}
		if forgettable(at, fl.ck.Now()) && pr.Listed(at.Name()) == nil {
			tried[at.Name()] = true
			return fl.forget(ctx, at, mb)
		}
		next, err := truth(at, pr, fl.ck.Now())
		if err == nil && next == nil && at.Away() {
			next, err = fl.advance(ctx, pr, at)
		}
		if err != nil {
			fl.fail("vm-step-failed", err, "vm", at.Name(), "state", vm.StateName(at.State()))
			continue
		}
		if next != nil {
			tried[at.Name()] = true
			return fl.commit(ctx, leaseOf(mb.Name()), next, mb)
		}
	}
	return false
}

// advance carries on what is under way with a VM: it makes the platform call that the row records, and returns the step that its answer allows, nil when there is none yet.
func (fl *Fleet) advance(ctx context.Context, pr *presence.Presence, at *vm.VM) (*vm.VM, error) {
	switch at.State() {
	case fleetpb.VMState_VM_STATE_DRAINING:
		return fl.drain(ctx, pr, at)
	case fleetpb.VMState_VM_STATE_REBOOTING, fleetpb.VMState_VM_STATE_MOVING:
		return fl.reboot(ctx, pr, at)
	case fleetpb.VMState_VM_STATE_RETURNING:
		return fl.bringBack(ctx, pr, at)
	default:
		return nil, nil
	}
}

// drain waits until every entry has stopped sending, lets the platform drain, and waits for the longest run of a request sent before and for the jobs that are placed on the VM; one that isn't listed can't be asked and stays.
func (fl *Fleet) drain(ctx context.Context, pr *presence.Presence, at *vm.VM) (*vm.VM, error) {
	if !pr.Fresh() || pr.Listed(at.Name()) == nil || fl.ck.Now()-at.SinceMS() < leaveMS {
		return nil, nil
	}
	done, err := fl.call(ctx, at, at.Incarnation())
	if err != nil || done != actionDone {
		return nil, err
	}
	if fl.ck.Now()-at.SinceMS() < leaveMS+fl.config().LongestRunMS() {
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

func (fl *Fleet) reboot(ctx context.Context, pr *presence.Presence, at *vm.VM) (*vm.VM, error) {
	answer, err := fl.call(ctx, at, at.Incarnation())
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

// bringBack undrains the incarnation that a list made after the last step shows, and lets it serve once such a list shows it as not leaving.
func (fl *Fleet) bringBack(ctx context.Context, pr *presence.Presence, at *vm.VM) (*vm.VM, error) {
	seen := pr.Listed(at.Name())
	if seen == nil || !pr.ReflectsState(at, clockMarginMS) {
		return nil, nil
	}
	answer, err := fl.call(ctx, at, seen.GetIncarnation())
	if err != nil || answer != actionDone || !pr.HasReturned(at, clockMarginMS) {
		return nil, err
	}
	return at.Returned(seen.GetIncarnation(), fl.ck.Now())
}

// call makes the platform call that the row records, if the lease is still held.
func (fl *Fleet) call(ctx context.Context, at *vm.VM, incarnation string) (string, error) {
	req := at.Call(incarnation)
	if req == nil || !fl.held(leaseOf(at.Pool())) {
		return "", nil
	}
	rep, err := fl.act(ctx, req)
	if err != nil {
		return "", err
	}
	fl.reg.Count(1, "fleet", "calls", req.GetVerb())
	return rep.GetState(), nil
}

// commit writes a step with the pools that it concerns, if the lease is still held.
func (fl *Fleet) commit(ctx context.Context, lease string, next *vm.VM, from *membership.Membership, further ...*platformpb.Condition) bool {
	var to *membership.Membership
	if next.Pool() != from.Name() {
		var err error
		to, err = fl.load(ctx, next.Pool())
		if err != nil {
			fl.fail("pools-unread", err, "pool", next.Pool())
			return false
		}
	}
	if !fl.held(lease) {
		return false
	}
	err := fl.tab.Step(ctx, fl.commitID(next), next, from, to, further...)
	fl.unload(from.Name())
	fl.unload(next.Pool())
	if err != nil {
		fl.fail("vm-step-failed", err, "vm", next.Name(), "state", vm.StateName(next.State()))
		return stale(err)
	}
	fl.report(next)
	return true
}

// report logs and counts a step that took effect and tells the request path when it concerns it.
func (fl *Fleet) report(next *vm.VM) {
	fl.log.Info("vm-step", "vm", next.Name(), "state", vm.StateName(next.State()), "pool", next.Pool(), "epoch", next.Epoch(), "operation", next.Operation(), "reason", next.Reason())
	fl.reg.Count(1, "fleet", "steps", vm.StateName(next.State()))
	fl.tell(next)
}

// tellAway reports the VMs of a pool that must get no work.
func (fl *Fleet) tellAway(mb *membership.Membership) {
	for _, at := range mb.VMs() {
		fl.tell(at)
	}
}

// tell reports the incarnation of a VM that is away; one that serves again has a new one.
func (fl *Fleet) tell(at *vm.VM) {
	if at.Away() && !at.Restarting() {
		fl.leaving(at.Incarnation())
	}
}

func (fl *Fleet) forget(ctx context.Context, at *vm.VM, mb *membership.Membership) bool {
	if !fl.held(leaseOf(mb.Name())) {
		return false
	}
	err := fl.tab.Forget(ctx, "forget-"+at.Name()+"-"+at.Incarnation()+"-"+fl.name, at, mb)
	fl.unload(mb.Name())
	if err != nil {
		fl.fail("vm-step-failed", err, "vm", at.Name())
		return stale(err)
	}
	fl.log.Info("vm-forgotten", "vm", at.Name(), "pool", mb.Name())
	return true
}
