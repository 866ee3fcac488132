package jobrunner

import (
	"context"
	"sync/atomic"
)

// renewer renews the ownership while the runner's goroutine is busy, since a commit, which renews it as well, is begun by that goroutine alone. An owner whose goroutine is stuck isn't kept: it neither sends orders nor renews the leases of runs.
type renewer struct {
	rn *Runner
	// committing holds one element from the begin of a commit until its outcome is known: the ownership isn't safe for concurrent use.
	committing chan struct{}
	// progressMS is when the runner's goroutine was last seen to go on, commitMS when the last commit began.
	progressMS atomic.Int64
	commitMS   atomic.Int64
	// stopped is set while no renewal may begin.
	stopped atomic.Bool
}

const (
	// overdueRenewalMS is how long after the begin of the last commit the renewer acts; the runner's own commits come before.
	overdueRenewalMS = 450
	// minRenewerSleepMS is the minimum time between two checks whether a renewal is due.
	minRenewerSleepMS = 50
	// resumeDelayMS is how long a renewer that may act again leaves an overdue renewal to the runner's next commit.
	resumeDelayMS = 100
	// maxBusyMS is how long the runner's goroutine may be busy with one piece of work before its ownership is left to expire. The leases of runs must last twice as long: a poll's answer may wait for one such piece, and the next poll for another.
	maxBusyMS = 1800
)

func newRenewer(rn *Runner) *renewer {
	rw := &renewer{rn: rn, committing: make(chan struct{}, 1)}
	rw.recordCommit()
	rw.progressed()
	return rw
}

// progressed records that the runner's goroutine goes on.
func (rw *renewer) progressed() { rw.progressMS.Store(rw.rn.ck.Now()) }

// recordCommit records that a commit begins.
func (rw *renewer) recordCommit() { rw.commitMS.Store(rw.rn.ck.Now()) }

// setStopped sets whether no renewal may begin. Once renewals may begin again, the runner commits at once if it isn't busy, so that one which has become overdue meanwhile isn't due yet.
func (rw *renewer) setStopped(stopped bool) {
	if !stopped && rw.stopped.Load() {
		rw.commitMS.Store(max(rw.commitMS.Load(), rw.rn.ck.Now()-overdueRenewalMS+resumeDelayMS))
	}
	rw.stopped.Store(stopped)
}

// begin waits until no other commit is under way and records that one begins.
func (rw *renewer) begin() {
	rw.committing <- struct{}{}
	rw.recordCommit()
}

// end records that the outcome of a commit is known.
func (rw *renewer) end() { <-rw.committing }

// idle reports whether no commit is under way.
func (rw *renewer) idle() bool { return len(rw.committing) == 0 }

// run renews the ownership whenever that is overdue, until the context ends.
func (rw *renewer) run(ctx context.Context) {
	for {
		sinceMS := rw.rn.ck.Now() - rw.commitMS.Load()
		if rw.rn.ck.Sleep(ctx, max(overdueRenewalMS-sinceMS, minRenewerSleepMS)) != nil {
			return
		}
		if rw.due() {
			rw.renew(ctx)
		}
	}
}

// due reports whether a renewal is overdue and the runner's goroutine isn't stuck.
func (rw *renewer) due() bool {
	nowMS := rw.rn.ck.Now()
	return !rw.stopped.Load() && nowMS-rw.commitMS.Load() >= overdueRenewalMS && nowMS-rw.progressMS.Load() <= maxBusyMS
}

// renew renews the ownership unless another commit is under way.
func (rw *renewer) renew(ctx context.Context) {
	select {
	case rw.committing <- struct{}{}:
	default:
		return
	}
	if rw.stopped.Load() {
		// It was stopped since the renewal was found to be due, and idle may have been asked before.
		rw.end()
		return
	}
	rw.rn.lg.Info("ownership-renewed", "token", rw.rn.ow.Token(), "busy-ms", rw.rn.ck.Now()-rw.progressMS.Load())
	err := rw.rn.renew(ctx)
	rw.end()
	// It also wakes a runner that waits for the renewal before it releases the ownership.
	rw.rn.post(ctx, func() {
		if err != nil {
			rw.rn.loseOwnership(err)
		}
	})
}
