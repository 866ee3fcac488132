package jobrunner

import (
	"context"

	"github.com/fulmarloft/fulmarloft/internal/intake"
	"github.com/fulmarloft/fulmarloft/internal/retention"
	"github.com/fulmarloft/fulmarloft/internal/rowstore"
	"github.com/fulmarloft/fulmarloft/internal/workpb"
)

// retirement removes the rows of jobs that have been over for long enough: first the job's own, then its progress, so that no successor takes the job for one that never ran.
type rowCleaner struct {
	rn        *Runner
	rt        *retention.Retention
	nextRunMS int64
	// calling is set while a partition's rows are removed.
	removing bool
	// progress holds the jobs whose own rows are gone, to be removed with the next commit.
	progressIDs []string
}

const (
	// retireGapMS is how often rows are removed, retireJobs how many jobs leave at once; both bound the calls beside those that serve.
	cleanupIntervalMS = 500
	cleanupBatch      = 40
)

func newRowCleaner(rn *Runner, retentionMS int64) *rowCleaner {
	return &rowCleaner{rn: rn, rt: retention.New(retentionMS)}
}

// noteRefused takes up a row that only keeps a late commit from taking effect.
func (rc *rowCleaner) addRefused(id string) { rc.rt.Note(intake.Part(id), id, rc.rn.ck.Now()) }

// noteOrphans takes up progress without a job, left behind by an owner that was lost between the two removals.
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
		rc.rt.Note(intake.Part(id), id, nowMS)
	}
	if rc.removing || nowMS < rc.nextRunMS || !rn.ow.Held() {
		return
	}
	rc.nextRunMS = nowMS + cleanupIntervalMS
	part, due := rc.rt.Due(nowMS, cleanupBatch)
	var ids []string
	for _, id := range due {
		if rn.ct.Forget(id) {
			ids = append(ids, id)
			continue
		}
		rc.rt.Note(part, id, nowMS)
	}
	if len(ids) > 0 {
		rc.removing = true
		go rc.removeJobs(ctx, part, ids)
	}
}

// remove deletes the jobs' own rows; rows that are gone already are no error.
func (rc *rowCleaner) removeJobs(ctx context.Context, part string, ids []string) {
	tx := rowstore.NewTx(part)
	for _, id := range ids {
		tx.Remove(intake.JobsTable, id)
		tx.Remove(intake.JobsTable, intake.CancelKey(id))
	}
	_, _, err := rc.rn.deps.Store.Commit(ctx, tx)
	rc.rn.post(ctx, func() {
		rc.removing = false
		if err != nil {
			rc.rn.lg.Fail("rows-unremoved", err, "part", part, "jobs", len(ids))
			rc.rt.Again(part, ids, rc.rn.ck.Now())
			return
		}
		rc.progressIDs = append(rc.progressIDs, ids...)
		rc.rn.lg.Info("rows-removed", "part", part, "jobs", len(ids))
	})
}

// take returns progress to remove with a commit that has room for so many rows.
func (rc *rowCleaner) nextProgressIDs(room int) []string {
	count := max(min(len(rc.progressIDs), room), 0)
	return rc.progressIDs[:count:count]
}

// removed takes up that a commit has removed the first rows of the list.
func (rc *rowCleaner) progressRemoved(ids []string) { rc.progressIDs = rc.progressIDs[len(ids):] }
