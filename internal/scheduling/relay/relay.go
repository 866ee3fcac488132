package relay

import (
	"context"
	"sort"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/observability/event"
	"github.com/fulmarloft/fulmarloft/internal/pb/relaypb"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/taskname"
)

// Relay passes calls to VMs on to entries in the VM's availability zone; it is safe for concurrent use.
type Relay struct {
	ck *clock.Clock
	lg *event.Log
	// linkBytesPerS is the rate of this entry's own link.
	linkBytesPerS int64
	// Dial opens a stream to the entry at an address.
	Dial func(ctx context.Context, address string) (relaypb.DRPCRelay_CarryClient, error)
	// Order and Poll call a VM directly.
	Order func(ctx context.Context, od *workpb.Order) *workpb.Outcome
	Poll  func(ctx context.Context, lr *workpb.LookRequest) (*workpb.Look, workpb.Verdict)

	mu    sync.Mutex
	links map[string]*link
	// withPayloads is set while this entry's link suffices to pass starts on with their payload, which the other entry would have to read from the store.
	withPayloads bool
	// zones holds the links of each availability zone, in the order of preference.
	zones map[string][]*link
}

const (
	// minBytesPerVM is the rate that the link must offer for each VM for this entry to make all calls itself: orders, polls and their answers take a few kilobytes a second on a busy VM.
	minBytesPerVM = 16_000
	// linksPerZone is the number of entries of a zone that carry calls.
	linksPerZone = 4
	// orderTimeoutMS and pollMarginMS exceed the timeouts of the calls that the other entry makes, by the time to pass them on.
	orderTimeoutMS = 450
	pollMarginMS   = 500
)

// New returns a relay that makes all calls directly until Update names other entries; linkBytesPerS is the rate of this entry's link, 0 if it is unknown.
func New(ck *clock.Clock, lg *event.Log, linkBytesPerS int64) *Relay {
	return &Relay{ck: ck, lg: lg, linkBytesPerS: linkBytesPerS, links: map[string]*link{}, zones: map[string][]*link{}}
}

// LinkLimited reports whether a fleet of so many VMs needs more than this entry's own link.
func (re *Relay) LinkLimited(vms int) bool {
	return re.linkBytesPerS > 0 && int64(vms)*minBytesPerVM > re.linkBytesPerS
}

// Update sets the entries that may carry calls, with their availability zones by address; links to other entries are closed. With withPayloads set, starts are passed on with their payload.
func (re *Relay) Update(zoneOf map[string]string, withPayloads bool) {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.withPayloads = withPayloads
	byZone := map[string][]string{}
	for address, zone := range zoneOf {
		byZone[zone] = append(byZone[zone], address)
	}
	chosen := map[string]*link{}
	re.zones = map[string][]*link{}
	for zone, addresses := range byZone {
		sort.Strings(addresses)
		for _, address := range addresses[:min(len(addresses), linksPerZone)] {
			lk, ok := re.links[address]
			if !ok {
				lk = newLink(re, address)
			}
			chosen[address] = lk
			re.zones[zone] = append(re.zones[zone], lk)
		}
	}
	for address, lk := range re.links {
		if chosen[address] == nil {
			lk.close()
		}
	}
	re.links = chosen
}

// Ready reports whether an entry of each zone that Update named carries calls, and begins to open the links that aren't open; without such zones it returns false.
func (re *Relay) Ready() bool {
	re.mu.Lock()
	defer re.mu.Unlock()
	all := len(re.zones) > 0
	for _, links := range re.zones {
		open := 0
		for _, lk := range links {
			if lk.ready() {
				open++
			}
		}
		all = all && open > 0
	}
	return all
}

// callOf returns the call that passes an order on.
func (re *Relay) callOf(od *workpb.Order) *relaypb.Call {
	re.mu.Lock()
	defer re.mu.Unlock()
	if re.withPayloads {
		return &relaypb.Call{Order: od}
	}
	return shortCall(od)
}

// linkTo returns the link that carries the calls to a VM, or nil if they must be made directly. A VM's calls take the same link as long as it is up, so that few connections to VMs are needed.
func (re *Relay) linkTo(vm, zone string) *link {
	re.mu.Lock()
	defer re.mu.Unlock()
	var best *link
	var bestHash uint64
	for _, lk := range re.zones[zone] {
		if !lk.ready() {
			continue
		}
		if hash := pairHash(vm, lk.address); best == nil || hash > bestHash {
			best, bestHash = lk, hash
		}
	}
	return best
}

// SendOrder sends an order to a VM. Where this entry's link is short, orders that start a run are passed on without their payload, which the other entry reads from the store. An order that the other entry certainly didn't send is sent directly, since the fault may be that entry's. No call is sent on once this entry doesn't wait for it any more.
func (re *Relay) SendOrder(ctx context.Context, od *workpb.Order) *workpb.Outcome {
	lk := re.linkTo(od.GetVm(), od.GetZone())
	if lk == nil {
		return re.Order(ctx, od)
	}
	latestMS, ok := lk.latestMS(orderTimeoutMS)
	if !ok && od.GetVerb() == workpb.Verb_START {
		return re.Order(ctx, od)
	}
	ca := re.callOf(od)
	ca.LatestMs = latestMS
	limited, cancel := re.ck.WithTimeout(ctx, orderTimeoutMS)
	defer cancel()
	rs, outcome := lk.call(limited, ca)
	switch {
	case outcome == notSent || (outcome == answered && rs.GetVerdict() == workpb.Verdict_NOT_SENT):
		return re.Order(ctx, od)
	case outcome == answered:
		return &workpb.Outcome{Verdict: rs.GetVerdict(), ClockMs: rs.GetVmClockMs()}
	default:
		return &workpb.Outcome{Verdict: workpb.Verdict_IN_DOUBT}
	}
}

// shortCall returns the call that passes an order on without the payload of a start if the name of its job is known.
func shortCall(od *workpb.Order) *relaypb.Call {
	nm, err := taskname.Parse(od.GetTask())
	if err != nil || od.GetVerb() != workpb.Verb_START {
		return &relaypb.Call{Order: od}
	}
	short := proto.Clone(od).(*workpb.Order)
	short.Payload = ""
	return &relaypb.Call{Order: short, Job: nm.Job()}
}

// SendPoll polls a VM. A poll without an answer, or whose answer lacks the VM's lists, is repeated directly, since the fault may be the other entry's.
func (re *Relay) SendPoll(ctx context.Context, lr *workpb.LookRequest) (*workpb.Look, workpb.Verdict) {
	lk := re.linkTo(lr.GetVm(), lr.GetZone())
	if lk == nil {
		return re.Poll(ctx, lr)
	}
	timeoutMS := lr.GetWaitMs() + pollMarginMS
	latestMS, _ := lk.latestMS(timeoutMS)
	limited, cancel := re.ck.WithTimeout(ctx, timeoutMS)
	defer cancel()
	rs, outcome := lk.call(limited, &relaypb.Call{Poll: lr, LatestMs: latestMS})
	if outcome == answered && (rs.GetLook() != nil || rs.GetVerdict() != workpb.Verdict_ACCEPTED) {
		return rs.GetLook(), rs.GetVerdict()
	}
	if ctx.Err() != nil {
		return nil, workpb.Verdict_IN_DOUBT
	}
	repeated := proto.Clone(lr).(*workpb.LookRequest)
	repeated.WaitMs = 0
	return re.Poll(ctx, repeated)
}
