package jobrunner_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"storj.io/drpc"

	"github.com/fulmarloft/fulmarloft/internal/configuration/rulesindex"
	"github.com/fulmarloft/fulmarloft/internal/membership/ownership"
	"github.com/fulmarloft/fulmarloft/internal/observability/event"
	"github.com/fulmarloft/fulmarloft/internal/pb/relaypb"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/jobrunner"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/relayserver"
)

// processor is a processor that does one thing at a time.
type processor struct {
	turn chan struct{}
	// factor is how much longer everything takes than usual.
	factor float64
}

// What the owner's processor is charged, in microseconds: for sending a call to a VM and again for reading its answer, for both through another entry, and for a pass of the loop.
const (
	directCallUS  = 1000
	relayedCallUS = 200
	loopPassUS    = 100
	// maxResults is more results than may wait for the processor at once: an entry that waits to send another would wait in a lock.
	maxResults = 10_000
)

func newProcessor(factor float64) *processor {
	return &processor{turn: make(chan struct{}, 1), factor: factor}
}

// use waits for the processor and takes it for some microseconds at its usual speed; it returns false if the context ends before its turn comes.
func (pr *processor) use(ctx context.Context, us float64) bool {
	select {
	case pr.turn <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	time.Sleep(time.Duration(us * pr.factor * float64(time.Microsecond)))
	<-pr.turn
	return true
}

// relayStream is the owner's end of a stream to another entry.
type relayStream struct {
	drpc.Stream
	ctx     context.Context
	pr      *processor
	calls   chan *relaypb.Call
	results chan *relaypb.Result
}

var errEnded = errors.New("stream ended")

func (rs *relayStream) Context() context.Context { return rs.ctx }

func (rs *relayStream) Send(ca *relaypb.Call) error {
	return pass(rs.ctx, rs.calls, ca)
}

// Recv charges the sending as well: a sender waits in a lock, in which virtual time stands still.
func (rs *relayStream) Recv() (*relaypb.Result, error) {
	res, err := take(rs.ctx, rs.results)
	if err == nil && !rs.pr.use(rs.ctx, relayedCallUS) {
		return nil, errEnded
	}
	return res, err
}

// entryStream is the other entry's end.
type entryStream struct{ *relayStream }

func (es entryStream) Send(res *relaypb.Result) error { return pass(es.ctx, es.results, res) }

func (es entryStream) Recv() (*relaypb.Call, error) { return take(es.ctx, es.calls) }

func pass[M any](ctx context.Context, to chan M, message M) error {
	select {
	case to <- message:
		return nil
	case <-ctx.Done():
		return errEnded
	}
}

func take[M any](ctx context.Context, from chan M) (message M, err error) {
	select {
	case message = <-from:
		return message, nil
	case <-ctx.Done():
		return message, errEnded
	}
}

// startOnProcessor starts an entry whose calls and loop take a processor, and which others may use to make calls.
func (si *simulation) startOnProcessor(name string, strength int64, pr *processor) {
	si.startWith(name, nil, strength, func(deps *jobrunner.Dependencies, ow *ownership.Ownership) {
		ow.WithRelay(name, "")
		order, poll, rules := deps.Order, deps.Poll, deps.Rules
		deps.Relays.Order = func(ctx context.Context, od *workpb.Order) *workpb.Outcome {
			ctx, cancel := si.ck.WithTimeout(ctx, orderTimeoutMS)
			defer cancel()
			if !pr.use(ctx, directCallUS) {
				return &workpb.Outcome{Verdict: workpb.Verdict_NOT_SENT}
			}
			oc := order(ctx, od)
			if !pr.use(ctx, directCallUS) {
				return &workpb.Outcome{Verdict: workpb.Verdict_IN_DOUBT}
			}
			return oc
		}
		deps.Relays.Poll = func(ctx context.Context, lr *workpb.LookRequest) (*workpb.Look, workpb.Verdict) {
			ctx, cancel := si.ck.WithTimeout(ctx, lr.GetWaitMs()+pollMarginMS)
			defer cancel()
			if !pr.use(ctx, directCallUS) {
				return nil, workpb.Verdict_IN_DOUBT
			}
			lk, vd := poll(ctx, lr)
			if !pr.use(ctx, directCallUS) {
				return nil, workpb.Verdict_IN_DOUBT
			}
			return lk, vd
		}
		deps.Relays.Dial = func(ctx context.Context, _ string) (relaypb.DRPCRelay_CarryClient, error) {
			st := &relayStream{ctx: ctx, pr: pr, calls: make(chan *relaypb.Call), results: make(chan *relaypb.Result, maxResults)}
			sv := relayserver.New(si.ck, event.Discard())
			sv.Order, sv.Poll = order, poll
			go func() { _ = sv.Carry(entryStream{st}) }()
			return st, nil
		}
		deps.Order, deps.Poll = deps.Relays.SendOrder, deps.Relays.SendPoll
		deps.Rules = func() *rulesindex.Index {
			pr.use(si.t.Context(), loopPassUS)
			return rules()
		}
	})
}

// servedInTime plays ten seconds of load on an owner whose processor takes longer than usual for everything, and returns the part of the jobs that end within their objective.
func servedInTime(t *testing.T, factor float64) float64 {
	const (
		vms, jobs   = 60, 300
		intervalMS  = 33
		objectiveMS = 3160
	)
	inTime := 0
	simulate(t, func(si *simulation) {
		for at := range vms {
			si.addVM(fmt.Sprintf("more-%02d", at))
		}
		si.startOnProcessor("one", 2, newProcessor(factor))
		si.wait(300)
		si.startOnProcessor("two", 1, newProcessor(1))
		si.wait(2000)
		submitted := map[string]int64{}
		check := func() {
			for id, atMS := range submitted {
				if si.state(id) != workpb.State_COMPLETED {
					continue
				}
				if si.ck.Now()-atMS <= objectiveMS {
					inTime++
				}
				delete(submitted, id)
			}
		}
		for at := range jobs {
			id := fmt.Sprintf("%013d%03d", 0, at)
			submitted[id] = si.ck.Now()
			si.submit(id, 4)
			si.wait(intervalMS)
			check()
		}
		for range objectiveMS / 100 {
			si.wait(100)
			check()
		}
		si.wait(20_000)
	})
	return float64(inTime) / jobs
}

// Guards against an owner that collapses when its processor is short: answers are read late, so that calls count as unanswered and are repeated, which takes the processor as well. It must degrade in proportion at most.
func TestOwnerShortOfProcessorServesInProportion(t *testing.T) {
	usual := servedInTime(t, 1)
	qt.Assert(t, usual > 0.95, qt.IsTrue, qt.Commentf("%.2f in time at the usual cost", usual))
	for _, tc := range []struct {
		factor float64
		want   float64
	}{{1.5, 0.8}, {2, 0.8}, {3, 0.6}} {
		got := servedInTime(t, tc.factor)
		qt.Check(t, got >= tc.want*usual, qt.IsTrue, qt.Commentf("%.2f in time at %.1f times the cost", got, tc.factor))
		t.Logf("%.2f in time at %.1f times the cost", got, tc.factor)
	}
}
