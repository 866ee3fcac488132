package jobrunner

import (
	"context"

	"github.com/fulmarloft/fulmarloft/internal/scheduling/peakforecast"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/poolsize"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// poolResizer adapts the sizes of the pools to demand during one ownership.
type poolResizer struct {
	rn *Runner
	sz *poolsize.Sizer
	fc *peakforecast.Forecaster
	// observedUntilMS is the end of the period already fed into the forecast, firstArrivalMS when the first work arrived.
	observedUntilMS int64
	firstArrivalMS  int64
	ordered         map[string]*move
	nextRunMS       int64
	// lastDemands and lastHosts are what the last sizes were decided from.
	lastDemands []poolsize.Demand
	lastHosts   []poolsize.Host
}

// move is the ordered move of one machine into another pool.
type move struct {
	pool       string
	vm         string
	orderedMS  int64
	acceptedMS int64
	sending    bool
}

const (
	// resizeIntervalMS is how often the pool sizes are decided, and the width of the intervals fed into the forecast.
	resizeIntervalMS = 200
	// moveRetryMS is the pause before an unanswered move order is sent again.
	moveRetryMS = 1000
	// forecastHistoryMS is how far back the forecast of a new owner begins.
	forecastHistoryMS = 36000
	// warmupMS is how long after the first job a pool that has seen no demand peak keeps its machines.
	warmupMS = 15000
	milli    = 1000
	// listDelayMS is how long after a move was accepted a list of machines must have been read to reflect it.
	listDelayMS = 300
)

func newPoolResizer(rn *Runner) *poolResizer {
	return &poolResizer{rn: rn, sz: poolsize.New(), fc: peakforecast.New(), ordered: map[string]*move{}}
}

// step moves machines between pools once the list of machines is known, and resends unanswered orders.
func (pr *poolResizer) step(ctx context.Context) {
	rn := pr.rn
	nowMS := rn.ck.Now()
	if nowMS < pr.nextRunMS || rn.rules == nil || len(rn.waves.machines) == 0 || !rn.ow.Held() {
		return
	}
	pr.nextRunMS = nowMS + resizeIntervalMS
	pr.dropCompleted()
	pr.observe(nowMS)
	demands, hosts := pr.demands(), pr.hosts()
	pr.lastDemands, pr.lastHosts = demands, hosts
	pl := pr.sz.Plan(nowMS, demands, hosts)
	if len(pl.Moves()) > 0 || len(pl.Cordoned()) > 0 {
		rn.lg.Info("pools-sized", "moves", len(pl.Moves()), "shed", len(pl.Cordoned()), "pools", poolsize.Summary(demands, hosts))
	}
	rn.ct.CordonForMove(pl.Cordoned())
	for id, pool := range pl.Moves() {
		pr.orderMove(ctx, id, pool)
	}
	for id, mo := range pr.ordered {
		if !mo.sending && mo.acceptedMS == 0 && nowMS-mo.orderedMS >= moveRetryMS {
			pr.sendMove(ctx, id, mo)
		}
	}
}

// dropCompleted forgets the moves that the list of machines shows as completed.
func (pr *poolResizer) dropCompleted() {
	for _, mc := range pr.rn.waves.machines {
		mo, ok := pr.ordered[mc.GetId()]
		if ok && mo.acceptedMS > 0 && pr.rn.waves.listReadMS >= mo.acceptedMS+listDelayMS && mc.GetPool() == mo.pool && mc.GetUp() {
			delete(pr.ordered, mc.GetId())
		}
	}
}

// observe feeds the work that arrived since the last call into the forecast; a new owner starts with the restored jobs.
func (pr *poolResizer) observe(nowMS int64) {
	if pr.observedUntilMS == 0 {
		pr.observedUntilMS = max(nowMS-forecastHistoryMS, 0)
	}
	for pr.observedUntilMS+resizeIntervalMS <= nowMS {
		work, jobs := pr.rn.ct.Arrivals(pr.observedUntilMS, pr.observedUntilMS+resizeIntervalMS)
		pr.observedUntilMS += resizeIntervalMS
		if pr.firstArrivalMS == 0 && len(work) > 0 {
			pr.firstArrivalMS = pr.observedUntilMS
		}
		if pr.firstArrivalMS == 0 {
			continue
		}
		rates := map[string]int64{}
		for _, qu := range pr.rn.rules.Rules().GetQueues() {
			rates[qu.GetService()] = work[qu.GetService()] * milli / resizeIntervalMS
		}
		pr.fc.Observe(pr.observedUntilMS, resizeIntervalMS, rates, jobs)
	}
}

// observeAgain starts the forecast anew from the arrivals that are known now.
func (pr *poolResizer) observeAgain() {
	pr.fc = peakforecast.New()
	pr.observedUntilMS, pr.firstArrivalMS = 0, 0
}

// warmingUp reports whether a service may still be waiting for its first demand peak, so that its pool keeps its machines.
func (pr *poolResizer) warmingUp(nowMS int64, service string) bool {
	return !pr.fc.HasPeaked(service) && (pr.firstArrivalMS == 0 || nowMS-pr.firstArrivalMS < warmupMS)
}

// demands returns the CPU capacity that each pool needs now or is forecast to need soon.
func (pr *poolResizer) demands() []poolsize.Demand {
	var out []poolsize.Demand
	nowMS := pr.rn.ck.Now()
	jobDemands := pr.rn.ct.Demands()
	next, nextRate, expected := pr.fc.Next(nowMS)
	rising, risingRate, rises := pr.fc.Rising(nowMS)
	for _, sv := range pr.rn.rules.Rules().GetServices() {
		if sv.GetStandby() {
			out = append(out, poolsize.NewStandby(sv.GetName()))
			continue
		}
		jd := jobDemands[sv.GetName()]
		dm := poolsize.NewDemand(sv.GetName(), jd.CoresMilli(), jd.LateMilli(), jd.MinVMs(), pr.warmingUp(nowMS, sv.GetName())).WithLastingVMs(jd.LastingVMs())
		switch {
		case rises && sv.GetName() == rising:
			dm = dm.WithForecast(risingRate)
		case expected && sv.GetName() == next:
			dm = dm.WithForecast(nextRate)
		}
		out = append(out, dm)
	}
	return out
}

// hosts returns the machines that are or will be usable in their pools, without those that are in a maintenance wave, whose VM accepts no work or whose zone is evacuated or unreachable.
func (pr *poolResizer) hosts() []poolsize.Host {
	var out []poolsize.Host
	standby := map[string]bool{}
	for _, sv := range pr.rn.rules.Rules().GetServices() {
		standby[sv.GetName()] = sv.GetStandby()
	}
	for _, mc := range pr.rn.waves.machines {
		if mo, ok := pr.ordered[mc.GetId()]; ok && !pr.rn.ct.ZoneClosed(mc.GetZone()) {
			out = append(out, poolsize.NewHost(mc.GetId(), mo.pool, "", mc.GetCpuMilli(), 0, true))
			continue
		}
		if (!mc.GetUp() && !mc.GetMoving()) || pr.rn.waves.inProgress(mc.GetId()) || pr.rn.ct.Unusable(mc.GetVm()) || pr.rn.ct.ZoneClosed(mc.GetZone()) {
			continue
		}
		pinned := !mc.GetUp() || (!standby[mc.GetPool()] && !pr.rn.ct.Movable(mc.GetVm()))
		out = append(out, poolsize.NewHost(mc.GetId(), mc.GetPool(), mc.GetVm(), mc.GetCpuMilli(), pr.rn.ct.Load(mc.GetVm()), pinned))
	}
	return out
}

func (pr *poolResizer) orderMove(ctx context.Context, id, pool string) {
	mo := &move{pool: pool, orderedMS: pr.rn.ck.Now()}
	for _, mc := range pr.rn.waves.machines {
		if mc.GetId() == id {
			mo.vm = mc.GetVm()
		}
	}
	pr.ordered[id] = mo
	pr.rn.ct.ReleaseVM(mo.vm)
	pr.sendMove(ctx, id, mo)
}

func (pr *poolResizer) sendMove(ctx context.Context, id string, mo *move) {
	rn := pr.rn
	mo.sending = true
	mo.orderedMS = rn.ck.Now()
	go func() {
		limited, cancel := rn.withinLease(ctx)
		defer cancel()
		err := rn.deps.Move(limited, id, mo.pool, rn.ow.Token())
		rn.post(ctx, func() {
			mo.sending = false
			pr.handleAnswer(id, mo, err)
		})
	}()
}

// handleAnswer handles the platform's answer to a move order; without a definite answer step sends the order again.
func (pr *poolResizer) handleAnswer(id string, mo *move, err error) {
	rn := pr.rn
	rn.lg.Info("machine-moved", "machine", id, "pool", mo.pool, "code", int(code.Of(err)))
	switch code.Of(err) {
	case code.OK:
		mo.acceptedMS = rn.ck.Now()
	case code.LeaseLapsed:
		rn.ownershipLost = true
	case code.VMUnknown:
		pr.sz.RecordRefused(id, mo.pool)
		delete(pr.ordered, id)
		rn.ct.KeepVM(mo.vm)
	case code.Conflict:
		delete(pr.ordered, id)
		rn.ct.KeepVM(mo.vm)
	default:
	}
}
