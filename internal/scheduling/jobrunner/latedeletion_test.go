package jobrunner_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/intake"
	"github.com/fulmarloft/fulmarloft/internal/store/rowstore"
	"github.com/fulmarloft/fulmarloft/internal/testbed/rowstoretest"
)

const reusedID = "00000000000000aa"

// removesJob reports whether a transaction deletes the rows of an ended job.
func removesJob(tx *rowstore.Tx) bool {
	if len(tx.Puts()) > 0 {
		return false
	}
	for _, rw := range tx.Removes() {
		if rw.Key() == intake.CancelKey(reusedID) {
			return true
		}
	}
	return false
}

// The deletion of an ended job's rows may be performed late, after its repetition was answered and another job was submitted under the id: that one must stay stored in each of its states, under the next owner too.
func TestLateDeletionSparesAJobSubmittedAnew(t *testing.T) {
	for _, tc := range []struct {
		name        string
		retentionMS int64
		// workMS is how long the tasks of the second job take, lateMS how long after it was submitted the deletion is performed.
		workMS, lateMS int64
		want           workpb.State
	}{
		{"row was shortened", 20_000, 8000, 1000, workpb.State_RUNNING},
		{"row was whole", 500, 8000, 1000, workpb.State_RUNNING},
		{"second job has ended", 20_000, 200, 6000, workpb.State_COMPLETED},
	} {
		simulate(t, func(si *simulation) {
			si.retentionMS = tc.retentionMS
			si.start("one")
			si.submit(reusedID, 1)
			lost := 0
			si.st.SetCommitOutcome(func(tx *rowstore.Tx) rowstoretest.Outcome {
				if lost == 0 && removesJob(tx) {
					lost++
					return rowstoretest.Late
				}
				return rowstoretest.Served
			})
			si.wait(tc.retentionMS + 6000)
			qt.Assert(t, lost, qt.Equals, 1, qt.Commentf(tc.name))
			qt.Assert(t, si.st.Keys(intake.JobsTable)+si.st.Keys(intake.EndedTable), qt.Equals, "", qt.Commentf(tc.name))
			for _, wk := range si.workers {
				wk.Behave = func(string, int64) (int64, workpb.End) { return tc.workMS, workpb.End_END_DONE }
			}
			si.retentionMS = 60_000
			si.forgetDone()
			si.submit(reusedID, 1)
			si.wait(tc.lateMS)
			si.st.ApplyLate()
			si.kill("one")
			si.start("two")
			si.wait(3000)
			st, err := si.in.State(t.Context(), reusedID)
			qt.Check(t, err, qt.IsNil, qt.Commentf(tc.name))
			qt.Check(t, st, qt.Equals, tc.want, qt.Commentf(tc.name))
		})
	}
}

// forgetDone forgets which tasks were done, so that a task of another job may have the name of one.
func (si *simulation) forgetDone() {
	si.mu.Lock()
	defer si.mu.Unlock()
	clear(si.done)
}
