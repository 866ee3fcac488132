package numberset_test

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/fulmarloft/fulmarloft/internal/scheduling/numberset"
)

// A set must hold just the numbers that were added, also after it was stored and read.
func TestSetHoldsWhatWasAdded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		st, want := &numberset.Set{}, map[int]bool{}
		for _, number := range rapid.SliceOf(rapid.IntRange(0, 60)).Draw(rt, "numbers") {
			st.Add(number)
			want[number] = true
		}
		again, err := numberset.Decode(st.Encode(), 61)
		if err != nil {
			rt.Fatalf("%v", err)
		}
		end := 0
		for number := range 62 {
			if st.Contains(number) != want[number] || again.Contains(number) != want[number] {
				rt.Fatalf("%d: got %v and %v, want %v", number, st.Contains(number), again.Contains(number), want[number])
			}
			if next := st.NextMissing(number); next < number || want[next] || (next > number && !want[next-1]) {
				rt.Fatalf("next missing number after %d: %d", number, next)
			}
			if want[number] {
				end = number + 1
			}
		}
		if st.Len() != len(want) || st.End() != end {
			rt.Fatalf("got %d numbers below %d, want %d below %d", st.Len(), st.End(), len(want), end)
		}
	})
}

// Guards against a stored size that grows with the numbers: a million of them with one missing are two ranges.
func TestSizeFollowsTheRanges(t *testing.T) {
	st := &numberset.Set{}
	for number := range 1_000_000 {
		if number != 7 {
			st.Add(number)
		}
	}
	qt.Check(t, st.Ranges(), qt.Equals, 2)
	qt.Check(t, st.Encode(), qt.DeepEquals, []int32{0, 7, 1, 999_992})
}

// Pairs that no set has must be refused.
func TestDecodeRefusesOddPairs(t *testing.T) {
	for _, tc := range []struct {
		name  string
		pairs []int32
	}{
		{"half a pair", []int32{1}},
		{"negative gap", []int32{-1, 3}},
		{"empty range", []int32{1, 0}},
		{"negative length", []int32{1, -4}},
		{"ranges that touch", []int32{0, 1, 0, 1}},
		{"beyond the limit", []int32{90, 11}},
		{"far beyond the limit", []int32{math.MaxInt32, math.MaxInt32, math.MaxInt32, math.MaxInt32}},
	} {
		_, err := numberset.Decode(tc.pairs, 100)
		qt.Check(t, err, qt.IsNotNil, qt.Commentf(tc.name))
	}
}
