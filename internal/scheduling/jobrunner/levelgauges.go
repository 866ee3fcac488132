package jobrunner

// levelGauges sets the gauges share-level.SERVICE.TEAM of the teams in the rules that are above their share, and deferred-jobs.SERVICE.
type levelGauges struct {
	rn *Runner
	// set holds the gauges that aren't 0, by service and team.
	set map[[2]string]bool
	// services holds the services whose deferred jobs were reported.
	services   map[string]bool
	reportedMS int64
}

// levelsIntervalMS is how often the gauges are updated.
const levelsIntervalMS = 1000

func newLevelGauges(rn *Runner) *levelGauges {
	return &levelGauges{rn: rn, set: map[[2]string]bool{}, services: map[string]bool{}}
}

// report updates the gauges if they are due; those of teams that are within their share again become 0.
func (lv *levelGauges) report(levels func() map[string]map[string]int32, deferred func() map[string]int) {
	nowMS := lv.rn.ck.Now()
	if lv.rn.deps.SetGauge == nil || lv.rn.rules == nil || nowMS-lv.reportedMS < levelsIntervalMS {
		return
	}
	lv.reportedMS = nowMS
	for service, count := range deferred() {
		lv.services[service] = true
		lv.rn.deps.SetGauge(int64(count), "deferred-jobs", service)
	}
	now := levels()
	for _, tm := range lv.rn.rules.Rules().GetTeams() {
		for service, teams := range now {
			if level := teams[tm.GetName()]; level > 0 {
				lv.set[[2]string{service, tm.GetName()}] = true
				lv.rn.deps.SetGauge(int64(level), "share-level", service, tm.GetName())
			}
		}
	}
	for key := range lv.set {
		if now[key[0]][key[1]] == 0 {
			lv.reset(key)
		}
	}
}

// clear sets all gauges to 0, since only the owner knows the levels.
func (lv *levelGauges) clear() {
	for key := range lv.set {
		lv.reset(key)
	}
	for service := range lv.services {
		lv.rn.deps.SetGauge(0, "deferred-jobs", service)
	}
}

func (lv *levelGauges) reset(key [2]string) {
	delete(lv.set, key)
	lv.rn.deps.SetGauge(0, "share-level", key[0], key[1])
}
