package vm_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/fulmarloft/fulmarloft/internal/machines/vm"
	"github.com/fulmarloft/fulmarloft/internal/pb/fleetpb"
	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/testbed/property"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

func fresh() *vm.VM {
	return vm.Register(&platformpb.VM{Name: "v1", Incarnation: "i1", Zone: "z1", Rack: "r1"}, "replies", 10)
}

func must(got *vm.VM, err error) *vm.VM {
	if err != nil {
		panic(err)
	}
	return got
}

func TestMaintenanceLifecycle(t *testing.T) {
	draining := must(fresh().Maintain("op", "w", 20))
	qt.Assert(t, draining.PendingAction("i1").GetOperation(), qt.Equals, "op-drain-i1")
	rebooting := must(draining.Drained(30))
	qt.Assert(t, rebooting.PendingAction("i1").GetVerb(), qt.Equals, "reboot")
	returned := must(must(rebooting.Rebooted(40)).Returned("i2", 50))
	qt.Assert(t, returned.Serving(), qt.IsTrue)
	qt.Assert(t, returned.Incarnation(), qt.Equals, "i2")
	qt.Assert(t, returned.MaintainedMS(), qt.Equals, int64(40))
	qt.Assert(t, returned.Epoch(), qt.Equals, uint64(5))
	qt.Assert(t, returned.PendingAction("i2"), qt.IsNil)
}

func TestMoveChangesPoolOnce(t *testing.T) {
	draining := must(fresh().Move("op", "other", "demand", 20))
	qt.Assert(t, draining.Pool(), qt.Equals, "replies")
	moving := must(draining.Drained(30))
	qt.Assert(t, moving.Pool(), qt.Equals, "other")
	qt.Assert(t, moving.Target(), qt.Equals, "")
	qt.Assert(t, moving.Arriving(), qt.IsTrue)
	qt.Assert(t, must(must(moving.Rebooted(40)).Returned("i2", 50)).Pool(), qt.Equals, "other")
}

// A placement must be refused while the VM drains, or if it was decided under an earlier epoch.
func TestPlacement(t *testing.T) {
	cond, err := fresh().PlacementCondition(1)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, cond.GetKey(), qt.Equals, "vm/v1")
	_, err = fresh().PlacementCondition(2)
	qt.Assert(t, code.Of(err), qt.Equals, code.EpochStale)
	_, err = must(fresh().Maintain("op", "w", 20)).PlacementCondition(2)
	qt.Assert(t, code.Of(err), qt.Equals, code.Conflict)
}

func TestHeldVMStaysHeldWhenReplaced(t *testing.T) {
	held := must(must(fresh().Hold("op", "noisy", 20)).Drained(30))
	qt.Assert(t, held.State(), qt.Equals, fleetpb.VMState_VM_STATE_QUARANTINED)
	again := must(held.Replaced(&platformpb.VM{Name: "v1", Incarnation: "i2"}, 40))
	qt.Assert(t, again.State(), qt.Equals, fleetpb.VMState_VM_STATE_DRAINING)
	qt.Assert(t, must(again.Drained(50)).State(), qt.Equals, fleetpb.VMState_VM_STATE_QUARANTINED)
}

// legalSteps lists the states from which each step is legal, by their enum values.
var legalSteps = []struct {
	name  string
	from  []fleetpb.VMState
	apply func(*vm.VM) (*vm.VM, error)
}{
	{"maintain", states(1), func(v *vm.VM) (*vm.VM, error) { return v.Maintain("op", "w", 1) }},
	{"move", states(1), func(v *vm.VM) (*vm.VM, error) { return v.Move("op", "other", "r", 1) }},
	{"hold", states(1, 2, 3, 4, 5), func(v *vm.VM) (*vm.VM, error) { return v.Hold("op", "r", 1) }},
	{"drained", states(2), func(v *vm.VM) (*vm.VM, error) { return v.Drained(1) }},
	{"rebooted", states(3, 4), func(v *vm.VM) (*vm.VM, error) { return v.Rebooted(1) }},
	{"returned", states(5), func(v *vm.VM) (*vm.VM, error) { return v.Returned("i", 1) }},
	{"abort", states(2), func(v *vm.VM) (*vm.VM, error) { return v.Abort("r", 1) }},
	{"release", states(6), func(v *vm.VM) (*vm.VM, error) { return v.Release("op", "r", 1) }},
	{"gone", states(1, 2, 3, 4, 5, 6), func(v *vm.VM) (*vm.VM, error) { return v.MarkGone(1) }},
}

func states(list ...fleetpb.VMState) []fleetpb.VMState { return list }

// In every sequence of steps, a step must succeed only from the states in legalSteps and add 1 to the epoch, and only the end of a drain may change the pool.
func TestStepInvariants(t *testing.T) {
	property.Check(t, func(rt *rapid.T) {
		inst := fresh()
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			step := rapid.SampledFrom(legalSteps).Draw(rt, "step")
			next, err := step.apply(inst)
			allowed := false
			for _, st := range step.from {
				allowed = allowed || st == inst.State()
			}
			if allowed != (err == nil) {
				rt.Fatalf("%s from %s: %v", step.name, vm.StateName(inst.State()), err)
			}
			if err != nil {
				if code.Of(err) != code.Conflict {
					rt.Fatalf("%s: expected code %s, got %v", step.name, code.Conflict, err)
				}
				continue
			}
			if next.Epoch() != inst.Epoch()+1 {
				rt.Fatalf("%s: epoch %d after %d", step.name, next.Epoch(), inst.Epoch())
			}
			if next.Pool() != inst.Pool() && step.name != "drained" {
				rt.Fatalf("%s changed the pool from %s to %s", step.name, inst.Pool(), next.Pool())
			}
			inst = next
		}
	})
}
