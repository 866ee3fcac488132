package pollpace_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/scheduling/pollpace"
)

// Polls must keep their interval where the link carries them, become rarer where they would fill it, and never so rare that run leases expire.
func TestIntervalFollowsTheLink(t *testing.T) {
	for _, tc := range []struct {
		name          string
		linkBytesPerS int64
		bytes         int64
		vms           int
		want          int64
	}{
		{"unknown link", 0, 2500, 350, 120},
		{"nothing recorded", 250_000, 0, 350, 120},
		{"200 Mbit/s, direct", 25_000_000, 2500, 350, 120},
		{"10 Mbit/s, relayed", 1_250_000, 900, 350, 120},
		{"2 Mbit/s, relayed, part of the fleet", 250_000, 900, 100, 300},
		{"2 Mbit/s, relayed", 250_000, 900, 350, 1200},
		{"2 Mbit/s, few VMs", 250_000, 2500, 10, 120},
	} {
		pc := pollpace.New(tc.linkBytesPerS)
		for range 200 {
			if tc.bytes > 0 {
				pc.Record(tc.bytes)
			}
		}
		qt.Check(t, pc.IntervalMS(tc.vms), qt.Equals, tc.want, qt.Commentf(tc.name))
	}
}

// A single long answer must not change the interval much.
func TestOneLongAnswerDoesNotCount(t *testing.T) {
	pc := pollpace.New(250_000)
	for range 100 {
		pc.Record(900)
	}
	before := pc.IntervalMS(100)
	pc.Record(3000)
	qt.Check(t, pc.IntervalMS(100) < before+100, qt.IsTrue)
}
