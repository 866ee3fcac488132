package jobcontrol

import (
	"fmt"
	"math"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/observability/event"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/taskname"
)

const manyOccurrences = 100_000

// Guards against the loss of the owner, and of each successor, to a job whose many occurrences are due at once: together they take all of an entry's memory.
func TestFewOccurrencesOfAJobAreOpenAtOnce(t *testing.T) {
	for _, tc := range []struct {
		name  string
		tasks int32
		want  int
	}{
		{"small occurrences", 20, maxOpenTasks / 20},
		{"an occurrence with as many tasks as a job may have", maxOpenTasks, 1},
	} {
		jb := newJob(&workpb.Job{Id: "job", Occurrences: manyOccurrences, Steps: []*workpb.Step{{Count: tc.tasks}}})
		jb.openDueOccurrences(1, maxOpenTasks)
		qt.Check(t, len(jb.occurrences), qt.Equals, tc.want, qt.Commentf(tc.name))
		jb.closeOccurrence(jb.occurrences[0])
		jb.openDueOccurrences(1, maxOpenTasks)
		qt.Check(t, jb.created, qt.Equals, tc.want+1, qt.Commentf(tc.name))
		qt.Check(t, len(jb.occurrences), qt.Equals, tc.want, qt.Commentf(tc.name))
	}
}

// Guards against an owner that is lost to many schedules with many due times each: all open occurrences take memory and are visited by each planning pass, which then outlasts the ownership.
func TestDueOccurrencesOfManyJobsDoNotOutlastTheOwnership(t *testing.T) {
	for _, tc := range []struct {
		name        string
		jobs, times int32
		tasks       int32
		want        int
	}{
		{"some schedules with many due times", 30, 20_000, 1, maxIdleTasks / 30 * 30},
		{"occurrences of many tasks", 30, 20_000, 100, maxIdleTasks / 30 / 100 * 30},
		{"many schedules", 2 * maxIdleTasks, 20, 1, 2 * maxIdleTasks},
		{"all due times can be open", 30, 20, 1, 30 * 20},
	} {
		ct := New(clock.NewFake(1_000_000), event.Discard(), 1, 1)
		for at := range tc.jobs {
			ct.Submit(&workpb.Job{Id: fmt.Sprintf("job-%d", at), Occurrences: tc.times, PeriodMs: 1, Steps: []*workpb.Step{{Count: tc.tasks}}})
		}
		ct.Plan(false)
		open := 0
		for _, jb := range ct.jobs {
			open += len(jb.occurrences)
		}
		qt.Check(t, open, qt.Equals, tc.want, qt.Commentf(tc.name))
	}
}

// Guards against the loss of the owner to one entry of a VM's list, or of a stored row, that names an occurrence far ahead.
func TestNamesOfFarOccurrencesOpenNone(t *testing.T) {
	ct := New(clock.NewFake(0), nil, 1, 1)
	jb := newJob(&workpb.Job{Id: "job", Occurrences: manyOccurrences, Steps: []*workpb.Step{{Count: 1}}})
	ct.jobs["job"] = jb
	qt.Check(t, ct.taskNamed("job.99999.0.0"), qt.IsNil)
	qt.Check(t, jb.storedTask(taskname.New("job", manyOccurrences-1, 0, 0)), qt.IsNil)
	qt.Check(t, len(jb.occurrences), qt.Equals, 0)
	qt.Check(t, jb.storedTask(taskname.New("job", 2, 0, 0)), qt.IsNotNil)
	qt.Check(t, len(jb.occurrences), qt.Equals, 3)
}

// Guards against a row beyond 64 KiB, which the store refuses: in a schedule that runs for years, as many occurrences as may be are open, and every second of them completes.
func TestCompletedOccurrencesFitIntoOneRow(t *testing.T) {
	const farApart, maxRowBytes = 1_000_000, 48 << 10
	jb := newJob(&workpb.Job{Id: "job", Occurrences: math.MaxInt32, Steps: []*workpb.Step{{Count: 1}}})
	for at := range maxCompletedRanges - 1 {
		jb.completed.Add((at + 1) * farApart)
	}
	jb.created = maxCompletedRanges * farApart
	jb.openDueOccurrences(1, maxOpenTasks)
	qt.Check(t, len(jb.occurrences), qt.Equals, maxOpenTasks)
	for at, oc := range slices.Clone(jb.occurrences) {
		if at%2 == 1 {
			jb.closeOccurrence(oc)
		}
	}
	for tk := range jb.occurrences[0].steps[0].allTasks() {
		tk.run = math.MaxInt64
	}
	size := proto.Size(jb.part(firstPart).row())
	qt.Check(t, size < maxRowBytes, qt.IsTrue, qt.Commentf("%d bytes", size))
	created := jb.created
	jb.closeOccurrence(jb.occurrences[0])
	jb.openDueOccurrences(1, maxOpenTasks)
	qt.Check(t, jb.created, qt.Equals, created, qt.Commentf("no more occurrences are created beside that many ranges"))
}

// Guards against a process that is lost to a stored row which names more open occurrences than memory holds.
func TestStoredGapsOpenFewOccurrences(t *testing.T) {
	jb := newJob(&workpb.Job{Id: "job", Occurrences: math.MaxInt32, Steps: []*workpb.Step{{Count: 10}}})
	qt.Check(t, jb.restoreCompleted([]int32{1_000_000_000, 1}), qt.IsNotNil)
	qt.Check(t, len(jb.occurrences), qt.Equals, 0)
	qt.Check(t, jb.restoreCompleted([]int32{1, 1_000_000_000, 5, 1_000_000}), qt.IsNil)
	qt.Check(t, len(jb.occurrences), qt.Equals, 6)
	qt.Check(t, jb.created, qt.Equals, 1_001_000_006)
}
