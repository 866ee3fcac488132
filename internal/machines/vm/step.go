package vm

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/pb/fleetpb"
	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Maintain starts the drain that precedes a reboot for a wave.
func (vm *VM) Maintain(operation, wave string, nowMS int64) (*VM, error) {
	next, err := vm.startDrain(operation, fleetpb.VMPurpose_VM_PURPOSE_MAINTAIN, "wave "+wave, nowMS)
	if err != nil {
		return nil, err
	}
	next.row.Wave = wave
	return next, nil
}

// Move starts the drain that precedes a move to another pool.
func (vm *VM) Move(operation, target, reason string, nowMS int64) (*VM, error) {
	if target == "" || target == vm.Pool() {
		return nil, code.Conflict.New("VM %s: expected a target pool other than its own pool %q, got %q", vm.Name(), vm.Pool(), target)
	}
	next, err := vm.startDrain(operation, fleetpb.VMPurpose_VM_PURPOSE_MOVE, reason, nowMS)
	if err != nil {
		return nil, err
	}
	next.row.Target = target
	return next, nil
}

// Hold keeps the VM out of service until it is released: a serving VM is drained first, one that is draining is held when its drain ends, and one that is rebooting, moving or returning is quarantined at once.
func (vm *VM) Hold(operation, reason string, nowMS int64) (*VM, error) {
	if vm.Serving() {
		return vm.startDrain(operation, fleetpb.VMPurpose_VM_PURPOSE_HOLD, reason, nowMS)
	}
	to := fleetpb.VMState_VM_STATE_QUARANTINED
	switch {
	case vm.State() == fleetpb.VMState_VM_STATE_DRAINING:
		to = fleetpb.VMState_VM_STATE_DRAINING
	case !vm.Restarting():
		return nil, vm.conflict("hold")
	}
	next := vm.next(to, reason, nowMS)
	next.row.Operation = operation
	next.row.Purpose = fleetpb.VMPurpose_VM_PURPOSE_HOLD
	next.row.Target = ""
	next.row.Wave = ""
	return next, nil
}

// Drained records that the platform drained the VM and enters the state that the drain's purpose leads to. For a move the same write changes the pool, so that the VM is always in exactly one.
func (vm *VM) Drained(nowMS int64) (*VM, error) {
	if err := vm.requireState("drained", fleetpb.VMState_VM_STATE_DRAINING); err != nil {
		return nil, err
	}
	switch vm.Purpose() {
	case fleetpb.VMPurpose_VM_PURPOSE_MAINTAIN:
		return vm.next(fleetpb.VMState_VM_STATE_REBOOTING, vm.Reason(), nowMS), nil
	case fleetpb.VMPurpose_VM_PURPOSE_HOLD:
		return vm.next(fleetpb.VMState_VM_STATE_QUARANTINED, vm.Reason(), nowMS), nil
	case fleetpb.VMPurpose_VM_PURPOSE_MOVE:
		next := vm.next(fleetpb.VMState_VM_STATE_MOVING, vm.Reason(), nowMS)
		next.row.Pool = vm.Target()
		next.row.Target = ""
		return next, nil
	default:
		return nil, vm.conflict("drained")
	}
}

// Rebooted records that the platform rebooted the VM.
func (vm *VM) Rebooted(nowMS int64) (*VM, error) {
	err := vm.requireState("rebooted", fleetpb.VMState_VM_STATE_REBOOTING, fleetpb.VMState_VM_STATE_MOVING)
	if err != nil {
		return nil, err
	}
	next := vm.next(fleetpb.VMState_VM_STATE_RETURNING, vm.Reason(), nowMS)
	next.row.MaintainedMs = nowMS
	return next, nil
}

// Returned records that the VM takes work again, under the listed incarnation.
func (vm *VM) Returned(incarnation string, nowMS int64) (*VM, error) {
	if err := vm.requireState("returned", fleetpb.VMState_VM_STATE_RETURNING); err != nil {
		return nil, err
	}
	next := vm.next(fleetpb.VMState_VM_STATE_SERVING, "back from "+vm.Reason(), nowMS)
	next.row.Incarnation = incarnation
	next.row.Purpose = fleetpb.VMPurpose_VM_PURPOSE_UNSPECIFIED
	return next, nil
}

// Abort cancels the purpose of a drain that has ended and returns the VM to service in its pool, through a reboot.
func (vm *VM) Abort(reason string, nowMS int64) (*VM, error) {
	if err := vm.requireState("abort", fleetpb.VMState_VM_STATE_DRAINING); err != nil {
		return nil, err
	}
	next := vm.next(fleetpb.VMState_VM_STATE_REBOOTING, reason, nowMS)
	next.row.Purpose = fleetpb.VMPurpose_VM_PURPOSE_HOLD
	next.row.Target = ""
	return next, nil
}

// Release ends a hold. Like every drained VM, it returns through a reboot, because no request is sent again to an incarnation that was seen leaving.
func (vm *VM) Release(operation, reason string, nowMS int64) (*VM, error) {
	if err := vm.requireState("release", fleetpb.VMState_VM_STATE_QUARANTINED); err != nil {
		return nil, err
	}
	next := vm.next(fleetpb.VMState_VM_STATE_REBOOTING, reason, nowMS)
	next.row.Operation = operation
	return next, nil
}

// Replaced records that the platform lists the VM under a new incarnation, which counts as freshly maintained: it serves, or is drained again if the VM is on hold.
func (vm *VM) Replaced(listed *platformpb.VM, nowMS int64) (*VM, error) {
	if listed.GetIncarnation() == vm.Incarnation() {
		return nil, vm.conflict("replaced")
	}
	next := vm.next(fleetpb.VMState_VM_STATE_SERVING, "replaced", nowMS)
	next.row.Incarnation = listed.GetIncarnation()
	next.row.Zone = listed.GetZone()
	next.row.Rack = listed.GetRack()
	next.row.MaintainedMs = nowMS
	next.row.Target = ""
	if vm.onHold() {
		next.row.State = fleetpb.VMState_VM_STATE_DRAINING
		next.row.Purpose = fleetpb.VMPurpose_VM_PURPOSE_HOLD
		next.row.Reason = vm.Reason()
		return next, nil
	}
	next.row.Purpose = fleetpb.VMPurpose_VM_PURPOSE_UNSPECIFIED
	return next, nil
}

// MarkGone records that the platform has permanently removed the incarnation.
func (vm *VM) MarkGone(nowMS int64) (*VM, error) {
	if vm.Gone() {
		return nil, vm.conflict("mark gone")
	}
	next := vm.next(fleetpb.VMState_VM_STATE_GONE, "gone from the platform", nowMS)
	next.row.Purpose = fleetpb.VMPurpose_VM_PURPOSE_UNSPECIFIED
	next.row.Target = ""
	return next, nil
}

// onHold reports whether an operator holds the VM or it is being drained for that.
func (vm *VM) onHold() bool {
	if vm.State() == fleetpb.VMState_VM_STATE_QUARANTINED {
		return true
	}
	return vm.State() == fleetpb.VMState_VM_STATE_DRAINING && vm.Purpose() == fleetpb.VMPurpose_VM_PURPOSE_HOLD
}

// startDrain returns the draining VM with the purpose of the drain.
func (vm *VM) startDrain(operation string, purpose fleetpb.VMPurpose, reason string, nowMS int64) (*VM, error) {
	if operation == "" {
		return nil, code.Internal.New("VM %s: step without operation id", vm.Name())
	}
	if err := vm.requireState("drain", fleetpb.VMState_VM_STATE_SERVING); err != nil {
		return nil, err
	}
	next := vm.next(fleetpb.VMState_VM_STATE_DRAINING, reason, nowMS)
	next.row.Operation = operation
	next.row.Purpose = purpose
	next.row.Target = ""
	next.row.Wave = ""
	return next, nil
}

func (vm *VM) next(st fleetpb.VMState, reason string, nowMS int64) *VM {
	row := proto.CloneOf(vm.row)
	row.Epoch++
	row.State = st
	row.Reason = reason
	row.SinceMs = nowMS
	return New(row, vm.version)
}

func (vm *VM) requireState(step string, states ...fleetpb.VMState) error {
	if slices.Contains(states, vm.State()) {
		return nil
	}
	return vm.conflict(step)
}

func (vm *VM) conflict(step string) error {
	return code.Conflict.New("VM %s: %s is not possible in state %s", vm.Name(), step, StateName(vm.State()))
}
