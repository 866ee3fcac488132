package breaker

import (
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/fulmarloft/fulmarloft/internal/clock"
)

// Breaker opens after several failures in a row; it is safe for concurrent use.
type Breaker struct {
	mu          sync.Mutex
	ck          *clock.Clock
	pause       *backoff.ExponentialBackOff
	failures    int
	openUntilMS int64
	trialActive bool
}

const (
	failuresToOpen = 5
	firstPauseMS   = 100
	maxPauseMS     = 1000
)

// New returns a closed breaker.
func New(ck *clock.Clock) *Breaker {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = firstPauseMS * time.Millisecond
	pause.MaxInterval = maxPauseMS * time.Millisecond
	pause.Reset()
	return &Breaker{ck: ck, pause: pause}
}

// Allow reports whether a call may be made now; each allowed call must be followed by Done.
func (br *Breaker) Allow() bool {
	br.mu.Lock()
	defer br.mu.Unlock()
	if br.failures < failuresToOpen {
		return true
	}
	if br.trialActive || br.ck.Now() < br.openUntilMS {
		return false
	}
	br.trialActive = true
	return true
}

// Done records the result of an allowed call.
func (br *Breaker) Done(ok bool) {
	br.mu.Lock()
	defer br.mu.Unlock()
	br.trialActive = false
	if ok {
		br.failures = 0
		br.pause.Reset()
		return
	}
	br.failures++
	if br.failures >= failuresToOpen {
		br.openUntilMS = br.ck.Now() + br.pause.NextBackOff().Milliseconds()
	}
}

// Open reports whether the breaker stops calls, apart from single trial calls.
func (br *Breaker) Open() bool {
	br.mu.Lock()
	defer br.mu.Unlock()
	return br.failures >= failuresToOpen
}
