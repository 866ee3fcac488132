package startwindow_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/scheduling/startwindow"
)

// link is a connection of limited bandwidth on which each start waits for those before it.
type link struct {
	bytesPerMS int64
	freeAtMS   int64
}

const startBytes = 900

// send returns when a start that is sent at nowMS is answered.
func (lk *link) send(nowMS int64) int64 {
	lk.freeAtMS = max(lk.freeAtMS, nowMS) + startBytes/lk.bytesPerMS
	return lk.freeAtMS + 2
}

// A burst of starts on a slow link must not delay other calls by more than a fraction of the run lease; on a fast link it must not be held up.
func TestBurstOfStarts(t *testing.T) {
	for _, tc := range []struct {
		name       string
		bytesPerMS int64
		// maxDelayMS is the longest time that another call may wait on the link, measured after the first second.
		maxDelayMS int64
		// minStarts is the least number of starts in five seconds.
		minStarts int
	}{
		{"2 Mbit/s", 250, 200, 1300},
		{"200 Mbit/s", 25_000, 20, 4000},
	} {
		wd := startwindow.New()
		lk := &link{bytesPerMS: tc.bytesPerMS}
		answers := map[int64][]int64{}
		underWay, starts, longestMS := 0, 0, int64(0)
		for nowMS := int64(1000); nowMS < 6000; nowMS++ {
			for _, sentMS := range answers[nowMS] {
				wd.Record(nowMS, nowMS-sentMS)
				underWay--
			}
			for underWay < wd.Limit() && starts < 4000 {
				at := lk.send(nowMS)
				answers[at] = append(answers[at], nowMS)
				underWay++
				starts++
			}
			if nowMS >= 2000 {
				longestMS = max(longestMS, lk.freeAtMS-nowMS)
			}
		}
		qt.Check(t, longestMS <= tc.maxDelayMS, qt.IsTrue, qt.Commentf("%s: %d ms", tc.name, longestMS))
		qt.Check(t, starts >= tc.minStarts, qt.IsTrue, qt.Commentf("%s: %d starts", tc.name, starts))
	}
}

// A few VMs that don't answer must not hold up the starts on all others.
func TestUnreachableVMsDoNotShrinkTheWindow(t *testing.T) {
	wd := startwindow.New()
	for at := range int64(1000) {
		tookMS := int64(5)
		if at%5 == 0 {
			tookMS = 300
		}
		wd.Record(at*5, tookMS)
	}
	qt.Assert(t, wd.Limit() > 500, qt.IsTrue, qt.Commentf("limit %d", wd.Limit()))
}

// Answers that are lost say nothing of this machine's load while others come at once.
func TestLostAnswersDoNotHoldUpStarts(t *testing.T) {
	const timeoutMS, orders = 300, 10
	wd := startwindow.New()
	for nowMS := int64(1000); nowMS < 6000; nowMS += 10 {
		for at := range orders {
			if at%2 == 0 {
				wd.RecordUnanswered(nowMS)
				continue
			}
			wd.Record(nowMS, 5)
		}
	}
	limit := wd.Limit()
	qt.Assert(t, limit >= 64, qt.IsTrue, qt.Commentf("limit %d", limit))
	for nowMS := int64(6000); nowMS < 7000; nowMS += timeoutMS {
		wd.RecordUnanswered(nowMS)
	}
	qt.Assert(t, wd.Limit() < limit, qt.IsTrue, qt.Commentf("limit %d", wd.Limit()))
}
