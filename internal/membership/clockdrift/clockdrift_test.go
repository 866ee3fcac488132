package clockdrift_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/membership/clockdrift"
	"github.com/fulmarloft/fulmarloft/internal/membership/lease"
)

// The holder's clock may be 1% slow and the other's 1% fast, and each reading is cut to a whole millisecond, so that a measured time may be up to 1 ms off. A holder must still end before the others stop waiting.
func TestHolderEndsBeforeOthersStopWaiting(t *testing.T) {
	for ms := int64(1); ms <= 20_000; ms++ {
		used, waited := clockdrift.Shorten(ms), clockdrift.Lengthen(ms)
		if used > 0 {
			qt.Assert(t, (used+1)*1000 <= ms*990, qt.IsTrue, qt.Commentf("the holder uses %d ms of %d", used, ms))
		}
		qt.Assert(t, (waited-1)*1000 >= ms*1010, qt.IsTrue, qt.Commentf("others wait %d ms for %d", waited, ms))
	}
}

// Leases and promises must use the same bound.
func TestLeasesUseTheSameBound(t *testing.T) {
	for ms := range int64(20_000) {
		qt.Assert(t, lease.UsableMS(ms), qt.Equals, clockdrift.Shorten(ms), qt.Commentf("%d ms", ms))
		qt.Assert(t, lease.ExpiredAfterMS(ms), qt.Equals, clockdrift.Lengthen(ms), qt.Commentf("%d ms", ms))
	}
}
