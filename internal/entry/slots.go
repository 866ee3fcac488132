package entry

import (
	"context"
	"maps"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/configpb"
	"github.com/fulmarloft/fulmarloft/internal/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/slot"
	"github.com/fulmarloft/fulmarloft/internal/slotpb"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

const (
	slotsExchangeMS = 100
	slotsRepeatMS   = 400
	slotsCallMS     = 500
	slotsProbeMS    = 20
	slotsForeign    = 1
)

// slotsPart divides the slots of the own zone's endpoints with the zone's other entries.
type slotsPart struct {
	shares *slot.Shares

	mu     sync.RWMutex
	places map[string]place
	queued map[string]bool

	sent   *slotpb.Demands
	sentMS int64
}

// place is where an endpoint stands among those of its pool and zone.
type place struct {
	pool         string
	index, count int
}

func (en *Entry) wireSlots() error {
	sp := &en.slots
	sp.shares = slot.New(en.ck, en.incarnation)
	sp.places = map[string]place{}
	sp.queued = map[string]bool{}
	if err := slotpb.DRPCRegisterSlot(en.agree.pr.Mux(), en); err != nil {
		return code.Internal.Wrap(err)
	}
	en.every(slotsExchangeMS, "slots", en.exchangeSlots)
	return nil
}

// Exchange hears another entry's demands and answers with this one's; it is called by the other entries of the zone.
func (en *Entry) Exchange(_ context.Context, req *slotpb.Demands) (*slotpb.Demands, error) {
	en.slots.hear(req)
	return en.demands(), nil
}

// exchangeSlots notes the own demands and, when they changed or some time has passed, sends them to each other entry of the zone; one that isn't heard loses its part after a while.
func (en *Entry) exchangeSlots(ctx context.Context) error {
	if en.Bundle() == nil {
		return nil
	}
	en.noteSlots()
	msg := en.demands()
	if !en.slots.due(msg, en.ck.Now()) {
		return nil
	}
	ctx, cancel := en.ck.WithTimeout(ctx, slotsCallMS)
	defer cancel()
	var wg sync.WaitGroup
	for _, mb := range en.zonePeers() {
		wg.Go(func() {
			cl := slotpb.NewDRPCSlotClient(en.peerConn(mb.GetPeerAddress()))
			if rep, err := cl.Exchange(ctx, msg); err == nil {
				en.slots.hear(rep)
			}
		})
	}
	wg.Wait()
	en.wakeAll()
	return nil
}

// zonePeers returns the registered entries of the own zone other than this one.
func (en *Entry) zonePeers() []*configpb.Member {
	var list []*configpb.Member
	for _, mb := range en.agree.ag.Voter().Roster().Members() {
		if mb.GetZone() == en.st.Zone() && mb.GetIncarnation() != en.incarnation && !en.gone(mb.GetIncarnation()) {
			list = append(list, mb)
		}
	}
	return list
}

func (en *Entry) demands() *slotpb.Demands {
	msg := &slotpb.Demands{Incarnation: en.incarnation, Leaving: en.ctx.Err() != nil}
	own := en.slots.shares.Own()
	for _, name := range slices.Sorted(maps.Keys(own)) {
		if own[name] > 0 {
			msg.Demands = append(msg.Demands, &slotpb.Demand{Pool: name, Requests: uint32(own[name])})
		}
	}
	return msg
}

// noteSlots counts the own demand per pool and places the zone's endpoints.
func (en *Entry) noteSlots() {
	places := map[string]place{}
	queued := map[string]bool{}
	for _, pl := range en.Bundle().Pools() {
		if pl.Workers() {
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
			places[name] = place{pl.Name(), i, len(names)}
		}
		dm := en.demand(pl)
		queued[pl.Name()] = dm.GetQueued() > 0
		en.slots.shares.SetOwn(pl.Name(), float64(dm.GetQueued()+dm.GetBusy()))
	}
	en.slots.mu.Lock()
	defer en.slots.mu.Unlock()
	en.slots.places, en.slots.queued = places, queued
}

// partOfSlots returns how many slots of an endpoint this entry may use now: its part in the own zone, one more at one endpoint at a time while requests wait, and one at endpoints of other zones.
func (en *Entry) partOfSlots(vm *platformpb.VM) int {
	if vm.GetZone() != en.st.Zone() {
		return slotsForeign
	}
	sp := &en.slots
	sp.mu.RLock()
	at, ok := sp.places[vm.GetName()]
	queued := sp.queued[at.pool]
	sp.mu.RUnlock()
	if !ok {
		return 1
	}
	part := sp.shares.Part(at.pool, at.index, at.count, endpointSlots)
	if queued && en.ck.Now()/slotsProbeMS%int64(at.count) == int64(at.index) {
		part++
	}
	return min(part, endpointSlots)
}

// due reports whether the demands are to be sent now; only the loop of exchangeSlots calls it.
func (sp *slotsPart) due(msg *slotpb.Demands, nowMS int64) bool {
	if proto.Equal(msg, sp.sent) && nowMS < sp.sentMS+slotsRepeatMS {
		return false
	}
	sp.sent, sp.sentMS = msg, nowMS
	return true
}

func (sp *slotsPart) hear(msg *slotpb.Demands) {
	if msg.GetLeaving() {
		sp.shares.Forget(msg.GetIncarnation())
		return
	}
	demand := make(map[string]float64, len(msg.GetDemands()))
	for _, dm := range msg.GetDemands() {
		demand[dm.GetPool()] = float64(dm.GetRequests())
	}
	sp.shares.Hear(msg.GetIncarnation(), demand)
}
