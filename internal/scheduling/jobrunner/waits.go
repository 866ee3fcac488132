package jobrunner

import (
	"cmp"
	"fmt"
	"sort"
	"strings"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/poolsize"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/waitestimate"
)

// waits states how long work waits, for the entries that admit it, during one ownership.
type waits struct {
	rn *Runner
	es *waitestimate.Estimator
	// loggedMS holds when the wait of a service was logged last.
	loggedMS map[string]int64
}

const (
	// waitLogIntervalMS is the time between the log lines about one service's wait.
	waitLogIntervalMS = 1000
	// maxLoggedTeams is the number of teams that such a line names, those with the most waiting work.
	maxLoggedTeams = 5
)

func newWaits(rn *Runner, startMS int64) *waits {
	return &waits{rn: rn, es: waitestimate.New(startMS), loggedMS: map[string]int64{}}
}

// dueRow returns the estimate that is due to be stored, nil if there is none. Without the list of machines the capacity isn't known.
func (wt *waits) dueRow(nowMS int64) *workpb.Waits {
	rn := wt.rn
	if !wt.es.Due(nowMS) || rn.rules == nil || len(rn.waves.machines) == 0 || !rn.ow.Held() {
		return nil
	}
	wt.es.Begin(nowMS)
	rn.ct.AddWaits(wt.es)
	rn.pools.addMachines(wt.es)
	row := wt.es.Row(nowMS)
	wt.log(nowMS, row)
	if rn.deps.OnWaits != nil {
		rn.deps.OnWaits(row)
	}
	return row
}

// addMachines adds to an estimate the machines on their way to a pool, or whose VM hasn't registered yet, and those that pools can spare.
func (pr *poolResizer) addMachines(es *waitestimate.Estimator) {
	rn := pr.rn
	for _, mc := range rn.waves.machines {
		mo, moves := pr.ordered[mc.GetId()]
		switch {
		case mc.GetDown() || rn.ct.ZoneClosed(mc.GetZone()):
		case moves:
			es.AddMachine(mo.pool, mc.GetId(), mc.GetCpuMilli(), 0)
		case mc.GetMoving(), mc.GetUp() && !rn.waves.inProgress(mc.GetId()) && !rn.ct.Unusable(mc.GetVm()):
			es.AddMachine(mc.GetPool(), mc.GetId(), mc.GetCpuMilli(), 0)
		}
	}
	for _, ho := range poolsize.Spare(pr.lastDemands, pr.lastHosts) {
		if _, moves := pr.ordered[ho.Machine()]; !moves {
			es.AddSpare(ho.Machine(), ho.CoresMilli(), func(service string) bool { return pr.sz.MayMove(ho.Machine(), service) })
		}
	}
}

// log writes a line about each service whose work waits, and one when that ends.
func (wt *waits) log(nowMS int64, row *workpb.Waits) {
	listed := map[string]bool{}
	for _, sv := range row.GetServices() {
		name := sv.GetService()
		listed[name] = true
		if sinceMS, ok := wt.loggedMS[name]; ok && nowMS-sinceMS < waitLogIntervalMS {
			continue
		}
		wt.loggedMS[name] = nowMS
		waitingMS, teams := summarize(sv)
		wt.rn.lg.Info("service-waits", "service", name, "wait-ms", waitestimate.WaitMS(sv), "room-milli", sv.GetRoomMilli(),
			"begun-core-ms", sv.GetBegunCoreMs(), "waiting-core-ms", waitingMS, "teams", teams)
	}
	for name := range wt.loggedMS {
		if !listed[name] {
			delete(wt.loggedMS, name)
			wt.rn.lg.Info("service-waits-ended", "service", name)
		}
	}
}

// summarize returns the waiting work of a service and, for logs, the teams with most of it: each with its level and its waiting work; work of no team is that of public queues.
func summarize(sv *workpb.ServiceWait) (waitingMS int64, teams string) {
	list := append([]*workpb.TeamWait(nil), sv.GetTeams()...)
	sort.SliceStable(list, func(i, j int) bool { return list[i].GetWaitingCoreMs() > list[j].GetWaitingCoreMs() })
	var parts []string
	for _, tm := range list {
		waitingMS += tm.GetWaitingCoreMs()
		if len(parts) < maxLoggedTeams {
			parts = append(parts, fmt.Sprintf("%s:%d/%d", cmp.Or(tm.GetTeam(), "public"), tm.GetShareLevel(), tm.GetWaitingCoreMs()))
		}
	}
	if len(parts) == 0 {
		return waitingMS, "none"
	}
	return waitingMS, strings.Join(parts, ",")
}
