package jobrunner_test

import (
	"context"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/membership/ownership"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/intake"
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
				qt.Check(t, si.st.Keys(intake.EndedTable), qt.Equals, "")
				qt.Check(t, si.st.Keys(intake.ProgressTable), qt.Equals, "")
				_, err := intake.New(si.st.Rowstore()).State(context.Background(), fmt.Sprintf("%d%015d", 1, 1))
				qt.Check(t, code.Of(err), qt.Equals, code.JobUnknown)
			})
		})
	}
}

// Rows that an earlier owner moved to the table of ended jobs must be deleted by its successor.
func TestRowsMovedByAnEarlierOwnerAreDeleted(t *testing.T) {
	simulate(t, func(si *simulation) {
		si.retentionMS = 20_000
		si.start("one")
		si.wait(500)
		si.start("two")
		si.submit("00000000000000aa", 1)
		si.wait(12_000)
		qt.Assert(t, si.st.Keys(intake.EndedTable), qt.Equals, "00000000000000aa")
		si.kill("one")
		si.wait(10_000)
		qt.Check(t, si.st.Keys(intake.EndedTable), qt.Equals, "00000000000000aa")
		si.wait(15_000)
		qt.Check(t, si.st.Keys(intake.EndedTable), qt.Equals, "")
	})
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
		qt.Assert(t, si.st.Keys(intake.JobsTable)+si.st.Keys(intake.EndedTable), qt.Equals, "00000000000000aa")
		st, err := intake.New(si.st.Rowstore()).State(context.Background(), "00000000000000aa")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, st, qt.Equals, workpb.State_COMPLETED)
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

// The whole rows of ended jobs must leave soon, since a restore reads them, while their progress answers callers that ask for the state for some time more.
func TestRowsLeaveSoonAfterTheEnd(t *testing.T) {
	simulate(t, func(si *simulation) {
		si.start("one")
		si.wait(500)
		si.submit("00000000000000aa", 1)
		si.wait(3700)
		qt.Check(t, si.state("00000000000000aa"), qt.Equals, workpb.State_COMPLETED)
		qt.Check(t, si.st.Keys(intake.JobsTable), qt.Equals, "")
		qt.Check(t, si.st.Keys(intake.ProgressTable), qt.Equals, "00000000000000aa")
		si.wait(8000)
		qt.Check(t, si.st.Keys(intake.ProgressTable), qt.Equals, "")
		qt.Check(t, intake.Final(si.state("00000000000000aa")), qt.IsTrue)
	})
}

// Rows that are due to be deleted all the time must not keep those of jobs that have just ended from being shortened.
func TestDeletionsDoNotKeepRowsWhole(t *testing.T) {
	simulate(t, func(si *simulation) {
		const retentionMS, intervalMS, maxWhole = 20_000, 100, 150
		si.retentionMS = retentionMS
		si.start("one")
		for at := range 3 * retentionMS / intervalMS {
			jb := &workpb.Job{Id: fmt.Sprintf("%x%015x", at%16, at), Queue: "q", AcceptedMs: si.ck.Now(), Steps: []*workpb.Step{
				{Count: 1, CpuMilli: 100, MemoryMb: 10, EstimateMs: 800},
			}}
			qt.Assert(t, si.in.Submit(context.Background(), jb), qt.IsNil)
			si.wait(intervalMS)
		}
		whole := len(strings.Fields(si.st.Keys(intake.JobsTable)))
		qt.Check(t, whole < maxWhole, qt.IsTrue, qt.Commentf("%d whole rows", whole))
	})
}

// storedBytes returns the size of the stored jobs and their progress.
func (si *simulation) storedBytes() int {
	sum := 0
	partitions, err := si.st.Rowstore().Partitions(context.Background(), intake.JobsTable)
	qt.Assert(si.t, err, qt.IsNil)
	for _, table := range []string{intake.JobsTable, intake.EndedTable, intake.ProgressTable} {
		for _, partition := range append(partitions, ownership.Partition) {
			list, _, err := si.st.Rowstore().ReadAll(context.Background(), table, partition)
			qt.Assert(si.t, err, qt.IsNil)
			for _, rw := range list {
				sum += len(rw.Value())
			}
		}
	}
	return sum
}

// What a successor reads must not grow with the payloads and steps of jobs that have ended, while their states stay readable and repeated submissions start nothing, across a change of owner as well.
func TestRowsOfEndedJobsAreShortened(t *testing.T) {
	for _, tc := range []struct {
		name    string
		disturb func(si *simulation)
	}{
		{"undisturbed", func(*simulation) {}},
		{"owner lost before", func(si *simulation) { si.kill("one") }},
		{"owner lost after", func(si *simulation) {
			si.wait(10_000)
			si.kill("one")
		}},
		{"answer to every third commit lost", dropEveryThirdAnswer},
	} {
		t.Run(tc.name, func(t *testing.T) {
			simulate(t, func(si *simulation) {
				si.start("one")
				si.wait(500)
				si.start("two")
				const jobs = 12
				submit := func(at int) {
					jb := &workpb.Job{Id: fmt.Sprintf("%x%015d", at, at), Queue: "q", Payload: strings.Repeat("x", 4000), AcceptedMs: si.ck.Now(), Steps: []*workpb.Step{
						{Count: 2, CpuMilli: 1000, MemoryMb: 100, EstimateMs: 800},
					}}
					qt.Assert(t, si.in.Submit(context.Background(), jb), qt.IsNil)
				}
				for at := range jobs {
					submit(at)
				}
				si.wait(3500)
				tc.disturb(si)
				si.wait(30_000)
				qt.Check(t, si.storedBytes() < 100*jobs, qt.IsTrue, qt.Commentf("%d bytes stored", si.storedBytes()))
				for at := range jobs {
					submit(at)
					in := intake.New(si.st.Rowstore())
					st, err := in.State(context.Background(), fmt.Sprintf("%x%015d", at, at))
					qt.Check(t, err, qt.IsNil)
					qt.Check(t, st, qt.Equals, workpb.State_COMPLETED)
				}
				si.wait(5000)
				for task, count := range si.starts {
					qt.Check(t, count, qt.Equals, 1, qt.Commentf(task))
				}
			})
		})
	}
}

// An owner that is paused before it deletes rows must not delete them after its lease: a later owner may have done so, and a job submitted under the same id since would be lost.
func TestRowsAreNotDeletedAfterTheLease(t *testing.T) {
	for _, retentionMS := range []int64{100, 60_000} {
		simulate(t, func(si *simulation) {
			si.retentionMS = retentionMS
			si.pauseDeletions = true
			si.start("one")
			si.submit("00000000000000aa", 2)
			si.wait(20_000)
			si.mu.Lock()
			defer si.mu.Unlock()
			qt.Check(t, si.pausedDeletions > 0, qt.IsTrue)
			qt.Check(t, si.lateDeletions, qt.Equals, 0)
		})
	}
}
