package fleet

import (
	"context"
	"slices"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/machines/fleettable"
	"github.com/fulmarloft/fulmarloft/internal/machines/poolmembers"
	"github.com/fulmarloft/fulmarloft/internal/machines/presence"
	"github.com/fulmarloft/fulmarloft/internal/machines/vm"
	"github.com/fulmarloft/fulmarloft/internal/observability/event"
	"github.com/fulmarloft/fulmarloft/internal/observability/metric"
	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/pkg/bundle"
	"github.com/fulmarloft/fulmarloft/pkg/code"
	"github.com/fulmarloft/fulmarloft/pkg/pool"
)

// Fleet drives the fleet from one process; every process calls Tick, and only the holder of a lease takes steps under it.
type Fleet struct {
	name       string
	ck         *clock.Clock
	tab        *fleettable.Table
	list       func(context.Context) (*platformpb.VMList, error)
	act        func(context.Context, *platformpb.VMAction) (*platformpb.VMActionReply, error)
	config     func() *bundle.Bundle
	holdsLease func(lease string) bool

	failing   func(vm string) bool
	busy      func(ctx context.Context, vm string) (bool, error)
	onLeaving func(incarnation string)
	onMembers func(pool string, registered bool, vms []*platformpb.VM)
	log       *event.Log
	reg       *metric.Registry

	mu sync.Mutex
	// nextPool is the index of the pool with which the next batch begins.
	nextPool     int
	discoveredMS int64
	// unconfigured holds the pools that have VMs and aren't in the bundle.
	unconfigured []pool.Pool
	lastPresence *presence.Presence
	// poolRows holds the pools as last read, with or without their VMs; snapshots holds them with their VMs.
	poolRows  map[string]*poolmembers.Membership
	snapshots map[string]*poolmembers.Membership
	// poolOfVM maps the name of a VM to its pool.
	poolOfVM map[string]string
	// waitReasons is keyed by wave and pool, separated by a space.
	waitReasons map[string]string
}

// Timeouts of VM states and waves, and limits on the work of one tick.
const (
	// An older VM list isn't acted on.
	listMaxAgeMS = 30_000
	// A list shows the effect of a step only if it is newer than the step by at least this margin for the difference between clocks.
	clockMarginMS = 1_000
	// Within this time after the start of a drain every entry stops sending requests to the VM.
	stopSendingMS = 3_000
	// A VM that a wave has in one state for longer halts the wave.
	waveStepTimeoutMS = 15 * 60_000
	// A restarting VM whose incarnation has ended counts as gone if it isn't listed again within this time.
	restartTimeoutMS = 60 * 60_000
	// A halted wave continues after this time without a failure.
	recoveryWaitMS = 60_000
	// The row of a gone VM is deleted after this time.
	goneRetentionMS    = 24 * 3600_000
	discoverIntervalMS = 10 * 60_000
	poolsPerTick       = 16
	maxStepsPerPool    = 4
	registerBatchSize  = 32
)

// Names of the lease under which VMs are registered, and of those under which the pools of a shard are driven.
const (
	registerLease    = "fleet/register"
	shardLeasePrefix = "fleet/shard-"
	shardCount       = 4
)

// New returns a fleet driver for the named process; holdsLease is called right before each effect and reports whether the process holds the lease.
func New(
	name string,
	ck *clock.Clock,
	tab *fleettable.Table,
	list func(context.Context) (*platformpb.VMList, error),
	act func(context.Context, *platformpb.VMAction) (*platformpb.VMActionReply, error),
	config func() *bundle.Bundle,
	holdsLease func(lease string) bool,
) *Fleet {
	return &Fleet{
		name:        name,
		ck:          ck,
		tab:         tab,
		list:        list,
		act:         act,
		config:      config,
		holdsLease:  holdsLease,
		failing:     func(string) bool { return false },
		busy:        func(context.Context, string) (bool, error) { return false, nil },
		onLeaving:   func(string) {},
		onMembers:   func(string, bool, []*platformpb.VM) {},
		log:         event.Discard(),
		reg:         metric.New(),
		poolRows:    map[string]*poolmembers.Membership{},
		snapshots:   map[string]*poolmembers.Membership{},
		poolOfVM:    map[string]string{},
		waitReasons: map[string]string{},
	}
}

// SetLog sets the log and the metric registry.
func (fl *Fleet) SetLog(lg *event.Log, reg *metric.Registry) { fl.log, fl.reg = lg, reg }

// OnLeaving sets the function that is called, possibly several times, with each incarnation that must get no more work.
func (fl *Fleet) OnLeaving(fn func(incarnation string)) { fl.onLeaving = fn }

// OnMembers sets the function that is called with whether a pool has registered VMs, and with its listed VMs that take work.
func (fl *Fleet) OnMembers(fn func(pool string, registered bool, vms []*platformpb.VM)) {
	fl.onMembers = fn
}

// SetBusy sets the function that reports whether work is still placed on a VM.
func (fl *Fleet) SetBusy(fn func(ctx context.Context, vm string) (bool, error)) { fl.busy = fn }

// Tick reads the VM list and the next batch of pools, reports their VMs that take work, and takes the steps that are due if this process holds the lease.
func (fl *Fleet) Tick(ctx context.Context) {
	if fl.config() == nil {
		return
	}
	list, err := fl.list(ctx)
	if err != nil {
		fl.logFailure("vm-list-unread", err)
		return
	}
	pr := presence.New(list, fl.ck.Now(), listMaxAgeMS, fl.failing)
	fl.mu.Lock()
	fl.lastPresence = pr
	fl.mu.Unlock()
	if err := fl.discover(ctx); err != nil {
		fl.logFailure("pools-unread", err)
		return
	}
	batch := fl.nextBatch()
	if err := fl.refreshPools(ctx, pr, batch); err != nil {
		fl.logFailure("pools-unread", err)
		return
	}
	if fl.holdsLease(registerLease) {
		fl.register(ctx, pr, list)
	}
	for _, pl := range batch {
		if fl.holdsLease(poolLease(pl.Name())) {
			fl.drivePool(ctx, pr, pl)
		}
	}
	fl.driveWaves(ctx, pr, batch)
}

// discover finds, at the start and every discoverIntervalMS, pools that have VM rows but aren't in the current bundle. They are driven with size and budget 0, so that none of their VMs is taken out of service.
func (fl *Fleet) discover(ctx context.Context) error {
	now := fl.ck.Now()
	if fl.discoveredMS != 0 && now-fl.discoveredMS < discoverIntervalMS {
		return nil
	}
	pools, err := fl.tab.AllPools(ctx)
	if err != nil {
		return err
	}
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.discoveredMS = now
	fl.unconfigured = nil
	for _, mb := range pools {
		if _, err := fl.pool(mb.Name()); err != nil && len(mb.RowNames()) > 0 {
			fl.unconfigured = append(fl.unconfigured, pool.New(mb.Name(), 0, 0, false))
		}
	}
	return nil
}

// nextBatch returns the pools that are due in this tick, round robin.
func (fl *Fleet) nextBatch() []pool.Pool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	all := append(slices.Clone(fl.config().Pools()), fl.unconfigured...)
	batch := make([]pool.Pool, 0, poolsPerTick)
	for range min(poolsPerTick, len(all)) {
		batch = append(batch, all[fl.nextPool%len(all)])
		fl.nextPool = (fl.nextPool + 1) % len(all)
	}
	return batch
}

// refreshPools reads the rows of the pools and reports which of their VMs take work.
func (fl *Fleet) refreshPools(ctx context.Context, pr *presence.Presence, batch []pool.Pool) error {
	names := make([]string, 0, len(batch))
	for _, pl := range batch {
		names = append(names, pl.Name())
	}
	pools, err := fl.tab.Pools(ctx, names)
	if err != nil {
		return err
	}
	for _, mb := range pools {
		fl.cachePool(mb)
		fl.onMembers(mb.Name(), len(mb.RowNames()) > 0, servingVMs(mb, pr))
		fl.reg.Set(int64(len(mb.Members())), "pool", mb.Name(), "members")
		fl.reg.Set(int64(len(mb.Away())), "pool", mb.Name(), "away")
	}
	return nil
}

// cachePool caches a pool's row and indexes its VMs by name.
func (fl *Fleet) cachePool(mb *poolmembers.Membership) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if old := fl.poolRows[mb.Name()]; old != nil {
		for _, name := range old.RowNames() {
			if fl.poolOfVM[name] == mb.Name() {
				delete(fl.poolOfVM, name)
			}
		}
	}
	fl.poolRows[mb.Name()] = mb
	for _, name := range mb.RowNames() {
		fl.poolOfVM[name] = mb.Name()
	}
}

// load returns a pool with its VMs. The cached snapshot is valid while the version of the pool's row is unchanged, because each step of a VM writes that row too.
func (fl *Fleet) load(ctx context.Context, pool string) (*poolmembers.Membership, error) {
	fl.mu.Lock()
	row, full := fl.poolRows[pool], fl.snapshots[pool]
	fl.mu.Unlock()
	if row != nil && full != nil && row.Condition().GetVersion() == full.Condition().GetVersion() {
		return full, nil
	}
	var known []string
	if row != nil {
		known = row.RowNames()
	}
	mb, err := fl.tab.Load(ctx, pool, known)
	if err != nil {
		return nil, err
	}
	fl.cachePool(mb)
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.snapshots[pool] = mb
	return mb, nil
}

// invalidate drops the cached snapshot of a pool, so that it is read again before the next decision.
func (fl *Fleet) invalidate(pool string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	delete(fl.snapshots, pool)
}

// presence returns the presence of the last VM list, or a NotYetKept error before the first one.
func (fl *Fleet) presence() (*presence.Presence, error) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if fl.lastPresence == nil {
		return nil, code.NotYetKept.New("the VM list has not been read yet")
	}
	return fl.lastPresence, nil
}

// pool returns the pool of that name in the current bundle.
func (fl *Fleet) pool(name string) (pool.Pool, error) {
	for _, pl := range fl.config().Pools() {
		if pl.Name() == name {
			return pl, nil
		}
	}
	return pool.Pool{}, code.Conflict.New("pool %s isn't in the bundle", name)
}

// commitID returns the operation id under which this process writes a step.
func (fl *Fleet) commitID(next *vm.VM) string {
	return "vm-" + next.Name() + "-" + strconv.FormatUint(next.Epoch(), 10) + "-" + vm.StateName(next.State()) + "-" + next.Operation() + "-" + fl.name
}

// logFailure logs an error under the event name and counts it.
func (fl *Fleet) logFailure(name string, err error, pairs ...any) {
	fl.reg.Count(1, "fleet", name)
	fl.log.Fail(name, err, pairs...)
}

// servingVMs returns the listed members of a pool that are neither leaving nor unavailable as planned.
func servingVMs(mb *poolmembers.Membership, pr *presence.Presence) []*platformpb.VM {
	away := map[string]bool{}
	for _, name := range mb.Away() {
		away[name] = true
	}
	var vms []*platformpb.VM
	for _, name := range mb.Members() {
		if listed := pr.Listed(name); listed != nil && !listed.GetLeaving() && !away[name] {
			vms = append(vms, listed)
		}
	}
	return vms
}

// poolLease returns the name of the lease under which the pool is driven.
func poolLease(pool string) string {
	return shardLeasePrefix + strconv.FormatUint(xxhash.Sum64String(pool)%shardCount, 10)
}
