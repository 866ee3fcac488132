package leaseset_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/membership/leaseset"
	"github.com/fulmarloft/fulmarloft/internal/testbed/memtable"
)

func TestOneHolderAtATimeAndTakeoverAfterRelease(t *testing.T) {
	ctx := context.Background()
	ck := clock.NewFake(1000)
	tb := memtable.New()
	one := leaseset.New(ck, tb.Client("one"), "one", 6000)
	two := leaseset.New(ck, tb.Client("two"), "two", 6000)
	both := func() (bool, bool) {
		qt.Assert(t, one.Renew(ctx), qt.IsNil)
		qt.Assert(t, two.Renew(ctx), qt.IsNil)
		return one.Held("fleet"), two.Held("fleet")
	}
	for range 10 {
		a, b := both()
		qt.Assert(t, a && b, qt.IsFalse)
		ck.Advance(1000)
	}
	a, b := both()
	qt.Assert(t, a || b, qt.IsTrue)
	one.Release(ctx)
	two.Release(ctx)
	qt.Assert(t, two.Renew(ctx), qt.IsNil)
	qt.Assert(t, two.Held("fleet"), qt.IsTrue)
	qt.Assert(t, one.Held("fleet"), qt.IsFalse)
}
