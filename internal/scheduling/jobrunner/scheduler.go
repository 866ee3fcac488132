package jobrunner

import (
	"context"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/membership/ownership"
	"github.com/fulmarloft/fulmarloft/internal/observability/event"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Scheduler acquires the ownership of scheduling whenever it is free and runs a Runner while it holds it.
type Scheduler struct {
	deps *Dependencies
	ck   *clock.Clock
	lg   *event.Log
	ow   *ownership.Ownership
	// runLeaseMS is the lease of runs, longestLeaseMS the longest that VMs grant, 0 if it is unknown.
	runLeaseMS     int64
	longestLeaseMS int64
	retentionMS    int64
	// backoffUntilMS is until when this entry leaves the ownership to others after having yielded it.
	backoffUntilMS int64
	// OnTakeover is called after each takeover, OnUnfinishedTakeover after each one that ended before it scheduled.
	OnTakeover           func()
	OnUnfinishedTakeover func()
}

const (
	// registerWaitMS is how long a starting entry waits for others that start at the same time to register.
	registerWaitMS = 250
	// maxRegisterTries bounds the attempts to register before the entry continues unregistered.
	maxRegisterTries = 3
	// runLeaseMS is the lease of runs: longer than a failover of the owner takes, short enough to restart the runs of a lost VM soon.
	runLeaseMS = 4000
	// releaseTimeoutMS bounds the release of the ownership at the end.
	releaseTimeoutMS = 1500
	// yieldBackoffMS is how long an entry that yielded the ownership does not compete for it: longer than a takeover by another entry takes.
	yieldBackoffMS = 6000
	// failedBackoffMS is how long an entry whose scheduling failed leaves the ownership to others.
	failedBackoffMS = 1500
)

// NewScheduler returns the scheduler of an entry; maxLeaseMS is the longest lease that VMs grant, 0 if it is unknown, retentionMS how long the rows of ended jobs are kept, 0 for no limit.
func NewScheduler(deps *Dependencies, ck *clock.Clock, lg *event.Log, ow *ownership.Ownership, maxLeaseMS, retentionMS int64) *Scheduler {
	lease := int64(runLeaseMS)
	if maxLeaseMS > 0 {
		lease = min(lease, maxLeaseMS)
	}
	return &Scheduler{deps: deps, ck: ck, lg: lg, ow: ow, runLeaseMS: lease, longestLeaseMS: maxLeaseMS, retentionMS: retentionMS, OnTakeover: func() {}, OnUnfinishedTakeover: func() {}}
}

// Run polls the ownership row and schedules while this entry is the owner; it releases the ownership when the context ends.
func (sc *Scheduler) Run(ctx context.Context) {
	sc.register(ctx)
	for ctx.Err() == nil {
		if remainingMS := sc.backoffUntilMS - sc.ck.Now(); remainingMS > 0 {
			_ = sc.ck.Sleep(ctx, remainingMS)
			continue
		}
		owned, err := sc.ow.Poll(ctx)
		if err == nil && owned {
			sc.runAsOwner(ctx)
			continue
		}
		if err == nil && sc.deps.Rules() != nil {
			sc.requestTransfer(ctx)
		}
		_ = sc.ck.Sleep(ctx, sc.ow.PollIntervalMS(ctx))
	}
}

// requestTransfer asks a weaker owner for the ownership. A conflict only means that another entry has asked meanwhile.
func (sc *Scheduler) requestTransfer(ctx context.Context) {
	begun, err := sc.ow.RequestTransfer(ctx)
	switch {
	case err != nil && code.Of(err) != code.Conflict:
		sc.lg.Fail("transfer-request-failed", err)
	case err == nil && begun:
		sc.lg.Info("transfer-requested", "strength", sc.ow.Strength())
	}
}

// register registers this entry as a candidate and waits a moment for others that start at the same time.
func (sc *Scheduler) register(ctx context.Context) {
	for range maxRegisterTries {
		err := sc.ow.Register(ctx)
		_ = sc.ck.Sleep(ctx, registerWaitMS)
		if err == nil || ctx.Err() != nil {
			return
		}
		sc.lg.Fail("registration-failed", err)
	}
}

// recordTerm records a term that the entry lost before it scheduled, or on a link that is slow for the fleet, since the next one may end the same way.
func (sc *Scheduler) recordTerm(rn *Runner, err error) {
	unfinished := rn.scheduleStartMS == 0
	if err == nil || !(unfinished || rn.linkLimited()) {
		return
	}
	scheduledMS := int64(0)
	if !unfinished {
		scheduledMS = sc.ck.Now() - rn.scheduleStartMS
	}
	failures, waitMS := sc.ow.RecordLostTerm(scheduledMS)
	if unfinished {
		sc.OnUnfinishedTakeover()
		sc.lg.Info("takeover-unfinished", "token", sc.ow.Token(), "restored-bytes", rn.bulk.Bytes(), "failures", failures, "wait-ms", waitMS)
	}
}

func (sc *Scheduler) runAsOwner(ctx context.Context) {
	rn := New(sc.deps, sc.ck, sc.lg, sc.ow, sc.runLeaseMS, sc.retentionMS)
	rn.ct.SetLongestLease(sc.longestLeaseMS)
	sc.lg.Warn("ownership-taken", "token", sc.ow.Token())
	sc.OnTakeover()
	err := rn.Run(ctx)
	if err != nil {
		sc.lg.Fail("scheduling-ended", err, "token", sc.ow.Token())
	}
	if ctx.Err() == nil {
		sc.recordTerm(rn, err)
	}
	if code.Of(err) == code.LeaseLapsed {
		return
	}
	if err != nil {
		sc.backoffUntilMS = sc.ck.Now() + failedBackoffMS
	}
	if rn.yielded {
		sc.lg.Info("ownership-yielded", "token", sc.ow.Token(), "held-ms", sc.ck.Now()-rn.startMS)
		sc.ow.RecordYield(sc.ck.Now() - rn.scheduleStartMS)
		sc.backoffUntilMS = sc.ck.Now() + yieldBackoffMS
	}
	out, cancel := sc.ck.WithTimeout(context.Background(), releaseTimeoutMS)
	defer cancel()
	if err := sc.ow.ReleaseTo(out, rn.transfers.releasedTo()); err != nil {
		sc.lg.Fail("ownership-unreleased", err)
		return
	}
	sc.lg.Info("ownership-released", "token", sc.ow.Token())
}
