package memtable_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/testbed/memtable"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

func put(op, key, value string, version uint64) *platformpb.CommitRequest {
	return &platformpb.CommitRequest{
		Operation:  op,
		Conditions: []*platformpb.Condition{{Key: key, Version: version}},
		Writes:     []*platformpb.Write{{Key: key, Value: []byte(value)}},
	}
}

func TestFailedConditionPreventsCommit(t *testing.T) {
	ctx := context.Background()
	cl := memtable.New().Client("a")
	rep, err := cl.Commit(ctx, put("op-1", "row", "x", 0))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, rep.GetCommitted(), qt.IsTrue)
	again, err := cl.Commit(ctx, put("op-2", "row", "y", 0))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, again.GetCommitted(), qt.IsFalse)
	qt.Assert(t, again.GetRows()[0].GetOperation(), qt.Equals, "op-1")
}

func TestCommitWithLostAnswerTakesEffect(t *testing.T) {
	ctx := context.Background()
	tb := memtable.New()
	tb.SetFaults(nil, func(_ string, write bool) error {
		if write {
			return context.DeadlineExceeded
		}
		return nil
	})
	cl := tb.Client("a")
	_, err := cl.Commit(ctx, put("op-1", "row", "x", 0))
	qt.Assert(t, code.Of(err), qt.Equals, code.TableInDoubt)
	row, err := cl.Get(ctx, "row")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, row.GetOperation(), qt.Equals, "op-1")
}
