package table_test

import (
	"context"
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/observability/metric"
	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/store/table"
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

func oneEntry() int { return 1 }

// advancing advances the fake clock until fn returns.
func advancing(ck *clock.Clock, fn func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		fn()
	}()
	for {
		select {
		case <-done:
			return
		default:
			ck.Advance(1)
			runtime.Gosched()
		}
	}
}

// S3: the answer to a commit is lost, and others write the row before the writer reads it again. As long as the trail reaches back far enough, the writer must learn whether its commit took effect; otherwise the commit stays in doubt.
func TestLostAnswerIsResolvedFromTrail(t *testing.T) {
	for _, tc := range []struct {
		name        string
		laterWrites int
		tookEffect  bool
		committed   bool
		want        code.Code
	}{
		{"took effect, no later write", 0, true, true, code.OK},
		{"took effect, three later writes by others", 3, true, true, code.OK},
		{"did not take effect, one write by another", 1, false, false, code.OK},
		{"took effect, more later writes than the trail holds", 20, true, false, code.TableInDoubt},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ck := clock.NewFake(1_000_000)
			tb := memtable.New()
			other := tb.Client("other").Guarded(ck, metric.New(), oneEntry)
			writer := tb.Client("writer").Guarded(ck, metric.New(), oneEntry)
			ctx := context.Background()
			first, err := writer.Commit(ctx, put("op-0", "row", "x", 0))
			qt.Assert(t, err, qt.IsNil)
			_, err = other.Get(ctx, "row")
			qt.Assert(t, err, qt.IsNil)
			fails := 0
			tb.SetFaults(
				func(caller string, write bool) error {
					if caller == "writer" && write && !tc.tookEffect && fails == 0 {
						fails++
						overwrite(t, other, tc.laterWrites)
						return context.DeadlineExceeded
					}
					return nil
				},
				func(caller string, write bool) error {
					if caller == "writer" && write && tc.tookEffect && fails == 0 {
						fails++
						overwrite(t, other, tc.laterWrites)
						return context.DeadlineExceeded
					}
					return nil
				},
			)
			var rep *platformpb.CommitReply
			advancing(ck, func() { rep, err = writer.Commit(ctx, put("op-1", "row", "y", first.GetRows()[0].GetVersion())) })
			qt.Assert(t, code.Of(err), qt.Equals, tc.want)
			qt.Assert(t, rep.GetCommitted(), qt.Equals, tc.committed)
		})
	}
}

// A commit in doubt whose rows can't be read either must name both errors, or an operator sees only the first.
func TestDoubtNamesTheErrorOfTheRead(t *testing.T) {
	ck := clock.NewFake(1_000_000)
	tb := memtable.New()
	writer := tb.Client("writer").Guarded(ck, metric.New(), oneEntry)
	tb.SetFaults(
		func(_ string, write bool) error {
			if !write {
				return code.TableUnavailable.New("the read is refused")
			}
			return nil
		},
		func(string, bool) error { return code.TableInDoubt.New("the answer is lost") },
	)
	var err error
	advancing(ck, func() { _, err = writer.Commit(context.Background(), put("op-1", "row", "y", 0)) })
	qt.Check(t, code.Of(err), qt.Equals, code.TableInDoubt)
	qt.Check(t, err, qt.ErrorMatches, "(?s).*the answer is lost.*the read is refused.*")
}

func overwrite(t *testing.T, cl *table.Client, times int) {
	ctx := context.Background()
	for i := range times {
		row, err := cl.Get(ctx, "row")
		qt.Assert(t, err, qt.IsNil)
		_, err = cl.Commit(ctx, put("other-"+string(rune('a'+i)), "row", "z", row.GetVersion()))
		qt.Assert(t, err, qt.IsNil)
	}
}

// Rows written without the envelope that holds the operation trail and rows with it must be readable by both kinds of client.
func TestPlainAndEnvelopedValues(t *testing.T) {
	ck := clock.NewFake(1_000_000)
	tb := memtable.New()
	plain := tb.Client("plain")
	guarded := plain.Guarded(ck, metric.New(), oneEntry)
	ctx := context.Background()
	rep, err := plain.Commit(ctx, put("op-1", "row", "x", 0))
	qt.Assert(t, err, qt.IsNil)
	row, err := guarded.Get(ctx, "row")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(row.GetValue()), qt.Equals, "x")
	_, err = guarded.Commit(ctx, put("op-2", "row", "y", rep.GetRows()[0].GetVersion()))
	qt.Assert(t, err, qt.IsNil)
	row, err = plain.Get(ctx, "row")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(row.GetValue()), qt.Equals, "y")
}

// S2: while the table is down, calls fail without reaching it, except for single trial calls, and succeed again soon after it is back.
func TestBreakerStopsCalls(t *testing.T) {
	ck := clock.NewFake(1_000_000)
	tb := memtable.New()
	calls, down := 0, true
	tb.SetFaults(func(string, bool) error {
		calls++
		if down {
			return code.TableUnavailable
		}
		return nil
	}, nil)
	cl := tb.Client("a").Guarded(ck, metric.New(), oneEntry)
	advancing(ck, func() {
		for range 1000 {
			_, err := cl.Get(context.Background(), "row")
			qt.Check(t, code.Of(err), qt.Equals, code.TableUnavailable)
		}
	})
	qt.Assert(t, calls < 100, qt.IsTrue, qt.Commentf("%d of 1000 calls reached the table", calls))
	down = false
	ck.Advance(10_000)
	_, err := cl.Get(context.Background(), "row")
	qt.Assert(t, err, qt.IsNil)
}

// After a mass restart, all processes together must stay below the platform's limit of writes per second, and urgent rows must still be written after the other writes have used up their share.
func TestFleetStaysWithinBudget(t *testing.T) {
	const entries, platformWrites = 84, 700
	ck := clock.NewFake(1_000_000)
	tb := memtable.New()
	urgent, other := 0, 0
	for at := range entries {
		cl := tb.Client("e").Guarded(ck, metric.New(), func() int { return entries })
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		for range 50 {
			if _, err := cl.Commit(ctx, put("op", "job/"+string(rune(at)), "x", 0)); code.Of(err) != code.TableBudget {
				other++
			}
		}
		for range 50 {
			if _, err := cl.Commit(ctx, put("op", "config/"+string(rune(at)), "x", 0)); code.Of(err) != code.TableBudget {
				urgent++
			}
		}
	}
	qt.Assert(t, urgent+other <= platformWrites, qt.IsTrue, qt.Commentf("%d urgent writes and %d others, at most %d allowed", urgent, other, platformWrites))
	qt.Assert(t, urgent > 0, qt.IsTrue, qt.Commentf("no urgent write after %d others", other))
}
