package lease

import (
	"sync"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Lease is one right that ends by itself; it is safe for concurrent use and starts lapsed.
type Lease struct {
	mu      sync.Mutex
	ck      *clock.Clock
	untilMS int64
	token   uint64
}

const (
	// Two clocks may drift apart by this many thousandths of the time that they measure.
	driftPerMille = 10
	driftFloorMS  = 1
)

// New returns a lapsed lease that is checked against the holder's clock.
func New(ck *clock.Clock) *Lease {
	return &Lease{ck: ck}
}

// MarginMS returns the part of a length that covers clocks of different rates.
func MarginMS(lengthMS int64) int64 {
	return lengthMS*driftPerMille/1000 + driftFloorMS
}

// UsableMS returns how long the holder may use a lease of the given length, counted from before it asked for it.
func UsableMS(lengthMS int64) int64 {
	return max(0, lengthMS-MarginMS(lengthMS))
}

// OutwaitMS returns how long everyone else waits before a lease of the given length has surely lapsed for its holder.
func ExpiredAfterMS(lengthMS int64) int64 {
	return lengthMS + MarginMS(lengthMS)
}

// Grant starts or extends the lease from the time before the question that won it; an extension never shortens it, and a lower token is ignored.
func (ls *Lease) Grant(askedMS, lengthMS int64, token uint64) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if token < ls.token {
		return
	}
	until := askedMS + UsableMS(lengthMS)
	if token > ls.token {
		ls.untilMS = until
	}
	ls.token = token
	ls.untilMS = max(ls.untilMS, until)
}

// End makes the lease lapse at once.
func (ls *Lease) End() {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.untilMS = 0
}

// Check returns an error of code LeaseLapsed unless the lease still runs.
func (ls *Lease) Check() error {
	_, err := ls.Token()
	return err
}

// Token returns the fencing token, or an error of code LeaseLapsed unless the lease still runs.
func (ls *Lease) Token() (uint64, error) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if now := ls.ck.Now(); now >= ls.untilMS {
		return 0, code.LeaseLapsed.New("lapsed %d ms ago", now-ls.untilMS)
	}
	return ls.token, nil
}

// Do runs an effect with the fencing token if the lease still runs at that moment; call it once for each effect.
func (ls *Lease) Do(effect func(token uint64) error) error {
	token, err := ls.Token()
	if err != nil {
		return err
	}
	return effect(token)
}

// RemainingMS returns how long the lease still runs, 0 when it has lapsed.
func (ls *Lease) RemainingMS() int64 {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	return max(0, ls.untilMS-ls.ck.Now())
}
