package memtable

import (
	"context"
	"sort"
	"strings"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/store/table"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Table holds rows that are changed in conditional transactions; it is safe for concurrent use.
type Table struct {
	mu          sync.Mutex
	rows        map[string]*platformpb.Row
	lastVersion uint64
	faultBefore func(caller string, write bool) error
	faultAfter  func(caller string, write bool) error
	writes      int64
	reads       int64
}

// New returns an empty table without faults.
func New() *Table {
	return &Table{rows: map[string]*platformpb.Row{}}
}

// SetFaults sets functions that are called before and after each call takes effect; an error of the first makes the call fail without effect, an error of the second loses only its answer.
func (tb *Table) SetFaults(before, after func(caller string, write bool) error) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.faultBefore = before
	tb.faultAfter = after
}

// Client returns a client that passes the caller's name to the fault functions.
func (tb *Table) Client(caller string) *table.Client {
	return table.New(
		func(ctx context.Context, req *platformpb.CommitRequest) (*platformpb.CommitReply, error) {
			return tb.Commit(ctx, caller, req)
		},
		func(ctx context.Context, req *platformpb.ReadRequest) (*platformpb.ReadReply, error) {
			return tb.Read(ctx, caller, req)
		},
	)
}

// Commit applies the request as one transaction; the fault functions are called before and after it.
func (tb *Table) Commit(ctx context.Context, caller string, req *platformpb.CommitRequest) (*platformpb.CommitReply, error) {
	if err := tb.injectFault(ctx, caller, true, false); err != nil {
		return nil, err
	}
	rep := tb.apply(req)
	if err := tb.injectFault(ctx, caller, true, true); err != nil {
		return nil, code.TableInDoubt.Wrap(err)
	}
	return rep, nil
}

// Read returns one snapshot; the fault functions are called before and after it.
func (tb *Table) Read(ctx context.Context, caller string, req *platformpb.ReadRequest) (*platformpb.ReadReply, error) {
	if err := tb.injectFault(ctx, caller, false, false); err != nil {
		return nil, err
	}
	rep := tb.snapshot(req)
	if err := tb.injectFault(ctx, caller, false, true); err != nil {
		return nil, err
	}
	return rep, nil
}

// Counts returns the numbers of commits that took effect and of reads.
func (tb *Table) Counts() (writes, reads int64) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.writes, tb.reads
}

// injectFault calls the fault function for the time before or after a call takes effect.
func (tb *Table) injectFault(ctx context.Context, caller string, write, after bool) error {
	tb.mu.Lock()
	fn := tb.faultBefore
	if after {
		fn = tb.faultAfter
	}
	tb.mu.Unlock()
	if err := ctx.Err(); err != nil && !after {
		return code.TableUnavailable.Wrap(err)
	}
	if fn == nil {
		return nil
	}
	return fn(caller, write)
}

func (tb *Table) apply(req *platformpb.CommitRequest) *platformpb.CommitReply {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	rep := &platformpb.CommitReply{}
	for _, cond := range req.GetConditions() {
		if tb.version(cond.GetKey()) != cond.GetVersion() {
			rep.Rows = append(rep.Rows, tb.current(cond.GetKey()))
		}
	}
	if len(rep.Rows) > 0 {
		return rep
	}
	tb.writes++
	rep.Committed = true
	for _, wr := range req.GetWrites() {
		rep.Rows = append(rep.Rows, tb.write(wr, req.GetOperation()))
	}
	return rep
}

func (tb *Table) write(wr *platformpb.Write, operation string) *platformpb.Row {
	tb.lastVersion++
	if wr.GetDelete() {
		delete(tb.rows, wr.GetKey())
		return &platformpb.Row{Key: wr.GetKey()}
	}
	row := &platformpb.Row{Key: wr.GetKey(), Value: wr.GetValue(), Version: tb.lastVersion, Operation: operation}
	tb.rows[wr.GetKey()] = row
	return proto.CloneOf(row)
}

func (tb *Table) snapshot(req *platformpb.ReadRequest) *platformpb.ReadReply {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.reads++
	rep := &platformpb.ReadReply{}
	for _, key := range req.GetKeys() {
		if row, ok := tb.rows[key]; ok {
			rep.Rows = append(rep.Rows, proto.CloneOf(row))
		}
	}
	for _, pfx := range req.GetPrefixes() {
		for key, row := range tb.rows {
			if strings.HasPrefix(key, pfx) {
				rep.Rows = append(rep.Rows, proto.CloneOf(row))
			}
		}
	}
	sort.Slice(rep.Rows, func(i, j int) bool { return rep.Rows[i].GetKey() < rep.Rows[j].GetKey() })
	return rep
}

func (tb *Table) version(key string) uint64 { return tb.rows[key].GetVersion() }

func (tb *Table) current(key string) *platformpb.Row {
	if row, ok := tb.rows[key]; ok {
		return proto.CloneOf(row)
	}
	return &platformpb.Row{Key: key}
}
