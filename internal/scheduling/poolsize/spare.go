package poolsize

// Spare returns the machines that could move to other pools now: those that are powered off and, of each pool, as many as it doesn't need now or by its forecast, the least loaded first.
func Spare(demands []Demand, hosts []Host) []Host {
	var out []Host
	for _, ps := range group(demands, hosts) {
		surplus := ps.surplusFor(ps.demand.targetCoresMilli() + ps.demand.lateCoresMilli)
		for _, ho := range ps.hosts {
			if surplus <= 0 {
				break
			}
			if !ho.pinned {
				out = append(out, ho)
				surplus--
			}
		}
	}
	return out
}

// MayMove reports whether a machine may be moved to a pool, as far as is known.
func (sz *Sizer) MayMove(machine, pool string) bool { return !sz.refused[machinePool{machine, pool}] }
