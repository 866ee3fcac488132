package hedge

import (
	"context"

	"github.com/fulmarloft/fulmarloft/internal/clock"
)

// Policy says when a call is repeated.
type Policy struct {
	ck      *clock.Clock
	firstMS int64
	gapMS   int64
	final   func(error) bool
}

// New returns a policy that repeats a call first after firstMS without an answer and then each gapMS; final tells the errors that are answers from those that another try may do without.
func New(ck *clock.Clock, firstMS, gapMS int64, final func(error) bool) *Policy {
	return &Policy{ck: ck, firstMS: firstMS, gapMS: gapMS, final: final}
}

type result[T any] struct {
	value T
	err   error
}

// Do makes a call, whose tries are numbered from 0, and returns its first answer; an error that isn't final is returned once no other try is under way.
//
// The tries that are still under way then are cancelled, so the call must be idempotent.
func Do[T any](ctx context.Context, po *Policy, call func(ctx context.Context, try int) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan result[T])
	start := func(try int) {
		value, err := call(ctx, try)
		select {
		case answers <- result[T]{value, err}:
		case <-ctx.Done():
		}
	}
	late, stop := po.timer(po.firstMS)
	defer func() { stop() }()
	go start(0)
	for tries, open := 1, 1; ; {
		select {
		case rs := <-answers:
			open--
			if rs.err == nil || po.final(rs.err) || open == 0 {
				return rs.value, rs.err
			}
		case <-late:
			go start(tries)
			tries++
			open++
			late, stop = po.timer(po.gapMS)
		case <-ctx.Done():
			var none T
			return none, ctx.Err()
		}
	}
}

func (po *Policy) timer(ms int64) (late chan struct{}, stop func() bool) {
	late = make(chan struct{})
	return late, po.ck.AfterFunc(ms, func() { close(late) })
}
