package jobrunner

import (
	"context"

	"github.com/fulmarloft/fulmarloft/internal/poolsize"
	"github.com/fulmarloft/fulmarloft/internal/turns"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// moves sizes the pools during one ownership.
type moves struct {
	rn *Runner
	sz *poolsize.Sizer
	tn *turns.Forecaster
	// observedMS is up to when arriving work was taken into the forecast, begunMS when the first came.
	observedMS int64
	begunMS    int64
	ordered    map[string]*move
	nextMS     int64
}

// move is one machine's move that was ordered.
type move struct {
	pool       string
	vm         string
	orderedMS  int64
	acceptedMS int64
	calling    bool
}

const (
	// sizeGapMS is how often the pools' sizes are decided on.
	sizeGapMS = 200
	// moveRetryMS is the pause before a move without an answer is ordered again.
	moveRetryMS = 1000
	// historyMS is how far back a new owner's forecast begins.
	historyMS = 36000
	// freshMS is how long after the first job a pool whose queues had no peak yet keeps its machines.
	freshMS = 15000
	millis  = 1000
	// movedMS is how long after a move was accepted the list of machines is believed again.
	movedMS = 300
)

func newMoves(rn *Runner) *moves {
	return &moves{rn: rn, sz: poolsize.New(), tn: turns.New(), ordered: map[string]*move{}}
}

// step decides on moves once the machines are known.
func (mv *moves) step(ctx context.Context) {
	rn := mv.rn
	nowMS := rn.ck.Now()
	if nowMS < mv.nextMS || rn.rules == nil || len(rn.wv.machines) == 0 || !rn.ow.Held() {
		return
	}
	mv.nextMS = nowMS + sizeGapMS
	mv.settle()
	mv.observe(nowMS)
	demands, hosts := mv.demands(), mv.hosts()
	pl := mv.sz.Plan(nowMS, demands, hosts)
	if len(pl.Moves()) > 0 || len(pl.Cordoned()) > 0 {
		rn.lg.Info("pools-sized", "moves", len(pl.Moves()), "shed", len(pl.Cordoned()), "pools", poolsize.Summary(demands, hosts))
	}
	rn.ct.Shed(pl.Cordoned())
	for id, pool := range pl.Moves() {
		mv.order(ctx, id, pool)
	}
	for id, mo := range mv.ordered {
		if !mo.calling && mo.acceptedMS == 0 && nowMS-mo.orderedMS >= moveRetryMS {
			mv.call(ctx, id, mo)
		}
	}
}

// settle forgets the moves that the list of machines shows as done.
func (mv *moves) settle() {
	for _, mc := range mv.rn.wv.machines {
		mo, ok := mv.ordered[mc.GetId()]
		if ok && mo.acceptedMS > 0 && mv.rn.wv.readMS >= mo.acceptedMS+movedMS && mc.GetPool() == mo.pool && mc.GetUp() {
			delete(mv.ordered, mc.GetId())
		}
	}
}

// observe feeds the forecast with the work that arrived since it was fed last; a new owner begins with what it restored.
func (mv *moves) observe(nowMS int64) {
	if mv.observedMS == 0 {
		mv.observedMS = max(nowMS-historyMS, 0)
	}
	for mv.observedMS+sizeGapMS <= nowMS {
		work, jobs := mv.rn.ct.Arrived(mv.observedMS, mv.observedMS+sizeGapMS)
		mv.observedMS += sizeGapMS
		if mv.begunMS == 0 && len(work) > 0 {
			mv.begunMS = mv.observedMS
		}
		if mv.begunMS == 0 {
			continue
		}
		rates := map[string]int64{}
		for _, qu := range mv.rn.rules.Rules().GetQueues() {
			rates[qu.GetService()] = work[qu.GetService()] * millis / sizeGapMS
		}
		mv.tn.Observe(mv.observedMS, sizeGapMS, rates, jobs)
	}
}

// fresh reports whether a service may still wait for its first turn, so that its pool keeps the machines that it has.
func (mv *moves) fresh(nowMS int64, service string) bool {
	return !mv.tn.HasPeaked(service) && (mv.begunMS == 0 || nowMS-mv.begunMS < freshMS)
}

func (mv *moves) demands() []poolsize.Demand {
	var out []poolsize.Demand
	nowMS := mv.rn.ck.Now()
	wanted := mv.rn.ct.Wanted()
	next, nextRate, expected := mv.tn.Next(nowMS)
	rising, risingRate, rises := mv.tn.Rising(nowMS)
	for _, sv := range mv.rn.rules.Rules().GetServices() {
		if sv.GetStandby() {
			out = append(out, poolsize.NewStandby(sv.GetName()))
			continue
		}
		wa := wanted[sv.GetName()]
		dm := poolsize.NewDemand(sv.GetName(), wa.CoresMilli(), wa.LateMilli(), wa.LeastVMs(), mv.fresh(nowMS, sv.GetName()))
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

// hosts returns the machines that are or will be of use in their pools: not those that a wave has in hand, whose VM takes no work or whose zone is cut off.
func (mv *moves) hosts() []poolsize.Host {
	var out []poolsize.Host
	standby := map[string]bool{}
	for _, sv := range mv.rn.rules.Rules().GetServices() {
		standby[sv.GetName()] = sv.GetStandby()
	}
	for _, mc := range mv.rn.wv.machines {
		if mo, ok := mv.ordered[mc.GetId()]; ok && !mv.rn.ct.CutOff(mc.GetZone()) {
			out = append(out, poolsize.NewHost(mc.GetId(), mo.pool, "", mc.GetCpuMilli(), 0, true))
			continue
		}
		if (!mc.GetUp() && !mc.GetMoving()) || mv.rn.wv.busy(mc.GetId()) || mv.rn.ct.Unusable(mc.GetVm()) || mv.rn.ct.CutOff(mc.GetZone()) {
			continue
		}
		pinned := !mc.GetUp() || (!standby[mc.GetPool()] && !mv.rn.ct.Idle(mc.GetVm()))
		out = append(out, poolsize.NewHost(mc.GetId(), mc.GetPool(), mc.GetVm(), mc.GetCpuMilli(), mv.rn.ct.Load(mc.GetVm()), pinned))
	}
	return out
}

func (mv *moves) order(ctx context.Context, id, pool string) {
	mo := &move{pool: pool, orderedMS: mv.rn.ck.Now()}
	for _, mc := range mv.rn.wv.machines {
		if mc.GetId() == id {
			mo.vm = mc.GetVm()
		}
	}
	mv.ordered[id] = mo
	mv.rn.ct.ReleaseVM(mo.vm)
	mv.call(ctx, id, mo)
}

func (mv *moves) call(ctx context.Context, id string, mo *move) {
	rn := mv.rn
	mo.calling = true
	mo.orderedMS = rn.ck.Now()
	go func() {
		err := rn.ln.Move(ctx, id, mo.pool, rn.ow.Token())
		rn.post(ctx, func() {
			mo.calling = false
			mv.answered(id, mo, err)
		})
	}()
}

func (mv *moves) answered(id string, mo *move, err error) {
	rn := mv.rn
	rn.lg.Info("machine-moved", "machine", id, "pool", mo.pool, "code", int(code.Of(err)))
	switch code.Of(err) {
	case code.OK:
		mo.acceptedMS = rn.ck.Now()
	case code.LeaseLapsed:
		rn.lost = true
	case code.VMUnknown:
		mv.sz.Refuse(id, mo.pool)
		delete(mv.ordered, id)
		rn.ct.KeepVM(mo.vm)
	case code.Conflict:
		delete(mv.ordered, id)
		rn.ct.KeepVM(mo.vm)
	default:
	}
}
