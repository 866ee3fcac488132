package queue_test

import (
	"fmt"
	"math"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/request/queue"
	"github.com/fulmarloft/fulmarloft/internal/request/refusal"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

const (
	slotCount  = 80
	deadlineMS = 3_600_000
)

// load is the demand of one team: it keeps depth requests waiting from fromMS until untilMS.
type load struct {
	team    string
	share   int
	costMS  int64
	depth   int
	fromMS  int64
	untilMS int64
}

// simulation keeps a given number of requests of each team waiting and counts the slot time that each team uses.
type simulation struct {
	ck      *clock.Clock
	qu      *queue.Queue[string]
	slots   int
	used    map[string]int64
	depth   map[string]int
	cost    func(team string, now int64) int64
	dropped int
}

func newSimulation(loads []load) *simulation {
	sm := &simulation{ck: clock.NewFake(0), slots: slotCount, used: map[string]int64{}, depth: map[string]int{}}
	sm.qu = queue.New(sm.ck, 1_000_000, func(string, error) { sm.dropped++ })
	sm.qu.SetSlots(func() int { return slotCount })
	sm.qu.SetShare(func(team string) int {
		for _, ld := range loads {
			if ld.team == team {
				return ld.share
			}
		}
		return 0
	})
	sm.cost = func(team string, _ int64) int64 {
		for _, ld := range loads {
			if ld.team == team {
				return ld.costMS
			}
		}
		return 0
	}
	return sm
}

func (sm *simulation) run(loads []load, untilMS int64) {
	for sm.ck.Now() < untilMS {
		now := sm.ck.Now()
		for _, ld := range loads {
			for now >= ld.fromMS && now < ld.untilMS && sm.depth[ld.team] < ld.depth {
				_, err := sm.qu.Push(ld.team, now+deadlineMS, ld.team)
				if err != nil {
					panic(err)
				}
				sm.depth[ld.team]++
			}
		}
		sm.dispatch()
		sm.ck.Advance(1)
	}
}

func (sm *simulation) dispatch() {
	for sm.slots > 0 {
		id, team, ok := sm.qu.Next(func(string) bool { return true })
		if !ok {
			return
		}
		sm.slots--
		sm.depth[team]--
		cost := sm.cost(team, sm.ck.Now())
		sm.ck.AfterFunc(cost, func() {
			sm.slots++
			sm.used[team] += cost
			sm.qu.Done(id, cost)
		})
	}
}

// Slot time used, not the number of requests, must follow the shares, also when one team floods the queue or its runs last longer.
func TestSharesWithinFivePercent(t *testing.T) {
	for _, tc := range []struct {
		name  string
		loads []load
		want  map[string]float64
	}{
		{"one team floods", []load{
			{"a", 50, 20, 5000, 0, 10_000}, {"b", 30, 20, 100, 0, 10_000}, {"c", 20, 20, 100, 0, 10_000},
		}, map[string]float64{"a": 0.5, "b": 0.3, "c": 0.2}},
		{"runs of one team last ten times as long", []load{
			{"a", 50, 20, 5000, 0, 10_000}, {"b", 30, 200, 100, 0, 10_000}, {"c", 20, 20, 100, 0, 10_000},
		}, map[string]float64{"a": 0.5, "b": 0.3, "c": 0.2}},
		{"unused share goes to other teams", []load{
			{"a", 50, 20, 100, 0, 10_000}, {"b", 50, 20, 100, 20_000, 30_000},
		}, map[string]float64{"a": 1}},
		{"share 0 yields to others", []load{
			{"a", 50, 20, 100, 0, 10_000}, {"b", 0, 20, 5000, 0, 10_000},
		}, map[string]float64{"a": 1, "b": 0}},
		{"share 0 uses idle slots", []load{
			{"b", 0, 20, 100, 0, 10_000},
		}, map[string]float64{"b": 1}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sm := newSimulation(tc.loads)
			sm.run(tc.loads, 10_000)
			for team, want := range tc.want {
				got := float64(sm.used[team]) / (slotCount * 10_000)
				t.Logf("team %s: %.4f of the slots, share %.2f", team, got, want)
				qt.Check(t, math.Abs(got-want) <= 0.05*want, qt.IsTrue, qt.Commentf("team %s: %.4f of the slots, want %.2f", team, got, want))
			}
			qt.Check(t, sm.dropped, qt.Equals, 0)
		})
	}
}

// A team that was idle for a long time must get its share at once, and no more than that to make up for the idle time.
func TestReturningTeamGetsItsShareAtOnce(t *testing.T) {
	loads := []load{{"a", 50, 20, 100, 0, 40_000}, {"b", 50, 20, 100, 20_000, 40_000}}
	sm := newSimulation(loads)
	sm.run(loads, 20_000)
	before := map[string]int64{"a": sm.used["a"], "b": sm.used["b"]}
	sm.run(loads, 30_000)
	for _, team := range []string{"a", "b"} {
		got := float64(sm.used[team]-before[team]) / (slotCount * 10_000)
		t.Logf("team %s: %.4f of the slots, share 0.50", team, got)
		qt.Check(t, math.Abs(got-0.5) <= 0.025, qt.IsTrue, qt.Commentf("team %s: %.4f of the slots, want 0.50", team, got))
	}
}

// Charging the estimated run time alone would give a team extra slot time whenever its runs become longer than the estimate.
func TestSuddenlyTenTimesLongerRunsAreCharged(t *testing.T) {
	loads := []load{{"a", 50, 20, 200, 0, 30_000}, {"b", 50, 20, 200, 0, 30_000}}
	sm := newSimulation(loads)
	sm.cost = func(team string, now int64) int64 {
		if team == "b" && now >= 10_000 {
			return 200
		}
		return 20
	}
	sm.run(loads, 10_000)
	before := map[string]int64{"a": sm.used["a"], "b": sm.used["b"]}
	sm.run(loads, 20_000)
	for _, team := range []string{"a", "b"} {
		got := float64(sm.used[team]-before[team]) / (slotCount * 10_000)
		t.Logf("team %s: %.4f of the slots, share 0.50", team, got)
		qt.Check(t, math.Abs(got-0.5) <= 0.025, qt.IsTrue, qt.Commentf("team %s: %.4f of the slots, want 0.50", team, got))
	}
}

// A refund for a run that was charged before its team became backlogged must not put the team ahead of the others: their tags were raised past that charge.
func TestRefundOfAnEarlierChargeGivesNoLead(t *testing.T) {
	qu := queue.New(clock.NewFake(0), 1000, func(string, error) {})
	qu.SetSlots(func() int { return slotCount })
	all := func(string) bool { return true }
	push := func(team string) {
		_, err := qu.Push(team, deadlineMS, team)
		qt.Assert(t, err, qt.IsNil)
	}
	push("a")
	id, _, _ := qu.Next(all)
	qu.Done(id, 100)
	var running []int64
	for range 10 {
		push("a")
		id, _, _ := qu.Next(all)
		running = append(running, id)
	}
	for range 20 {
		push("a")
		push("b")
	}
	for _, id := range running {
		qu.Done(id, 0)
	}
	started := map[string]int{}
	for range 10 {
		_, team, _ := qu.Next(all)
		started[team]++
	}
	qt.Assert(t, started, qt.DeepEquals, map[string]int{"a": 5, "b": 5})
}

// A team with 1% of the shares and only one waiting request must get its share while a team with 99% of the shares floods the queue.
func TestSmallTeamIsNotStarved(t *testing.T) {
	loads := []load{{"a", 99, 20, 5000, 0, 10_000}, {"b", 1, 20, 1, 0, 10_000}}
	sm := newSimulation(loads)
	sm.run(loads, 10_000)
	got := float64(sm.used["b"]) / (slotCount * 10_000)
	qt.Assert(t, got >= 0.0095, qt.IsTrue, qt.Commentf("%.4f of the slots, want at least 0.0095", got))
}

// A request that can't start before its deadline, by the estimated wait, must be refused at once, with the time after which a retry could succeed.
func TestHopelessRequestsAreRefusedEarly(t *testing.T) {
	ck := clock.NewFake(0)
	qu := queue.New(ck, 1000, func(string, error) {})
	qu.SetSlots(func() int { return 1 })
	all := func(string) bool { return true }
	id, err := qu.Push("a", 1000, "first")
	qt.Assert(t, err, qt.IsNil)
	_, _, ok := qu.Next(all)
	qt.Assert(t, ok, qt.IsTrue)
	qu.Done(id, 100)
	for range 10 {
		_, err = qu.Push("a", 10_000, "later")
		qt.Assert(t, err, qt.IsNil)
	}
	_, _, ok = qu.Next(all)
	qt.Assert(t, ok, qt.IsTrue)
	_, err = qu.Push("a", 500, "hopeless")
	qt.Assert(t, code.Of(err), qt.Equals, code.DeadlineHopeless)
	qt.Assert(t, refusal.RetryAfterMS(err), qt.Equals, int64(800))
	qt.Assert(t, qu.Len(), qt.Equals, 9)
	_, err = qu.Push("a", 2000, "in time")
	qt.Assert(t, err, qt.IsNil)
}

func TestExpiredRequestsAreDroppedWithDeadlinePassed(t *testing.T) {
	ck := clock.NewFake(0)
	got := map[string]code.Code{}
	qu := queue.New(ck, 1000, func(val string, err error) { got[val] = code.Of(err) })
	_, err := qu.Push("a", 50, "short")
	qt.Assert(t, err, qt.IsNil)
	_, err = qu.Push("a", 500, "long")
	qt.Assert(t, err, qt.IsNil)
	ck.Advance(100)
	qt.Assert(t, got, qt.DeepEquals, map[string]code.Code{"short": code.DeadlinePassed})
	_, val, ok := qu.Next(func(string) bool { return true })
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, val, qt.Equals, "long")
	_, err = qu.Push("a", ck.Now(), "past")
	qt.Assert(t, code.Of(err), qt.Equals, code.DeadlinePassed)
}

// A full queue evicts requests of the team with the most waiting requests relative to its share, until both teams have the same number.
func TestFullQueueEvictsFromTheFloodingTeam(t *testing.T) {
	ck := clock.NewFake(0)
	evicted := map[string]int{}
	qu := queue.New(ck, 10, func(team string, err error) {
		qt.Check(t, code.Of(err), qt.Equals, code.QueueFull)
		qt.Check(t, refusal.RetryAfterMS(err) > 0, qt.IsTrue)
		evicted[team]++
	})
	for range 10 {
		_, err := qu.Push("flood", deadlineMS, "flood")
		qt.Assert(t, err, qt.IsNil)
	}
	_, err := qu.Push("flood", deadlineMS, "flood")
	qt.Assert(t, code.Of(err), qt.Equals, code.QueueFull)
	for range 5 {
		_, err = qu.Push("small", deadlineMS, "small")
		qt.Assert(t, err, qt.IsNil)
	}
	_, err = qu.Push("small", deadlineMS, "small")
	qt.Assert(t, code.Of(err), qt.Equals, code.QueueFull)
	qt.Assert(t, evicted, qt.DeepEquals, map[string]int{"flood": 5})
	qt.Assert(t, qu.Len(), qt.Equals, 10)
}

func TestTeamAtItsLimitDoesNotBlockOthers(t *testing.T) {
	qu := queue.New(clock.NewFake(0), 10, func(string, error) {})
	for _, team := range []string{"limited", "free"} {
		_, err := qu.Push(team, deadlineMS, team)
		qt.Assert(t, err, qt.IsNil)
	}
	acquire := func(team string) bool { return team != "limited" }
	id, val, ok := qu.Next(acquire)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, val, qt.Equals, "free")
	_, _, ok = qu.Next(acquire)
	qt.Assert(t, ok, qt.IsFalse)
	qu.Undo(id)
	qu.Done(id, 5)
	qt.Assert(t, qu.Len(), qt.Equals, 1)
}

// Next cannot start a request while units of the team's limit are missing. The number running at that time limits the wait estimate, although the service has free slots.
func TestTeamWithoutUnitsIsRefusedEarly(t *testing.T) {
	ck := clock.NewFake(0)
	qu := queue.New(ck, 100, func(string, error) {})
	qu.SetSlots(func() int { return 80 })
	push := func(remainingMS int64) error {
		_, err := qu.Push("a", ck.Now()+remainingMS, "a")
		return err
	}
	units := 1
	acquire := func(string) bool {
		units--
		return units >= 0
	}
	qt.Assert(t, push(10_000), qt.IsNil)
	id, _, _ := qu.Next(acquire)
	qu.Done(id, 100)
	units = 1
	for range 10 {
		qt.Assert(t, push(10_000), qt.IsNil)
		_, _, _ = qu.Next(acquire)
	}
	// One request runs and nine wait, with an estimated run time of 100 ms each.
	err := push(1000)
	qt.Assert(t, code.Of(err), qt.Equals, code.LimitReached)
	qt.Assert(t, refusal.RetryAfterMS(err), qt.Equals, int64(300))
	qt.Assert(t, push(2000), qt.IsNil)
}

// A request that no endpoint started must go back to the front of the queue, where it can still be cancelled or expire.
func TestRequeuedRequestIsNextAndNotCharged(t *testing.T) {
	ck := clock.NewFake(0)
	dropped := map[string]code.Code{}
	qu := queue.New(ck, 10, func(val string, err error) { dropped[val] = code.Of(err) })
	all := func(string) bool { return true }
	for _, val := range []string{"one", "two"} {
		_, err := qu.Push("a", 1000, val)
		qt.Assert(t, err, qt.IsNil)
	}
	for range 3 {
		id, val, ok := qu.Next(all)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, val, qt.Equals, "one")
		qu.Requeue(id)
		qu.Requeue(id)
		qt.Assert(t, qu.Len(), qt.Equals, 2)
	}
	id, _, _ := qu.Next(all)
	qu.Requeue(id)
	qt.Assert(t, qu.Cancel(id), qt.IsTrue)
	id, val, ok := qu.Next(all)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, val, qt.Equals, "two")
	qu.Requeue(id)
	ck.Advance(1000)
	qt.Assert(t, dropped, qt.DeepEquals, map[string]code.Code{"two": code.DeadlinePassed})
}

// Cancelling most of a long queue must leave the remaining requests in place and in order.
func TestMassCancel(t *testing.T) {
	qu := queue.New(clock.NewFake(0), 100_000, func(string, error) { t.Error("a cancelled request was dropped with an error") })
	var ids []int64
	for i := range 10_000 {
		id, err := qu.Push(fmt.Sprint(i%7), deadlineMS-int64(i%100), "x")
		qt.Assert(t, err, qt.IsNil)
		ids = append(ids, id)
	}
	for i, id := range ids {
		if i%10 != 0 {
			qt.Check(t, qu.Cancel(id), qt.IsTrue)
			qt.Check(t, qu.Cancel(id), qt.IsFalse)
		}
	}
	qt.Assert(t, qu.Len(), qt.Equals, 1000)
	last := int64(0)
	for range 1000 {
		id, _, ok := qu.Next(func(string) bool { return true })
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, id%10, qt.Equals, int64(1))
		last = max(last, id)
	}
	qt.Assert(t, last, qt.Equals, ids[9990])
	qt.Assert(t, qu.Len(), qt.Equals, 0)
}

func BenchmarkCancelThousand(b *testing.B) {
	for _, length := range []int{2_000, 20_000, 200_000} {
		b.Run(fmt.Sprint(length), func(b *testing.B) {
			qu := queue.New(clock.NewFake(0), length+1, func(string, error) {})
			ids := make([]int64, 0, length)
			for i := range length {
				id, _ := qu.Push(fmt.Sprint(i%20), deadlineMS+int64(i*7919%length), "x")
				ids = append(ids, id)
			}
			for b.Loop() {
				for i := range 1000 {
					at := i * (length / 1000)
					qu.Cancel(ids[at])
					ids[at], _ = qu.Push(fmt.Sprint(at%20), deadlineMS+int64(at), "x")
				}
			}
		})
	}
}

func BenchmarkPushNextDone(b *testing.B) {
	qu := queue.New(clock.New(), 1000, func(string, error) {})
	all := func(string) bool { return true }
	b.ReportAllocs()
	for b.Loop() {
		_, _ = qu.Push("a", 1<<50, "x")
		id, _, _ := qu.Next(all)
		qu.Done(id, 1)
	}
}
