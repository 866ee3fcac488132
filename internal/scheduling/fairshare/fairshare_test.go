package fairshare_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/scheduling/fairshare"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/size"
)

// startAll starts jobs until no queued one fits into the total and returns how many each team started.
func startAll(pk *fairshare.Picker, total size.Size) map[string]int {
	got := map[string]int{}
	free := total
	pk.BeginRound()
	for {
		name, id, need, ok := pk.Next()
		if !ok {
			return got
		}
		if !need.Fits(free) {
			pk.Skip(name, id)
			continue
		}
		free = free.Minus(need)
		pk.Start(name, id, need)
		got[name]++
	}
}

func TestWeightedMaxMin(t *testing.T) {
	type queue struct {
		name          string
		weight, limit int
		jobs          int
		need          size.Size
	}
	one := size.New(1000, 1000, 0)
	total := size.New(60000, 60000, 10)
	cases := []struct {
		name   string
		queues []queue
		want   map[string]int
	}{
		{"by weight", []queue{{"a", 1, 99, 99, one}, {"b", 2, 99, 99, one}, {"c", 3, 99, 99, one}}, map[string]int{"a": 10, "b": 20, "c": 30}},
		{"unused share goes to other teams", []queue{{"a", 1, 99, 99, one}, {"b", 2, 99, 5, one}}, map[string]int{"a": 55, "b": 5}},
		{"concurrency limit", []queue{{"a", 1, 99, 99, one}, {"b", 5, 10, 99, one}}, map[string]int{"a": 50, "b": 10}},
		{"share 0 gets the remaining capacity", []queue{{"a", 0, 99, 99, one}, {"b", 1, 99, 40, one}}, map[string]int{"a": 20, "b": 40}},
		{"limit 0 starts nothing", []queue{{"a", 1, 0, 99, one}, {"b", 1, 99, 9, one}}, map[string]int{"b": 9}},
		{"dominant resources differ", []queue{{"a", 1, 99, 99, size.New(1000, 4000, 0)}, {"b", 1, 99, 99, size.New(3000, 1000, 0)}}, map[string]int{"a": 11, "b": 16}},
		{"large job doesn't block small ones", []queue{{"a", 1, 99, 1, size.New(90000, 1, 0)}, {"a", 1, 99, 30, one}}, map[string]int{"a": 30}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			pk := fairshare.New()
			pk.SetTotal(total)
			for i, qu := range tc.queues {
				pk.SetTeam(qu.name, qu.weight, qu.limit)
				for n := range qu.jobs {
					pk.Push(qu.name, fmt.Sprintf("%d-%d", i, n), false, int64(n), qu.need)
				}
			}
			qt.Assert(t, startAll(pk, total), qt.DeepEquals, tc.want)
		})
	}
}

// A normal job must start after at most MaxUrgentStreak urgent jobs of its team, however many are queued.
func TestStarvationBoundWithinTeam(t *testing.T) {
	pk := fairshare.New()
	pk.SetTotal(size.New(1000000, 1000000, 0))
	pk.SetTeam("a", 1, 1000)
	pk.Push("a", "old", false, 0, size.New(1, 1, 0))
	for n := range 100 {
		pk.Push("a", fmt.Sprintf("urgent-%d", n), true, int64(n+1), size.New(1, 1, 0))
	}
	for n := range fairshare.MaxUrgentStreak + 1 {
		pk.BeginRound()
		_, id, need, _ := pk.Next()
		qt.Assert(t, id == "old", qt.Equals, n == fairshare.MaxUrgentStreak)
		pk.Start("a", id, need)
	}
}

// One team uses the whole capacity and has 50,000 jobs queued. Each time one of its jobs ends, the other teams must come first until they reach their shares.
func TestF7FloodReturnsShare(t *testing.T) {
	total := size.New(100000, 100000, 0)
	one := size.New(1000, 1000, 0)
	pk := fairshare.New()
	pk.SetTotal(total)
	pk.SetTeam("large", 1, 1000)
	for n := range 50000 {
		pk.Push("large", fmt.Sprintf("flood-%d", n), true, int64(n), one)
	}
	qt.Assert(t, startAll(pk, total)["large"], qt.Equals, 100)
	for i := range 4 {
		name := fmt.Sprintf("small-%d", i)
		pk.SetTeam(name, 1, 1000)
		for n := range 200 {
			pk.Push(name, fmt.Sprintf("%s-%d", name, n), false, int64(100000+n), one)
		}
	}
	for range 80 {
		pk.RemoveRunning("large", one)
		qt.Assert(t, startAll(pk, one)["large"], qt.Equals, 0)
	}
	for i := range 4 {
		qt.Check(t, pk.Running(fmt.Sprintf("small-%d", i)), qt.Equals, 20)
	}
	qt.Check(t, pk.Running("large"), qt.Equals, 20)
}

// A job may preempt a run of another team only if that team isn't left with a lower weighted share than the job's own; teams with share 0 yield to all others.
func TestMayPreempt(t *testing.T) {
	one := size.New(1000, 1000, 0)
	pk := fairshare.New()
	pk.SetTotal(size.New(10000, 10000, 0))
	for _, tm := range []struct {
		name           string
		weight, limit  int
		running, queue int
	}{{"above", 1, 99, 8, 0}, {"below", 1, 99, 1, 0}, {"idle", 0, 99, 1, 0}} {
		pk.SetTeam(tm.name, tm.weight, tm.limit)
		for range tm.running {
			pk.AddRunning(tm.name, one)
		}
	}
	cases := []struct {
		name, victim string
		want         bool
	}{
		{"below", "above", true},
		{"above", "below", false},
		{"above", "above", true},
		{"above", "idle", true},
		{"idle", "above", false},
	}
	for _, tc := range cases {
		qt.Check(t, pk.MayPreempt(tc.name, one, tc.victim, one), qt.Equals, tc.want, qt.Commentf("%s preempts %s", tc.name, tc.victim))
	}
}

func BenchmarkNext(b *testing.B) {
	for _, teams := range []int{6, 79} {
		for _, queued := range []int{100, 10000} {
			b.Run(fmt.Sprintf("teams=%d/queued=%d", teams, teams*queued), func(b *testing.B) {
				pk := fairshare.New()
				pk.SetTotal(size.New(1<<40, 1<<40, 1<<20))
				one := size.New(1000, 1000, 0)
				for i := range teams {
					name := fmt.Sprintf("team-%d", i)
					pk.SetTeam(name, 1+i%5, 1<<30)
					for n := range queued {
						pk.Push(name, fmt.Sprintf("%s-%d", name, n), n%10 == 0, int64(n), one)
					}
				}
				for i := 0; b.Loop(); i++ {
					pk.BeginRound()
					name, id, need, _ := pk.Next()
					pk.Start(name, id, need)
					pk.Push(name, id, false, int64(1000000+i), need)
					pk.RemoveRunning(name, need)
				}
			})
		}
	}
}
