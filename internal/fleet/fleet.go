package fleet

import (
	"context"
	"slices"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/event"
	"github.com/fulmarloft/fulmarloft/internal/fleettable"
	"github.com/fulmarloft/fulmarloft/internal/membership"
	"github.com/fulmarloft/fulmarloft/internal/metric"
	"github.com/fulmarloft/fulmarloft/internal/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/presence"
	"github.com/fulmarloft/fulmarloft/internal/vm"
	"github.com/fulmarloft/fulmarloft/pkg/bundle"
	"github.com/fulmarloft/fulmarloft/pkg/code"
	"github.com/fulmarloft/fulmarloft/pkg/pool"
)

// Fleet is one process's part in running the fleet; every process ticks one, and the holder of the lease takes the steps.
type Fleet struct {
	name   string
	ck     *clock.Clock
	tab    *fleettable.Table
	list   func(context.Context) (*platformpb.VMList, error)
	act    func(context.Context, *platformpb.VMAction) (*platformpb.VMActionReply, error)
	config func() *bundle.Bundle
	held   func(lease string) bool

	suspect func(vm string) bool
	busy    func(ctx context.Context, vm string) (bool, error)
	assign  func(seen *platformpb.VM, pools []pool.Pool, members map[string]int) string
	leaving func(incarnation string)
	members func(pool string, registered bool, vms []*platformpb.VM)
	log     *event.Log
	reg     *metric.Registry

	mu     sync.Mutex
	next   int
	found  int64
	others []pool.Pool
	reads  *presence.Presence
	pools  map[string]*membership.Membership
	loaded map[string]*membership.Membership
	placed map[string]string
	waits  map[string]string
}

// Limits of time in a VM's life, and of the work of one tick.
const (
	listMaxAgeMS  = 30_000
	clockMarginMS = 1_000
	leaveMS       = 3_000
	lateMS        = 15 * 60_000
	lostMS        = 60 * 60_000
	settleMS      = 60_000
	forgetMS      = 24 * 3600_000
	discoverMS    = 10 * 60_000
	poolsPerTick  = 16
	stepsPerPool  = 4
	registerBatch = 32
)

// Names of the leases under which VMs are registered, and under which the pools of a shard are driven.
const (
	registerLease = "fleet/register"
	shardLease    = "fleet/shard-"
	shards        = 4
)

// New returns a fleet driver for the named process; held tells right before each effect whether the process holds a lease.
func New(
	name string,
	ck *clock.Clock,
	tab *fleettable.Table,
	list func(context.Context) (*platformpb.VMList, error),
	act func(context.Context, *platformpb.VMAction) (*platformpb.VMActionReply, error),
	config func() *bundle.Bundle,
	held func(lease string) bool,
) *Fleet {
	return &Fleet{
		name:    name,
		ck:      ck,
		tab:     tab,
		list:    list,
		act:     act,
		config:  config,
		held:    held,
		suspect: func(string) bool { return false },
		busy:    func(context.Context, string) (bool, error) { return false, nil },
		assign:  assignByList,
		leaving: func(string) {},
		members: func(string, bool, []*platformpb.VM) {},
		log:     event.Discard(),
		reg:     metric.New(),
		pools:   map[string]*membership.Membership{},
		loaded:  map[string]*membership.Membership{},
		placed:  map[string]string{},
		waits:   map[string]string{},
	}
}

// SetLog gives the log and the registry that events and metrics go to.
func (fl *Fleet) SetLog(lg *event.Log, reg *metric.Registry) { fl.log, fl.reg = lg, reg }

// OnLeaving gives the function that hears, also repeatedly, which incarnations must get no more work.
func (fl *Fleet) OnLeaving(fn func(incarnation string)) { fl.leaving = fn }

// OnMembers gives the function that hears whether a pool has rows yet and which of its listed VMs take work.
func (fl *Fleet) OnMembers(fn func(pool string, registered bool, vms []*platformpb.VM)) {
	fl.members = fn
}

// SetSuspect gives the function that names VMs which this process knows to fail.
func (fl *Fleet) SetSuspect(fn func(vm string) bool) { fl.suspect = fn }

// SetBusy gives the function that tells whether work is still placed on a VM.
func (fl *Fleet) SetBusy(fn func(ctx context.Context, vm string) (bool, error)) { fl.busy = fn }

// SetAssign gives the function that names the pool of a VM which the table doesn't know.
func (fl *Fleet) SetAssign(fn func(seen *platformpb.VM, pools []pool.Pool, members map[string]int) string) {
	fl.assign = fn
}

// Tick reads the list and the next pools in turn, reports them, and takes the steps that are due when this process holds the lease.
func (fl *Fleet) Tick(ctx context.Context) {
	if fl.config() == nil {
		return
	}
	list, err := fl.list(ctx)
	if err != nil {
		fl.fail("vm-list-unread", err)
		return
	}
	pr := presence.New(list, fl.ck.Now(), listMaxAgeMS, fl.suspect)
	fl.mu.Lock()
	fl.reads = pr
	fl.mu.Unlock()
	if err := fl.discover(ctx); err != nil {
		fl.fail("pools-unread", err)
		return
	}
	batch := fl.turn()
	if err := fl.refresh(ctx, pr, batch); err != nil {
		fl.fail("pools-unread", err)
		return
	}
	if fl.held(registerLease) {
		fl.register(ctx, pr, list)
	}
	for _, pl := range batch {
		if fl.held(leaseOf(pl.Name())) {
			fl.drivePool(ctx, pr, pl)
		}
	}
	fl.driveWaves(ctx, pr, batch)
}

// discover finds, at the start and from time to time, pools that hold VMs and that the bundle in force doesn't name; they are driven without room for any VM to be taken.
func (fl *Fleet) discover(ctx context.Context) error {
	now := fl.ck.Now()
	if fl.found != 0 && now-fl.found < discoverMS {
		return nil
	}
	pools, err := fl.tab.AllPools(ctx)
	if err != nil {
		return err
	}
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.found = now
	fl.others = nil
	for _, mb := range pools {
		if _, err := fl.pool(mb.Name()); err != nil && len(mb.RowNames()) > 0 {
			fl.others = append(fl.others, pool.New(mb.Name(), 0, 0, false))
		}
	}
	return nil
}

// turn returns the pools that are due in this tick.
func (fl *Fleet) turn() []pool.Pool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	all := append(slices.Clone(fl.config().Pools()), fl.others...)
	batch := make([]pool.Pool, 0, poolsPerTick)
	for range min(poolsPerTick, len(all)) {
		batch = append(batch, all[fl.next%len(all)])
		fl.next = (fl.next + 1) % len(all)
	}
	return batch
}

// refresh reads the rows of the pools and reports which of their VMs take work.
func (fl *Fleet) refresh(ctx context.Context, pr *presence.Presence, batch []pool.Pool) error {
	names := make([]string, 0, len(batch))
	for _, pl := range batch {
		names = append(names, pl.Name())
	}
	pools, err := fl.tab.Pools(ctx, names)
	if err != nil {
		return err
	}
	for _, mb := range pools {
		fl.note(mb)
		fl.members(mb.Name(), len(mb.RowNames()) > 0, serving(mb, pr))
		fl.reg.Set(int64(len(mb.Members())), "pool", mb.Name(), "members")
		fl.reg.Set(int64(len(mb.Away())), "pool", mb.Name(), "away")
	}
	return nil
}

// note remembers a pool as read, so that its VMs are known by name.
func (fl *Fleet) note(mb *membership.Membership) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if old := fl.pools[mb.Name()]; old != nil {
		for _, name := range old.RowNames() {
			if fl.placed[name] == mb.Name() {
				delete(fl.placed, name)
			}
		}
	}
	fl.pools[mb.Name()] = mb
	for _, name := range mb.RowNames() {
		fl.placed[name] = mb.Name()
	}
}

// load returns a pool with its VMs; the last reading is good while the pool's row is unchanged, because each step of a VM writes that row too.
func (fl *Fleet) load(ctx context.Context, pool string) (*membership.Membership, error) {
	fl.mu.Lock()
	row, full := fl.pools[pool], fl.loaded[pool]
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
	fl.note(mb)
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.loaded[pool] = mb
	return mb, nil
}

// unload drops the last readings of a pool, so that it is read again before the next decision.
func (fl *Fleet) unload(pool string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	delete(fl.loaded, pool)
}

// presence returns the last reading of the list, or NotYetKept before the first one.
func (fl *Fleet) presence() (*presence.Presence, error) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if fl.reads == nil {
		return nil, code.NotYetKept.New("the list of VMs wasn't read yet")
	}
	return fl.reads, nil
}

// pool returns the pool of that name in the bundle in force.
func (fl *Fleet) pool(name string) (pool.Pool, error) {
	for _, pl := range fl.config().Pools() {
		if pl.Name() == name {
			return pl, nil
		}
	}
	return pool.Pool{}, code.Conflict.New("pool %s isn't in the bundle", name)
}

// commitID returns the operation id of the write of one step by this process.
func (fl *Fleet) commitID(next *vm.VM) string {
	return "vm-" + next.Name() + "-" + strconv.FormatUint(next.Epoch(), 10) + "-" + vm.StateName(next.State()) + "-" + next.Operation() + "-" + fl.name
}

func (fl *Fleet) fail(name string, err error, pairs ...any) {
	fl.reg.Count(1, "fleet", name)
	fl.log.Fail(name, err, pairs...)
}

func serving(mb *membership.Membership, pr *presence.Presence) []*platformpb.VM {
	away := map[string]bool{}
	for _, name := range mb.Away() {
		away[name] = true
	}
	var vms []*platformpb.VM
	for _, name := range mb.Members() {
		if seen := pr.Listed(name); seen != nil && !seen.GetLeaving() && !away[name] {
			vms = append(vms, seen)
		}
	}
	return vms
}

// leaseOf returns the lease under which the pool is driven.
func leaseOf(pool string) string {
	return shardLease + strconv.FormatUint(xxhash.Sum64String(pool)%shards, 10)
}
