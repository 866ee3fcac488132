package relay_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"storj.io/drpc"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/observability/event"
	"github.com/fulmarloft/fulmarloft/internal/pb/relaypb"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/relay"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/relayserver"
)

var errStreamClosed = errors.New("stream closed")

// pipe is both ends of a stream between the owner and another entry.
type pipe struct {
	drpc.Stream
	ctx     context.Context
	calls   chan *relaypb.Call
	results chan *relaypb.Result
	// frozen pipes deliver nothing.
	frozen chan struct{}
	// receive holds up a call that reached the entry.
	receive func()
}

func (pi *pipe) Context() context.Context { return pi.ctx }

type ownerEnd struct{ *pipe }

func (oe ownerEnd) Send(ca *relaypb.Call) error {
	select {
	case oe.calls <- ca:
		return nil
	case <-oe.ctx.Done():
		return errStreamClosed
	}
}

func (oe ownerEnd) Recv() (*relaypb.Result, error) {
	select {
	case rs := <-oe.results:
		return rs, nil
	case <-oe.ctx.Done():
		return nil, errStreamClosed
	}
}

type entryEnd struct{ *pipe }

func (ee entryEnd) Send(rs *relaypb.Result) error {
	select {
	case ee.results <- rs:
		return nil
	case <-ee.ctx.Done():
		return errStreamClosed
	}
}

func (ee entryEnd) Recv() (*relaypb.Call, error) {
	select {
	case <-ee.frozen:
		<-ee.ctx.Done()
		return nil, errStreamClosed
	default:
	}
	select {
	case ca := <-ee.calls:
		ee.receive()
		return ca, nil
	case <-ee.ctx.Done():
		return nil, errStreamClosed
	}
}

// fleet is an owner with its relay, the other entries and the calls that VMs get.
type fleet struct {
	re *relay.Relay
	// entryClock is the clock of the other entries.
	entryClock *clock.Clock

	mu sync.Mutex
	// callers lists who made the calls to each VM, payloads what the starts carried.
	callers  map[string][]string
	payloads []string
	// down entries refuse connections; frozen ones accept calls and do nothing.
	down   map[string]bool
	frozen map[string]chan struct{}
	// receiveMS and payloadMS are how long entries take to receive a call and to read a payload.
	receiveMS atomic.Int64
	payloadMS atomic.Int64
	// storeAway entries can't read payloads.
	storeAway map[string]bool
	// withoutLists is set while the answers of other entries lack the lists of the VM.
	withoutLists bool
}

const (
	directCaller = "owner"
	vmLatency    = 5 * time.Millisecond
)

func newFleet(entryClock *clock.Clock, entries map[string]string) *fleet {
	fl := &fleet{entryClock: entryClock, callers: map[string][]string{}, down: map[string]bool{}, frozen: map[string]chan struct{}{}, storeAway: map[string]bool{}}
	for address := range entries {
		fl.frozen[address] = make(chan struct{})
	}
	fl.re = relay.New(clock.New(), event.Discard(), 250_000)
	fl.re.Order, fl.re.Poll = fl.orderFrom(directCaller), fl.pollFrom(directCaller)
	fl.re.Dial = fl.dial
	fl.re.Update(entries, false)
	return fl
}

func (fl *fleet) dial(ctx context.Context, address string) (relaypb.DRPCRelay_CarryClient, error) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if fl.down[address] {
		return nil, errStreamClosed
	}
	sv := relayserver.New(fl.entryClock, event.Discard())
	sv.Order, sv.Poll = fl.orderFrom(address), fl.pollFrom(address)
	sv.ReadPayload = func(_ context.Context, job string) (string, error) {
		fl.pause(&fl.payloadMS)
		return fl.readPayload(address, job)
	}
	pi := &pipe{ctx: ctx, calls: make(chan *relaypb.Call), results: make(chan *relaypb.Result), frozen: fl.frozen[address], receive: func() { fl.pause(&fl.receiveMS) }}
	go func() { _ = sv.Carry(entryEnd{pi}) }()
	return ownerEnd{pi}, nil
}

// pause lets time pass, also on a fake clock of the other entries.
func (fl *fleet) pause(ms *atomic.Int64) {
	time.Sleep(time.Duration(ms.Load()) * time.Millisecond)
	fl.entryClock.Advance(ms.Load())
}

func (fl *fleet) readPayload(address, job string) (string, error) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if fl.storeAway[address] {
		return "", errStreamClosed
	}
	return "payload of " + job, nil
}

func (fl *fleet) record(vm, caller string) {
	time.Sleep(vmLatency)
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.callers[vm] = append(fl.callers[vm], caller)
}

func (fl *fleet) orderFrom(caller string) func(context.Context, *workpb.Order) *workpb.Outcome {
	return func(_ context.Context, od *workpb.Order) *workpb.Outcome {
		fl.record(od.GetVm(), caller)
		fl.mu.Lock()
		defer fl.mu.Unlock()
		fl.payloads = append(fl.payloads, od.GetPayload())
		return &workpb.Outcome{Verdict: workpb.Verdict_ACCEPTED, ClockMs: vmClockMS}
	}
}

func (fl *fleet) pollFrom(caller string) func(context.Context, *workpb.LookRequest) (*workpb.Look, workpb.Verdict) {
	return func(_ context.Context, lr *workpb.LookRequest) (*workpb.Look, workpb.Verdict) {
		fl.record(lr.GetVm(), caller)
		if fl.withoutLists && caller != directCaller {
			return nil, workpb.Verdict_ACCEPTED
		}
		return &workpb.Look{ClockMs: vmClockMS}, workpb.Verdict_ACCEPTED
	}
}

// vmClockMS is the clock in the VMs' answers.
const vmClockMS = 7

func (fl *fleet) start(vm, zone string) workpb.Verdict { return fl.startOutcome(vm, zone).GetVerdict() }

func (fl *fleet) startOutcome(vm, zone string) *workpb.Outcome {
	return fl.re.SendOrder(context.Background(), &workpb.Order{
		Verb: workpb.Verb_START, Vm: vm, Zone: zone, Task: "00000000000000aa.0.0.0", Run: 1, Payload: "payload of 00000000000000aa",
	})
}

// The clock in a VM's answer tells which of its incarnations started a run, whoever made the call.
func TestOutcomeOfAStartHoldsTheClockOfItsVM(t *testing.T) {
	play(t, func(fl *fleet) {
		for _, zone := range []string{"b", "c"} {
			oc := fl.startOutcome("vm-"+zone, zone)
			qt.Check(t, oc.GetVerdict(), qt.Equals, workpb.Verdict_ACCEPTED)
			qt.Check(t, oc.GetClockMs(), qt.Equals, int64(vmClockMS))
		}
		qt.Check(t, fl.callers["vm-b"], qt.DeepEquals, []string{"b1"})
		qt.Check(t, fl.callers["vm-c"], qt.DeepEquals, []string{directCaller})
	})
}

// play runs a test under virtual time with two entries in zone a and one in zone b.
func play(t *testing.T, run func(fl *fleet)) { playWith(t, clock.New, run) }

// playWith is play with other entries whose clock is set.
func playWith(t *testing.T, newEntryClock func() *clock.Clock, run func(fl *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(newEntryClock(), map[string]string{"a1": "a", "a2": "a", "b1": "b"})
		// The first calls go directly, since links are opened when they are first needed.
		for _, zone := range []string{"a", "b"} {
			qt.Check(t, fl.start("vm-"+zone, zone), qt.Equals, workpb.Verdict_ACCEPTED)
		}
		time.Sleep(time.Second)
		fl.callers = map[string][]string{}
		run(fl)
		fl.re.Update(nil, false)
		time.Sleep(time.Minute)
	})
}

func TestCallsAreCarriedByOneEntryOfTheZone(t *testing.T) {
	play(t, func(fl *fleet) {
		for at := range 40 {
			vm, zone := fmt.Sprintf("vm-%d", at), string("ab"[at%2])
			qt.Check(t, fl.start(vm, zone), qt.Equals, workpb.Verdict_ACCEPTED)
			lk, vd := fl.re.SendPoll(context.Background(), &workpb.LookRequest{Vm: vm, Zone: zone})
			qt.Check(t, vd, qt.Equals, workpb.Verdict_ACCEPTED)
			qt.Check(t, lk.GetClockMs(), qt.Equals, int64(7))
			callers := fl.callers[vm]
			qt.Check(t, callers[0][:1], qt.Equals, zone)
			qt.Check(t, callers[0], qt.Equals, callers[1])
		}
		for _, text := range fl.payloads {
			qt.Check(t, text, qt.Equals, "payload of 00000000000000aa")
		}
	})
}

// A VM must be reached whatever happens to the entries that carry calls, and no order may be made twice.
func TestFaultsOfOtherEntries(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault func(fl *fleet)
		// maxInDoubt is how many orders may get no answer before the fault is noticed.
		maxInDoubt int
	}{
		{"entries removed", func(fl *fleet) { fl.re.Update(map[string]string{"b1": "b"}, false) }, 0},
		{"one entry left", func(fl *fleet) { fl.re.Update(map[string]string{"a2": "a"}, false) }, 0},
		{"entries frozen", func(fl *fleet) { close(fl.frozen["a1"]); close(fl.frozen["a2"]) }, 6},
	} {
		t.Run(tc.name, func(t *testing.T) {
			play(t, func(fl *fleet) {
				tc.fault(fl)
				begun := time.Now()
				_, vd := fl.re.SendPoll(context.Background(), &workpb.LookRequest{Vm: "polled", Zone: "a"})
				qt.Check(t, vd, qt.Equals, workpb.Verdict_ACCEPTED)
				qt.Check(t, time.Since(begun) < time.Second, qt.IsTrue, qt.Commentf("poll took %v", time.Since(begun)))
				inDoubt := 0
				for at := range 12 {
					vm := fmt.Sprintf("vm-%d", at)
					if fl.start(vm, "a") == workpb.Verdict_IN_DOUBT {
						inDoubt++
					}
					qt.Check(t, len(fl.callers[vm]) <= 1, qt.IsTrue)
				}
				qt.Check(t, inDoubt <= tc.maxInDoubt, qt.IsTrue, qt.Commentf("%d orders in doubt", inDoubt))
				qt.Check(t, fl.start("last", "a"), qt.Equals, workpb.Verdict_ACCEPTED)
			})
		})
	}
}

// The owner counts on a start being sent on soon or never.
func TestStartThatAnEntryHoldsUpIsNotSentOnLate(t *testing.T) {
	farBehind := func() *clock.Clock { return clock.NewFake(7) }
	for _, tc := range []struct {
		name       string
		entryClock func() *clock.Clock
		slowDown   func(fl *fleet, ms int64)
		ms         int64
		sentOn     bool
	}{
		{"received soon", clock.New, func(fl *fleet, ms int64) { fl.receiveMS.Store(ms) }, 300, true},
		{"received late", clock.New, func(fl *fleet, ms int64) { fl.receiveMS.Store(ms) }, 3000, false},
		{"payload read soon", clock.New, func(fl *fleet, ms int64) { fl.payloadMS.Store(ms) }, 300, true},
		{"payload read late", clock.New, func(fl *fleet, ms int64) { fl.payloadMS.Store(ms) }, 3000, false},
		{"received soon, clock far behind", farBehind, func(fl *fleet, ms int64) { fl.receiveMS.Store(ms) }, 300, true},
		{"received late, clock far behind", farBehind, func(fl *fleet, ms int64) { fl.receiveMS.Store(ms) }, 3000, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			playWith(t, tc.entryClock, func(fl *fleet) {
				tc.slowDown(fl, tc.ms)
				vd := fl.start("vm-1", "b")
				if !tc.sentOn {
					qt.Check(t, vd, qt.Equals, workpb.Verdict_IN_DOUBT)
				}
				time.Sleep(time.Minute)
				if tc.sentOn {
					qt.Check(t, fl.callers["vm-1"], qt.DeepEquals, []string{"b1"})
				} else {
					qt.Check(t, fl.callers["vm-1"], qt.HasLen, 0)
				}
			})
		})
	}
}

func TestOtherCallsThatAnEntryHoldsUpAreNotSentOnLate(t *testing.T) {
	for _, tc := range []struct {
		name string
		call func(fl *fleet) workpb.Verdict
		want []string
	}{
		{"poll", func(fl *fleet) workpb.Verdict {
			_, vd := fl.re.SendPoll(context.Background(), &workpb.LookRequest{Vm: "vm-1", Zone: "b", Acknowledged: 7})
			return vd
		}, []string{directCaller}},
		{"pace", func(fl *fleet) workpb.Verdict {
			return fl.re.SendOrder(context.Background(), &workpb.Order{Verb: workpb.Verb_PACE, Vm: "vm-1", Zone: "b", Percent: 20}).GetVerdict()
		}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			play(t, func(fl *fleet) {
				fl.receiveMS.Store(3000)
				tc.call(fl)
				time.Sleep(time.Minute)
				qt.Check(t, fl.callers["vm-1"], qt.DeepEquals, tc.want)
			})
		})
	}
}

func TestStartIsSentDirectlyUnlessTheClocksWereComparedLately(t *testing.T) {
	play(t, func(fl *fleet) {
		time.Sleep(10 * time.Second)
		qt.Check(t, fl.start("vm-1", "b"), qt.Equals, workpb.Verdict_ACCEPTED)
		qt.Check(t, fl.callers["vm-1"], qt.DeepEquals, []string{directCaller})
		_, vd := fl.re.SendPoll(context.Background(), &workpb.LookRequest{Vm: "vm-2", Zone: "b"})
		qt.Check(t, vd, qt.Equals, workpb.Verdict_ACCEPTED)
		qt.Check(t, fl.start("vm-3", "b"), qt.Equals, workpb.Verdict_ACCEPTED)
		qt.Check(t, fl.callers["vm-3"], qt.DeepEquals, []string{"b1"})
	})
}

func TestFleetsBeyondTheLinkAreLinkLimited(t *testing.T) {
	for _, tc := range []struct {
		linkBytesPerS int64
		vms           int
		want          bool
	}{
		{125_000_000, 49, false},
		{25_000_000, 540, false},
		{25_000_000, 3000, true},
		{250_000, 95, true},
		{0, 3000, false},
	} {
		re := relay.New(clock.New(), event.Discard(), tc.linkBytesPerS)
		qt.Check(t, re.LinkLimited(tc.vms), qt.Equals, tc.want, qt.Commentf("%d bytes a second, %d VMs", tc.linkBytesPerS, tc.vms))
	}
}

// An entry that doesn't reach the store can't carry starts; the VM has nothing to do with that.
func TestStartIsSentDirectlyWhereItsPayloadCannotBeRead(t *testing.T) {
	play(t, func(fl *fleet) {
		fl.mu.Lock()
		fl.storeAway["b1"] = true
		fl.mu.Unlock()
		qt.Check(t, fl.start("vm-b", "b"), qt.Equals, workpb.Verdict_ACCEPTED)
		qt.Check(t, fl.callers["vm-b"], qt.DeepEquals, []string{directCaller})
	})
}

// Asking whether the links are ready must open them, so that not even the first calls take the owner's own link; a zone without an entry that can be reached is told.
func TestLinksOpenBeforeTheFirstCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(clock.New(), map[string]string{"a1": "a", "a2": "a", "b1": "b"})
		fl.down["a1"], fl.down["b1"] = true, true
		qt.Check(t, fl.re.Ready(), qt.IsFalse)
		time.Sleep(time.Second)
		qt.Check(t, fl.re.Ready(), qt.IsFalse)
		fl.down["b1"] = false
		time.Sleep(2 * time.Second)
		qt.Check(t, fl.re.Ready(), qt.IsFalse)
		time.Sleep(time.Second)
		qt.Check(t, fl.re.Ready(), qt.IsTrue)
		for _, zone := range []string{"a", "b"} {
			qt.Check(t, fl.start("vm-"+zone, zone), qt.Equals, workpb.Verdict_ACCEPTED)
		}
		qt.Check(t, fl.callers, qt.DeepEquals, map[string][]string{"vm-a": {"a2"}, "vm-b": {"b1"}})
		fl.re.Update(nil, false)
		qt.Check(t, fl.re.Ready(), qt.IsFalse)
		time.Sleep(time.Second)
	})
}

// A result without the VM's lists must not be taken for empty lists, which would mean that all runs of the VM are gone and may start elsewhere.
func TestPollResultWithoutListsIsNotAnEmptyOne(t *testing.T) {
	play(t, func(fl *fleet) {
		fl.withoutLists = true
		lk, vd := fl.re.SendPoll(context.Background(), &workpb.LookRequest{Vm: "vm-a", Zone: "a"})
		qt.Check(t, vd, qt.Equals, workpb.Verdict_ACCEPTED)
		qt.Check(t, lk.GetClockMs(), qt.Equals, int64(7))
		qt.Check(t, fl.callers["vm-a"], qt.HasLen, 2)
	})
}

// An owner whose link suffices must not let other entries read the payload of each start from the store.
func TestStartIsPassedOnWithItsPayloadWhereTheLinkSuffices(t *testing.T) {
	play(t, func(fl *fleet) {
		fl.re.Update(map[string]string{"a1": "a", "a2": "a", "b1": "b"}, true)
		fl.mu.Lock()
		fl.storeAway["b1"] = true
		fl.mu.Unlock()
		qt.Check(t, fl.start("vm-b", "b"), qt.Equals, workpb.Verdict_ACCEPTED)
		qt.Check(t, fl.callers["vm-b"], qt.DeepEquals, []string{"b1"})
		qt.Check(t, fl.payloads[len(fl.payloads)-1], qt.Equals, "payload of 00000000000000aa")
	})
}
