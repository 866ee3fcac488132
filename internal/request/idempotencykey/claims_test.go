package idempotencykey_test

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/observability/event"
	"github.com/fulmarloft/fulmarloft/internal/observability/metric"
	"github.com/fulmarloft/fulmarloft/internal/pb/callpb"
	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/request/idempotencykey"
	"github.com/fulmarloft/fulmarloft/internal/testbed/memtable"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

const (
	retentionMS = 1000
	// firstFailingWrite is the number of the write that records the first outcome.
	firstFailingWrite = 2
	// assumedFleet is the number of entries among which the test divides the table's budget.
	assumedFleet = 28
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

// Requests of one moment must share commits: with a commit each, a burst exceeds the budget for calls to the table and most of it is refused.
func TestBurstOfClaimsStaysWithinTheBudget(t *testing.T) {
	const keys, entries = 100, 2
	tb := memtable.New()
	ck := clock.New()
	budgetShare := func() int { return assumedFleet }
	var mu sync.Mutex
	runs, outcomes := map[string]int{}, map[code.Code]int{}
	var wg sync.WaitGroup
	for entry := range entries {
		name := fmt.Sprint("entry-", entry)
		cm := idempotencykey.New(ck, tb.Client(name).Guarded(ck, metric.New(), budgetShare), name, func() int64 { return 600_000 })
		for key := range keys {
			wg.Go(func() {
				req := &callpb.Request{Team: "t", Service: "s", Claim: fmt.Sprint(key)}
				ans := cm.Do(context.Background(), req, uint64(entry), func() *callpb.Answer {
					mu.Lock()
					defer mu.Unlock()
					runs[req.GetClaim()]++
					return &callpb.Answer{Outcome: "answered"}
				})
				mu.Lock()
				defer mu.Unlock()
				outcomes[code.Code(ans.GetCode())]++
			})
		}
	}
	wg.Wait()
	qt.Check(t, outcomes, qt.DeepEquals, map[code.Code]int{code.OK: keys, code.IDReused: keys})
	qt.Check(t, runs, qt.HasLen, keys)
	for key, count := range runs {
		qt.Check(t, count, qt.Equals, 1, qt.Commentf("key %s", key))
	}
}
