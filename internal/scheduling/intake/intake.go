package intake

import (
	"cmp"
	"context"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/membership/ownership"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/jobwork"
	"github.com/fulmarloft/fulmarloft/internal/store/rowstore"
	"github.com/fulmarloft/fulmarloft/internal/store/seenversion"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Intake stores jobs and reads their states; it is safe for concurrent use.
type Intake struct {
	st *rowstore.Store
	// versions tells which rows were written before a call began.
	versions *seenversion.Tracker
	// mayForbid reports whether a cancellation of an unknown job may write its row.
	mayForbid func() bool

	mu          sync.Mutex
	finalStates map[string]workpb.State
}

// Tables of the jobs and of what is kept of ended ones, partitioned by job id, and of the jobs' progress and its further parts, in the partition of the scheduling owner.
const (
	JobsTable     = "jobs"
	EndedTable    = "ended"
	ProgressTable = "progress"
	PartsTable    = "progress-parts"
)

const (
	cancelSuffix = ".cancel"
	// idDigits are the digits of job ids.
	idDigits = "0123456789abcdef"
	// firstTimeoutMS is how long the first commit of a submission waits for its answer before the commit is repeated; secondTimeoutMS covers a store that is sixty times slower than normal.
	firstTimeoutMS  = 400
	secondTimeoutMS = 1100
	// submitTimeoutMS bounds a submission including the resolution of its outcome; callers wait for about three seconds.
	submitTimeoutMS = 2400
	// refuseAttempts is how many times the commit of a refusal is tried; with firstTimeoutMS each, they leave time for the submission that follows if none was taken.
	refuseAttempts = 3
	// conflictTry is the index of the commit of a submission that is made only if all before it certainly failed and the last one met a changed row.
	conflictTry = 2
	// resolvePauseMS is the pause between two attempts to resolve an outcome.
	resolvePauseMS = 100
	// maxFinalStates limits the cache of final states, which is cleared when full.
	maxFinalStates = 20000
)

// New returns an intake that uses the store.
func New(st *rowstore.Store) *Intake {
	versions := seenversion.New()
	return &Intake{st: versions.Store(st), versions: versions, mayForbid: func() bool { return true }, finalStates: map[string]workpb.State{}}
}

// WithVersions sets the tracker of a store that the intake uses like the rest of the process, so that it knows of the versions in answers to all calls.
func (in *Intake) WithVersions(versions *seenversion.Tracker) *Intake {
	in.versions = versions
	return in
}

// Partition returns the partition that contains a job's row.
func Partition(id string) string { return "j" + strings.ToLower(id[:1]) }

// Partitions returns the partitions that Partition distinguishes.
func Partitions() []string {
	out := make([]string, 0, len(idDigits))
	for _, digit := range idDigits {
		out = append(out, Partition(string(digit)))
	}
	return out
}

// KeyPrefix returns what the keys of a partition that Partition distinguishes begin with.
func KeyPrefix(partition string) string { return strings.TrimPrefix(partition, "j") }

// CancelKey returns the key of the row that marks a job as cancelled.
func CancelKey(id string) string { return id + cancelSuffix }

// CancelledID returns the id of the job that a key of the jobs table cancels, and whether the key is a CancelKey.
func CancelledID(key string) (string, bool) { return strings.CutSuffix(key, cancelSuffix) }

// Submit stores a job unless one with the same id is stored already; a refused one is replaced, and its first attempt kept.
//
// An error with code.TableUnavailable means that this submission is not stored and never will be, code.JobImpossible that the store takes no row like it; code.TableInDoubt means that it may be stored.
func (in *Intake) Submit(ctx context.Context, jb *workpb.Job) error {
	_, err := in.SubmitUnless(ctx, jb, func(int64) bool { return false })
	return err
}

// SubmitUnless stores a job as Submit does, or its refusal as Refuse does if hopeless says so, and reports whether the refusal was stored. hopeless is called with the time of the first attempt: that of this one and, if a refused row turns out to hold an earlier one, with that.
//
// If the store certainly took nothing of a refusal, the submission goes on as if none had been decided. It is carried through even if the caller's context ends, so that its outcome is known.
func (in *Intake) SubmitUnless(caller context.Context, jb *workpb.Job, hopeless func(firstTriedMS int64) bool) (refused bool, err error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(caller), submitTimeoutMS*time.Millisecond)
	defer cancel()
	// The known version is taken before any call: the answers to an attempted refusal show rows that other copies of this submission wrote meanwhile.
	sb := &submission{jb: jb, knownVersion: in.versions.Newest(), callerGone: func() bool { return caller.Err() != nil }, hopeless: hopeless}
	if hopeless(jb.GetAcceptedMs()) {
		return in.refuseOrSubmit(ctx, sb, 0)
	}
	return in.submit(ctx, sb)
}

// submission is one call that submits a job.
type submission struct {
	jb *workpb.Job
	// knownVersion is the newest version of the store that the process knew of when the call began.
	knownVersion int64
	// callerGone reports whether the caller has disconnected.
	callerGone func() bool
	hopeless   func(firstTriedMS int64) bool
}

// mayReplace reports whether the submission may replace a refused row of a version. The row must have been written before the call: a newer one is the refusal of another copy of the submission, whose caller was told that the job doesn't run. Nor is it replaced for a caller that has disconnected, which may have sent the other copy since: an entry that was frozen finds such calls waiting.
func (sb *submission) mayReplace(version int64) bool {
	return version <= sb.knownVersion && !sb.callerGone()
}

func (in *Intake) submit(ctx context.Context, sb *submission) (refused bool, err error) {
	version := int64(0)
	inDoubt := false
	for try, timeoutMS := range []int64{firstTimeoutMS, secondTimeoutMS, firstTimeoutMS} {
		// A third commit is needed if the owner deletes the refused row before the second one, which then certainly fails.
		if try == conflictTry && (inDoubt || code.Of(err) != code.Conflict) {
			break
		}
		raw, marshalErr := proto.Marshal(sb.jb)
		if marshalErr != nil {
			return false, code.Internal.Wrap(marshalErr)
		}
		var current []rowstore.Row
		current, err = in.commitWithTimeout(ctx, in.jobTx(sb.jb, version, raw), timeoutMS)
		switch code.Of(err) {
		case code.OK:
			return false, nil
		case code.Conflict:
			stored, storedVersion := storedJob(current)
			if stored != nil && !stored.GetRefused() {
				return false, nil
			}
			if stored != nil && !sb.mayReplace(storedVersion) {
				return false, in.withdrawn(ctx, sb.jb, inDoubt)
			}
			version = storedVersion
			if keepFirstAttempt(sb.jb, stored) && !inDoubt && sb.hopeless(sb.jb.GetFirstTriedMs()) {
				return in.refuseOrSubmit(ctx, sb, version)
			}
		case code.TableInDoubt:
			inDoubt = true
		case code.TableRefused:
			if !inDoubt {
				return false, code.JobImpossible.Wrap(err)
			}
		}
	}
	if inDoubt {
		return false, in.resolveInDoubt(ctx, sb.jb)
	}
	if code.Of(err) == code.Conflict {
		return false, code.TableInDoubt.Wrap(err)
	}
	return false, code.TableUnavailable.Wrap(err)
}

// refuseOrSubmit refuses a job whose refused row has the given version, 0 for none, or submits it if the store certainly took nothing of the refusal.
func (in *Intake) refuseOrSubmit(ctx context.Context, sb *submission, version int64) (refused bool, err error) {
	refused, err = in.refuse(ctx, sb.jb, version)
	if code.Of(err) != code.TableUnavailable {
		return refused, err
	}
	sb.hopeless = func(int64) bool { return false }
	return in.submit(ctx, sb)
}

// withdrawn returns the error of a submission of which another copy was refused while it was under way.
func (in *Intake) withdrawn(ctx context.Context, jb *workpb.Job, inDoubt bool) error {
	if inDoubt {
		return in.resolveInDoubt(ctx, jb)
	}
	return code.TableUnavailable.New("submission withdrawn: another copy of it was refused meanwhile")
}

// Refuse stores that a submission is refused, so that no copy of it that is under way to the store can be stored any more, and reports whether it did; it doesn't if the job is accepted already. The first attempt of a job that was refused before is kept.
//
// An error with code.TableUnavailable means that the store certainly took nothing; code.TableInDoubt means that the row may be stored.
func (in *Intake) Refuse(ctx context.Context, jb *workpb.Job) (refused bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeoutMS*time.Millisecond)
	defer cancel()
	return in.refuse(ctx, jb, 0)
}

// refuse writes a refused row in place of one with the given version, 0 for none. A refused row that is there already is written anew, since a copy of the submission that is under way may require its version.
func (in *Intake) refuse(ctx context.Context, jb *workpb.Job, version int64) (refused bool, err error) {
	inDoubt := false
	for range refuseAttempts {
		raw, marshalErr := proto.Marshal(refusedRow(jb))
		if marshalErr != nil {
			return false, code.Internal.Wrap(marshalErr)
		}
		var current []rowstore.Row
		current, err = in.commitWithTimeout(ctx, in.jobTx(jb, version, raw), firstTimeoutMS)
		switch code.Of(err) {
		case code.OK:
			return true, nil
		case code.Conflict:
			stored, storedVersion := storedJob(current)
			if stored != nil && !stored.GetRefused() {
				return false, nil
			}
			version = storedVersion
			keepFirstAttempt(jb, stored)
		case code.TableInDoubt:
			inDoubt = true
		}
	}
	if inDoubt || code.Of(err) == code.Conflict {
		return false, code.TableInDoubt.Wrap(err)
	}
	return false, code.TableUnavailable.Wrap(err)
}

// refusedRow returns the row of a refused job: what the owner needs to count its work as arrived, and the first attempt.
func refusedRow(jb *workpb.Job) *workpb.Job {
	return &workpb.Job{
		Id: jb.GetId(), Refused: true, Queue: jb.GetQueue(), Team: jb.GetTeam(),
		WorkCoreMs: jobwork.CoreMS(jb.GetSteps()), FirstTriedMs: cmp.Or(jb.GetFirstTriedMs(), jb.GetAcceptedMs()),
	}
}

// keepFirstAttempt takes over the first attempt from a refused row, and reports whether the row holds one. Clocks of entries differ, so it may seem to be later than this attempt.
func keepFirstAttempt(jb, stored *workpb.Job) bool {
	if stored.GetFirstTriedMs() <= 0 {
		return false
	}
	jb.FirstTriedMs = min(stored.GetFirstTriedMs(), jb.GetAcceptedMs())
	return true
}

// commitWithTimeout commits a transaction and returns the current rows on a conflict.
func (in *Intake) commitWithTimeout(ctx context.Context, tx *rowstore.Tx, timeoutMS int64) ([]rowstore.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(timeoutMS)*time.Millisecond)
	defer cancel()
	_, current, err := in.st.Commit(ctx, tx)
	return current, err
}

// jobTx returns a transaction that writes a job row if the row still has the given version and the job isn't among the ended ones.
func (in *Intake) jobTx(jb *workpb.Job, version int64, raw []byte) *rowstore.Tx {
	id := jb.GetId()
	return rowstore.NewTx(Partition(id)).Require(JobsTable, id, version).Require(EndedTable, id, 0).Put(JobsTable, id, raw)
}

// resolveInDoubt determines the outcome of a commit that got no answer. It keeps trying until the time for the submission is over, since callers can't safely repeat a submission whose outcome they don't know.
func (in *Intake) resolveInDoubt(ctx context.Context, jb *workpb.Job) error {
	for {
		err := in.resolveOnce(ctx, jb)
		if code.Of(err) != code.TableInDoubt || ctx.Err() != nil {
			return err
		}
		select {
		case <-time.After(resolvePauseMS * time.Millisecond):
		case <-ctx.Done():
			return err
		}
	}
}

// resolveOnce reads the job back. If it isn't accepted, it writes the job as refused under the version that it read, so that the version check of a late commit fails; a refused row that is there already may be the very one that the late commit requires. The first attempt that such a row holds is kept.
func (in *Intake) resolveOnce(ctx context.Context, jb *workpb.Job) error {
	rw, ok, err := in.st.Get(ctx, JobsTable, Partition(jb.GetId()), jb.GetId())
	if err != nil {
		return code.TableInDoubt.Wrap(err)
	}
	if ok && accepted([]rowstore.Row{rw}) {
		return nil
	}
	stored, _ := storedJob([]rowstore.Row{rw})
	if ok && stored == nil {
		return code.TableInDoubt.New("cannot decode row %s", rw.Key())
	}
	current, err := in.forbid(ctx, jb.GetId(), stored, rw.Version(), firstTimeoutMS)
	switch {
	case err == nil:
		return code.TableUnavailable.New("submission withdrawn: its commit got no answer")
	case code.Of(err) == code.Conflict && accepted(current):
		return nil
	default:
		return code.TableInDoubt.Wrap(err)
	}
}

// forbid writes a job as refused under the version of its row, 0 for none, so that the version check of each commit of a submission that is under way fails. refused is the refusal that is there already, whose content is kept, or nil. It returns the current rows on a conflict.
func (in *Intake) forbid(ctx context.Context, id string, refused *workpb.Job, version, timeoutMS int64) ([]rowstore.Row, error) {
	if refused.GetId() != id {
		refused = &workpb.Job{Id: id, Refused: true, FirstTriedMs: refused.GetFirstTriedMs()}
	}
	raw, err := proto.Marshal(refused)
	if err != nil {
		return nil, code.Internal.Wrap(err)
	}
	return in.commitWithTimeout(ctx, in.jobTx(refused, version, raw), timeoutMS)
}

// accepted reports whether rows hold an accepted job.
func accepted(list []rowstore.Row) bool {
	stored, _ := storedJob(list)
	return stored != nil && !stored.GetRefused()
}

// storedJob returns the first job with a value among the rows, nil if there is none or it is unreadable, and its row version.
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

// get returns a stored job and its row version.
func (in *Intake) get(ctx context.Context, id string) (*workpb.Job, int64, error) {
	stored, version, err := in.stored(ctx, id)
	if err != nil {
		return nil, 0, err
	}
	if stored == nil || stored.GetRefused() {
		return nil, 0, code.JobUnknown.New("job %q does not exist", id)
	}
	return stored, version, nil
}

// stored returns a job, which some time after its end is found in another table, or its refusal, and the row version; it returns nil and the version of the unreadable row, 0 for none, if there is neither.
func (in *Intake) stored(ctx context.Context, id string) (*workpb.Job, int64, error) {
	rw, _, err := in.st.Get(ctx, JobsTable, Partition(id), id)
	if err != nil {
		return nil, 0, err
	}
	jb, version := storedJob([]rowstore.Row{rw})
	if jb != nil && !jb.GetRefused() {
		return jb, version, nil
	}
	rw, _, err = in.st.Get(ctx, EndedTable, Partition(id), id)
	if err != nil {
		return nil, 0, err
	}
	if ended, endedVersion := storedJob([]rowstore.Row{rw}); ended != nil {
		return ended, endedVersion, nil
	}
	return jb, version, nil
}

// State returns a job's state. An error with code.JobUnknown means that the job does not exist.
func (in *Intake) State(ctx context.Context, id string) (workpb.State, error) {
	if st, ok := in.cachedFinalState(id); ok {
		return st, nil
	}
	rw, ok, err := in.st.Get(ctx, ProgressTable, ownership.Partition, id)
	if err != nil {
		return 0, err
	}
	if ok {
		pg := &workpb.Progress{}
		if err := proto.Unmarshal(rw.Value(), pg); err != nil {
			return 0, code.Internal.New("cannot decode row %s: %w", rw.Key(), err)
		}
		in.cacheFinalState(id, pg.GetState())
		return pg.GetState(), nil
	}
	stored, _, err := in.get(ctx, id)
	if err != nil {
		return 0, err
	}
	in.cacheFinalState(id, stored.GetEnded())
	return stored.GetEnded(), nil
}

// Payload returns the payload of a stored job. An error with code.JobUnknown means that the job does not exist.
func (in *Intake) Payload(ctx context.Context, id string) (string, error) {
	stored, _, err := in.get(ctx, id)
	return stored.GetPayload(), err
}

// Final reports whether a state is final.
func Final(st workpb.State) bool {
	return st == workpb.State_COMPLETED || st == workpb.State_FAILED || st == workpb.State_CANCELLED
}

func (in *Intake) cachedFinalState(id string) (workpb.State, bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	st, ok := in.finalStates[id]
	return st, ok
}

func (in *Intake) cacheFinalState(id string, st workpb.State) {
	if !Final(st) {
		return
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	if len(in.finalStates) >= maxFinalStates {
		clear(in.finalStates)
	}
	in.finalStates[id] = st
}
