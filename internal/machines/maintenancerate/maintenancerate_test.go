package maintenancerate_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/machines/maintenancerate"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

const minuteMS = 60_000

func TestEveryVMOnceInSixWeeks(t *testing.T) {
	for _, tc := range []struct {
		name     string
		vms      int
		pools    int
		perVMMS  int64
		usable   float64
		fleet    int
		parallel int
		fits     bool
	}{
		{"today", 58, 6, 2 * minuteMS, 0.5, 1, 1, true},
		{"in two years", 22_000, 306, 15 * minuteMS, 0.5, 11, 1, true},
		{"in two years, drains of 3 hours", 22_000, 306, 180 * minuteMS, 0.5, 131, 1, true},
		{"in two years, drains of a day", 22_000, 306, 24 * 60 * minuteMS, 0.5, 1048, 1, false},
		{"the same with 7 in parallel", 22_000, 306, 24 * 60 * minuteMS, 0.5, 1048, 7, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			rt, err := maintenancerate.New(tc.vms, tc.pools, tc.perVMMS, maintenancerate.SixWeeksMS, tc.usable)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, rt.Parallel(), qt.Equals, tc.fleet)
			qt.Check(t, rt.Fits(tc.parallel), qt.Equals, tc.fits, qt.Commentf("needs %d ms", rt.NeededMS(tc.parallel)))
			qt.Check(t, rt.Fits(rt.ParallelPerPool()), qt.IsTrue)
			qt.Check(t, rt.WritesPerSecond() < 0.1, qt.IsTrue, qt.Commentf("%.3f writes per second", rt.WritesPerSecond()))
		})
	}
	_, err := maintenancerate.New(1, 0, 1, 1, 1)
	qt.Assert(t, code.Of(err), qt.Equals, code.SettingsInvalid)
}
