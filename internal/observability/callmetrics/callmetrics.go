package callmetrics

import (
	"context"

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
}

// New returns call metrics that use the given clock and registry.
func New(ck *clock.Clock, rg *metric.Registry) *Calls { return &Calls{ck: ck, rg: rg} }

// Store wraps a store so that its calls are counted by kind and result code, and their durations recorded by kind.
func (ca *Calls) Store(inner *rowstore.Store) *rowstore.Store {
	return &rowstore.Store{
		Limits: inner.Limits,
		Read: func(ctx context.Context, table, partition, from, to string) (rowstore.Page, error) {
			startMS := ca.ck.Now()
			pg, err := inner.Read(ctx, table, partition, from, to)
			ca.record("store", "read", code.Of(err).String(), startMS)
			return pg, err
		},
		Partitions: func(ctx context.Context, table string) ([]string, error) {
			startMS := ca.ck.Now()
			list, err := inner.Partitions(ctx, table)
			ca.record("store", "parts", code.Of(err).String(), startMS)
			return list, err
		},
		Commit: func(ctx context.Context, tx *rowstore.Tx) (int64, []rowstore.Row, error) {
			startMS := ca.ck.Now()
			version, current, err := inner.Commit(ctx, tx)
			ca.record("store", "commit", code.Of(err).String(), startMS)
			return version, current, err
		},
		Feed: func(ctx context.Context, table string, after, waitMS int64) (rowstore.Page, error) {
			startMS := ca.ck.Now()
			pg, err := inner.Feed(ctx, table, after, waitMS)
			ca.record("store", "feed", code.Of(err).String(), startMS)
			return pg, err
		},
	}
}

// Order wraps the function that sends an order, so that calls are counted by verb and verdict, and their durations recorded by verb.
func (ca *Calls) Order(inner func(context.Context, *workpb.Order) *workpb.Outcome) func(context.Context, *workpb.Order) *workpb.Outcome {
	return func(ctx context.Context, od *workpb.Order) *workpb.Outcome {
		startMS := ca.ck.Now()
		oc := inner(ctx, od)
		ca.record("order", od.GetVerb().String(), oc.GetVerdict().String(), startMS)
		return oc
	}
}

func (ca *Calls) record(peer, kind, result string, startMS int64) {
	ca.rg.Count(1, peer, kind, result)
	ca.rg.Observe(ca.ck.Now()-startMS, peer, kind, "ms")
}
