package fleet_test

import (
	"context"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/fleet"
	"github.com/fulmarloft/fulmarloft/internal/fleetpb"
	"github.com/fulmarloft/fulmarloft/internal/fleettable"
	"github.com/fulmarloft/fulmarloft/internal/platform"
	"github.com/fulmarloft/fulmarloft/internal/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/recorder"
	standin "github.com/fulmarloft/fulmarloft/internal/standin/platform"
	"github.com/fulmarloft/fulmarloft/internal/vm"
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

// bench is a stand-in platform with a watcher that checks the promises after each write, and drivers that may be cut off at a chosen effect.
type bench struct {
	t      *testing.T
	ck     *clock.Clock
	sv     *standin.Server
	bd     *bundle.Bundle
	rec    *recorder.Recorder
	seen   map[string]*platformpb.VM
	out    map[string]bool
	failed map[string]bool
	hidden func() map[string]bool
	boots  map[string]int
	budget map[string]int
	size   map[string]int
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
		seen: map[string]*platformpb.VM{}, out: map[string]bool{}, failed: map[string]bool{}, boots: map[string]int{},
		budget: map[string]int{}, size: map[string]int{},
		hidden: func() map[string]bool { return nil },
	}
	for _, pl := range bn.bd.Pools() {
		bn.budget[pl.Name()], bn.size[pl.Name()] = pl.Budget(), pl.Size()
	}
	sv.OnReboot(func(at *platformpb.VM) {
		bn.boots[at.GetName()]++
		bn.seen[at.GetName()] = at
		delete(bn.out, at.GetName())
	})
	sv.Table().SetFaults(nil, func(caller string, write bool) error {
		if write && caller != watcher {
			bn.watch()
		}
		return nil
	})
	return bn
}

// add lists VMs of a pool's size, spread over zones and racks.
func (bn *bench) add(pool string, zones, perRack int) {
	for i := range bn.size[pool] {
		at := &platformpb.VM{
			Name:        fmt.Sprintf("%s-%02d", pool, i),
			Incarnation: fmt.Sprintf("%s-%02d-boot-0", pool, i),
			Zone:        fmt.Sprintf("z%d", i%zones),
			Rack:        fmt.Sprintf("r%d", i/zones/perRack),
			Kind:        "endpoint",
			Pool:        pool,
		}
		bn.seen[at.GetName()] = at
		bn.sv.PutVM(at)
	}
}

// watch notes as a fault every VM in two pools and every pool with more VMs out of work than allowed.
func (bn *bench) watch() {
	rep, err := bn.sv.Table().Read(context.Background(), watcher, &platformpb.ReadRequest{Prefixes: []string{"vm/", "pool/"}})
	qt.Assert(bn.t, err, qt.IsNil)
	holds := map[string][]string{}
	down := map[string]int{}
	for _, row := range rep.GetRows() {
		if !strings.HasPrefix(row.GetKey(), "vm/") {
			pl, err := decodePool(row)
			qt.Assert(bn.t, err, qt.IsNil)
			for _, name := range append(pl.GetMembers(), pl.GetGone()...) {
				holds[name] = append(holds[name], strings.TrimPrefix(row.GetKey(), "pool/"))
			}
			continue
		}
		at, err := vm.Parse(row)
		qt.Assert(bn.t, err, qt.IsNil)
		if at.State() == fleetpb.VMState_VM_STATE_MOVING {
			continue
		}
		if !at.Serving() || bn.out[at.Name()] || bn.failed[at.Name()] {
			down[at.Pool()]++
		}
	}
	for _, row := range rep.GetRows() {
		if !strings.HasPrefix(row.GetKey(), "vm/") {
			continue
		}
		at, _ := vm.Parse(row)
		if got := holds[at.Name()]; len(got) != 1 || got[0] != at.Pool() {
			bn.rec.Fault("%s of pool %s is held by %v", at.Name(), at.Pool(), got)
		}
	}
	for pool, cnt := range down {
		if most, ok := bn.budget[pool]; ok && cnt > most {
			bn.rec.Fault("pool %s: %d down, %d allowed", pool, cnt, most)
		}
	}
}

// driver is one process's fleet driver; at the effect with the number cut it is cut off for good, with the effect done or not.
type driver struct {
	*fleet.Fleet
	effects int
	cut     int
	done    bool
	dead    bool
	// left is how often the driver still finds its lease held, negative for always; allowed is what it found last.
	left    int
	allowed bool
	// unheld counts the effects that no fresh look at the lease preceded.
	unheld int
}

func (dr *driver) holds(string) bool {
	dr.allowed = !dr.dead && dr.left != 0
	if dr.left > 0 {
		dr.left--
	}
	return dr.allowed
}

func (bn *bench) driver(name string, cut int, done bool) *driver {
	dr := &driver{cut: cut, done: done, left: -1}
	link := platform.New(bn.sv.Address(), name)
	tab := fleettable.New(newClient(bn.sv.Table().Client(name), dr))
	list := func(ctx context.Context) (*platformpb.VMList, error) { return bn.list(ctx, link) }
	act := func(ctx context.Context, req *platformpb.VMAction) (*platformpb.VMActionReply, error) {
		return effect(dr, func() (*platformpb.VMActionReply, error) { return bn.act(ctx, link, req) })
	}
	dr.Fleet = fleet.New(name, bn.ck, tab, list, act, func() *bundle.Bundle { return bn.bd }, dr.holds)
	return dr
}

func effect[T any](dr *driver, fn func() (T, error)) (T, error) {
	var none T
	if dr.dead {
		return none, code.TableUnavailable
	}
	dr.effects++
	if !dr.allowed {
		dr.unheld++
	}
	dr.allowed = false
	if dr.effects != dr.cut {
		return fn()
	}
	dr.dead = true
	if dr.done {
		_, _ = fn()
	}
	return none, code.TableInDoubt
}

func (bn *bench) list(ctx context.Context, link *platform.Client) (*platformpb.VMList, error) {
	list, _, err := link.VMs(ctx, "")
	if err != nil {
		return nil, err
	}
	hidden := bn.hidden()
	kept := list.GetVms()[:0]
	for _, at := range list.GetVms() {
		if !hidden[at.GetName()] {
			kept = append(kept, at)
		}
	}
	list.Vms = kept
	return list, nil
}

func (bn *bench) act(ctx context.Context, link *platform.Client, req *platformpb.VMAction) (*platformpb.VMActionReply, error) {
	rep, err := link.Act(ctx, req)
	if err == nil && rep.GetState() != "unknown" {
		if req.GetVerb() == "undrain" {
			delete(bn.out, req.GetVm())
		} else if req.GetIncarnation() == bn.seen[req.GetVm()].GetIncarnation() {
			bn.out[req.GetVm()] = true
		}
	}
	return rep, err
}

// run ticks the driver until the condition holds, and fails the test when it doesn't within so many ticks.
func (bn *bench) run(dr *driver, ticks int, until func() bool) {
	bn.t.Helper()
	for range ticks {
		if until() {
			return
		}
		dr.Tick(context.Background())
		bn.watch()
		bn.ck.Advance(tickMS)
		if dr.dead {
			return
		}
	}
	if !until() {
		list, _ := dr.VMs(context.Background(), "")
		bn.t.Fatalf("not reached within %d ticks: %v %v", ticks, dr.Waits(), list)
	}
}

func (bn *bench) serving(want int) func() bool {
	return func() bool { return len(bn.rows(fleetpb.VMState_VM_STATE_SERVING)) == want }
}

func (bn *bench) rows(states ...fleetpb.VMState) []*vm.VM {
	rep, err := bn.sv.Table().Read(context.Background(), watcher, &platformpb.ReadRequest{Prefixes: []string{"vm/"}})
	qt.Assert(bn.t, err, qt.IsNil)
	var list []*vm.VM
	for _, row := range rep.GetRows() {
		at, err := vm.Parse(row)
		qt.Assert(bn.t, err, qt.IsNil)
		for _, st := range states {
			if at.State() == st {
				list = append(list, at)
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

func (bn *bench) inState(name string, want fleetpb.WaveState) func() bool {
	return func() bool { return bn.wave(name).GetState() == want }
}

// start registers all VMs and creates a wave over them.
func (bn *bench) start(parallel uint32) *driver {
	dr := bn.driver("first", -1, false)
	bn.run(dr, 10, bn.serving(len(bn.seen)))
	bn.ck.Advance(tickMS)
	_, err := dr.CreateWave(context.Background(), "create", "jana", &fleetpb.WaveRow{Name: "w", Parallel: parallel})
	qt.Assert(bn.t, err, qt.IsNil)
	return dr
}

func (bn *bench) clean() {
	bn.t.Helper()
	qt.Assert(bn.t, bn.rec.Faults(), qt.HasLen, 0)
}
