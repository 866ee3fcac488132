package jobrunner

import (
	"context"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/intake"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/retention"
	"github.com/fulmarloft/fulmarloft/internal/store/rowstore"
)

// refusedRow is the row of a refused job as last seen.
type refusedRow struct {
	version int64
	seenMS  int64
	// kept is the retention that tells when the row is due.
	kept *retention.Retention
}

const (
	// minRefusedRetentionMS is how long the row of a refused job is kept at least after its last refusal: callers that come back find the time of their first attempt there, at most 10 s later, or some seconds more if the store or their zone is away.
	minRefusedRetentionMS = 60_000
	// guardRetentionMS is how long a row is kept that guards against commits under way, which the store may apply some seconds after they were sent.
	guardRetentionMS = 30_000
)

// refusedRetentions returns how long the rows of refused jobs are kept, and those that only guard against commits under way, if the rows of ended jobs are kept for retentionMS; 0 or less keeps all of them.
func refusedRetentions(retentionMS int64) (refusedMS, guardMS int64) {
	if retentionMS <= 0 {
		return retentionMS, retentionMS
	}
	return max(retentionMS, minRefusedRetentionMS), guardRetentionMS
}

// addRefused schedules the deletion of a refused job's row, which keeps a late submission from taking effect and may hold the time of the first attempt. A row that is written anew is kept for the whole time again.
func (rc *rowCleaner) addRefused(jb *workpb.Job, version int64) {
	nowMS := rc.rn.ck.Now()
	kept := rc.refusedRows
	if jb.GetFirstTriedMs() == 0 {
		kept = rc.guardRows
	}
	rc.refused[jb.GetId()] = refusedRow{version, nowMS, kept}
	kept.RecordEnded(intake.Partition(jb.GetId()), jb.GetId(), nowMS)
}

// dropRefused forgets the refusal of a job that has been accepted since, so that its row isn't deleted before its time.
func (rc *rowCleaner) dropRefused(id string) { delete(rc.refused, id) }

// removeRefused deletes rows of refused jobs that are due, of one kind in one partition.
func (rc *rowCleaner) removeRefused(ctx context.Context, nowMS int64) {
	for _, kept := range []*retention.Retention{rc.guardRows, rc.refusedRows} {
		if !rc.removing {
			rc.removeRefusedOf(ctx, kept, nowMS)
		}
	}
}

// removeRefusedOf deletes the rows of refused jobs that are due in one partition, on condition that they are unchanged: a job may have been accepted in place of its refusal without this owner having heard of it.
func (rc *rowCleaner) removeRefusedOf(ctx context.Context, kept *retention.Retention, nowMS int64) {
	partition, due := kept.TakeDue(nowMS, cleanupBatch)
	tx := rowstore.NewTx(partition)
	var ids []string
	for _, id := range due {
		// An id is recorded once for each time its row was written; only the last one counts.
		row, ok := rc.refused[id]
		if !ok || row.kept != kept || !kept.Due(row.seenMS, nowMS) {
			continue
		}
		tx.Require(intake.JobsTable, id, row.version).Remove(intake.JobsTable, id)
		ids = append(ids, id)
	}
	if len(ids) > 0 {
		rc.removing = true
		rc.hurry(due, nowMS)
		go rc.commitRefused(ctx, tx, ids, kept)
	}
}

// commitRefused deletes rows of refused jobs; if some have changed, the others are tried again.
func (rc *rowCleaner) commitRefused(ctx context.Context, tx *rowstore.Tx, ids []string, kept *retention.Retention) {
	_, current, err := rc.rn.deps.Store.Commit(ctx, tx)
	rc.rn.post(ctx, func() {
		rc.removing = false
		if err == nil {
			for _, rw := range tx.Requires() {
				if rc.refused[rw.Key()].version == rw.Version() {
					delete(rc.refused, rw.Key())
				}
			}
			rc.rn.lg.Info("refusals-removed", "part", tx.Partition(), "jobs", len(ids))
			return
		}
		for _, rw := range current {
			if rc.refused[rw.Key()].version != rw.Version() {
				delete(rc.refused, rw.Key())
			}
		}
		kept.Requeue(tx.Partition(), ids, rc.rn.ck.Now())
		rc.rn.lg.Fail("refusals-unremoved", err, "part", tx.Partition(), "jobs", len(ids))
	})
}
