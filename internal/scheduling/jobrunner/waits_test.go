package jobrunner_test

import (
	"context"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/configuration/rulesindex"
	"github.com/fulmarloft/fulmarloft/internal/membership/ownership"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/intake"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/waitestimate"
	"github.com/fulmarloft/fulmarloft/internal/store/rowstore"
	"github.com/fulmarloft/fulmarloft/internal/testbed/rowstoretest"
	"github.com/fulmarloft/fulmarloft/internal/testbed/workertest"
)

// weightedRules returns the rules of the simulation with a weight for a team, under which queueing delays are estimated.
func weightedRules() *rulesindex.Index {
	rules := proto.Clone(rules()().Rules()).(*workpb.Rules)
	rules.Teams = []*workpb.Team{{Name: "t", Weight: 1}}
	return rulesindex.New(rules)
}

// storedWaits returns the stored estimate and the version of its row, nil if there is none.
func (si *simulation) storedWaits() (*workpb.Waits, int64) {
	rw, ok, err := si.st.Rowstore().Get(context.Background(), waitestimate.Table, ownership.Partition, waitestimate.Key)
	if err != nil || !ok {
		return nil, 0
	}
	row := &workpb.Waits{}
	qt.Assert(si.t, proto.Unmarshal(rw.Value(), row), qt.IsNil)
	return row, rw.Version()
}

// overload submits four times the work that four VMs do, for some time, and calls see with each stored estimate.
func (si *simulation) overload(prefix string, forMS int64, see func(atMS int64, row *workpb.Waits)) {
	const tickMS = 100
	for atMS := int64(0); atMS < forMS; atMS += tickMS {
		id := fmt.Sprintf("%s%015d", prefix, si.ck.Now())
		jb := &workpb.Job{Id: id, Queue: "q", Team: "t", AcceptedMs: si.ck.Now(), Steps: []*workpb.Step{
			{Count: 8, CpuMilli: 2000, MemoryMb: 100, EstimateMs: 800},
		}}
		// While the store is down nothing is accepted.
		_ = si.in.Submit(context.Background(), jb)
		si.wait(tickMS)
		if row, _ := si.storedWaits(); row != nil {
			see(atMS, row)
		}
	}
}

func noted(int64, *workpb.Waits) {}

// weighted runs a simulation under rules with weights.
func weighted(t *testing.T, run func(si *simulation)) {
	simulate(t, func(si *simulation) {
		ix := weightedRules()
		si.rules = func() *rulesindex.Index { return ix }
		run(si)
	})
}

// The estimate must be stored while work waits, be recent, and be ended by one empty row, after which nothing is written.
func TestEstimateIsStoredWhileWorkWaits(t *testing.T) {
	weighted(t, func(si *simulation) {
		si.start("one")
		si.wait(4000)
		first, idleVersion := si.storedWaits()
		qt.Assert(t, first, qt.IsNotNil)
		qt.Assert(t, len(first.GetServices()), qt.Equals, 0)
		si.wait(2000)
		_, version := si.storedWaits()
		qt.Assert(t, version, qt.Equals, idleVersion)
		listed := 0
		si.overload("0", 4000, func(atMS int64, row *workpb.Waits) {
			if len(row.GetServices()) == 0 {
				return
			}
			listed++
			qt.Check(t, row.GetServices()[0].GetRoomMilli(), qt.Equals, int64(32_000), qt.Commentf("at %d ms", atMS))
			qt.Check(t, si.ck.Now()-row.GetEstimatedMs() <= 500, qt.IsTrue, qt.Commentf("%d ms old", si.ck.Now()-row.GetEstimatedMs()))
		})
		qt.Check(t, listed >= 25, qt.IsTrue, qt.Commentf("listed at %d of 40 times", listed))
		si.wait(30_000)
		last, version := si.storedWaits()
		qt.Check(t, len(last.GetServices()), qt.Equals, 0)
		si.wait(2000)
		_, versionLater := si.storedWaits()
		qt.Check(t, versionLater, qt.Equals, version)
	})
}

// Guards against a write by operators' rules that don't ask for estimates.
func TestNoEstimateIsStoredWithoutWeights(t *testing.T) {
	simulate(t, func(si *simulation) {
		si.start("one")
		si.wait(4000)
		si.overload("0", 2000, noted)
		row, _ := si.storedWaits()
		qt.Assert(t, row, qt.IsNil)
	})
}

// Guards against refusals by the estimate of an owner that was replaced, also one that doesn't know it yet, and by that of a new one that doesn't know its VMs.
func TestNewOwnerListsNothingInItsFirstThreeSeconds(t *testing.T) {
	for _, tc := range []struct {
		name string
		// lose takes the ownership from "one", rejoin lets it go on.
		lose, rejoin func(si *simulation)
	}{
		{"owner killed", func(si *simulation) { si.kill("one") }, func(*simulation) {}},
		{
			"owner cut off from the store, and back as if it still owned",
			func(si *simulation) { si.entries["one"].setCut(true) },
			func(si *simulation) { si.entries["one"].setCut(false) },
		},
	} {
		weighted(t, func(si *simulation) {
			si.start("one")
			si.wait(500)
			si.start("two")
			si.wait(3000)
			si.overload("0", 2000, noted)
			row, _ := si.storedWaits()
			qt.Assert(t, len(row.GetServices()), qt.Equals, 1, qt.Commentf(tc.name))
			tc.lose(si)
			for si.owner() != "two" {
				si.overload("1", 100, noted)
			}
			tc.rejoin(si)
			listedMS := int64(0)
			si.overload("2", 6000, func(atMS int64, row *workpb.Waits) {
				if len(row.GetServices()) > 0 && listedMS == 0 && atMS >= 500 {
					listedMS = atMS
				}
			})
			qt.Check(t, listedMS >= 2900, qt.IsTrue, qt.Commentf("%s: listed %d ms after the change", tc.name, listedMS))
		})
	}
}

// Guards against an estimate from before an outage of the store that entries take for a recent one when the retried commit is applied.
func TestNoOldEstimateIsStoredAfterAnOutage(t *testing.T) {
	weighted(t, func(si *simulation) {
		si.start("one")
		si.wait(3500)
		si.overload("0", 2000, noted)
		oldestMS, stored := int64(0), 0
		si.st.SetCommitOutcome(func(tx *rowstore.Tx) rowstoretest.Outcome {
			for _, rw := range tx.Puts() {
				row := &workpb.Waits{}
				if rw.Table() == waitestimate.Table && proto.Unmarshal(rw.Value(), row) == nil {
					stored++
					oldestMS = max(oldestMS, si.ck.Now()-row.GetEstimatedMs())
				}
			}
			return rowstoretest.Served
		})
		for _, fault := range []func(bool){si.st.SetDown, si.st.SetUnresponsive} {
			fault(true)
			si.wait(4000)
			fault(false)
			si.overload("1", 5000, noted)
		}
		qt.Check(t, stored > 0, qt.IsTrue)
		qt.Check(t, oldestMS <= 1500, qt.IsTrue, qt.Commentf("an estimate was stored that was %d ms old", oldestMS))
	})
}

// Guards against a pool that gets no machines because its queue's jobs are refused.
func TestRefusedWorkRequestsMachines(t *testing.T) {
	for _, tc := range []struct {
		name   string
		workMS int64
		pool   string
	}{
		{"refused at admission", 30_000, "s"},
		{"refused as its write had no answer", 0, ""},
	} {
		weighted(t, func(si *simulation) {
			si.workers["z0"] = workertest.New(si.ck, &workpb.VM{Id: "z0"})
			si.machines = append(si.machines, &workpb.Machine{Id: "m-z0", Pool: "z", Up: true, Vm: "z0", CpuMilli: 8000})
			si.start("one")
			si.wait(1000)
			for at := range 4 {
				id := fmt.Sprintf("%016d", at)
				raw, err := proto.Marshal(&workpb.Job{Id: id, Refused: true, Queue: "q", Team: "t", WorkCoreMs: tc.workMS, FirstTriedMs: si.ck.Now()})
				qt.Assert(t, err, qt.IsNil)
				_, _, err = si.st.Rowstore().Commit(context.Background(), rowstore.NewTx(intake.Partition(id)).Put(intake.JobsTable, id, raw))
				qt.Assert(t, err, qt.IsNil)
			}
			si.wait(1000)
			si.mu.Lock()
			defer si.mu.Unlock()
			qt.Check(t, si.moves["m-z0"], qt.Equals, tc.pool, qt.Commentf(tc.name))
		})
	}
}

// Guards against an estimate that counts too little capacity while machines of the standby pool can help, or are on their way: their orders get no answer here.
func TestStandbyMachinesCountAsCapacity(t *testing.T) {
	weighted(t, func(si *simulation) {
		si.movesHang = true
		for at := range 3 {
			si.machines = append(si.machines, &workpb.Machine{Id: fmt.Sprintf("m-z%d", at), Pool: "z", Up: true, CpuMilli: 8000})
		}
		si.machines = append(si.machines,
			&workpb.Machine{Id: "m-z3", Pool: "z", Down: true, CpuMilli: 8000},
			&workpb.Machine{Id: "m-s4", Pool: "s", Moving: true, CpuMilli: 8000})
		si.start("one")
		si.wait(3500)
		listed := 0
		si.overload("0", 4000, func(_ int64, row *workpb.Waits) {
			if len(row.GetServices()) > 0 {
				listed++
				qt.Check(t, row.GetServices()[0].GetRoomMilli(), qt.Equals, int64(8*8000))
			}
		})
		qt.Check(t, listed > 0, qt.IsTrue)
	})
}
