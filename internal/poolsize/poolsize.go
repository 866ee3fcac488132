package poolsize

import "sort"

// Sizer decides on moves; it answers queues that ask for several times their mean in turn, for some seconds each.
type Sizer struct {
	// surplusMS is since when a pool has more machines than the work at hand needs.
	surplusMS map[string]int64
	refused   map[pair]bool
}

type pair struct{ machine, pool string }

const (
	// parkMS is how long a machine must be spare before it is switched off: about the time in a pool that costs as much as a move.
	parkMS = 1200
	// headroomPercent is the room of a pool beside what is asked for, for tasks that don't fit the rest of a VM.
	headroomPercent = 110
	percent         = 100
)

// New returns a sizer.
func New() *Sizer {
	return &Sizer{surplusMS: map[string]int64{}, refused: map[pair]bool{}}
}

// Refuse records that a machine can't be moved into a pool.
func (sz *Sizer) Refuse(machine, pool string) { sz.refused[pair{machine, pool}] = true }

type poolState struct {
	demand  Demand
	hosts   []Host
	surplus int
}

// Plan decides from what each pool is asked for and where each machine is.
func (sz *Sizer) Plan(nowMS int64, demands []Demand, hosts []Host) Plan {
	pl := Plan{moves: map[string]string{}, shed: map[string]bool{}}
	pools := group(demands, hosts)
	names := make([]string, 0, len(pools))
	for name, ps := range pools {
		ps.surplus = ps.excess(ps.demand.room())
		names = append(names, name)
	}
	sz.fillAll(pl, pools, names)
	for name, ps := range pools {
		ps.surplus -= ps.excess(ps.demand.room()) - ps.excess(ps.demand.room()+ps.demand.lateMilli)
		sz.note(nowMS, name, ps)
	}
	sz.fillAll(pl, pools, names)
	sz.park(nowMS, pl, pools, names)
	return pl
}

// fillAll serves the pools that lack machines, the one that lacks most first.
func (sz *Sizer) fillAll(pl Plan, pools map[string]*poolState, names []string) {
	sort.Slice(names, func(i, j int) bool {
		one, other := pools[names[i]], pools[names[j]]
		if one.surplus != other.surplus {
			return one.surplus < other.surplus
		}
		return names[i] < names[j]
	})
	for _, name := range names {
		sz.fill(pl, name, pools, names)
	}
}

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
			if list[i].load != list[j].load {
				return list[i].load < list[j].load
			}
			return list[i].machine < list[j].machine
		})
	}
	return pools
}

// excess returns how many machines a pool has beyond what some room needs, negative for a lack.
func (ps *poolState) excess(coresMilli int64) int {
	if ps.demand.standby {
		return len(ps.hosts)
	}
	want := coresMilli * headroomPercent / percent
	need := 0
	for _, ho := range ps.hosts {
		if want <= 0 {
			break
		}
		want -= ho.coresMilli
		need++
	}
	for want > 0 {
		want -= ps.typicalCores()
		need++
	}
	return len(ps.hosts) - max(need, ps.demand.leastVMs)
}

// fallbackCores is the size of a machine where a pool has none to go by.
const fallbackCores = 32_000

func (ps *poolState) typicalCores() int64 {
	if len(ps.hosts) == 0 || ps.hosts[0].coresMilli <= 0 {
		return fallbackCores
	}
	return ps.hosts[0].coresMilli
}

func (sz *Sizer) note(nowMS int64, name string, ps *poolState) {
	if ps.excess(ps.demand.coresMilli+ps.demand.lateMilli) <= 0 {
		delete(sz.surplusMS, name)
		return
	}
	if _, ok := sz.surplusMS[name]; !ok {
		sz.surplusMS[name] = nowMS
	}
}

// fill moves machines into a pool that lacks some: switched-off ones first, then idle ones of pools with a surplus, last of those that may need them soon; where none is idle, busy ones are shed.
func (sz *Sizer) fill(pl Plan, name string, pools map[string]*poolState, names []string) {
	lack := -pools[name].surplus
	if pools[name].demand.standby || lack <= 0 {
		return
	}
	for _, class := range []giver{switchedOff, settled, expecting} {
		for _, from := range names {
			if pools[from].demand.giver() == class {
				lack = sz.take(pl, name, pools[from], lack)
			}
		}
	}
	for at := len(names) - 1; at >= 0 && lack > 0; at-- {
		lack = shed(pl, pools[names[at]], lack)
	}
	pools[name].surplus = -lack
}

// giver tells in which order pools give machines away.
type giver int

const (
	switchedOff giver = iota
	settled
	// expecting pools may need their machines soon.
	expecting
)

func (dm Demand) giver() giver {
	switch {
	case dm.standby:
		return switchedOff
	case dm.fresh:
		return expecting
	default:
		return settled
	}
}

// take moves up to lack idle machines out of a pool's surplus and returns the rest of the lack.
func (sz *Sizer) take(pl Plan, to string, from *poolState, lack int) int {
	for _, ho := range from.hosts {
		if lack <= 0 || from.surplus <= 0 {
			return lack
		}
		if ho.pinned || ho.load > 0 || pl.moves[ho.machine] != "" || sz.refused[pair{ho.machine, to}] {
			continue
		}
		pl.moves[ho.machine] = to
		from.surplus--
		lack--
	}
	return lack
}

// shed keeps new work from the least loaded machines of a pool's surplus.
func shed(pl Plan, from *poolState, lack int) int {
	for _, ho := range from.hosts {
		if lack <= 0 || from.surplus <= 0 {
			return lack
		}
		if ho.pinned || pl.moves[ho.machine] != "" || pl.shed[ho.vm] || from.demand.standby {
			continue
		}
		pl.shed[ho.vm] = true
		from.surplus--
		lack--
	}
	return lack
}

// park switches off idle machines that no pool has needed for a while.
func (sz *Sizer) park(nowMS int64, pl Plan, pools map[string]*poolState, names []string) {
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
		since, spare := sz.surplusMS[name]
		if ps.demand.giver() != settled || !spare || nowMS-since < parkMS {
			continue
		}
		sz.take(pl, standby, ps, ps.surplus)
		shed(pl, ps, ps.surplus)
	}
}
