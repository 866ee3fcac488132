package jobcontrol

import "math"

// shares tell which teams have lately had much more of a pool than their weight entitles them to; it answers a team that asks for several times its usual while the pool is full.
type shares struct {
	// cores is each team's mean use of late, in thousandths of a core.
	cores map[string]float64
	atMS  int64
}

// noTeam stands for the team of work from public queues.
const noTeam = ""

const (
	// shareMeanMS is over what time a team's use is taken: several jobs long.
	shareMeanMS = 4000
	// shareFactor is by how much a team's use must exceed its share before others go first; jobs are large against a pool.
	shareFactor = 1.5
)

// observe takes up what runs in the pool now.
func (sh *shares) observe(pool []*vmState, nowMS int64) {
	now := map[string]int64{}
	for _, vm := range pool {
		for _, rn := range vm.runs {
			now[rn.team] += rn.need.CoresMilli()
		}
	}
	part := 1 - math.Exp(-float64(nowMS-sh.atMS)/shareMeanMS)
	sh.atMS = nowMS
	for team := range now {
		sh.track(team)
	}
	for team, mean := range sh.cores {
		sh.cores[team] = mean + (float64(now[team])-mean)*part
	}
}

// know begins to follow a team's use.
func (sh *shares) track(team string) {
	if _, ok := sh.cores[team]; !ok {
		sh.cores[team] = 0
	}
}

// over returns the teams that others go before, of those that wait or have run of late; work of no team, from public queues, has no share to exceed.
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
	for team, mean := range sh.cores {
		if weight > 0 && mean > shareFactor*used*weights[team]/weight {
			out[team] = true
		}
	}
	return out
}

func (cd candidate) team() string { return cd.st.oc.jb.row.GetTeam() }

// sharesOf returns the shares of a service's pool as of now.
func (ct *Controller) updateShares(service string, pool []*vmState, nowMS int64) *shares {
	sh, ok := ct.shares[service]
	if !ok {
		sh = &shares{cores: map[string]float64{}, atMS: nowMS}
		ct.shares[service] = sh
	}
	sh.observe(pool, nowMS)
	return sh
}
