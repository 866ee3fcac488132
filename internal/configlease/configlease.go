package configlease

import (
	"sync"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/margin"
)

// Lease says until when an entry may take keyed work under the version that it holds without hearing anything.
type Lease struct {
	ck *clock.Clock

	mu        sync.Mutex
	held      uint64
	committed uint64
	startMS   int64
	lengthMS  int64
	granted   bool
}

// New returns a lease that was never granted.
func New(ck *clock.Clock) *Lease {
	return &Lease{ck: ck}
}

// Hear records a committed version; while it is newer than the one held the lease isn't extended, and what runs on ends before that version is reported accepted.
func (ls *Lease) ObserveCommitted(version uint64) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.committed = max(ls.committed, version)
}

// Adopt records that the entry holds a newer version; a running lease goes on, but not beyond the length that the new version gives.
func (ls *Lease) Adopt(version uint64, leaseMS int64) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if version <= ls.held {
		return
	}
	ls.held = version
	ls.committed = max(ls.committed, version)
	ls.lengthMS = min(ls.lengthMS, leaseMS)
}

// Grant extends the lease when the version asked about is still the one held; start is the time before the first question.
func (ls *Lease) Grant(version uint64, start, leaseMS int64) bool {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if version != ls.held || ls.committed > version {
		return false
	}
	if start+margin.Shorten(leaseMS) < ls.startMS+margin.Shorten(ls.lengthMS) {
		return true
	}
	ls.startMS = start
	ls.lengthMS = leaseMS
	ls.granted = true
	return true
}

// Allows reports whether keyed work may be taken under the version now, which is never so for one older than the one held; call it right before each effect.
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

// LeftMS returns how long the lease still lasts, 0 when it lapsed.
func (ls *Lease) RemainingMS() int64 {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	return max(0, ls.remainingMS())
}

// Proved reports whether the lease was ever granted.
func (ls *Lease) EverGranted() bool {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	return ls.granted
}

func (ls *Lease) remainingMS() int64 {
	if !ls.granted {
		return 0
	}
	return ls.startMS + margin.Shorten(ls.lengthMS) - ls.ck.Now()
}
