package clock

import (
	"context"
	"sort"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells the time in milliseconds since the Unix epoch and runs timers. A real clock never goes backwards within a process; a fake one moves only by Advance.
type Clock struct {
	mu          sync.Mutex
	fake        bool
	nowMS       int64
	start       time.Time
	startBootMS int64
	seq         int64
	timers      []*timer
}

// timer is a pending timer of a fake clock; timers due at the same time run in the order of seq.
type timer struct {
	atMS int64
	seq  int64
	fn   func()
}

// New returns a clock that advances with the machine's monotonic clock from the wall time of the call.
func New() *Clock {
	return &Clock{start: time.Now(), startBootMS: noBootTime}
}

// NewSuspendAware returns a clock like New that also advances while the machine is suspended, so that leases expire during a suspension.
func NewSuspendAware() *Clock {
	return &Clock{start: time.Now(), startBootMS: sinceBootMS()}
}

// noBootTime is the startBootMS of a clock that doesn't use the time since boot.
const noBootTime = -1

// sinceBootMS returns the milliseconds since boot, suspended time included, or noBootTime if the machine has no such clock.
func sinceBootMS() int64 {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return noBootTime
	}
	return ts.Nano() / int64(time.Millisecond)
}

// NewFake returns a clock that stays at the given time until Advance moves it.
func NewFake(nowMS int64) *Clock {
	return &Clock{fake: true, nowMS: nowMS}
}

// Now returns the current time in milliseconds.
func (ck *Clock) Now() int64 {
	if !ck.fake {
		return ck.start.UnixMilli() + ck.elapsedMS()
	}
	ck.mu.Lock()
	defer ck.mu.Unlock()
	return ck.nowMS
}

func (ck *Clock) elapsedMS() int64 {
	if ck.startBootMS == noBootTime {
		return time.Since(ck.start).Milliseconds()
	}
	return sinceBootMS() - ck.startBootMS
}

// AfterFunc runs fn once after the given number of milliseconds and returns a function that cancels the timer and reports whether it was still pending.
func (ck *Clock) AfterFunc(ms int64, fn func()) func() bool {
	if !ck.fake && ms <= 0 {
		// The race detector of Go 1.26 fails on timers in synctest bubbles that are due at once.
		go fn()
		return func() bool { return false }
	}
	if !ck.fake {
		return time.AfterFunc(time.Duration(ms)*time.Millisecond, fn).Stop
	}
	ck.mu.Lock()
	defer ck.mu.Unlock()
	ck.seq++
	tm := &timer{atMS: ck.nowMS + ms, seq: ck.seq, fn: fn}
	ck.timers = append(ck.timers, tm)
	return func() bool { return ck.cancel(tm) }
}

// Sleep returns nil after the given number of milliseconds, or the context's error if that ends first.
func (ck *Clock) Sleep(ctx context.Context, ms int64) error {
	done := make(chan struct{})
	stop := ck.AfterFunc(ms, func() { close(done) })
	defer stop()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// WithTimeout returns a context that is cancelled after the given number of milliseconds of this clock.
func (ck *Clock) WithTimeout(ctx context.Context, ms int64) (context.Context, context.CancelFunc) {
	if !ck.fake {
		return context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	stop := ck.AfterFunc(ms, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		stop()
		cancel(context.Canceled)
	}
}

// Advance moves a fake clock forward and runs the timers that become due, in order of time, on the calling goroutine; it does nothing on a real clock.
func (ck *Clock) Advance(ms int64) {
	if !ck.fake {
		return
	}
	ck.mu.Lock()
	endMS := ck.nowMS + ms
	for {
		tm := ck.popDue(endMS)
		if tm == nil {
			break
		}
		ck.nowMS = max(ck.nowMS, tm.atMS)
		ck.mu.Unlock()
		tm.fn()
		ck.mu.Lock()
	}
	ck.nowMS = endMS
	ck.mu.Unlock()
}

// Pending reports whether a fake clock has pending timers; it returns false on a real clock.
func (ck *Clock) Pending() bool {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	return len(ck.timers) > 0
}

// popDue removes and returns the first timer that is due by endMS, or nil.
func (ck *Clock) popDue(endMS int64) *timer {
	sort.Slice(ck.timers, func(i, j int) bool {
		if ck.timers[i].atMS != ck.timers[j].atMS {
			return ck.timers[i].atMS < ck.timers[j].atMS
		}
		return ck.timers[i].seq < ck.timers[j].seq
	})
	if len(ck.timers) == 0 || ck.timers[0].atMS > endMS {
		return nil
	}
	tm := ck.timers[0]
	ck.timers = ck.timers[1:]
	return tm
}

func (ck *Clock) cancel(tm *timer) bool {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	for i, other := range ck.timers {
		if other == tm {
			ck.timers = append(ck.timers[:i:i], ck.timers[i+1:]...)
			return true
		}
	}
	return false
}
