package slot_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/limits/slot"
	"github.com/fulmarloft/fulmarloft/internal/testbed/property"
)

const slots = 8

func sum(al *slot.Allocator, endpoints int) int {
	got := 0
	for i := range endpoints {
		got += al.Allocation("replies", i, endpoints, slots)
	}
	return got
}

// TestR9AllocationsUseEachSlotOnce checks that entries that know each other's demand use every slot exactly once.
func TestR9AllocationsUseEachSlotOnce(t *testing.T) {
	property.Check(t, func(rt *rapid.T) {
		ck := clock.NewFake(0)
		demands := rapid.SliceOfN(rapid.Float64Range(0, 500), 1, 4).Draw(rt, "demands")
		endpoints := rapid.IntRange(1, 12).Draw(rt, "endpoints")
		var all []*slot.Allocator
		for i, dm := range demands {
			al := slot.New(ck, fmt.Sprintf("entry-%d", i))
			al.SetOwn("replies", dm)
			all = append(all, al)
		}
		for _, al := range all {
			for i, other := range all {
				al.SetPeer(fmt.Sprintf("entry-%d", i), other.Own())
			}
		}
		for i := range endpoints {
			used := 0
			for _, al := range all {
				used += al.Allocation("replies", i, endpoints, slots)
			}
			if used != slots {
				rt.Fatalf("endpoint %d: %d of %d slots in use", i, used, slots)
			}
		}
		for i, al := range all {
			if sum(al, endpoints) == 0 {
				rt.Fatalf("entry %d gets no slot", i)
			}
		}
	})
}

// The slots of a peer that has not been heard for a second must be reused by the others, and given back when it is heard again.
func TestR9UnresponsivePeerAllocationIsReused(t *testing.T) {
	ck := clock.NewFake(0)
	al := slot.New(ck, "entry-1")
	al.SetOwn("replies", 10)
	al.SetPeer("entry-2", map[string]float64{"replies": 10})
	qt.Assert(t, sum(al, 4), qt.Equals, 16)
	ck.Advance(1001)
	qt.Assert(t, sum(al, 4), qt.Equals, 32)
	al.SetPeer("entry-2", map[string]float64{"replies": 30})
	qt.Assert(t, sum(al, 4), qt.Equals, 8)
	al.RemovePeer("entry-2")
	qt.Assert(t, sum(al, 4), qt.Equals, 32)
}
