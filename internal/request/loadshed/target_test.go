package loadshed_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against refusals beside free VMs: estimates of work that are ten times too high must not refuse anybody while cores are free.
func TestEstimatesTenTimesTooHighRefuseNobodyBesideFreeCores(t *testing.T) {
	for _, load := range []func(string, int64) float64{calmLoad, burstLoad} {
		md := runLoad(1, modelEntries, true, load, func(md *model) { md.scale = 10 })
		qt.Check(t, md.whileFree, qt.Equals, 0)
	}
}

// Guards against a Retry-After that doesn't hold: after a peak, each caller that comes back when it was told must be accepted.
func TestEveryReturnAfterAPeakIsAccepted(t *testing.T) {
	oc := runLoad(1, modelEntries, true, peakLoad, unchanged).outcome(all)
	qt.Check(t, oc.attempts[1], qt.Equals, oc.jobs-oc.attempts[0])
}
