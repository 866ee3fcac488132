package jobrunner

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/intake"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/retention"
	"github.com/fulmarloft/fulmarloft/internal/store/rowstore"
)

// rowCleaner deletes the rows of jobs whose retention period has ended: the job rows first and the progress afterwards, so that no successor mistakes an ended job for one that never ran.
//
// Some time after its end, a job's row is replaced by a short one in the table of ended jobs, and its progress is deleted later, so that a successor can begin once it has read little more than the jobs that haven't ended.
type rowCleaner struct {
	rn *Runner
	rt *retention.Retention
	// whole holds the ended jobs whose rows are still whole.
	whole     *retention.Retention
	nextRunMS int64
	// shortenNext is set when it is the turn of rows to be shortened.
	shortenNext bool
	// shown holds the moved jobs whose progress is still stored, in one partition.
	shown *retention.Retention
	// moved holds the jobs moved to the table of ended jobs until that table has been loaded.
	moved map[string]bool
	// removing is set while the rows of a partition are being deleted or shortened.
	removing bool
	// progressIDs lists the jobs whose own rows are deleted and whose progress is deleted with the next commit.
	progressIDs []string
}

const (
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
	return &rowCleaner{rn: rn, rt: retention.New(retentionMS), whole: retention.New(shortenAfterMS), shown: retention.New(showAfterMS), moved: map[string]bool{}}
}

// addRefused schedules the deletion of a refused job, whose row exists only to keep a late submission from taking effect.
func (rc *rowCleaner) addRefused(id string) {
	rc.rt.RecordEnded(intake.Partition(id), id, rc.rn.ck.Now())
}

// addOrphans schedules the deletion of progress without a job, left by an owner that was lost between the two deletions.
func (rc *rowCleaner) addOrphans(known map[string]bool, progress map[string]*workpb.Progress) {
	for id := range progress {
		if !known[id] {
			rc.progressIDs = append(rc.progressIDs, id)
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
	rc.progressIDs = append(rc.progressIDs, shown...)
	if rc.removing || nowMS < rc.nextRunMS || !rn.ow.Held() {
		return
	}
	rc.nextRunMS = nowMS + cleanupIntervalMS
	rc.shortenNext = !rc.shortenNext
	if rc.shortenNext {
		rc.shortenRows(ctx, nowMS)
	}
	if !rc.removing {
		rc.removeRows(ctx, nowMS)
	}
	if !rc.removing && !rc.shortenNext {
		rc.shortenRows(ctx, nowMS)
	}
}

// removeRows deletes the rows that are due in one partition.
func (rc *rowCleaner) removeRows(ctx context.Context, nowMS int64) {
	partition, due := rc.rt.TakeDue(nowMS, cleanupBatch)
	var ids []string
	for _, id := range due {
		if rc.rn.ct.Forget(id) {
			ids = append(ids, id)
			continue
		}
		rc.rt.RecordEnded(partition, id, nowMS)
	}
	if len(ids) > 0 {
		rc.removing = true
		rc.hurry(due, nowMS)
		go rc.removeJobs(ctx, partition, ids)
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
	_, _, err := rc.rn.deps.Store.Commit(ctx, tx)
	rc.rn.post(ctx, func() {
		rc.removing = false
		if err != nil {
			rc.rn.lg.Fail("rows-unshortened", err, "part", tx.Partition(), "jobs", len(ids))
			rc.whole.Requeue(tx.Partition(), ids, rc.rn.ck.Now())
			return
		}
		for _, id := range ids {
			rc.rn.ct.RowShortened(id)
			rc.shown.RecordEnded("", id, rc.rn.ck.Now())
			if rc.moved != nil {
				rc.moved[id] = true
			}
		}
	})
}

// removeJobs deletes the job and cancellation rows; rows that no longer exist are not an error.
func (rc *rowCleaner) removeJobs(ctx context.Context, partition string, ids []string) {
	tx := rowstore.NewTx(partition)
	for _, id := range ids {
		tx.Remove(intake.JobsTable, id)
		tx.Remove(intake.JobsTable, intake.CancelKey(id))
		tx.Remove(intake.EndedTable, id)
	}
	_, _, err := rc.rn.deps.Store.Commit(ctx, tx)
	rc.rn.post(ctx, func() {
		rc.removing = false
		if err != nil {
			rc.rn.lg.Fail("rows-unremoved", err, "part", partition, "jobs", len(ids))
			rc.rt.Requeue(partition, ids, rc.rn.ck.Now())
			return
		}
		rc.progressIDs = append(rc.progressIDs, ids...)
		rc.rn.lg.Info("rows-removed", "part", partition, "jobs", len(ids))
	})
}

// nextProgressIDs returns the jobs whose progress the next commit can delete, at most maxIDs.
func (rc *rowCleaner) nextProgressIDs(maxIDs int) []string {
	count := max(min(len(rc.progressIDs), maxIDs), 0)
	return rc.progressIDs[:count:count]
}

// progressRemoved drops the jobs whose progress a commit has deleted; they are the first of the list.
func (rc *rowCleaner) progressRemoved(ids []string) { rc.progressIDs = rc.progressIDs[len(ids):] }
