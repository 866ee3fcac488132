package capacity

import (
	"slices"

	"github.com/fulmarloft/fulmarloft/internal/fleetpb"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Planner plans capacity one way from one reading of the demand after another; it isn't safe for concurrent use.
type Planner struct {
	way     string
	slots   int
	moveMS  int64
	pools   map[string]*track
	movedMS map[string]int64
	guests  map[string]string
	loans   map[string]string
}

// Ways to plan.
const (
	// None moves and lends nothing.
	None = "none"
	// Reactive moves VMs as soon as a pool lacks them.
	Reactive = "reactive"
	// Hysteresis moves VMs once a lack has lasted as long as a move takes, and back after three times as long.
	Hysteresis = "hysteresis"
	// Predictive learns how often each pool peaks and for how long, and moves VMs ahead of the next peak.
	Predictive = "turns"
	// Lend lends the slots of spare VMs, which stay in their pool.
	Lend = "lend"
)

// MinMoveIntervalMS is the least time between two moves of one VM, whatever the way, so that no VM moves more than six times an hour.
const MinMoveIntervalMS = 10 * 60_000

// track is what the planner remembers of one pool.
type track struct {
	lackSince    int64
	surplusSince int64
	turn         *turn
}

// New returns a planner; slots is how many each VM has, and moveMS how long a VM is out of work for a move.
func New(way string, slots int, moveMS int64) (*Planner, error) {
	if !slices.Contains(Strategies(), way) {
		return nil, code.SettingsInvalid.New("way %q: expected one of %v", way, Strategies())
	}
	return &Planner{
		way: way, slots: slots, moveMS: moveMS,
		pools: map[string]*track{}, movedMS: map[string]int64{}, guests: map[string]string{}, loans: map[string]string{},
	}, nil
}

// Strategies returns the names of all ways to plan.
func Strategies() []string { return []string{None, Reactive, Hysteresis, Predictive, Lend} }

// Plan returns what to do now; the demands must name every pool, with exactly one spare pool.
func (pn *Planner) Plan(nowMS int64, demands []*fleetpb.PoolDemand) *fleetpb.CapacityPlan {
	spare := spareOf(demands)
	if spare == nil || pn.way == None {
		return &fleetpb.CapacityPlan{}
	}
	for _, dm := range demands {
		pn.observe(nowMS, dm)
	}
	if pn.way == Lend {
		return &fleetpb.CapacityPlan{Loans: pn.lend(demands, spare)}
	}
	return &fleetpb.CapacityPlan{Moves: pn.move(nowMS, demands, spare)}
}

// Moved records that a VM of the spare pool arrived in a pool, or came back when the pool is empty.
func (pn *Planner) Moved(vm, pool string) {
	if pool == "" {
		delete(pn.guests, vm)
		return
	}
	pn.guests[vm] = pool
}

func (pn *Planner) observe(nowMS int64, dm *fleetpb.PoolDemand) {
	tr := pn.pools[dm.GetPool()]
	if tr == nil {
		tr = &track{turn: &turn{}}
		pn.pools[dm.GetPool()] = tr
	}
	lack := pn.lack(dm)
	tr.turn.observe(nowMS, lack+len(pn.guestsOf(dm)))
	tr.lackSince = since(tr.lackSince, nowMS, lack > 0)
	tr.surplusSince = since(tr.surplusSince, nowMS, lack < 0)
}

// lack returns how many VMs the pool lacks, negative when it could give some up.
func (pn *Planner) lack(dm *fleetpb.PoolDemand) int {
	want := int(dm.GetBusy() + dm.GetQueued())
	have := int(dm.GetSlots())
	if want > have {
		return (want - have + pn.slots - 1) / pn.slots
	}
	return -((have - want) / pn.slots)
}

// move plans moves out of the spare pool to pools that lack VMs, and of guests back that aren't needed any more.
func (pn *Planner) move(nowMS int64, demands []*fleetpb.PoolDemand, spare *fleetpb.PoolDemand) []*fleetpb.VMMove {
	var moves []*fleetpb.VMMove
	free := pn.movable(nowMS, spare.GetVms())
	for _, dm := range demands {
		if dm.GetSpare() {
			continue
		}
		for range min(pn.wanted(nowMS, dm), len(free)) {
			moves = append(moves, pn.start(nowMS, free[0], spare.GetPool(), dm.GetPool()))
			free = free[1:]
		}
		guests := pn.movable(nowMS, pn.guestsOf(dm))
		for range min(pn.returnable(nowMS, dm), len(guests)) {
			moves = append(moves, pn.start(nowMS, guests[0], dm.GetPool(), spare.GetPool()))
			guests = guests[1:]
		}
	}
	return moves
}

// wanted returns how many VMs should start to move to the pool now.
func (pn *Planner) wanted(nowMS int64, dm *fleetpb.PoolDemand) int {
	tr := pn.pools[dm.GetPool()]
	lack := pn.lack(dm)
	switch pn.way {
	case Reactive:
		return max(lack, 0)
	case Hysteresis:
		if tr.lackSince == 0 || nowMS-tr.lackSince < pn.moveMS {
			return 0
		}
		return max(lack, 0)
	default:
		return tr.turn.ahead(nowMS, pn.moveMS, len(pn.guestsOf(dm)))
	}
}

// returnable returns how many guests should start to move back now.
func (pn *Planner) returnable(nowMS int64, dm *fleetpb.PoolDemand) int {
	tr := pn.pools[dm.GetPool()]
	surplus := max(-pn.lack(dm), 0)
	switch pn.way {
	case Reactive:
		return surplus
	case Hysteresis:
		if tr.surplusSince == 0 || nowMS-tr.surplusSince < 3*pn.moveMS {
			return 0
		}
		return surplus
	default:
		if tr.turn.expected(nowMS, pn.moveMS) {
			return 0
		}
		return surplus
	}
}

// start notes the move, so that the VM stays where it goes for at least the gap.
func (pn *Planner) start(nowMS int64, vm, from, to string) *fleetpb.VMMove {
	pn.movedMS[vm] = nowMS
	return &fleetpb.VMMove{Vm: vm, From: from, To: to}
}

// movable returns the VMs that didn't move within the gap.
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

func (pn *Planner) guestsOf(dm *fleetpb.PoolDemand) []string {
	var guests []string
	for _, vm := range dm.GetVms() {
		if pn.guests[vm] == dm.GetPool() {
			guests = append(guests, vm)
		}
	}
	return guests
}

func since(at, nowMS int64, is bool) int64 {
	switch {
	case !is:
		return 0
	case at == 0:
		return nowMS
	default:
		return at
	}
}

func spareOf(demands []*fleetpb.PoolDemand) *fleetpb.PoolDemand {
	for _, dm := range demands {
		if dm.GetSpare() {
			return dm
		}
	}
	return nil
}
