package callmetrics_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/observability/callmetrics"
	"github.com/fulmarloft/fulmarloft/internal/observability/metric"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/store/rowstore"
	"github.com/fulmarloft/fulmarloft/internal/testbed/rowstoretest"
)

func TestCallsAreCountedByResult(t *testing.T) {
	ck := clock.NewFake(0)
	rg := metric.New()
	ca := callmetrics.New(ck, rg)
	st := rowstoretest.New(ck)
	rs := ca.Store(st.Rowstore())
	ctx := context.Background()
	_, _, err := rs.Commit(ctx, rowstore.NewTx("p").Require("t", "k", 0).Put("t", "k", nil))
	qt.Assert(t, err, qt.IsNil)
	_, _, err = rs.Commit(ctx, rowstore.NewTx("p").Require("t", "k", 0).Put("t", "k", nil))
	qt.Assert(t, err, qt.IsNotNil)
	_, _, err = rs.Get(ctx, "t", "p", "k")
	qt.Assert(t, err, qt.IsNil)
	st.SetDown(true)
	_, err = rs.Partitions(ctx, "t")
	qt.Assert(t, err, qt.IsNotNil)
	order := ca.Order(func(context.Context, *workpb.Order) *workpb.Outcome {
		return &workpb.Outcome{Verdict: workpb.Verdict_FENCED}
	})
	order(ctx, &workpb.Order{Verb: workpb.Verb_STOP})
	for _, name := range []string{"store.commit.ok", "store.commit.conflict", "store.read.ok", "store.parts.table-unavailable", "order.STOP.FENCED"} {
		qt.Check(t, rg.Counter(name), qt.Equals, int64(1), qt.Commentf(name))
	}
}
