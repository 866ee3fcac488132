package job

import (
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/pb/jobpb"
	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/size"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Job is the value of one job row; its transitions return a changed copy and don't modify the receiver.
type Job struct {
	row *jobpb.JobRow
}

// KeyPrefix is the prefix of job row keys, which the job's id follows.
const KeyPrefix = "job/"

// Run states in worker reports.
const (
	ReportRunning      = "running"
	ReportDone         = "done"
	ReportFailed       = "failed"
	ReportStopped      = "stopped"
	ReportCheckpointed = "checkpointed"
	ReportUnknown      = "unknown"
)

// runSeparator separates the job's id from the epoch in a run id.
const runSeparator = "~"

// New returns the job of a row, which the caller must not change afterwards.
func New(row *jobpb.JobRow) Job { return Job{row: row} }

// Parse decodes a stored job row.
func Parse(raw []byte) (Job, error) {
	row := &jobpb.JobRow{}
	if err := proto.Unmarshal(raw, row); err != nil {
		return Job{}, code.Internal.New("cannot decode the job row: %w", err)
	}
	return New(row), nil
}

// IDOfRun returns the id of the job that a run belongs to, or false if the run id is not in the format of this package.
func IDOfRun(run string) (string, bool) {
	at := strings.LastIndex(run, runSeparator)
	if at <= 0 {
		return "", false
	}
	return run[:at], true
}

// Bytes encodes the row for the table.
func (jb Job) Bytes() ([]byte, error) {
	raw, err := proto.Marshal(jb.row)
	if err != nil {
		return nil, code.Internal.Wrap(err)
	}
	return raw, nil
}

// Row returns the row, which the caller must not change.
func (jb Job) Row() *jobpb.JobRow { return jb.row }

// Key returns the key of the job's row.
func (jb Job) Key() string { return KeyPrefix + jb.row.GetId() }

// State returns the job's state.
func (jb Job) State() jobpb.State { return jb.row.GetState() }

// Urgent reports whether the job is in the urgent class.
func (jb Job) Urgent() bool { return jb.row.GetClass() == jobpb.Class_URGENT }

// Declared returns the resources that the caller declared.
func (jb Job) Declared() size.Size {
	return size.New(jb.row.GetCoresMilli(), jb.row.GetMemoryMb(), jb.row.GetAccelerators())
}

// Reserved returns the resources that are reserved for the job on its worker.
func (jb Job) Reserved() size.Size {
	return size.New(jb.row.GetReservedCoresMilli(), jb.row.GetReservedMemoryMb(), jb.row.GetAccelerators())
}

// Ended reports whether the job is in a final state; only a late report can still change its result.
func (jb Job) Ended() bool { return !jb.Waiting() && !jb.Active() }

// Waiting reports whether the job waits for a worker.
func (jb Job) Waiting() bool {
	return jb.State() == jobpb.State_QUEUED || jb.State() == jobpb.State_CHECKPOINTED
}

// Active reports whether a worker may have a run of the job under a valid lease.
func (jb Job) Active() bool {
	return jb.State() == jobpb.State_STARTING || jb.State() == jobpb.State_RUNNING
}

// Start returns the job with a new run on the worker VM's incarnation. A non-idempotent job is never started twice, except after RevertStart.
func (jb Job) Start(worker, incarnation string, reserved size.Size) (Job, error) {
	if !jb.Waiting() || jb.row.GetCancelWanted() {
		return jb, code.Conflict.New("job %s cannot start: it is %s or its cancellation was requested", jb.row.GetId(), jb.StateName())
	}
	if !jb.row.GetIdempotent() && jb.row.GetAttempts() > 0 {
		return jb, code.Conflict.New("job %s cannot start: it is not idempotent and has been started before", jb.row.GetId())
	}
	row := proto.CloneOf(jb.row)
	row.Attempts++
	row.Epoch++
	row.Run = fmt.Sprintf("%s%s%d", row.GetId(), runSeparator, row.GetEpoch())
	row.State = jobpb.State_STARTING
	row.Worker = worker
	row.WorkerIncarnation = incarnation
	row.Counted = true
	row.ReservedCoresMilli = reserved.CoresMilli()
	row.ReservedMemoryMb = reserved.MemoryMB()
	return New(row), nil
}

// RevertStart returns the job after its worker is known not to have started the current run, which then doesn't count as an attempt.
func (jb Job) RevertStart(nowMS int64) Job {
	if jb.State() != jobpb.State_STARTING {
		return jb
	}
	row := proto.CloneOf(jb.row)
	row.Attempts--
	return waitAgain(row, jobpb.State_QUEUED, nowMS)
}

// ApplyReport returns the job after a worker's report about one of its runs; reports may be late or repeated.
func (jb Job) ApplyReport(rep *platformpb.TaskReport, nowMS int64) Job {
	id, ok := IDOfRun(rep.GetRun())
	if !ok || id != jb.row.GetId() || jb.row.GetEpoch() == 0 || rep.GetEpoch() > jb.row.GetEpoch() {
		return jb
	}
	if rep.GetRun() == jb.row.GetRun() && rep.GetEpoch() == jb.row.GetEpoch() && jb.Active() {
		return jb.applyCurrentReport(rep, nowMS)
	}
	return jb.applyLateReport(rep, nowMS)
}

// ExpireLease returns the job after the lease of its run has certainly expired without a report that the run ended.
func (jb Job) ExpireLease(nowMS int64) Job {
	if !jb.Active() {
		return jb
	}
	row := proto.CloneOf(jb.row)
	switch {
	case row.GetAnswered():
		return withState(row, jobpb.State_DONE, nowMS)
	case !row.GetIdempotent():
		return withState(row, jobpb.State_LOST, nowMS)
	case row.GetCancelWanted():
		return withState(row, jobpb.State_CANCELLED, nowMS)
	}
	recordFailedWorker(row)
	return withState(row, jobpb.State_QUEUED, nowMS)
}

// Cancel returns the job as cancelled, or with its cancellation requested if a run has to end first.
func (jb Job) Cancel(nowMS int64) Job {
	if jb.Ended() || jb.row.GetCancelWanted() {
		return jb
	}
	row := proto.CloneOf(jb.row)
	row.CancelWanted = true
	if jb.Waiting() {
		return withState(row, jobpb.State_CANCELLED, nowMS)
	}
	return New(row)
}

// EndUnrunnable returns a waiting job in the final state IMPOSSIBLE or POISONOUS; a job that isn't waiting is returned unchanged.
func (jb Job) EndUnrunnable(state jobpb.State, nowMS int64) Job {
	if !jb.Waiting() {
		return jb
	}
	return withState(proto.CloneOf(jb.row), state, nowMS)
}

// applyCurrentReport applies a report about the run that is active.
func (jb Job) applyCurrentReport(rep *platformpb.TaskReport, nowMS int64) Job {
	row := proto.CloneOf(jb.row)
	switch rep.GetState() {
	case ReportRunning:
		row.State = jobpb.State_RUNNING
		return New(row)
	case ReportDone:
		return withState(row, jobpb.State_DONE, nowMS)
	case ReportFailed:
		return afterFailure(row, nowMS)
	case ReportStopped:
		return afterStop(row, nowMS)
	case ReportCheckpointed:
		return afterCheckpoint(row, nowMS)
	}
	return jb
}

// applyLateReport applies a report about an earlier run, or about the last run of a job that isn't active. If that run is done, a waiting, lost or cancelled job is done as well, and an active job will be when its active run ends.
func (jb Job) applyLateReport(rep *platformpb.TaskReport, nowMS int64) Job {
	if rep.GetState() != ReportDone {
		return jb.applyLateFailure(rep, nowMS)
	}
	row := proto.CloneOf(jb.row)
	switch jb.State() {
	case jobpb.State_LOST, jobpb.State_CANCELLED, jobpb.State_QUEUED, jobpb.State_CHECKPOINTED:
		return withState(row, jobpb.State_DONE, nowMS)
	case jobpb.State_STARTING, jobpb.State_RUNNING:
		row.Answered = true
		return New(row)
	}
	return jb
}

// applyLateFailure changes a lost job to failed; other jobs ignore the failure of a run that isn't active.
func (jb Job) applyLateFailure(rep *platformpb.TaskReport, nowMS int64) Job {
	if rep.GetState() != ReportFailed || jb.State() != jobpb.State_LOST {
		return jb
	}
	return withState(proto.CloneOf(jb.row), jobpb.State_FAILED, nowMS)
}

func afterFailure(row *jobpb.JobRow, nowMS int64) Job {
	recordFailedWorker(row)
	if row.GetAnswered() {
		return withState(row, jobpb.State_DONE, nowMS)
	}
	if !row.GetIdempotent() {
		return withState(row, jobpb.State_FAILED, nowMS)
	}
	return waitAgain(row, jobpb.State_QUEUED, nowMS)
}

// afterCheckpoint treats a checkpointed run of a non-idempotent job as stopped, because continuing it would be a second run.
func afterCheckpoint(row *jobpb.JobRow, nowMS int64) Job {
	if !row.GetIdempotent() {
		return afterStop(row, nowMS)
	}
	return waitAgain(row, jobpb.State_CHECKPOINTED, nowMS)
}

// afterStop returns the job after its run was stopped. A non-idempotent job that is neither answered nor cancelled is lost, because the run may have had effects.
func afterStop(row *jobpb.JobRow, nowMS int64) Job {
	if !row.GetIdempotent() && !row.GetCancelWanted() && !row.GetAnswered() {
		return withState(row, jobpb.State_LOST, nowMS)
	}
	return waitAgain(row, jobpb.State_QUEUED, nowMS)
}

// waitAgain returns the job in the given waiting state, unless a late report or a cancellation has ended it.
func waitAgain(row *jobpb.JobRow, state jobpb.State, nowMS int64) Job {
	if row.GetAnswered() {
		return withState(row, jobpb.State_DONE, nowMS)
	}
	if row.GetCancelWanted() {
		return withState(row, jobpb.State_CANCELLED, nowMS)
	}
	return withState(row, state, nowMS)
}

// withState returns the job in the state, without a counted run; a final state gets the end time.
func withState(row *jobpb.JobRow, state jobpb.State, nowMS int64) Job {
	row.State = state
	row.Counted = false
	jb := New(row)
	if jb.Ended() {
		row.EndedMs = nowMS
	}
	return jb
}

func recordFailedWorker(row *jobpb.JobRow) {
	if !slices.Contains(row.GetFailedOn(), row.GetWorker()) {
		row.FailedOn = append(row.FailedOn, row.GetWorker())
	}
}
