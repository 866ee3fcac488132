package entry

import (
	"context"
	"maps"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/limits/slot"
	"github.com/fulmarloft/fulmarloft/internal/pb/configpb"
	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/pb/slotpb"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

const (
	slotsExchangeIntervalMS = 100
	slotsResendIntervalMS   = 400
	slotsCallTimeoutMS      = 500
	// slotsProbeIntervalMS is how long each endpoint in turn may get one request above the allocation.
	slotsProbeIntervalMS = 20
	// slotsInOtherZones is the number of slots used at each endpoint of another zone.
	slotsInOtherZones = 1
)

// slotsPart divides the slots of the zone's endpoints among the zone's entries.
type slotsPart struct {
	allocator *slot.Allocator

	mu sync.RWMutex
	// positions holds the zone's endpoints by VM name.
	positions map[string]position
	// queued holds the pools for which requests wait at this entry.
	queued map[string]bool

	// sent holds the last demands sent, sentMS when that was.
	sent   *slotpb.Demands
	sentMS int64
}

// position is an endpoint's index among the endpoints of its pool in this zone.
type position struct {
	pool         string
	index, count int
}

func (en *Entry) wireSlots() error {
	sp := &en.slots
	sp.allocator = slot.New(en.ck, en.incarnation)
	sp.positions = map[string]position{}
	sp.queued = map[string]bool{}
	if err := slotpb.DRPCRegisterSlot(en.cluster.pr.Mux(), en); err != nil {
		return code.Internal.Wrap(err)
	}
	en.every(slotsExchangeIntervalMS, "slots", en.exchangeSlots)
	return nil
}

// Exchange records another entry's demands and returns this entry's; the other entries of the zone call it.
func (en *Entry) Exchange(_ context.Context, req *slotpb.Demands) (*slotpb.Demands, error) {
	en.slots.recordDemands(req)
	return en.slotDemands(), nil
}

// exchangeSlots updates this entry's demands and sends them to the zone's other entries if they have changed or slotsResendIntervalMS has passed. An entry that sends no demands loses its allocation after a while.
func (en *Entry) exchangeSlots(ctx context.Context) error {
	if en.Bundle() == nil {
		return nil
	}
	en.updateSlotDemand()
	msg := en.slotDemands()
	if !en.slots.sendDue(msg, en.ck.Now()) {
		return nil
	}
	ctx, cancel := en.ck.WithTimeout(ctx, slotsCallTimeoutMS)
	defer cancel()
	var wg sync.WaitGroup
	for _, mb := range en.zonePeers() {
		wg.Go(func() {
			cl := slotpb.NewDRPCSlotClient(en.peerConn(mb.GetPeerAddress()))
			if rep, err := cl.Exchange(ctx, msg); err == nil {
				en.slots.recordDemands(rep)
			}
		})
	}
	wg.Wait()
	en.wakeAll()
	return nil
}

// zonePeers returns the other registered entries of this zone that haven't ended.
func (en *Entry) zonePeers() []*configpb.Member {
	var list []*configpb.Member
	for _, mb := range en.cluster.ag.Voter().Roster().Members() {
		if mb.GetZone() == en.st.Zone() && mb.GetIncarnation() != en.incarnation && !en.vmGone(mb.GetIncarnation()) {
			list = append(list, mb)
		}
	}
	return list
}

// slotDemands returns this entry's demands as a message to the zone's other entries.
func (en *Entry) slotDemands() *slotpb.Demands {
	msg := &slotpb.Demands{Incarnation: en.incarnation, Leaving: en.ctx.Err() != nil}
	own := en.slots.allocator.Own()
	for _, name := range slices.Sorted(maps.Keys(own)) {
		if own[name] > 0 {
			msg.Demands = append(msg.Demands, &slotpb.Demand{Pool: name, Requests: uint32(own[name])})
		}
	}
	return msg
}

// updateSlotDemand counts this entry's demand per pool and recomputes the positions of the zone's endpoints.
func (en *Entry) updateSlotDemand() {
	positions := map[string]position{}
	queued := map[string]bool{}
	for _, pl := range en.Bundle().Pools() {
		if pl.IsWorkerPool() {
			continue
		}
		var names []string
		for _, vm := range en.endpoints(pl.Name()) {
			if vm.GetZone() == en.st.Zone() {
				names = append(names, vm.GetName())
			}
		}
		slices.Sort(names)
		for i, name := range names {
			positions[name] = position{pl.Name(), i, len(names)}
		}
		dm := en.poolDemand(pl)
		queued[pl.Name()] = dm.GetQueued() > 0
		en.slots.allocator.SetOwn(pl.Name(), float64(dm.GetQueued()+dm.GetBusy()))
	}
	en.slots.mu.Lock()
	defer en.slots.mu.Unlock()
	en.slots.positions, en.slots.queued = positions, queued
}

// slotAllocation returns how many slots of an endpoint this entry may currently use: in its own zone its allocation, plus one while requests wait, at one endpoint at a time in rotation; in other zones slotsInOtherZones.
func (en *Entry) slotAllocation(vm *platformpb.VM) int {
	if vm.GetZone() != en.st.Zone() {
		return slotsInOtherZones
	}
	sp := &en.slots
	sp.mu.RLock()
	pos, ok := sp.positions[vm.GetName()]
	queued := sp.queued[pos.pool]
	sp.mu.RUnlock()
	if !ok {
		return 1
	}
	slots := sp.allocator.Allocation(pos.pool, pos.index, pos.count, endpointSlots)
	if queued && en.ck.Now()/slotsProbeIntervalMS%int64(pos.count) == int64(pos.index) {
		slots++
	}
	return min(slots, endpointSlots)
}

// sendDue reports whether the demands must be sent now, and records them as sent; it isn't safe for concurrent use.
func (sp *slotsPart) sendDue(msg *slotpb.Demands, nowMS int64) bool {
	if proto.Equal(msg, sp.sent) && nowMS < sp.sentMS+slotsResendIntervalMS {
		return false
	}
	sp.sent, sp.sentMS = msg, nowMS
	return true
}

// recordDemands records another entry's demands, or removes the entry if it is leaving.
func (sp *slotsPart) recordDemands(msg *slotpb.Demands) {
	if msg.GetLeaving() {
		sp.allocator.RemovePeer(msg.GetIncarnation())
		return
	}
	demand := make(map[string]float64, len(msg.GetDemands()))
	for _, dm := range msg.GetDemands() {
		demand[dm.GetPool()] = float64(dm.GetRequests())
	}
	sp.allocator.SetPeer(msg.GetIncarnation(), demand)
}
