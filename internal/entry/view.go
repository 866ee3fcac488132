package entry

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/fulmarloft/fulmarloft/internal/pb/configpb"
	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/pb/viewpb"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

const viewCallTimeoutMS = 1000

// viewPart caches which VMs serve which pool.
type viewPart struct {
	mu sync.Mutex
	// builtFrom identifies the data that pools was built from.
	builtFrom generations
	pools     map[string][]*platformpb.VM
}

// generations identifies a state of the data that determines which VMs serve which pool.
type generations struct {
	list, members, loans uint64
}

func (en *Entry) wireView() error {
	if err := viewpb.DRPCRegisterViews(en.cluster.pr.Mux(), en); err != nil {
		return code.Internal.Wrap(err)
	}
	return nil
}

// Get returns the last VM list and pool members that this entry knows; entries that can't reach the platform call it.
func (en *Entry) Get(context.Context, *viewpb.Ask) (*viewpb.View, error) {
	vw := &viewpb.View{List: en.vms.List()}
	pt := &en.fleet
	pt.mu.RLock()
	defer pt.mu.RUnlock()
	for _, name := range slices.Sorted(maps.Keys(pt.members)) {
		vw.Pools = append(vw.Pools, &viewpb.Pool{Name: name, Vms: slices.Sorted(maps.Keys(pt.members[name]))})
	}
	return vw, nil
}

// refreshView reads the platform's VM list; without any list yet and with the platform unreachable, it asks other entries.
func (en *Entry) refreshView(ctx context.Context) error {
	err := en.vms.Refresh(ctx)
	if err == nil || en.vms.Generation() > 0 {
		return err
	}
	for _, address := range en.knownPeers() {
		if en.fetchView(ctx, address) {
			en.lg.Info("vm-list-from-peer", "name", en.st.Name(), "peer", address, "vms", len(en.vms.List().GetVms()))
			break
		}
	}
	return err
}

// fetchView adopts the VM list and pool members of another entry, and reports whether it received a list.
func (en *Entry) fetchView(ctx context.Context, address string) bool {
	ctx, cancel := en.ck.WithTimeout(ctx, viewCallTimeoutMS)
	defer cancel()
	vw, err := viewpb.NewDRPCViewsClient(en.peerConn(address)).Get(ctx, &viewpb.Ask{})
	if err != nil || len(vw.GetList().GetVms()) == 0 {
		return false
	}
	en.vms.Adopt(vw.GetList())
	for _, pl := range vw.GetPools() {
		vms := make([]*platformpb.VM, 0, len(pl.GetVms()))
		for _, name := range pl.GetVms() {
			vms = append(vms, &platformpb.VM{Name: name})
		}
		en.fleet.setMembers(pl.GetName(), true, vms)
	}
	return true
}

// knownPeers returns the addresses of the other registered entries, followed by those in the settings.
func (en *Entry) knownPeers() []string {
	var list []string
	for _, mb := range en.cluster.ag.Members() {
		if !en.isSelf(mb) {
			list = append(list, mb.GetPeerAddress())
		}
	}
	return append(list, en.st.Peers()...)
}

func (en *Entry) isSelf(mb *configpb.Member) bool { return mb.GetIncarnation() == en.incarnation }

// endpoints returns the VMs that serve a pool, including leaving ones; the caller must not modify the slice.
func (en *Entry) endpoints(pool string) []*platformpb.VM {
	current := en.currentGenerations()
	vp := &en.view
	vp.mu.Lock()
	defer vp.mu.Unlock()
	if vp.pools == nil || vp.builtFrom != current {
		vp.pools = en.buildPools()
		vp.builtFrom = current
	}
	return vp.pools[pool]
}

func (en *Entry) currentGenerations() generations {
	gs := generations{list: en.vms.Generation()}
	en.fleet.mu.RLock()
	gs.members = en.fleet.generation
	en.fleet.mu.RUnlock()
	en.capacity.mu.RLock()
	gs.loans = en.capacity.generation
	en.capacity.mu.RUnlock()
	return gs
}

// buildPools assigns each endpoint to the pool named by its row, or by the platform if the pool has no rows, and also to the pool that it is lent to.
func (en *Entry) buildPools() map[string][]*platformpb.VM {
	pools := map[string][]*platformpb.VM{}
	poolOf := en.fleet.poolResolver()
	loans := en.capacity.current()
	spare := en.sparePools()
	for _, vm := range en.vms.Kind(kindEndpoint) {
		ownPool := poolOf(vm)
		if ownPool == "" {
			continue
		}
		pools[ownPool] = append(pools[ownPool], vm)
		if borrower := loans[vm.GetName()]; borrower != "" && spare[ownPool] {
			pools[borrower] = append(pools[borrower], vm)
		}
	}
	return pools
}

func (en *Entry) sparePools() map[string]bool {
	spare := map[string]bool{}
	if bd := en.Bundle(); bd != nil {
		for _, pl := range bd.Pools() {
			spare[pl.Name()] = pl.Spare()
		}
	}
	return spare
}

// poolResolver returns a function that returns the pool for which a VM takes work, empty if there is none.
func (pt *fleetPart) poolResolver() func(vm *platformpb.VM) string {
	pt.mu.RLock()
	defer pt.mu.RUnlock()
	byName := map[string]string{}
	registered := map[string]bool{}
	for pool, names := range pt.members {
		registered[pool] = true
		for name := range names {
			byName[name] = pool
		}
	}
	return func(vm *platformpb.VM) string {
		if pool, ok := byName[vm.GetName()]; ok {
			return pool
		}
		if registered[vm.GetPool()] {
			return ""
		}
		return vm.GetPool()
	}
}
