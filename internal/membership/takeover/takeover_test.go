package takeover_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/membership/takeover"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

func half() float64 { return 0.5 }

// An entry whose restores fail must wait longer each time, up to 30 s, and compete again without delay once a term has lasted.
func TestBackoffGrowsWithFailures(t *testing.T) {
	for _, random := range []func() float64{func() float64 { return 0 }, half, func() float64 { return 0.999 }} {
		ru := takeover.New(0, random)
		nowMS := int64(1000)
		for _, want := range []int64{2000, 4000, 8000, 16_000, 30_000, 30_000, 30_000} {
			ru.RecordTerm(nowMS, 0)
			waitMS := ru.UntilMS() - nowMS
			qt.Check(t, waitMS <= want && waitMS >= want*3/4, qt.IsTrue, qt.Commentf("waits %d ms, want about %d", waitMS, want))
			qt.Check(t, ru.MayTry(nowMS+waitMS-1), qt.IsFalse)
			qt.Check(t, ru.MayTry(nowMS+waitMS), qt.IsTrue)
			nowMS += waitMS
		}
		ru.RecordTerm(nowMS, 60_000)
		qt.Check(t, ru.MayTry(nowMS), qt.IsTrue)
		ru.RecordTerm(nowMS, 500)
		qt.Check(t, ru.UntilMS()-nowMS <= 2000, qt.IsTrue)
	}
}

// A restoring owner must get more time than another only while it progresses: one that stands still, or schedules, is replaced as soon as any other.
func TestExpiryFollowsProgress(t *testing.T) {
	for _, tc := range []struct {
		name string
		rows []*workpb.Ownership
		want int64
	}{
		{"no row seen", nil, 1240},
		{"schedules", []*workpb.Ownership{{Token: 4}, {Token: 4, Sequence: 2}}, 1240},
		{"has just taken over", []*workpb.Ownership{{Token: 4, Restoring: true}}, 1240},
		{"progresses", []*workpb.Ownership{{Token: 4, Restoring: true}, {Token: 4, Restoring: true, RestoredBytes: 9}}, 2440},
		{"stands still", []*workpb.Ownership{{Token: 4, Restoring: true, RestoredBytes: 9}, {Token: 4, Restoring: true, RestoredBytes: 9}}, 1240},
		{"schedules after a restore", []*workpb.Ownership{{Token: 4, Restoring: true}, {Token: 4, Restoring: true, RestoredBytes: 9}, {Token: 4}}, 1240},
		{"successor of one that progressed", []*workpb.Ownership{{Token: 4, Restoring: true}, {Token: 4, Restoring: true, RestoredBytes: 9}, {Token: 7, Restoring: true}}, 1240},
	} {
		ru := takeover.New(0, half)
		for _, row := range tc.rows {
			ru.Observe(row)
		}
		qt.Check(t, ru.ExpiryMS(10), qt.Equals, tc.want, qt.Commentf(tc.name))
	}
}

// Entries with fast links must go first, and where a restore is short the link must not delay a takeover.
func TestDeferenceFollowsTheLink(t *testing.T) {
	for _, tc := range []struct {
		name            string
		linkBytesPerS   int64
		restoredBytes   int64
		strongerClasses int
		want            int64
	}{
		{"nothing known", 250_000, 0, 0, 0},
		{"unknown link", 0, 20_000_000, 0, 0},
		{"good link, few jobs", 25_000_000, 2_000_000, 0, 0},
		{"good link, many jobs", 25_000_000, 20_000_000, 0, 60},
		{"slow link, few jobs", 250_000, 100_000, 0, 0},
		{"slow link, many jobs", 250_000, 2_000_000, 0, 1500},
		{"slow link, very many jobs", 250_000, 20_000_000, 0, 2000},
		{"weak entry", 25_000_000, 2_000_000, 2, 600},
		{"weakest entry on a slow link", 250_000, 20_000_000, 9, 2900},
	} {
		ru := takeover.New(tc.linkBytesPerS, half)
		ru.Observe(&workpb.Ownership{Token: 4, Restoring: true, RestoredBytes: tc.restoredBytes})
		qt.Check(t, ru.DeferMS(tc.strongerClasses), qt.Equals, tc.want, qt.Commentf(tc.name))
	}
}

// An overloaded owner must yield as before on a good link; where the link is the limit, it must not pass the ownership around entries with equal links.
func TestYieldOnlyWhereAnotherDoesBetter(t *testing.T) {
	for _, tc := range []struct {
		name                              string
		termMS, predecessorMS, releasedMS int64
		linkLimited, stronger             bool
		want                              bool
	}{
		{"after a stable term", 3000, 3_600_000, 3_600_000, false, false, true},
		{"too soon", 2900, 3_600_000, 0, false, true, false},
		{"after a short term", 29_000, 10_000, 10_000, false, true, false},
		{"after a short term, long ago", 30_000, 10_000, 10_000, false, false, true},
		{"slow links everywhere", 300_000, 10_000, 10_000, true, false, false},
		{"a faster link exists, whose owner was lost", 3000, 60_000, 0, true, true, true},
		{"the one with the faster link yielded", 119_000, 60_000, 60_000, true, true, false},
		{"the one with the faster link yielded long ago", 120_000, 60_000, 60_000, true, true, true},
	} {
		ru := takeover.New(0, half)
		qt.Check(t, ru.MayYield(tc.termMS, tc.predecessorMS, tc.releasedMS, tc.linkLimited, tc.stronger), qt.Equals, tc.want, qt.Commentf(tc.name))
	}
}

// An entry that was overloaded must leave the ownership to weaker ones for longer each time, without keeping from a free row, so that it isn't passed to and fro.
func TestOverloadedEntryAsksEverLater(t *testing.T) {
	ru := takeover.New(0, half)
	nowMS := int64(1000)
	qt.Check(t, ru.MayRequest(nowMS), qt.IsTrue)
	for _, tc := range []struct {
		termMS int64
		wantMS int64
	}{{30_000, 60_000}, {30_000, 120_000}, {30_000, 240_000}, {30_000, 480_000}, {30_000, 600_000}, {30_000, 600_000}, {600_000, 60_000}} {
		ru.RecordYield(nowMS, tc.termMS)
		qt.Check(t, ru.MayTry(nowMS), qt.IsTrue)
		qt.Check(t, ru.MayRequest(nowMS+tc.wantMS-1), qt.IsFalse)
		qt.Check(t, ru.MayRequest(nowMS+tc.wantMS), qt.IsTrue)
		nowMS += tc.wantMS
	}
	ru.RecordTerm(nowMS, 0)
	qt.Check(t, ru.MayRequest(nowMS+1), qt.IsFalse)
}
