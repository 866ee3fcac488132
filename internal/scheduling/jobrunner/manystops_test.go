package jobrunner_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/configuration/rulesindex"
	"github.com/fulmarloft/fulmarloft/internal/membership/ownership"
	"github.com/fulmarloft/fulmarloft/internal/observability/event"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/jobrunner"
	"github.com/fulmarloft/fulmarloft/internal/testbed/rowstoretest"
)

// queueStops returns how long it takes to queue the stops of a cancelled job's runs, all of which are on one VM.
func queueStops(t *testing.T, runs int32) time.Duration {
	ck := clock.NewFake(1000)
	ow := ownership.New(rowstoretest.New(ck).Rowstore(), ck, "one", "one.1", 1)
	order := func(ctx context.Context, _ *workpb.Order) *workpb.Outcome {
		<-ctx.Done()
		return &workpb.Outcome{Verdict: workpb.Verdict_IN_DOUBT}
	}
	rn := jobrunner.New(&jobrunner.Dependencies{Order: order}, ck, event.Discard(), ow, 4000, 0)
	ct := rn.Controller()
	ct.SetRules(rulesindex.New(&workpb.Rules{
		Version: 1, Queues: []*workpb.Queue{{Name: "q", Service: "s"}}, Services: []*workpb.Service{{Name: "s"}},
	}))
	ct.SetVM(&workpb.VM{Id: "vm-0", Service: "s", Address: "vm-0", CpuMilli: 1_000_000, MemoryMb: 1_000_000})
	qt.Assert(t, ct.DuePolls(), qt.HasLen, 1)
	ct.HandlePoll("vm-0", ck.Now(), &workpb.Look{BornMs: 1, ClockMs: ck.Now()}, workpb.Verdict_ACCEPTED)
	ct.Submit(&workpb.Job{Id: largeJobID, Queue: "q", AcceptedMs: ck.Now(), Steps: []*workpb.Step{{Count: runs, CpuMilli: 1, MemoryMb: 1, EstimateMs: 1000}}})
	for started := 0; started < int(runs); {
		orders := ct.ConfirmStored(ct.Plan(true))
		qt.Assert(t, len(orders) > 0, qt.IsTrue)
		started += len(orders)
		for _, od := range orders {
			ct.HandleOutcome(od, &workpb.Outcome{Verdict: workpb.Verdict_ACCEPTED, ClockMs: ck.Now()})
		}
	}
	ct.Cancel(largeJobID)
	stops := ct.Outbox()
	qt.Assert(t, stops, qt.HasLen, int(runs))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	begin := time.Now()
	rn.Enqueue(ctx, stops...)
	return time.Since(begin)
}

// Guards against an owner that is lost to the cancellation of a large job: each stop was compared with all others that wait for its VM.
func TestStopsOfManyRunsAreQueuedInProportion(t *testing.T) {
	const (
		few, many = 1000, 16_000
		// maxGrowth is between the growth in proportion to the runs, 16, and in proportion to their square, 256.
		maxGrowth = 64
		// A busy machine may disturb some tries, but not all.
		tries = 8
	)
	ofFew, ofMany := queueStops(t, few), queueStops(t, many)
	for try := 1; try < tries && ofMany > maxGrowth*ofFew; try++ {
		ofFew, ofMany = min(ofFew, queueStops(t, few)), min(ofMany, queueStops(t, many))
	}
	qt.Check(t, ofMany <= maxGrowth*ofFew, qt.IsTrue, qt.Commentf("%v for %d stops, %v for %d", ofFew, few, ofMany, many))
}
