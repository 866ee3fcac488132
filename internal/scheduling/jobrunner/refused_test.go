package jobrunner_test

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/intake"
	"github.com/fulmarloft/fulmarloft/internal/store/rowstore"
	"github.com/fulmarloft/fulmarloft/internal/testbed/rowstoretest"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

const refusedID = "00000000000000aa"

// refuse stores a refusal of the test job.
func (si *simulation) refuse() {
	jb := &workpb.Job{Id: refusedID, Queue: "q", Team: "t", AcceptedMs: si.ck.Now()}
	refused, err := si.in.Refuse(context.Background(), jb)
	qt.Assert(si.t, err, qt.IsNil)
	qt.Assert(si.t, refused, qt.IsTrue)
}

// The row of a refused job must outlive the retries of its caller, each of which may be refused again, and must be deleted some time after the last one, also by a later owner.
func TestRefusedRowOutlivesRetries(t *testing.T) {
	simulate(t, func(si *simulation) {
		si.retentionMS = 5000
		si.start("one")
		for range 5 {
			si.refuse()
			si.wait(15_000)
			qt.Assert(t, si.st.Keys(intake.JobsTable), qt.Equals, refusedID)
		}
		si.wait(44_000)
		qt.Check(t, si.st.Keys(intake.JobsTable), qt.Equals, refusedID)
		si.wait(4000)
		qt.Check(t, si.st.Keys(intake.JobsTable), qt.Equals, "")
		si.refuse()
		si.wait(1000)
		si.kill("one")
		si.start("two")
		si.wait(70_000)
		qt.Check(t, si.st.Keys(intake.JobsTable), qt.Equals, "")
	})
}

// A job that is accepted after it was refused must not lose its row, and the state of the ended job must stay readable for its whole time, when the refusal is due to be deleted.
func TestJobAcceptedAfterARefusalIsKept(t *testing.T) {
	simulate(t, func(si *simulation) {
		si.retentionMS = 60_000
		si.start("one")
		si.refuse()
		si.wait(40_000)
		si.submit(refusedID, 1)
		si.wait(30_000)
		qt.Assert(t, si.state(refusedID), qt.Equals, workpb.State_COMPLETED)
		si.wait(29_000)
		qt.Check(t, si.state(refusedID), qt.Equals, workpb.State_COMPLETED)
		si.wait(20_000)
		qt.Check(t, si.st.Keys(intake.JobsTable)+si.st.Keys(intake.EndedTable), qt.Equals, "")
	})
}

// A job may be accepted in place of its refusal while the owner's deletion of the refused row is under way: an accepted job must not be deleted.
func TestDeletionOfARefusalSparesAnAcceptedJob(t *testing.T) {
	simulate(t, func(si *simulation) {
		si.retentionMS = 60_000
		si.start("one")
		si.refuse()
		si.st.SetCommitOutcome(func(tx *rowstore.Tx) rowstoretest.Outcome {
			for _, rw := range tx.Removes() {
				if rw.Table() == intake.JobsTable {
					return rowstoretest.Late
				}
			}
			return rowstoretest.Served
		})
		si.wait(61_000)
		si.submit(refusedID, 1)
		qt.Check(t, si.st.ApplyLate(), qt.Equals, 0)
		si.st.SetCommitOutcome(func(*rowstore.Tx) rowstoretest.Outcome { return rowstoretest.Served })
		si.wait(10_000)
		qt.Check(t, si.state(refusedID), qt.Equals, workpb.State_COMPLETED)
	})
}

// Cancellations of jobs that never were leave a row each, which must be deleted once no commit can be under way any more, in few commits, also by a later owner.
func TestRowsOfCancelledUnknownJobsAreDeleted(t *testing.T) {
	const jobs = 400
	simulate(t, func(si *simulation) {
		si.retentionMS = 150_000
		si.start("one")
		writes := atomic.Int64{}
		si.st.SetCommitOutcome(func(tx *rowstore.Tx) rowstoretest.Outcome {
			if strings.HasPrefix(tx.Partition(), "j") {
				writes.Add(1)
			}
			return rowstoretest.Served
		})
		for at := range jobs {
			err := si.in.Cancel(context.Background(), fmt.Sprintf("%x%015d", at%16, at))
			qt.Assert(t, code.Of(err), qt.Equals, code.JobUnknown)
		}
		qt.Check(t, writes.Swap(0), qt.Equals, int64(jobs))
		si.wait(10_000)
		si.kill("one")
		si.start("two")
		si.wait(15_000)
		qt.Check(t, len(strings.Fields(si.st.Keys(intake.JobsTable))), qt.Equals, jobs)
		si.wait(30_000)
		qt.Check(t, si.st.Keys(intake.JobsTable), qt.Equals, "")
		qt.Check(t, writes.Load() <= 2*jobs/33, qt.IsTrue, qt.Commentf("%d commits", writes.Load()))
	})
}

// No task of a job may start once its cancellation was answered with "no such job", although the commits of its submission are applied after that and under another owner; a later submission must be served.
func TestJobCancelledAsUnknownDoesNotStart(t *testing.T) {
	simulate(t, func(si *simulation) {
		si.start("one")
		rs := si.st.Rowstore()
		rs.Read = func(context.Context, string, string, string, string) (rowstore.Page, error) {
			return rowstore.Page{}, code.TableUnavailable.New("no answer")
		}
		si.st.SetCommitOutcome(func(tx *rowstore.Tx) rowstoretest.Outcome {
			if tx.Partition() == intake.Partition(refusedID) {
				return rowstoretest.Late
			}
			return rowstoretest.Served
		})
		jb := &workpb.Job{Id: refusedID, Queue: "q", Team: "t", AcceptedMs: si.ck.Now(), Steps: []*workpb.Step{{Count: 1, CpuMilli: 1000, MemoryMb: 100, EstimateMs: 800}}}
		qt.Assert(t, code.Of(intake.New(rs).Submit(context.Background(), jb)), qt.Equals, code.TableInDoubt)
		si.st.SetCommitOutcome(func(*rowstore.Tx) rowstoretest.Outcome { return rowstoretest.Served })
		qt.Assert(t, code.Of(si.in.Cancel(context.Background(), refusedID)), qt.Equals, code.JobUnknown)
		si.kill("one")
		si.start("two")
		si.wait(3000)
		qt.Check(t, si.st.ApplyLate(), qt.Equals, 0)
		si.wait(5000)
		qt.Check(t, si.countStarts(), qt.Equals, 0)
		si.submit(refusedID, 1)
		si.wait(5000)
		qt.Check(t, si.state(refusedID), qt.Equals, workpb.State_COMPLETED)
	})
}
