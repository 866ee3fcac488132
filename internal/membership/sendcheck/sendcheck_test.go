package sendcheck_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/membership/sendcheck"
)

// A check must hold for derived contexts as well, and none may hide another.
func TestAllowed(t *testing.T) {
	one, other := true, true
	ctx := sendcheck.With(sendcheck.With(context.Background(), func() bool { return one }), func() bool { return other })
	ctx, cancel := context.WithCancel(ctx)
	qt.Check(t, sendcheck.Allowed(context.Background()), qt.IsTrue)
	qt.Check(t, sendcheck.Allowed(ctx), qt.IsTrue)
	one = false
	qt.Check(t, sendcheck.Allowed(ctx), qt.IsFalse)
	one, other = true, false
	qt.Check(t, sendcheck.Allowed(ctx), qt.IsFalse)
	other = true
	cancel()
	qt.Check(t, sendcheck.Allowed(ctx), qt.IsFalse)
}

// A call that is carried through after its caller has left must still be checked, and end with its own context.
func TestDetachedContextKeepsItsChecks(t *testing.T) {
	allowed := true
	caller, leave := context.WithCancel(context.Background())
	ctx := sendcheck.With(caller, func() bool { return allowed })
	ctx = sendcheck.With(ctx, func() bool { return true })
	detached, cancel := context.WithCancel(context.WithoutCancel(ctx))
	leave()
	qt.Check(t, sendcheck.Allowed(ctx), qt.IsFalse)
	qt.Check(t, sendcheck.Allowed(detached), qt.IsTrue)
	allowed = false
	qt.Check(t, sendcheck.Allowed(detached), qt.IsFalse)
	allowed = true
	cancel()
	qt.Check(t, sendcheck.Allowed(detached), qt.IsFalse)
}
