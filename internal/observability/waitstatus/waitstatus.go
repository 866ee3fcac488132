package waitstatus

import (
	"cmp"
	"sync"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/observability/metric"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/waitestimate"
)

// Status holds this entry's last estimate while it owns scheduling; it is safe for concurrent use.
type Status struct {
	ck *clock.Clock
	rg *metric.Registry

	mu     sync.Mutex
	last   *workpb.Waits
	readMS int64
	// gauges holds the names of the gauges that aren't 0, by their joined parts.
	gauges map[gauge]bool
}

// gauge is the name of a gauge; team is empty for one of the service.
type gauge struct{ service, team, value string }

// publicTeam stands for the team of work from public queues, which has none.
const publicTeam = "public"

// New returns a status without an estimate that keeps gauges in a registry.
func New(ck *clock.Clock, rg *metric.Registry) *Status {
	return &Status{ck: ck, rg: rg, gauges: map[gauge]bool{}}
}

// Follow takes an estimate, nil if there is none or nothing waits; gauges of services and teams that it lacks become 0.
func (st *Status) Follow(row *workpb.Waits) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.last, st.readMS = row, st.ck.Now()
	before := st.gauges
	st.gauges = map[gauge]bool{}
	for _, sv := range row.GetServices() {
		name := sv.GetService()
		st.set(gauge{name, "", "ms"}, waitestimate.WaitMS(sv))
		st.set(gauge{name, "", "room-milli"}, sv.GetRoomMilli())
		st.set(gauge{name, "", "begun-core-ms"}, sv.GetBegunCoreMs())
		for _, tw := range sv.GetTeams() {
			team := cmp.Or(tw.GetTeam(), publicTeam)
			st.set(gauge{name, team, "waiting-core-ms"}, tw.GetWaitingCoreMs())
			st.set(gauge{name, team, "share-level"}, int64(tw.GetShareLevel()))
		}
	}
	for ga := range before {
		if !st.gauges[ga] {
			st.rg.Set(0, ga.parts()...)
		}
	}
}

func (st *Status) set(ga gauge, value int64) {
	st.gauges[ga] = true
	st.rg.Set(value, ga.parts()...)
}

func (ga gauge) parts() []string {
	if ga.team == "" {
		return []string{"wait", ga.service, ga.value}
	}
	return []string{"wait", ga.service, "team", ga.team, ga.value}
}

// Values returns the last estimate by service, for JSON; it is empty while nothing waits.
func (st *Status) Values() map[string]any {
	st.mu.Lock()
	defer st.mu.Unlock()
	out := map[string]any{}
	for _, sv := range st.last.GetServices() {
		teams := map[string]any{}
		for _, tw := range sv.GetTeams() {
			teams[cmp.Or(tw.GetTeam(), publicTeam)] = map[string]int64{
				"waiting-core-ms": tw.GetWaitingCoreMs(), "share-level": int64(tw.GetShareLevel()),
				"cap-milli": tw.GetCapMilli(), "used-milli": tw.GetUsedMilli(),
			}
		}
		out[sv.GetService()] = map[string]any{
			"wait-ms": waitestimate.WaitMS(sv), "room-milli": sv.GetRoomMilli(), "begun-core-ms": sv.GetBegunCoreMs(),
			"age-ms": st.ck.Now() - st.readMS, "teams": teams,
		}
	}
	return out
}
