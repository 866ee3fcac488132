package budget_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/fulmarloft/fulmarloft/internal/machines/budget"
	"github.com/fulmarloft/fulmarloft/internal/machines/poolmembers"
	"github.com/fulmarloft/fulmarloft/internal/machines/vm"
	"github.com/fulmarloft/fulmarloft/internal/pb/fleetpb"
	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/testbed/property"
	"github.com/fulmarloft/fulmarloft/pkg/code"
	"github.com/fulmarloft/fulmarloft/pkg/pool"
)

// TestMaintenanceLeavesBudgetForAnyRack puts VMs into maintenance as long as the budget allows and after each checks that the pool would stay within its budget if any one rack failed.
func TestMaintenanceLeavesBudgetForAnyRack(t *testing.T) {
	property.Check(t, func(rt *rapid.T) {
		size := rapid.IntRange(1, 24).Draw(rt, "size")
		pl := pool.New("p", size, rapid.IntRange(0, size).Draw(rt, "budget"), rapid.Bool().Draw(rt, "spare"))
		mb := poolmembers.New(&fleetpb.PoolRow{Name: "p"}, 0, nil)
		down := map[string]bool{}
		for i := range rapid.IntRange(0, size).Draw(rt, "members") {
			inst := vm.Register(&platformpb.VM{
				Name: fmt.Sprintf("v%02d", i),
				Zone: fmt.Sprint(rapid.IntRange(0, 2).Draw(rt, "zone")),
				Rack: fmt.Sprint(rapid.IntRange(0, 3).Draw(rt, "rack")),
			}, "p", 0)
			mb = mb.With(inst)
			down[inst.Name()] = rapid.IntRange(0, 9).Draw(rt, "down") == 0
		}
		up := func(inst *vm.VM) bool { return inst.Serving() && !down[inst.Name()] }
		for _, name := range rapid.Permutation(mb.Members()).Draw(rt, "order") {
			if !up(mb.VM(name)) || budget.New(pl, mb, up).Check(name) != nil {
				continue
			}
			next, err := mb.VM(name).Maintain("op", "w", 1)
			if err != nil {
				rt.Fatal(err)
			}
			mb = mb.With(next)
			checkRacks(rt, pl, mb, up)
		}
	})
}

// checkRacks checks that the loss of any one rack leaves the pool within its budget.
func checkRacks(rt *rapid.T, pl pool.Pool, mb *poolmembers.Membership, up func(*vm.VM) bool) {
	for _, lost := range mb.VMs() {
		left := 0
		for _, inst := range mb.VMs() {
			if up(inst) && inst.Rack() != lost.Rack() {
				left++
			}
		}
		if pl.Size()-left > pl.MaxUnavailable() {
			rt.Fatalf("after the loss of rack %s %d of %d VMs would be up, at most %d may be down", lost.Rack(), left, pl.Size(), pl.MaxUnavailable())
		}
	}
}

// TestLastVMOfZoneStays checks that the last VM up in a zone may not be made unavailable, except in the spare pool.
func TestLastVMOfZoneStays(t *testing.T) {
	mb := poolmembers.New(&fleetpb.PoolRow{Name: "p"}, 0, nil)
	for i, zone := range []string{"a", "a", "b", "b"} {
		mb = mb.With(vm.Register(&platformpb.VM{Name: fmt.Sprintf("v%d", i), Zone: zone, Rack: fmt.Sprint(i)}, "p", 0))
	}
	up := func(inst *vm.VM) bool { return inst.Name() != "v1" }
	bg := budget.New(pool.New("p", 4, 4, false), mb, up)
	qt.Assert(t, code.Of(bg.Check("v0")), qt.Equals, code.BudgetExhausted)
	qt.Assert(t, bg.Check("v2"), qt.IsNil)
	qt.Assert(t, budget.New(pool.New("p", 4, 4, true), mb, up).Check("v0"), qt.IsNil)
}
