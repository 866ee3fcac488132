package ownerload_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/scheduling/ownerload"
)

const intervalMS = 30

func TestShortProcessorIsNoticedWithinASecond(t *testing.T) {
	for _, tc := range []struct {
		name string
		// lateMS returns how late the tick of a number is handled.
		lateMS func(number int) int64
		want   bool
	}{
		{"in time", func(int) int64 { return 0 }, false},
		{"a little late", func(int) int64 { return 2 }, false},
		{"late", func(int) int64 { return 5 }, true},
		{"every fourth one very late", func(number int) int64 { return int64(number%4/3) * 25 }, true},
		{"one long pause", func(number int) int64 { return int64(number/10%20/19) * 4000 }, false},
		{"far too late", func(int) int64 { return 90 }, true},
	} {
		ld := ownerload.New()
		nowMS := int64(1000)
		for number := 0; nowMS < 2000; number++ {
			ld.RecordTick(nowMS, intervalMS)
			nowMS += intervalMS + tc.lateMS(number)
		}
		qt.Check(t, ld.Short(), qt.Equals, tc.want, qt.Commentf("%s: %d ms", tc.name, ld.MeanLateMS()))
	}
}

func TestPauseOfTheMachineIsNoShortProcessor(t *testing.T) {
	ld := ownerload.New()
	for at := range int64(100) {
		nowMS := 1000 + at*intervalMS
		if at >= 50 {
			nowMS += 5000
		}
		ld.RecordTick(nowMS, intervalMS)
	}
	qt.Assert(t, ld.Short(), qt.IsFalse)
}
