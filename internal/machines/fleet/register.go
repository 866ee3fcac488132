package fleet

import (
	"context"
	"fmt"

	"github.com/fulmarloft/fulmarloft/internal/machines/presence"
	"github.com/fulmarloft/fulmarloft/internal/machines/vm"
	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/pkg/code"
	"github.com/fulmarloft/fulmarloft/pkg/pool"
)

const (
	kindEntry  = "entry"
	kindWorker = "worker"
)

// register writes rows for listed VMs that have none, at most one batch for each pool and tick. It waits until every pool of the bundle was read, because the VMs of an unread pool would look unregistered.
func (fl *Fleet) register(ctx context.Context, pr *presence.Presence, list *platformpb.VMList) {
	counts, ready := fl.memberCounts()
	if !ready || !pr.Fresh() {
		return
	}
	batches := map[string][]*vm.VM{}
	for _, listed := range list.GetVms() {
		if fl.hasPool(listed.GetName()) || pr.Listed(listed.GetName()) == nil || listed.GetKind() == kindEntry {
			continue
		}
		to := assignByList(listed, fl.config().Pools(), counts)
		if to == "" || len(batches[to]) >= registerBatchSize {
			continue
		}
		counts[to]++
		batches[to] = append(batches[to], vm.Register(listed, to, fl.ck.Now()))
	}
	for to, vms := range batches {
		fl.registerBatch(ctx, to, vms)
	}
}

// registerBatch registers VMs in one pool and reads the pool again.
func (fl *Fleet) registerBatch(ctx context.Context, to string, vms []*vm.VM) {
	mb, err := fl.load(ctx, to)
	if err == nil && fl.holdsLease(registerLease) {
		operation := fmt.Sprintf("register-%s-%d-%s-%s", vms[0].Name(), len(vms), vms[0].Incarnation(), fl.name)
		err = fl.tab.Register(ctx, operation, vms, mb)
		fl.invalidate(to)
	}
	if err != nil {
		fl.logFailure("vm-unregistered", err, "pool", to, "vms", len(vms))
		return
	}
	for _, inst := range vms {
		fl.log.Info("vm-registered", "vm", inst.Name(), "pool", to, "zone", inst.Zone(), "rack", inst.Rack())
	}
	fl.reg.Count(int64(len(vms)), "fleet", "registered")
	if _, err := fl.load(ctx, to); err != nil {
		fl.logFailure("pools-unread", err, "pool", to)
	}
}

// memberCounts returns how many members each pool had when last read, and whether all pools of the bundle were read.
func (fl *Fleet) memberCounts() (map[string]int, bool) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	counts := map[string]int{}
	for _, pl := range fl.config().Pools() {
		mb := fl.poolRows[pl.Name()]
		if mb == nil {
			return nil, false
		}
		counts[pl.Name()] = len(mb.Members())
	}
	return counts, true
}

func (fl *Fleet) hasPool(name string) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.poolOfVM[name] != ""
}

// assignByList returns the pool that the platform's list names for the VM, otherwise the pool of its kind with the largest shortage, and none if no pool is of that kind.
func assignByList(listed *platformpb.VM, pools []pool.Pool, members map[string]int) string {
	best := ""
	maxShortage := 0
	for _, pl := range pools {
		if pl.IsWorkerPool() != (listed.GetKind() == kindWorker) {
			continue
		}
		if pl.Name() == listed.GetPool() {
			return pl.Name()
		}
		shortage := pl.Size() - members[pl.Name()]
		if best == "" || shortage > maxShortage {
			best, maxShortage = pl.Name(), shortage
		}
	}
	return best
}

// reconcile returns the step that makes a VM's row agree with the listed incarnation, nil if it agrees or the list is older than the row.
func reconcile(inst *vm.VM, pr *presence.Presence, nowMS int64) (*vm.VM, error) {
	if !pr.ReflectsState(inst, clockMarginMS) {
		return nil, nil
	}
	listed := pr.Listed(inst.Name())
	switch {
	case inst.Gone():
		if listed == nil || listed.GetIncarnation() == inst.Incarnation() {
			return nil, nil
		}
		return inst.Replaced(listed, nowMS)
	case inst.Restarting():
		if listed != nil || !pr.Ended(inst.Incarnation()) || nowMS-inst.SinceMS() <= restartTimeoutMS {
			return nil, nil
		}
		return inst.MarkGone(nowMS)
	case listed != nil && listed.GetIncarnation() != inst.Incarnation():
		return inst.Replaced(listed, nowMS)
	case listed == nil && pr.Ended(inst.Incarnation()):
		return inst.MarkGone(nowMS)
	default:
		return nil, nil
	}
}

// retentionExpired reports whether the row of a gone VM has been kept for the retention period and may be deleted.
func retentionExpired(inst *vm.VM, nowMS int64) bool {
	return inst.Gone() && nowMS-inst.SinceMS() > goneRetentionMS
}

// isConflict reports whether a write failed only because another one came first.
func isConflict(err error) bool {
	cd := code.Of(err)
	return cd == code.Conflict || cd == code.EpochStale
}
