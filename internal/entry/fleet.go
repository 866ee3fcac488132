package entry

import (
	"context"
	"maps"
	"net/http"
	"sync"

	"github.com/fulmarloft/fulmarloft/internal/machines/fleet"
	"github.com/fulmarloft/fulmarloft/internal/machines/fleetapi"
	"github.com/fulmarloft/fulmarloft/internal/machines/fleettable"
	"github.com/fulmarloft/fulmarloft/internal/membership/leaseset"
	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/pkg/bundle"
)

const (
	fleetTickIntervalMS   = 1000
	fleetRenewIntervalMS  = 1500
	fleetLeaseLengthMS    = 8000
	fleetReleaseTimeoutMS = 1000
)

// fleetPart manages the pool membership of VMs and drives their maintenance.
type fleetPart struct {
	fl     *fleet.Fleet
	leases *leaseset.Set
	// authenticate returns the name of the operator who sent a request.
	authenticate func(*http.Request) (string, error)

	mu sync.RWMutex
	// members maps each registered pool to the names of its VMs that take work.
	members map[string]map[string]bool
	// generation increases whenever the members change.
	generation uint64
}

// wireFleet starts managing the VMs of the pools.
func (en *Entry) wireFleet() error {
	pt := &en.fleet
	pt.members = map[string]map[string]bool{}
	pt.leases = leaseset.New(en.ck, en.tab, en.incarnation, fleetLeaseLengthMS)
	list := func(context.Context) (*platformpb.VMList, error) { return en.vms.List(), nil }
	pt.fl = fleet.New(en.incarnation, en.ck, fleettable.New(en.tab), list, en.platform.Act, en.Bundle, pt.leases.Held)
	pt.fl.SetLog(en.lg, en.mt)
	pt.fl.SetBusy(en.workerBusy)
	pt.fl.OnMembers(pt.setMembers)
	pt.fl.OnLeaving(func(incarnation string) { en.dataPath.leaving.Mark(incarnation) })
	fleetapi.New(pt.fl, pt.authenticate).Routes(en.admin)
	en.AddCheck(func(old, next *bundle.Bundle) error { return pt.fl.Check(en.ctx, old, next) })
	en.every(fleetRenewIntervalMS, "fleet-leases", pt.leases.Renew)
	en.every(fleetTickIntervalMS, "fleet", func(ctx context.Context) error {
		pt.fl.Tick(ctx)
		return nil
	})
	return nil
}

// releaseLeases releases this entry's leases, so that the next holder doesn't have to wait for them to expire; it must be called after the loops have ended.
func (en *Entry) releaseLeases(ctx context.Context) {
	sub, cancel := en.ck.WithTimeout(ctx, fleetReleaseTimeoutMS)
	defer cancel()
	en.fleet.leases.Release(sub)
}

// setMembers records which VMs of a pool take work; the members of a pool without rows come from the platform's list.
func (pt *fleetPart) setMembers(pool string, registered bool, vms []*platformpb.VM) {
	names := make(map[string]bool, len(vms))
	for _, vm := range vms {
		names[vm.GetName()] = true
	}
	pt.mu.Lock()
	defer pt.mu.Unlock()
	old, had := pt.members[pool]
	if had == registered && maps.Equal(old, names) {
		return
	}
	pt.generation++
	delete(pt.members, pool)
	if registered {
		pt.members[pool] = names
	}
}
