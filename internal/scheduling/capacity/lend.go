package capacity

import (
	"slices"

	"github.com/fulmarloft/fulmarloft/internal/pb/fleetpb"
)

// lend assigns the slots of each spare VM to one pool: loans that are still needed stay, then each unassigned VM goes to the pool with the largest shortage left.
func (pn *Planner) lend(demands []*fleetpb.PoolDemand, spare *fleetpb.PoolDemand) []*fleetpb.VMLoan {
	shortages := pn.ownShortages(demands)
	kept := map[string]string{}
	var free []string
	for _, vm := range spare.GetVms() {
		if to := pn.loans[vm]; shortages[to] > 0 {
			shortages[to]--
			kept[vm] = to
			continue
		}
		free = append(free, vm)
	}
	pn.loans = kept
	for _, vm := range free {
		to := largestShortage(shortages)
		if to == "" {
			break
		}
		shortages[to]--
		pn.loans[vm] = to
	}
	return loanList(pn.loans)
}

// ownShortages returns how many VMs each pool would lack without its loans.
func (pn *Planner) ownShortages(demands []*fleetpb.PoolDemand) map[string]int {
	lent := map[string]int{}
	for _, to := range pn.loans {
		lent[to]++
	}
	shortages := map[string]int{}
	for _, dm := range demands {
		if !dm.GetSpare() {
			shortages[dm.GetPool()] = max(pn.shortage(dm)+lent[dm.GetPool()], 0)
		}
	}
	return shortages
}

// largestShortage returns the pool with the largest shortage, the first by name on a tie, or an empty name if no pool has one.
func largestShortage(shortages map[string]int) string {
	best := ""
	for _, pool := range sortedKeys(shortages) {
		if shortages[pool] > 0 && (best == "" || shortages[pool] > shortages[best]) {
			best = pool
		}
	}
	return best
}

func loanList(loans map[string]string) []*fleetpb.VMLoan {
	var list []*fleetpb.VMLoan
	for _, vm := range sortedKeys(loans) {
		list = append(list, &fleetpb.VMLoan{Vm: vm, Pool: loans[vm]})
	}
	return list
}

func sortedKeys[T any](set map[string]T) []string {
	names := make([]string, 0, len(set))
	for name := range set {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
