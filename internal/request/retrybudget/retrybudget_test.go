package retrybudget_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/request/retrybudget"
)

// Retries must stay within a tenth of the requests, plus a reserve, even if every request asks for one.
func TestRetriesStayWithinATenth(t *testing.T) {
	ck := clock.NewFake(0)
	bg := retrybudget.New(ck)
	retries := 0
	for range 10_000 {
		bg.Deposit()
		if bg.TryWithdraw() {
			retries++
		}
		ck.Advance(1)
	}
	const reserve = 3 + 10
	qt.Assert(t, retries <= 1000+reserve, qt.IsTrue, qt.Commentf("%d retries for 10000 requests", retries))
	qt.Assert(t, retries >= 1000, qt.IsTrue, qt.Commentf("%d retries for 10000 requests", retries))
	qt.Assert(t, bg.Refused(), qt.Equals, int64(10_000-retries))
}

// Requests without retries must not save up a budget that would later allow a burst of retries.
func TestSavedRetriesAreBounded(t *testing.T) {
	bg := retrybudget.New(clock.NewFake(0))
	for range 100_000 {
		bg.Deposit()
	}
	retries := 0
	for bg.TryWithdraw() {
		retries++
	}
	qt.Assert(t, retries, qt.Equals, 103)
}
