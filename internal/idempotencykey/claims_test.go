package idempotencykey_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/callpb"
	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/idempotencykey"
	"github.com/fulmarloft/fulmarloft/internal/memtable"
	"github.com/fulmarloft/fulmarloft/internal/platformpb"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

const retentionMS = 1000

func rows(t *testing.T, tb *memtable.Table, prefix string) int {
	rep, err := tb.Client("test").Read(context.Background(), &platformpb.ReadRequest{Prefixes: []string{prefix}})
	qt.Assert(t, err, qt.IsNil)
	return len(rep.GetRows())
}

// A claim whose deletion fails must be deleted by a later call, or it would stay in the table for good.
func TestFailedDeletionIsRepeated(t *testing.T) {
	for _, tc := range []struct {
		name string
		// failing reports whether a call fails.
		failing func(write bool) bool
	}{
		{"read fails", func(write bool) bool { return !write }},
		{"write fails", func(write bool) bool { return write }},
	} {
		ck := clock.NewFake(1000)
		tb := memtable.New()
		cm := idempotencykey.New(ck, tb.Client("entry"), "entry.1", func() int64 { return retentionMS })
		ctx := context.Background()
		for _, key := range []string{"a", "b", "c"} {
			cm.Do(ctx, &callpb.Request{Team: "t", Service: "s", Claim: key}, 1, func() *callpb.Answer { return &callpb.Answer{} })
		}
		qt.Check(t, rows(t, tb, "request/"), qt.Equals, 3, qt.Commentf(tc.name))
		ck.Advance(retentionMS)
		tb.SetFaults(func(_ string, write bool) error {
			if tc.failing(write) {
				return code.TableUnavailable.New("table is down")
			}
			return nil
		}, nil)
		qt.Check(t, cm.DeleteExpired(ctx), qt.IsNotNil, qt.Commentf(tc.name))
		tb.SetFaults(nil, nil)
		qt.Check(t, cm.DeleteExpired(ctx), qt.IsNil, qt.Commentf(tc.name))
		qt.Check(t, rows(t, tb, "request/"), qt.Equals, 0, qt.Commentf(tc.name))
	}
}
