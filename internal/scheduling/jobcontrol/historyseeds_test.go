package jobcontrol_test

import (
	"flag"
	"runtime"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

var (
	historyCount = flag.Int("histories", 300, "how many random histories TestRandomHistoriesKeepEveryLimit plays")
	restartCount = flag.Int("restart-histories", 12, "how many random histories TestRandomHistoriesWithRestartsUnderWayKeepEveryLimit plays")
	historySeed  = flag.Uint64("history-seed", 1, "the seed of the first one")
)

// A long run by hand: go test -run TestRandomHistories ./internal/jobcontrol -args -histories 100000 -history-seed 1.
func TestRandomHistoriesKeepEveryLimit(t *testing.T) { playSeeds(t, *historyCount, drawPlan) }

// The same with slow VMs, long tasks and saved progress, where what is learned of them decides about moves and second runs. The histories must contain these, or they would check nothing of them.
func TestRandomHistoriesWithSlowVMsKeepEveryLimit(t *testing.T) {
	counts := playSeeds(t, *historyCount, drawPacedPlan)
	for _, name := range []string{"vm-slow", "vm-recovered", "slow-run-moved", "second-run-planned", "second-run-on-silent-vm"} {
		qt.Check(t, counts[name] > 0, qt.IsTrue, qt.Commentf("%s: %v", name, counts))
	}
}

// The same with VMs that have run for long, restart while starts are under way and are silent for longer than the longest lease: a deadline for the clock of the incarnation before grants that. The histories must contain such leases.
func TestRandomHistoriesWithRestartsUnderWayKeepEveryLimit(t *testing.T) {
	counts := playSeeds(t, *restartCount, drawRestartPlan)
	for _, name := range []string{"silent-with-longer-lease", "run-given-up", "vm-leases-expired"} {
		qt.Check(t, counts[name] > 0, qt.IsTrue, qt.Commentf("%s: %v", name, counts))
	}
}

// playSeeds plays the histories of all seeds and returns how often each event occurred.
func playSeeds(t *testing.T, count int, draw func(uint64) *historyPlan) map[string]int {
	seeds := make(chan uint64)
	var mu sync.Mutex
	starts, counts := 0, map[string]int{}
	var players sync.WaitGroup
	for range max(runtime.GOMAXPROCS(0)/2, 1) {
		players.Go(func() {
			for seed := range seeds {
				hs := playSeed(t, draw(seed))
				mu.Lock()
				starts += hs.starts
				for name, times := range hs.events {
					counts[name] += times
				}
				mu.Unlock()
			}
		})
	}
	for at := range uint64(count) {
		seeds <- *historySeed + at
	}
	close(seeds)
	players.Wait()
	t.Logf("%d histories, %d starts, %d VMs found slow, %d runs moved, %d second runs beside slow ones, %d yielded, %d beside runs on silent VMs", count, starts, counts["vm-slow"], counts["slow-run-moved"],
		counts["second-run-planned"], counts["second-run-yielded"], counts["second-run-on-silent-vm"])
	return counts
}

// playSeed plays a history and returns it; a broken limit is reported with the shortest plan that breaks it.
func playSeed(t *testing.T, pl *historyPlan) *history {
	hs := newHistory(pl)
	hs.run()
	if len(hs.violations) > 0 {
		vi := hs.violations[0]
		short := hs.pl.shrink(vi.rule)
		t.Errorf("seed %d breaks %s at %d: %s\njobs %d, faults left: %v", pl.seed, vi.rule, vi.atMS, vi.detail, len(short.jobs), short.faults)
	}
	return hs
}

// Guards against histories that broke a limit: a poll for an earlier incarnation of a VM was executed by the next one, and dropped ends that nobody had read.
func TestHistoriesWithPollsThatComeTooLate(t *testing.T) {
	for _, tc := range []struct {
		seeds []uint64
		draw  func(uint64) *historyPlan
	}{
		{[]uint64{730171, 741696, 1303932}, drawPlan},
		{[]uint64{1200632, 1303405}, drawPacedPlan},
	} {
		for _, seed := range tc.seeds {
			playSeed(t, tc.draw(seed))
		}
	}
}

func TestHistoryOfASeedRepeats(t *testing.T) {
	for seed := range uint64(20) {
		one, other := newHistory(drawPlan(seed)), newHistory(drawPlan(seed))
		one.run()
		other.run()
		qt.Assert(t, one.starts, qt.Equals, other.starts, qt.Commentf("seed %d", seed))
	}
}
