package fleettable

import (
	"context"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/machines/poolmembers"
	"github.com/fulmarloft/fulmarloft/internal/machines/vm"
	"github.com/fulmarloft/fulmarloft/internal/machines/wave"
	"github.com/fulmarloft/fulmarloft/internal/pb/fleetpb"
	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/store/table"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Table reads and writes the fleet's rows; it is safe for concurrent use.
type Table struct {
	cl *table.Client
}

const (
	maxLoadAttempts   = 3
	maxCommitAttempts = 3
)

// New returns a Table that uses the client.
func New(cl *table.Client) *Table { return &Table{cl: cl} }

// Load returns a pool and its VMs as one snapshot. If known names the VMs that the pool has, one read is enough.
func (tb *Table) Load(ctx context.Context, pool string, known []string) (*poolmembers.Membership, error) {
	for range maxLoadAttempts {
		mb, err := tb.snapshot(ctx, pool, known)
		if err != nil {
			return nil, err
		}
		if mb.Complete() {
			return mb, nil
		}
		known = mb.RowNames()
	}
	return nil, code.Conflict.New("pool %s changed while it was read", pool)
}

// Pools returns the named pools without their VMs, in the given order.
func (tb *Table) Pools(ctx context.Context, names []string) ([]*poolmembers.Membership, error) {
	req := &platformpb.ReadRequest{}
	for _, name := range names {
		req.Keys = append(req.Keys, poolmembers.Key(name))
	}
	rep, err := tb.cl.Read(ctx, req)
	if err != nil {
		return nil, err
	}
	rows := rowsByKey(rep)
	out := make([]*poolmembers.Membership, 0, len(names))
	for _, name := range names {
		mb, err := poolmembers.Parse(name, rows[poolmembers.Key(name)])
		if err != nil {
			return nil, err
		}
		out = append(out, mb)
	}
	return out, nil
}

// AllPools returns every pool that has a row, without its VMs.
func (tb *Table) AllPools(ctx context.Context) ([]*poolmembers.Membership, error) {
	rep, err := tb.cl.Read(ctx, &platformpb.ReadRequest{Prefixes: []string{poolmembers.Key("")}})
	if err != nil {
		return nil, err
	}
	out := make([]*poolmembers.Membership, 0, len(rep.GetRows()))
	for _, row := range rep.GetRows() {
		mb, err := poolmembers.Parse(strings.TrimPrefix(row.GetKey(), poolmembers.Key("")), row)
		if err != nil {
			return nil, err
		}
		out = append(out, mb)
	}
	return out, nil
}

// VM returns one VM, or a VMUnknown error if it has no row.
func (tb *Table) VM(ctx context.Context, name string) (*vm.VM, error) {
	row, err := tb.cl.Get(ctx, vm.Key(name))
	if err != nil {
		return nil, err
	}
	if row.GetVersion() == 0 {
		return nil, code.VMUnknown.New("VM %q does not exist", name)
	}
	return vm.Parse(row)
}

// Waves returns all waves, sorted by name.
func (tb *Table) Waves(ctx context.Context) ([]*wave.Wave, error) {
	rep, err := tb.cl.Read(ctx, &platformpb.ReadRequest{Prefixes: []string{wave.Key("")}})
	if err != nil {
		return nil, err
	}
	out := make([]*wave.Wave, 0, len(rep.GetRows()))
	for _, row := range rep.GetRows() {
		wv, err := wave.Parse(row)
		if err != nil {
			return nil, err
		}
		out = append(out, wv)
	}
	return out, nil
}

// Wave returns one wave, or a WaveUnknown error if it has no row.
func (tb *Table) Wave(ctx context.Context, name string) (*wave.Wave, error) {
	row, err := tb.cl.Get(ctx, wave.Key(name))
	if err != nil {
		return nil, err
	}
	if row.GetVersion() == 0 {
		return nil, code.WaveUnknown.New("wave %q does not exist", name)
	}
	return wave.Parse(row)
}

// PutWave writes a wave, or returns a Conflict error if its row changed since it was read.
func (tb *Table) PutWave(ctx context.Context, operation string, wv *wave.Wave) error {
	wr, err := wv.Write()
	if err != nil {
		return err
	}
	return tb.commit(ctx, &platformpb.CommitRequest{
		Operation:  operation,
		Conditions: []*platformpb.Condition{wv.Condition()},
		Writes:     []*platformpb.Write{wr},
	})
}

// CommitStep writes a VM's next row and the rows of its pools in one transaction, or returns a Conflict error if any of them changed since it was read or one of the additional conditions fails. The second pool is nil unless the step moves the VM to another pool.
func (tb *Table) CommitStep(ctx context.Context, operation string, next *vm.VM, from, to *poolmembers.Membership, conditions ...*platformpb.Condition) error {
	after := from.With(next)
	pools := []*poolmembers.Membership{after}
	if to != nil {
		pools = []*poolmembers.Membership{from.Without(next.Name()), to.With(next)}
	}
	req := &platformpb.CommitRequest{Operation: operation, Conditions: append(conditions, next.Condition())}
	wr, err := next.Write()
	if err != nil {
		return err
	}
	req.Writes = append(req.Writes, wr)
	return tb.commitWithPools(ctx, req, pools)
}

// Register writes the first rows of VMs and the row of their pool in one transaction, or returns a Conflict error if a VM already has a row or the pool's row changed.
func (tb *Table) Register(ctx context.Context, operation string, vms []*vm.VM, mb *poolmembers.Membership) error {
	req := &platformpb.CommitRequest{Operation: operation}
	for _, inst := range vms {
		wr, err := inst.Write()
		if err != nil {
			return err
		}
		req.Conditions = append(req.Conditions, inst.Condition())
		req.Writes = append(req.Writes, wr)
		mb = mb.With(inst)
	}
	return tb.commitWithPools(ctx, req, []*poolmembers.Membership{mb})
}

// DeleteGone deletes the row of a gone VM and removes the VM from its pool.
func (tb *Table) DeleteGone(ctx context.Context, operation string, inst *vm.VM, from *poolmembers.Membership) error {
	if !inst.Gone() {
		return code.Conflict.New("VM %s is not gone", inst.Name())
	}
	req := &platformpb.CommitRequest{
		Operation:  operation,
		Conditions: []*platformpb.Condition{inst.Condition()},
		Writes:     []*platformpb.Write{{Key: vm.Key(inst.Name()), Delete: true}},
	}
	return tb.commitWithPools(ctx, req, []*poolmembers.Membership{from.Without(inst.Name())})
}

// commitWithPools adds the conditions and writes of the pools to the transaction and commits it.
func (tb *Table) commitWithPools(ctx context.Context, req *platformpb.CommitRequest, pools []*poolmembers.Membership) error {
	for _, mb := range pools {
		wr, err := mb.Write()
		if err != nil {
			return err
		}
		req.Conditions = append(req.Conditions, mb.Condition())
		req.Writes = append(req.Writes, wr)
	}
	return tb.commit(ctx, req)
}

// commit repeats a transaction in doubt, which is safe because its conditions let it take effect only once, and counts it as committed if one of the rows returned carries its operation id.
func (tb *Table) commit(ctx context.Context, req *platformpb.CommitRequest) error {
	var err error
	for range maxCommitAttempts {
		var rep *platformpb.CommitReply
		rep, err = tb.cl.Commit(ctx, req)
		if err == nil {
			return commitError(req, rep)
		}
		if code.Of(err) != code.TableInDoubt {
			return err
		}
	}
	return err
}

// commitError returns nil if the transaction took effect, now or at an earlier attempt, and a Conflict error otherwise.
func commitError(req *platformpb.CommitRequest, rep *platformpb.CommitReply) error {
	if rep.GetCommitted() {
		return nil
	}
	for _, row := range rep.GetRows() {
		if row.GetOperation() == req.GetOperation() {
			return nil
		}
	}
	keys := make([]string, 0, len(rep.GetRows()))
	for _, row := range rep.GetRows() {
		keys = append(keys, row.GetKey())
	}
	return code.Conflict.New("rows changed since they were read: %s", strings.Join(keys, " "))
}

// snapshot reads the row of a pool and those of the known VMs at once; VMs of the pool that known lacks are missing from the result.
func (tb *Table) snapshot(ctx context.Context, pool string, known []string) (*poolmembers.Membership, error) {
	req := &platformpb.ReadRequest{Keys: []string{poolmembers.Key(pool)}}
	for _, name := range known {
		req.Keys = append(req.Keys, vm.Key(name))
	}
	rep, err := tb.cl.Read(ctx, req)
	if err != nil {
		return nil, err
	}
	rows := rowsByKey(rep)
	msg := &fleetpb.PoolRow{}
	if err := proto.Unmarshal(rows[poolmembers.Key(pool)].GetValue(), msg); err != nil {
		return nil, code.Internal.New("cannot decode the row of pool %s: %w", pool, err)
	}
	msg.Name = pool
	var vms []*vm.VM
	for _, name := range append(msg.GetMembers(), msg.GetGone()...) {
		row, ok := rows[vm.Key(name)]
		if !ok {
			continue
		}
		inst, err := vm.Parse(row)
		if err != nil {
			return nil, err
		}
		vms = append(vms, inst)
	}
	return poolmembers.New(msg, rows[poolmembers.Key(pool)].GetVersion(), vms), nil
}

func rowsByKey(rep *platformpb.ReadReply) map[string]*platformpb.Row {
	rows := make(map[string]*platformpb.Row, len(rep.GetRows()))
	for _, row := range rep.GetRows() {
		rows[row.GetKey()] = row
	}
	return rows
}
