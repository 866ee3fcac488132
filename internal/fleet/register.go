package fleet

import (
	"context"
	"fmt"

	"github.com/fulmarloft/fulmarloft/internal/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/presence"
	"github.com/fulmarloft/fulmarloft/internal/vm"
	"github.com/fulmarloft/fulmarloft/pkg/code"
	"github.com/fulmarloft/fulmarloft/pkg/pool"
)

const (
	kindEntry  = "entry"
	kindWorker = "worker"
)

// register writes rows for listed VMs that no pool holds, once every pool was read, at most one batch for each pool and tick.
func (fl *Fleet) register(ctx context.Context, pr *presence.Presence, list *platformpb.VMList) {
	counts, ready := fl.counts()
	if !ready || !pr.Fresh() {
		return
	}
	fresh := map[string][]*vm.VM{}
	for _, seen := range list.GetVms() {
		if fl.isPlaced(seen.GetName()) || pr.Listed(seen.GetName()) == nil || seen.GetKind() == kindEntry {
			continue
		}
		to := fl.assign(seen, fl.config().Pools(), counts)
		if to == "" || len(fresh[to]) >= registerBatch {
			continue
		}
		counts[to]++
		fresh[to] = append(fresh[to], vm.Register(seen, to, fl.ck.Now()))
	}
	for to, vms := range fresh {
		fl.registerIn(ctx, to, vms)
	}
}

func (fl *Fleet) registerIn(ctx context.Context, to string, vms []*vm.VM) {
	mb, err := fl.load(ctx, to)
	if err == nil && fl.held(registerLease) {
		operation := fmt.Sprintf("register-%s-%d-%s-%s", vms[0].Name(), len(vms), vms[0].Incarnation(), fl.name)
		err = fl.tab.Register(ctx, operation, vms, mb)
		fl.unload(to)
	}
	if err != nil {
		fl.fail("vm-unregistered", err, "pool", to, "vms", len(vms))
		return
	}
	for _, at := range vms {
		fl.log.Info("vm-registered", "vm", at.Name(), "pool", to, "zone", at.Zone(), "rack", at.Rack())
	}
	fl.reg.Count(int64(len(vms)), "fleet", "registered")
	if _, err := fl.load(ctx, to); err != nil {
		fl.fail("pools-unread", err, "pool", to)
	}
}

// counts returns how many members each pool had when last read, and whether all pools of the bundle were read.
func (fl *Fleet) counts() (map[string]int, bool) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	counts := map[string]int{}
	for _, pl := range fl.config().Pools() {
		mb := fl.pools[pl.Name()]
		if mb == nil {
			return nil, false
		}
		counts[pl.Name()] = len(mb.Members())
	}
	return counts, true
}

func (fl *Fleet) isPlaced(name string) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.placed[name] != ""
}

// assignByList returns the pool that the platform's list names for the VM, else the pool of its kind that lacks the most VMs, and none when no pool is of that kind.
func assignByList(seen *platformpb.VM, pools []pool.Pool, members map[string]int) string {
	best := ""
	most := 0
	for _, pl := range pools {
		if pl.Workers() != (seen.GetKind() == kindWorker) {
			continue
		}
		if pl.Name() == seen.GetPool() {
			return pl.Name()
		}
		lack := pl.Size() - members[pl.Name()]
		if best == "" || lack > most {
			best, most = pl.Name(), lack
		}
	}
	return best
}

// truth returns the step that brings a VM's row in line with what the list shows of its incarnation, nil when it is in line.
func truth(at *vm.VM, pr *presence.Presence, nowMS int64) (*vm.VM, error) {
	if !pr.ReflectsState(at, clockMarginMS) {
		return nil, nil
	}
	seen := pr.Listed(at.Name())
	switch {
	case at.Gone():
		if seen == nil || seen.GetIncarnation() == at.Incarnation() {
			return nil, nil
		}
		return at.Replaced(seen, nowMS)
	case at.Restarting():
		if seen != nil || !pr.Ended(at.Incarnation()) || nowMS-at.SinceMS() <= lostMS {
			return nil, nil
		}
		return at.MarkGone(nowMS)
	case seen != nil && seen.GetIncarnation() != at.Incarnation():
		return at.Replaced(seen, nowMS)
	case seen == nil && pr.Ended(at.Incarnation()):
		return at.MarkGone(nowMS)
	default:
		return nil, nil
	}
}

// forgettable reports whether the row of a gone VM may be deleted.
func forgettable(at *vm.VM, nowMS int64) bool {
	return at.Gone() && nowMS-at.SinceMS() > forgetMS
}

// stale reports whether an error only says that somebody else was faster.
func stale(err error) bool {
	cd := code.Of(err)
	return cd == code.Conflict || cd == code.EpochStale
}
