package lease

import (
	"sync"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/membership/clockdrift"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Lease is a time-limited right with a fencing token; it is safe for concurrent use and starts expired.
type Lease struct {
	mu      sync.Mutex
	ck      *clock.Clock
	untilMS int64
	token   uint64
}

// New returns an expired lease that is checked against the holder's clock.
func New(ck *clock.Clock) *Lease {
	return &Lease{ck: ck}
}

// UsableMS returns how long the holder may use a lease of the given length, counted from before its request.
func UsableMS(lengthMS int64) int64 { return clockdrift.Shorten(lengthMS) }

// ExpiredAfterMS returns how long other processes must wait until a lease of the given length has certainly expired for its holder.
func ExpiredAfterMS(lengthMS int64) int64 { return clockdrift.Lengthen(lengthMS) }

// Grant starts or extends the lease, counted from requestedMS, the time before the request that won it. An extension never shortens the lease, and a lower token is ignored.
func (ls *Lease) Grant(requestedMS, lengthMS int64, token uint64) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if token < ls.token {
		return
	}
	until := requestedMS + UsableMS(lengthMS)
	if token > ls.token {
		ls.untilMS = until
	}
	ls.token = token
	ls.untilMS = max(ls.untilMS, until)
}

// End makes the lease expire at once.
func (ls *Lease) End() {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.untilMS = 0
}

// Check returns an error of code LeaseLapsed once the lease has expired.
func (ls *Lease) Check() error {
	_, err := ls.Token()
	return err
}

// Token returns the fencing token, or an error of code LeaseLapsed once the lease has expired.
func (ls *Lease) Token() (uint64, error) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if now := ls.ck.Now(); now >= ls.untilMS {
		return 0, code.LeaseLapsed.New("lease expired %d ms ago", now-ls.untilMS)
	}
	return ls.token, nil
}

// Do calls effect with the fencing token if the lease is valid at that moment; use one call for each effect.
func (ls *Lease) Do(effect func(token uint64) error) error {
	token, err := ls.Token()
	if err != nil {
		return err
	}
	return effect(token)
}

// RemainingMS returns the time until the lease expires, 0 if it has expired.
func (ls *Lease) RemainingMS() int64 {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	return max(0, ls.untilMS-ls.ck.Now())
}
