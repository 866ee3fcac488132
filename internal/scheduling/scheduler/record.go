package scheduler

import (
	"strings"

	"github.com/fulmarloft/fulmarloft/internal/membership/lease"
	"github.com/fulmarloft/fulmarloft/internal/pb/jobpb"
	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/job"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/size"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// transition is a state transition of a job; it can be applied again to a newer row.
type transition func(jb job.Job) job.Job

// record is a job as stored in the table, together with the transitions that aren't stored yet.
type record struct {
	stored  job.Job
	version uint64
	pending []transition
	// Stored job with the pending transitions applied.
	view job.Job
	// Whether the first pending transition is a start that isn't committed yet.
	planned bool
	// Epoch of the last run whose start was sent.
	sentEpoch uint64
	// Time at which the last commit of the job was sent.
	commitStartedMS int64
	// Time after which the run's lease has certainly expired on its worker.
	leaseExpiryMS int64
	lastAnswerMS  int64
	nextRenewMS   int64
	// Set once the worker doesn't know a run that was never seen running; its lease is then left to expire.
	renewStopped bool
	// Verb that the worker is to be sent until the run ends, empty if there is none.
	command       string
	commandSetMS  int64
	commandSentMS int64
	// Size reserved on worker, which is empty if none is.
	reserved       size.Size
	worker         string
	queued         bool
	waitingSinceMS int64
	// Highest observed use of the run, and when it was last passed to the estimator.
	peak       size.Size
	observedMS int64
	// Worker held for the waiting job, empty if there is none.
	heldWorker string
	onTrial    bool
}

// dropPlannedStart discards a planned start, which is always the first pending transition.
func (rec *record) dropPlannedStart() {
	if rec.planned {
		rec.planned, rec.pending = false, rec.pending[1:]
	}
}

// applyPending recomputes the view from the stored job and the pending transitions.
func (rec *record) applyPending() {
	rec.view = rec.stored
	for _, tr := range rec.pending {
		rec.view = tr(rec.view)
	}
}

func (rec *record) id() string { return rec.view.Row().GetId() }

func (rec *record) team() string { return rec.view.Row().GetTeam() }

// preemptible reports whether the run may be checkpointed in favour of an urgent job.
func (rec *record) preemptible() bool {
	row := rec.view.Row()
	return rec.view.Active() && row.GetIdempotent() && row.GetClass() == jobpb.Class_NORMAL && !rec.unwanted()
}

// unwanted reports whether the run is to be stopped because its job was cancelled or already has an answer.
func (rec *record) unwanted() bool {
	return rec.view.Active() && (rec.view.Row().GetCancelWanted() || rec.view.Row().GetAnswered())
}

// applyJobRow replaces the stored job by a row of the table and applies the pending transitions again; a planned start is dropped.
func (sc *Scheduler) applyJobRow(row *platformpb.Row) error {
	id := strings.TrimPrefix(row.GetKey(), job.KeyPrefix)
	rec, known := sc.st.jobs[id]
	if row.GetVersion() == 0 {
		if known {
			sc.removeJob(rec)
		}
		return nil
	}
	jb, err := job.Parse(row.GetValue())
	if err != nil {
		return err
	}
	if !known {
		rec = &record{waitingSinceMS: sc.Clock.Now()}
		sc.st.jobs[id] = rec
		sc.st.ledger.RestoreFailures(id, jb.Row().GetFailedOn())
	}
	rec.dropPlannedStart()
	rec.stored, rec.version = jb, row.GetVersion()
	rec.applyPending()
	sc.handleStoredStart(rec, row.GetOperation())
	sc.syncJob(rec)
	return nil
}

// handleStoredStart queues a stored start for sending if this term committed it. A start committed by another holder or an earlier term counts as sent, with the longest lease that its holder may have granted.
func (sc *Scheduler) handleStoredStart(rec *record, operation string) {
	epoch := rec.stored.Row().GetEpoch()
	if epoch <= rec.sentEpoch || !rec.stored.Active() {
		return
	}
	if strings.HasPrefix(operation, sc.operationPrefix()) {
		sc.st.unsent[rec.id()] = rec
		return
	}
	now := sc.Clock.Now()
	rec.sentEpoch, rec.renewStopped = epoch, false
	rec.lastAnswerMS, rec.nextRenewMS = now, now
	rec.leaseExpiryMS = now + lease.ExpiredAfterMS(OutageLeaseMS)
}

// applyTransition applies a transition to the job and marks the job as dirty; a transition that changes nothing is dropped.
func (sc *Scheduler) applyTransition(rec *record, tr transition) {
	next := tr(rec.view)
	if next.Row() == rec.view.Row() {
		return
	}
	rec.pending = append(rec.pending, tr)
	rec.view = next
	sc.syncJob(rec)
}

// syncJob updates queues, reservations and run lists to match the job's state.
func (sc *Scheduler) syncJob(rec *record) {
	st := sc.st
	id := rec.id()
	if rec.view.Row() == rec.stored.Row() {
		delete(st.dirty, id)
	} else {
		st.dirty[id] = rec
	}
	if rec.worker != "" && (!rec.view.Active() || rec.worker != rec.view.Row().GetWorker()) {
		sc.release(rec)
	}
	if rec.view.Active() && rec.worker == "" {
		sc.reserve(rec)
	}
	sc.syncQueue(rec)
	sc.syncLists(rec)
	sc.scheduleRun(rec)
}

func (sc *Scheduler) reserve(rec *record) {
	st := sc.st
	rec.worker, rec.reserved = rec.view.Row().GetWorker(), rec.view.Reserved()
	st.index.Reserve(rec.worker, rec.team(), rec.reserved)
	if rec.queued {
		rec.queued = false
		st.picker.Start(rec.team(), rec.id(), rec.reserved)
	} else {
		st.picker.AddRunning(rec.team(), rec.reserved)
	}
	ws := sc.workerState(rec.worker)
	ws.runs[rec.id()] = rec
	sc.scheduleWorker(ws)
	rec.peak = size.Size{}
}

func (sc *Scheduler) release(rec *record) {
	st := sc.st
	st.index.Release(rec.worker, rec.team(), rec.reserved)
	st.picker.RemoveRunning(rec.team(), rec.reserved)
	st.ladder.Drop(rec.worker, rec.id())
	delete(sc.workerState(rec.worker).runs, rec.id())
	if rec.onTrial {
		st.ledger.EndTrial(rec.worker)
		rec.onTrial = false
	}
	rec.worker, rec.command = "", ""
	rec.waitingSinceMS = sc.Clock.Now()
}

func (sc *Scheduler) syncQueue(rec *record) {
	waiting := rec.view.Waiting()
	if waiting == rec.queued {
		return
	}
	rec.queued = waiting
	if !waiting {
		sc.st.picker.Drop(rec.team(), rec.id())
		return
	}
	sc.st.picker.Push(rec.team(), rec.id(), rec.view.Urgent(), rec.view.Row().GetSubmittedMs(), sc.need(rec))
}

func (sc *Scheduler) syncLists(rec *record) {
	st := sc.st
	if rec.preemptible() {
		if st.preemptible[rec.team()] == nil {
			st.preemptible[rec.team()] = map[string]*record{}
		}
		st.preemptible[rec.team()][rec.id()] = rec
	} else {
		delete(st.preemptible[rec.team()], rec.id())
	}
	if !rec.view.Waiting() {
		sc.unholdWorker(rec)
	}
	if rec.view.Ended() && rec.stored.Ended() {
		st.ledger.Forget(rec.id())
	}
	if rec.view.State() == jobpb.State_LOST {
		_, retentionMS := sc.Timing()
		ws := sc.workerState(rec.view.Row().GetWorker())
		ws.lateReportsUntilMS = max(ws.lateReportsUntilMS, rec.view.Row().GetEndedMs()+retentionMS)
		sc.scheduleWorker(ws)
	}
}

func (sc *Scheduler) removeJob(rec *record) {
	id := rec.id()
	if rec.worker != "" {
		sc.release(rec)
	}
	if rec.queued {
		sc.st.picker.Drop(rec.team(), id)
	}
	sc.unholdWorker(rec)
	delete(sc.st.preemptible[rec.team()], id)
	delete(sc.st.dirty, id)
	delete(sc.st.unsent, id)
	sc.st.runsDue.Remove(id)
	delete(sc.st.jobs, id)
	sc.st.ledger.Forget(id)
}

// holdWorker records that a worker is held for the job.
func (sc *Scheduler) holdWorker(rec *record, vm string) {
	rec.heldWorker = vm
	sc.st.heldByTeam[rec.team()]++
}

func (sc *Scheduler) unholdWorker(rec *record) {
	if rec.heldWorker == "" {
		return
	}
	ws := sc.workerState(rec.heldWorker)
	delete(ws.urgentNeeds, rec.id())
	if len(ws.urgentNeeds) == 0 {
		sc.st.index.Unhold(rec.heldWorker)
	}
	rec.heldWorker = ""
	sc.st.heldByTeam[rec.team()]--
}

// need returns the size to reserve: the declared size corrected by observed use, capped so that some VM still fits it.
func (sc *Scheduler) need(rec *record) size.Size {
	declared := rec.view.Declared()
	return sc.st.sizes.Cap(sc.estimator.Correct(rec.team(), className(rec), declared), declared)
}

func className(rec *record) string { return strings.ToLower(rec.view.Row().GetClass().String()) }

// provenNotRun reports whether an error proves that the worker did nothing.
func provenNotRun(err error) bool {
	cd := code.Of(err)
	return cd >= code.KeyMissing && cd < code.MayHaveRun
}
