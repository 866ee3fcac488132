package intake

import (
	"context"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/ownership"
	"github.com/fulmarloft/fulmarloft/internal/rowstore"
	"github.com/fulmarloft/fulmarloft/internal/workpb"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Intake stores jobs; it is safe for concurrent use.
type Intake struct {
	st *rowstore.Store

	mu    sync.Mutex
	final map[string]workpb.State
}

// Tables of jobs, by partition of the id, and of their progress, in the owner's partition.
const (
	JobsTable     = "jobs"
	ProgressTable = "progress"
)

const (
	cancelSuffix = ".cancel"
	// certainTries is how often a commit is tried that the store certainly didn't apply.
	certainTries = 2
	// firstPatienceMS is how long the first commit of a submission waits for its answer before the same is tried again; secondPatienceMS covers a store slowed down sixty times.
	firstPatienceMS  = 400
	secondPatienceMS = 1100
	// maxFinal bounds the memory of final states.
	maxFinal = 20000
)

// New returns an intake on a store.
func New(st *rowstore.Store) *Intake {
	return &Intake{st: st, final: map[string]workpb.State{}}
}

// Part returns the partition in which a job's row lies.
func Part(id string) string { return "j" + strings.ToLower(id[:1]) }

// CancelKey returns the key of the row that cancels a job.
func CancelKey(id string) string { return id + cancelSuffix }

// CancelledID returns the job that a key of the jobs' table cancels.
func CancelledID(key string) (string, bool) { return strings.CutSuffix(key, cancelSuffix) }

// Submit stores a job, once for its id.
//
// An error of code.TableUnavailable says that the job isn't stored and never will be; code.TableInDoubt leaves that open.
func (in *Intake) Submit(ctx context.Context, jb *workpb.Job) error {
	raw, err := proto.Marshal(jb)
	if err != nil {
		return code.Internal.Wrap(err)
	}
	version := int64(0)
	doubtful := false
	for _, patienceMS := range []int64{firstPatienceMS, secondPatienceMS} {
		var current []rowstore.Row
		current, err = in.try(ctx, in.tx(jb, version, raw), patienceMS)
		switch code.Of(err) {
		case code.OK:
			return nil
		case code.Conflict:
			stored, at := storedJob(current)
			if stored != nil && !stored.GetRefused() {
				return nil
			}
			version = at
		case code.TableInDoubt:
			doubtful = true
		}
	}
	if doubtful {
		return in.settle(jb, version, err)
	}
	if code.Of(err) == code.Conflict {
		return code.TableInDoubt.Wrap(err)
	}
	return code.TableUnavailable.Wrap(err)
}

func (in *Intake) try(ctx context.Context, tx *rowstore.Tx, patienceMS int64) ([]rowstore.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(patienceMS)*time.Millisecond)
	defer cancel()
	_, current, err := in.st.Commit(ctx, tx)
	return current, err
}

func (in *Intake) tx(jb *workpb.Job, version int64, raw []byte) *rowstore.Tx {
	return rowstore.NewTx(Part(jb.GetId())).Require(JobsTable, jb.GetId(), version).Put(JobsTable, jb.GetId(), raw)
}

// settle finds out what became of a commit without an answer; it writes the job as refused if that is needed to keep a late commit from taking effect.
func (in *Intake) settle(jb *workpb.Job, version int64, cause error) error {
	ctx := context.Background()
	rw, ok, err := in.st.Get(ctx, JobsTable, Part(jb.GetId()), jb.GetId())
	if err != nil {
		return code.TableInDoubt.Wrap(err)
	}
	if ok {
		if stored, at := storedJob([]rowstore.Row{rw}); stored != nil && !stored.GetRefused() {
			return nil
		} else if at != version {
			return code.TableInDoubt.Wrap(cause)
		}
	}
	raw, err := proto.Marshal(&workpb.Job{Id: jb.GetId(), Refused: true})
	if err != nil {
		return code.TableInDoubt.Wrap(err)
	}
	_, current, err := in.st.Commit(ctx, in.tx(jb, version, raw))
	if err == nil {
		return code.TableUnavailable.Wrap(cause)
	}
	if stored, _ := storedJob(current); code.Of(err) == code.Conflict && stored != nil && !stored.GetRefused() {
		return nil
	}
	return code.TableInDoubt.Wrap(err)
}

func storedJob(list []rowstore.Row) (*workpb.Job, int64) {
	for _, rw := range list {
		if len(rw.Value()) == 0 {
			continue
		}
		jb := &workpb.Job{}
		if err := proto.Unmarshal(rw.Value(), jb); err != nil {
			return nil, rw.Version()
		}
		return jb, rw.Version()
	}
	return nil, 0
}

// Cancel stores that a job is cancelled; code.JobUnknown says that there is no such job.
func (in *Intake) Cancel(ctx context.Context, id string) error {
	rw, ok, err := in.st.Get(ctx, JobsTable, Part(id), id)
	if err != nil {
		return err
	}
	if stored, _ := storedJob([]rowstore.Row{rw}); !ok || stored == nil || stored.GetRefused() {
		return code.JobUnknown.New("no job %s", id)
	}
	tx := rowstore.NewTx(Part(id)).Require(JobsTable, id, rw.Version()).Put(JobsTable, CancelKey(id), []byte{1})
	for range certainTries {
		_, _, err = in.st.Commit(ctx, tx)
		if err == nil {
			return nil
		}
	}
	return err
}

// State returns a job's state; code.JobUnknown says that there is no such job.
func (in *Intake) State(ctx context.Context, id string) (workpb.State, error) {
	if st, ok := in.finalState(id); ok {
		return st, nil
	}
	rw, ok, err := in.st.Get(ctx, ProgressTable, ownership.Part, id)
	if err != nil {
		return 0, err
	}
	if ok {
		pg := &workpb.Progress{}
		if err := proto.Unmarshal(rw.Value(), pg); err != nil {
			return 0, code.Internal.Wrap(err)
		}
		in.remember(id, pg.GetState())
		return pg.GetState(), nil
	}
	rw, ok, err = in.st.Get(ctx, JobsTable, Part(id), id)
	if err != nil {
		return 0, err
	}
	if stored, _ := storedJob([]rowstore.Row{rw}); !ok || stored == nil || stored.GetRefused() {
		return 0, code.JobUnknown.New("no job %s", id)
	}
	return workpb.State_QUEUED, nil
}

// Final reports whether a job's state doesn't change any more.
func Final(st workpb.State) bool {
	return st == workpb.State_COMPLETED || st == workpb.State_FAILED || st == workpb.State_CANCELLED
}

func (in *Intake) finalState(id string) (workpb.State, bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	st, ok := in.final[id]
	return st, ok
}

func (in *Intake) remember(id string, st workpb.State) {
	if !Final(st) {
		return
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	if len(in.final) >= maxFinal {
		clear(in.final)
	}
	in.final[id] = st
}
