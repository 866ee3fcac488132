package jobcontrol

import "math"

// shares tracks each team's recent use of a pool to find teams that use much more than their weighted fair share. It protects other teams when one asks for several times its usual amount while the pool is full.
type shares struct {
	// cores is the moving average of each team's use, in thousandths of a core.
	cores map[string]float64
	atMS  int64
	// levels holds the teams above their share as of the last planning pass, with how far above it they are.
	levels map[string]int32
}

// aboveShareLevel is the level of a team that uses more than its fair share; 0 is that of all others.
const aboveShareLevel = 1

// shareLevel returns how far a team was above its fair share of a service's pool in the last planning pass, 0 for not at all.
func (ct *Controller) shareLevel(service, team string) int32 {
	if sh, ok := ct.shares[service]; ok {
		return sh.levels[team]
	}
	return 0
}

// noTeam is the team name of work from public queues.
const noTeam = ""

const (
	// shareMeanMS is the time constant of the moving average: the length of several jobs.
	shareMeanMS = 4000
	// shareFactor is the multiple of its fair share that a team's use must exceed before other teams go first; it is above 1 since single jobs are large relative to a pool.
	shareFactor = 1.5
)

// observe updates the averages with what runs in the pool now.
func (sh *shares) observe(pool []*vmState, nowMS int64) {
	current := map[string]int64{}
	for _, vm := range pool {
		for _, rn := range vm.runs {
			current[rn.team] += rn.need.CoresMilli()
		}
	}
	alpha := 1 - math.Exp(-float64(nowMS-sh.atMS)/shareMeanMS)
	sh.atMS = nowMS
	for team := range current {
		sh.track(team)
	}
	for team, mean := range sh.cores {
		sh.cores[team] = mean + (float64(current[team])-mean)*alpha
	}
}

// track starts tracking a team's use.
func (sh *shares) track(team string) {
	if _, ok := sh.cores[team]; !ok {
		sh.cores[team] = 0
	}
}

// overShare returns the teams that use more than their share, among those that wait or have run recently. Work of no team, from public queues, has no share to exceed.
func (sh *shares) overShare(weights map[string]float64, list []candidate) map[string]bool {
	for _, cd := range list {
		sh.track(cd.team())
	}
	delete(sh.cores, noTeam)
	used, weight := 0.0, 0.0
	for team, mean := range sh.cores {
		used += mean
		weight += weights[team]
	}
	out := map[string]bool{}
	sh.levels = map[string]int32{}
	for team, mean := range sh.cores {
		if weight > 0 && mean > shareFactor*used*weights[team]/weight {
			out[team] = true
			sh.levels[team] = aboveShareLevel
		}
	}
	return out
}

func (cd candidate) team() string { return cd.st.oc.jb.row.GetTeam() }

// updateShares returns the shares of a service's pool, updated to now.
func (ct *Controller) updateShares(service string, pool []*vmState, nowMS int64) *shares {
	sh, ok := ct.shares[service]
	if !ok {
		sh = &shares{cores: map[string]float64{}, atMS: nowMS}
		ct.shares[service] = sh
	}
	sh.observe(pool, nowMS)
	return sh
}
