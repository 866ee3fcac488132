package usage_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/size"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/usage"
)

// Declared sizes must be corrected towards the observed use, more cautiously after a single observation, and only for the team observed.
func TestF4CorrectsDeclaredSizes(t *testing.T) {
	declared := size.New(4000, 4000, 1)
	cases := []struct {
		name      string
		runs      int
		peak      size.Size
		low, high int64
	}{
		{"no observations", 0, size.Size{}, 4000, 4000},
		{"accurate sizes", 50, size.New(4000, 4000, 1), 4000, 4000},
		{"ten times too large", 50, size.New(400, 400, 1), 400, 600},
		{"ten times too small", 50, size.New(40000, 40000, 1), 36000, 40000},
		{"ten times too small, one observation", 1, size.New(40000, 40000, 1), 12000, 16000},
		{"ten times too large, one observation", 1, size.New(400, 400, 1), 2000, 3000},
		{"beyond the maximum correction", 50, size.New(400000, 400000, 1), 40000, 40000},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			es := usage.New(clock.NewFake(1000000))
			for range tc.runs {
				es.Observe("team", "normal", declared, tc.peak)
			}
			got := es.Correct("team", "normal", declared)
			for _, amount := range []int64{got.CoresMilli(), got.MemoryMB()} {
				qt.Check(t, tc.low <= amount && amount <= tc.high, qt.IsTrue, qt.Commentf("corrected to %d, expected %d to %d", amount, tc.low, tc.high))
			}
			qt.Check(t, got.Accelerators(), qt.Equals, int64(1))
			qt.Check(t, es.Correct("other", "normal", declared), qt.Equals, declared)
		})
	}
}

// Observations of two days ago must not keep the corrected size high.
func TestOldObservationsDecay(t *testing.T) {
	ck := clock.NewFake(1000000)
	es := usage.New(ck)
	declared := size.New(1000, 1000, 0)
	for range 100 {
		es.Observe("team", "normal", declared, size.New(8000, 8000, 0))
	}
	for range 48 {
		ck.Advance(60 * 60 * 1000)
		es.Observe("team", "normal", declared, size.New(1000, 1000, 0))
	}
	got := es.Correct("team", "normal", declared)
	qt.Assert(t, got.MemoryMB() < 2000, qt.IsTrue, qt.Commentf("corrected to %d MB, 1000 observed recently", got.MemoryMB()))
}
