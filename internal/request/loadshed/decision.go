package loadshed

import (
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/jobwork"
)

// Decision is what was decided on one submission, and why.
type Decision struct {
	service        string
	queue          string
	team           string
	workCoreMS     int64
	criticalPathMS int64
	longestStepMS  int64
	objectiveMS    int64
	roomMilli      int64
	hopeless       bool
	waitMS         int64
	ageMS          int64
	level          int32
}

// newDecision returns the decision to accept a job, with what it needs.
func newDecision(qu *workpb.Queue, jb *workpb.Job) Decision {
	dc := Decision{
		service: qu.GetService(), queue: qu.GetName(), team: jb.GetTeam(),
		workCoreMS: jobwork.CoreMS(jb.GetSteps()), criticalPathMS: jobwork.CriticalPathMS(jb.GetSteps()),
	}
	dc.objectiveMS = jobwork.ObjectiveMS(qu, dc.criticalPathMS)
	for _, st := range jb.GetSteps() {
		dc.longestStepMS = max(dc.longestStepMS, st.GetEstimateMs(), jobwork.MinStepEstimateMS)
	}
	return dc
}

// Hopeless reports whether the submission should be refused.
func (dc Decision) Hopeless() bool { return dc.hopeless }

// WaitMS returns how long the job would wait for its first start.
func (dc Decision) WaitMS() int64 { return dc.waitMS }

// AgeMS returns the age of the estimate.
func (dc Decision) AgeMS() int64 { return dc.ageMS }

// Level returns how far the team is above its share, 0 for within.
func (dc Decision) Level() int32 { return dc.level }

// means returns the job's own figures.
func (dc Decision) means() means {
	return means{stepMS: float64(dc.longestStepMS), pathMS: float64(dc.criticalPathMS)}
}

// slackMS returns how long the job may wait and still be in time if it is tried for the first time.
func (dc Decision) slackMS() float64 { return float64(max(dc.objectiveMS-dc.criticalPathMS, 1)) }
