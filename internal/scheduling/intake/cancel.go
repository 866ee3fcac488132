package intake

import (
	"context"
	"time"

	"github.com/fulmarloft/fulmarloft/internal/store/rowstore"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// cancelTimeoutMS bounds a cancellation; callers wait for about three seconds.
const cancelTimeoutMS = 2400

// Cancel stores that a job is cancelled, unless it has ended. It is carried through even if the caller's context ends.
//
// An error with code.JobUnknown means that the job does not exist and that no commit of a submission that is under way can store it any more; a submission that begins later can. code.TableUnavailable means that nothing was stored, code.TableInDoubt that the cancellation may be stored; neither tells whether the job exists.
func (in *Intake) Cancel(caller context.Context, id string) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(caller), cancelTimeoutMS*time.Millisecond)
	defer cancel()
	inDoubt := false
	var err error
	for _, timeoutMS := range []int64{firstTimeoutMS, secondTimeoutMS, firstTimeoutMS} {
		err = in.cancelOnce(ctx, id, timeoutMS)
		switch code.Of(err) {
		case code.OK, code.JobUnknown:
			return err
		case code.TableInDoubt:
			inDoubt = true
		default:
		}
	}
	if inDoubt || code.Of(err) == code.Conflict {
		return code.TableInDoubt.Wrap(err)
	}
	return err
}

// cancelOnce reads the job and makes one commit: a mark beside a job that hasn't ended, or a refused row in the place of one that doesn't exist. A refused row that is there already is written anew, since a commit under way may require its version.
func (in *Intake) cancelOnce(ctx context.Context, id string, timeoutMS int64) error {
	stored, version, err := in.stored(ctx, id)
	switch {
	case err != nil:
		return err
	case stored == nil && version != 0:
		return code.TableInDoubt.New("cannot decode the row of job %q", id)
	case stored == nil || stored.GetRefused():
		if _, err = in.forbid(ctx, id, stored, version, timeoutMS); err != nil {
			return err
		}
		return code.JobUnknown.New("job %q does not exist", id)
	case Final(stored.GetEnded()):
		return nil
	}
	tx := rowstore.NewTx(Partition(id)).Require(JobsTable, id, version).Put(JobsTable, CancelKey(id), []byte{1})
	_, err = in.commitWithTimeout(ctx, tx, timeoutMS)
	return err
}
