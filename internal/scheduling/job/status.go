package job

import (
	"strings"

	"github.com/fulmarloft/fulmarloft/internal/pb/jobpb"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// StateName returns the lower-case name of the state for answers and logs.
func (jb Job) StateName() string { return strings.ToLower(jb.State().String()) }

// Code returns the result code for callers, which is OK unless the job ended without success.
func (jb Job) Code() code.Code {
	switch jb.State() {
	case jobpb.State_FAILED:
		return code.EndpointStatus
	case jobpb.State_CANCELLED:
		if jb.row.GetAttempts() == 0 {
			return code.Cancelled
		}
		return code.MayHaveRun
	case jobpb.State_IMPOSSIBLE:
		return code.JobImpossible
	case jobpb.State_POISONOUS:
		return code.JobPoisonous
	case jobpb.State_LOST:
		return code.WorkerLost
	}
	return code.OK
}

// Outcome returns answered, not-run or unknown; it returns not-run only if no run of the job was ever begun.
func (jb Job) Outcome() string {
	switch {
	case jb.State() == jobpb.State_DONE || jb.State() == jobpb.State_FAILED || jb.row.GetAnswered():
		return "answered"
	case jb.row.GetAttempts() == 0:
		return "not-run"
	}
	return "unknown"
}

// Status returns the job's status for callers.
func (jb Job) Status() *jobpb.JobStatus {
	name := jb.StateName()
	if jb.row.GetAnswered() {
		name = "done"
	}
	return &jobpb.JobStatus{
		Id:           jb.row.GetId(),
		State:        name,
		Outcome:      jb.Outcome(),
		Code:         int32(jb.Code()),
		CodeName:     jb.Code().String(),
		Attempts:     jb.row.GetAttempts(),
		Worker:       jb.row.GetWorker(),
		CancelWanted: jb.row.GetCancelWanted(),
	}
}
