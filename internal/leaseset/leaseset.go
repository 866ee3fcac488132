package leaseset

import (
	"context"
	"sync"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/leaserow"
	"github.com/fulmarloft/fulmarloft/internal/table"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Set is the leases that a process has asked for by name; it is safe for concurrent use.
type Set struct {
	mu          sync.Mutex
	ck          *clock.Clock
	tc          *table.Client
	holder      string
	lengthMS    int64
	rows        map[string]*leaserow.Row
	requestedMS map[string]int64
}

// wantedLengths is for how many lease lengths a lease is kept after it was last asked for.
const idleLengths = 6

// New returns an empty set of the process's incarnation whose leases have the given length.
func New(ck *clock.Clock, tc *table.Client, holder string, lengthMS int64) *Set {
	return &Set{
		ck: ck, tc: tc, holder: holder, lengthMS: lengthMS,
		rows: map[string]*leaserow.Row{}, requestedMS: map[string]int64{},
	}
}

// Held reports whether the process holds the lease at this moment, and makes Renew try to acquire and keep it.
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

// Renew acquires or renews each lease that was asked for lately; that another process holds one is no error.
func (se *Set) Renew(ctx context.Context) error {
	var last error
	for _, rw := range se.active() {
		if err := rw.AcquireOrRenew(ctx); err != nil && code.Of(err) != code.LeaseHeld {
			last = err
		}
	}
	return last
}

// Release gives all leases up, so that others need not outwait them.
func (se *Set) Release(ctx context.Context) {
	for _, rw := range se.active() {
		if rw.Lease().Check() == nil {
			_ = rw.Release(ctx)
		}
	}
}

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
