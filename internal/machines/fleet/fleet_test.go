package fleet_test

import (
	"context"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/machines/fleet"
	"github.com/fulmarloft/fulmarloft/internal/machines/fleettable"
	"github.com/fulmarloft/fulmarloft/internal/machines/vm"
	"github.com/fulmarloft/fulmarloft/internal/pb/fleetpb"
	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/store/platformclient"
	"github.com/fulmarloft/fulmarloft/internal/testbed/recorder"
	standin "github.com/fulmarloft/fulmarloft/internal/testbed/standin/platform"
	"github.com/fulmarloft/fulmarloft/pkg/bundle"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

const (
	tickMS   = 5_000
	rebootMS = 20_000
	lagMS    = 4_000
	watcher  = "watcher"
)

const bundleHead = `format: 1
version: %d
timing: {config-lease-ms: 4000, loan-lease-ms: 2000, job-lease-ms: 3000, request-memory-ms: 600000, balancer-wait-ms: 3000}
sign-offs-needed: 1
operators:
  - {name: jana, public-key: AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=}
teams: []
services: []
weights: {share: 1, roll-out-time: 1, buffer-cost: 1, moves: 1}
pools:
`

// bench runs fleet drivers against a simulated platform and checks the invariants after each write; a driver can be made to crash at a chosen effect.
type bench struct {
	t        *testing.T
	ck       *clock.Clock
	sv       *standin.Server
	bd       *bundle.Bundle
	rec      *recorder.Recorder
	listed   map[string]*platformpb.VM
	drained  map[string]bool
	failed   map[string]bool
	unlisted func() map[string]bool
	reboots  map[string]int
	budget   map[string]int
	size     map[string]int
}

func parse(t *testing.T, version int, pools ...string) *bundle.Bundle {
	return parseBundle(t, fmt.Sprintf(bundleHead, version), pools...)
}

// parseWith returns a bundle with services.
func parseWith(t *testing.T, services string, pools ...string) *bundle.Bundle {
	return parseBundle(t, strings.Replace(fmt.Sprintf(bundleHead, 1), "services: []", services, 1), pools...)
}

func parseBundle(t *testing.T, head string, pools ...string) *bundle.Bundle {
	bd, err := bundle.Parse([]byte(head + "  - " + strings.Join(pools, "\n  - ") + "\n"))
	qt.Assert(t, err, qt.IsNil)
	return bd
}

func newBench(t *testing.T, pools ...string) *bench {
	ck := clock.NewFake(1_000_000)
	sv, err := standin.New(ck, "127.0.0.1:0", lagMS, rebootMS)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(sv.Close)
	bn := &bench{
		t: t, ck: ck, sv: sv, bd: parse(t, 1, pools...), rec: recorder.New(),
		listed: map[string]*platformpb.VM{}, drained: map[string]bool{}, failed: map[string]bool{}, reboots: map[string]int{},
		budget: map[string]int{}, size: map[string]int{},
		unlisted: func() map[string]bool { return nil },
	}
	for _, pl := range bn.bd.Pools() {
		bn.budget[pl.Name()], bn.size[pl.Name()] = pl.MaxUnavailable(), pl.Size()
	}
	sv.OnReboot(func(listed *platformpb.VM) {
		bn.reboots[listed.GetName()]++
		bn.listed[listed.GetName()] = listed
		delete(bn.drained, listed.GetName())
	})
	sv.Table().SetFaults(nil, func(caller string, write bool) error {
		if write && caller != watcher {
			bn.checkInvariants()
		}
		return nil
	})
	return bn
}

// add makes the platform list as many VMs as the pool's size, spread over zones and racks.
func (bn *bench) add(pool string, zones, perRack int) {
	for i := range bn.size[pool] {
		listed := &platformpb.VM{
			Name:        fmt.Sprintf("%s-%02d", pool, i),
			Incarnation: fmt.Sprintf("%s-%02d-boot-0", pool, i),
			Zone:        fmt.Sprintf("z%d", i%zones),
			Rack:        fmt.Sprintf("r%d", i/zones/perRack),
			Kind:        "endpoint",
			Pool:        pool,
		}
		bn.listed[listed.GetName()] = listed
		bn.sv.PutVM(listed)
	}
}

// checkInvariants records a violation for every VM that isn't in exactly the pool that its row names, and for every pool with more VMs down than its budget allows.
func (bn *bench) checkInvariants() {
	rep, err := bn.sv.Table().Read(context.Background(), watcher, &platformpb.ReadRequest{Prefixes: []string{"vm/", "pool/"}})
	qt.Assert(bn.t, err, qt.IsNil)
	poolsOf := map[string][]string{}
	down := map[string]int{}
	for _, row := range rep.GetRows() {
		if !strings.HasPrefix(row.GetKey(), "vm/") {
			pl, err := decodePool(row)
			qt.Assert(bn.t, err, qt.IsNil)
			for _, name := range append(pl.GetMembers(), pl.GetGone()...) {
				poolsOf[name] = append(poolsOf[name], strings.TrimPrefix(row.GetKey(), "pool/"))
			}
			continue
		}
		inst, err := vm.Parse(row)
		qt.Assert(bn.t, err, qt.IsNil)
		if inst.State() == fleetpb.VMState_VM_STATE_MOVING {
			continue
		}
		if !inst.Serving() || bn.drained[inst.Name()] || bn.failed[inst.Name()] {
			down[inst.Pool()]++
		}
	}
	for _, row := range rep.GetRows() {
		if !strings.HasPrefix(row.GetKey(), "vm/") {
			continue
		}
		inst, _ := vm.Parse(row)
		if got := poolsOf[inst.Name()]; len(got) != 1 || got[0] != inst.Pool() {
			bn.rec.AddViolation("row of %s names pool %s, but the pools that list it are %v", inst.Name(), inst.Pool(), got)
		}
	}
	for pool, cnt := range down {
		if allowed, ok := bn.budget[pool]; ok && cnt > allowed {
			bn.rec.AddViolation("pool %s: %d down, %d allowed", pool, cnt, allowed)
		}
	}
}

// driver is the fleet driver of one process. At the effect number crashAt it crashes for good; applied tells whether that effect still took place. A negative crashAt never crashes.
type driver struct {
	*fleet.Fleet
	effects int
	crashAt int
	applied bool
	crashed bool
	// leaseChecksLeft is how many more lease checks succeed, negative for all; leaseChecked is set by a check that succeeds and cleared by a failed one and by each effect.
	leaseChecksLeft int
	leaseChecked    bool
	// uncheckedEffects counts the effects that weren't directly preceded by a lease check that succeeded.
	uncheckedEffects int
}

func (dr *driver) holdsLease(string) bool {
	dr.leaseChecked = !dr.crashed && dr.leaseChecksLeft != 0
	if dr.leaseChecksLeft > 0 {
		dr.leaseChecksLeft--
	}
	return dr.leaseChecked
}

func (bn *bench) driver(name string, crashAt int, applied bool) *driver {
	dr := &driver{crashAt: crashAt, applied: applied, leaseChecksLeft: -1}
	cl := platformclient.New(bn.sv.Address(), name)
	tab := fleettable.New(newClient(bn.sv.Table().Client(name), dr))
	list := func(ctx context.Context) (*platformpb.VMList, error) { return bn.list(ctx, cl) }
	act := func(ctx context.Context, req *platformpb.VMAction) (*platformpb.VMActionReply, error) {
		return withCrash(dr, func() (*platformpb.VMActionReply, error) { return bn.act(ctx, cl, req) })
	}
	dr.Fleet = fleet.New(name, bn.ck, tab, list, act, func() *bundle.Bundle { return bn.bd }, dr.holdsLease)
	return dr
}

// withCrash counts an effect of the driver and carries it out, unless the driver has crashed or crashes at it.
func withCrash[T any](dr *driver, fn func() (T, error)) (T, error) {
	var none T
	if dr.crashed {
		return none, code.TableUnavailable
	}
	dr.effects++
	if !dr.leaseChecked {
		dr.uncheckedEffects++
	}
	dr.leaseChecked = false
	if dr.effects != dr.crashAt {
		return fn()
	}
	dr.crashed = true
	if dr.applied {
		_, _ = fn()
	}
	return none, code.TableInDoubt
}

func (bn *bench) list(ctx context.Context, cl *platformclient.Client) (*platformpb.VMList, error) {
	list, _, err := cl.VMs(ctx, "")
	if err != nil {
		return nil, err
	}
	unlisted := bn.unlisted()
	kept := list.GetVms()[:0]
	for _, listed := range list.GetVms() {
		if !unlisted[listed.GetName()] {
			kept = append(kept, listed)
		}
	}
	list.Vms = kept
	return list, nil
}

func (bn *bench) act(ctx context.Context, cl *platformclient.Client, req *platformpb.VMAction) (*platformpb.VMActionReply, error) {
	rep, err := cl.Act(ctx, req)
	if err == nil && rep.GetState() != "unknown" {
		if req.GetVerb() == "undrain" {
			delete(bn.drained, req.GetVm())
		} else if req.GetIncarnation() == bn.listed[req.GetVm()].GetIncarnation() {
			bn.drained[req.GetVm()] = true
		}
	}
	return rep, err
}

// runUntil ticks the driver until the condition holds or the driver crashes, and fails the test if that takes more than the given number of ticks.
func (bn *bench) runUntil(dr *driver, ticks int, until func() bool) {
	bn.t.Helper()
	for range ticks {
		if until() {
			return
		}
		dr.Tick(context.Background())
		bn.checkInvariants()
		bn.ck.Advance(tickMS)
		if dr.crashed {
			return
		}
	}
	if !until() {
		list, _ := dr.VMs(context.Background(), "")
		bn.t.Fatalf("condition not reached within %d ticks: wait reasons %v, VMs %v", ticks, dr.WaitReasons(), list)
	}
}

func (bn *bench) serving(want int) func() bool {
	return func() bool { return len(bn.vmsInState(fleetpb.VMState_VM_STATE_SERVING)) == want }
}

func (bn *bench) vmsInState(states ...fleetpb.VMState) []*vm.VM {
	rep, err := bn.sv.Table().Read(context.Background(), watcher, &platformpb.ReadRequest{Prefixes: []string{"vm/"}})
	qt.Assert(bn.t, err, qt.IsNil)
	var list []*vm.VM
	for _, row := range rep.GetRows() {
		inst, err := vm.Parse(row)
		qt.Assert(bn.t, err, qt.IsNil)
		for _, st := range states {
			if inst.State() == st {
				list = append(list, inst)
			}
		}
	}
	return list
}

func (bn *bench) wave(name string) *fleetpb.WaveRow {
	row, err := bn.sv.Table().Client(watcher).Get(context.Background(), "wave/"+name)
	qt.Assert(bn.t, err, qt.IsNil)
	msg, err := decodeWave(row)
	qt.Assert(bn.t, err, qt.IsNil)
	return msg
}

func (bn *bench) waveInState(name string, want fleetpb.WaveState) func() bool {
	return func() bool { return bn.wave(name).GetState() == want }
}

// startWave registers all VMs and creates a wave that selects them.
func (bn *bench) startWave(parallel uint32) *driver {
	dr := bn.driver("first", -1, false)
	bn.runUntil(dr, 10, bn.serving(len(bn.listed)))
	bn.ck.Advance(tickMS)
	_, err := dr.CreateWave(context.Background(), "create", "jana", &fleetpb.WaveRow{Name: "w", Parallel: parallel})
	qt.Assert(bn.t, err, qt.IsNil)
	return dr
}

func (bn *bench) assertNoViolations() {
	bn.t.Helper()
	qt.Assert(bn.t, bn.rec.Violations(), qt.HasLen, 0)
}
