package jobrunner_test

import (
	"context"
	"slices"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/membership/ownership"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// maintenanceMS is how long the maintenance of a machine takes.
const maintenanceMS = 2000

func (si *simulation) waveSpecs() []*workpb.Wave {
	si.mu.Lock()
	defer si.mu.Unlock()
	return slices.Clone(si.waves)
}

func (si *simulation) addWave(number int64, atOnce int32, durationMS int64) {
	si.mu.Lock()
	defer si.mu.Unlock()
	wave := &workpb.Wave{Number: number, AtOnce: atOnce, DurationMs: durationMS}
	for _, mc := range si.machines {
		wave.Machines = append(wave.Machines, mc.GetId())
	}
	si.waves = append(si.waves, wave)
	si.maintained[number] = map[string]bool{}
}

// waveStatus fails the test if a wave is reported as completed while a machine of it hasn't begun its maintenance.
func (si *simulation) waveStatus(_ context.Context, wave int64, completed bool) error {
	si.mu.Lock()
	defer si.mu.Unlock()
	at := slices.IndexFunc(si.waves, func(spec *workpb.Wave) bool { return spec.GetNumber() == wave })
	for _, id := range si.waves[at].GetMachines() {
		if completed && !si.maintained[wave][id] {
			si.t.Errorf("wave %d is reported as completed before the maintenance of %s", wave, id)
		}
	}
	si.completed[wave] = completed
	return nil
}

// storedWave returns the stored state of a wave.
func (si *simulation) storedWave(wave int64) *workpb.Upkeep {
	row := &workpb.Upkeep{}
	rw, ok, err := si.st.Rowstore().Get(context.Background(), "upkeep", ownership.Partition, strconv.FormatInt(wave, 10))
	qt.Check(si.t, err, qt.IsNil)
	if ok {
		qt.Check(si.t, proto.Unmarshal(rw.Value(), row), qt.IsNil)
	}
	return row
}

// maintain begins the maintenance of a machine that is up; it fails the test if the order wasn't stored before.
func (si *simulation) maintain(_ context.Context, id string, wave, _ int64) error {
	if !slices.Contains(si.storedWave(wave).GetOrdered(), id) {
		si.t.Errorf("maintenance of %s for wave %d is ordered before that is stored", id, wave)
	}
	si.mu.Lock()
	defer si.mu.Unlock()
	at := slices.IndexFunc(si.machines, func(mc *workpb.Machine) bool { return mc.GetId() == id })
	mc := si.machines[at]
	if si.maintained[wave][id] {
		return nil
	}
	if !mc.GetUp() {
		return code.Conflict.New("machine %s is busy", id)
	}
	si.maintained[wave][id] = true
	mc.Up, mc.InUpkeep = false, true
	go func() {
		time.Sleep(maintenanceMS * time.Millisecond)
		si.mu.Lock()
		defer si.mu.Unlock()
		mc.Up, mc.InUpkeep = true, false
	}()
	return nil
}

func (si *simulation) isCompleted(wave int64) bool {
	si.mu.Lock()
	defer si.mu.Unlock()
	return si.completed[wave]
}

// Two waves share their machines, commits are slow and the owner loses the store within both.
func TestOverlappingWavesCountOnlyTheirOwnMaintenance(t *testing.T) {
	for _, latencyMS := range []int64{0, 250, 400, 600, 900} {
		simulate(t, func(si *simulation) {
			si.st.SetLatency(latencyMS)
			si.start("one")
			si.start("two")
			si.wait(3000)
			si.addWave(1, 2, 40_000)
			si.wait(3500)
			si.addWave(2, 1, 40_000)
			si.wait(2500)
			first := si.owner()
			si.entries[first].setCut(true)
			for range 600 {
				si.wait(100)
				if si.isCompleted(1) && si.isCompleted(2) {
					break
				}
			}
			qt.Check(t, si.owner() != first, qt.IsTrue)
			qt.Check(t, si.isCompleted(1) && si.isCompleted(2), qt.IsTrue, qt.Commentf("commits of %d ms", latencyMS))
		})
	}
}

func TestLongRunningTasksMoveOnceInAWave(t *testing.T) {
	simulate(t, func(si *simulation) {
		for _, wk := range si.workers {
			wk.Behave = func(string, int64) (int64, workpb.End) { return 0, workpb.End_END_UNKNOWN }
		}
		si.start("one")
		si.wait(3000)
		jb := &workpb.Job{Id: "00000000000000aa", Queue: "q", AcceptedMs: si.ck.Now(), Steps: []*workpb.Step{
			{Count: 5, CpuMilli: 1500, MemoryMb: 10, Lasting: true, DisruptionBudget: 1},
		}}
		qt.Assert(t, si.in.Submit(context.Background(), jb), qt.IsNil)
		si.wait(3000)
		si.addWave(1, 1, 60_000)
		si.mu.Lock()
		si.addVM("vm-4")
		si.workers["vm-4"].Behave = si.workers["vm-0"].Behave
		si.mu.Unlock()
		for range 600 {
			si.wait(100)
			if si.isCompleted(1) {
				break
			}
		}
		qt.Check(t, si.isCompleted(1), qt.IsTrue)
		si.mu.Lock()
		defer si.mu.Unlock()
		qt.Check(t, len(si.starts), qt.Equals, 5)
		for task, count := range si.starts {
			qt.Check(t, count <= 2, qt.IsTrue, qt.Commentf("%d starts of %s", count, task))
		}
	})
}
