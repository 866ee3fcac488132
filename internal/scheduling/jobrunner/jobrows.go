package jobrunner

import (
	"github.com/fulmarloft/fulmarloft/internal/scheduling/intake"
	"github.com/fulmarloft/fulmarloft/internal/store/rowstore"
)

// jobRows holds the versions of the stored rows of jobs, on which their deletion is conditional: a deletion without an answer may be performed late, when another job has been submitted under the id.
type jobRows struct {
	// whole holds the versions of the rows of accepted jobs, ended those of the short rows that replace them.
	whole, ended map[string]int64
	// deleting holds the rows whose deletion has been sent.
	deleting map[string]jobRow
}

// jobRow is a version of a job's row; version 0 of JobsTable stands for a short row of any version, which exists only while JobsTable has none.
type jobRow struct {
	table   string
	version int64
}

func newJobRows() *jobRows {
	return &jobRows{whole: map[string]int64{}, ended: map[string]int64{}, deleting: map[string]jobRow{}}
}

// setWhole records the row of an accepted job.
func (jr *jobRows) setWhole(id string, version int64) { jr.whole[id] = version }

// setEnded records the short row of an ended job, which replaces its whole one.
func (jr *jobRows) setEnded(id string, version int64) {
	delete(jr.whole, id)
	jr.ended[id] = version
}

// reused reports whether a job was submitted under the id of one whose deletion has been sent.
func (jr *jobRows) reused(id string) bool {
	_, deleting := jr.deleting[id]
	return deleting && (jr.whole[id] != 0 || jr.ended[id] != 0)
}

// addDeletion adds the deletion of a job's rows to a transaction. A repeated one has the same condition.
func (jr *jobRows) addDeletion(tx *rowstore.Tx, id string) {
	row, ok := jr.deleting[id]
	if !ok {
		row = jr.take(id)
		jr.deleting[id] = row
	}
	tx.Require(row.table, id, row.version).Remove(intake.JobsTable, intake.CancelKey(id))
	if row.version == 0 {
		tx.Remove(intake.EndedTable, id)
		return
	}
	tx.Remove(row.table, id)
}

// take returns and forgets what is known of a job's row.
func (jr *jobRows) take(id string) jobRow {
	row := jobRow{table: intake.JobsTable}
	switch {
	case jr.whole[id] != 0:
		row.version = jr.whole[id]
	case jr.ended[id] != 0:
		row = jobRow{intake.EndedTable, jr.ended[id]}
	}
	delete(jr.whole, id)
	delete(jr.ended, id)
	return row
}

// deleted forgets a deletion that was applied or is needless.
func (jr *jobRows) deleted(id string) { delete(jr.deleting, id) }

// retry returns which deletions must be sent again after one of a transaction's conditions failed. The others are needless: their rows are gone, or belong to a job that was submitted since.
func (jr *jobRows) retry(ids []string, current []rowstore.Row) []string {
	versions := map[rowKey]int64{}
	for _, rw := range current {
		versions[rowKey{rw.Table(), rw.Key()}] = rw.Version()
	}
	var again []string
	for _, id := range ids {
		row := jr.deleting[id]
		now := versions[rowKey{row.table, id}]
		switch {
		case now == row.version:
		case row.table == intake.EndedTable && now != 0:
			// The short row was written again, by a commit that was performed late.
			jr.deleting[id] = jobRow{intake.EndedTable, now}
		case row.table == intake.JobsTable && now == 0:
			jr.deleting[id] = jobRow{table: intake.JobsTable}
		default:
			jr.deleted(id)
			continue
		}
		again = append(again, id)
	}
	return again
}
