package picker_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/request/picker"
)

const (
	seed      = 7
	slotCount = 8
)

func vms(zones ...string) []*platformpb.VM {
	var list []*platformpb.VM
	for i, zone := range zones {
		list = append(list, &platformpb.VM{Name: fmt.Sprint("vm-", i), Incarnation: fmt.Sprint("inc-", i), Zone: zone})
	}
	return list
}

func newPicker(ck *clock.Clock, leaving map[string]bool, zones ...string) *picker.Picker {
	pk := picker.New(ck, "a", seed, func(*platformpb.VM) int { return slotCount }, func(inc string) bool { return leaving[inc] })
	pk.Set(vms(zones...))
	return pk
}

// Endpoints of the own zone must be used up before another zone gets a request, and no endpoint more requests than it has slots.
func TestOwnZoneFirstThenOverflow(t *testing.T) {
	pk := newPicker(clock.NewFake(0), nil, "a", "a", "b")
	got := map[string]int{}
	for range 2 * slotCount {
		vm, ok := pk.Pick()
		qt.Assert(t, ok, qt.IsTrue)
		got[vm.GetName()]++
	}
	qt.Assert(t, got, qt.DeepEquals, map[string]int{"vm-0": slotCount, "vm-1": slotCount})
	vm, ok := pk.Pick()
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, vm.GetZone(), qt.Equals, "b")
	for range slotCount - 1 {
		_, ok = pk.Pick()
		qt.Assert(t, ok, qt.IsTrue)
	}
	_, ok = pk.Pick()
	qt.Assert(t, ok, qt.IsFalse)
	freed := 0
	pk.OnFree(func() { freed++ })
	pk.Done("inc-1", true, 0)
	qt.Assert(t, freed, qt.Equals, 1)
	_, ok = pk.Pick("inc-1")
	qt.Assert(t, ok, qt.IsFalse)
}

// A slot that was reserved in vain must be offered to whoever found no slot meanwhile, or a request could wait beside a free slot; and to no other, or listeners with nothing to start would wake one another again and again.
func TestCancelOffersTheSlotToThoseThatFoundNone(t *testing.T) {
	pk := newPicker(clock.NewFake(0), nil, "a")
	calls := [2]int{}
	for i := range calls {
		qt.Assert(t, pk.OnFree(func() { calls[i]++ }), qt.Equals, i)
	}
	pick := func(listener int) bool {
		_, ok := pk.PickFor(listener)
		return ok
	}
	for range slotCount {
		qt.Assert(t, pick(0), qt.IsTrue)
	}
	pk.Cancel("inc-0")
	qt.Check(t, calls, qt.Equals, [2]int{0, 0})
	qt.Assert(t, pick(0), qt.IsTrue)
	_, ok := pk.Pick("inc-0")
	qt.Assert(t, ok, qt.IsFalse)
	qt.Assert(t, pick(1), qt.IsFalse)
	pk.Cancel("inc-0")
	qt.Check(t, calls, qt.Equals, [2]int{0, 1})
	pk.Cancel("inc-0")
	qt.Check(t, calls, qt.Equals, [2]int{0, 1})
	qt.Assert(t, pick(0), qt.IsTrue)
	qt.Assert(t, pick(0), qt.IsTrue)
	qt.Assert(t, pick(1), qt.IsFalse)
	pk.Done("inc-0", true, 0)
	qt.Check(t, calls, qt.Equals, [2]int{1, 2})
	pk.Cancel("inc-0")
	qt.Check(t, calls, qt.Equals, [2]int{1, 2})
}

// A request that timed out may still run, so that its slot must not be given to another request before the given time.
func TestSlotOfTimedOutRequestStaysReserved(t *testing.T) {
	ck := clock.NewFake(0)
	pk := newPicker(ck, nil, "a")
	for range slotCount {
		_, ok := pk.Pick()
		qt.Assert(t, ok, qt.IsTrue)
	}
	pk.Done("inc-0", false, 500)
	_, ok := pk.Pick()
	qt.Assert(t, ok, qt.IsFalse)
	ck.Advance(500)
	_, ok = pk.Pick()
	qt.Assert(t, ok, qt.IsTrue)
}

func TestLeavingEndpointGetsNothing(t *testing.T) {
	leaving := map[string]bool{}
	pk := newPicker(clock.NewFake(0), leaving, "a", "a")
	leaving["inc-0"] = true
	for range slotCount {
		vm, ok := pk.Pick()
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, vm.GetName(), qt.Equals, "vm-1")
	}
	pk.Set(vms("a", "a"))
	_, ok := pk.Pick()
	qt.Assert(t, ok, qt.IsFalse)
	qt.Assert(t, pk.Slots(), qt.Equals, slotCount)
}

// run sends one request per millisecond and returns the requests per endpoint and the number that found no endpoint. A failing endpoint answers at once, the others after 30 ms.
func run(ck *clock.Clock, pk *picker.Picker, ms int64, failing func(name string) bool) (map[string]int, int) {
	got := map[string]int{}
	unpicked := 0
	for range ms {
		vm, ok := pk.Pick()
		if !ok {
			unpicked++
			ck.Advance(1)
			continue
		}
		got[vm.GetName()]++
		if failing(vm.GetName()) {
			pk.Done(vm.GetIncarnation(), false, 0)
		} else {
			ck.AfterFunc(30, func() { pk.Done(vm.GetIncarnation(), true, 0) })
		}
		ck.Advance(1)
	}
	return got, unpicked
}

// Guards against an endpoint that fails at once and therefore always has free slots getting much of the load; it must be restored after it recovers.
func TestFastFailingEndpointAttractsNoLoadAndReturns(t *testing.T) {
	ck := clock.NewFake(0)
	pk := newPicker(ck, nil, "a", "a", "a", "a", "a", "a", "a", "a", "a", "a")
	var events []string
	pk.OnChange(func(name string, _ ...any) { events = append(events, name) })
	got, unpicked := run(ck, pk, 60_000, func(name string) bool { return name == "vm-3" })
	qt.Assert(t, unpicked, qt.Equals, 0)
	qt.Assert(t, got["vm-3"] > failuresToEject, qt.IsTrue, qt.Commentf("%d requests to the failing endpoint, which is ejected after %d", got["vm-3"], failuresToEject))
	qt.Assert(t, got["vm-3"] < 30, qt.IsTrue, qt.Commentf("%d of 60000 requests to the failing endpoint", got["vm-3"]))
	qt.Assert(t, pk.Ejected(), qt.Equals, 1)
	run(ck, pk, 60_000, func(string) bool { return false })
	qt.Assert(t, pk.Ejected(), qt.Equals, 0)
	qt.Assert(t, events[len(events)-1], qt.Equals, "endpoint-restored")
	got, _ = run(ck, pk, 10_000, func(string) bool { return false })
	qt.Assert(t, got["vm-3"] > 500, qt.IsTrue, qt.Commentf("%d of 10000 requests to the restored endpoint", got["vm-3"]))
}

const failuresToEject = 5

// If all endpoints fail, the cause is probably elsewhere; ejecting most of them would leave nothing to send to.
func TestEjectionIsCapped(t *testing.T) {
	for _, tc := range []struct {
		count, maxEjected int
	}{{1, 0}, {3, 0}, {4, 1}, {10, 3}} {
		ck := clock.NewFake(0)
		zones := make([]string, tc.count)
		for i := range zones {
			zones[i] = "a"
		}
		pk := newPicker(ck, nil, zones...)
		_, unpicked := run(ck, pk, 20_000, func(string) bool { return true })
		qt.Check(t, unpicked, qt.Equals, 0)
		qt.Check(t, pk.Ejected() <= tc.maxEjected, qt.IsTrue, qt.Commentf("%d of %d endpoints ejected, at most %d allowed", pk.Ejected(), tc.count, tc.maxEjected))
	}
}

func TestRefusingEndpointIsAvoidedButNotEjected(t *testing.T) {
	ck := clock.NewFake(0)
	pk := newPicker(ck, nil, "a", "a", "a", "a")
	attempts := 0
	for range 20_000 {
		if vm, ok := pk.Pick("inc-1", "inc-2", "inc-3"); ok {
			attempts++
			pk.RecordRefusal(vm.GetIncarnation())
		}
		ck.Advance(1)
	}
	qt.Assert(t, attempts <= 20*slotCount, qt.IsTrue, qt.Commentf("%d attempts, at most %d expected", attempts, 20*slotCount))
	qt.Assert(t, pk.Ejected(), qt.Equals, 0)
	for range 100 {
		vm, ok := pk.Pick()
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, vm.GetName(), qt.Not(qt.Equals), "vm-0")
		pk.Done(vm.GetIncarnation(), true, 0)
	}
}

func TestRefusingZoneGetsFewAttempts(t *testing.T) {
	ck := clock.NewFake(0)
	pk := newPicker(ck, nil, "b")
	attempts := 0
	for range 60_000 {
		if vm, ok := pk.Pick(); ok {
			attempts++
			pk.RecordRefusal(vm.GetIncarnation())
		}
		ck.Advance(1)
	}
	qt.Assert(t, attempts <= 13, qt.IsTrue, qt.Commentf("%d attempts, at most 13 expected", attempts))
	qt.Assert(t, attempts >= 6, qt.IsTrue, qt.Commentf("%d attempts, at least 6 expected", attempts))
}

func BenchmarkPick(b *testing.B) {
	pk := newPicker(clock.New(), nil, "a", "a", "a", "b", "b", "b", "b", "c", "c", "c")
	b.ReportAllocs()
	for b.Loop() {
		vm, _ := pk.Pick()
		pk.Done(vm.GetIncarnation(), true, 0)
	}
}
