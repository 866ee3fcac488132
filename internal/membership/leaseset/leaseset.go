package leaseset

import (
	"context"
	"sync"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/membership/leaserow"
	"github.com/fulmarloft/fulmarloft/internal/store/table"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Set maintains leases that a process requests by name; it is safe for concurrent use.
type Set struct {
	mu          sync.Mutex
	ck          *clock.Clock
	tc          *table.Client
	holder      string
	lengthMS    int64
	rows        map[string]*leaserow.Row
	requestedMS map[string]int64
}

// idleLengths is for how many lease lengths a lease is maintained after its last request.
const idleLengths = 6

// New returns an empty set for the holder, an incarnation of a process, whose leases have the given length.
func New(ck *clock.Clock, tc *table.Client, holder string, lengthMS int64) *Set {
	return &Set{
		ck: ck, tc: tc, holder: holder, lengthMS: lengthMS,
		rows: map[string]*leaserow.Row{}, requestedMS: map[string]int64{},
	}
}

// Held reports whether the process holds the lease at this moment, and requests it, so that Renew acquires and renews it.
func (se *Set) Held(name string) bool {
	se.mu.Lock()
	defer se.mu.Unlock()
	rw := se.rows[name]
	if rw == nil {
		rw = leaserow.New(se.ck, se.tc, name, se.holder, se.lengthMS)
		se.rows[name] = rw
	}
	se.requestedMS[name] = se.ck.Now()
	return rw.Lease().Check() == nil
}

// Renew acquires or renews each recently requested lease; a lease held by another process is not an error.
func (se *Set) Renew(ctx context.Context) error {
	var last error
	for _, rw := range se.active() {
		if err := rw.AcquireOrRenew(ctx); err != nil && code.Of(err) != code.LeaseHeld {
			last = err
		}
	}
	return last
}

// Release gives up all held leases, so that others need not wait for them to expire.
func (se *Set) Release(ctx context.Context) {
	for _, rw := range se.active() {
		if rw.Lease().Check() == nil {
			_ = rw.Release(ctx)
		}
	}
}

// active returns the recently requested leases and removes the others from the set.
func (se *Set) active() []*leaserow.Row {
	se.mu.Lock()
	defer se.mu.Unlock()
	var rows []*leaserow.Row
	for name, rw := range se.rows {
		if se.ck.Now()-se.requestedMS[name] > idleLengths*se.lengthMS {
			delete(se.rows, name)
			delete(se.requestedMS, name)
			continue
		}
		rows = append(rows, rw)
	}
	return rows
}
