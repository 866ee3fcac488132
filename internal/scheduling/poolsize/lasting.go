package poolsize

import "sort"

// fillLasting moves machines to the pools whose long-running tasks wait for VMs: from a surplus, else from the pools that can best spare them, though these lack machines for work that ends.
func (sz *Sizer) fillLasting(pl Plan, pools map[string]*poolState, names []string) {
	sort.Strings(names)
	cordoned := map[string]bool{}
	for _, name := range names {
		to := pools[name]
		missing := to.demand.lastingVMs - len(to.hosts)
		if to.demand.standby || missing <= 0 {
			continue
		}
		for _, ps := range pools {
			ps.exhausted = false
		}
		rest := sz.takeSurplus(pl, name, pools, names, missing)
		for rest > 0 {
			from := donor(pools, names)
			if from == nil {
				break
			}
			if sz.takeOne(pl, name, from, cordoned) {
				rest--
			}
		}
		to.surplus += missing - rest
	}
	sz.cordonedForLasting = cordoned
}

// donor returns the pool that has most of the machines that it needs once it has given one up, nil if none can give one up. No pool gives up its last machine, nor one while its own long-running tasks wait.
func donor(pools map[string]*poolState, names []string) *poolState {
	var best *poolState
	for _, name := range names {
		ps := pools[name]
		if ps.exhausted || ps.demand.standby || ps.demand.lastingVMs > 0 || ps.remaining() <= 1 {
			continue
		}
		if best == nil || ps.coverageWithout() > best.coverageWithout() {
			best = ps
		}
	}
	return best
}

// remaining returns how many machines the pool has without those that it gave up in this pass.
func (ps *poolState) remaining() int { return ps.need + ps.surplus }

// coverageWithout returns which part of the machines that the pool needs it has without one of them.
func (ps *poolState) coverageWithout() float64 {
	return float64(ps.remaining()-1) / float64(max(ps.need, 1))
}

// takeOne moves an idle machine of a pool, or cordons the VM of a busy one, and reports whether there was one. A VM that was cordoned before stays the one to be cordoned, so that it becomes idle.
func (sz *Sizer) takeOne(pl Plan, to string, from *poolState, cordoned map[string]bool) bool {
	var best *Host
	for at := range from.hosts {
		ho := &from.hosts[at]
		if ho.pinned || pl.moves[ho.machine] != "" || pl.cordoned[ho.vm] || sz.refused[machinePool{ho.machine, to}] {
			continue
		}
		if best == nil || (best.runs > 0 && !sz.cordonedForLasting[best.vm] && sz.cordonedForLasting[ho.vm]) {
			best = ho
		}
	}
	if best == nil {
		from.exhausted = true
		return false
	}
	from.surplus--
	if best.runs == 0 {
		pl.moves[best.machine] = to
		return true
	}
	pl.cordoned[best.vm] = true
	cordoned[best.vm] = true
	return true
}
