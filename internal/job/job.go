package job

import (
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/jobpb"
	"github.com/fulmarloft/fulmarloft/internal/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/size"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Job is the value of one job row; its steps return a changed copy and leave the receiver as it was.
type Job struct {
	row *jobpb.JobRow
}

// KeyPrefix precedes the job's id in the table.
const KeyPrefix = "job/"

// States that a worker reports of a run.
const (
	ReportRunning      = "running"
	ReportDone         = "done"
	ReportFailed       = "failed"
	ReportStopped      = "stopped"
	ReportCheckpointed = "checkpointed"
	ReportUnknown      = "unknown"
)

const runSeparator = "~"

// New returns the job of a row, which must not be changed afterwards.
func New(row *jobpb.JobRow) Job { return Job{row: row} }

// Parse returns the job of a stored value.
func Parse(raw []byte) (Job, error) {
	row := &jobpb.JobRow{}
	if err := proto.Unmarshal(raw, row); err != nil {
		return Job{}, code.Internal.Wrap(err)
	}
	return New(row), nil
}

// IDOfRun returns the id of the job that a run belongs to, or false for a foreign run id.
func IDOfRun(run string) (string, bool) {
	at := strings.LastIndex(run, runSeparator)
	if at <= 0 {
		return "", false
	}
	return run[:at], true
}

// Bytes returns the value to store.
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

// Urgent reports whether the job is of the urgent class.
func (jb Job) Urgent() bool { return jb.row.GetClass() == jobpb.Class_URGENT }

// Declared returns the sizes that the caller declared.
func (jb Job) Declared() size.Size {
	return size.New(jb.row.GetCoresMilli(), jb.row.GetMemoryMb(), jb.row.GetAccelerators())
}

// Reserved returns the sizes that the job holds on its worker.
func (jb Job) Reserved() size.Size {
	return size.New(jb.row.GetReservedCoresMilli(), jb.row.GetReservedMemoryMb(), jb.row.GetAccelerators())
}

// Ended reports whether no further run will start.
func (jb Job) Ended() bool { return !jb.Waiting() && !jb.Active() }

// Waiting reports whether the job waits for a worker.
func (jb Job) Waiting() bool {
	return jb.State() == jobpb.State_QUEUED || jb.State() == jobpb.State_CHECKPOINTED
}

// Active reports whether a run of the job may be on a worker under its lease.
func (jb Job) Active() bool {
	return jb.State() == jobpb.State_STARTING || jb.State() == jobpb.State_RUNNING
}

// Start returns the job with a new run on the worker VM's incarnation; a non-idempotent job of which a run was begun is refused.
func (jb Job) Start(worker, incarnation string, reserved size.Size) (Job, error) {
	if !jb.Waiting() || jb.row.GetCancelWanted() {
		return jb, code.Conflict.New("job %s is %s", jb.row.GetId(), jb.StateName())
	}
	if !jb.row.GetIdempotent() && jb.row.GetAttempts() > 0 {
		return jb, code.Conflict.New("job %s has run", jb.row.GetId())
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

// RevertStart returns the job after proof that the worker did not start the current run; the attempt isn't counted.
func (jb Job) RevertStart(nowMS int64) Job {
	if jb.State() != jobpb.State_STARTING {
		return jb
	}
	row := proto.CloneOf(jb.row)
	row.Attempts--
	return paused(row, jobpb.State_QUEUED, nowMS)
}

// ApplyReport returns the job after a worker's word about one of its runs, whenever and however often it comes.
func (jb Job) ApplyReport(rep *platformpb.TaskReport, nowMS int64) Job {
	id, ok := IDOfRun(rep.GetRun())
	if !ok || id != jb.row.GetId() || jb.row.GetEpoch() == 0 || rep.GetEpoch() > jb.row.GetEpoch() {
		return jb
	}
	if rep.GetRun() == jb.row.GetRun() && rep.GetEpoch() == jb.row.GetEpoch() && jb.Active() {
		return jb.current(rep, nowMS)
	}
	return jb.late(rep, nowMS)
}

// ExpireLease returns the job after its last lease surely ended without a word about the run's end.
func (jb Job) ExpireLease(nowMS int64) Job {
	if !jb.Active() {
		return jb
	}
	row := proto.CloneOf(jb.row)
	switch {
	case row.GetAnswered():
		return settle(row, jobpb.State_DONE, nowMS)
	case !row.GetIdempotent():
		return settle(row, jobpb.State_LOST, nowMS)
	case row.GetCancelWanted():
		return settle(row, jobpb.State_CANCELLED, nowMS)
	}
	noteFailure(row)
	return settle(row, jobpb.State_QUEUED, nowMS)
}

// Cancel returns the job with its cancellation done, or noted when a run must end first.
func (jb Job) Cancel(nowMS int64) Job {
	if jb.Ended() || jb.row.GetCancelWanted() {
		return jb
	}
	row := proto.CloneOf(jb.row)
	row.CancelWanted = true
	if jb.Waiting() {
		return settle(row, jobpb.State_CANCELLED, nowMS)
	}
	return New(row)
}

// EndUnrunnable returns the waiting job ended as impossible or poisonous; a job in another state is unchanged.
func (jb Job) EndUnrunnable(state jobpb.State, nowMS int64) Job {
	if !jb.Waiting() {
		return jb
	}
	return settle(proto.CloneOf(jb.row), state, nowMS)
}

func (jb Job) current(rep *platformpb.TaskReport, nowMS int64) Job {
	row := proto.CloneOf(jb.row)
	switch rep.GetState() {
	case ReportRunning:
		row.State = jobpb.State_RUNNING
		return New(row)
	case ReportDone:
		return settle(row, jobpb.State_DONE, nowMS)
	case ReportFailed:
		return failed(row, nowMS)
	case ReportStopped:
		return stopped(row, nowMS)
	case ReportCheckpointed:
		return checkpointed(row, nowMS)
	}
	return jb
}

func (jb Job) late(rep *platformpb.TaskReport, nowMS int64) Job {
	if rep.GetState() != ReportDone {
		return jb.lateFailure(rep, nowMS)
	}
	row := proto.CloneOf(jb.row)
	switch jb.State() {
	case jobpb.State_LOST, jobpb.State_CANCELLED, jobpb.State_QUEUED, jobpb.State_CHECKPOINTED:
		return settle(row, jobpb.State_DONE, nowMS)
	case jobpb.State_STARTING, jobpb.State_RUNNING:
		row.Answered = true
		return New(row)
	}
	return jb
}

func (jb Job) lateFailure(rep *platformpb.TaskReport, nowMS int64) Job {
	if rep.GetState() != ReportFailed || jb.State() != jobpb.State_LOST {
		return jb
	}
	return settle(proto.CloneOf(jb.row), jobpb.State_FAILED, nowMS)
}

func failed(row *jobpb.JobRow, nowMS int64) Job {
	noteFailure(row)
	if row.GetAnswered() {
		return settle(row, jobpb.State_DONE, nowMS)
	}
	if !row.GetIdempotent() {
		return settle(row, jobpb.State_FAILED, nowMS)
	}
	return paused(row, jobpb.State_QUEUED, nowMS)
}

func checkpointed(row *jobpb.JobRow, nowMS int64) Job {
	if !row.GetIdempotent() {
		return stopped(row, nowMS)
	}
	return paused(row, jobpb.State_CHECKPOINTED, nowMS)
}

func stopped(row *jobpb.JobRow, nowMS int64) Job {
	if !row.GetIdempotent() && !row.GetCancelWanted() && !row.GetAnswered() {
		return settle(row, jobpb.State_LOST, nowMS)
	}
	return paused(row, jobpb.State_QUEUED, nowMS)
}

func paused(row *jobpb.JobRow, state jobpb.State, nowMS int64) Job {
	if row.GetAnswered() {
		return settle(row, jobpb.State_DONE, nowMS)
	}
	if row.GetCancelWanted() {
		return settle(row, jobpb.State_CANCELLED, nowMS)
	}
	return settle(row, state, nowMS)
}

func settle(row *jobpb.JobRow, state jobpb.State, nowMS int64) Job {
	row.State = state
	row.Counted = false
	jb := New(row)
	if jb.Ended() {
		row.EndedMs = nowMS
	}
	return jb
}

func noteFailure(row *jobpb.JobRow) {
	if !slices.Contains(row.GetFailedOn(), row.GetWorker()) {
		row.FailedOn = append(row.FailedOn, row.GetWorker())
	}
}
