package jobwork

import (
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// MaxTasks is the maximum number of tasks in one occurrence of a job.
const MaxTasks = 20_000

// Check returns an error if steps read from the store can't be scheduled: each must have tasks, need nothing negative and depend on earlier steps only.
func Check(steps []*workpb.Step) error {
	total := int64(0)
	for at, row := range steps {
		if row.GetCount() <= 0 {
			return code.JobImpossible.New("steps[%d]: expected 1 task or more, got %d", at, row.GetCount())
		}
		if min(row.GetCpuMilli(), row.GetMemoryMb(), row.GetAccelerators(), row.GetEstimateMs()) < 0 {
			return code.JobImpossible.New("steps[%d]: sizes and estimate must not be negative", at)
		}
		for _, before := range row.GetAfter() {
			if before < 0 || int(before) >= at {
				return code.JobImpossible.New("steps[%d]: expected dependencies on earlier steps, got %d", at, before)
			}
		}
		total += int64(row.GetCount())
	}
	if total > MaxTasks {
		return code.JobImpossible.New("expected at most %d tasks, got %d", MaxTasks, total)
	}
	return nil
}
