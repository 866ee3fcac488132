package leaserow_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/membership/lease"
	"github.com/fulmarloft/fulmarloft/internal/membership/leaserow"
	"github.com/fulmarloft/fulmarloft/internal/testbed/memtable"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

const lengthMS = 3000

// S5: a holder that was paused for 10 s has no effect after it resumes, and the next holder did not take over before the lease had expired.
func TestPausedHolderHasNoEffect(t *testing.T) {
	ctx := context.Background()
	tb := memtable.New()
	ck := clock.NewFake(1_000_000)
	other := clock.NewFake(5) // Another machine: only its rate is comparable.
	old := leaserow.New(ck, tb.Client("old"), "wave", "old-1", lengthMS)
	next := leaserow.New(other, tb.Client("next"), "wave", "next-1", lengthMS)
	qt.Assert(t, old.AcquireOrRenew(ctx), qt.IsNil)
	oldToken, err := old.Lease().Token()
	qt.Assert(t, err, qt.IsNil)

	effects := 0
	effect := func(uint64) error { effects++; return nil }
	var tookOverAfterMS int64
	for pausedMS := int64(0); pausedMS < 10_000; pausedMS += 100 {
		if tookOverAfterMS == 0 && next.AcquireOrRenew(ctx) == nil {
			tookOverAfterMS = pausedMS
			// The lease had expired by the old holder's own clock when the next one took over.
			check := clock.NewFake(1_000_000 + pausedMS)
			ls := lease.New(check)
			ls.Grant(1_000_000, lengthMS, 1)
			qt.Assert(t, code.Of(ls.Check()), qt.Equals, code.LeaseLapsed)
		}
		ck.Advance(100)
		other.Advance(100)
	}
	qt.Assert(t, tookOverAfterMS >= lease.ExpiredAfterMS(lengthMS), qt.IsTrue, qt.Commentf("taken over after %d ms, the lease expires after %d ms", tookOverAfterMS, lease.ExpiredAfterMS(lengthMS)))
	qt.Assert(t, code.Of(old.Lease().Do(effect)), qt.Equals, code.LeaseLapsed)
	qt.Assert(t, effects, qt.Equals, 0)
	qt.Assert(t, code.Of(old.AcquireOrRenew(ctx)), qt.Equals, code.LeaseHeld)
	qt.Assert(t, next.AcquireOrRenew(ctx), qt.IsNil)
	newToken, err := next.Lease().Token()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, newToken > oldToken, qt.IsTrue, qt.Commentf("token %d after %d", newToken, oldToken))
}

// A holder that renews in time must never lose the lease to a waiting successor; a released lease can be taken at once.
func TestRenewalRestartsExpiryWait(t *testing.T) {
	ctx := context.Background()
	tb := memtable.New()
	ck := clock.NewFake(1000)
	old := leaserow.New(ck, tb.Client("old"), "wave", "old-1", lengthMS)
	next := leaserow.New(ck, tb.Client("next"), "wave", "next-1", lengthMS)
	for i := 0; i < 20; i++ {
		qt.Assert(t, old.AcquireOrRenew(ctx), qt.IsNil)
		qt.Assert(t, old.Lease().Check(), qt.IsNil)
		qt.Assert(t, code.Of(next.AcquireOrRenew(ctx)), qt.Equals, code.LeaseHeld)
		ck.Advance(900)
	}
	qt.Assert(t, old.Release(ctx), qt.IsNil)
	qt.Assert(t, code.Of(old.Lease().Check()), qt.Equals, code.LeaseLapsed)
	qt.Assert(t, next.AcquireOrRenew(ctx), qt.IsNil)
}

// A lost answer to the acquiring write grants no lease until a later write is confirmed.
func TestLostAnswerGrantsNothing(t *testing.T) {
	ctx := context.Background()
	tb := memtable.New()
	ck := clock.NewFake(1000)
	rw := leaserow.New(ck, tb.Client("a"), "wave", "a-1", lengthMS)
	tb.SetFaults(nil, func(string, bool) error { return context.DeadlineExceeded })
	qt.Assert(t, rw.AcquireOrRenew(ctx), qt.IsNotNil)
	qt.Assert(t, code.Of(rw.Lease().Check()), qt.Equals, code.LeaseLapsed)
	tb.SetFaults(nil, nil)
	ck.Advance(10_000)
	qt.Assert(t, rw.AcquireOrRenew(ctx), qt.IsNil)
	qt.Assert(t, rw.Lease().RemainingMS(), qt.Equals, lease.UsableMS(lengthMS))
}

// A lease must count from before its commit was sent: one whose commit took as long as the lease must be expired on arrival.
func TestLeaseCountsFromBeforeTheCommit(t *testing.T) {
	ctx := context.Background()
	tb := memtable.New()
	ck := clock.NewFake(1000)
	tb.SetFaults(func(_ string, write bool) error {
		if write {
			ck.Advance(lengthMS)
		}
		return nil
	}, nil)
	rw := leaserow.New(ck, tb.Client("a"), "wave", "a-1", lengthMS)
	qt.Assert(t, rw.AcquireOrRenew(ctx), qt.IsNil)
	qt.Assert(t, code.Of(rw.Lease().Check()), qt.Equals, code.LeaseLapsed)
}
