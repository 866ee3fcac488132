package drain

import (
	"context"
	"sync"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/request/refusal"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Drain counts the requests in flight and tracks whether new ones are accepted; it is safe for concurrent use.
type Drain struct {
	mu       sync.Mutex
	ck       *clock.Clock
	closing  bool
	refusing bool
	inFlight int
	// idle is closed once new requests are refused and none is in flight.
	idle chan struct{}
}

// retryAfterMS is the retry hint of a refusal. A caller that got here was sent by a load balancer that still takes this process for ready; the hint covers another health check.
const retryAfterMS = 1000

// New returns a drain that accepts requests.
func New(ck *clock.Clock) *Drain {
	return &Drain{ck: ck, idle: make(chan struct{})}
}

// Enter counts a new request as in flight, or returns an error with the code Draining if new ones are refused; after a nil error the caller must call Leave.
func (dr *Drain) Enter() error {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	if dr.refusing {
		return Refused()
	}
	dr.inFlight++
	return nil
}

// Refused returns the error of a request that a draining process refuses, with the time after which the caller may come back.
func Refused() error { return refusal.New(code.Draining, retryAfterMS) }

// Leave records that a request has ended.
func (dr *Drain) Leave() {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	dr.inFlight--
	dr.signalIfIdle()
}

// Closing reports whether the process is no longer ready and its answers ask callers to open new connections.
func (dr *Drain) Closing() bool {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	return dr.closing
}

// InFlight returns the number of requests in flight.
func (dr *Drain) InFlight() int {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	return dr.inFlight
}

// Run marks the process as not ready, accepts requests for another waitMS so that the load balancer can notice, then refuses new ones and returns when those in flight have ended; it returns the context's error if the context ends first.
func (dr *Drain) Run(ctx context.Context, waitMS int64) error {
	dr.mu.Lock()
	dr.closing = true
	dr.mu.Unlock()
	if err := dr.ck.Sleep(ctx, waitMS); err != nil {
		return err
	}
	dr.mu.Lock()
	dr.refusing = true
	dr.signalIfIdle()
	dr.mu.Unlock()
	select {
	case <-dr.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// signalIfIdle closes idle if new requests are refused and none is in flight; dr.mu must be held.
func (dr *Drain) signalIfIdle() {
	if !dr.refusing || dr.inFlight > 0 {
		return
	}
	select {
	case <-dr.idle:
	default:
		close(dr.idle)
	}
}
