package jobrunner

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/membership/sendcheck"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/intake"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/retention"
	"github.com/fulmarloft/fulmarloft/internal/store/rowstore"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// rowCleaner deletes the rows of jobs whose retention period has ended: the job rows first and the progress afterwards, so that no successor mistakes an ended job for one that never ran.
//
// Some time after its end, a job's row is replaced by a short one in the table of ended jobs, and its progress is deleted later, so that a successor can begin once it has read little more than the jobs that haven't ended.
type rowCleaner struct {
	rn *Runner
	rt *retention.Retention
	// rows holds the versions of the rows to delete.
	rows *jobRows
	// whole holds the ended jobs whose rows are still whole.
	whole     *retention.Retention
	nextRunMS int64
	// shown holds the moved jobs whose progress is still stored, in one partition.
	shown *retention.Retention
	// moved holds the jobs moved to the table of ended jobs until that table has been loaded.
	moved map[string]bool
	// refused holds the refused jobs whose rows are still stored, with the newest version of each; refusedRows and guardRows tell when they are due.
	refused     map[string]refusedRow
	refusedRows *retention.Retention
	// guardRows holds the refused jobs whose rows tell no first attempt: they only guard against commits under way.
	guardRows *retention.Retention
	// turn counts the runs, so that the kinds of rows take turns.
	turn int
	// removing is set while the rows of a partition are being deleted or shortened.
	removing bool
	// progress lists the rows of progress that are deleted with the next commits, since the own rows of their jobs are deleted or they belong to none that runs.
	progress []rowKey
}

const (
	// refusedTurns is the number of runs of which one removes rows of refused jobs first.
	refusedTurns = 4
	// cleanupIntervalMS is how often rows are deleted, cleanupBatch the maximum number of jobs at once, with three rows each; both limit the store calls that compete with those made for callers.
	cleanupIntervalMS = 500
	cleanupBatch      = 33
	// busyIntervalMS is the interval after a batch of busyBatch jobs or more.
	busyIntervalMS = 100
	busyBatch      = cleanupBatch / 2
	// shortenAfterMS is how long after its end a job's row is shortened.
	shortenAfterMS = 1000
	// showAfterMS is for how long after that its progress is kept; most callers have asked for its state by then, which the progress answers with one read.
	showAfterMS = 4000
)

func newRowCleaner(rn *Runner, retentionMS int64) *rowCleaner {
	refusedMS, guardMS := refusedRetentions(retentionMS)
	return &rowCleaner{rn: rn, rt: retention.New(retentionMS), rows: newJobRows(), refused: map[string]refusedRow{}, refusedRows: retention.New(refusedMS), guardRows: retention.New(guardMS), whole: retention.New(shortenAfterMS), shown: retention.New(showAfterMS), moved: map[string]bool{}}
}

// addOrphans schedules the deletion of progress without a job, left by an owner that was lost between the two deletions, and of parts of completed jobs.
func (rc *rowCleaner) addOrphans(known map[string]bool, sp storedProgress) {
	for id := range sp.rows {
		if !known[id] {
			rc.progress = append(rc.progress, progressKey(id, 0))
		}
	}
	for _, rw := range sp.parts {
		id, _ := intake.PartJob(rw.Key())
		if !known[id] || sp.completed(id) {
			rc.progress = append(rc.progress, rowKey{intake.PartsTable, rw.Key()})
		}
	}
}

func (rc *rowCleaner) step(ctx context.Context) {
	rn := rc.rn
	nowMS := rn.ck.Now()
	for _, id := range rn.ct.Ended() {
		rc.rt.RecordEnded(intake.Partition(id), id, nowMS)
		rc.whole.RecordEnded(intake.Partition(id), id, nowMS)
	}
	_, shown := rc.shown.TakeDue(nowMS, cleanupBatch)
	rc.addProgress(shown)
	if rc.removing || nowMS < rc.nextRunMS || !rn.ow.Held() {
		return
	}
	rc.nextRunMS = nowMS + cleanupIntervalMS
	rc.turn++
	// A later owner may have deleted these rows already, and a caller may have submitted a job under the same id since.
	ctx = sendcheck.With(ctx, rn.ow.Held)
	for _, clean := range rc.kinds() {
		if !rc.removing {
			clean(ctx, nowMS)
		}
	}
}

// kinds returns the functions that clean up one kind of rows each, in the order of this run: the first one with rows that are due is the only one that acts.
func (rc *rowCleaner) kinds() []func(context.Context, int64) {
	switch {
	case rc.turn%refusedTurns == 0:
		return []func(context.Context, int64){rc.removeRefused, rc.removeRows, rc.shortenRows}
	case rc.turn%2 == 1:
		return []func(context.Context, int64){rc.shortenRows, rc.removeRows, rc.removeRefused}
	default:
		return []func(context.Context, int64){rc.removeRows, rc.shortenRows, rc.removeRefused}
	}
}

// removeRows deletes the rows that are due in one partition.
func (rc *rowCleaner) removeRows(ctx context.Context, nowMS int64) {
	partition, due := rc.rt.TakeDue(nowMS, cleanupBatch)
	tx := rowstore.NewTx(partition)
	var ids []string
	for _, id := range due {
		switch {
		case rc.rows.reused(id):
			rc.rows.deleted(id)
		case rc.rn.ct.Forget(id):
			rc.rows.addDeletion(tx, id)
			ids = append(ids, id)
		default:
			rc.rt.RecordEnded(partition, id, nowMS)
		}
	}
	if len(ids) > 0 {
		rc.removing = true
		rc.hurry(due, nowMS)
		go rc.commitRemoval(ctx, tx, ids)
	}
}

// hurry shortens the time to the next run after a large batch.
func (rc *rowCleaner) hurry(due []string, nowMS int64) {
	if len(due) >= busyBatch {
		rc.nextRunMS = nowMS + busyIntervalMS
	}
}

// shortenRows shortens the rows that are due in one partition.
func (rc *rowCleaner) shortenRows(ctx context.Context, nowMS int64) {
	partition, due := rc.whole.TakeDue(nowMS, cleanupBatch)
	tx := rowstore.NewTx(partition)
	var ids []string
	for _, id := range due {
		row, ready := rc.rn.ct.ShortRow(id)
		if !ready {
			rc.whole.RecordEnded(partition, id, nowMS)
			continue
		}
		if row == nil {
			continue
		}
		raw, err := proto.Marshal(row)
		if err != nil {
			rc.rn.lg.Fail("row-unshortened", err, "job", id)
			continue
		}
		tx.Put(intake.EndedTable, id, raw).Remove(intake.JobsTable, id)
		ids = append(ids, id)
	}
	if len(ids) > 0 {
		rc.removing = true
		rc.hurry(due, nowMS)
		go rc.commitShortRows(ctx, tx, ids)
	}
}

// commitShortRows writes short rows; the progress of their jobs, which they replace, is deleted some time after.
func (rc *rowCleaner) commitShortRows(ctx context.Context, tx *rowstore.Tx, ids []string) {
	version, _, err := rc.rn.deps.Store.Commit(ctx, tx)
	rc.rn.post(ctx, func() {
		rc.removing = false
		if err != nil {
			rc.rn.lg.Fail("rows-unshortened", err, "part", tx.Partition(), "jobs", len(ids))
			rc.whole.Requeue(tx.Partition(), ids, rc.rn.ck.Now())
			return
		}
		for _, id := range ids {
			rc.rn.ct.RowShortened(id)
			rc.rows.setEnded(id, version)
			rc.shown.RecordEnded("", id, rc.rn.ck.Now())
			if rc.moved != nil {
				rc.moved[id] = true
			}
		}
	})
}

// commitRemoval deletes the rows of jobs; what wasn't deleted is tried again, but for rows that have changed.
func (rc *rowCleaner) commitRemoval(ctx context.Context, tx *rowstore.Tx, ids []string) {
	_, current, err := rc.rn.deps.Store.Commit(ctx, tx)
	rc.rn.post(ctx, func() {
		rc.removing = false
		if err != nil {
			rc.rn.lg.Fail("rows-unremoved", err, "part", tx.Partition(), "jobs", len(ids))
			if code.Of(err) == code.Conflict {
				ids = rc.rows.retry(ids, current)
			}
			rc.rt.Requeue(tx.Partition(), ids, rc.rn.ck.Now())
			return
		}
		for _, id := range ids {
			rc.rows.deleted(id)
		}
		rc.addProgress(ids)
		rc.rn.lg.Info("rows-removed", "part", tx.Partition(), "jobs", len(ids))
	})
}

// addProgress schedules the deletion of the progress of ended jobs, of which nothing runs, so that no other parts are left.
func (rc *rowCleaner) addProgress(ids []string) {
	for _, id := range ids {
		rc.progress = append(rc.progress, progressKey(id, 0))
	}
}

// nextProgress returns the rows of progress that the next commit can delete, at most maxRows.
func (rc *rowCleaner) nextProgress(maxRows int) []rowKey {
	count := max(min(len(rc.progress), maxRows), 0)
	return rc.progress[:count:count]
}

// progressRemoved drops the rows that a commit has deleted; they are the first of the list.
func (rc *rowCleaner) progressRemoved(list []rowKey) { rc.progress = rc.progress[len(list):] }
