package dispatch_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
	"github.com/goccy/go-yaml"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/pb/callpb"
	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/request/dispatch"
	"github.com/fulmarloft/fulmarloft/internal/request/outcome"
	"github.com/fulmarloft/fulmarloft/internal/request/picker"
	"github.com/fulmarloft/fulmarloft/pkg/code"
	"github.com/fulmarloft/fulmarloft/pkg/service"
)

const (
	seed            = 3
	slotCount       = 8
	deadlineMS      = 1_000
	serviceMaxRunMS = 5_000
	runMS           = 20
	unitCount       = 1_000
)

// rig is a dispatcher over simulated endpoints whose behavior the test sets.
type rig struct {
	ck    *clock.Clock
	dp    *dispatch.Dispatcher
	svc   service.Service
	pk    *picker.Picker
	mu    sync.Mutex
	tries map[string]int
	byID  map[string]int
	units int
	peak  int
	limit int
	// checkErr is what the check of a unit returns.
	checkErr error
	count    map[string]int
	// respond simulates an attempt at the named endpoint.
	respond func(ctx context.Context, vm string, req *callpb.Request, at *outcome.Attempt) *callpb.Answer
}

func newRig(t *testing.T, endpoints int, idempotent bool) *rig {
	rg := &rig{ck: clock.New(), tries: map[string]int{}, byID: map[string]int{}, limit: unitCount, count: map[string]int{}}
	var svc service.Service
	text := fmt.Sprintf("{name: svc, queue: teams, pool: p, idempotent: %t, deadline-ms: %d, longest-run-ms: %d, max-body-bytes: 1, max-answer-bytes: 1, max-queued: 10000}", idempotent, deadlineMS, serviceMaxRunMS)
	qt.Assert(t, yaml.Unmarshal([]byte(text), &svc), qt.IsNil)
	rg.pk = picker.New(rg.ck, "a", seed, func(*platformpb.VM) int { return slotCount }, func(string) bool { return false })
	var vms []*platformpb.VM
	for i := range endpoints {
		name := fmt.Sprint("vm-", i)
		vms = append(vms, &platformpb.VM{Name: name, Incarnation: name, Address: name, Zone: "a"})
	}
	rg.pk.Set(vms)
	rg.svc = svc
	rg.dp = rg.newDispatcher()
	rg.respond = rg.work
	return rg
}

// newDispatcher returns another dispatcher of the service over the same endpoints.
func (rg *rig) newDispatcher() *dispatch.Dispatcher {
	dp := dispatch.New(rg.ck, rg.pk, func(string) int { return 1 }, func(string) int { return rg.limit })
	dp.Service = func() service.Service { return rg.svc }
	dp.Exchange = rg.exchange
	dp.ReportUnresponsive = func(address string, _ int64) { rg.countEvent("unresponsive " + address) }
	dp.AcquireUnit = rg.acquireUnit
	dp.Count = rg.countEvent
	return dp
}

func (rg *rig) exchange(ctx context.Context, address string, req *callpb.Request, _ int64, at *outcome.Attempt, beforeSend func() error) *callpb.Answer {
	if beforeSend() != nil {
		at.Fail(code.LimitReached, code.MayHaveRun)
		return nil
	}
	rg.mu.Lock()
	rg.tries[address]++
	rg.byID[req.GetId()]++
	respond := rg.respond
	rg.mu.Unlock()
	return respond(ctx, address, req, at)
}

// work answers after runMS.
func (rg *rig) work(ctx context.Context, _ string, req *callpb.Request, at *outcome.Attempt) *callpb.Answer {
	return rg.workFor(ctx, runMS, req, at)
}

func (rg *rig) workFor(ctx context.Context, ms int64, req *callpb.Request, at *outcome.Attempt) *callpb.Answer {
	at.MarkSent()
	if rg.ck.Sleep(ctx, ms) != nil {
		at.Fail(code.NoEndpoint, code.AnswerTimeout)
		return nil
	}
	at.Answer(code.OK)
	return &callpb.Answer{Id: req.GetId(), Outcome: at.String(), Status: 200}
}

// loseAnswer simulates a connection that breaks after the request was sent.
func loseAnswer(at *outcome.Attempt) *callpb.Answer {
	at.MarkSent()
	at.Fail(code.NoEndpoint, code.MayHaveRun)
	return nil
}

func refuseStart(at *outcome.Attempt) *callpb.Answer {
	at.MarkSent()
	at.MarkNotStarted(code.EndpointRefused)
	return nil
}

func (rg *rig) acquireUnit(_ string, maxRunMS int64) (check func() error, release func(sentMS int64)) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	if rg.units >= rg.limit {
		return nil, nil
	}
	rg.units++
	rg.peak = max(rg.peak, rg.units)
	return rg.check, func(sentMS int64) { rg.release(sentMS, maxRunMS) }
}

func (rg *rig) check() error {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	return rg.checkErr
}

func (rg *rig) release(sentMS, maxRunMS int64) {
	end := func() {
		rg.mu.Lock()
		rg.units--
		rg.mu.Unlock()
		rg.dp.Wake()
	}
	if wait := sentMS + maxRunMS - rg.ck.Now(); sentMS > 0 && wait > 0 {
		rg.ck.AfterFunc(wait, end)
		return
	}
	end()
}

func (rg *rig) countEvent(name string) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	rg.count[name]++
}

func (rg *rig) do(ctx context.Context, id string) *callpb.Answer {
	return rg.dp.Do(ctx, &callpb.Request{Id: id, Team: "team", LeftMs: deadlineMS, Idempotent: rg.dp.Service().Idempotent()})
}

// load sends perMS requests per millisecond for ms milliseconds and returns the number of answers by code.
func (rg *rig) load(ms int64, perMS int) map[code.Code]int {
	got := map[code.Code]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range ms {
		for j := range perMS {
			wg.Go(func() {
				ans := rg.do(context.Background(), fmt.Sprint(rg.ck.Now(), i, j))
				mu.Lock()
				defer mu.Unlock()
				got[code.Code(ans.GetCode())]++
			})
		}
		_ = rg.ck.Sleep(context.Background(), 1)
	}
	wg.Wait()
	return got
}

// held returns the number of units in use.
func (rg *rig) held() int {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	return rg.units
}

func (rg *rig) triesOf(id string) int {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	return rg.byID[id]
}

func (rg *rig) triesAt(vm string) int {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	return rg.tries[vm]
}

func (rg *rig) counted(name string) int {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	return rg.count[name]
}

func (rg *rig) setRespond(respond func(ctx context.Context, vm string, req *callpb.Request, at *outcome.Attempt) *callpb.Answer) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	rg.respond = respond
}

func (rg *rig) attempts() int {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	sum := 0
	for _, cnt := range rg.tries {
		sum += cnt
	}
	return sum
}

// Checks the outcome, the number of attempts and the use of the team's units for each way in which attempts end: only an attempt that certainly did not run may be repeated for a non-idempotent request, and a unit stays held while an attempt may still run.
func TestOutcomesAndRetries(t *testing.T) {
	first := func(req *callpb.Request, rg *rig) bool { return rg.triesOf(req.GetId()) == 1 }
	for _, tc := range []struct {
		name       string
		idempotent bool
		respond    func(rg *rig, ctx context.Context, req *callpb.Request, at *outcome.Attempt) *callpb.Answer
		outcome    string
		cd         code.Code
		tries      int
		held       bool
	}{
		{"answered", false, func(rg *rig, ctx context.Context, req *callpb.Request, at *outcome.Attempt) *callpb.Answer {
			return rg.work(ctx, "", req, at)
		}, "answered", code.OK, 1, false},
		{"may have run and isn't idempotent", false, func(_ *rig, _ context.Context, _ *callpb.Request, at *outcome.Attempt) *callpb.Answer {
			return loseAnswer(at)
		}, "unknown", code.MayHaveRun, 1, true},
		{"refused by an endpoint, then answered", false, func(rg *rig, ctx context.Context, req *callpb.Request, at *outcome.Attempt) *callpb.Answer {
			if first(req, rg) {
				return refuseStart(at)
			}
			return rg.work(ctx, "", req, at)
		}, "answered", code.OK, 2, false},
		{"refused by an endpoint, then may have run", false, func(rg *rig, _ context.Context, req *callpb.Request, at *outcome.Attempt) *callpb.Answer {
			if first(req, rg) {
				return refuseStart(at)
			}
			return loseAnswer(at)
		}, "unknown", code.MayHaveRun, 2, true},
		{"refused by all endpoints", false, func(_ *rig, _ context.Context, _ *callpb.Request, at *outcome.Attempt) *callpb.Answer {
			return refuseStart(at)
		}, "not-run", code.EndpointRefused, 11, false},
		{"can't be written", false, func(_ *rig, _ context.Context, _ *callpb.Request, at *outcome.Attempt) *callpb.Answer {
			at.Fail(code.HeaderMalformed, code.MayHaveRun)
			return nil
		}, "not-run", code.HeaderMalformed, 1, false},
		{"idempotent, may have run, then answered", true, func(rg *rig, ctx context.Context, req *callpb.Request, at *outcome.Attempt) *callpb.Answer {
			if first(req, rg) {
				return loseAnswer(at)
			}
			return rg.work(ctx, "", req, at)
		}, "answered", code.OK, 2, true},
		{"idempotent, may have run, then refused", true, func(rg *rig, _ context.Context, req *callpb.Request, at *outcome.Attempt) *callpb.Answer {
			if first(req, rg) {
				return loseAnswer(at)
			}
			return refuseStart(at)
		}, "unknown", code.MayHaveRun, 3, true},
		{"no answer until the deadline", false, func(rg *rig, ctx context.Context, req *callpb.Request, at *outcome.Attempt) *callpb.Answer {
			return rg.workFor(ctx, 10*deadlineMS, req, at)
		}, "unknown", code.AnswerTimeout, 1, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rg := newRig(t, 5, tc.idempotent)
				rg.setRespond(func(ctx context.Context, _ string, req *callpb.Request, at *outcome.Attempt) *callpb.Answer {
					return tc.respond(rg, ctx, req, at)
				})
				ans := rg.do(context.Background(), "1")
				qt.Assert(t, ans.GetOutcome(), qt.Equals, tc.outcome)
				qt.Assert(t, code.Code(ans.GetCode()), qt.Equals, tc.cd)
				qt.Assert(t, rg.triesOf("1"), qt.Equals, tc.tries)
				mayReturn := tc.outcome == "not-run" && tc.cd != code.HeaderMalformed
				qt.Assert(t, ans.GetRetryAfterMs() >= 20, qt.Equals, mayReturn, qt.Commentf("told to come back after %d ms", ans.GetRetryAfterMs()))
				qt.Assert(t, ans.GetRetryAfterMs() > 0, qt.Equals, mayReturn)
				qt.Assert(t, rg.held() > 0, qt.Equals, tc.held)
				_ = rg.ck.Sleep(context.Background(), 2*serviceMaxRunMS)
				qt.Assert(t, rg.held(), qt.Equals, 0)
			})
		})
	}
}

// An endpoint that never answers must cost an idempotent request only the hedging delay; its slot and unit stay in use until the longest run has passed.
func TestUnresponsiveEndpointDoesNotDelayIdempotentRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t, 3, true)
		for i := range 100 {
			rg.do(context.Background(), fmt.Sprint("warm-", i))
		}
		first := make(chan string, 1)
		rg.setRespond(func(ctx context.Context, vm string, req *callpb.Request, at *outcome.Attempt) *callpb.Answer {
			if rg.triesOf(req.GetId()) == 1 {
				first <- vm
				return rg.workFor(ctx, 10*deadlineMS, req, at)
			}
			return rg.work(ctx, vm, req, at)
		})
		start := rg.ck.Now()
		ans := rg.do(context.Background(), "1")
		unresponsive := <-first
		qt.Assert(t, ans.GetOutcome(), qt.Equals, "answered")
		qt.Assert(t, rg.ck.Now()-start < 5*runMS, qt.IsTrue, qt.Commentf("answered after %d ms, a run takes %d ms", rg.ck.Now()-start, runMS))
		qt.Assert(t, rg.counted("unresponsive "+unresponsive), qt.Equals, 1)
		qt.Assert(t, rg.counted("hedges"), qt.Equals, 1)
		qt.Assert(t, rg.held(), qt.Equals, 1)
		qt.Assert(t, rg.pk.Running(unresponsive), qt.Equals, 1)
		_ = rg.ck.Sleep(context.Background(), serviceMaxRunMS)
		qt.Assert(t, rg.held(), qt.Equals, 0)
		qt.Assert(t, rg.pk.Running(unresponsive), qt.Equals, 0)
	})
}

// Guards against an endpoint that fails at once and therefore always has free slots attracting much of the load; it must get its share again after it recovers.
func TestFastFailingEndpointUnderLoad(t *testing.T) {
	for _, tc := range []struct {
		name       string
		idempotent bool
		fail       func(at *outcome.Attempt) *callpb.Answer
	}{
		{"connection breaks after the first byte", true, loseAnswer},
		{"refuses to start", false, refuseStart},
		{"can't be reached", false, func(at *outcome.Attempt) *callpb.Answer {
			at.Fail(code.NoEndpoint, code.MayHaveRun)
			return nil
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const ms, perMS = 4_000, 2
				rg := newRig(t, 10, tc.idempotent)
				rg.setRespond(func(ctx context.Context, vm string, req *callpb.Request, at *outcome.Attempt) *callpb.Answer {
					if vm == "vm-3" {
						return tc.fail(at)
					}
					return rg.work(ctx, vm, req, at)
				})
				got := rg.load(ms, perMS)
				const requests = ms * perMS
				qt.Check(t, rg.attempts() <= requests+requests/10+3+ms/1000+1, qt.IsTrue, qt.Commentf("%d attempts for %d requests", rg.attempts(), requests))
				qt.Check(t, rg.triesAt("vm-3") <= requests/1000, qt.IsTrue, qt.Commentf("%d attempts at the failing endpoint", rg.triesAt("vm-3")))
				qt.Check(t, got[code.OK] >= requests-requests/1000, qt.IsTrue, qt.Commentf("%d requests, answers by code: %v", requests, got))
				rg.setRespond(rg.work)
				_ = rg.load(10_000, 1)
				before := rg.triesAt("vm-3")
				_ = rg.load(ms, perMS)
				qt.Check(t, rg.triesAt("vm-3")-before >= requests/20, qt.IsTrue, qt.Commentf("%d attempts after recovery", rg.triesAt("vm-3")-before))
				_ = rg.ck.Sleep(context.Background(), 2*serviceMaxRunMS)
				qt.Check(t, rg.held(), qt.Equals, 0)
			})
		})
	}
}

func TestRefusingEndpointsGetFewAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const ms, perMS = 4_000, 2
		rg := newRig(t, 10, false)
		rg.setRespond(func(_ context.Context, _ string, _ *callpb.Request, at *outcome.Attempt) *callpb.Answer {
			return refuseStart(at)
		})
		got := rg.load(ms, perMS)
		// Each of the 80 slots is tried at 0, 5, 15, 35 ms and so on, and finally every 2 s.
		qt.Check(t, rg.attempts() <= 80*12, qt.IsTrue, qt.Commentf("%d attempts", rg.attempts()))
		qt.Check(t, got[code.OK], qt.Equals, 0)
		for cd := range got {
			qt.Check(t, cd >= code.KeyMissing && cd < code.MayHaveRun, qt.IsTrue, qt.Commentf("%s is no refusal, answers by code: %v", cd, got))
		}
		rg.setRespond(rg.work)
		_ = rg.ck.Sleep(context.Background(), 2_000)
		got = rg.load(500, perMS)
		qt.Check(t, got[code.OK], qt.Equals, 500*perMS)
	})
}

// If all endpoints become slow at once, every request may be hedged; the retry budget must bound the extra attempts.
func TestHedgesStayWithinRetryBudgetWhenAllAreSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const ms, perMS = 2_000, 2
		rg := newRig(t, 10, true)
		_ = rg.load(500, perMS)
		rg.setRespond(func(ctx context.Context, _ string, req *callpb.Request, at *outcome.Attempt) *callpb.Answer {
			return rg.workFor(ctx, 10*runMS, req, at)
		})
		before := rg.attempts()
		got := rg.load(ms, perMS)
		answered := got[code.OK]
		qt.Check(t, rg.attempts()-before <= ms*perMS*11/10+100+3+ms/1000+1, qt.IsTrue, qt.Commentf("%d attempts", rg.attempts()-before))
		// 80 slots with requests of 200 ms answer at most 400 requests per second.
		qt.Check(t, answered >= 400*ms/1000*85/100, qt.IsTrue, qt.Commentf("answers by code: %v", got))
		_ = rg.ck.Sleep(context.Background(), 2*serviceMaxRunMS)
		qt.Check(t, rg.held(), qt.Equals, 0)
	})
}

// Guards against a collapse under overload, when slots are spent on requests that miss their deadlines: five times the capacity must not reduce the answers per second by more than 5%.
func TestOverloadKeepsGoodput(t *testing.T) {
	for _, tc := range []struct {
		name  string
		runMS func(rnd *rand.Rand) int64
	}{
		{"constant", func(*rand.Rand) int64 { return runMS }},
		{"exponential", func(rnd *rand.Rand) int64 { return 1 + int64(rnd.ExpFloat64()*(runMS-1)) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			at1, got := goodput(t, 2, tc.runMS)
			t.Logf("capacity: %d per second: %v", at1, got)
			at5, got := goodput(t, 10, tc.runMS)
			t.Logf("five times: %d per second: %v", at5, got)
			qt.Check(t, at5*100 >= at1*95, qt.IsTrue, qt.Commentf("%d per second at capacity, %d at five times capacity", at1, at5))
			// Only a request whose deadline passes while it is running may time out.
			qt.Check(t, got[code.AnswerTimeout]*100 <= got[code.OK], qt.IsTrue, qt.Commentf("answers by code: %v", got))
			qt.Check(t, got[code.MayHaveRun], qt.Equals, 0)
		})
	}
}

// goodput sends perMS requests per millisecond to 40 slots for 2 s and returns the number of successful answers per second until the last request ended.
func goodput(t *testing.T, perMS int, runMS func(rnd *rand.Rand) int64) (perSecond int, got map[code.Code]int) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t, 5, false)
		rnd := rand.New(rand.NewPCG(seed, seed))
		rg.setRespond(func(ctx context.Context, _ string, req *callpb.Request, at *outcome.Attempt) *callpb.Answer {
			rg.mu.Lock()
			ms := runMS(rnd)
			rg.mu.Unlock()
			return rg.workFor(ctx, ms, req, at)
		})
		start := rg.ck.Now()
		got = rg.load(2_000, perMS)
		perSecond = got[code.OK] * 1000 / int(rg.ck.Now()-start)
	})
	return perSecond, got
}

// Requests that are cancelled while they wait must leave the queue without an attempt or a held unit, and must not block later ones.
func TestThousandCallersCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t, 1, false)
		rg.limit = slotCount
		ctx, cancel := context.WithCancel(context.Background())
		got := map[code.Code]int{}
		var mu sync.Mutex
		var wg sync.WaitGroup
		for i := range 1000 + slotCount {
			wg.Go(func() {
				ans := rg.do(ctx, fmt.Sprint(i))
				mu.Lock()
				defer mu.Unlock()
				got[code.Code(ans.GetCode())]++
			})
		}
		synctest.Wait()
		qt.Assert(t, rg.dp.Waiting(), qt.Equals, 1000)
		cancel()
		wg.Wait()
		qt.Assert(t, rg.dp.Waiting(), qt.Equals, 0)
		qt.Assert(t, got, qt.DeepEquals, map[code.Code]int{code.OK: slotCount, code.Cancelled: 1000})
		qt.Assert(t, rg.attempts(), qt.Equals, slotCount)
		qt.Assert(t, rg.held(), qt.Equals, 0)
		qt.Assert(t, code.Code(rg.do(context.Background(), "after").GetCode()), qt.Equals, code.OK)
	})
}

func TestLimitIsNeverExceededByRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t, 10, true)
		rg.limit = 20
		cnt := 0
		rg.setRespond(func(ctx context.Context, vm string, req *callpb.Request, at *outcome.Attempt) *callpb.Answer {
			rg.mu.Lock()
			cnt++
			broken := cnt%7 == 0
			rg.mu.Unlock()
			if broken {
				return loseAnswer(at)
			}
			return rg.work(ctx, vm, req, at)
		})
		_ = rg.load(500, 2)
		qt.Assert(t, rg.peak, qt.Equals, 20)
		_ = rg.ck.Sleep(context.Background(), 2*serviceMaxRunMS)
		qt.Assert(t, rg.held(), qt.Equals, 0)
	})
}

// A unit may expire between its acquisition and the sending of the request; the request must then not be sent, and the endpoint must not count as failing.
func TestRequestWithExpiredUnitIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t, 3, false)
		rg.checkErr = code.LeaseLapsed
		ans := rg.do(context.Background(), "1")
		qt.Assert(t, ans.GetOutcome(), qt.Equals, "not-run")
		qt.Assert(t, code.Code(ans.GetCode()), qt.Equals, code.LimitReached)
		qt.Assert(t, rg.attempts(), qt.Equals, 0)
		qt.Assert(t, rg.held(), qt.Equals, 0)
		qt.Assert(t, rg.pk.Ejected(), qt.Equals, 0)
	})
}

func TestNoEndpointIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t, 0, false)
		start := rg.ck.Now()
		ans := rg.do(context.Background(), "1")
		qt.Assert(t, code.Code(ans.GetCode()), qt.Equals, code.NoEndpoint)
		qt.Assert(t, ans.GetOutcome(), qt.Equals, "not-run")
		qt.Assert(t, ans.GetRetryAfterMs() > 0, qt.IsTrue)
		qt.Assert(t, rg.ck.Now(), qt.Equals, start)
	})
}

// Two services share a pool of one slot. While the first holds the slot for a request that turns out to have no unit, the second finds none; its request must get the slot afterwards, not wait until its deadline.
func TestSlotReservedInVainGoesToAnotherService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t, 1, true)
		rg.pk = picker.New(rg.ck, "a", seed, func(*platformpb.VM) int { return 1 }, func(string) bool { return false })
		rg.pk.Set([]*platformpb.VM{{Name: "vm-0", Incarnation: "vm-0", Address: "vm-0", Zone: "a"}})
		first, second := rg.newDispatcher(), rg.newDispatcher()
		var got *callpb.Answer
		var once sync.Once
		first.AcquireUnit = func(string, int64) (func() error, func(int64)) {
			once.Do(func() {
				go func() { got = second.Do(t.Context(), &callpb.Request{Id: "b", Team: "b", LeftMs: deadlineMS}) }()
				_ = rg.ck.Sleep(t.Context(), 1)
			})
			return nil, nil
		}
		first.Do(t.Context(), &callpb.Request{Id: "a", Team: "a", LeftMs: 10 * runMS})
		synctest.Wait()
		qt.Assert(t, got.GetStatus(), qt.Equals, int32(200), qt.Commentf("%v", got))
		qt.Check(t, got.GetWaitMs() < runMS, qt.IsTrue, qt.Commentf("waited %d ms", got.GetWaitMs()))
	})
}
