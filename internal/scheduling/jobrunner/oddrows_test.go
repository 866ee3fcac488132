package jobrunner_test

import (
	"context"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/membership/ownership"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/intake"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/jobrunner"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/waitestimate"
	"github.com/fulmarloft/fulmarloft/internal/store/rowstore"
)

// oddRow is a row that no entry of this version writes.
type oddRow struct {
	name, table, partition, key string
	value                       proto.Message
}

const oddJobID = "00000000000000bb"

// oddJob returns the row of a job with steps that can't be scheduled.
func oddJob(name string, steps ...*workpb.Step) oddRow {
	jb := &workpb.Job{Id: oddJobID, Queue: "q", AcceptedMs: 1, Steps: steps}
	return oddRow{name, intake.JobsTable, intake.Partition(oddJobID), oddJobID, jb}
}

// oddProgress returns the progress row of the job of the test with one odd task.
func oddProgress(name string, tasks ...*workpb.Task) oddRow {
	pg := &workpb.Progress{Id: "00000000000000aa", State: workpb.State_RUNNING, Tasks: tasks}
	return oddRow{name, intake.ProgressTable, ownership.Partition, "00000000000000aa", pg}
}

func oddRows() []oddRow {
	jobs := intake.Partition(oddJobID)
	vm := &workpb.VM{Id: "vm-odd", Service: "s", Address: "", CpuMilli: -1 << 62, MemoryMb: 1 << 62}
	return []oddRow{
		{"unreadable job", intake.JobsTable, jobs, oddJobID, nil},
		{"job without id", intake.JobsTable, jobs, oddJobID, &workpb.Job{Queue: "q"}},
		{"refusal without id", intake.JobsTable, jobs, oddJobID, &workpb.Job{Refused: true}},
		{"ended job without id", intake.EndedTable, jobs, oddJobID, &workpb.Job{Ended: workpb.State_COMPLETED}},
		{"job without queue", intake.JobsTable, jobs, oddJobID, &workpb.Job{Id: oddJobID}},
		oddJob("dependency on no step", &workpb.Step{Count: 1, After: []int32{7}}),
		oddJob("dependency on itself", &workpb.Step{Count: 1, After: []int32{0}}),
		oddJob("negative dependency", &workpb.Step{Count: 1, After: []int32{-1}}),
		oddJob("negative count", &workpb.Step{Count: -5}),
		oddJob("negative sizes", &workpb.Step{Count: 1, CpuMilli: -1 << 62, MemoryMb: -1, EstimateMs: -1 << 62}),
		oddJob("too many tasks", &workpb.Step{Count: 50_000}),
		oddJob("no steps"),
		{"unreadable progress", intake.ProgressTable, ownership.Partition, "00000000000000aa", nil},
		oddProgress("negative step", &workpb.Task{Run: 1, Step: -1}),
		oddProgress("negative occurrence", &workpb.Task{Run: 1, Occurrence: -1}),
		oddProgress("negative index", &workpb.Task{Run: 1, Index: -1}),
		oddProgress("unknown task", &workpb.Task{Run: 1, Step: 9, Index: 99, Occurrence: 1 << 30}),
		oddProgress("run on no VM", &workpb.Task{Run: 1, Phase: workpb.Phase_INTENDED, Host: 77}),
		oddProgress("task twice", &workpb.Task{Run: 1, Phase: workpb.Phase_DONE}, &workpb.Task{Run: 1, Phase: workpb.Phase_DONE}),
		oddProgress("unknown phase", &workpb.Task{Run: 1, Phase: 9, Replaced: []*workpb.EarlierRun{{Run: -1, Host: -1}}}),
		{"unreadable wave", "upkeep", ownership.Partition, "7", nil},
		{"wave under another key", "upkeep", ownership.Partition, "7", &workpb.Upkeep{Wave: 8}},
		{"unreadable shares", jobrunner.SharesTable, ownership.Partition, jobrunner.SharesKey, nil},
		{"unreadable estimate", waitestimate.Table, ownership.Partition, waitestimate.Key, nil},
		{"unreadable VM", registryTable, "", "vm-odd", nil},
		{"odd VM", registryTable, "", "vm-odd", vm},
		{"unreadable candidate", "candidates", "candidates", "odd", nil},
		{"unreadable owner", "ownership", ownership.Partition, "owner", nil},
	}
}

func (si *simulation) putRow(or oddRow) {
	raw := []byte{0xff}
	if or.value != nil {
		var err error
		raw, err = proto.Marshal(or.value)
		qt.Assert(si.t, err, qt.IsNil)
	}
	_, _, err := si.st.Rowstore().Commit(context.Background(), rowstore.NewTx(or.partition).Put(or.table, or.key, raw))
	qt.Assert(si.t, err, qt.IsNil)
}

// completeDespite checks that a job is completed beside an odd row that is there before the owner starts, or written later.
func (si *simulation) completeDespite(or oddRow, restored bool) {
	if restored {
		si.submit("00000000000000aa", 3)
		si.putRow(or)
	}
	si.start("one")
	si.wait(3000)
	if !restored {
		si.putRow(or)
		si.submit("00000000000000aa", 3)
	}
	si.wait(20_000)
	qt.Check(si.t, si.state("00000000000000aa"), qt.Equals, workpb.State_COMPLETED)
}

// One odd row must neither end the process of each owner in turn nor keep the other jobs from being run, whether an owner finds it when it begins or hears of it later.
func TestOddRowsDoNotStopScheduling(t *testing.T) {
	for _, or := range oddRows() {
		for _, restored := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, restored=%v", or.name, restored), func(t *testing.T) {
				simulate(t, func(si *simulation) { si.completeDespite(or, restored) })
			})
		}
	}
}
