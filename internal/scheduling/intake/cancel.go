package intake

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/store/rowstore"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

const (
	// cancelTimeoutMS bounds a cancellation; callers wait for about three seconds.
	cancelTimeoutMS = 2400
	// unknownWritesPercent is the part of the store's writes that the cancellations of unknown jobs may use at one entry, so that they can't keep submissions from being stored; unknownBurstS is for how many seconds it may be saved up.
	unknownWritesPercent = 1
	unknownBurstS        = 10
	percentAll           = 100
)

// WithStoreRate limits the cancellations of unknown jobs, each of which writes a row, to a part of the writes that the store takes in a second; 0 sets no limit.
func (in *Intake) WithStoreRate(ck *clock.Clock, writesPerS float64) *Intake {
	if writesPerS <= 0 {
		return in
	}
	perS := writesPerS * unknownWritesPercent / percentAll
	lm := rate.NewLimiter(rate.Limit(perS), int(perS*unknownBurstS)+1)
	in.mayForbid = func() bool { return lm.AllowN(time.UnixMilli(ck.Now()), 1) }
	return in
}

// Cancel stores that a job is cancelled, unless it has ended. It is carried through even if the caller's context ends.
//
// An error with code.JobUnknown means that the job does not exist and that no commit of a submission that is under way can store it any more; a submission that begins later can. code.TableUnavailable means that nothing was stored, code.TableInDoubt that the cancellation may be stored; code.TableBudget that too many unknown jobs have been cancelled; none of them tells whether the job exists.
func (in *Intake) Cancel(caller context.Context, id string) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(caller), cancelTimeoutMS*time.Millisecond)
	defer cancel()
	inDoubt := false
	var err error
	for _, timeoutMS := range []int64{firstTimeoutMS, secondTimeoutMS, firstTimeoutMS} {
		err = in.cancelOnce(ctx, id, timeoutMS)
		switch code.Of(err) {
		case code.OK, code.JobUnknown, code.TableBudget:
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
		if !in.mayForbid() {
			return code.TableBudget.New("too many cancellations of unknown jobs, of which %q is one", id)
		}
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
