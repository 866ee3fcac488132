package jobrunner_test

import (
	"context"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/intake"
	"github.com/fulmarloft/fulmarloft/internal/workpb"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// After the retention period, no row of an ended job may be left, even if the owner is lost between the deletions or the store loses answers.
func TestRowsOfEndedJobsAreDeleted(t *testing.T) {
	const retentionMS = 5000
	for _, tc := range []struct {
		name    string
		disturb func(si *simulation)
	}{
		{"undisturbed", func(*simulation) {}},
		{"owner lost before the progress is deleted", func(si *simulation) {
			for len(si.st.Keys(intake.JobsTable)) > 0 {
				si.wait(5)
			}
			si.kill("one")
		}},
		{"owner lost before anything is deleted", func(si *simulation) { si.kill("one") }},
		{"answer to every third commit lost", dropEveryThirdAnswer},
		{"store down", func(si *simulation) {
			si.wait(retentionMS - 1000)
			si.st.SetDown(true)
			si.wait(4000)
			si.st.SetDown(false)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			simulate(t, func(si *simulation) {
				si.retentionMS = retentionMS
				si.start("one")
				si.wait(500)
				si.start("two")
				for at := range 8 {
					si.submit(fmt.Sprintf("%d%015d", at%3, at), 2)
				}
				qt.Assert(t, si.in.Cancel(context.Background(), fmt.Sprintf("%016d", 0)), qt.IsNil)
				si.wait(3500)
				qt.Check(t, si.state(fmt.Sprintf("%016d", 0)), qt.Equals, workpb.State_CANCELLED)
				qt.Check(t, si.state(fmt.Sprintf("%d%015d", 1, 1)), qt.Equals, workpb.State_COMPLETED)
				tc.disturb(si)
				si.wait(2*retentionMS + 8000)
				qt.Check(t, si.st.Keys(intake.JobsTable), qt.Equals, "")
				qt.Check(t, si.st.Keys(intake.ProgressTable), qt.Equals, "")
				_, err := intake.New(si.st.Rowstore()).State(context.Background(), fmt.Sprintf("%d%015d", 1, 1))
				qt.Check(t, code.Of(err), qt.Equals, code.JobUnknown)
			})
		})
	}
}

func TestRowsAreKeptForTheRetentionPeriod(t *testing.T) {
	simulate(t, func(si *simulation) {
		si.retentionMS = 5000
		si.start("one")
		si.submit("00000000000000aa", 1)
		si.wait(3000)
		qt.Assert(t, si.state("00000000000000aa"), qt.Equals, workpb.State_COMPLETED)
		si.kill("one")
		si.start("two")
		si.wait(4500)
		qt.Assert(t, si.st.Keys(intake.JobsTable), qt.Equals, "00000000000000aa")
	})
}

func TestRowsOfRunningJobAreKept(t *testing.T) {
	simulate(t, func(si *simulation) {
		si.retentionMS = 100
		si.start("one")
		for _, wk := range si.workers {
			wk.Behave = func(string, int64) (int64, workpb.End) { return 20_000, workpb.End_END_DONE }
		}
		si.submit("00000000000000aa", 4)
		si.wait(10_000)
		qt.Assert(t, si.st.Keys(intake.JobsTable), qt.Equals, "00000000000000aa")
	})
}
