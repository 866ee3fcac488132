package planpace_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/scheduling/planpace"
)

// Passes must take no more than a sixth of the time, whatever they cost, as far as starts may wait for it, and must follow each other at once again when they have become short.
func TestPassesTakeABoundedPartOfTheTime(t *testing.T) {
	for _, tc := range []struct {
		name         string
		tookMS, want int64
	}{
		{"short", 0, 15},
		{"as long as the interval allows", 2, 15},
		{"on a slow processor", 10, 60},
		{"very long", 60, 150},
	} {
		pc := planpace.New()
		qt.Check(t, pc.IntervalMS(), qt.Equals, int64(15))
		for range 100 {
			pc.Record(tc.tookMS)
		}
		got := pc.IntervalMS()
		qt.Check(t, got >= tc.want-1 && got <= tc.want, qt.IsTrue, qt.Commentf("%s: %d ms", tc.name, got))
		for range 60 {
			pc.Record(0)
		}
		qt.Check(t, pc.IntervalMS(), qt.Equals, int64(15), qt.Commentf(tc.name))
	}
}
