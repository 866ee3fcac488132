package breaker_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/request/breaker"
)

const (
	failuresToOpen = 5
	maxPauseMS     = 1000
)

// open opens the breaker with calls that fail.
func open(t *testing.T, br *breaker.Breaker) {
	for range failuresToOpen {
		generation, ok := br.Allow()
		qt.Assert(t, ok, qt.IsTrue)
		br.Done(generation, false)
	}
	qt.Assert(t, br.Open(), qt.IsTrue)
}

// While a trial is under way, calls from before the opening may end; whatever their result, they must neither end the trial nor allow a second one.
func TestCallsFromBeforeTheOpeningDoNotEndATrial(t *testing.T) {
	for _, succeeds := range []bool{true, false} {
		ck := clock.NewFake(1000)
		br := breaker.New(ck)
		earlier, _ := br.Allow()
		open(t, br)
		ck.Advance(maxPauseMS)
		trial, ok := br.Allow()
		qt.Assert(t, ok, qt.IsTrue)
		br.Done(earlier, succeeds)
		ck.Advance(2 * maxPauseMS)
		_, ok = br.Allow()
		qt.Check(t, ok, qt.IsFalse, qt.Commentf("a second call was allowed during a trial after an earlier call ended with success %v", succeeds))
		br.Done(trial, true)
		qt.Check(t, br.Open(), qt.IsFalse)
	}
}

// A failed trial must open the breaker for another pause, a successful one must close it.
func TestTrials(t *testing.T) {
	ck := clock.NewFake(1000)
	br := breaker.New(ck)
	open(t, br)
	_, ok := br.Allow()
	qt.Check(t, ok, qt.IsFalse)
	ck.Advance(maxPauseMS)
	trial, ok := br.Allow()
	qt.Assert(t, ok, qt.IsTrue)
	br.Done(trial, false)
	_, ok = br.Allow()
	qt.Check(t, ok, qt.IsFalse)
	ck.Advance(2 * maxPauseMS)
	trial, ok = br.Allow()
	qt.Assert(t, ok, qt.IsTrue)
	br.Done(trial, true)
	qt.Check(t, br.Open(), qt.IsFalse)
	_, ok = br.Allow()
	qt.Check(t, ok, qt.IsTrue)
}
