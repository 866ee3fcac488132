package transferwatch_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/membership/transferwatch"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

const (
	token   = 7
	checkMS = 1000
)

// An owner must hand over only to a stronger entry that has asked without a pause, and ever later once transfers were followed by short terms.
func TestOwnerHandsOverOnlyToAnEntryThatStays(t *testing.T) {
	asks := func(strength, token int64) func(int64) (*workpb.TransferRequest, int64) {
		return func(nowMS int64) (*workpb.TransferRequest, int64) {
			return &workpb.TransferRequest{Token: token, Incarnation: "two.1", Strength: strength}, nowMS
		}
	}
	for _, tc := range []struct {
		name           string
		shortTransfers int32
		// read returns the request and its version.
		read func(nowMS int64) (*workpb.TransferRequest, int64)
		// want is after what time the owner hands over, 0 if it doesn't within a minute.
		want int64
	}{
		{"no request", 0, func(int64) (*workpb.TransferRequest, int64) { return &workpb.TransferRequest{}, 0 }, 0},
		{"stronger", 0, asks(6, token), 3000},
		{"as strong", 0, asks(5, token), 0},
		{"weaker", 0, asks(4, token), 0},
		{"for an earlier ownership", 0, asks(6, token-1), 0},
		{"after a short transfer", 1, asks(6, token), 6000},
		{"after many short transfers", 1000, asks(6, token), 48_000},
		{"sender was lost before", 0, func(int64) (*workpb.TransferRequest, int64) {
			return &workpb.TransferRequest{Token: token, Incarnation: "two.1", Strength: 6}, 3
		}, 0},
		{"sender is lost after 2 s", 0, func(nowMS int64) (*workpb.TransferRequest, int64) {
			return &workpb.TransferRequest{Token: token, Incarnation: "two.1", Strength: 6}, min(nowMS, 2000)
		}, 0},
		{"written at each third check", 0, func(nowMS int64) (*workpb.TransferRequest, int64) {
			return &workpb.TransferRequest{Token: token, Incarnation: "two.1", Strength: 6}, nowMS / (4 * checkMS)
		}, 0},
		{"written at each second check", 0, func(nowMS int64) (*workpb.TransferRequest, int64) {
			return &workpb.TransferRequest{Token: token, Incarnation: "two.1", Strength: 6}, nowMS / (2 * checkMS)
		}, 4000},
		{"restarts each 3 s", 0, func(nowMS int64) (*workpb.TransferRequest, int64) {
			return &workpb.TransferRequest{Token: token, Incarnation: "two." + string(rune('a'+nowMS/3000)), Strength: 6}, nowMS
		}, 0},
	} {
		wt := transferwatch.New(token, 5, tc.shortTransfers)
		steadyMS := int64(0)
		for nowMS := int64(0); nowMS <= 60_000 && steadyMS == 0; nowMS += checkMS {
			// Versions and times begin above those of an empty watch.
			rq, version := tc.read(nowMS)
			wt.Observe(100_000+nowMS, 1+version, rq)
			if wt.Steady() {
				steadyMS = nowMS
			}
		}
		qt.Check(t, steadyMS, qt.Equals, tc.want, qt.Commentf(tc.name))
	}
}

// Reads that fail for a while must count as a pause of the entry that asks, since it isn't known to be up.
func TestReadsThatFailCountAsAPause(t *testing.T) {
	wt := transferwatch.New(token, 5, 0)
	observe := func(nowMS int64) bool {
		wt.Observe(nowMS, nowMS, &workpb.TransferRequest{Token: token, Incarnation: "two.1", Strength: 6})
		return wt.Steady()
	}
	qt.Check(t, observe(10_000), qt.IsFalse)
	qt.Check(t, observe(12_000), qt.IsFalse)
	qt.Check(t, observe(14_500), qt.IsFalse)
	qt.Check(t, wt.SteadyMS(), qt.Equals, int64(0))
	qt.Check(t, observe(16_500), qt.IsFalse)
	qt.Check(t, observe(17_500), qt.IsTrue)
	qt.Check(t, wt.SteadyMS(), qt.Equals, int64(3000))
}
