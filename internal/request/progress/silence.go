package progress

import (
	"context"
	"sync"

	"github.com/fulmarloft/fulmarloft/internal/clock"
)

// silence cancels a context once nothing has arrived for too long.
type silence struct {
	ck        *clock.Clock
	cancel    context.CancelCauseFunc
	silenceMS int64

	mu         sync.Mutex
	deadlineMS int64
	stopTimer  func() bool
	ended      bool
}

// WithSilenceTimeout returns a context that is cancelled, with the cause context.DeadlineExceeded, when nothing of an answer has arrived for firstMS, nor for silenceMS since its last part. An answer may take any time as long as it arrives.
func WithSilenceTimeout(ctx context.Context, ck *clock.Clock, firstMS, silenceMS int64) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	si := &silence{ck: ck, cancel: cancel, silenceMS: silenceMS, deadlineMS: ck.Now() + firstMS}
	si.mu.Lock()
	defer si.mu.Unlock()
	si.stopTimer = ck.AfterFunc(firstMS, si.check)
	return With(ctx, si.extend), si.end
}

func (si *silence) extend(int) {
	si.mu.Lock()
	defer si.mu.Unlock()
	si.deadlineMS = max(si.deadlineMS, si.ck.Now()+si.silenceMS)
}

// check ends the context, or waits again if something has arrived meanwhile.
func (si *silence) check() {
	si.mu.Lock()
	defer si.mu.Unlock()
	if si.ended {
		return
	}
	if remainingMS := si.deadlineMS - si.ck.Now(); remainingMS > 0 {
		si.stopTimer = si.ck.AfterFunc(remainingMS, si.check)
		return
	}
	si.cancel(context.DeadlineExceeded)
}

func (si *silence) end() {
	si.mu.Lock()
	defer si.mu.Unlock()
	si.ended = true
	si.stopTimer()
	si.cancel(context.Canceled)
}
