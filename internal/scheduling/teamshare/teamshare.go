package teamshare

import (
	"maps"
	"math"
)

// Shares holds the moving averages of what teams use of one pool, and the level of each team that uses more than its share. It isn't safe for concurrent use.
type Shares struct {
	// means is the moving average of each team's use, in thousandths of a core.
	means map[string]float64
	atMS  int64
	// levels holds the teams above level 0 as of the last call of Rank.
	levels map[string]int32
}

// noTeam is the team name of work from public queues, which has no share to exceed.
const noTeam = ""

const (
	// meanMS is the time constant of the moving averages: the length of several jobs.
	meanMS = 4000
	// firstLevelFactor is the multiple of its share that a team's use must exceed for level 1; each further level begins at twice the multiple. It is above 1 since single jobs are large relative to a pool.
	firstLevelFactor = 1.5
	levelStep        = 2
	maxLevel         = 4
	// minMeanMilli is the average below which a team that has no work waiting is forgotten, so that its weight counts no longer. It is the smallest that can be stored.
	minMeanMilli = 1
)

// New returns shares without use as of nowMS.
func New(nowMS int64) *Shares {
	return &Shares{means: map[string]float64{}, atMS: nowMS, levels: map[string]int32{}}
}

// Restore sets the averages to stored ones that were current ageMS before nowMS, without any use since. A negative age, as of a clock that was set back, counts as none.
func (sh *Shares) Restore(coresMilli map[string]int64, ageMS, nowMS int64) {
	clear(sh.means)
	sh.atMS = nowMS
	for team, stored := range coresMilli {
		mean := float64(stored) * math.Exp(-float64(max(ageMS, 0))/meanMS)
		if team != noTeam && mean >= minMeanMilli {
			sh.means[team] = mean
		}
	}
}

// Observe updates the averages with what each team uses at nowMS, in thousandths of a core.
func (sh *Shares) Observe(usedMilli map[string]int64, nowMS int64) {
	alpha := 1 - math.Exp(-float64(max(nowMS-sh.atMS, 0))/meanMS)
	sh.atMS = max(nowMS, sh.atMS)
	for team, used := range usedMilli {
		if _, ok := sh.means[team]; !ok && used > 0 && team != noTeam {
			sh.means[team] = 0
		}
	}
	for team, mean := range sh.means {
		sh.means[team] = mean + (float64(usedMilli[team])-mean)*alpha
		if usedMilli[team] == 0 && sh.means[team] < minMeanMilli {
			delete(sh.means, team)
		}
	}
}

// Rank sets the levels under the teams' weights. The shares are those of all teams that have used the pool recently or have work waiting; without weights no team is above its share.
func (sh *Shares) Rank(weights map[string]float64, waiting map[string]bool) {
	used, weight := 0.0, 0.0
	for team, mean := range sh.means {
		used += mean
		weight += weights[team]
	}
	for team := range waiting {
		if _, ok := sh.means[team]; !ok && team != noTeam {
			weight += weights[team]
		}
	}
	clear(sh.levels)
	if weight <= 0 {
		return
	}
	for team, mean := range sh.means {
		if lv := level(mean, used*weights[team]/weight); lv > 0 {
			sh.levels[team] = lv
		}
	}
}

// level returns how far a use is above a share, 0 if at most firstLevelFactor times it.
func level(used, share float64) int32 {
	lv := int32(0)
	for limit := firstLevelFactor * share; lv < maxLevel && used > limit; limit *= levelStep {
		lv++
	}
	return lv
}

// Level returns a team's level as of the last call of Rank.
func (sh *Shares) Level(team string) int32 { return sh.levels[team] }

// Levels returns the levels of the teams above their share as of the last call of Rank.
func (sh *Shares) Levels() map[string]int32 { return maps.Clone(sh.levels) }

// CoresMilli returns the averages in thousandths of a core, as they are stored.
func (sh *Shares) CoresMilli() map[string]int64 {
	out := map[string]int64{}
	for team, mean := range sh.means {
		if mean >= minMeanMilli {
			out[team] = int64(mean)
		}
	}
	return out
}
