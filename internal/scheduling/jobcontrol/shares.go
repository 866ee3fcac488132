package jobcontrol

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/jobwork"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/teamshare"
)

const (
	// sharesIntervalMS is the minimum time between two observations of what teams use, each of which visits every run; the averages change little in that time.
	sharesIntervalMS = 100
	// sharesStoreIntervalMS is the minimum time between two rows of the shares.
	sharesStoreIntervalMS = 1000
	// anyLevelAbove is the level of all teams above their share in queues without an objective, which are served as before levels were distinguished.
	anyLevelAbove = 1
)

// shareLevel returns how far a team was above its fair share of a service's pool in the last planning pass, 0 for not at all.
func (ct *Controller) shareLevel(service, team string) int32 {
	if sh, ok := ct.shares[service]; ok {
		return sh.Level(team)
	}
	return 0
}

// sharesOf returns the shares of a service's pool.
func (ct *Controller) sharesOf(service string, nowMS int64) *teamshare.Shares {
	sh, ok := ct.shares[service]
	if !ok {
		sh = teamshare.New(nowMS)
		ct.shares[service] = sh
	}
	return sh
}

// observeShares updates the teams' recent use of all pools. Runs count on every VM of a service, also while it doesn't answer, is cut off or hasn't been polled by a new owner, since its team uses what no other team can have meanwhile.
func (ct *Controller) observeShares(nowMS int64) {
	if nowMS-ct.sharesObservedMS < sharesIntervalMS {
		return
	}
	ct.sharesObservedMS = nowMS
	used := map[string]map[string]int64{}
	for service := range ct.shares {
		used[service] = map[string]int64{}
	}
	for _, vm := range ct.vms {
		service := vm.reg.GetService()
		if len(vm.runs) == 0 || service == "" {
			continue
		}
		if used[service] == nil {
			used[service] = map[string]int64{}
		}
		for _, rn := range vm.runs {
			used[service][rn.team] += rn.need.CoresMilli()
		}
	}
	for service, teams := range used {
		sh := ct.sharesOf(service, nowMS)
		sh.Observe(teams, nowMS)
		sh.Rank(ct.weights, nil)
	}
}

// rankTeams sets the levels of the steps that may start in a service's pool.
func (ct *Controller) rankTeams(service string, list []candidate, nowMS int64) {
	waiting := map[string]bool{}
	for _, cd := range list {
		waiting[cd.team()] = true
	}
	sh := ct.sharesOf(service, nowMS)
	sh.Rank(ct.weights, waiting)
	levels := sh.Levels()
	for at := range list {
		cd := &list[at]
		if cd.lasting() || len(levels) == 0 {
			continue
		}
		cd.level = levels[cd.team()]
		if !jobwork.HasObjective(ct.queueOf(cd.st.oc.jb)) {
			cd.level = min(cd.level, anyLevelAbove)
		}
	}
}

func (cd candidate) team() string { return cd.st.oc.jb.row.GetTeam() }

// ShareLevels returns the teams above their share of each service's pool, with their levels.
func (ct *Controller) ShareLevels() map[string]map[string]int32 {
	out := map[string]map[string]int32{}
	for service, sh := range ct.shares {
		if levels := sh.Levels(); len(levels) > 0 {
			out[service] = levels
		}
	}
	return out
}

// SharesToStore returns the teams' recent use if it is due to be stored for the next owner with the commit that is about to be made, else nil. It is due once a second while a team is above its share, and once more, empty, when that ends.
func (ct *Controller) SharesToStore() *workpb.Shares {
	nowMS := ct.ck.Now()
	if nowMS-ct.sharesStoredMS < sharesStoreIntervalMS {
		return nil
	}
	row := &workpb.Shares{StoredMs: nowMS}
	for _, service := range slices.Sorted(maps.Keys(ct.shares)) {
		sh := ct.shares[service]
		ct.logLevels(service, sh.Levels())
		if len(sh.Levels()) > 0 {
			row.Services = append(row.Services, &workpb.ServiceShares{Service: service, CoresMilli: sh.CoresMilli()})
		}
	}
	above := len(row.GetServices()) > 0
	if !above && !ct.sharesStored {
		return nil
	}
	ct.sharesStoredMS, ct.sharesStored = nowMS, above
	return row
}

// RestoreShares takes over the teams' recent use that an earlier owner stored.
func (ct *Controller) RestoreShares(row *workpb.Shares) {
	nowMS := ct.ck.Now()
	for _, stored := range row.GetServices() {
		sh := ct.sharesOf(stored.GetService(), nowMS)
		sh.Restore(stored.GetCoresMilli(), nowMS-row.GetStoredMs(), nowMS)
		sh.Rank(ct.weights, nil)
		ct.sharesStored = true
	}
}

// logLevels logs the teams above their share of a service's pool if they have changed since they were logged last.
func (ct *Controller) logLevels(service string, levels map[string]int32) {
	if maps.Equal(levels, ct.loggedLevels[service]) {
		return
	}
	ct.loggedLevels[service] = levels
	ct.lg.Info("share-levels", "service", service, "levels", levelsText(levels))
}

// levelsText returns levels as team=level pairs in order of the teams' names.
func levelsText(levels map[string]int32) string {
	if len(levels) == 0 {
		return "none"
	}
	pairs := make([]string, 0, len(levels))
	for _, team := range slices.Sorted(maps.Keys(levels)) {
		pairs = append(pairs, fmt.Sprintf("%s=%d", team, levels[team]))
	}
	return strings.Join(pairs, " ")
}
