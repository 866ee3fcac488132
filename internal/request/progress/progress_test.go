package progress_test

import (
	"context"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/request/progress"
)

func TestReportReachesAllFollowers(t *testing.T) {
	var outer, inner int
	progress.Report(context.Background(), 7)
	outerCtx := progress.With(context.Background(), func(bytes int) { outer += bytes })
	innerCtx := progress.With(outerCtx, func(bytes int) { inner += bytes })
	progress.Report(innerCtx, 3)
	progress.Report(outerCtx, 4)
	qt.Check(t, outer, qt.Equals, 7)
	qt.Check(t, inner, qt.Equals, 3)
}

func TestWithSilenceTimeout(t *testing.T) {
	for _, tc := range []struct {
		name string
		// reports holds when a part arrives; the call ends with the last one if it isn't cancelled before.
		reports []int64
		endsMS  int64
		err     error
	}{
		{"nothing arrives", nil, 300, context.DeadlineExceeded},
		{"the first part is late", []int64{310, 400}, 300, context.DeadlineExceeded},
		{"an answer that takes long", []int64{290, 380, 470, 560, 650, 740, 830}, 830, nil},
		{"an answer that stalls", []int64{290, 380, 490}, 480, context.DeadlineExceeded},
		{"an early part leaves the time for the first one", []int64{10, 290}, 290, nil},
	} {
		ck := clock.NewFake(1000)
		ctx, cancel := progress.WithSilenceTimeout(context.Background(), ck, 300, 100)
		endedMS := int64(0)
		for elapsedMS := int64(1); elapsedMS <= 1000; elapsedMS++ {
			ck.Advance(1)
			if slices.Contains(tc.reports, elapsedMS) {
				progress.Report(ctx, 1)
			}
			if endedMS == 0 && (ctx.Err() != nil || len(tc.reports) > 0 && elapsedMS == tc.reports[len(tc.reports)-1]) {
				endedMS = elapsedMS
				qt.Check(t, context.Cause(ctx), qt.Equals, tc.err, qt.Commentf(tc.name))
				cancel()
			}
		}
		qt.Check(t, endedMS, qt.Equals, tc.endsMS, qt.Commentf(tc.name))
		qt.Check(t, ck.Pending(), qt.IsFalse, qt.Commentf(tc.name))
	}
}
