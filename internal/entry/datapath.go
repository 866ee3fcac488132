package entry

import (
	"context"
	"hash/fnv"
	"sync"
	"sync/atomic"

	"github.com/fulmarloft/fulmarloft/internal/machines/leaving"
	"github.com/fulmarloft/fulmarloft/internal/observability/logsample"
	"github.com/fulmarloft/fulmarloft/internal/pb/callpb"
	"github.com/fulmarloft/fulmarloft/internal/pb/leavingpb"
	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/request/caller"
	"github.com/fulmarloft/fulmarloft/internal/request/dispatch"
	"github.com/fulmarloft/fulmarloft/internal/request/drain"
	"github.com/fulmarloft/fulmarloft/internal/request/endpoint"
	"github.com/fulmarloft/fulmarloft/internal/request/picker"
	"github.com/fulmarloft/fulmarloft/pkg/bundle"
	"github.com/fulmarloft/fulmarloft/pkg/code"
	"github.com/fulmarloft/fulmarloft/pkg/service"
)

const (
	endpointsIntervalMS = 200
	// endpointSlots is the number of requests that an endpoint runs at a time.
	endpointSlots = 8
	// endpointConns is the number of connections that all entries together may open to an endpoint.
	endpointConns      = 64
	leavingRetentionMS = 3_600_000
	loggedPerSecond    = 5
	anonymousShare     = 1
	// Connections of callers that read an answer too slowly are closed before this timeout.
	shutdownTimeoutMS = 35_000
)

// dataPathPart queues requests and sends them to endpoints.
type dataPathPart struct {
	ex       *endpoint.Exchanger
	drain    *drain.Drain
	leaving  *leaving.Set
	dispatch dispatchFunc
	// leavingGeneration is the generation of the VM list that the leaving VMs were last updated from.
	leavingGeneration uint64
	// slots returns how many slots of an endpoint this entry may currently use.
	slots func(vm *platformpb.VM) int
	// announce tells the other entries which VMs have started to leave.
	announce func(added []*leavingpb.Leaving)

	// blocked is set when a request waits only because its team has no free unit.
	blocked atomic.Bool
	// zoneSlots is an equal part of an endpoint's slots among the zone's entries, at least 1.
	zoneSlots atomic.Int64
	shares    atomic.Pointer[shareTable]

	mu          sync.RWMutex
	pickers     map[string]*picker.Picker
	dispatchers map[serviceKey]*dispatch.Dispatcher
}

// serviceKey identifies a queue: a service in one pool. A service that moves to another pool gets a new queue.
type serviceKey struct {
	name, pool string
}

// shareTable caches the teams' weights of one bundle.
type shareTable struct {
	bd     *bundle.Bundle
	weight map[string]int
}

func (pt *dataPathPart) closing() bool { return pt.drain.Closing() }

func (en *Entry) wireDataPath() error {
	pt := &en.dataPath
	pt.drain = drain.New(en.ck)
	pt.ex = endpoint.New(en.ck, en.connsPerEndpoint)
	pt.dispatch = en.dispatch
	pt.slots = en.slotAllocation
	pt.zoneSlots.Store(1)
	pt.announce = en.announceLeaving
	pt.leaving = leaving.New(en.ck, leavingRetentionMS, func(added []*leavingpb.Leaving) { pt.announce(added) })
	pt.pickers = map[string]*picker.Picker{}
	pt.dispatchers = map[serviceKey]*dispatch.Dispatcher{}
	sv := &caller.Server{
		Clock: en.ck, Log: en.lg, Metric: en.mt, Sample: logsample.New(en.ck, loggedPerSecond),
		Bundle: en.Bundle, Authenticate: en.authenticate, CheckKeyed: en.checkKeyed,
		Enter: pt.drain.Enter, Leave: pt.drain.Leave, Closing: pt.closing, Call: en.requests.rt.Call, NewID: en.requests.rt.SingleUseID,
	}
	sv.Routes(en.callers)
	en.every(endpointsIntervalMS, "endpoints", en.refreshEndpoints)
	return nil
}

// dispatch passes the request to the queue of its service and returns the answer.
func (en *Entry) dispatch(ctx context.Context, req *callpb.Request) *callpb.Answer {
	dp := en.dispatcher(req.GetService())
	if dp == nil {
		return refusedAnswer(req, code.ServiceUnknown, 0)
	}
	return dp.Do(ctx, req)
}

// refreshEndpoints updates the pickers from the VM list and closes idle connections.
func (en *Entry) refreshEndpoints(context.Context) error {
	en.updateLeaving()
	en.dataPath.zoneSlots.Store(int64(max(endpointSlots/max(en.countZoneEntries(), 1), 1)))
	en.dropUnusedQueues()
	en.dataPath.mu.RLock()
	defer en.dataPath.mu.RUnlock()
	for pool, pk := range en.dataPath.pickers {
		pk.Set(en.endpoints(pool))
		en.mt.Set(int64(pk.Ejected()), "pool", pool, "ejected")
	}
	for key, dp := range en.dataPath.dispatchers {
		en.mt.Set(int64(dp.Waiting()), "service", key.name, "waiting")
	}
	en.dataPath.ex.Sweep()
	return nil
}

// dropUnusedQueues removes the empty queues of services that were removed from the bundle or moved to another pool.
func (en *Entry) dropUnusedQueues() {
	if en.Bundle() == nil {
		return
	}
	en.dataPath.mu.Lock()
	defer en.dataPath.mu.Unlock()
	for key, dp := range en.dataPath.dispatchers {
		if en.service(key.name).Pool() != key.pool && dp.Waiting() == 0 {
			delete(en.dataPath.dispatchers, key)
		}
	}
}

// MarkLeaving stops new work for VM incarnations that are leaving according to a maintenance step or another entry, even if the VM list doesn't say so.
func (en *Entry) MarkLeaving(incarnations ...string) { en.dataPath.leaving.Mark(incarnations...) }

// updateLeaving marks the VMs that a new VM list shows as leaving.
func (en *Entry) updateLeaving() {
	generation := en.vms.Generation()
	if generation == en.dataPath.leavingGeneration {
		return
	}
	en.dataPath.leavingGeneration = generation
	var all, marked []string
	for _, vm := range en.vms.List().GetVms() {
		all = append(all, vm.GetIncarnation())
		if vm.GetLeaving() {
			marked = append(marked, vm.GetIncarnation())
		}
	}
	en.dataPath.leaving.Mark(marked...)
	en.dataPath.leaving.RefreshListed(all...)
}

// dispatcher returns the queue of a service and creates it if needed; it returns nil if the bundle has no such service.
func (en *Entry) dispatcher(name string) *dispatch.Dispatcher {
	svc := en.service(name)
	if svc.Name() == "" {
		return nil
	}
	key := serviceKey{name: name, pool: svc.Pool()}
	en.dataPath.mu.RLock()
	dp := en.dataPath.dispatchers[key]
	en.dataPath.mu.RUnlock()
	if dp != nil {
		return dp
	}
	en.dataPath.mu.Lock()
	defer en.dataPath.mu.Unlock()
	if dp := en.dataPath.dispatchers[key]; dp != nil {
		return dp
	}
	dp = en.newDispatcher(svc)
	en.dataPath.dispatchers[key] = dp
	return dp
}

func (en *Entry) newDispatcher(svc service.Service) *dispatch.Dispatcher {
	name := svc.Name()
	dp := dispatch.New(en.ck, en.picker(svc.Pool()), en.share, en.localLimit)
	dp.Service = func() service.Service { return en.service(name) }
	dp.Exchange = en.dataPath.ex.Do
	dp.ReportUnresponsive = func(address string, sinceMS int64) {
		if cnt := en.dataPath.ex.ReportUnresponsive(address, sinceMS); cnt > 0 {
			en.mt.Count(int64(cnt), "connections", "retired")
		}
	}
	dp.AcquireUnit = en.acquireUnit
	dp.Count = func(what string) { en.mt.Count(1, "service", name, what) }
	return dp
}

// picker returns the picker of a pool; the caller must hold the lock.
func (en *Entry) picker(pool string) *picker.Picker {
	if pk := en.dataPath.pickers[pool]; pk != nil {
		return pk
	}
	seed := fnv.New64a()
	_, _ = seed.Write([]byte(en.incarnation + pool))
	pk := picker.New(en.ck, en.st.Zone(), seed.Sum64(), en.dataPath.slots, en.dataPath.leaving.Has)
	pk.OnChange(en.lg.Info)
	pk.Set(en.endpoints(pool))
	en.dataPath.pickers[pool] = pk
	return pk
}

// wakeAll makes every queue check for free slots and units.
func (en *Entry) wakeAll() {
	en.dataPath.mu.RLock()
	defer en.dataPath.mu.RUnlock()
	for _, dp := range en.dataPath.dispatchers {
		dp.Wake()
	}
}

// share returns a team's weight in the queues; all callers without a key together count as one team of the smallest weight.
func (en *Entry) share(team string) int {
	if team == "" {
		return anonymousShare
	}
	bd := en.Bundle()
	st := en.dataPath.shares.Load()
	if st == nil || st.bd != bd {
		st = newShareTable(bd)
		en.dataPath.shares.Store(st)
	}
	return st.weight[team]
}

func newShareTable(bd *bundle.Bundle) *shareTable {
	st := &shareTable{bd: bd, weight: map[string]int{}}
	for _, tm := range bd.Teams() {
		st.weight[tm.Name()] = tm.Share()
	}
	return st
}

// service returns a service of the bundle, or the zero Service if there is none of that name.
func (en *Entry) service(name string) service.Service {
	for _, svc := range en.Bundle().Services() {
		if svc.Name() == name {
			return svc
		}
	}
	return service.Service{}
}

// countZoneEntries returns the number of entry VMs of this zone that aren't leaving.
func (en *Entry) countZoneEntries() int {
	cnt := 0
	for _, vm := range en.vms.Kind(kindEntry) {
		if vm.GetZone() == en.st.Zone() && !vm.GetLeaving() {
			cnt++
		}
	}
	return cnt
}

// connsPerEndpoint returns this entry's equal part of the connections that an endpoint accepts, at least 1.
func (en *Entry) connsPerEndpoint() int {
	return max(endpointConns/max(en.countEntries(), 1), 1)
}

// drainCallers reports not ready until the load balancer has noticed, then refuses new requests, waits for those in flight and sends their answers.
func (en *Entry) drainCallers(ctx context.Context) {
	waitMS := int64(0)
	if bd := en.Bundle(); bd != nil {
		waitMS = bd.BalancerWaitMS()
	}
	en.lg.Info("drain-started", "name", en.st.Name(), "balancer-wait-ms", waitMS, "in-flight", en.dataPath.drain.InFlight())
	if err := en.dataPath.drain.Run(ctx, waitMS); err != nil {
		en.lg.Fail("drain-cut-short", err, "name", en.st.Name(), "in-flight", en.dataPath.drain.InFlight())
	}
	en.drainLimits(ctx)
	if en.srv.caller != nil {
		sctx, cancel := en.ck.WithTimeout(ctx, shutdownTimeoutMS)
		if err := en.srv.caller.Shutdown(sctx); err != nil {
			en.lg.Fail("callers-cut-off", err, "name", en.st.Name())
		}
		cancel()
	}
	en.dataPath.ex.Close()
}
