package ownership

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/request/hedge"
	"github.com/fulmarloft/fulmarloft/internal/store/rowstore"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

const (
	// A commit takes about 16 ms on an unloaded store: minHedgeDelayMS is far above that, maxHedgeDelayMS above a commit slowed down by a factor of 60.
	minHedgeDelayMS = 250
	maxHedgeDelayMS = 1500
	// commitTimeoutMS is how long a commit is attempted before its failure is reported.
	commitTimeoutMS = 1500
	// hedgeDelayFactor is the ratio of the hedge delay to the duration of the last commit's answered attempt.
	hedgeDelayFactor = 6
	// linkTimes is how many times the link could carry a transaction before it is sent again.
	linkTimes = 2
	msPerS    = 1000
)

// commit sends the same transaction again while it is unanswered; its condition on the row lets only one attempt apply.
func (ow *Ownership) commit(ctx context.Context, fill func(*rowstore.Tx), next *workpb.Ownership) error {
	ow.committing.Store(true)
	defer ow.committing.Store(false)
	startMS := ow.ck.Now()
	if ow.firstTryMS == 0 {
		ow.firstTryMS = startMS
	}
	tx := rowstore.NewTx(Partition)
	fill(tx)
	if err := ow.addRenewal(tx, next); err != nil {
		return err
	}
	limited, cancel := ow.ck.WithTimeout(ctx, commitTimeoutMS)
	defer cancel()
	delayMS := ow.hedgeDelayOf(tx)
	policy := hedge.New(ow.ck, delayMS, delayMS, isFinal)
	rs, err := hedge.Do(limited, policy, func(ctx context.Context, _ int) (commitResult, error) {
		sentMS := ow.ck.Now()
		version, current, err := ow.st.Commit(ctx, tx)
		if code.Of(err) == code.TableInDoubt {
			ow.inDoubt.Store(true)
		}
		return commitResult{version, current, ow.ck.Now() - sentMS}, err
	})
	ow.adaptHedgeDelay(code.Of(err), rs.tookMS)
	switch {
	case isConflict(err):
		return ow.resolveConflict(rs.current, next)
	case err != nil && limited.Err() != nil:
		return code.TableInDoubt.Wrap(err)
	case err != nil:
		ow.handleFailure()
		return err
	}
	ow.markApplied(next, rs.version)
	return nil
}

// handleFailure handles the failure of all attempts: unless one is in doubt, none of them can be applied any more.
func (ow *Ownership) handleFailure() {
	if !ow.inDoubt.Load() {
		ow.firstTryMS = 0
	}
}

// commitResult is the store's answer to a transaction.
type commitResult struct {
	version int64
	current []rowstore.Row
	// tookMS is how long the attempt that was answered took.
	tookMS int64
}

func isConflict(err error) bool { return code.Of(err) == code.Conflict }

// isFinal reports whether an error is a definite answer to a transaction, so that sending it again can't help.
func isFinal(err error) bool { return isConflict(err) || code.Of(err) == code.TableRefused }

// markApplied records the new version of the row. Any of the attempts may have written it, so the lease counts from the first one.
func (ow *Ownership) markApplied(next *workpb.Ownership, version int64) {
	ow.row, ow.version = next, version
	ow.renewedMS.Store(ow.firstTryMS)
	ow.firstTryMS = 0
	ow.inDoubt.Store(false)
}

// adaptHedgeDelay adapts the hedge delay to the duration of the attempts that are answered; one whose answer is lost tells nothing of the store's speed.
func (ow *Ownership) adaptHedgeDelay(result code.Code, tookMS int64) {
	if result == code.OK || result == code.Conflict {
		ow.hedgeDelayMS = min(max(hedgeDelayFactor*tookMS, minHedgeDelayMS), maxHedgeDelayMS)
	}
}

// hedgeDelayOf returns how long a transaction waits for an answer before it is sent again: no less than the link takes to carry it twice, since copies of a long transaction would fill a slow link.
func (ow *Ownership) hedgeDelayOf(tx *rowstore.Tx) int64 {
	if ow.linkBytesPerS == 0 {
		return ow.hedgeDelayMS
	}
	return max(ow.hedgeDelayMS, min(linkTimes*msPerS*int64(tx.Bytes())/ow.linkBytesPerS, maxHedgeDelayMS))
}

// resolveConflict distinguishes an earlier attempt of the same commit whose answer was lost from a takeover by another entry.
func (ow *Ownership) resolveConflict(current []rowstore.Row, next *workpb.Ownership) error {
	for _, rw := range current {
		if rw.Key() != key {
			continue
		}
		row := &workpb.Ownership{}
		if proto.Unmarshal(rw.Value(), row) != nil {
			// This entry didn't write it, so the ownership is lost.
			break
		}
		if row.GetIncarnation() == ow.incarnation && row.GetSequence() == next.GetSequence() && row.GetReleased() == next.GetReleased() {
			ow.markApplied(next, rw.Version())
			return nil
		}
	}
	ow.held.Store(false)
	ow.restore.Store(nil)
	return code.LeaseLapsed.New("another entry owns scheduling now")
}
