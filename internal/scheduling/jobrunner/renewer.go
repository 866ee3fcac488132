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
	// turnMS is when the runner's goroutine was last seen to go on, commitMS when the last commit began.
	turnMS   atomic.Int64
	commitMS atomic.Int64
	// stopped is set once no further renewal may begin.
	stopped atomic.Bool
}

const (
	// overdueRenewalMS is how long after the begin of the last commit the renewer acts; the runner's own commits come before.
	overdueRenewalMS = 450
	// minRenewerSleepMS is the minimum time between two looks at the time of the last commit.
	minRenewerSleepMS = 50
	// maxTurnMS is how long the runner's goroutine may be busy with one piece of work before its ownership is left to expire: two such turns, from the answer to one poll to the begin of the next, must fit into the lease of runs.
	maxTurnMS = 1800
)

func newRenewer(rn *Runner) *renewer {
	rw := &renewer{rn: rn, committing: make(chan struct{}, 1)}
	rw.commitMS.Store(rn.ck.Now())
	rw.progressed()
	return rw
}

// progressed records that the runner's goroutine goes on.
func (rw *renewer) progressed() { rw.turnMS.Store(rw.rn.ck.Now()) }

// begin waits for its turn to commit and records that a commit begins.
func (rw *renewer) begin() {
	rw.committing <- struct{}{}
	rw.commitMS.Store(rw.rn.ck.Now())
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
	return !rw.stopped.Load() && nowMS-rw.commitMS.Load() >= overdueRenewalMS && nowMS-rw.turnMS.Load() <= maxTurnMS
}

// renew renews the ownership unless another commit is under way.
func (rw *renewer) renew(ctx context.Context) {
	select {
	case rw.committing <- struct{}{}:
	default:
		return
	}
	nowMS := rw.rn.ck.Now()
	rw.commitMS.Store(nowMS)
	rw.rn.lg.Info("ownership-renewed-while-busy", "token", rw.rn.ow.Token(), "busy-ms", nowMS-rw.turnMS.Load())
	err := rw.rn.renew(ctx)
	rw.end()
	rw.rn.post(ctx, func() {
		if err != nil {
			rw.rn.loseOwnership(err)
		}
	})
}
