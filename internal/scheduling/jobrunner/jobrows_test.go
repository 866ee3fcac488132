package jobrunner

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/scheduling/intake"
	"github.com/fulmarloft/fulmarloft/internal/store/rowstore"
)

// A deletion must be made on condition of the row that the owner knows, and be repeated, once the condition has failed, only where the rows of the ended job are still there.
func TestDeletionsOfJobRows(t *testing.T) {
	const id, partition, other = "00000000000000aa", "j0", "00000000000000bb"
	for _, tc := range []struct {
		name    string
		prepare func(jr *jobRows)
		want    jobRow
		// storedTable and storedVersion are what the store has when the condition is checked, version 0 for none.
		storedTable   string
		storedVersion int64
		again         bool
		next          jobRow
	}{
		{"whole row", func(jr *jobRows) { jr.setWhole(id, 5) }, jobRow{intake.JobsTable, 5}, intake.JobsTable, 5, true, jobRow{intake.JobsTable, 5}},
		{"whole row that was moved late", func(jr *jobRows) { jr.setWhole(id, 5) }, jobRow{intake.JobsTable, 5}, intake.JobsTable, 0, true, jobRow{intake.JobsTable, 0}},
		{"whole row, id used again", func(jr *jobRows) { jr.setWhole(id, 5) }, jobRow{intake.JobsTable, 5}, intake.JobsTable, 9, false, jobRow{}},
		{"short row", func(jr *jobRows) { jr.setWhole(id, 5); jr.setEnded(id, 7) }, jobRow{intake.EndedTable, 7}, intake.EndedTable, 7, true, jobRow{intake.EndedTable, 7}},
		{"short row that was written again late", func(jr *jobRows) { jr.setEnded(id, 7) }, jobRow{intake.EndedTable, 7}, intake.EndedTable, 9, true, jobRow{intake.EndedTable, 9}},
		{"short row that is gone", func(jr *jobRows) { jr.setEnded(id, 7) }, jobRow{intake.EndedTable, 7}, intake.EndedTable, 0, false, jobRow{}},
		{"unknown row, id used again", func(*jobRows) {}, jobRow{intake.JobsTable, 0}, intake.JobsTable, 9, false, jobRow{}},
	} {
		jr := newJobRows()
		tc.prepare(jr)
		tx := rowstore.NewTx(partition)
		jr.addDeletion(tx, id)
		qt.Check(t, tx.Requires()[0].Table(), qt.Equals, tc.want.table, qt.Commentf(tc.name))
		qt.Check(t, tx.Requires()[0].Version(), qt.Equals, tc.want.version, qt.Commentf(tc.name))
		var current []rowstore.Row
		if tc.storedVersion != 0 {
			current = append(current, rowstore.NewRow(tc.storedTable, partition, id, nil, tc.storedVersion))
		}
		again := jr.retry([]string{id}, append(current, rowstore.NewRow(intake.JobsTable, partition, other, nil, 3)))
		qt.Check(t, len(again) == 1, qt.Equals, tc.again, qt.Commentf(tc.name))
		qt.Check(t, jr.deleting[id], qt.Equals, tc.next, qt.Commentf(tc.name))
		jr.setWhole(id, 20)
		qt.Check(t, jr.reused(id), qt.Equals, tc.again, qt.Commentf(tc.name))
	}
}
