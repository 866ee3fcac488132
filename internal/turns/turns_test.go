package turns_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/turns"
)

const tickMS = 200

// play observes four services that peak one after the other, each for turnMS, from time 0 up to endMS.
func play(tn *turns.Turns, turnMS, endMS int64) {
	for nowMS := int64(0); nowMS < endMS; nowMS += tickMS {
		rates := map[string]int64{"a": 10_000, "b": 10_000, "c": 10_000, "d": 10_000}
		rates[[]string{"a", "b", "c", "d"}[nowMS/turnMS%4]] = 400_000
		tn.Observe(nowMS, tickMS, rates)
	}
}

func TestNextTurn(t *testing.T) {
	for _, tc := range []struct {
		name    string
		nowMS   int64
		service string
		ok      bool
	}{
		{"two services may come", 7_000, "", false},
		{"the last one left", 11_000, "d", true},
		{"the first one again", 14_500, "a", true},
		{"too early in the turn", 17_500, "", false},
		{"the second one again", 19_000, "b", true},
		{"and in the third round", 35_000, "b", true},
	} {
		tn := turns.New()
		play(tn, 4000, tc.nowMS)
		service, rate, ok := tn.Next(tc.nowMS)
		qt.Check(t, ok, qt.Equals, tc.ok, qt.Commentf(tc.name))
		if tc.ok {
			qt.Check(t, service, qt.Equals, tc.service, qt.Commentf(tc.name))
			qt.Check(t, rate > 250_000, qt.IsTrue, qt.Commentf("%s: %d", tc.name, rate))
		}
	}
}

func TestSteadyDemandHasNoTurns(t *testing.T) {
	tn := turns.New()
	for nowMS := int64(0); nowMS < 60_000; nowMS += tickMS {
		tn.Observe(nowMS, tickMS, map[string]int64{"a": 100_000, "b": 100_000, "c": 90_000})
		_, _, ok := tn.Next(nowMS)
		qt.Assert(t, ok, qt.IsFalse)
	}
}

func TestIrregularTurnsAreNotForecast(t *testing.T) {
	tn := turns.New()
	nowMS := int64(0)
	for at, forMS := range []int64{2000, 7000, 3000, 9000} {
		for range forMS / tickMS {
			rates := map[string]int64{"a": 10_000, "b": 10_000, "c": 10_000}
			rates[[]string{"a", "b", "c"}[at%3]] = 300_000
			tn.Observe(nowMS, tickMS, rates)
			nowMS += tickMS
		}
		_, _, ok := tn.Next(nowMS)
		qt.Assert(t, ok, qt.IsFalse)
	}
}
