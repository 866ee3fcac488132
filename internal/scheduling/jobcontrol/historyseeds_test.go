package jobcontrol_test

import (
	"flag"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

var (
	historyCount = flag.Int("histories", 300, "how many random histories TestRandomHistoriesKeepEveryLimit plays")
	historySeed  = flag.Uint64("history-seed", 1, "the seed of the first one")
)

// A long run by hand: go test -run TestRandomHistories ./internal/jobcontrol -args -histories 100000 -history-seed 1.
func TestRandomHistoriesKeepEveryLimit(t *testing.T) {
	seeds := make(chan uint64)
	var starts atomic.Int64
	var players sync.WaitGroup
	for range max(runtime.GOMAXPROCS(0)/2, 1) {
		players.Go(func() {
			for seed := range seeds {
				starts.Add(int64(playSeed(t, seed)))
			}
		})
	}
	for at := range uint64(*historyCount) {
		seeds <- *historySeed + at
	}
	close(seeds)
	players.Wait()
	t.Logf("%d histories, %d starts", *historyCount, starts.Load())
}

// playSeed plays the history of a seed and returns how many runs started; a broken limit is reported with the shortest plan that breaks it.
func playSeed(t *testing.T, seed uint64) int {
	hs := newHistory(drawPlan(seed))
	hs.run()
	if len(hs.violations) > 0 {
		vi := hs.violations[0]
		short := hs.pl.shrink(vi.rule)
		t.Errorf("seed %d breaks %s at %d: %s\njobs %d, faults left: %v", seed, vi.rule, vi.atMS, vi.detail, len(short.jobs), short.faults)
	}
	return hs.starts
}

func TestHistoryOfASeedRepeats(t *testing.T) {
	for seed := range uint64(20) {
		one, other := newHistory(drawPlan(seed)), newHistory(drawPlan(seed))
		one.run()
		other.run()
		qt.Assert(t, one.starts, qt.Equals, other.starts, qt.Commentf("seed %d", seed))
	}
}
