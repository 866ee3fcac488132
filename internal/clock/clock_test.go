package clock_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/clock"
)

func TestFakeTimers(t *testing.T) {
	ck := clock.NewFake(1000)
	var firedMS []int64
	record := func() { firedMS = append(firedMS, ck.Now()) }
	ck.AfterFunc(30, record)
	ck.AfterFunc(10, func() {
		record()
		ck.AfterFunc(5, record)
	})
	stop := ck.AfterFunc(20, record)
	qt.Assert(t, stop(), qt.IsTrue)
	qt.Assert(t, stop(), qt.IsFalse)
	ck.Advance(30)
	qt.Assert(t, firedMS, qt.DeepEquals, []int64{1010, 1015, 1030})
	qt.Assert(t, ck.Now(), qt.Equals, int64(1030))
}

func TestFakeTimeout(t *testing.T) {
	ck := clock.NewFake(0)
	ctx, cancel := ck.WithTimeout(context.Background(), 50)
	defer cancel()
	ck.Advance(49)
	qt.Assert(t, ctx.Err(), qt.IsNil)
	ck.Advance(1)
	qt.Assert(t, context.Cause(ctx), qt.Equals, context.DeadlineExceeded)
}

func TestSuspendAwareClockMatchesOrdinaryClock(t *testing.T) {
	ordinary, aware := clock.New(), clock.NewSuspendAware()
	for range 1000 {
		before := ordinary.Now()
		now := aware.Now()
		qt.Assert(t, now >= before-1 && now <= ordinary.Now()+1, qt.IsTrue)
	}
}

// The race detector ends the process if timers of a bubble that are due at once run on several threads.
func TestTimersDueAtOnceDoNotCrashTheRaceDetector(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ck := clock.New()
		var wg sync.WaitGroup
		for range 300 {
			wg.Go(func() {
				for range 100 {
					qt.Check(t, ck.Sleep(context.Background(), 0), qt.IsNil)
				}
			})
		}
		wg.Wait()
	})
}
