package entry

import (
	"context"
	"hash/fnv"
	"sync"
	"sync/atomic"

	"github.com/fulmarloft/fulmarloft/internal/caller"
	"github.com/fulmarloft/fulmarloft/internal/callpb"
	"github.com/fulmarloft/fulmarloft/internal/dispatch"
	"github.com/fulmarloft/fulmarloft/internal/drain"
	"github.com/fulmarloft/fulmarloft/internal/endpoint"
	"github.com/fulmarloft/fulmarloft/internal/leaving"
	"github.com/fulmarloft/fulmarloft/internal/leavingpb"
	"github.com/fulmarloft/fulmarloft/internal/picker"
	"github.com/fulmarloft/fulmarloft/internal/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/sample"
	"github.com/fulmarloft/fulmarloft/pkg/bundle"
	"github.com/fulmarloft/fulmarloft/pkg/code"
	"github.com/fulmarloft/fulmarloft/pkg/service"
)

const (
	endpointPollMS   = 200
	endpointSlots    = 8
	endpointConns    = 64
	leavingKeepMS    = 3_600_000
	loggedEachSecond = 5
	openQueueShare   = 1
	// The slowest reader of an answer is cut off before that.
	shutdownMS = 35_000
)

// pathPart carries requests to endpoints.
type pathPart struct {
	ex       *endpoint.Exchanger
	drain    *drain.Drain
	leaving  *leaving.Set
	dispatch dispatchFunc
	// noted is the generation of the list of VMs that the leaving ones were taken from.
	noted uint64
	// slots returns how many slots of an endpoint this entry may use now.
	slots func(vm *platformpb.VM) int
	// tell passes on news of VMs that are leaving to the other entries.
	tell func(news []*leavingpb.Leaving)

	// blocked is set when a request waits only because its team's units are used up.
	blocked   atomic.Bool
	zoneSlots atomic.Int64
	shares    atomic.Pointer[shareTable]

	mu       sync.RWMutex
	pickers  map[string]*picker.Picker
	services map[serviceIn]*dispatch.Dispatcher
}

// serviceIn is a service in one pool; a service that moves to another pool gets a new queue.
type serviceIn struct {
	name, pool string
}

// shareTable holds the teams' weights of one bundle.
type shareTable struct {
	bd     *bundle.Bundle
	weight map[string]int
}

func (pt *pathPart) closing() bool { return pt.drain.Closing() }

func (en *Entry) wirePath() error {
	pt := &en.path
	pt.drain = drain.New(en.ck)
	pt.ex = endpoint.New(en.ck, en.connsPerEndpoint)
	pt.dispatch = en.dispatch
	pt.slots = en.partOfSlots
	pt.zoneSlots.Store(1)
	pt.tell = en.tellLeaving
	pt.leaving = leaving.New(en.ck, leavingKeepMS, func(news []*leavingpb.Leaving) { pt.tell(news) })
	pt.pickers = map[string]*picker.Picker{}
	pt.services = map[serviceIn]*dispatch.Dispatcher{}
	sv := &caller.Server{
		Clock: en.ck, Log: en.lg, Metric: en.mt, Sample: sample.New(en.ck, loggedEachSecond),
		Bundle: en.Bundle, Authenticate: en.authenticate, CheckKeyed: en.keyed,
		Enter: pt.drain.Enter, Leave: pt.drain.Leave, Closing: pt.closing, Call: en.requests.dk.Call, NewID: en.requests.dk.SingleUseID,
	}
	sv.Routes(en.callers)
	en.every(endpointPollMS, "endpoints", en.refreshEndpoints)
	return nil
}

// dispatch hands the request to the queue of its service.
func (en *Entry) dispatch(ctx context.Context, req *callpb.Request) *callpb.Answer {
	dp := en.dispatcher(req.GetService())
	if dp == nil {
		return refusal(req, code.ServiceUnknown, 0)
	}
	return dp.Do(ctx, req)
}

// refreshEndpoints brings the pickers up to date with the list of VMs and closes connections that are idle.
func (en *Entry) refreshEndpoints(context.Context) error {
	en.noteLeaving()
	en.path.zoneSlots.Store(int64(max(endpointSlots/max(en.zoneEntries(), 1), 1)))
	en.dropUnused()
	en.path.mu.RLock()
	defer en.path.mu.RUnlock()
	for pool, pk := range en.path.pickers {
		pk.Set(en.endpoints(pool))
		en.mt.Set(int64(pk.Ejected()), "pool", pool, "ejected")
	}
	for at, dp := range en.path.services {
		en.mt.Set(int64(dp.Waiting()), "service", at.name, "waiting")
	}
	en.path.ex.Sweep()
	return nil
}

// dropUnused forgets the queues of services that have left the bundle or moved to another pool, once they are empty.
func (en *Entry) dropUnused() {
	if en.Bundle() == nil {
		return
	}
	en.path.mu.Lock()
	defer en.path.mu.Unlock()
	for at, dp := range en.path.services {
		if en.service(at.name).Pool() != at.pool && dp.Waiting() == 0 {
			delete(en.path.services, at)
		}
	}
}

// MarkLeaving stops new work for VM incarnations that a step or another entry names as leaving, whatever the list says.
func (en *Entry) MarkLeaving(incarnations ...string) { en.path.leaving.Mark(incarnations...) }

// noteLeaving takes over from a new list which VMs are leaving.
func (en *Entry) noteLeaving() {
	generation := en.vms.Generation()
	if generation == en.path.noted {
		return
	}
	en.path.noted = generation
	var all, left []string
	for _, vm := range en.vms.List().GetVms() {
		all = append(all, vm.GetIncarnation())
		if vm.GetLeaving() {
			left = append(left, vm.GetIncarnation())
		}
	}
	en.path.leaving.Mark(left...)
	en.path.leaving.Listed(all...)
}

func (en *Entry) dispatcher(name string) *dispatch.Dispatcher {
	svc := en.service(name)
	if svc.Name() == "" {
		return nil
	}
	at := serviceIn{name: name, pool: svc.Pool()}
	en.path.mu.RLock()
	dp := en.path.services[at]
	en.path.mu.RUnlock()
	if dp != nil {
		return dp
	}
	en.path.mu.Lock()
	defer en.path.mu.Unlock()
	if dp := en.path.services[at]; dp != nil {
		return dp
	}
	dp = en.newDispatcher(svc)
	en.path.services[at] = dp
	return dp
}

func (en *Entry) newDispatcher(svc service.Service) *dispatch.Dispatcher {
	name := svc.Name()
	dp := dispatch.New(en.ck, en.picker(svc.Pool()), en.share, en.unitsHere)
	dp.Service = func() service.Service { return en.service(name) }
	dp.Exchange = en.path.ex.Do
	dp.ReportUnresponsive = func(address string, sinceMS int64) {
		if cnt := en.path.ex.ReportUnresponsive(address, sinceMS); cnt > 0 {
			en.mt.Count(int64(cnt), "connections", "retired")
		}
	}
	dp.AcquireUnit = en.takeUnit
	dp.Count = func(what string) { en.mt.Count(1, "service", name, what) }
	return dp
}

func (en *Entry) picker(pool string) *picker.Picker {
	if pk := en.path.pickers[pool]; pk != nil {
		return pk
	}
	seed := fnv.New64a()
	_, _ = seed.Write([]byte(en.incarnation + pool))
	pk := picker.New(en.ck, en.st.Zone(), seed.Sum64(), en.path.slots, en.path.leaving.Has)
	pk.OnChange(en.lg.Info)
	pk.Set(en.endpoints(pool))
	en.path.pickers[pool] = pk
	return pk
}

// wakeAll lets every queue look for free slots and units.
func (en *Entry) wakeAll() {
	en.path.mu.RLock()
	defer en.path.mu.RUnlock()
	for _, dp := range en.path.services {
		dp.Wake()
	}
}

// share returns a team's weight; callers without a key share one of the smallest weight.
func (en *Entry) share(team string) int {
	if team == "" {
		return openQueueShare
	}
	bd := en.Bundle()
	st := en.path.shares.Load()
	if st == nil || st.bd != bd {
		st = newShareTable(bd)
		en.path.shares.Store(st)
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

func (en *Entry) service(name string) service.Service {
	for _, svc := range en.Bundle().Services() {
		if svc.Name() == name {
			return svc
		}
	}
	return service.Service{}
}

func (en *Entry) zoneEntries() int {
	cnt := 0
	for _, vm := range en.vms.Kind(kindEntry) {
		if vm.GetZone() == en.st.Zone() && !vm.GetLeaving() {
			cnt++
		}
	}
	return cnt
}

// connsPerEndpoint divides an endpoint's connections among all entries.
func (en *Entry) connsPerEndpoint() int {
	return max(endpointConns/max(en.countEntries(), 1), 1)
}

// drainCallers goes not ready, waits for the balancer, refuses new work and lets what is in flight end and its answers leave.
func (en *Entry) drainCallers(ctx context.Context) {
	waitMS := int64(0)
	if bd := en.Bundle(); bd != nil {
		waitMS = bd.BalancerWaitMS()
	}
	en.lg.Info("drain-started", "name", en.st.Name(), "balancer-wait-ms", waitMS, "in-flight", en.path.drain.InFlight())
	_ = en.path.drain.Run(ctx, waitMS)
	en.drainLimits(ctx)
	if en.srv.caller != nil {
		sctx, cancel := en.ck.WithTimeout(ctx, shutdownMS)
		_ = en.srv.caller.Shutdown(sctx)
		cancel()
	}
	en.path.ex.Close()
}
