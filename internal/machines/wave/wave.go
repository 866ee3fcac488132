package wave

import (
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/machines/vm"
	"github.com/fulmarloft/fulmarloft/internal/pb/fleetpb"
	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Wave is one maintenance wave as its row describes it. It is immutable: each change returns a new Wave.
type Wave struct {
	row     *fleetpb.WaveRow
	version uint64
}

const keyPrefix = "wave/"

// New returns a running wave that the table doesn't hold yet.
func New(row *fleetpb.WaveRow, nowMS int64) (*Wave, error) {
	if row.GetName() == "" || strings.Contains(row.GetName(), "/") {
		return nil, code.HeaderMalformed.New("wave: expected a non-empty name without a slash, got %q", row.GetName())
	}
	next := proto.CloneOf(row)
	next.State = fleetpb.WaveState_WAVE_STATE_RUNNING
	next.Epoch = 1
	next.Reason = "created"
	next.StartedMs = nowMS
	next.ChangedMs = nowMS
	next.Parallel = max(next.GetParallel(), 1)
	next.HaltedPool = ""
	next.Finished = nil
	return &Wave{row: next}, nil
}

// Parse decodes a wave from its row in the table.
func Parse(row *platformpb.Row) (*Wave, error) {
	msg := &fleetpb.WaveRow{}
	if err := proto.Unmarshal(row.GetValue(), msg); err != nil {
		return nil, code.Internal.New("cannot decode row %s: %w", row.GetKey(), err)
	}
	return &Wave{row: msg, version: row.GetVersion()}, nil
}

// Key returns the row key of the wave with the given name.
func Key(name string) string { return keyPrefix + name }

// Name returns the wave's name.
func (wv *Wave) Name() string { return wv.row.GetName() }

// State returns the state of the wave.
func (wv *Wave) State() fleetpb.WaveState { return wv.row.GetState() }

// Epoch returns the number of the last change; it grows by one with each.
func (wv *Wave) Epoch() uint64 { return wv.row.GetEpoch() }

// Operation returns the operation id of the operator's last change.
func (wv *Wave) Operation() string { return wv.row.GetOperation() }

// Reason returns why the wave is in its state.
func (wv *Wave) Reason() string { return wv.row.GetReason() }

// StartedMS returns when the wave was created; VMs maintained since then need no maintenance.
func (wv *Wave) StartedMS() int64 { return wv.row.GetStartedMs() }

// ChangedMS returns when the wave entered its state.
func (wv *Wave) ChangedMS() int64 { return wv.row.GetChangedMs() }

// Parallel returns the maximum number of VMs of one pool that the wave maintains at the same time.
func (wv *Wave) Parallel() int { return int(wv.row.GetParallel()) }

// HaltedPool returns the pool whose failure halted the wave, empty while the wave isn't halted.
func (wv *Wave) HaltedPool() string { return wv.row.GetHaltedPool() }

// Row returns a copy of the row.
func (wv *Wave) Row() *fleetpb.WaveRow { return proto.CloneOf(wv.row) }

// Running reports whether the wave may take VMs.
func (wv *Wave) Running() bool { return wv.State() == fleetpb.WaveState_WAVE_STATE_RUNNING }

// Halted reports whether a failure stopped the wave.
func (wv *Wave) Halted() bool { return wv.State() == fleetpb.WaveState_WAVE_STATE_HALTED }

// Ended reports whether the wave is done or cancelled.
func (wv *Wave) Ended() bool {
	return wv.State() == fleetpb.WaveState_WAVE_STATE_DONE || wv.State() == fleetpb.WaveState_WAVE_STATE_CANCELLED
}

// SelectsPool reports whether VMs of the pool belong to the wave.
func (wv *Wave) SelectsPool(name string) bool { return selects(wv.row.GetPools(), name) }

// Finished reports whether the pool is recorded as having no VM left to maintain.
func (wv *Wave) Finished(pool string) bool { return slices.Contains(wv.row.GetFinished(), pool) }

// NeedsMaintenance reports whether the wave selects the VM and the VM was last maintained before the wave started.
func (wv *Wave) NeedsMaintenance(inst *vm.VM) bool {
	if !wv.SelectsPool(inst.Pool()) || !selects(wv.row.GetZones(), inst.Zone()) {
		return false
	}
	return selects(wv.row.GetRacks(), inst.Rack()) && inst.MaintainedMS() < wv.StartedMS()
}

// Condition returns the commit condition that the wave's row is unchanged since it was read.
func (wv *Wave) Condition() *platformpb.Condition {
	return &platformpb.Condition{Key: Key(wv.Name()), Version: wv.version}
}

// Write returns the commit write that stores the wave's row.
func (wv *Wave) Write() (*platformpb.Write, error) {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(wv.row)
	if err != nil {
		return nil, code.Internal.Wrap(err)
	}
	return &platformpb.Write{Key: Key(wv.Name()), Value: raw}, nil
}

// Pause stops the wave until an operator resumes it; VMs already in maintenance still return to service.
func (wv *Wave) Pause(operation, operator string, nowMS int64) (*Wave, error) {
	return wv.applyOperatorChange(operation, operator, fleetpb.WaveState_WAVE_STATE_PAUSED, nowMS,
		fleetpb.WaveState_WAVE_STATE_RUNNING, fleetpb.WaveState_WAVE_STATE_HALTED)
}

// Resume continues a paused wave.
func (wv *Wave) Resume(operation, operator string, nowMS int64) (*Wave, error) {
	return wv.applyOperatorChange(operation, operator, fleetpb.WaveState_WAVE_STATE_RUNNING, nowMS, fleetpb.WaveState_WAVE_STATE_PAUSED)
}

// Cancel ends the wave permanently; VMs already in maintenance still return to service.
func (wv *Wave) Cancel(operation, operator string, nowMS int64) (*Wave, error) {
	return wv.applyOperatorChange(operation, operator, fleetpb.WaveState_WAVE_STATE_CANCELLED, nowMS,
		fleetpb.WaveState_WAVE_STATE_RUNNING, fleetpb.WaveState_WAVE_STATE_HALTED, fleetpb.WaveState_WAVE_STATE_PAUSED)
}

// Halt stops a running wave because of a failure in a pool.
func (wv *Wave) Halt(pool, reason string, nowMS int64) (*Wave, error) {
	if !wv.Running() {
		return nil, wv.conflict("halt")
	}
	next := wv.next(fleetpb.WaveState_WAVE_STATE_HALTED, reason, nowMS)
	next.row.HaltedPool = pool
	return next, nil
}

// RestartRecovery restarts the recovery wait of a halted wave because the failure persists.
func (wv *Wave) RestartRecovery(pool, reason string, nowMS int64) (*Wave, error) {
	if !wv.Halted() {
		return nil, wv.conflict("unsettle")
	}
	next := wv.next(fleetpb.WaveState_WAVE_STATE_HALTED, reason, nowMS)
	next.row.HaltedPool = pool
	return next, nil
}

// Recover continues a halted wave.
func (wv *Wave) Recover(nowMS int64) (*Wave, error) {
	if !wv.Halted() {
		return nil, wv.conflict("recover")
	}
	next := wv.next(fleetpb.WaveState_WAVE_STATE_RUNNING, "recovered from: "+wv.Reason(), nowMS)
	next.row.HaltedPool = ""
	return next, nil
}

// Finish records that a pool has no VM left to maintain, and ends the wave if it has finished all the given pools that it selects.
func (wv *Wave) Finish(pool string, pools []string, nowMS int64) (*Wave, error) {
	if !wv.Running() {
		return nil, wv.conflict("finish")
	}
	next := wv.next(fleetpb.WaveState_WAVE_STATE_RUNNING, wv.Reason(), wv.ChangedMS())
	next.row.Finished = append(next.row.Finished, pool)
	for _, other := range pools {
		if wv.SelectsPool(other) && !next.Finished(other) {
			return next, nil
		}
	}
	next.row.State = fleetpb.WaveState_WAVE_STATE_DONE
	next.row.Reason = "all VMs maintained"
	next.row.ChangedMs = nowMS
	return next, nil
}

// Reopen records that a finished pool has VMs to maintain again.
func (wv *Wave) Reopen(pool string) *Wave {
	next := wv.next(wv.State(), wv.Reason(), wv.ChangedMS())
	next.row.Finished = slices.DeleteFunc(next.row.Finished, func(name string) bool { return name == pool })
	return next
}

// StateName returns the kebab-case name of a state.
func StateName(st fleetpb.WaveState) string {
	return strings.ToLower(strings.TrimPrefix(st.String(), "WAVE_STATE_"))
}

func (wv *Wave) applyOperatorChange(operation, operator string, to fleetpb.WaveState, nowMS int64, from ...fleetpb.WaveState) (*Wave, error) {
	if !slices.Contains(from, wv.State()) {
		return nil, wv.conflict(StateName(to))
	}
	next := wv.next(to, StateName(to)+" by "+operator, nowMS)
	next.row.Operation = operation
	next.row.HaltedPool = ""
	return next, nil
}

func (wv *Wave) next(st fleetpb.WaveState, reason string, nowMS int64) *Wave {
	row := proto.CloneOf(wv.row)
	row.Epoch++
	row.State = st
	row.Reason = reason
	row.ChangedMs = nowMS
	return &Wave{row: row, version: wv.version}
}

func (wv *Wave) conflict(step string) error {
	return code.Conflict.New("wave %s: %s is not possible in state %s", wv.Name(), step, StateName(wv.State()))
}

func selects(list []string, name string) bool {
	return len(list) == 0 || slices.Contains(list, name)
}
