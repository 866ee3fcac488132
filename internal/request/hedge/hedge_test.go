package hedge_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/request/hedge"
	"github.com/fulmarloft/fulmarloft/internal/request/progress"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// response is the result of one try: an answer after afterMS, or none if afterMS is negative.
type response struct {
	afterMS int64
	err     error
}

// Further tries must start only while no answer has come, the first answer wins, and a final error ends the call at once.
func TestDo(t *testing.T) {
	const unanswered = -1
	inDoubt, refused := code.TableInDoubt.New("no answer"), code.Conflict.New("refused")
	for _, tc := range []struct {
		name      string
		responses []response
		value     int
		err       code.Code
		tookMS    int64
	}{
		{"an answer in time", []response{{50, nil}}, 0, code.OK, 50},
		{"no answer to the first try", []response{{unanswered, nil}, {20, nil}}, 1, code.OK, 320},
		{"the first of two answers", []response{{350, nil}, {90, nil}}, 0, code.OK, 350},
		{"a failure while another try is in flight", []response{{310, inDoubt}, {100, nil}}, 1, code.OK, 400},
		{"a final error", []response{{310, refused}, {100, nil}}, 0, code.Conflict, 310},
		{"a failure alone", []response{{10, inDoubt}}, 0, code.TableInDoubt, 10},
		{"no answer to several tries", []response{{unanswered, nil}, {unanswered, nil}, {unanswered, nil}, {5, nil}}, 3, code.OK, 505},
	} {
		synctest.Test(t, func(t *testing.T) {
			ck := clock.New()
			po := hedge.New(ck, 300, 100, func(err error) bool { return code.Of(err) == code.Conflict })
			startMS := ck.Now()
			value, err := hedge.Do(t.Context(), po, func(ctx context.Context, try int) (int, error) {
				rs := tc.responses[min(try, len(tc.responses)-1)]
				if rs.afterMS < 0 {
					<-ctx.Done()
					return try, ctx.Err()
				}
				_ = ck.Sleep(ctx, rs.afterMS)
				return try, rs.err
			})
			qt.Check(t, code.Of(err), qt.Equals, tc.err, qt.Commentf(tc.name))
			qt.Check(t, value, qt.Equals, tc.value, qt.Commentf(tc.name))
			qt.Check(t, ck.Now()-startMS, qt.Equals, tc.tookMS, qt.Commentf(tc.name))
		})
	}
}

func TestDoEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ck := clock.New()
		ctx, cancel := ck.WithTimeout(t.Context(), 1000)
		defer cancel()
		var tries atomic.Int64
		_, err := hedge.Do(ctx, hedge.New(ck, 300, 300, func(error) bool { return false }), func(ctx context.Context, _ int) (int, error) {
			tries.Add(1)
			<-ctx.Done()
			return 0, ctx.Err()
		})
		qt.Assert(t, err, qt.IsNotNil)
		qt.Assert(t, tries.Load(), qt.Equals, int64(4))
	})
}

// part is one part of an answer that arrives at a time after the start of its try; the last one ends the answer.
type part struct {
	atMS  int64
	bytes int
}

// Copies of a long answer must not share the link: no try starts while an answer arrives, and the first part that arrives ends the other tries; an answer that stalls is fetched again.
func TestAnAnswerThatArrivesIsNotFetchedBesideItself(t *testing.T) {
	for _, tc := range []struct {
		name    string
		tries   [][]part
		started int
		// cancelled is how many tries were cancelled before the call returned, which cancels the rest.
		cancelled int
		tookMS    int64
	}{
		{"a long answer", [][]part{{{10, 5}, {90, 5}, {180, 5}, {270, 5}, {360, 5}, {450, 5}}}, 1, 0, 450},
		{"a long answer that begins late", [][]part{{{290, 5}, {380, 5}, {470, 5}, {900, 0}}, {{1000, 0}}}, 5, 0, 900},
		{"several tries of which one is answered", [][]part{{{550, 5}, {640, 5}, {730, 5}}, {{1000, 5}}, {{1000, 5}}}, 4, 3, 730},
		{"an answer that stalls", [][]part{{{10, 5}, {20, 5}, {5000, 0}}, {{10, 5}, {90, 5}, {120, 5}}}, 2, 1, 240},
	} {
		synctest.Test(t, func(t *testing.T) {
			ck := clock.New()
			var started, cancelled atomic.Int64
			po := hedge.New(ck, 300, 100, func(error) bool { return false })
			startMS := ck.Now()
			_, err := hedge.Do(t.Context(), po, func(ctx context.Context, try int) (int, error) {
				started.Add(1)
				tryMS := ck.Now()
				for _, pt := range tc.tries[min(try, len(tc.tries)-1)] {
					if ck.Sleep(ctx, tryMS+pt.atMS-ck.Now()) != nil {
						if ck.Now()-startMS < tc.tookMS {
							cancelled.Add(1)
						}
						return 0, ctx.Err()
					}
					progress.Report(ctx, pt.bytes)
				}
				return try, nil
			})
			qt.Check(t, err, qt.IsNil, qt.Commentf(tc.name))
			qt.Check(t, ck.Now()-startMS, qt.Equals, tc.tookMS, qt.Commentf(tc.name))
			qt.Check(t, started.Load(), qt.Equals, int64(tc.started), qt.Commentf(tc.name))
			qt.Check(t, cancelled.Load(), qt.Equals, int64(tc.cancelled), qt.Commentf(tc.name))
		})
	}
}

// Tries that all stall at the same point must not pass for an answer that arrives: the call would never end.
func TestPartsThatAreFetchedAgainAreNoProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ck := clock.New()
		ctx, cancel := progress.WithSilenceTimeout(t.Context(), ck, 1000, 500)
		defer cancel()
		startMS := ck.Now()
		_, err := hedge.Do(ctx, hedge.New(ck, 300, 100, func(error) bool { return false }), func(ctx context.Context, _ int) (int, error) {
			progress.Report(ctx, 700)
			<-ctx.Done()
			return 0, ctx.Err()
		})
		qt.Check(t, err, qt.IsNotNil)
		qt.Check(t, ck.Now()-startMS, qt.Equals, int64(1000))
	})
}
