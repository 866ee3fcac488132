package fleet_test

import (
	"context"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/machines/maintenancerate"
	"github.com/fulmarloft/fulmarloft/internal/machines/vm"
	"github.com/fulmarloft/fulmarloft/internal/pb/fleetpb"
	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/store/platformclient"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

const (
	done   = fleetpb.WaveState_WAVE_STATE_DONE
	halted = fleetpb.WaveState_WAVE_STATE_HALTED
)

// crashAtEachEffect runs the scenario with a crash at each effect in turn, once before the effect and once after it was applied but before its reply arrived, until a run ends without reaching the crash.
func crashAtEachEffect(t *testing.T, scenario func(t *testing.T, crashAt int, applied bool) (reached bool)) {
	for _, applied := range []bool{false, true} {
		for crashAt := 1; ; crashAt++ {
			reached := false
			t.Run(fmt.Sprintf("effect-%d-applied-%v", crashAt, applied), func(t *testing.T) {
				reached = scenario(t, crashAt, applied)
			})
			if t.Failed() || !reached {
				break
			}
		}
	}
}

// A driver that crashes at any effect of a wave must be replaceable: the next one completes the wave, reboots each VM once and leaves none drained.
func TestF2DriverOfWaveReplacedAtAnyStep(t *testing.T) {
	crashAtEachEffect(t, func(t *testing.T, crashAt int, applied bool) bool {
		bn := newBench(t, "{name: p, size: 3, max-unavailable: 2, kind: endpoint}")
		bn.add("p", 1, 1)
		bn.startWave(1)
		first := bn.driver("second", crashAt, applied)
		bn.runUntil(first, 200, bn.waveInState("w", done))
		bn.runUntil(bn.driver("third", -1, false), 200, bn.waveInState("w", done))
		bn.assertNoViolations()
		qt.Assert(t, bn.vmsInState(fleetpb.VMState_VM_STATE_SERVING), qt.HasLen, 3)
		qt.Assert(t, bn.drained, qt.HasLen, 0)
		for name := range bn.listed {
			qt.Assert(t, bn.reboots[name], qt.Equals, 1, qt.Commentf("reboots of %s", name))
		}
		return first.crashed
	})
}

// A driver that crashes at any effect of a move must be replaceable: the VM serves in the new pool in the end and is in exactly one pool all the time.
func TestF2DriverOfMoveReplacedAtAnyStep(t *testing.T) {
	crashAtEachEffect(t, func(t *testing.T, crashAt int, applied bool) bool {
		ctx := context.Background()
		bn := newBench(t, "{name: p, size: 2, max-unavailable: 2, kind: endpoint}", "{name: q, size: 1, max-unavailable: 1, kind: endpoint}")
		bn.add("p", 1, 1)
		bn.add("q", 1, 1)
		dr := bn.driver("first", -1, false)
		bn.runUntil(dr, 10, bn.serving(3))
		from, err := dr.VMs(ctx, "p")
		qt.Assert(t, err, qt.IsNil)
		name := from.GetVms()[0].GetName()
		second := bn.driver("second", crashAt, applied)
		second.Tick(ctx)
		_, _ = second.MoveVM(ctx, "op", name, "q", "demand")
		if second.crashed {
			second = bn.driver("third", -1, false)
			second.Tick(ctx)
			_, err = second.MoveVM(ctx, "op", name, "q", "demand")
			qt.Assert(t, err, qt.IsNil)
		}
		moved := func() bool {
			inst := readVM(bn, name)
			return inst.Serving() && inst.Pool() == "q"
		}
		bn.runUntil(second, 60, moved)
		bn.runUntil(bn.driver("fourth", -1, false), 60, moved)
		bn.assertNoViolations()
		qt.Assert(t, bn.drained, qt.HasLen, 0)
		return second.crashed || crashAt == 1
	})
}

// Guards against effects of a driver whose lease expires within a tick: a lease check must directly precede each effect.
func TestF2LeaseExpiresBeforeEffect(t *testing.T) {
	ctx := context.Background()
	bn := newBench(t, "{name: p, size: 3, max-unavailable: 2, kind: endpoint}")
	bn.add("p", 1, 1)
	dr := bn.startWave(1)
	for left := 0; !bn.waveInState("w", done)(); left = (left + 1) % 12 {
		paused := bn.driver("paused", -1, false)
		paused.Tick(ctx)
		paused.leaseChecksLeft = left
		for range 2 {
			before := paused.effects
			paused.Tick(ctx)
			if left == 0 {
				qt.Assert(t, paused.effects, qt.Equals, before)
			}
		}
		qt.Assert(t, paused.uncheckedEffects, qt.Equals, 0)
		runTicks(bn, dr, 1)
	}
	bn.assertNoViolations()
}

// A rack fails at some point of a wave while the platform's VM list, which lags, still shows its VMs; the pool must stay within its budget and the wave must complete.
func TestF1RackFailsDuringWaveWithLaggingList(t *testing.T) {
	for tick := 1; tick < 24; tick += 4 {
		for _, rack := range []string{"z0/r0", "z0/r1", "z1/r0"} {
			t.Run(fmt.Sprintf("tick-%d-rack-%s", tick, rack), func(t *testing.T) {
				bn := newBench(t, "{name: p, size: 12, max-unavailable: 4, kind: endpoint}")
				bn.add("p", 2, 3)
				dr := bn.startWave(3)
				runTicks(bn, dr, tick)
				start := bn.ck.Now()
				for name, listed := range bn.listed {
					bn.failed[name] = listed.GetZone()+"/"+listed.GetRack() == rack
				}
				bn.unlisted = func() map[string]bool {
					if bn.ck.Now() < start+lagMS {
						return nil
					}
					return bn.failed
				}
				runTicks(bn, dr, 20)
				bn.assertNoViolations()
				bn.failed = map[string]bool{}
				bn.runUntil(dr, 400, bn.waveInState("w", done))
				bn.assertNoViolations()
				for name := range bn.listed {
					qt.Check(t, bn.reboots[name], qt.Equals, 1, qt.Commentf("reboots of %s", name))
				}
			})
		}
	}
}

// runTicks runs the driver for the given number of ticks.
func runTicks(bn *bench, dr *driver, cnt int) {
	for range cnt {
		dr.Tick(context.Background())
		bn.checkInvariants()
		bn.ck.Advance(tickMS)
	}
}

// A wave must halt and begin no more maintenance while more VMs are missing than the budget allows, and must go on when they are back.
func TestF1WaveHaltsAndRecovers(t *testing.T) {
	bn := newBench(t, "{name: p, size: 8, max-unavailable: 3, kind: endpoint}")
	bn.add("p", 2, 2)
	dr := bn.startWave(1)
	runTicks(bn, dr, 3)
	lost := map[string]bool{"p-02": true, "p-03": true, "p-04": true, "p-05": true}
	bn.unlisted = func() map[string]bool { return lost }
	bn.runUntil(dr, 20, bn.waveInState("w", halted))
	before := len(bn.reboots)
	runTicks(bn, dr, 50)
	qt.Assert(t, bn.waveInState("w", halted)(), qt.IsTrue)
	qt.Assert(t, len(bn.reboots) <= before+1, qt.IsTrue, qt.Commentf("%d VMs rebooted, %d when the wave halted", len(bn.reboots), before))
	lost = nil
	bn.runUntil(dr, 400, bn.waveInState("w", done))
}

func TestF1MaintenanceThatBreaksVMsHaltsTheWave(t *testing.T) {
	bn := newBench(t, "{name: p, size: 8, max-unavailable: 6, kind: endpoint}")
	bn.add("p", 1, 1)
	dr := bn.startWave(1)
	bn.runUntil(dr, 100, func() bool { return len(bn.reboots) == 3 })
	broken := map[string]bool{}
	for _, inst := range bn.vmsInState(fleetpb.VMState_VM_STATE_SERVING) {
		broken[inst.Name()] = bn.reboots[inst.Name()] > 0
	}
	bn.unlisted = func() map[string]bool { return broken }
	bn.runUntil(dr, 20, bn.waveInState("w", halted))
	qt.Assert(t, bn.wave("w").GetReason(), qt.Matches, ".*down after their maintenance.*")
	bn.unlisted = func() map[string]bool { return nil }
	bn.runUntil(dr, 400, bn.waveInState("w", done))
	bn.assertNoViolations()
}

// An operator's step whose reply from the table was lost must be recognized as committed and not be reported as a conflict.
func TestF2LostReplyToOperatorStep(t *testing.T) {
	ctx := context.Background()
	bn := newBench(t, "{name: p, size: 3, max-unavailable: 2, kind: endpoint}")
	bn.add("p", 1, 1)
	dr := bn.driver("first", -1, false)
	bn.runUntil(dr, 10, bn.serving(3))
	lost := 0
	bn.sv.Table().SetFaults(nil, func(_ string, write bool) error {
		if write && lost == 0 {
			lost++
			return context.DeadlineExceeded
		}
		return nil
	})
	inst, err := dr.HoldVM(ctx, "op", "p-00", "noisy")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, lost, qt.Equals, 1)
	qt.Assert(t, readVM(bn, "p-00").Epoch(), qt.Equals, inst.Epoch())
}

func TestF1VMThatDoesNotComeBackHaltsTheWave(t *testing.T) {
	bn := newBench(t, "{name: p, size: 6, max-unavailable: 3, kind: endpoint}")
	bn.add("p", 1, 1)
	dr := bn.startWave(1)
	bn.runUntil(dr, 20, func() bool { return len(bn.vmsInState(fleetpb.VMState_VM_STATE_REBOOTING)) == 1 })
	stuck := bn.vmsInState(fleetpb.VMState_VM_STATE_REBOOTING)[0].Name()
	bn.unlisted = func() map[string]bool { return map[string]bool{stuck: true} }
	bn.runUntil(dr, 400, bn.waveInState("w", halted))
	qt.Assert(t, bn.reboots, qt.HasLen, 1)
	bn.unlisted = func() map[string]bool { return nil }
	bn.runUntil(dr, 400, bn.waveInState("w", done))
	bn.assertNoViolations()
}

// A driver whose VM list is too old can't know which VMs are up, so neither a wave nor an operator may start a drain with it.
func TestF1StaleListStartsNoDrain(t *testing.T) {
	bn := newBench(t, "{name: p, size: 4, max-unavailable: 3, kind: endpoint}")
	bn.add("p", 1, 1)
	dr := bn.startWave(1)
	bn.ck.Advance(1)
	stale := platformpb.VMList{AsOfMs: bn.ck.Now() - 60_000}
	for _, listed := range bn.listed {
		stale.Vms = append(stale.Vms, listed)
	}
	old := bn.driverWithList("old", &stale)
	runTicks(bn, old, 10)
	qt.Assert(t, bn.vmsInState(fleetpb.VMState_VM_STATE_SERVING), qt.HasLen, 4)
	_, err := old.HoldVM(context.Background(), "op", "p-00", "noisy")
	qt.Assert(t, code.Of(err), qt.Equals, code.BudgetExhausted)
	bn.runUntil(dr, 200, bn.waveInState("w", done))
}

// beforeNextWrite runs fn once, after the caller has decided on its next write and before the table applies it.
func (bn *bench) beforeNextWrite(caller string, fn func()) {
	bn.sv.Table().SetFaults(func(name string, write bool) error {
		if write && name == caller && fn != nil {
			run := fn
			fn = nil
			run()
		}
		return nil
	}, nil)
}

// Two processes decide on steps in the same pool at the same time; the later write must conflict, or both together would exceed the budget.
func TestF1ConcurrentStepsStayWithinBudget(t *testing.T) {
	ctx := context.Background()
	bn := newBench(t, "{name: p, size: 4, max-unavailable: 2, kind: endpoint}")
	bn.add("p", 1, 1)
	one, other := bn.driver("one", -1, false), bn.driver("other", -1, false)
	bn.runUntil(one, 10, bn.serving(4))
	other.Tick(ctx)
	bn.beforeNextWrite("one", func() {
		_, err := other.HoldVM(ctx, "op-other", "p-01", "noisy")
		qt.Check(t, err, qt.IsNil)
	})
	_, err := one.HoldVM(ctx, "op-one", "p-00", "noisy")
	qt.Assert(t, code.Of(err), qt.Equals, code.Conflict)
	_, err = one.HoldVM(ctx, "op-again", "p-00", "noisy")
	qt.Assert(t, code.Of(err), qt.Equals, code.BudgetExhausted)
}

// A step that was decided before a wave was paused and is written after it must be rejected.
func TestF1PauseRejectsStepDecidedBefore(t *testing.T) {
	ctx := context.Background()
	bn := newBench(t, "{name: p, size: 4, max-unavailable: 3, kind: endpoint}")
	bn.add("p", 1, 1)
	dr := bn.startWave(1)
	other := bn.driver("other", -1, false)
	bn.beforeNextWrite("first", func() {
		_, err := other.ChangeWave(ctx, "op-pause", "peter", "w", "pause")
		qt.Check(t, err, qt.IsNil)
	})
	runTicks(bn, dr, 10)
	qt.Assert(t, bn.vmsInState(fleetpb.VMState_VM_STATE_SERVING), qt.HasLen, 4)
	qt.Assert(t, bn.reboots, qt.HasLen, 0)
}

// A driver whose VM list is older than a VM's latest step must not take the VM back to its earlier state or incarnation.
func TestF1OlderListRevertsNoStep(t *testing.T) {
	ctx := context.Background()
	bn := newBench(t, "{name: p, size: 3, max-unavailable: 2, kind: endpoint}")
	bn.add("p", 1, 1)
	dr := bn.startWave(1)
	before, _, err := platformclient.New(bn.sv.Address(), "other").VMs(ctx, "")
	qt.Assert(t, err, qt.IsNil)
	late := bn.driverWithList("late", before)
	bn.runUntil(dr, 100, func() bool { return len(bn.vmsInState(fleetpb.VMState_VM_STATE_RETURNING)) == 1 })
	name := bn.vmsInState(fleetpb.VMState_VM_STATE_RETURNING)[0].Name()
	before.AsOfMs = bn.ck.Now() - 15_000
	late.Tick(ctx)
	qt.Assert(t, readVM(bn, name).State(), qt.Equals, fleetpb.VMState_VM_STATE_RETURNING)
	bn.runUntil(dr, 100, func() bool { return readVM(bn, name).Serving() })
	want := readVM(bn, name).Incarnation()
	before.AsOfMs = bn.ck.Now() - 15_000
	late.Tick(ctx)
	qt.Assert(t, readVM(bn, name).Incarnation(), qt.Equals, want)
}

// The platform replaces a VM in each state of its maintenance; the new incarnation must come into service and the wave must complete.
func TestReplacedDuringWave(t *testing.T) {
	bn := newBench(t, "{name: p, size: 4, max-unavailable: 3, kind: endpoint}")
	bn.add("p", 1, 1)
	dr := bn.startWave(1)
	for _, st := range []fleetpb.VMState{fleetpb.VMState_VM_STATE_DRAINING, fleetpb.VMState_VM_STATE_REBOOTING, fleetpb.VMState_VM_STATE_RETURNING} {
		bn.runUntil(dr, 100, func() bool { return len(bn.vmsInState(st)) == 1 })
		inst := bn.vmsInState(st)[0]
		fresh := &platformpb.VM{Name: inst.Name(), Incarnation: inst.Name() + "-fresh-" + vm.StateName(st), Zone: "z0", Rack: "r9", Kind: "endpoint"}
		bn.listed[inst.Name()] = fresh
		delete(bn.drained, inst.Name())
		bn.sv.PutVM(fresh)
		bn.runUntil(dr, 100, func() bool { return readVM(bn, inst.Name()).Serving() })
	}
	bn.runUntil(dr, 400, bn.waveInState("w", done))
	bn.assertNoViolations()
}

// Guards against a job that is placed while its VM begins to drain: its commit must fail, and a VM on which work still runs must not be moved.
func TestF3PlacementConflictsWithDrain(t *testing.T) {
	ctx := context.Background()
	bn := newBench(t, "{name: p, size: 2, max-unavailable: 2, kind: endpoint}", "{name: q, size: 0, max-unavailable: 0, kind: endpoint}")
	bn.add("p", 1, 1)
	dr := bn.driver("first", -1, false)
	bn.runUntil(dr, 10, bn.serving(2))
	cond, err := readVM(bn, "p-00").PlacementCondition(1)
	qt.Assert(t, err, qt.IsNil)
	_, err = dr.MoveVM(ctx, "op", "p-00", "q", "demand")
	qt.Assert(t, err, qt.IsNil)
	place := &platformpb.CommitRequest{Operation: "place", Conditions: []*platformpb.Condition{cond}, Writes: []*platformpb.Write{{Key: "job/1"}}}
	rep, err := bn.sv.Table().Commit(ctx, watcher, place)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, rep.GetCommitted(), qt.IsFalse)
	busy := true
	dr.SetBusy(func(context.Context, string) (bool, error) { return busy, nil })
	runTicks(bn, dr, 10)
	qt.Assert(t, readVM(bn, "p-00").Pool(), qt.Equals, "p")
	busy = false
	bn.runUntil(dr, 20, func() bool { return readVM(bn, "p-00").Pool() == "q" })
}

// A repeated step must succeed without effect under its operation id; the same step by another operator must conflict.
func TestTwoOperatorsRace(t *testing.T) {
	ctx := context.Background()
	bn := newBench(t, "{name: p, size: 3, max-unavailable: 2, kind: endpoint}")
	bn.add("p", 1, 1)
	dr := bn.startWave(1)
	_, err := dr.ChangeWave(ctx, "op-1", "jana", "w", "pause")
	qt.Assert(t, err, qt.IsNil)
	again, err := dr.ChangeWave(ctx, "op-1", "jana", "w", "pause")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, again.Epoch(), qt.Equals, uint64(2))
	_, err = dr.ChangeWave(ctx, "op-2", "peter", "w", "pause")
	qt.Assert(t, code.Of(err), qt.Equals, code.Conflict)
	_, err = dr.CreateWave(ctx, "op-3", "peter", &fleetpb.WaveRow{Name: "w"})
	qt.Assert(t, code.Of(err), qt.Equals, code.Conflict)
	runTicks(bn, dr, 20)
	qt.Assert(t, bn.reboots, qt.HasLen, 0)
	_, err = dr.ChangeWave(ctx, "op-4", "jana", "w", "resume")
	qt.Assert(t, err, qt.IsNil)
	bn.runUntil(dr, 200, bn.waveInState("w", done))
}

// A bundle that removes a pool with VMs or changes its kind must be refused; a driver that meets such a bundle all the same must leave the VMs in service.
func TestF9PoolRemovedWhileItHoldsVMs(t *testing.T) {
	ctx := context.Background()
	bn := newBench(t, "{name: p, size: 2, max-unavailable: 2, kind: endpoint}", "{name: q, size: 0, max-unavailable: 0, kind: endpoint}")
	bn.add("p", 1, 1)
	dr := bn.driver("first", -1, false)
	bn.runUntil(dr, 10, bn.serving(2))
	without := parse(t, 2, "{name: q, size: 0, max-unavailable: 0, kind: endpoint}")
	qt.Assert(t, code.Of(dr.Check(ctx, bn.bd, without)), qt.Equals, code.BundleInvalid)
	kind := parse(t, 2, "{name: p, size: 2, max-unavailable: 2, kind: worker}")
	qt.Assert(t, code.Of(dr.Check(ctx, bn.bd, kind)), qt.Equals, code.BundleInvalid)
	empty := parse(t, 2, "{name: p, size: 2, max-unavailable: 0, kind: endpoint}")
	qt.Assert(t, dr.Check(ctx, bn.bd, empty), qt.IsNil)
	bn.bd = without
	restarted := bn.driver("second", -1, false)
	runTicks(bn, restarted, 3)
	qt.Assert(t, bn.vmsInState(fleetpb.VMState_VM_STATE_SERVING), qt.HasLen, 2)
}

// A budget that is reduced below the number of VMs already out of service must allow no more to leave, and must not disturb those that are out.
func TestF9BudgetReducedBelowAwayCount(t *testing.T) {
	ctx := context.Background()
	bn := newBench(t, "{name: p, size: 4, max-unavailable: 4, kind: endpoint}")
	bn.add("p", 1, 1)
	dr := bn.driver("first", -1, false)
	bn.runUntil(dr, 10, bn.serving(4))
	for _, name := range []string{"p-00", "p-01"} {
		_, err := dr.HoldVM(ctx, "hold-"+name, name, "noisy")
		qt.Assert(t, err, qt.IsNil)
	}
	bn.bd = parse(t, 2, "{name: p, size: 4, max-unavailable: 1, kind: endpoint}")
	runTicks(bn, dr, 10)
	qt.Assert(t, bn.vmsInState(fleetpb.VMState_VM_STATE_QUARANTINED), qt.HasLen, 2)
	_, err := dr.HoldVM(ctx, "hold-third", "p-02", "noisy")
	qt.Assert(t, code.Of(err), qt.Equals, code.BudgetExhausted)
	_, err = dr.ReleaseVM(ctx, "release", "p-00", "well")
	qt.Assert(t, err, qt.IsNil)
	bn.runUntil(dr, 20, bn.serving(3))
}

func readVM(bn *bench, name string) *vm.VM {
	row, err := bn.sv.Table().Client(watcher).Get(context.Background(), vm.Key(name))
	qt.Assert(bn.t, err, qt.IsNil)
	inst, err := vm.Parse(row)
	qt.Assert(bn.t, err, qt.IsNil)
	return inst
}

// TestMaintenanceRateOfWave measures the time and the table calls of a wave per VM, and checks that at this rate 22,000 VMs in 306 pools are maintained in time.
func TestMaintenanceRateOfWave(t *testing.T) {
	bn := newBench(t, "{name: p, size: 6, max-unavailable: 2, kind: endpoint}", "{name: q, size: 6, max-unavailable: 2, kind: endpoint}")
	bn.sv.Table().SetFaults(nil, nil)
	bn.add("p", 1, 1)
	bn.add("q", 1, 1)
	dr := bn.startWave(1)
	start := bn.ck.Now()
	writes, reads := bn.sv.Table().Counts()
	cnt := 0
	for ; cnt < 400 && !bn.waveInState("w", done)(); cnt++ {
		dr.Tick(context.Background())
		bn.ck.Advance(tickMS)
	}
	writesAfter, readsAfter := bn.sv.Table().Counts()
	const vms, pools = 12, 2
	perVMMS := (bn.ck.Now() - start) / (vms / pools)
	t.Logf("per VM: %d ms, %.2f writes, ticks %d, reads per tick %.2f", perVMMS,
		float64(writesAfter-writes)/vms, cnt, float64(readsAfter-reads)/float64(cnt)-1)
	qt.Assert(t, writesAfter-writes, qt.Equals, int64(4*vms+pools))
	rt, err := maintenancerate.New(22_000, 306, perVMMS, maintenancerate.SixWeeksMS, 0.5)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, rt.Fits(1), qt.IsTrue)
}

// TestDrainWaitsForLongestRun checks that a VM isn't rebooted while a request that was sent to it in time may still run.
func TestDrainWaitsForLongestRun(t *testing.T) {
	ctx := context.Background()
	bn := newBench(t, "{name: p, size: 3, max-unavailable: 2, kind: endpoint}")
	bn.add("p", 1, 1)
	bn.bd = parseWith(t, "services: [{name: s, queue: open, idempotent: true, pool: p, deadline-ms: 1000, longest-run-ms: 40000, max-body-bytes: 1, max-answer-bytes: 1, max-queued: 1}]",
		"{name: p, size: 3, max-unavailable: 2, kind: endpoint}")
	dr := bn.driver("first", -1, false)
	bn.runUntil(dr, 10, bn.serving(3))
	_, err := dr.MoveVM(ctx, "op", "p-00", "p", "")
	qt.Assert(t, code.Of(err), qt.Equals, code.Conflict)
	_, err = dr.HoldVM(ctx, "op", "p-00", "noisy")
	qt.Assert(t, err, qt.IsNil)
	start := bn.ck.Now()
	bn.runUntil(dr, 30, func() bool { return len(bn.vmsInState(fleetpb.VMState_VM_STATE_QUARANTINED)) == 1 })
	qt.Assert(t, bn.ck.Now()-start >= 43_000, qt.IsTrue, qt.Commentf("drained after %d ms", bn.ck.Now()-start))
}
