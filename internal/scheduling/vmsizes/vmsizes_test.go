package vmsizes_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/size"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/vmsizes"
)

// A job is impossible only if no VM listed within the retention time could hold it; with no VM known, none is.
func TestF5Impossible(t *testing.T) {
	ck := clock.NewFake(1000)
	st := vmsizes.New(ck)
	qt.Assert(t, st.Impossible(size.New(1, 1, 99)), qt.IsFalse)
	st.Put(size.New(32000, 65536, 0))
	st.Put(size.New(16000, 32768, 8))
	cases := []struct {
		need size.Size
		want bool
	}{
		{size.New(32000, 65536, 0), false},
		{size.New(16000, 32768, 8), false},
		{size.New(32000, 65536, 1), true},
		{size.New(32001, 1, 0), true},
		{size.New(1, 1, 9), true},
	}
	for _, tc := range cases {
		qt.Check(t, st.Impossible(tc.need), qt.Equals, tc.want, qt.Commentf("need %v", tc.need))
	}
	ck.Advance(vmsizes.RetentionMS)
	st.Put(size.New(32000, 65536, 0))
	qt.Check(t, st.Impossible(size.New(1, 1, 8)), qt.IsFalse)
	ck.Advance(1)
	qt.Check(t, st.Impossible(size.New(1, 1, 8)), qt.IsTrue)
}

// A corrected size must be capped at the largest VM that fits the declared one, so that the correction never makes a job impossible.
func TestCapKeepsWorkPossible(t *testing.T) {
	st := vmsizes.New(clock.NewFake(1000))
	st.Put(size.New(32000, 65536, 0))
	declared := size.New(8000, 8192, 0)
	got := st.Cap(size.New(80000, 4096, 0), declared)
	qt.Assert(t, st.Impossible(got), qt.IsFalse)
	qt.Assert(t, got, qt.Equals, size.New(32000, 4096, 0))
	smaller := size.New(800, 900, 0)
	qt.Assert(t, st.Cap(smaller, declared), qt.Equals, smaller)
}

// Of several VMs that the declared size fits, the one that reduces the need least must be chosen whatever the order in which they are listed, and none that hasn't been listed for the retention time.
func TestCapIgnoresOrderAndOldSizes(t *testing.T) {
	declared := size.New(8000, 8192, 0)
	need := size.New(64000, 65536, 0)
	listed := []size.Size{size.New(32000, 16384, 0), size.New(16000, 65536, 0), size.New(24000, 24576, 0), size.New(8000, 131072, 0)}
	for n := range 100 {
		ck := clock.NewFake(1000)
		st := vmsizes.New(ck)
		st.Put(size.New(63000, 63000, 0))
		ck.Advance(vmsizes.RetentionMS + 1)
		for i := range listed {
			st.Put(listed[(i+n)%len(listed)])
		}
		qt.Assert(t, st.Cap(need, declared), qt.Equals, size.New(24000, 24576, 0))
	}
}

// Sizes that haven't been listed for the retention time must be forgotten, or a fleet whose sizes change would keep all of them.
func TestOldSizesAreForgotten(t *testing.T) {
	ck := clock.NewFake(1000)
	st := vmsizes.New(ck)
	for n := range int64(10) {
		st.Put(size.New(n, 1, 0))
		ck.Advance(vmsizes.RetentionMS + 1)
	}
	qt.Check(t, st.Len(), qt.Equals, 1)
}
