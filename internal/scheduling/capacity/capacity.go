package capacity

import (
	"slices"

	"github.com/fulmarloft/fulmarloft/internal/pb/fleetpb"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Planner plans capacity by one strategy from successive demand samples; it isn't safe for concurrent use.
type Planner struct {
	strategy   string
	slotsPerVM int
	moveMS     int64
	pools      map[string]*poolState
	// movedMS holds when each VM last started a move.
	movedMS map[string]int64
	// movedTo maps each spare VM that serves another pool to that pool.
	movedTo map[string]string
	// loans maps each lent spare VM to the pool that uses its slots.
	loans map[string]string
}

// Planning strategies.
const (
	// None neither moves VMs nor lends slots.
	None = "none"
	// Reactive moves VMs as soon as a pool has a shortage or a surplus.
	Reactive = "reactive"
	// Hysteresis moves VMs in once a shortage has lasted as long as a move takes, and back once a surplus has lasted three times as long.
	Hysteresis = "hysteresis"
	// Predictive learns the period and the height of each pool's peaks, and moves VMs ahead of the next one.
	Predictive = "turns"
	// Lend lends the slots of spare VMs to other pools; the VMs stay in the spare pool.
	Lend = "lend"
)

// MinMoveIntervalMS is the minimum time between two moves of one VM under any strategy, so that no VM moves more than six times an hour.
const MinMoveIntervalMS = 10 * 60_000

// poolState is the demand history of one pool; the times are 0 while there is no shortage or surplus.
type poolState struct {
	shortageSinceMS int64
	surplusSinceMS  int64
	peaks           *peakHistory
}

// New returns a planner for VMs with slotsPerVM slots each that are out of service for moveMS during a move.
func New(strategy string, slotsPerVM int, moveMS int64) (*Planner, error) {
	if !slices.Contains(Strategies(), strategy) {
		return nil, code.SettingsInvalid.New("capacity strategy %q: expected one of %v", strategy, Strategies())
	}
	return &Planner{
		strategy: strategy, slotsPerVM: slotsPerVM, moveMS: moveMS,
		pools: map[string]*poolState{}, movedMS: map[string]int64{}, movedTo: map[string]string{}, loans: map[string]string{},
	}, nil
}

// Strategies returns the names of all strategies.
func Strategies() []string { return []string{None, Reactive, Hysteresis, Predictive, Lend} }

// Plan returns the moves to start and the loans in force from now on; the demands must list every pool, exactly one of them spare.
func (pn *Planner) Plan(nowMS int64, demands []*fleetpb.PoolDemand) *fleetpb.CapacityPlan {
	spare := sparePool(demands)
	if spare == nil || pn.strategy == None {
		return &fleetpb.CapacityPlan{}
	}
	for _, dm := range demands {
		pn.observe(nowMS, dm)
	}
	if pn.strategy == Lend {
		return &fleetpb.CapacityPlan{Loans: pn.lend(demands, spare)}
	}
	return &fleetpb.CapacityPlan{Moves: pn.move(nowMS, demands, spare)}
}

// Moved records that a spare VM arrived in the pool, or returned to the spare pool if the name is empty.
func (pn *Planner) Moved(vm, pool string) {
	if pool == "" {
		delete(pn.movedTo, vm)
		return
	}
	pn.movedTo[vm] = pool
}

func (pn *Planner) observe(nowMS int64, dm *fleetpb.PoolDemand) {
	ps := pn.pools[dm.GetPool()]
	if ps == nil {
		ps = &poolState{peaks: &peakHistory{}}
		pn.pools[dm.GetPool()] = ps
	}
	shortage := pn.shortage(dm)
	ps.peaks.observe(nowMS, shortage+len(pn.spareVMsIn(dm)))
	ps.shortageSinceMS = conditionSinceMS(ps.shortageSinceMS, nowMS, shortage > 0)
	ps.surplusSinceMS = conditionSinceMS(ps.surplusSinceMS, nowMS, shortage < 0)
}

// shortage returns how many VMs the pool lacks; a negative value is its surplus.
func (pn *Planner) shortage(dm *fleetpb.PoolDemand) int {
	want := int(dm.GetBusy() + dm.GetQueued())
	have := int(dm.GetSlots())
	if want > have {
		return (want - have + pn.slotsPerVM - 1) / pn.slotsPerVM
	}
	return -((have - want) / pn.slotsPerVM)
}

// move plans moves of spare VMs to pools with a shortage, and back from pools that no longer need them.
func (pn *Planner) move(nowMS int64, demands []*fleetpb.PoolDemand, spare *fleetpb.PoolDemand) []*fleetpb.VMMove {
	var moves []*fleetpb.VMMove
	free := pn.movable(nowMS, spare.GetVms())
	for _, dm := range demands {
		if dm.GetSpare() {
			continue
		}
		for range min(pn.movesIn(nowMS, dm), len(free)) {
			moves = append(moves, pn.startMove(nowMS, free[0], spare.GetPool(), dm.GetPool()))
			free = free[1:]
		}
		vms := pn.movable(nowMS, pn.spareVMsIn(dm))
		for range min(pn.movesBack(nowMS, dm), len(vms)) {
			moves = append(moves, pn.startMove(nowMS, vms[0], dm.GetPool(), spare.GetPool()))
			vms = vms[1:]
		}
	}
	return moves
}

// movesIn returns how many VMs should start to move to the pool now.
func (pn *Planner) movesIn(nowMS int64, dm *fleetpb.PoolDemand) int {
	ps := pn.pools[dm.GetPool()]
	shortage := pn.shortage(dm)
	switch pn.strategy {
	case Reactive:
		return max(shortage, 0)
	case Hysteresis:
		if ps.shortageSinceMS == 0 || nowMS-ps.shortageSinceMS < pn.moveMS {
			return 0
		}
		return max(shortage, 0)
	default:
		return ps.peaks.movesAhead(nowMS, pn.moveMS, len(pn.spareVMsIn(dm)))
	}
}

// movesBack returns how many spare VMs should start to move back from the pool now.
func (pn *Planner) movesBack(nowMS int64, dm *fleetpb.PoolDemand) int {
	ps := pn.pools[dm.GetPool()]
	surplus := max(-pn.shortage(dm), 0)
	switch pn.strategy {
	case Reactive:
		return surplus
	case Hysteresis:
		if ps.surplusSinceMS == 0 || nowMS-ps.surplusSinceMS < 3*pn.moveMS {
			return 0
		}
		return surplus
	default:
		if ps.peaks.expected(nowMS, pn.moveMS) {
			return 0
		}
		return surplus
	}
}

// startMove records the time of the move, so that the VM isn't moved again within MinMoveIntervalMS.
func (pn *Planner) startMove(nowMS int64, vm, from, to string) *fleetpb.VMMove {
	pn.movedMS[vm] = nowMS
	return &fleetpb.VMMove{Vm: vm, From: from, To: to}
}

// movable returns the VMs that weren't moved within the last MinMoveIntervalMS.
func (pn *Planner) movable(nowMS int64, vms []string) []string {
	var free []string
	for _, vm := range vms {
		at, moved := pn.movedMS[vm]
		if !moved || nowMS-at >= MinMoveIntervalMS {
			free = append(free, vm)
		}
	}
	return free
}

// spareVMsIn returns the spare VMs that serve the pool.
func (pn *Planner) spareVMsIn(dm *fleetpb.PoolDemand) []string {
	var arrived []string
	for _, vm := range dm.GetVms() {
		if pn.movedTo[vm] == dm.GetPool() {
			arrived = append(arrived, vm)
		}
	}
	return arrived
}

// conditionSinceMS returns since when a condition holds: sinceMS, or nowMS if it has just begun; 0 if it doesn't hold.
func conditionSinceMS(sinceMS, nowMS int64, holds bool) int64 {
	switch {
	case !holds:
		return 0
	case sinceMS == 0:
		return nowMS
	default:
		return sinceMS
	}
}

func sparePool(demands []*fleetpb.PoolDemand) *fleetpb.PoolDemand {
	for _, dm := range demands {
		if dm.GetSpare() {
			return dm
		}
	}
	return nil
}
