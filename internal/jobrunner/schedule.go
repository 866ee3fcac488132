package jobrunner

import (
	"context"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/event"
	"github.com/fulmarloft/fulmarloft/internal/ownership"
)

// Schedule takes the ownership of scheduling whenever it is free and runs it.
type Scheduler struct {
	deps        *Dependencies
	ck          *clock.Clock
	lg          *event.Log
	ow          *ownership.Ownership
	runLeaseMS  int64
	retentionMS int64
	// restUntilMS is until when this entry leaves the ownership to others, having fallen behind.
	backoffUntilMS int64
}

const (
	// registerMS is how long entries that start at the same time give each other to tell of themselves.
	registerWaitMS = 250
	// registerTries bounds how often an entry tries to tell of itself before it goes on without.
	maxRegisterTries = 3
	// runLeaseMS is the lease of runs: longer than an owner's loss and its successor's start take, short enough to restart soon what a lost VM ran.
	runLeaseMS = 4000
	// releaseMS bounds the wait for the release at the end.
	releaseTimeoutMS = 1500
	// restMS is how long an entry that fell behind as the owner stays out: longer than others need to take over.
	yieldBackoffMS = 6000
)

// NewSchedule returns the schedule of an entry; longestLeaseMS is the longest lease that VMs grant, retentionMS how long the rows of jobs stay that are over, 0 for ever.
func NewScheduler(deps *Dependencies, ck *clock.Clock, lg *event.Log, ow *ownership.Ownership, longestLeaseMS, retentionMS int64) *Scheduler {
	lease := int64(runLeaseMS)
	if longestLeaseMS > 0 {
		lease = min(lease, longestLeaseMS)
	}
	return &Scheduler{deps: deps, ck: ck, lg: lg, ow: ow, runLeaseMS: lease, retentionMS: retentionMS}
}

// Run polls, and schedules while this entry is the owner, until the context ends; then it releases the ownership.
func (sc *Scheduler) Run(ctx context.Context) {
	sc.register(ctx)
	for ctx.Err() == nil {
		if restMS := sc.backoffUntilMS - sc.ck.Now(); restMS > 0 {
			_ = sc.ck.Sleep(ctx, restMS)
			continue
		}
		owned, err := sc.ow.Poll(ctx)
		if err == nil && owned {
			sc.runAsOwner(ctx)
			continue
		}
		_ = sc.ck.Sleep(ctx, sc.ow.PollIntervalMS(ctx))
	}
}

// register tells the others of this entry, and gives those that start at the same time a moment to do so.
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

func (sc *Scheduler) runAsOwner(ctx context.Context) {
	rn := New(sc.deps, sc.ck, sc.lg, sc.ow, sc.runLeaseMS, sc.retentionMS)
	sc.lg.Info("ownership-taken", "token", sc.ow.Token())
	err := rn.Run(ctx)
	if err != nil {
		sc.lg.Fail("scheduling-ended", err, "token", sc.ow.Token())
		return
	}
	if rn.yielded {
		sc.lg.Info("ownership-yielded", "token", sc.ow.Token(), "held-ms", sc.ck.Now()-rn.startMS)
		sc.backoffUntilMS = sc.ck.Now() + yieldBackoffMS
	}
	out, cancel := sc.ck.WithTimeout(context.Background(), releaseTimeoutMS)
	defer cancel()
	if err := sc.ow.Release(out); err != nil {
		sc.lg.Fail("ownership-unreleased", err)
		return
	}
	sc.lg.Info("ownership-released", "token", sc.ow.Token())
}
