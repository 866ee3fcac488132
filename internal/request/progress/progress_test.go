package progress_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

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
