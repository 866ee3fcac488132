package jobrunner

import (
	"context"

	"github.com/fulmarloft/fulmarloft/internal/intake"
	"github.com/fulmarloft/fulmarloft/internal/retention"
	"github.com/fulmarloft/fulmarloft/internal/rowstore"
	"github.com/fulmarloft/fulmarloft/internal/workpb"
)

// retirement removes the rows of jobs that have been over for long enough: first the job's own, then its progress, so that no successor takes the job for one that never ran.
type retirement struct {
	rn     *Runner
	rt     *retention.Retention
	nextMS int64
	// calling is set while a partition's rows are removed.
	calling bool
	// progress holds the jobs whose own rows are gone, to be removed with the next commit.
	progress []string
}

const (
	// retireGapMS is how often rows are removed, retireJobs how many jobs leave at once; both bound the calls beside those that serve.
	retireGapMS = 500
	retireJobs  = 40
)

func newRetirement(rn *Runner, keepMS int64) *retirement {
	return &retirement{rn: rn, rt: retention.New(keepMS)}
}

// noteRefused takes up a row that only keeps a late commit from taking effect.
func (re *retirement) noteRefused(id string) { re.rt.Note(intake.Part(id), id, re.rn.ck.Now()) }

// noteOrphans takes up progress without a job, left behind by an owner that was lost between the two removals.
func (re *retirement) noteOrphans(known map[string]bool, progress map[string]*workpb.Progress) {
	for id := range progress {
		if !known[id] {
			re.progress = append(re.progress, id)
		}
	}
}

func (re *retirement) step(ctx context.Context) {
	rn := re.rn
	nowMS := rn.ck.Now()
	for _, id := range rn.ct.Ended() {
		re.rt.Note(intake.Part(id), id, nowMS)
	}
	if re.calling || nowMS < re.nextMS || !rn.ow.Held() {
		return
	}
	re.nextMS = nowMS + retireGapMS
	part, due := re.rt.Due(nowMS, retireJobs)
	var ids []string
	for _, id := range due {
		if rn.ct.Forget(id) {
			ids = append(ids, id)
			continue
		}
		re.rt.Note(part, id, nowMS)
	}
	if len(ids) > 0 {
		re.calling = true
		go re.remove(ctx, part, ids)
	}
}

// remove deletes the jobs' own rows; rows that are gone already are no error.
func (re *retirement) remove(ctx context.Context, part string, ids []string) {
	tx := rowstore.NewTx(part)
	for _, id := range ids {
		tx.Remove(intake.JobsTable, id)
		tx.Remove(intake.JobsTable, intake.CancelKey(id))
	}
	_, _, err := re.rn.ln.Store.Commit(ctx, tx)
	re.rn.post(ctx, func() {
		re.calling = false
		if err != nil {
			re.rn.lg.Fail("rows-unremoved", err, "part", part, "jobs", len(ids))
			re.rt.Again(part, ids, re.rn.ck.Now())
			return
		}
		re.progress = append(re.progress, ids...)
		re.rn.lg.Info("rows-removed", "part", part, "jobs", len(ids))
	})
}

// take returns progress to remove with a commit that has room for so many rows.
func (re *retirement) take(room int) []string {
	count := max(min(len(re.progress), room), 0)
	return re.progress[:count:count]
}

// removed takes up that a commit has removed the first rows of the list.
func (re *retirement) removed(ids []string) { re.progress = re.progress[len(ids):] }
