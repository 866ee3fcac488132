package jobapi

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/job"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/scheduler"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// stored is a job with its row's version.
type stored struct {
	job     job.Job
	version uint64
}

const (
	// cancelBatchSize is the maximum number of jobs cancelled in one transaction.
	cancelBatchSize   = 128
	maxCancelAttempts = 8
)

// store writes a new job, or returns the stored one if this is a repeat of the same submission.
func (ap *API) store(ctx context.Context, jb job.Job) (job.Job, error) {
	req := &platformpb.CommitRequest{Operation: jb.Row().GetOperation()}
	if err := appendWrite(req, jb, 0); err != nil {
		return jb, err
	}
	rep, err := ap.Table.Commit(ctx, req)
	if code.Of(err) == code.TableInDoubt {
		return ap.readBack(ctx, jb, err)
	}
	if err != nil {
		return jb, code.NotYetKept.Wrap(err)
	}
	if rep.GetCommitted() {
		return jb, nil
	}
	for _, row := range rep.GetRows() {
		if row.GetKey() == jb.Key() {
			return matchStored(row, jb)
		}
	}
	return jb, code.Conflict.New("job %q: the row changed concurrently", jb.Row().GetId())
}

// readBack determines whether a submission in doubt took effect. If the row isn't found, the commit may still be applied, so the submission stays in doubt.
func (ap *API) readBack(ctx context.Context, jb job.Job, inDoubt error) (job.Job, error) {
	row, err := ap.Table.Get(ctx, jb.Key())
	if err != nil || row.GetVersion() == 0 {
		return jb, inDoubt
	}
	return matchStored(row, jb)
}

// matchStored returns the stored job if it was submitted with the same content, or an error with the code OperationRepeated.
func matchStored(row *platformpb.Row, jb job.Job) (job.Job, error) {
	first, err := job.Parse(row.GetValue())
	if err != nil {
		return jb, err
	}
	a, b := first.Row(), jb.Row()
	if first.Declared() != jb.Declared() || a.GetClass() != b.GetClass() || a.GetRunMs() != b.GetRunMs() ||
		a.GetIdempotent() != b.GetIdempotent() || a.GetIssuedMs() != b.GetIssuedMs() {
		return jb, code.OperationRepeated.New("job %q was already submitted with different content", b.GetId())
	}
	return first, nil
}

// appendWrite adds the job's row, on condition of its version, and an inbox row that tells the scheduler about the change.
func appendWrite(req *platformpb.CommitRequest, jb job.Job, version uint64) error {
	raw, err := jb.Bytes()
	if err != nil {
		return err
	}
	req.Conditions = append(req.Conditions, &platformpb.Condition{Key: jb.Key(), Version: version})
	req.Writes = append(req.Writes,
		&platformpb.Write{Key: jb.Key(), Value: raw},
		&platformpb.Write{Key: scheduler.InboxKeyPrefix + jb.Row().GetId()})
	return nil
}

func (ap *API) find(ctx context.Context, team, id string) (stored, error) {
	list, err := ap.findAll(ctx, team, []string{id})
	if err != nil {
		return stored{}, err
	}
	if len(list) == 0 {
		return stored{}, code.JobUnknown.New("job %q does not exist", id)
	}
	return list[0], nil
}

// findAll returns the team's jobs with the given ids; unknown ids are omitted.
func (ap *API) findAll(ctx context.Context, team string, ids []string) ([]stored, error) {
	req := &platformpb.ReadRequest{}
	for _, id := range ids {
		req.Keys = append(req.Keys, job.KeyPrefix+team+teamSeparator+id)
	}
	rep, err := ap.Table.Read(ctx, req)
	if err != nil {
		return nil, code.TableUnavailable.Wrap(err)
	}
	list := make([]stored, 0, len(rep.GetRows()))
	for _, row := range rep.GetRows() {
		jb, err := job.Parse(row.GetValue())
		if err != nil {
			return nil, err
		}
		list = append(list, stored{job: jb, version: row.GetVersion()})
	}
	return list, nil
}

// cancelAll cancels the team's jobs with the given ids in batches and returns their states; unknown ids are omitted.
func (ap *API) cancelAll(ctx context.Context, team string, ids []string) ([]job.Job, error) {
	var done []job.Job
	for len(ids) > 0 {
		batch := ids[:min(len(ids), cancelBatchSize)]
		ids = ids[len(batch):]
		list, err := ap.cancelBatch(ctx, team, batch)
		if err != nil {
			return nil, err
		}
		done = append(done, list...)
	}
	return done, nil
}

// cancelBatch cancels jobs in one transaction, and retries while their rows change concurrently or the commit is in doubt.
func (ap *API) cancelBatch(ctx context.Context, team string, ids []string) ([]job.Job, error) {
	for range maxCancelAttempts {
		list, err := ap.findAll(ctx, team, ids)
		if err != nil {
			return nil, err
		}
		req := &platformpb.CommitRequest{Operation: "cancel-" + ap.NewID()}
		after := make([]job.Job, 0, len(list))
		for _, st := range list {
			next := st.job.Cancel(ap.Clock.Now())
			after = append(after, next)
			if proto.Equal(next.Row(), st.job.Row()) {
				continue
			}
			if err := appendWrite(req, next, st.version); err != nil {
				return nil, err
			}
		}
		if len(req.GetWrites()) == 0 {
			return after, nil
		}
		rep, err := ap.Table.Commit(ctx, req)
		if err == nil && rep.GetCommitted() {
			return after, nil
		}
		if err != nil && code.Of(err) != code.TableInDoubt {
			return nil, code.NotYetKept.Wrap(err)
		}
	}
	return nil, code.Conflict.New("jobs of team %s: no cancellation was confirmed in %d attempts", team, maxCancelAttempts)
}
