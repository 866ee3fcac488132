package jobcontrol

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/clock"
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
		jb.openDueOccurrences(1)
		qt.Check(t, len(jb.occurrences), qt.Equals, tc.want, qt.Commentf(tc.name))
		jb.occurrences[0].steps[0].done = int(tc.tasks)
		jb.openDueOccurrences(1)
		qt.Check(t, len(jb.occurrences), qt.Equals, tc.want+1, qt.Commentf(tc.name))
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
