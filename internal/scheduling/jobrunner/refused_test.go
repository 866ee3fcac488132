package jobrunner_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/intake"
	"github.com/fulmarloft/fulmarloft/internal/store/rowstore"
	"github.com/fulmarloft/fulmarloft/internal/testbed/rowstoretest"
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
