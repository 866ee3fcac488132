package seenversion

import (
	"context"
	"sync/atomic"

	"github.com/fulmarloft/fulmarloft/internal/store/rowstore"
)

// Tracker holds the newest version of the store that an answer has shown; it is safe for concurrent use.
type Tracker struct {
	newest atomic.Int64
}

// New returns a tracker that has seen no version.
func New() *Tracker { return &Tracker{} }

// Newest returns the newest version that an answer received so far has shown: a row of this version or an older one was written before now.
func (tr *Tracker) Newest() int64 { return tr.newest.Load() }

// Store wraps a store so that the versions in its answers are tracked.
func (tr *Tracker) Store(inner *rowstore.Store) *rowstore.Store {
	return &rowstore.Store{
		Limits: inner.Limits,
		Read: func(ctx context.Context, table, partition, from, to string) (rowstore.Page, error) {
			pg, err := inner.Read(ctx, table, partition, from, to)
			tr.record(pg.Version())
			return pg, err
		},
		Partitions: inner.Partitions,
		Commit: func(ctx context.Context, tx *rowstore.Tx) (int64, []rowstore.Row, error) {
			version, current, err := inner.Commit(ctx, tx)
			tr.record(version)
			for _, rw := range current {
				tr.record(rw.Version())
			}
			return version, current, err
		},
		Feed: func(ctx context.Context, table string, after, waitMS int64) (rowstore.Page, error) {
			pg, err := inner.Feed(ctx, table, after, waitMS)
			tr.record(pg.Version())
			return pg, err
		},
	}
}

func (tr *Tracker) record(version int64) {
	for {
		old := tr.newest.Load()
		if version <= old || tr.newest.CompareAndSwap(old, version) {
			return
		}
	}
}
