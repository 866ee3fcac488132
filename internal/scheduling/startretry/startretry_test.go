package startretry_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/scheduling/startretry"
)

func TestDelayFollowsTheAnswers(t *testing.T) {
	for _, tc := range []struct {
		name   string
		tookMS int64
		minMS  int64
		maxMS  int64
	}{
		{name: "fast answers", tookMS: 5, minMS: 50, maxMS: 50},
		{name: "slow answers", tookMS: 100, minMS: 400, maxMS: 500},
	} {
		t.Run(tc.name, func(t *testing.T) {
			dl := startretry.New()
			for range 100 {
				dl.Record(tc.tookMS)
			}
			qt.Assert(t, dl.MS() >= tc.minMS && dl.MS() <= tc.maxMS, qt.IsTrue, qt.Commentf("%d ms", dl.MS()))
		})
	}
}

// Where some answers are slow, a missing one may be on its way.
func TestDelayExceedsTheSlowAnswers(t *testing.T) {
	const slowMS = 200
	dl := startretry.New()
	for at := range 100 {
		tookMS := int64(5)
		if at%25 == 0 {
			tookMS = slowMS
		}
		dl.Record(tookMS)
	}
	qt.Assert(t, dl.MS() > slowMS, qt.IsTrue, qt.Commentf("%d ms", dl.MS()))
	for range 500 {
		dl.Record(5)
	}
	qt.Assert(t, dl.MS(), qt.Equals, int64(50))
}
