package jobrunner_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/membership/ownership"
	"github.com/fulmarloft/fulmarloft/internal/observability/event"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/jobrunner"
	"github.com/fulmarloft/fulmarloft/internal/store/rowstore"
	"github.com/fulmarloft/fulmarloft/internal/testbed/rowstoretest"
)

const (
	queueHistories = 300
	// historySteps is the number of steps of a history, which take maxStepMS each at most.
	historySteps = 300
	maxStepMS    = 30
	// renewPercent is how often a step renews the lease.
	renewPercent = 15
	// maxQueueAnswerMS is the time of the slowest answers.
	maxQueueAnswerMS = 900
	// settleMS is longer than all orders that wait can take.
	settleMS = 60_000
)

// queueHistory plays the order queues of a runner with orders and answers drawn from a seed.
type queueHistory struct {
	t    *testing.T
	seed uint64
	ck   *clock.Clock
	ow   *ownership.Ownership
	rn   *jobrunner.Runner
	rng  *rand.Rand
	runs []*queuedRun

	mu sync.Mutex
	// starts counts the copies of starts that were sent, repeats those that were not the first one of their run.
	starts  int
	repeats int
	calls   map[string]uint64
}

// queuedRun is a run whose start was handed over; endedMS is when its stop was handed over or its start withdrawn, 0 before.
type queuedRun struct {
	od      *workpb.Order
	sinceMS int64
	endedMS int64
	sent    int
}

func newQueueHistory(t *testing.T, seed uint64) *queueHistory {
	ck := clock.New()
	qh := &queueHistory{t: t, seed: seed, ck: ck, rng: rand.New(rand.NewPCG(seed, 0)), calls: map[string]uint64{}}
	qh.ow = ownership.New(rowstoretest.New(ck).Rowstore(), ck, "one", "one.1", 1)
	held, err := qh.ow.Poll(t.Context())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, held, qt.IsTrue)
	qh.rn = jobrunner.New(&jobrunner.Dependencies{Order: qh.order}, ck, event.Discard(), qh.ow, 4000, 0)
	return qh
}

// step hands an order over, withdraws a start or renews the lease.
func (qh *queueHistory) step() {
	qh.rn.HandleOutcomes()
	switch draw := qh.rng.IntN(100); {
	case draw < renewPercent:
		qt.Assert(qh.t, qh.ow.Commit(qh.t.Context(), func(*rowstore.Tx) {}), qt.IsNil)
	case draw < 60 || len(qh.runs) == 0:
		qh.add()
	case draw < 80:
		ru := qh.runs[qh.rng.IntN(len(qh.runs))]
		qh.end(ru)
		qh.rn.Enqueue(qh.t.Context(), &workpb.Order{Verb: workpb.Verb_STOP, Vm: ru.od.GetVm(), Task: ru.od.GetTask(), Run: 1})
	default:
		ru := qh.runs[len(qh.runs)-1-qh.rng.IntN(min(len(qh.runs), 10))]
		qh.end(ru)
		qh.rn.WithdrawStart(ru.od)
	}
	time.Sleep(time.Duration(qh.rng.IntN(maxStepMS)) * time.Millisecond)
}

func (qh *queueHistory) add() {
	qh.mu.Lock()
	od := &workpb.Order{Verb: workpb.Verb_START, Vm: fmt.Sprint("vm-", qh.rng.IntN(2)), Task: fmt.Sprintf("j.0.0.%d", len(qh.runs)), Run: 1}
	qh.runs = append(qh.runs, &queuedRun{od: od, sinceMS: qh.ck.Now()})
	qh.mu.Unlock()
	qh.rn.Enqueue(qh.t.Context(), od)
}

func (qh *queueHistory) end(ru *queuedRun) {
	qh.mu.Lock()
	defer qh.mu.Unlock()
	if ru.endedMS == 0 {
		ru.endedMS = qh.ck.Now()
	}
}

// order checks an order that leaves, and answers soon, late, with a refusal or not at all.
func (qh *queueHistory) order(_ context.Context, od *workpb.Order) *workpb.Outcome {
	if od.GetVerb() == workpb.Verb_START {
		qh.check(od)
	}
	rng := qh.callRand(od)
	switch draw := rng.IntN(100); {
	case draw < 50:
		qh.wait(rng.Int64N(20))
		return &workpb.Outcome{Verdict: workpb.Verdict_ACCEPTED}
	case draw < 75:
		qh.wait(rng.Int64N(maxQueueAnswerMS))
		return &workpb.Outcome{Verdict: workpb.Verdict_ACCEPTED}
	case draw < 90:
		qh.wait(unansweredMS)
		return &workpb.Outcome{Verdict: workpb.Verdict_IN_DOUBT}
	case draw < 96:
		qh.wait(rng.Int64N(20))
		return &workpb.Outcome{Verdict: workpb.Verdict_STALE_RUN}
	default:
		return &workpb.Outcome{Verdict: workpb.Verdict_NOT_SENT}
	}
}

func (qh *queueHistory) wait(forMS int64) { time.Sleep(time.Duration(forMS) * time.Millisecond) }

// callRand returns random numbers that depend only on the order and how often it was sent.
func (qh *queueHistory) callRand(od *workpb.Order) *rand.Rand {
	qh.mu.Lock()
	defer qh.mu.Unlock()
	key := od.GetVerb().String() + od.GetTask()
	qh.calls[key]++
	var hash uint64
	for _, char := range key {
		hash = hash*31 + uint64(char)
	}
	return rand.New(rand.NewPCG(qh.seed, hash<<8+qh.calls[key]))
}

// check fails the test if a start leaves that must not.
func (qh *queueHistory) check(od *workpb.Order) {
	qh.mu.Lock()
	defer qh.mu.Unlock()
	var ru *queuedRun
	for _, other := range qh.runs {
		if other.od == od {
			ru = other
		}
	}
	nowMS := qh.ck.Now()
	ru.sent++
	if ru.sent > 1 {
		qh.repeats++
	}
	qh.starts++
	what := fmt.Sprintf("seed %d: copy %d of the start of %s", qh.seed, ru.sent, od.GetTask())
	if ru.endedMS > 0 && nowMS > ru.endedMS {
		qh.t.Errorf("%s leaves %d ms after its run was stopped or withdrawn", what, nowMS-ru.endedMS)
	}
	if ageMS := nowMS - ru.sinceMS; ageMS > jobrunner.MaxStartAgeMS {
		qh.t.Errorf("%s leaves %d ms after it was handed over", what, ageMS)
	}
	if !qh.ow.Held() {
		qh.t.Errorf("%s leaves after the ownership lease", what)
	}
}

// No start may leave after its run was stopped or withdrawn, too late or without the ownership lease.
func TestRandomQueueHistoriesSendNoStartTooLate(t *testing.T) {
	starts, repeats := 0, 0
	for seed := range uint64(queueHistories) {
		synctest.Test(t, func(t *testing.T) {
			qh := newQueueHistory(t, seed)
			for range historySteps {
				qh.step()
			}
			qh.wait(settleMS)
			qh.rn.HandleOutcomes()
			qt.Check(t, qh.rn.OpenStarts(), qt.Equals, 0)
			qh.mu.Lock()
			defer qh.mu.Unlock()
			starts, repeats = starts+qh.starts, repeats+qh.repeats
		})
		if t.Failed() {
			return
		}
	}
	t.Logf("%d starts were sent, %d of them again", starts, repeats)
	qt.Check(t, starts-repeats > queueHistories && repeats > queueHistories, qt.IsTrue)
}
