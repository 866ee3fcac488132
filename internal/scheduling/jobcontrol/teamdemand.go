package jobcontrol

import "github.com/fulmarloft/fulmarloft/internal/scheduling/jobwork"

// teamDemand is the CPU capacity that teams' work asks for, in thousandths of a core, per team and service.
type teamDemand struct {
	milli map[string]map[string]int64
	// caps holds the teams' CPU caps; teams without one aren't limited.
	caps map[string]int64
}

// endingCaps returns what each team with a CPU cap may use beside its long-running tasks. Caps limit demand only under rules in which teams have weights.
func (ct *Controller) endingCaps() map[string]int64 {
	out := map[string]int64{}
	if ct.rules == nil || !jobwork.Weighted(ct.rules.Rules()) {
		return out
	}
	lasting := map[string]int64{}
	for _, vm := range ct.vms {
		for _, rn := range vm.runs {
			if rn.lasting() {
				lasting[rn.team] += rn.capUse.CoresMilli()
			}
		}
	}
	for team, limit := range ct.caps {
		if limit.CoresMilli() > 0 {
			out[team] = max(limit.CoresMilli()-lasting[team], 0)
		}
	}
	return out
}

// newTeamDemand returns an empty demand that the given caps limit.
func newTeamDemand(caps map[string]int64) *teamDemand {
	return &teamDemand{milli: map[string]map[string]int64{}, caps: caps}
}

func (td *teamDemand) add(service, team string, coresMilli int64) {
	if td.milli[team] == nil {
		td.milli[team] = map[string]int64{}
	}
	td.milli[team][service] += coresMilli
}

// sum returns what a team's work asks for of all services.
func (td *teamDemand) sum(team string) int64 {
	sum := int64(0)
	for _, cores := range td.milli[team] {
		sum += cores
	}
	return sum
}

// withinCaps returns the demand on each service without what exceeds the teams' caps, which they couldn't use; a team's excess is taken from its services in proportion. What the earlier demand, nil for none, asks for comes first.
func (td *teamDemand) withinCaps(earlier *teamDemand) map[string]int64 {
	out := map[string]int64{}
	for team, services := range td.milli {
		limit, limited := td.caps[team]
		if earlier != nil {
			limit = max(limit-earlier.sum(team), 0)
		}
		total := td.sum(team)
		for service, cores := range services {
			if limited && total > limit {
				cores = cores * limit / total
			}
			out[service] += cores
		}
	}
	return out
}
