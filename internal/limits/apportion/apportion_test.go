package apportion_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/fulmarloft/fulmarloft/internal/limits/apportion"
	"github.com/fulmarloft/fulmarloft/internal/testbed/property"
)

func TestAllocations(t *testing.T) {
	for _, tc := range []struct {
		name      string
		weights   []float64
		units     int
		remainder []int
		balanced  []int
		equal     []int
	}{
		{"even", []float64{1, 1, 1}, 8, []int{3, 3, 2}, []int{3, 3, 2}, []int{1, 1, 1}},
		{"quarter", []float64{1, 3}, 8, []int{2, 6}, []int{2, 6}, []int{1, 3}},
		{"all zero", []float64{0, 0}, 4, []int{2, 2}, []int{2, 2}, []int{1, 1}},
		{"one tiny", []float64{100, 1}, 8, []int{8, 0}, []int{7, 1}, []int{7, 1}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			qt.Check(t, apportion.LargestRemainder(tc.weights, tc.units), qt.DeepEquals, tc.remainder)
			qt.Check(t, apportion.Balanced(tc.weights, tc.units), qt.DeepEquals, tc.balanced)
			qt.Check(t, apportion.EqualSplit(tc.weights, tc.units), qt.DeepEquals, tc.equal)
		})
	}
}

// TestUnitSums checks that all units are assigned, and that EqualSplit assigns no more than that.
func TestUnitSums(t *testing.T) {
	property.Check(t, func(rt *rapid.T) {
		weights := rapid.SliceOfN(rapid.Float64Range(0.01, 100), 1, 6).Draw(rt, "weights")
		units := rapid.IntRange(len(weights), 64).Draw(rt, "units")
		if got := total(apportion.LargestRemainder(weights, units)); got != units {
			rt.Fatalf("largest remainder assigned %d of %d units", got, units)
		}
		if got := total(apportion.Balanced(weights, units)); got != units {
			rt.Fatalf("balanced assigned %d of %d units", got, units)
		}
		if got := total(apportion.EqualSplit(weights, units)); got > units {
			rt.Fatalf("equal split assigned %d of at most %d units", got, units)
		}
	})
}

func total(alloc []int) int {
	sum := 0
	for _, units := range alloc {
		sum += units
	}
	return sum
}
