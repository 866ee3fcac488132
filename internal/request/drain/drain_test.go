package drain_test

import (
	"context"
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/request/drain"
	"github.com/fulmarloft/fulmarloft/internal/request/refusal"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

const waitMS = 3000

// Requests are accepted until the wait is over and refused after it, and Run must not return while one is in flight.
func TestTwoPhases(t *testing.T) {
	ck := clock.NewFake(0)
	dr := drain.New(ck)
	qt.Assert(t, dr.Enter(), qt.IsNil)
	qt.Assert(t, dr.Closing(), qt.IsFalse)
	ended := make(chan error, 1)
	go func() { ended <- dr.Run(context.Background(), waitMS) }()
	for !dr.Closing() || !ck.Pending() {
		runtime.Gosched()
	}
	ck.Advance(waitMS - 1)
	qt.Assert(t, dr.Enter(), qt.IsNil)
	ck.Advance(1)
	for dr.Enter() == nil {
		dr.Leave()
	}
	err := dr.Enter()
	qt.Assert(t, code.Of(err), qt.Equals, code.Draining)
	qt.Check(t, refusal.RetryAfterMS(err) >= 1000, qt.IsTrue, qt.Commentf("told to come back after %d ms to a process that is shutting down", refusal.RetryAfterMS(err)))
	qt.Assert(t, dr.InFlight(), qt.Equals, 2)
	dr.Leave()
	select {
	case <-ended:
		t.Fatal("Run returned with a request in flight")
	default:
	}
	dr.Leave()
	qt.Assert(t, <-ended, qt.IsNil)
}

func TestContextEndsTheWait(t *testing.T) {
	dr := drain.New(clock.NewFake(0))
	qt.Assert(t, dr.Enter(), qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	qt.Assert(t, dr.Run(ctx, 0), qt.Equals, context.Canceled)
}
