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
	// generation counts the openings.
	generation int64
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

// Allow reports whether a call may be made now; each allowed call must be followed by Done with the returned generation.
func (br *Breaker) Allow() (generation int64, ok bool) {
	br.mu.Lock()
	defer br.mu.Unlock()
	if br.failures < failuresToOpen {
		return br.generation, true
	}
	if br.trialActive || br.ck.Now() < br.openUntilMS {
		return 0, false
	}
	br.trialActive = true
	return br.generation, true
}

// Done records the result of an allowed call; a call from before the last opening counts neither way.
func (br *Breaker) Done(generation int64, ok bool) {
	br.mu.Lock()
	defer br.mu.Unlock()
	if generation != br.generation {
		return
	}
	br.trialActive = false
	if ok {
		br.failures = 0
		br.pause.Reset()
		return
	}
	br.failures++
	if br.failures >= failuresToOpen {
		br.generation++
		br.openUntilMS = br.ck.Now() + br.pause.NextBackOff().Milliseconds()
	}
}

// Open reports whether the breaker stops calls, apart from single trial calls.
func (br *Breaker) Open() bool {
	br.mu.Lock()
	defer br.mu.Unlock()
	return br.failures >= failuresToOpen
}
