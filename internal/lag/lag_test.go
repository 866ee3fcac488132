package lag_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/lag"
)

// Lag counts as sustained if most calls are late, but not if only the calls to one of several zones are or if there are too few calls.
func TestSustained(t *testing.T) {
	for _, tc := range []struct {
		name string
		// durationsMS are the durations of calls of which one ends every 25 ms, repeated for runMS.
		durationsMS []int64
		runMS       int64
		want        bool
	}{
		{"none late", []int64{3, 5, 150}, 3000, false},
		{"all late", []int64{250, 900}, 3000, true},
		{"one of three zones unreachable", []int64{1000, 4, 4}, 3000, false},
		{"most late", []int64{400, 400, 4}, 3000, true},
		{"too few calls", []int64{400}, 150, false},
	} {
		lg := lag.New()
		nowMS := int64(100_000)
		for i := 0; int64(i)*25 < tc.runMS; i++ {
			nowMS += 25
			lg.Record(nowMS, tc.durationsMS[i%len(tc.durationsMS)])
		}
		qt.Check(t, lg.Sustained(nowMS), qt.Equals, tc.want, qt.Commentf(tc.name))
	}
}

func TestOldLateCallsDoNotCount(t *testing.T) {
	lg := lag.New()
	for nowMS := int64(1000); nowMS < 2000; nowMS += 10 {
		lg.Record(nowMS, 900)
	}
	qt.Assert(t, lg.Sustained(2000), qt.IsTrue)
	qt.Assert(t, lg.Sustained(4000), qt.IsFalse)
	for nowMS := int64(4000); nowMS < 5000; nowMS += 10 {
		lg.Record(nowMS, 3)
	}
	qt.Assert(t, lg.Sustained(5000), qt.IsFalse)
}
