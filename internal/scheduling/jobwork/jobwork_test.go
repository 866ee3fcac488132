package jobwork_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/jobwork"
)

// The owner and the entries must count the same work and critical path: long-running steps are no work, and estimates below the least one count as that.
func TestSumsOverSteps(t *testing.T) {
	steps := []*workpb.Step{
		{Count: 2, CpuMilli: 500, EstimateMs: 1000},
		{Count: 4, CpuMilli: 1000, EstimateMs: 300, After: []int32{0}},
		{Count: 1, CpuMilli: 1000, EstimateMs: 10, After: []int32{0}},
		{Count: 3, CpuMilli: 1000, EstimateMs: 60_000, Lasting: true},
	}
	qt.Check(t, jobwork.CriticalPaths(steps), qt.DeepEquals, []int64{1300, 300, 50, 60_000})
	qt.Check(t, jobwork.CriticalPathMS(steps[:3]), qt.Equals, int64(1300))
	qt.Check(t, jobwork.CoreMS(steps), qt.Equals, int64(1000+1200+50))
	qt.Check(t, jobwork.CriticalPathMS(nil), qt.Equals, int64(0))
	qt.Check(t, jobwork.ObjectiveMS(&workpb.Queue{Stretch: 1.5, TargetMs: 200}, 1300), qt.Equals, int64(2150))
}
