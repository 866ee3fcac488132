package liveness_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/membership/liveness"
	"github.com/fulmarloft/fulmarloft/internal/pb/configpb"
)

func entries(zones, perZone int) []*configpb.Member {
	var list []*configpb.Member
	for i := range zones * perZone {
		list = append(list, &configpb.Member{Name: fmt.Sprintf("e%03d", i), Incarnation: fmt.Sprintf("e%03d.1", i), Zone: fmt.Sprintf("zone-%d", i%zones)})
	}
	return list
}

// TestHeartbeatsStayBounded checks that the number of heartbeat targets doesn't grow with the number of zones, and that gossip still reaches every entry within few rounds.
func TestHeartbeatsStayBounded(t *testing.T) {
	for _, tc := range []struct{ zones, perZone, maxTargets, maxRounds int }{{3, 3, 5, 3}, {10, 3, 5, 4}, {28, 3, 5, 6}} {
		list := entries(tc.zones, tc.perZone)
		heard := map[string]bool{list[0].GetIncarnation(): true}
		links := map[string][]string{}
		for _, self := range list {
			vw := liveness.New(self)
			vw.SetRoster(list)
			targets := vw.HeartbeatTargets()
			qt.Assert(t, len(targets) <= tc.maxTargets, qt.IsTrue, qt.Commentf("%d zones: %d targets", tc.zones, len(targets)))
			for _, to := range targets {
				links[self.GetIncarnation()] = append(links[self.GetIncarnation()], to.GetIncarnation())
				links[to.GetIncarnation()] = append(links[to.GetIncarnation()], self.GetIncarnation())
			}
		}
		rounds := 0
		for ; len(heard) < len(list) && rounds < len(list); rounds++ {
			next := map[string]bool{}
			for inc := range heard {
				next[inc] = true
				for _, to := range links[inc] {
					next[to] = true
				}
			}
			heard = next
		}
		qt.Check(t, heard, qt.HasLen, len(list))
		qt.Check(t, rounds <= tc.maxRounds, qt.IsTrue, qt.Commentf("%d zones: %d rounds, expected at most %d", tc.zones, rounds, tc.maxRounds))
	}
}

// Missed heartbeats must make an entry first suspect and then dead, and the next heartbeat alive again.
func TestStates(t *testing.T) {
	list := entries(2, 2)
	vw := liveness.New(list[0])
	vw.SetRoster(list)
	other := list[1].GetIncarnation()
	for _, tc := range []struct {
		missed int
		want   string
	}{{2, liveness.Alive}, {1, liveness.Suspect}, {5, liveness.Dead}} {
		for range tc.missed {
			vw.RecordMiss(other)
		}
		qt.Check(t, vw.State(other), qt.Equals, tc.want)
	}
	qt.Check(t, vw.Nearest(3), qt.HasLen, 2)
	vw.RecordHeartbeat(other, nil)
	qt.Check(t, vw.State(other), qt.Equals, liveness.Alive)
	vw.MarkGone(other)
	qt.Check(t, vw.State(other), qt.Equals, liveness.Gone)
	qt.Check(t, vw.IsCoordinator(list), qt.IsTrue)
}
