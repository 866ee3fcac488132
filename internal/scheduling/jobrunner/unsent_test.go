package jobrunner_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/configuration/rulesindex"
	"github.com/fulmarloft/fulmarloft/internal/membership/ownership"
	"github.com/fulmarloft/fulmarloft/internal/membership/sendcheck"
	"github.com/fulmarloft/fulmarloft/internal/observability/event"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/jobrunner"
	"github.com/fulmarloft/fulmarloft/internal/store/rowstore"
	"github.com/fulmarloft/fulmarloft/internal/testbed/rowstoretest"
)

// A start that this entry keeps back says nothing on its VM, unlike a connection that fails.
func TestStartThatIsKeptBackLeavesItsVMInUse(t *testing.T) {
	for _, tc := range []struct {
		name       string
		beforeMS   int64
		answerMS   int64
		verdict    workpb.Verdict
		sent       bool
		responsive bool
	}{
		{"lease expired", ownership.LeaseMS + 1, 0, workpb.Verdict_ACCEPTED, false, true},
		{"too old behind slow answers", 0, 600, workpb.Verdict_ACCEPTED, true, true},
		{"no connection", 0, 0, workpb.Verdict_NOT_SENT, true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const starts = 40
				ck := clock.New()
				ow := ownership.New(rowstoretest.New(ck).Rowstore(), ck, "one", "one.1", 1)
				_, err := ow.Poll(t.Context())
				qt.Assert(t, err, qt.IsNil)
				sent := sync.Map{}
				order := func(_ context.Context, od *workpb.Order) *workpb.Outcome {
					sent.Store(od.GetTask(), true)
					time.Sleep(time.Duration(tc.answerMS) * time.Millisecond)
					return &workpb.Outcome{Verdict: tc.verdict}
				}
				rn := jobrunner.New(&jobrunner.Dependencies{Order: order}, ck, event.Discard(), ow, 4000, 0)
				orders := plannedStarts(t, rn, ck, starts)
				time.Sleep(time.Duration(tc.beforeMS) * time.Millisecond)
				rn.Enqueue(t.Context(), orders...)
				for range 20 {
					time.Sleep(100 * time.Millisecond)
					synctest.Wait()
					rn.HandleOutcomes()
					if tc.beforeMS == 0 {
						qt.Assert(t, ow.Commit(t.Context(), func(*rowstore.Tx) {}), qt.IsNil)
					}
				}
				qt.Check(t, rn.OpenStarts(), qt.Equals, 0)
				tasks := 0
				sent.Range(func(any, any) bool { tasks++; return true })
				qt.Check(t, tasks > 0, qt.Equals, tc.sent)
				qt.Check(t, tasks < starts, qt.IsTrue)
				qt.Check(t, rn.Controller().Responsive("vm-0"), qt.Equals, tc.responsive)
			})
		})
	}
}

// plannedStarts returns the orders of a job's tasks, all on one VM.
func plannedStarts(t *testing.T, rn *jobrunner.Runner, ck *clock.Clock, count int32) []*workpb.Order {
	ct := rn.Controller()
	ct.SetRules(rulesindex.New(&workpb.Rules{
		Version: 1, Queues: []*workpb.Queue{{Name: "q", Service: "s"}}, Services: []*workpb.Service{{Name: "s"}},
		Teams: []*workpb.Team{{Name: "t", CapCpuMilli: 100_000}},
	}))
	ct.SetVM(&workpb.VM{Id: "vm-0", Service: "s", Address: "vm-0", CpuMilli: 100_000, MemoryMb: 100_000})
	qt.Assert(t, ct.DuePolls(), qt.HasLen, 1)
	ct.HandlePoll("vm-0", ck.Now(), &workpb.Look{BornMs: 1, ClockMs: ck.Now()}, workpb.Verdict_ACCEPTED)
	ct.Submit(&workpb.Job{Id: "00000000000000aa", Team: "t", Queue: "q", AcceptedMs: ck.Now(), Steps: []*workpb.Step{
		{Count: count, CpuMilli: 100, MemoryMb: 10, EstimateMs: 10_000},
	}})
	orders := ct.ConfirmStored(ct.Plan(true))
	qt.Assert(t, orders, qt.HasLen, int(count))
	return orders
}

// A start that waits for its connection until the ownership lease has expired, as in a paused process, must not be sent then, and says nothing on its VM.
func TestStartIsNotSentOnceTheLeaseHasExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ck := clock.New()
		ow := ownership.New(rowstoretest.New(ck).Rowstore(), ck, "one", "one.1", 1)
		_, err := ow.Poll(t.Context())
		qt.Assert(t, err, qt.IsNil)
		var late atomic.Int64
		order := func(ctx context.Context, _ *workpb.Order) *workpb.Outcome {
			time.Sleep((ownership.LeaseMS + 1) * time.Millisecond)
			if !sendcheck.Allowed(ctx) {
				return &workpb.Outcome{Verdict: workpb.Verdict_NOT_SENT}
			}
			late.Add(1)
			return &workpb.Outcome{Verdict: workpb.Verdict_ACCEPTED}
		}
		rn := jobrunner.New(&jobrunner.Dependencies{Order: order}, ck, event.Discard(), ow, 4000, 0)
		rn.Enqueue(t.Context(), plannedStarts(t, rn, ck, 3)...)
		for range 60 {
			time.Sleep(100 * time.Millisecond)
			synctest.Wait()
			rn.HandleOutcomes()
		}
		qt.Check(t, late.Load(), qt.Equals, int64(0))
		qt.Check(t, rn.OpenStarts(), qt.Equals, 0)
		qt.Check(t, rn.Controller().Responsive("vm-0"), qt.IsTrue)
	})
}

// A call to the machine API must not be sent without the ownership, even if its context hasn't ended yet: timers fire late after a pause.
func TestCallWithinTheLeaseNeedsTheOwnership(t *testing.T) {
	ck := clock.NewFake(1000)
	ow := ownership.New(rowstoretest.New(ck).Rowstore(), ck, "one", "one.1", 1)
	_, err := ow.Poll(t.Context())
	qt.Assert(t, err, qt.IsNil)
	rn := jobrunner.New(&jobrunner.Dependencies{}, ck, event.Discard(), ow, 4000, 0)
	ctx, cancel := rn.WithinLease(t.Context())
	defer cancel()
	qt.Check(t, sendcheck.Allowed(ctx), qt.IsTrue)
	qt.Assert(t, ow.Release(t.Context()), qt.IsNil)
	qt.Check(t, ctx.Err(), qt.IsNil)
	qt.Check(t, sendcheck.Allowed(ctx), qt.IsFalse)
}
