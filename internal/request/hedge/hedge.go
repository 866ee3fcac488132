package hedge

import (
	"context"

	"github.com/fulmarloft/fulmarloft/internal/clock"
)

// Policy defines when a call is repeated and which errors end it.
type Policy struct {
	ck             *clock.Clock
	initialDelayMS int64
	repeatDelayMS  int64
	isFinal        func(error) bool
}

// New returns a policy that repeats a call after initialDelayMS without an answer and then every repeatDelayMS; isFinal reports whether an error is a definite answer, so that another try can't help.
func New(ck *clock.Clock, initialDelayMS, repeatDelayMS int64, isFinal func(error) bool) *Policy {
	return &Policy{ck: ck, initialDelayMS: initialDelayMS, repeatDelayMS: repeatDelayMS, isFinal: isFinal}
}

type result[T any] struct {
	try   int
	value T
	err   error
}

// Do makes a call, whose tries are numbered from 0, and returns the first answer; an error that isn't final is returned only if no other try is in flight.
//
// Once a part of an answer arrives, as reported through progress, the other tries are cancelled: copies of a long answer would share the link. Another one starts only if nothing more arrives for the policy's repeat delay.
//
// The tries that are still in flight when Do returns are cancelled, so the call must be idempotent.
func Do[T any](ctx context.Context, po *Policy, call func(ctx context.Context, try int) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan result[T])
	tries := newTries(po.ck)
	start := func(try int) {
		tryCtx := tries.start(ctx, try)
		go func() {
			value, err := call(tryCtx, try)
			select {
			case answers <- result[T]{try, value, err}:
			case <-ctx.Done():
			}
		}()
	}
	due, stop := po.timer(po.initialDelayMS)
	defer func() { stop() }()
	start(0)
	begun := tries.begun
	var failed result[T]
	for started, inFlight := 1, 1; ; {
		select {
		case rs := <-answers:
			inFlight--
			if rs.err == nil || po.isFinal(rs.err) {
				return rs.value, rs.err
			}
			if failed.err == nil || !tries.lost(rs.try) {
				failed = rs
			}
			if inFlight == 0 {
				return failed.value, failed.err
			}
		case <-begun:
			begun = nil
			stop()
			due, stop = po.timer(po.repeatDelayMS)
		case <-due:
			remainingMS := tries.silentSinceMS() + po.repeatDelayMS - po.ck.Now()
			if remainingMS <= 0 {
				start(started)
				started++
				inFlight++
				remainingMS = po.repeatDelayMS
			}
			due, stop = po.timer(remainingMS)
		case <-ctx.Done():
			var zero T
			return zero, ctx.Err()
		}
	}
}

func (po *Policy) timer(ms int64) (due chan struct{}, stop func() bool) {
	due = make(chan struct{})
	return due, po.ck.AfterFunc(ms, func() { close(due) })
}
