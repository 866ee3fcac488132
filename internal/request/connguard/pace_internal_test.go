package connguard

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestPaceLetsABurstThroughAndThenWaits(t *testing.T) {
	pc := pace{bytesPerS: 1000}
	qt.Check(t, pc.take(10_000, 1000), qt.Equals, time.Duration(0))
	qt.Check(t, pc.take(10_000, 500), qt.Equals, 500*time.Millisecond)
	qt.Check(t, pc.take(10_400, 100), qt.Equals, 200*time.Millisecond)
	qt.Check(t, pc.take(20_000, 1000), qt.Equals, time.Duration(0))
	qt.Check(t, (&pace{}).take(0, 1<<40), qt.Equals, time.Duration(0))
}

// The smallest chunks cost more than their data, or reading them would take all processor time.
func TestOverheadOfSmallChunksIsCountedOnce(t *testing.T) {
	cn := &conn{gd: New(nil, Limits{FreeBytes: 100})}
	cn.receivedBytes = 700
	qt.Check(t, cn.newOverhead(), qt.Equals, int64(600))
	cn.deliveredBytes = 100
	qt.Check(t, cn.newOverhead(), qt.Equals, int64(0))
	cn.receivedBytes = 1300
	qt.Check(t, cn.newOverhead(), qt.Equals, int64(500))
	whole := &conn{gd: New(nil, Limits{FreeBytes: 100}), receivedBytes: 50_000, deliveredBytes: 49_950}
	qt.Check(t, whole.newOverhead(), qt.Equals, int64(0))
}

// Clients that keep coming back must not leave a wait behind that lasts after they have gone.
func TestPaceDoesNotLetOneReadWaitForAllThatCameBefore(t *testing.T) {
	pc := pace{bytesPerS: 1000}
	for range 100 {
		pc.take(10_000, 1000)
	}
	qt.Check(t, pc.take(10_000, 1000) <= maxWaitMS*time.Millisecond, qt.IsTrue)
	qt.Check(t, pc.take(10_000+maxWaitMS+burstMS, 1000), qt.Equals, time.Duration(0))
}
