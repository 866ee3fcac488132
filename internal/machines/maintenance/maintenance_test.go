package maintenance_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/machines/maintenance"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
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

const (
	// restartMS is how long a task that leaves a VM takes until it is at work elsewhere; then the next task of its step may leave.
	restartMS = 1200
	listMS    = 1000
	drainMS   = 100
)

// budgetedFleet is a wave over machines of which some hold long-running tasks, each step of which lets only one task be away at a time.
type budgetedFleet struct {
	nowMS  int64
	wv     *maintenance.Wave
	spec   *workpb.Wave
	tasks  map[string][]string
	freeMS map[string]int64
	down   map[string]int64
	done   map[string]bool
}

// newBudgetedFleet returns idle machines and machines that hold one task each of two of the steps.
func newBudgetedFleet(idle, withTasks, steps int) *budgetedFleet {
	bf := &budgetedFleet{
		nowMS: 1000, spec: &workpb.Wave{Number: 1, AtOnce: int32(idle+withTasks) * 2 / 5, DurationMs: durationMS},
		tasks: map[string][]string{}, freeMS: map[string]int64{}, down: map[string]int64{}, done: map[string]bool{},
	}
	for at := range idle + withTasks {
		id := fmt.Sprintf("m%03d", at)
		bf.spec.Machines = append(bf.spec.Machines, id)
		if at >= idle {
			bf.tasks[id] = []string{fmt.Sprintf("s%d", at%steps), fmt.Sprintf("s%d", (at+1)%steps)}
		}
	}
	bf.wv = maintenance.New(bf.spec, func(string, bool) {}, bf.evacuate, func(vm string) int { return len(bf.tasks[vm]) }, func(vm string) bool { return len(bf.tasks[vm]) > 0 })
	return bf
}

func (bf *budgetedFleet) evacuate(vm string, _ bool) bool {
	var left []string
	for _, step := range bf.tasks[vm] {
		if bf.freeMS[step] > bf.nowMS {
			left = append(left, step)
			continue
		}
		bf.freeMS[step] = bf.nowMS + restartMS
	}
	bf.tasks[vm] = left
	return len(left) == 0
}

func (bf *budgetedFleet) step() {
	var list []*workpb.Machine
	for _, id := range bf.spec.GetMachines() {
		if since, ok := bf.down[id]; ok && bf.nowMS-since >= downForMS {
			delete(bf.down, id)
		}
		_, down := bf.down[id]
		list = append(list, &workpb.Machine{Id: id, Up: !down, InUpkeep: down, Vm: id})
	}
	for _, id := range bf.wv.Step(bf.nowMS, bf.nowMS, list) {
		if !bf.done[id] {
			bf.done[id] = true
			bf.down[id] = bf.nowMS
		}
		bf.wv.RecordAccepted(id, bf.nowMS)
	}
}

// Tasks of a long-running step leave one after the other, which may take most of a wave. So their machines must be drained from its start, beside the idle ones, to leave time for an outage.
func TestMachinesWithLongRunningTasksAreDrainedFromTheStart(t *testing.T) {
	for _, tc := range []struct {
		name                   string
		idle, withTasks, steps int
		// nothing can be ordered during an outage.
		outageFromMS, outageMS int64
	}{
		{"small fleet", 15, 6, 2, 9000, 8000},
		{"large fleet", 145, 40, 7, 16_000, 6000},
		{"large fleet, few steps", 160, 25, 4, 17_000, 6000},
	} {
		bf := newBudgetedFleet(tc.idle, tc.withTasks, tc.steps)
		for bf.nowMS < 1000+durationMS && !bf.wv.Done() {
			bf.nowMS += drainMS
			sinceMS := bf.nowMS - 1000
			if sinceMS >= tc.outageFromMS && sinceMS < tc.outageFromMS+tc.outageMS {
				continue
			}
			bf.wv.Drain(bf.nowMS)
			if sinceMS%listMS == 0 {
				bf.step()
			}
		}
		qt.Check(t, bf.wv.Done(), qt.IsTrue, qt.Commentf("%s: %d of %d machines done", tc.name, len(bf.done), tc.idle+tc.withTasks))
	}
}
