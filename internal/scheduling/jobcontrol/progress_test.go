package jobcontrol_test

import (
	"encoding/base64"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/jobcontrol"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/taskname"
)

const (
	testBatchRows  = 90
	testBatchBytes = 700_000
	testRowBytes   = 65_536
)

// largeVM returns a VM with room for thousands of small tasks.
func largeVM(id string) *workpb.VM {
	vm := vmOf(id)
	vm.CpuMilli, vm.MemoryMb = 10_000_000, 10_000_000
	return vm
}

// smallTasks returns a step of tasks of which thousands fit on a VM.
func smallTasks(count int32) *workpb.Step {
	return &workpb.Step{Count: count, CpuMilli: 1, MemoryMb: 1, EstimateMs: 200}
}

// checkLimits checks that a batch keeps to the limits of LimitBatch.
func checkLimits(t *testing.T, bt *jobcontrol.Batch) {
	sum := 0
	for _, row := range bt.Rows() {
		size := base64.StdEncoding.EncodedLen(proto.Size(row))
		sum += size
		qt.Check(t, size <= testRowBytes, qt.IsTrue, qt.Commentf("row %s part %d has %d bytes", row.GetId(), row.GetPart(), size))
	}
	qt.Check(t, sum <= testBatchBytes, qt.IsTrue, qt.Commentf("batch of %d bytes", sum))
	qt.Check(t, len(bt.Rows())+len(bt.Removed()) <= testBatchRows, qt.IsTrue, qt.Commentf("batch of %d rows, %d deletions", len(bt.Rows()), len(bt.Removed())))
}

// storedRun returns the run of a task that the stored rows hold, 0 if none.
func (sr storedRows) storedRun(task string) int64 {
	nm, _ := taskname.Parse(task)
	for _, pg := range sr.of(nm.Job()) {
		for _, row := range pg.GetTasks() {
			if int(row.GetOccurrence()) == nm.Occurrence() && int(row.GetStep()) == nm.Step() && int(row.GetIndex()) == nm.Index() {
				return row.GetRun()
			}
		}
	}
	return 0
}

// Guards against rows and transactions beyond the store's limits, and against starts that aren't stored: the largest job that is accepted, whose tasks all have a checkpoint, across a change of owner.
func TestLargestJobIsStoredWithinTheLimits(t *testing.T) {
	const tasks = 20_000
	fl := newFleet(t, largeVM("a"), largeVM("b"))
	fl.setBehavior(3000, workpb.End_END_DONE)
	for _, wk := range fl.workers {
		wk.Saves = func(string) bool { return true }
	}
	fl.check = func(bt *jobcontrol.Batch) { checkLimits(t, bt) }
	unstored := 0
	fl.beforeOrder = func(od *workpb.Order) {
		if od.GetVerb() == workpb.Verb_START && len(fl.starts)%97 == 0 && fl.stored.storedRun(od.GetTask()) != od.GetRun() {
			unstored++
		}
	}
	fl.limitBatch = func() { fl.ct.LimitBatch(testBatchRows, testBatchBytes, testRowBytes) }
	fl.submit(jobOf("j1", smallTasks(tasks)))
	fl.run(600)
	qt.Check(t, len(fl.starts), qt.Equals, tasks)
	fl.newOwner()
	for range 40 {
		if fl.state("j1") == workpb.State_COMPLETED {
			break
		}
		fl.run(200)
	}
	qt.Check(t, fl.state("j1"), qt.Equals, workpb.State_COMPLETED)
	qt.Check(t, len(fl.starts), qt.Equals, tasks)
	qt.Check(t, unstored, qt.Equals, 0)
	fl.run(400)
	qt.Check(t, len(fl.stored["j1"]), qt.Equals, 1, qt.Commentf("rows of the completed job"))
}

// countDone returns how many tasks were reported as done.
func (fl *fleet) countDone() int {
	count := 0
	for _, done := range fl.doneTasks {
		if done {
			count++
		}
	}
	return count
}

// Guards against progress that grows with the occurrences that are completed, also while an early one isn't; across changes of owner, none of them may be repeated.
func TestStoredProgressFollowsTheOpenOccurrences(t *testing.T) {
	const occurrences, maxBytes = 3000, 600
	fl := newFleet(t, largeVM("a"))
	fl.workers["a"].Behave = func(task string, _ int64) (int64, workpb.End) {
		if task == "j1.0.0.0" {
			return 1_000_000, workpb.End_END_DONE
		}
		return 10, workpb.End_END_DONE
	}
	jb := jobOf("j1", smallTasks(2))
	jb.Occurrences, jb.FirstDueMs, jb.PeriodMs = occurrences, fl.ck.Now(), 10
	fl.submit(jb)
	for range 3 {
		fl.run(occurrences * jb.GetPeriodMs() / 3)
		fl.newOwner()
	}
	fl.run(5000)
	_, sum := fl.stored.bytes()
	qt.Check(t, fl.countDone(), qt.Equals, 2*occurrences-1)
	qt.Check(t, sum < maxBytes, qt.IsTrue, qt.Commentf("%d bytes are stored", sum))
	fl.workers["a"].Behave = func(string, int64) (int64, workpb.End) { return 10, workpb.End_END_DONE }
	fl.workers["a"].Restart()
	fl.newOwner()
	fl.run(30_000)
	qt.Check(t, fl.state("j1"), qt.Equals, workpb.State_COMPLETED)
}

// Guards against a gang that is run again by a later owner which finds only some of its members done, since their rows were stored one after the other.
func TestGangIsDoneForALaterOwnerOnceAMemberIs(t *testing.T) {
	for _, kind := range []struct {
		name        string
		occurrences int32
		steps       []*workpb.Step
	}{
		{"last step", 0, []*workpb.Step{{Count: 300, CpuMilli: 1, Gang: true, EstimateMs: 200}}},
		{"step before another", 0, []*workpb.Step{{Count: 300, CpuMilli: 1, Gang: true, EstimateMs: 200}, {Count: 1, CpuMilli: 1, After: []int32{0}}}},
		{"first of two occurrences", 2, []*workpb.Step{{Count: 300, CpuMilli: 1, Gang: true, EstimateMs: 200}}},
	} {
		fl := newFleet(t, largeVM("a"))
		fl.setBehavior(1000, workpb.End_END_DONE)
		fl.limitBatch = func() { fl.ct.LimitBatch(2, 0, 0) }
		jb := jobOf("j1", kind.steps...)
		jb.Occurrences, jb.FirstDueMs, jb.PeriodMs = kind.occurrences, fl.ck.Now(), 100
		fl.submit(jb)
		for range 400 {
			fl.run(stepMS)
			if len(fl.doneTasks) > 0 {
				fl.newOwner()
			}
			if fl.state("j1") == workpb.State_COMPLETED {
				break
			}
		}
		qt.Check(t, fl.state("j1"), qt.Equals, workpb.State_COMPLETED, qt.Commentf(kind.name))
		for task, count := range fl.starts {
			qt.Check(t, count, qt.Equals, 1, qt.Commentf("%s: %s", kind.name, task))
		}
	}
}

// Guards against tasks that are repeated, or forgotten, where an earlier version has stored all tasks of a job in one row.
func TestRowOfAnEarlierVersionIsDivided(t *testing.T) {
	const tasks, done = 300, 290
	fl := newFleet(t, largeVM("a"))
	jb := jobOf("j1", smallTasks(tasks), smallTasks(1))
	jb.Steps[1].After = []int32{0}
	pg := &workpb.Progress{Id: "j1", State: workpb.State_RUNNING}
	for index := range int32(done) {
		pg.Tasks = append(pg.Tasks, &workpb.Task{Index: index, Run: 1, Phase: workpb.Phase_DONE})
		fl.doneTasks[fmt.Sprintf("j1.0.0.%d", index)] = true
	}
	jb.Queue = "q"
	fl.jobs["j1"] = jb
	fl.stored.apply(rowChange{rows: []*workpb.Progress{pg}})
	fl.newOwner()
	fl.limitBatch = func() { fl.ct.LimitBatch(1, 0, 0) }
	fl.run(300)
	qt.Check(t, len(fl.stored["j1"]), qt.Equals, 3)
	fl.newOwner()
	fl.run(5000)
	qt.Check(t, fl.state("j1"), qt.Equals, workpb.State_COMPLETED)
	qt.Check(t, len(fl.starts), qt.Equals, tasks-done+1)
}

// Guards against the acknowledgement of ends whose effects aren't stored yet: the tasks of one VM end together, and their rows need several commits.
func TestEndsAreAcknowledgedOnceAllTheirRowsAreStored(t *testing.T) {
	fl := newFleet(t, largeVM("a"))
	fl.limitBatch = func() { fl.ct.LimitBatch(1, 0, 0) }
	fl.setBehavior(500, workpb.End_END_DONE)
	fl.submit(jobOf("j1", smallTasks(1000)))
	checked := 0
	fl.beforePoll = func(lr *workpb.LookRequest) {
		if lr.GetAcknowledged() == 0 || fl.state("j1") == workpb.State_COMPLETED {
			return
		}
		checked++
		done := 0
		for _, row := range fl.stored.of("j1") {
			for _, tr := range row.GetTasks() {
				if tr.GetPhase() == workpb.Phase_DONE {
					done++
				}
			}
		}
		qt.Check(t, int64(done) >= lr.GetAcknowledged(), qt.IsTrue, qt.Commentf("%d ends are acknowledged, %d tasks stored as done", lr.GetAcknowledged(), done))
	}
	fl.run(8000)
	qt.Check(t, checked > 0, qt.IsTrue)
	qt.Check(t, fl.state("j1"), qt.Equals, workpb.State_COMPLETED)
}

// Guards against a job whose progress the store never takes: checkpoints have no limit of length, so a row that is too large with them is stored without them, and its tasks run all the same.
func TestRowThatIsTooLargeIsStoredWithoutCheckpoints(t *testing.T) {
	const tasks, maxRowBytes, checkpointBytes = 100, 8000, 400
	fl := newFleet(t, largeVM("a"))
	fl.setBehavior(1500, workpb.End_END_DONE)
	fl.limitBatch = func() { fl.ct.LimitBatch(testBatchRows, 0, maxRowBytes) }
	largest := 0
	fl.check = func(bt *jobcontrol.Batch) {
		for _, row := range bt.Rows() {
			largest = max(largest, base64.StdEncoding.EncodedLen(proto.Size(row)))
		}
	}
	jb := jobOf("j1", smallTasks(tasks))
	pg := &workpb.Progress{Id: "j1", State: workpb.State_RUNNING}
	for index := range int32(tasks) {
		pg.Tasks = append(pg.Tasks, &workpb.Task{Index: index, Run: 1, Checkpoint: strings.Repeat("c", checkpointBytes)})
	}
	jb.Queue = "q"
	fl.jobs["j1"] = jb
	fl.stored.apply(rowChange{rows: []*workpb.Progress{pg}})
	fl.newOwner()
	fl.run(4000)
	qt.Check(t, fl.state("j1"), qt.Equals, workpb.State_COMPLETED)
	qt.Check(t, fl.starts, qt.HasLen, tasks)
	qt.Check(t, largest > 0 && largest <= maxRowBytes, qt.IsTrue, qt.Commentf("the largest row has %d bytes", largest))
}

// Guards against one job that holds back the others since its row is too large even without checkpoints.
func TestJobWhoseRowIsTooLargeHoldsBackNoOther(t *testing.T) {
	fl := newFleet(t, largeVM("a"))
	fl.setBehavior(300, workpb.End_END_DONE)
	fl.limitBatch = func() { fl.ct.LimitBatch(testBatchRows, 0, 400) }
	fl.submit(jobOf("large", smallTasks(120)))
	fl.submit(jobOf("small", smallTasks(4)))
	fl.run(3000)
	qt.Check(t, fl.state("small"), qt.Equals, workpb.State_COMPLETED)
	qt.Check(t, fl.starts, qt.HasLen, 4)
}
