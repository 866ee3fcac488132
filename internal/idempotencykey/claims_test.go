package idempotencykey_test

import (
	"bytes"
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/callpb"
	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/event"
	"github.com/fulmarloft/fulmarloft/internal/idempotencykey"
	"github.com/fulmarloft/fulmarloft/internal/memtable"
	"github.com/fulmarloft/fulmarloft/internal/platformpb"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

const (
	retentionMS = 1000
	// firstFailingWrite is the number of the write that records the first outcome.
	firstFailingWrite = 2
)

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
		qt.Check(t, cm.Tick(ctx), qt.IsNotNil, qt.Commentf(tc.name))
		tb.SetFaults(nil, nil)
		qt.Check(t, cm.Tick(ctx), qt.IsNil, qt.Commentf(tc.name))
		qt.Check(t, rows(t, tb, "request/"), qt.Equals, 0, qt.Commentf(tc.name))
	}
}

// An outcome that couldn't be stored must be logged and stored later, or repeats would be told until the end of the retention period that the request may have run.
func TestOutcomeIsStoredWhenTheTableIsBack(t *testing.T) {
	for _, after := range []bool{false, true} {
		ck := clock.NewFake(1000)
		tb := memtable.New()
		logs := &bytes.Buffer{}
		cm := idempotencykey.New(ck, tb.Client("entry"), "entry.1", func() int64 { return retentionMS })
		cm.SetLog(event.New(logs))
		writes := 0
		fault := func(_ string, write bool) error {
			if write {
				writes++
			}
			if write && writes >= firstFailingWrite {
				return code.TableUnavailable.New("table is down")
			}
			return nil
		}
		if after {
			tb.SetFaults(nil, fault)
		} else {
			tb.SetFaults(fault, nil)
		}
		ctx := context.Background()
		req := &callpb.Request{Id: "r-1", Team: "t", Service: "s", Claim: "a"}
		runs := 0
		run := func() *callpb.Answer {
			runs++
			return &callpb.Answer{Outcome: "answered", Body: []byte("whole")}
		}
		cm.Do(ctx, req, 1, run)
		qt.Check(t, logs.String(), qt.Matches, `(?s).*event="claim-outcome-unwritten".*request-id="r-1".*`)
		qt.Check(t, cm.Tick(ctx), qt.IsNotNil)
		tb.SetFaults(nil, nil)
		qt.Check(t, cm.Tick(ctx), qt.IsNil)
		ans := cm.Do(ctx, req, 1, run)
		qt.Check(t, string(ans.GetBody()), qt.Equals, "whole", qt.Commentf("%v, lost after the write: %v", ans, after))
		qt.Check(t, runs, qt.Equals, 1)
		ck.Advance(retentionMS)
		qt.Check(t, cm.Tick(ctx), qt.IsNil)
		qt.Check(t, rows(t, tb, "request/"), qt.Equals, 0)
	}
}
