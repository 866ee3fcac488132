package callmetrics

import (
	"context"
	"math"
	"sync/atomic"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/observability/metric"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/store/rowstore"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Calls records the number and duration of calls in a metric registry.
type Calls struct {
	ck *clock.Clock
	rg *metric.Registry
	// storeFailedMS is when a call to the store failed last.
	storeFailedMS atomic.Int64
}

// New returns call metrics that use the given clock and registry.
func New(ck *clock.Clock, rg *metric.Registry) *Calls { return &Calls{ck: ck, rg: rg} }

// Store wraps a store so that its calls are counted by kind and result code, and their durations recorded by kind.
func (ca *Calls) Store(inner *rowstore.Store) *rowstore.Store {
	return &rowstore.Store{
		Read: func(ctx context.Context, table, partition, from, to string) (rowstore.Page, error) {
			startMS := ca.ck.Now()
			pg, err := inner.Read(ctx, table, partition, from, to)
			ca.recordStore("read", err, startMS)
			return pg, err
		},
		Partitions: func(ctx context.Context, table string) ([]string, error) {
			startMS := ca.ck.Now()
			list, err := inner.Partitions(ctx, table)
			ca.recordStore("parts", err, startMS)
			return list, err
		},
		Commit: func(ctx context.Context, tx *rowstore.Tx) (int64, []rowstore.Row, error) {
			startMS := ca.ck.Now()
			version, current, err := inner.Commit(ctx, tx)
			ca.recordStore("commit", err, startMS)
			return version, current, err
		},
		Feed: func(ctx context.Context, table string, after, waitMS int64) (rowstore.Page, error) {
			startMS := ca.ck.Now()
			pg, err := inner.Feed(ctx, table, after, waitMS)
			ca.recordStore("feed", err, startMS)
			return pg, err
		},
	}
}

// Order wraps the function that sends an order, so that calls are counted by verb and verdict, and their durations recorded by verb.
func (ca *Calls) Order(inner func(context.Context, *workpb.Order) workpb.Verdict) func(context.Context, *workpb.Order) workpb.Verdict {
	return func(ctx context.Context, od *workpb.Order) workpb.Verdict {
		startMS := ca.ck.Now()
		vd := inner(ctx, od)
		ca.record("order", od.GetVerb().String(), vd.String(), startMS)
		return vd
	}
}

func (ca *Calls) recordStore(kind string, err error, startMS int64) {
	ca.record("store", kind, code.Of(err).String(), startMS)
	switch code.Of(err) {
	case code.TableUnavailable, code.TableInDoubt:
		ca.storeFailedMS.Store(ca.ck.Now())
	default:
	}
}

// SinceStoreFailureMS returns the time since a call to the store failed last, a very long one if none has.
func (ca *Calls) SinceStoreFailureMS() int64 {
	failedMS := ca.storeFailedMS.Load()
	if failedMS == 0 {
		return math.MaxInt64
	}
	return ca.ck.Now() - failedMS
}

func (ca *Calls) record(peer, kind, result string, startMS int64) {
	ca.rg.Count(1, peer, kind, result)
	ca.rg.Observe(ca.ck.Now()-startMS, peer, kind, "ms")
}
