package poolsize

import "sort"

// Sizer decides which machines move; it is made for queues that peak one after the other, at several times their mean demand and for some seconds each.
type Sizer struct {
	// surplusSinceMS holds since when a pool has had more machines than its current work needs.
	surplusSinceMS map[string]int64
	// refused holds the moves that RecordRefused reported as impossible.
	refused map[machinePool]bool
	// cordonedForLasting holds the VMs cordoned in the last pass for long-running tasks of other pools.
	cordonedForLasting map[string]bool
}

type machinePool struct{ machine, pool string }

const (
	// powerOffAfterMS is how long a pool must have had a surplus before its machines are powered off: about as long as a machine has to run to cost as much as a move.
	powerOffAfterMS = 1200
	// headroomPercent is the capacity of a pool relative to its demand; the excess is for tasks that don't fit into what is left of a VM.
	headroomPercent = 110
	percent         = 100
)

// New returns a sizer without history.
func New() *Sizer {
	return &Sizer{surplusSinceMS: map[string]int64{}, refused: map[machinePool]bool{}}
}

// RecordRefused records that a machine can't be moved to a pool, so that the move isn't planned again.
func (sz *Sizer) RecordRefused(machine, pool string) { sz.refused[machinePool{machine, pool}] = true }

// poolState is the demand and the machines of a pool during one pass; surplus is negative while the pool lacks machines.
type poolState struct {
	demand  Demand
	hosts   []Host
	need    int
	surplus int
	// exhausted is set once the pool has no machine left that could move to the pool being served.
	exhausted bool
}

// Plan decides from the demand on each pool and the current place of each machine; late jobs are served only with what the on-time ones leave.
func (sz *Sizer) Plan(nowMS int64, demands []Demand, hosts []Host) Plan {
	pl := Plan{moves: map[string]string{}, cordoned: map[string]bool{}}
	pools := group(demands, hosts)
	names := make([]string, 0, len(pools))
	for name, ps := range pools {
		ps.surplus = ps.surplusFor(ps.demand.targetCoresMilli())
		ps.need = len(ps.hosts) - ps.surplus
		names = append(names, name)
	}
	sz.fillLasting(pl, pools, names)
	sz.fillShortages(pl, pools, names)
	for name, ps := range pools {
		ps.surplus -= ps.surplusFor(ps.demand.targetCoresMilli()) - ps.surplusFor(ps.demand.targetCoresMilli()+ps.demand.lateCoresMilli)
		sz.trackSurplus(nowMS, name, ps)
	}
	sz.fillShortages(pl, pools, names)
	sz.powerOffIdle(nowMS, pl, pools, names)
	return pl
}

// fillShortages moves machines to the pools that lack some, the one with the largest shortage first.
func (sz *Sizer) fillShortages(pl Plan, pools map[string]*poolState, names []string) {
	sort.Slice(names, func(i, j int) bool {
		one, other := pools[names[i]], pools[names[j]]
		if one.surplus != other.surplus {
			return one.surplus < other.surplus
		}
		return names[i] < names[j]
	})
	for _, name := range names {
		sz.fillShortage(pl, name, pools, names)
	}
}

// group returns the state of each pool, with its hosts ordered by the number of runs.
func group(demands []Demand, hosts []Host) map[string]*poolState {
	pools := map[string]*poolState{}
	for _, dm := range demands {
		pools[dm.service] = &poolState{demand: dm}
	}
	for _, ho := range hosts {
		if ps, ok := pools[ho.pool]; ok {
			ps.hosts = append(ps.hosts, ho)
		}
	}
	for _, ps := range pools {
		list := ps.hosts
		sort.Slice(list, func(i, j int) bool {
			if list[i].runs != list[j].runs {
				return list[i].runs < list[j].runs
			}
			return list[i].machine < list[j].machine
		})
	}
	return pools
}

// surplusFor returns how many machines the pool has beyond those that the CPU capacity needs, negative for a shortage.
func (ps *poolState) surplusFor(coresMilli int64) int {
	if ps.demand.standby {
		return len(ps.hosts)
	}
	uncovered := coresMilli * headroomPercent / percent
	need := 0
	for _, ho := range ps.hosts {
		if uncovered <= 0 {
			break
		}
		uncovered -= ho.coresMilli
		need++
	}
	if uncovered > 0 {
		need += int((uncovered + ps.typicalCores() - 1) / ps.typicalCores())
	}
	return len(ps.hosts) - max(need, ps.demand.minVMs)
}

// fallbackCoresMilli is the assumed size of a machine in a pool that has none.
const fallbackCoresMilli = 32_000

func (ps *poolState) typicalCores() int64 {
	if len(ps.hosts) == 0 || ps.hosts[0].coresMilli <= 0 {
		return fallbackCoresMilli
	}
	return ps.hosts[0].coresMilli
}

// trackSurplus updates since when the pool has had a surplus over its current demand, without forecasts.
func (sz *Sizer) trackSurplus(nowMS int64, name string, ps *poolState) {
	if ps.surplusFor(ps.demand.coresMilli+ps.demand.lateCoresMilli) <= 0 {
		delete(sz.surplusSinceMS, name)
		return
	}
	if _, ok := sz.surplusSinceMS[name]; !ok {
		sz.surplusSinceMS[name] = nowMS
	}
}

// fillShortage moves machines to a pool that lacks some.
func (sz *Sizer) fillShortage(pl Plan, name string, pools map[string]*poolState, names []string) {
	shortage := -pools[name].surplus
	if pools[name].demand.standby || shortage <= 0 {
		return
	}
	pools[name].surplus = -sz.takeSurplus(pl, name, pools, names, shortage)
}

// takeSurplus takes machines for a pool that lacks some, and returns the remaining shortage: first powered-off ones, then idle ones of stable pools with a surplus, last those of pools with a pending peak; where too few are idle, busy ones are cordoned.
func (sz *Sizer) takeSurplus(pl Plan, to string, pools map[string]*poolState, names []string, shortage int) int {
	for _, class := range []donorClass{poweredOff, stable, peakPending} {
		for _, from := range names {
			if pools[from].demand.donorClass() == class {
				shortage = sz.moveIdle(pl, to, pools[from], shortage)
			}
		}
	}
	for i := len(names) - 1; i >= 0 && shortage > 0; i-- {
		shortage = cordon(pl, pools[names[i]], shortage)
	}
	return shortage
}

// donorClass is the order in which pools give up machines.
type donorClass int

const (
	poweredOff donorClass = iota
	stable
	// peakPending pools may need their machines soon.
	peakPending
)

func (dm Demand) donorClass() donorClass {
	switch {
	case dm.standby:
		return poweredOff
	case dm.awaitsFirstPeak:
		return peakPending
	default:
		return stable
	}
}

// moveIdle moves idle machines out of a pool's surplus, at most as many as the shortage, and returns the remaining shortage.
func (sz *Sizer) moveIdle(pl Plan, to string, from *poolState, shortage int) int {
	for _, ho := range from.hosts {
		if shortage <= 0 || from.surplus <= 0 {
			return shortage
		}
		if ho.pinned || ho.runs > 0 || pl.moves[ho.machine] != "" || sz.refused[machinePool{ho.machine, to}] {
			continue
		}
		pl.moves[ho.machine] = to
		from.surplus--
		shortage--
	}
	return shortage
}

// cordon keeps new work off the least loaded machines of a pool's surplus and returns the remaining shortage.
func cordon(pl Plan, from *poolState, shortage int) int {
	for _, ho := range from.hosts {
		if shortage <= 0 || from.surplus <= 0 {
			return shortage
		}
		if ho.pinned || pl.moves[ho.machine] != "" || pl.cordoned[ho.vm] || from.demand.standby {
			continue
		}
		pl.cordoned[ho.vm] = true
		from.surplus--
		shortage--
	}
	return shortage
}

// powerOffIdle moves idle machines of stable pools to the standby pool once their pool has had a surplus for powerOffAfterMS, and cordons busy ones.
func (sz *Sizer) powerOffIdle(nowMS int64, pl Plan, pools map[string]*poolState, names []string) {
	standby := ""
	for _, name := range names {
		if pools[name].demand.standby {
			standby = name
			break
		}
	}
	if standby == "" {
		return
	}
	for _, name := range names {
		ps := pools[name]
		sinceMS, hasSurplus := sz.surplusSinceMS[name]
		if ps.demand.donorClass() != stable || !hasSurplus || nowMS-sinceMS < powerOffAfterMS {
			continue
		}
		sz.moveIdle(pl, standby, ps, ps.surplus)
		cordon(pl, ps, ps.surplus)
	}
}
