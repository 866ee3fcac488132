package entry

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/pb/fleetpb"
)

// A VM's slots must not be lent to a new pool while the previous borrower still has requests there.
func TestF6LoanEndsBeforeTheNextBegins(t *testing.T) {
	cp := &capacityPart{}
	running := true
	hasRequests := func(vm, pool string) bool { return vm == "s1" && pool == "a" && running }
	cp.apply(map[string]string{"s1": "a", "s2": "b"}, hasRequests)
	qt.Assert(t, cp.isLent("s1", "a"), qt.IsTrue)
	cp.apply(map[string]string{"s1": "b"}, hasRequests)
	qt.Assert(t, cp.isLent("s1", "b"), qt.IsFalse)
	qt.Assert(t, cp.isEnding("s1"), qt.IsTrue)
	qt.Assert(t, cp.isLent("s2", "b"), qt.IsFalse)
	running = false
	cp.apply(map[string]string{"s1": "b"}, hasRequests)
	qt.Assert(t, cp.isLent("s1", "b"), qt.IsTrue)
	qt.Assert(t, cp.isEnding("s1"), qt.IsFalse)
}

// Whether slots are lent must depend on the operators' pools alone: a spare pool's VMs serve a pool with a shortage whatever the bundle's weights are, and without a spare pool nothing is lent.
func TestF6SparePoolDecidesWhetherSlotsAreLent(t *testing.T) {
	short := &fleetpb.PoolDemand{Pool: "p", Queued: 20, Slots: 8}
	for _, tc := range []struct {
		name    string
		demands []*fleetpb.PoolDemand
		want    int
	}{
		{"spare pool", []*fleetpb.PoolDemand{{Pool: "spare", Spare: true, Vms: []string{"s1", "s2"}}, short}, 2},
		{"spare pool without shortage", []*fleetpb.PoolDemand{{Pool: "spare", Spare: true, Vms: []string{"s1", "s2"}}, {Pool: "p", Slots: 8}}, 0},
		{"no spare pool", []*fleetpb.PoolDemand{short}, 0},
	} {
		cp := &capacityPart{}
		qt.Assert(t, cp.setup(8), qt.IsNil)
		plan := cp.planner.Plan(1000, tc.demands)
		qt.Check(t, plan.GetLoans(), qt.HasLen, tc.want, qt.Commentf(tc.name))
		qt.Check(t, plan.GetMoves(), qt.HasLen, 0, qt.Commentf(tc.name))
	}
}
