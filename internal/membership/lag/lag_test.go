package lag_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/membership/lag"
)

// unanswered stands for the duration of a call that gets no answer.
const unanswered = -1

var zones = []string{"a", "b", "c"}

// record records a call that ends at nowMS, to the zone whose turn it is.
func record(lg *lag.Lag, at int, nowMS, tookMS int64) {
	zone := zones[at%len(zones)]
	if tookMS == unanswered {
		lg.RecordUnanswered(nowMS, zone)
		return
	}
	lg.Record(nowMS, zone, tookMS)
}

// Lag counts as sustained if most calls are late, but not if only the calls to one of several zones are or if there are too few calls; calls without an answer count only while no zone answers in time.
func TestSustained(t *testing.T) {
	for _, tc := range []struct {
		name string
		// durationsMS are the durations of calls of which one ends every 25 ms, to one zone after the other, repeated for runMS.
		durationsMS []int64
		runMS       int64
		want        bool
	}{
		{"none late", []int64{3, 5, 150}, 3000, false},
		{"all late", []int64{250, 900}, 3000, true},
		{"one of three zones late", []int64{1000, 4, 4}, 3000, false},
		{"most late", []int64{400, 400, 4}, 3000, true},
		{"too few calls", []int64{400}, 150, false},
		{"one of three zones unreachable", []int64{unanswered, 4, 4}, 3000, false},
		{"two of three zones unreachable", []int64{unanswered, unanswered, 4}, 3000, false},
		{"most answers lost in all zones", []int64{unanswered, unanswered, unanswered, 4}, 3000, false},
		{"none answered", []int64{unanswered}, 3000, true},
		{"none answered in time", []int64{unanswered, unanswered, 280}, 3000, true},
		{"few answers, most of them late", []int64{unanswered, unanswered, unanswered, 300, 4, 300}, 3000, true},
		{"too few unanswered", []int64{unanswered}, 150, false},
	} {
		lg := lag.New()
		nowMS := int64(100_000)
		for at := 0; int64(at)*25 < tc.runMS; at++ {
			nowMS += 25
			record(lg, at, nowMS, tc.durationsMS[at%len(tc.durationsMS)])
		}
		qt.Check(t, lg.Sustained(nowMS), qt.Equals, tc.want, qt.Commentf(tc.name))
	}
}

// A zone that isn't called for a while, or only by long polls, still shows that answers come in time.
func TestUnansweredCallsBesideAQuietZone(t *testing.T) {
	for _, tc := range []struct {
		name string
		// quiet records what is known of the zone "b" before or while no call to the zone "a" is answered.
		quiet func(lg *lag.Lag, nowMS int64)
		want  bool
	}{
		{"called at the beginning", func(lg *lag.Lag, nowMS int64) {
			if nowMS == 100_000 {
				lg.Record(nowMS, "b", 4)
			}
		}, false},
		{"called long ago", func(lg *lag.Lag, nowMS int64) {
			if nowMS == 100_000 {
				lg.Record(nowMS-10_000, "b", 4)
			}
		}, true},
		{"long polls", func(lg *lag.Lag, nowMS int64) { lg.RecordLongPoll(nowMS, "b", 4) }, false},
		{"late long polls", func(lg *lag.Lag, nowMS int64) { lg.RecordLongPoll(nowMS, "b", 300) }, true},
	} {
		lg := lag.New()
		endMS := int64(103_000)
		for nowMS := int64(100_000); nowMS < endMS; nowMS += 25 {
			tc.quiet(lg, nowMS)
			lg.RecordUnanswered(nowMS, "a")
		}
		qt.Check(t, lg.Sustained(endMS), qt.Equals, tc.want, qt.Commentf(tc.name))
	}
}

func TestOldLateCallsDoNotCount(t *testing.T) {
	lg := lag.New()
	for nowMS := int64(1000); nowMS < 2000; nowMS += 10 {
		lg.Record(nowMS, "a", 900)
	}
	qt.Assert(t, lg.Sustained(2000), qt.IsTrue)
	qt.Assert(t, lg.Sustained(4000), qt.IsFalse)
	for nowMS := int64(4000); nowMS < 5000; nowMS += 10 {
		lg.Record(nowMS, "a", 3)
	}
	qt.Assert(t, lg.Sustained(5000), qt.IsFalse)
}
