package teamshare_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/fulmarloft/fulmarloft/internal/scheduling/teamshare"
)

const (
	stepMS   = 100
	longMS   = 30_000
	startMS  = 1_000_000
	meanMS   = 4000
	tenCores = 10_000
)

func equalWeights(used map[string]int64) map[string]float64 {
	out := map[string]float64{}
	for team := range used {
		out[team] = 1
	}
	return out
}

// steady returns shares after a long time of constant use.
func steady(used map[string]int64) *teamshare.Shares {
	sh := teamshare.New(startMS)
	for atMS := int64(stepMS); atMS <= longMS; atMS += stepMS {
		sh.Observe(used, startMS+atMS)
	}
	return sh
}

// Several teams above their share by different amounts must not share one level, since the one furthest above is refused first.
func TestLevelsDoubleFromOneAndAHalfShares(t *testing.T) {
	for _, each := range []struct {
		shares float64
		level  int32
	}{{0.5, 0}, {1, 0}, {1.45, 0}, {1.55, 1}, {2.9, 1}, {3.1, 2}, {5.9, 2}, {6.1, 3}, {11.9, 3}, {12.1, 4}, {30, 4}, {59, 4}} {
		// The other teams' use makes the team's one share of a hundredth of all.
		const teams = 100
		used := map[string]int64{}
		hot := int64(each.shares * tenCores)
		for at := range teams - 1 {
			used[fmt.Sprint(at)] = (teams*tenCores - hot) / (teams - 1)
		}
		used["hot"] = hot
		sh := steady(used)
		sh.Rank(equalWeights(used), nil)
		qt.Check(t, sh.Level("hot"), qt.Equals, each.level, qt.Commentf("%.2f shares", each.shares))
	}
}

// Guards against a team with a large weight counting as above its share, and against levels without any weights.
func TestLevelsFollowWeights(t *testing.T) {
	used := map[string]int64{"a": 4 * tenCores, "b": tenCores, "c": tenCores}
	sh := steady(used)
	sh.Rank(map[string]float64{"a": 4, "b": 1, "c": 1}, nil)
	qt.Check(t, sh.Levels(), qt.HasLen, 0)
	sh.Rank(map[string]float64{"a": 1, "b": 4, "c": 1}, nil)
	qt.Check(t, sh.Levels(), qt.DeepEquals, map[string]int32{"a": 2})
	sh.Rank(map[string]float64{"b": 1, "c": 1}, nil)
	qt.Check(t, sh.Level("a"), qt.Equals, int32(4))
	sh.Rank(map[string]float64{}, nil)
	qt.Check(t, sh.Levels(), qt.HasLen, 0)
}

// A team alone on the pool is within its share, also after others have used it long before; one whose work waits beside it has a share of its own.
func TestOnlyRecentAndWaitingTeamsHaveAShare(t *testing.T) {
	sh := steady(map[string]int64{"a": tenCores, "b": tenCores})
	for atMS := int64(longMS); atMS <= 3*longMS; atMS += stepMS {
		sh.Observe(map[string]int64{"a": tenCores}, startMS+atMS)
	}
	weights := map[string]float64{"a": 1, "b": 1}
	sh.Rank(weights, nil)
	qt.Check(t, sh.Levels(), qt.HasLen, 0)
	sh.Rank(weights, map[string]bool{"b": true})
	qt.Check(t, sh.Levels(), qt.DeepEquals, map[string]int32{"a": 1})
}

// Work of public queues belongs to no team and must neither take from the teams' shares nor get a level.
func TestWorkOfNoTeamHasNoLevel(t *testing.T) {
	sh := steady(map[string]int64{"": 50 * tenCores, "a": tenCores, "b": tenCores})
	sh.Rank(map[string]float64{"a": 1, "b": 1}, map[string]bool{"": true})
	qt.Check(t, sh.Levels(), qt.HasLen, 0)
	qt.Check(t, sh.CoresMilli(), qt.HasLen, 2)
}

// A successor must know the levels that its predecessor had, and forget them as fast, whatever their clocks say.
func TestRestoredAveragesDecayWithTheirAge(t *testing.T) {
	used := map[string]int64{"hot": 8 * tenCores, "b": tenCores, "c": tenCores}
	sh := steady(used)
	for _, each := range []struct {
		name        string
		ageMS, want int64
	}{
		{"at once", 0, 80_000},
		{"after one time constant", meanMS, 29_430},
		{"clock set back", -5000, 80_000},
		{"long after", 60_000, 0},
	} {
		next := teamshare.New(0)
		next.Restore(sh.CoresMilli(), each.ageMS, startMS)
		got := next.CoresMilli()["hot"]
		qt.Check(t, got >= each.want-100 && got <= each.want+100, qt.IsTrue, qt.Commentf("%s: %d", each.name, got))
		next.Rank(equalWeights(used), nil)
		qt.Check(t, next.Level("hot") > 0, qt.Equals, each.want > 0, qt.Commentf("%s", each.name))
	}
}

// No sequence of observations may give negative averages, levels beyond the highest, or a level to every team: shares are parts of what is used.
func TestSomeTeamIsWithinItsShare(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sh := teamshare.New(0)
		weights := map[string]float64{"a": rapid.Float64Range(0.1, 10).Draw(rt, "a"), "b": rapid.Float64Range(0.1, 10).Draw(rt, "b"), "c": 1}
		nowMS := int64(0)
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			nowMS += rapid.Int64Range(-50, 5000).Draw(rt, "ms")
			sh.Observe(map[string]int64{
				"a": rapid.Int64Range(0, 100_000).Draw(rt, "use-a"), "b": rapid.Int64Range(0, 100_000).Draw(rt, "use-b"),
			}, nowMS)
			sh.Rank(weights, map[string]bool{"c": rapid.Bool().Draw(rt, "c")})
			if len(sh.Levels()) >= len(weights) {
				rt.Fatalf("levels %v", sh.Levels())
			}
			for team, lv := range sh.Levels() {
				if lv < 1 || lv > 4 || team == "c" {
					rt.Fatalf("%s: level %d", team, lv)
				}
			}
			for team, mean := range sh.CoresMilli() {
				if mean < 0 || mean > 100_000 {
					rt.Fatalf("%s: mean %d", team, mean)
				}
			}
		}
	})
}
