package jobrunner

import (
	"context"

	"github.com/fulmarloft/fulmarloft/internal/membership/transferwatch"
)

// transferWatcher tells an owner when to hand over to a stronger entry that asks for the ownership.
type transferWatcher struct {
	rn *Runner
	wt *transferwatch.Watch
	// due is closed once the owner is to hand over; strength, set before, is that of the entry that asks.
	due      chan struct{}
	strength int64
}

const (
	// transferCheckMS is how often the request for the ownership is read, transferReadMS bounds one read of it, and of the partitions that a successor needs.
	transferCheckMS = 500
	transferReadMS  = 1000
)

func newTransferWatcher(rn *Runner) *transferWatcher {
	wt := transferwatch.New(rn.ow.Token(), rn.ow.Strength(), rn.ow.ShortTransfers())
	return &transferWatcher{rn: rn, wt: wt, due: make(chan struct{})}
}

// isDue reports whether the owner is to hand over.
func (tw *transferWatcher) isDue() bool { return closed(tw.due) }

// releasedTo returns the strength of the entry to which the owner hands over, 0 if there is none.
func (tw *transferWatcher) releasedTo() int64 {
	if !tw.isDue() {
		return 0
	}
	return tw.strength
}

// run reads the request for the ownership until it is due or the context ends. A successor needs all partitions of the store, so it isn't due while one of them is unavailable.
func (tw *transferWatcher) run(ctx context.Context) {
	for tw.rn.ck.Sleep(ctx, transferCheckMS) == nil {
		if !tw.observe(ctx) {
			continue
		}
		unavailable, _ := tw.rn.probeOnce(ctx, transferReadMS)
		if unavailable == 0 {
			close(tw.due)
			return
		}
		tw.rn.lg.Info("transfer-delayed", "token", tw.rn.ow.Token(), "unavailable", unavailable)
	}
}

// observe reads the request and reports whether a stronger entry has asked for long enough.
func (tw *transferWatcher) observe(ctx context.Context) bool {
	limited, cancel := tw.rn.ck.WithTimeout(ctx, transferReadMS)
	defer cancel()
	rq, version, err := tw.rn.ow.ReadTransferRequest(limited)
	if err != nil {
		if ctx.Err() == nil {
			tw.rn.lg.Fail("transfer-request-unread", err, "token", tw.rn.ow.Token())
		}
		return false
	}
	tw.wt.Observe(tw.rn.ck.Now(), version, rq)
	if !tw.wt.Steady() {
		return false
	}
	tw.strength = rq.GetStrength()
	tw.rn.lg.Info("transfer-due", "token", tw.rn.ow.Token(), "entry", rq.GetEntry(), "strength", rq.GetStrength(), "own-strength", tw.rn.ow.Strength(), "asked-ms", tw.wt.SteadyMS())
	return true
}
