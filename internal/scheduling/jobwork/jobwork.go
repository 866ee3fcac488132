package jobwork

import "github.com/fulmarloft/fulmarloft/internal/pb/workpb"

// MinStepEstimateMS is the shortest time that a step is taken to need.
const MinStepEstimateMS = 50

const milli = 1000

// CriticalPaths returns for each step the largest sum of estimates along a path of dependent steps that starts with it, in milliseconds.
func CriticalPaths(steps []*workpb.Step) []int64 {
	out := make([]int64, len(steps))
	for at := len(steps) - 1; at >= 0; at-- {
		out[at] += max(steps[at].GetEstimateMs(), MinStepEstimateMS)
		for _, before := range steps[at].GetAfter() {
			out[before] = max(out[before], out[at])
		}
	}
	return out
}

// CriticalPathMS returns the length of the longest of the critical paths, 0 without steps.
func CriticalPathMS(steps []*workpb.Step) int64 {
	longest := int64(0)
	for _, ms := range CriticalPaths(steps) {
		longest = max(longest, ms)
	}
	return longest
}

// CoreMS returns the estimated work of the steps in milliseconds of a core, without long-running ones.
func CoreMS(steps []*workpb.Step) int64 {
	work := int64(0)
	for _, row := range steps {
		if !row.GetLasting() {
			work += int64(row.GetCount()) * row.GetCpuMilli() * max(row.GetEstimateMs(), MinStepEstimateMS) / milli
		}
	}
	return work
}

// ObjectiveMS returns the time from its first attempt within which a job of the queue should end.
func ObjectiveMS(qu *workpb.Queue, criticalPathMS int64) int64 {
	return int64(qu.GetStretch()*float64(criticalPathMS)) + qu.GetTargetMs()
}
