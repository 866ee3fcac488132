package configlease

import (
	"sync"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/membership/clockdrift"
)

// Lease bounds how long an entry may accept keyed work under its configuration version without contact to other entries or the table.
type Lease struct {
	ck *clock.Clock

	mu        sync.Mutex
	held      uint64
	committed uint64
	startMS   int64
	lengthMS  int64
	granted   bool
}

// New returns a lease that has never been granted.
func New(ck *clock.Clock) *Lease {
	return &Lease{ck: ck}
}

// ObserveCommitted records a committed version. While it is newer than the held one, the lease is not extended; the running lease expires before the newer version is reported accepted.
func (ls *Lease) ObserveCommitted(version uint64) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.committed = max(ls.committed, version)
}

// Adopt records that the entry holds a newer version; a running lease continues, limited to the lease length of the new version.
func (ls *Lease) Adopt(version uint64, lengthMS int64) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if version <= ls.held {
		return
	}
	ls.held = version
	ls.committed = max(ls.committed, version)
	ls.lengthMS = min(ls.lengthMS, lengthMS)
}

// Grant extends the lease if the version confirmed is still the held one and no newer one is known; startMS is the time before the first request.
func (ls *Lease) Grant(version uint64, startMS, lengthMS int64) bool {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if version != ls.held || ls.committed > version {
		return false
	}
	if startMS+clockdrift.Shorten(lengthMS) < ls.startMS+clockdrift.Shorten(ls.lengthMS) {
		return true
	}
	ls.startMS = startMS
	ls.lengthMS = lengthMS
	ls.granted = true
	return true
}

// Allows reports whether keyed work may be accepted under the version now, which is never the case for a version older than the held one; call it right before each effect.
func (ls *Lease) Allows(version uint64) bool {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	return ls.granted && version >= ls.held && ls.remainingMS() > 0
}

// Held returns the version under which the lease runs.
func (ls *Lease) Held() uint64 {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	return ls.held
}

// RemainingMS returns the time until the lease expires, 0 if it has expired.
func (ls *Lease) RemainingMS() int64 {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	return max(0, ls.remainingMS())
}

// EverGranted reports whether the lease was ever granted.
func (ls *Lease) EverGranted() bool {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	return ls.granted
}

func (ls *Lease) remainingMS() int64 {
	if !ls.granted {
		return 0
	}
	return ls.startMS + clockdrift.Shorten(ls.lengthMS) - ls.ck.Now()
}
