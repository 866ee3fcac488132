package maintenance_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/maintenance"
	"github.com/fulmarloft/fulmarloft/internal/workpb"
)

const (
	stepMS     = 100
	downForMS  = 2000
	durationMS = 26_000
)

// simulation simulates the machines of a wave: each VM becomes idle busyMS after it was cordoned.
type simulation struct {
	t        *testing.T
	wave     *workpb.Wave
	wv       *maintenance.Wave
	nowMS    int64
	cordoned map[string]int64
	busyMS   int64
	down     map[string]int64
	done     map[string]int
	// lost is set while orders are executed without an answer.
	lost bool
}

func newSimulation(t *testing.T, machines int, maxDown int32, busyMS int64) *simulation {
	si := &simulation{
		t: t, wave: &workpb.Wave{Number: 1, AtOnce: maxDown, DurationMs: durationMS}, nowMS: 1000, busyMS: busyMS,
		cordoned: map[string]int64{}, down: map[string]int64{}, done: map[string]int{},
	}
	for at := range machines {
		si.wave.Machines = append(si.wave.Machines, fmt.Sprintf("m%d", at))
	}
	si.newOwner(nil)
	return si
}

func (si *simulation) newOwner(row *workpb.Upkeep) {
	clear(si.cordoned)
	si.wv = maintenance.New(si.wave, si.cordon, si.evacuate, si.load, func(string) bool { return false })
	if row != nil {
		si.wv.Restore(row)
	}
}

func (si *simulation) cordon(vm string, on bool) {
	if _, ok := si.cordoned[vm]; on && !ok {
		si.cordoned[vm] = si.nowMS
	}
	if !on {
		delete(si.cordoned, vm)
	}
}

func (si *simulation) evacuate(vm string, _ bool) bool { return si.load(vm) == 0 }

func (si *simulation) load(vm string) int {
	since, ok := si.cordoned[vm]
	if ok && si.nowMS-since >= si.busyMS {
		return 0
	}
	return 1
}

func (si *simulation) list() []*workpb.Machine {
	var out []*workpb.Machine
	for _, id := range si.wave.GetMachines() {
		_, down := si.down[id]
		out = append(out, &workpb.Machine{Id: id, Up: !down, InUpkeep: down, Vm: fmt.Sprintf("%s-%d", id, si.done[id])})
	}
	return out
}

// step advances the simulation and checks that no more machines are down than the wave allows.
func (si *simulation) step() {
	si.nowMS += stepMS
	for id, since := range si.down {
		if si.nowMS-since >= downForMS {
			delete(si.down, id)
		}
	}
	for _, id := range si.wv.Step(si.nowMS, si.nowMS, si.list()) {
		si.order(id)
	}
	qt.Assert(si.t, len(si.down) <= int(si.wave.GetAtOnce()), qt.IsTrue, qt.Commentf("%d machines down, at most %d allowed", len(si.down), si.wave.GetAtOnce()))
}

func (si *simulation) order(id string) {
	if si.done[id] == 0 {
		si.done[id]++
		si.down[id] = si.nowMS
	}
	if si.lost {
		return
	}
	si.wv.RecordAccepted(id, si.nowMS)
}

// A wave must end within its duration and never have more machines down than allowed, even if answers are lost or the owner is replaced.
func TestWaveEndsInTime(t *testing.T) {
	for _, tc := range []struct {
		name    string
		count   int
		maxDown int32
		busyMS  int64
		disturb func(si *simulation)
	}{
		{name: "idle machines", count: 22, maxDown: 9},
		{name: "busy machines", count: 22, maxDown: 9, busyMS: 1500},
		{name: "one at a time", count: 5, maxDown: 1, busyMS: 500},
		{name: "answers lost temporarily", count: 12, maxDown: 4, busyMS: 500, disturb: func(si *simulation) { si.lost = si.nowMS < 6000 }},
		{name: "owner replaced repeatedly", count: 12, maxDown: 4, busyMS: 500, disturb: func(si *simulation) {
			if si.nowMS%3000 == 0 {
				si.newOwner(si.wv.Row())
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			si := newSimulation(t, tc.count, tc.maxDown, tc.busyMS)
			for !si.wv.Done() && si.nowMS < 1000+durationMS {
				if tc.disturb != nil {
					tc.disturb(si)
				}
				si.step()
			}
			qt.Assert(t, si.wv.Done(), qt.IsTrue)
			qt.Assert(t, len(si.done), qt.Equals, tc.count)
		})
	}
}

func TestBusyMachinesAreDrainedNoFasterThanRequired(t *testing.T) {
	si := newSimulation(t, 10, 9, 1500)
	si.step()
	qt.Assert(t, len(si.cordoned) <= 5, qt.IsTrue, qt.Commentf("%d machines cordoned in the first step", len(si.cordoned)))
}

func TestWaveCompletesWithoutRemovedMachine(t *testing.T) {
	si := newSimulation(t, 3, 3, 0)
	si.wave.Machines = si.wave.Machines[:2]
	for !si.wv.Done() && si.nowMS < 20_000 {
		si.step()
	}
	qt.Assert(t, si.wv.Done(), qt.IsTrue)
}
