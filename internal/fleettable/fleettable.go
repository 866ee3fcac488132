package fleettable

import (
	"context"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/fleetpb"
	"github.com/fulmarloft/fulmarloft/internal/membership"
	"github.com/fulmarloft/fulmarloft/internal/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/table"
	"github.com/fulmarloft/fulmarloft/internal/vm"
	"github.com/fulmarloft/fulmarloft/internal/wave"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Table is one process's access to the fleet's rows; it is safe for concurrent use.
type Table struct {
	cl *table.Client
}

const (
	loadTries   = 3
	commitTries = 3
)

// New returns access to the rows behind the client.
func New(cl *table.Client) *Table { return &Table{cl: cl} }

// Load returns a pool and its VMs as one snapshot; known may name VMs that were in the pool before, which saves a read.
func (tb *Table) Load(ctx context.Context, pool string, known []string) (*membership.Membership, error) {
	for range loadTries {
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

// Pools returns pools without their VMs, in the order asked for.
func (tb *Table) Pools(ctx context.Context, names []string) ([]*membership.Membership, error) {
	req := &platformpb.ReadRequest{}
	for _, name := range names {
		req.Keys = append(req.Keys, membership.Key(name))
	}
	rep, err := tb.cl.Read(ctx, req)
	if err != nil {
		return nil, err
	}
	rows := byKey(rep)
	out := make([]*membership.Membership, 0, len(names))
	for _, name := range names {
		mb, err := membership.Parse(name, rows[membership.Key(name)])
		if err != nil {
			return nil, err
		}
		out = append(out, mb)
	}
	return out, nil
}

// AllPools returns every pool that has a row, without its VMs.
func (tb *Table) AllPools(ctx context.Context) ([]*membership.Membership, error) {
	rep, err := tb.cl.Read(ctx, &platformpb.ReadRequest{Prefixes: []string{membership.Key("")}})
	if err != nil {
		return nil, err
	}
	out := make([]*membership.Membership, 0, len(rep.GetRows()))
	for _, row := range rep.GetRows() {
		mb, err := membership.Parse(strings.TrimPrefix(row.GetKey(), membership.Key("")), row)
		if err != nil {
			return nil, err
		}
		out = append(out, mb)
	}
	return out, nil
}

// VM returns the row of one VM, or VMUnknown.
func (tb *Table) VM(ctx context.Context, name string) (*vm.VM, error) {
	row, err := tb.cl.Get(ctx, vm.Key(name))
	if err != nil {
		return nil, err
	}
	if row.GetVersion() == 0 {
		return nil, code.VMUnknown.New("vm %s", name)
	}
	return vm.Parse(row)
}

// Waves returns all waves in order of their names.
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

// Wave returns one wave, or WaveUnknown.
func (tb *Table) Wave(ctx context.Context, name string) (*wave.Wave, error) {
	row, err := tb.cl.Get(ctx, wave.Key(name))
	if err != nil {
		return nil, err
	}
	if row.GetVersion() == 0 {
		return nil, code.WaveUnknown.New("wave %s", name)
	}
	return wave.Parse(row)
}

// PutWave writes a wave that was changed since it was read.
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

// Step writes a VM's next row together with the rows of the pools concerned, when none of them changed since they were read; the second pool is nil unless the step changes pools, and further conditions may be given.
func (tb *Table) Step(ctx context.Context, operation string, next *vm.VM, from, to *membership.Membership, further ...*platformpb.Condition) error {
	after := from.With(next)
	pools := []*membership.Membership{after}
	if to != nil {
		pools = []*membership.Membership{from.Without(next.Name()), to.With(next)}
	}
	req := &platformpb.CommitRequest{Operation: operation, Conditions: append(further, next.Condition())}
	wr, err := next.Write()
	if err != nil {
		return err
	}
	req.Writes = append(req.Writes, wr)
	return tb.withPools(ctx, req, pools)
}

// Register writes the first rows of VMs together with the row of their pool, when none of the VMs has a row.
func (tb *Table) Register(ctx context.Context, operation string, vms []*vm.VM, mb *membership.Membership) error {
	req := &platformpb.CommitRequest{Operation: operation}
	for _, at := range vms {
		wr, err := at.Write()
		if err != nil {
			return err
		}
		req.Conditions = append(req.Conditions, at.Condition())
		req.Writes = append(req.Writes, wr)
		mb = mb.With(at)
	}
	return tb.withPools(ctx, req, []*membership.Membership{mb})
}

// Forget deletes the row of a VM that is gone.
func (tb *Table) Forget(ctx context.Context, operation string, at *vm.VM, from *membership.Membership) error {
	if !at.Gone() {
		return code.Conflict.New("vm %s isn't gone", at.Name())
	}
	req := &platformpb.CommitRequest{
		Operation:  operation,
		Conditions: []*platformpb.Condition{at.Condition()},
		Writes:     []*platformpb.Write{{Key: vm.Key(at.Name()), Delete: true}},
	}
	return tb.withPools(ctx, req, []*membership.Membership{from.Without(at.Name())})
}

func (tb *Table) withPools(ctx context.Context, req *platformpb.CommitRequest, pools []*membership.Membership) error {
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

// commit repeats a transaction in doubt, which its conditions make harmless, and takes it as done when a row that it writes carries its operation id.
func (tb *Table) commit(ctx context.Context, req *platformpb.CommitRequest) error {
	var err error
	for range commitTries {
		var rep *platformpb.CommitReply
		rep, err = tb.cl.Commit(ctx, req)
		if err == nil {
			return settle(req, rep)
		}
		if code.Of(err) != code.TableInDoubt {
			return err
		}
	}
	return err
}

func settle(req *platformpb.CommitRequest, rep *platformpb.CommitReply) error {
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
	return code.Conflict.New("changed since it was read: %s", strings.Join(keys, " "))
}

func (tb *Table) snapshot(ctx context.Context, pool string, known []string) (*membership.Membership, error) {
	req := &platformpb.ReadRequest{Keys: []string{membership.Key(pool)}}
	for _, name := range known {
		req.Keys = append(req.Keys, vm.Key(name))
	}
	rep, err := tb.cl.Read(ctx, req)
	if err != nil {
		return nil, err
	}
	rows := byKey(rep)
	msg := &fleetpb.PoolRow{}
	if err := proto.Unmarshal(rows[membership.Key(pool)].GetValue(), msg); err != nil {
		return nil, code.Internal.Wrap(err)
	}
	msg.Name = pool
	var vms []*vm.VM
	for _, name := range append(msg.GetMembers(), msg.GetGone()...) {
		row, ok := rows[vm.Key(name)]
		if !ok {
			continue
		}
		at, err := vm.Parse(row)
		if err != nil {
			return nil, err
		}
		vms = append(vms, at)
	}
	return membership.New(msg, rows[membership.Key(pool)].GetVersion(), vms), nil
}

func byKey(rep *platformpb.ReadReply) map[string]*platformpb.Row {
	rows := make(map[string]*platformpb.Row, len(rep.GetRows()))
	for _, row := range rep.GetRows() {
		rows[row.GetKey()] = row
	}
	return rows
}
