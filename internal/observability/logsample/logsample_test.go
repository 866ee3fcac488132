package logsample_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/observability/logsample"
)

func TestAllow(t *testing.T) {
	ck := clock.NewFake(0)
	sa := logsample.New(ck, 2)
	for i, want := range []bool{true, true, false, false} {
		_, ok := sa.Allow("a")
		qt.Check(t, ok, qt.Equals, want, qt.Commentf("event %d", i))
	}
	_, ok := sa.Allow("b")
	qt.Assert(t, ok, qt.IsTrue)
	ck.Advance(1000)
	suppressed, ok := sa.Allow("a")
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, suppressed, qt.Equals, int64(2))
}
