package jobrunner_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/intake"
)

const (
	weak   = 1
	strong = 2
)

// submitEach submits a small job after each interval and returns the ids.
func (si *simulation) submitEach(intervalMS, forMS int64) []string {
	var ids []string
	for endMS := si.ck.Now() + forMS; si.ck.Now() < endMS; {
		id := fmt.Sprintf("%016x", si.ck.Now())
		si.submit(id, 1)
		ids = append(ids, id)
		si.wait(intervalMS)
	}
	return ids
}

func (si *simulation) checkCompleted(name string, ids []string) {
	for _, id := range ids {
		qt.Check(si.t, si.state(id), qt.Equals, workpb.State_COMPLETED, qt.Commentf("%s: job %s", name, id))
	}
}

// Review case 11: a weak entry that owns scheduling kept it to the end of the day, though stronger ones were back. An owner must hand over within seconds of the return of a stronger entry, and never to one that isn't stronger.
func TestOwnerHandsOverToAStrongerEntryThatIsUp(t *testing.T) {
	for _, tc := range []struct {
		name     string
		strength int64
		owner    string
	}{
		{"stronger", strong, "two"},
		{"as strong", weak, "one"},
		{"weaker", 0, "one"},
	} {
		simulate(t, func(si *simulation) {
			si.startOn("one", nil, weak)
			si.wait(1000)
			si.startOn("two", nil, tc.strength)
			ids := si.submitEach(250, 6000)
			qt.Check(t, si.owner(), qt.Equals, tc.owner, qt.Commentf(tc.name))
			ids = append(ids, si.submitEach(250, 4000)...)
			qt.Check(t, si.owner(), qt.Equals, tc.owner, qt.Commentf(tc.name))
			si.wait(6000)
			si.checkCompleted(tc.name, ids)
		})
	}
}

// No job may wait for a lease to expire when the ownership is handed over to a stronger entry: each one must start as soon as after a planned stop.
func TestTransferToAStrongerEntryIsFast(t *testing.T) {
	const intervalMS, maxStartMS = 100, 900
	for _, latencyMS := range []int64{4, 40} {
		simulate(t, func(si *simulation) {
			for at := range 12 {
				si.addVM(fmt.Sprintf("more-%d", at))
			}
			si.st.SetLatency(latencyMS)
			si.startOn("one", nil, weak)
			si.wait(1000)
			si.startOn("two", nil, strong)
			si.startOn("three", nil, weak)
			var ids []string
			for range 70 {
				ids = append(ids, si.submitEach(intervalMS, intervalMS)...)
				if at := len(ids) - 1 - maxStartMS/intervalMS; at >= 0 {
					qt.Check(t, si.state(ids[at]), qt.Not(qt.Equals), workpb.State_QUEUED, qt.Commentf("job %d with %d ms", at, latencyMS))
				}
			}
			qt.Check(t, si.owner(), qt.Equals, "two")
			si.wait(5000)
			si.checkCompleted("all", ids)
		})
	}
}

// A stronger entry that starts again and again must not interrupt all work each time: the owner waits longer for it after each transfer that was followed by a short term.
func TestEntryThatKeepsRestartingDoesNotTakeTheOwnershipEachTime(t *testing.T) {
	for _, tc := range []struct {
		name string
		// upMS is for how long the strong entry runs, downMS how long its restart takes.
		upMS, downMS int64
		killed       bool
		changes      int
	}{
		{"up for less than it must ask", 2000, 1000, false, 0},
		{"stopped soon after the transfer", 5000, 1000, false, 2},
		{"killed soon after the transfer", 5000, 1000, true, 2},
		{"stopped a little later", 9000, 2000, false, 4},
	} {
		simulate(t, func(si *simulation) {
			si.startOn("one", nil, weak)
			si.wait(1000)
			changes, last := 0, si.owner()
			stop := func() {
				if tc.killed {
					si.kill("two")
					return
				}
				si.entries["two"].cancel()
				<-si.entries["two"].ended
			}
			follow := func(forMS int64) {
				for endMS := si.ck.Now() + forMS; si.ck.Now() < endMS; si.wait(50) {
					if current := si.owner(); current != last {
						changes, last = changes+1, current
					}
				}
			}
			for endMS := si.ck.Now() + 60_000; si.ck.Now() < endMS; {
				si.startOn("two", nil, strong)
				follow(tc.upMS)
				stop()
				follow(tc.downMS)
			}
			qt.Check(t, changes <= tc.changes, qt.IsTrue, qt.Commentf("%s: %d changes of owner, want at most %d", tc.name, changes, tc.changes))
		})
	}
}

// A restore under way must not be thrown away for an entry that was up for a moment, and must be for one that stays: the stronger one reads everything sooner.
func TestRestoreEndsEarlyOnlyForAnEntryThatStays(t *testing.T) {
	for _, tc := range []struct {
		name  string
		upMS  int64
		owner string
	}{
		{"up for a moment", 2500, "one"},
		{"stays", 30_000, "two"},
	} {
		simulate(t, func(si *simulation) {
			si.st.SetScanLatency(intake.ProgressTable, 8000)
			si.startOn("one", nil, weak)
			si.wait(500)
			si.st.SetScanLatency(intake.ProgressTable, 0)
			si.startOn("two", nil, strong)
			si.wait(min(tc.upMS, 6000))
			if tc.upMS < 6000 {
				si.entries["two"].cancel()
				si.wait(6000 - tc.upMS)
			}
			qt.Check(t, si.owner(), qt.Equals, tc.owner, qt.Commentf(tc.name))
			si.submit("00000000000000aa", 1)
			si.wait(6000)
			qt.Check(t, si.state("00000000000000aa"), qt.Equals, workpb.State_COMPLETED, qt.Commentf(tc.name))
		})
	}
}

// A weak owner's link may be full of its calls to VMs, so that its reads of the store take long: it must hand over all the same.
func TestOwnerOnAFullLinkHandsOver(t *testing.T) {
	simulate(t, func(si *simulation) {
		si.startOn("one", newPacedLink(si.ck, 10), weak)
		si.wait(1000)
		si.entries["one"].link.disturbStore(600, 0)
		si.startOn("two", newPacedLink(si.ck, 200), strong)
		si.wait(9000)
		qt.Check(t, si.owner(), qt.Equals, "two")
	})
}

// While a partition of the store can't be read no successor can restore, so an owner must not hand over to a stronger entry either.
func TestOwnerDoesNotHandOverWhileTheStoreFails(t *testing.T) {
	simulate(t, func(si *simulation) {
		si.startOn("one", nil, weak)
		si.wait(1000)
		si.setUnavailable(intake.Partition("f"))
		si.startOn("two", nil, strong)
		si.wait(8000)
		qt.Check(t, si.owner(), qt.Equals, "one")
		si.setUnavailable("")
		si.wait(3000)
		qt.Check(t, si.owner(), qt.Equals, "two")
	})
}

// A stronger entry that is too slow for the fleet gives the ownership up; it must not ask for it again at once.
func TestOverloadedStrongerEntryDoesNotAskAgainSoon(t *testing.T) {
	simulate(t, func(si *simulation) {
		si.startOn("one", nil, strong)
		si.wait(500)
		si.startOn("two", nil, weak)
		si.wait(3000)
		si.entries["one"].setSlow(500)
		changes, last := 0, si.owner()
		for at := range 500 {
			si.submit(fmt.Sprintf("%014d%02d", at/100, at%100), 1)
			si.wait(100)
			if current := si.owner(); current != last {
				changes, last = changes+1, current
			}
		}
		qt.Check(t, changes, qt.Equals, 1)
		qt.Check(t, si.owner(), qt.Equals, "two")
		si.entries["one"].setSlow(0)
		si.wait(3000)
	})
}
