package size_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/scheduling/size"
)

func TestCopiesInAgreesWithFits(t *testing.T) {
	const most = 5
	for _, need := range []size.Size{size.New(1000, 200, 0), size.New(0, 300, 1), size.New(0, 0, 0), size.New(9000, 1, 2)} {
		for _, free := range []size.Size{size.New(8000, 900, 2), size.New(-1, 900, 2), size.New(8000, 0, 0), size.New(0, 0, 0), size.New(9000, 900, -1)} {
			want := 0
			for sum := need; want < most && sum.Fits(free); sum = sum.Plus(need) {
				want++
			}
			qt.Check(t, need.CopiesIn(free, most), qt.Equals, want, qt.Commentf("%v in %v", need, free))
		}
	}
}

func TestWithinLimit(t *testing.T) {
	for _, tc := range []struct {
		name   string
		amount size.Size
		limit  size.Size
		want   bool
	}{
		{"no limit", size.New(9, 9, 9), size.New(0, 0, 0), true},
		{"at the limit", size.New(4, 5, 6), size.New(4, 5, 6), true},
		{"too much memory", size.New(4, 6, 6), size.New(4, 5, 6), false},
		{"only accelerators are limited", size.New(4, 6, 7), size.New(0, 0, 6), false},
	} {
		qt.Check(t, tc.amount.WithinLimit(tc.limit), qt.Equals, tc.want, qt.Commentf(tc.name))
	}
}

func TestBelowHalf(t *testing.T) {
	for _, tc := range []struct {
		name   string
		amount size.Size
		limit  size.Size
		want   bool
	}{
		{"no limit", size.New(9, 9, 9), size.New(0, 0, 0), true},
		{"half", size.New(2, 0, 0), size.New(4, 0, 0), false},
		{"less than half", size.New(1, 1, 1), size.New(4, 3, 3), true},
		{"half of the memory", size.New(1, 2, 1), size.New(4, 3, 3), false},
	} {
		qt.Check(t, tc.amount.BelowHalf(tc.limit), qt.Equals, tc.want, qt.Commentf(tc.name))
	}
}
