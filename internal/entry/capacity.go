package entry

import (
	"context"
	"maps"
	"sync"

	"github.com/fulmarloft/fulmarloft/internal/pb/fleetpb"
	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/capacity"
	"github.com/fulmarloft/fulmarloft/pkg/pool"
)

const (
	capacityIntervalMS = 500
	// capacityMoveMS is the assumed duration of a VM's move between pools.
	capacityMoveMS = 27_000
)

// capacityPart lends this entry's allocation of the spare VMs' slots to pools with a shortage; the VMs stay in the spare pool.
type capacityPart struct {
	planner *capacity.Planner
	slots   int

	mu sync.RWMutex
	// loans maps a spare VM to the pool that uses its slots.
	loans map[string]string
	// ending holds the VMs whose loan is over but whose borrower still has requests there.
	ending map[string]bool
	// generation increases whenever the loans change.
	generation uint64
}

// wireCapacity starts lending the slots of spare VMs, and offers no slots of a VM whose loan is ending.
func (en *Entry) wireCapacity() error {
	cp := &en.capacity
	cp.loans = map[string]string{}
	cp.ending = map[string]bool{}
	slots := en.dataPath.slots
	en.dataPath.slots = func(vm *platformpb.VM) int {
		if cp.isEnding(vm.GetName()) {
			return 0
		}
		return slots(vm)
	}
	en.every(capacityIntervalMS, "capacity", en.planCapacity)
	return nil
}

// planCapacity updates the loans from this entry's own demand.
func (en *Entry) planCapacity(context.Context) error {
	if en.Bundle() == nil {
		return nil
	}
	if err := en.capacity.setup(int(en.dataPath.zoneSlots.Load())); err != nil {
		return err
	}
	var demands []*fleetpb.PoolDemand
	for _, pl := range en.Bundle().Pools() {
		if !pl.IsWorkerPool() {
			demands = append(demands, en.poolDemand(pl))
		}
	}
	planned := map[string]string{}
	for _, ln := range en.capacity.planner.Plan(en.ck.Now(), demands).GetLoans() {
		planned[ln.GetVm()] = ln.GetPool()
	}
	en.capacity.apply(planned, en.hasRequestsAt)
	en.mt.Set(int64(len(planned)), "capacity", "lent-vms")
	return nil
}

// poolDemand returns this entry's demand on a pool; for a spare pool it lists the zone's VMs that aren't leaving.
func (en *Entry) poolDemand(pl pool.Pool) *fleetpb.PoolDemand {
	dm := &fleetpb.PoolDemand{Pool: pl.Name(), Spare: pl.Spare()}
	vms := en.endpoints(pl.Name())
	if pl.Spare() {
		for _, vm := range vms {
			if vm.GetZone() == en.st.Zone() && !en.dataPath.leaving.Has(vm.GetIncarnation()) {
				dm.Vms = append(dm.Vms, vm.GetName())
			}
		}
		return dm
	}
	en.dataPath.mu.RLock()
	defer en.dataPath.mu.RUnlock()
	for key, dp := range en.dataPath.dispatchers {
		if key.pool == pl.Name() {
			dm.Queued += uint32(dp.Waiting())
		}
	}
	if pk := en.dataPath.pickers[pl.Name()]; pk != nil {
		dm.Slots = uint32(pk.Slots())
		for _, vm := range vms {
			dm.Busy += uint32(pk.Running(vm.GetIncarnation()))
		}
	}
	return dm
}

// hasRequestsAt reports whether requests of this entry for a pool are still in flight at a VM.
func (en *Entry) hasRequestsAt(name, pool string) bool {
	en.dataPath.mu.RLock()
	defer en.dataPath.mu.RUnlock()
	pk := en.dataPath.pickers[pool]
	if pk == nil {
		return false
	}
	vm := en.vms.Named(name)
	return vm != nil && pk.Running(vm.GetIncarnation()) > 0
}

// setup replaces the planner when the entry's allocation of a VM's slots has changed. Whether there is anything to lend is decided by the operators' pools: without a spare pool the planner plans nothing.
func (cp *capacityPart) setup(slots int) error {
	if cp.planner != nil && cp.slots == slots {
		return nil
	}
	planner, err := capacity.New(capacity.Lend, slots, capacityMoveMS)
	if err != nil {
		return err
	}
	cp.planner, cp.slots = planner, slots
	return nil
}

// apply puts the planned loans into effect; a VM whose previous borrower still has requests there gets no new requests until those have ended.
func (cp *capacityPart) apply(planned map[string]string, hasRequests func(vm, pool string) bool) {
	next := map[string]string{}
	ending := map[string]bool{}
	for vm, borrower := range cp.current() {
		if planned[vm] != borrower && hasRequests(vm, borrower) {
			next[vm] = borrower
			ending[vm] = true
		}
	}
	for vm, borrower := range planned {
		if !ending[vm] {
			next[vm] = borrower
		}
	}
	cp.mu.Lock()
	defer cp.mu.Unlock()
	if !maps.Equal(cp.loans, next) {
		cp.generation++
	}
	cp.loans, cp.ending = next, ending
}

func (cp *capacityPart) current() map[string]string {
	cp.mu.RLock()
	defer cp.mu.RUnlock()
	return cp.loans
}

func (cp *capacityPart) isEnding(vm string) bool {
	cp.mu.RLock()
	defer cp.mu.RUnlock()
	return cp.ending[vm]
}

// isLent reports whether the slots of a spare VM are lent to the pool.
func (cp *capacityPart) isLent(vm, pool string) bool {
	cp.mu.RLock()
	defer cp.mu.RUnlock()
	return cp.loans[vm] == pool
}
