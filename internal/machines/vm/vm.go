package vm

import (
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/pb/fleetpb"
	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// VM is one VM as its row in the table describes it. It is immutable: each step returns a new VM.
type VM struct {
	row     *fleetpb.VMRow
	version uint64
}

const keyPrefix = "vm/"

// Verbs of the platform's VM actions.
const (
	verbDrain   = "drain"
	verbReboot  = "reboot"
	verbUndrain = "undrain"
)

// New returns the VM that a row describes; version is the version of the row in the table.
func New(row *fleetpb.VMRow, version uint64) *VM {
	return &VM{row: row, version: version}
}

// Parse decodes a VM from its row in the table.
func Parse(row *platformpb.Row) (*VM, error) {
	msg := &fleetpb.VMRow{}
	if err := proto.Unmarshal(row.GetValue(), msg); err != nil {
		return nil, code.Internal.New("cannot decode row %s: %w", row.GetKey(), err)
	}
	return New(msg, row.GetVersion()), nil
}

// Register returns a serving VM for a listed one that has no row in the table yet.
func Register(listed *platformpb.VM, pool string, nowMS int64) *VM {
	return New(&fleetpb.VMRow{
		Name:         listed.GetName(),
		Pool:         pool,
		Epoch:        1,
		Incarnation:  listed.GetIncarnation(),
		Zone:         listed.GetZone(),
		Rack:         listed.GetRack(),
		State:        fleetpb.VMState_VM_STATE_SERVING,
		Reason:       "registered",
		SinceMs:      nowMS,
		MaintainedMs: nowMS,
	}, 0)
}

// Key returns the row key of the VM with the given name.
func Key(name string) string { return keyPrefix + name }

// Name returns the VM's name.
func (vm *VM) Name() string { return vm.row.GetName() }

// Pool returns the one pool that the VM belongs to.
func (vm *VM) Pool() string { return vm.row.GetPool() }

// Epoch returns the number of the VM's last step; it grows by one with each.
func (vm *VM) Epoch() uint64 { return vm.row.GetEpoch() }

// Incarnation returns the incarnation of the VM that the row describes.
func (vm *VM) Incarnation() string { return vm.row.GetIncarnation() }

// Zone returns the VM's availability zone.
func (vm *VM) Zone() string { return vm.row.GetZone() }

// Rack returns zone/rack, because rack names are unique only within a zone.
func (vm *VM) Rack() string { return vm.row.GetZone() + "/" + vm.row.GetRack() }

// State returns the VM's lifecycle state.
func (vm *VM) State() fleetpb.VMState { return vm.row.GetState() }

// Purpose returns what the VM was drained for: maintenance, a move or a hold.
func (vm *VM) Purpose() fleetpb.VMPurpose { return vm.row.GetPurpose() }

// Operation returns the operation id of the last maintenance, move, hold or release, whether in progress or ended.
func (vm *VM) Operation() string { return vm.row.GetOperation() }

// Target returns the pool that a draining VM is to move to.
func (vm *VM) Target() string { return vm.row.GetTarget() }

// Wave returns the wave for which the VM was drained, empty after a later move or hold.
func (vm *VM) Wave() string { return vm.row.GetWave() }

// Reason returns why the VM is in its state.
func (vm *VM) Reason() string { return vm.row.GetReason() }

// SinceMS returns when the VM entered its state.
func (vm *VM) SinceMS() int64 { return vm.row.GetSinceMs() }

// MaintainedMS returns when the VM was last rebooted or replaced, or was registered.
func (vm *VM) MaintainedMS() int64 { return vm.row.GetMaintainedMs() }

// Row returns a copy of the row.
func (vm *VM) Row() *fleetpb.VMRow { return proto.CloneOf(vm.row) }

// Away reports whether the VM is unavailable as planned: drained, rebooted, moved or held.
func (vm *VM) Away() bool {
	return vm.State() != fleetpb.VMState_VM_STATE_SERVING && !vm.Gone()
}

// Serving reports whether the row lets the VM take work.
func (vm *VM) Serving() bool { return vm.State() == fleetpb.VMState_VM_STATE_SERVING }

// Arriving reports whether the VM has been moved to its pool and hasn't served there yet.
func (vm *VM) Arriving() bool {
	if vm.State() == fleetpb.VMState_VM_STATE_RETURNING {
		return vm.Purpose() == fleetpb.VMPurpose_VM_PURPOSE_MOVE
	}
	return vm.State() == fleetpb.VMState_VM_STATE_MOVING
}

// Restarting reports whether the VM is being rebooted or returned to service, so that its incarnation is expected to end.
func (vm *VM) Restarting() bool {
	switch vm.State() {
	case fleetpb.VMState_VM_STATE_REBOOTING, fleetpb.VMState_VM_STATE_MOVING, fleetpb.VMState_VM_STATE_RETURNING:
		return true
	default:
		return false
	}
}

// Gone reports whether the platform has permanently removed the VM.
func (vm *VM) Gone() bool { return vm.State() == fleetpb.VMState_VM_STATE_GONE }

// Condition returns the commit condition that the VM's row is unchanged since it was read; every write that relies on the row must carry it.
func (vm *VM) Condition() *platformpb.Condition {
	return &platformpb.Condition{Key: Key(vm.Name()), Version: vm.version}
}

// Write returns the commit write that stores the VM's row.
func (vm *VM) Write() (*platformpb.Write, error) {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(vm.row)
	if err != nil {
		return nil, code.Internal.Wrap(err)
	}
	return &platformpb.Write{Key: Key(vm.Name()), Value: raw}, nil
}

// PlacementCondition returns the commit condition that a transaction which places a job on this VM must carry, or an error if the epoch isn't the current one or the VM takes no work.
func (vm *VM) PlacementCondition(epoch uint64) (*platformpb.Condition, error) {
	if epoch != vm.Epoch() {
		return nil, code.EpochStale.New("VM %s: expected epoch %d, got %d", vm.Name(), vm.Epoch(), epoch)
	}
	if !vm.Serving() {
		return nil, code.Conflict.New("VM %s takes no work in state %s", vm.Name(), StateName(vm.State()))
	}
	return vm.Condition(), nil
}

// PendingAction returns the platform action that the VM's state waits for, nil if there is none. The same row and incarnation give the same operation id, so that it can be repeated safely.
func (vm *VM) PendingAction(incarnation string) *platformpb.VMAction {
	verb := ""
	switch vm.State() {
	case fleetpb.VMState_VM_STATE_DRAINING:
		verb = verbDrain
	case fleetpb.VMState_VM_STATE_REBOOTING, fleetpb.VMState_VM_STATE_MOVING:
		verb = verbReboot
	case fleetpb.VMState_VM_STATE_RETURNING:
		verb = verbUndrain
	default:
		return nil
	}
	return &platformpb.VMAction{
		Operation:   strings.Join([]string{vm.Operation(), verb, incarnation}, "-"),
		Vm:          vm.Name(),
		Incarnation: incarnation,
		Verb:        verb,
	}
}

// StateName returns the kebab-case name of a state.
func StateName(st fleetpb.VMState) string {
	return strings.ToLower(strings.TrimPrefix(st.String(), "VM_STATE_"))
}
