package scheduler

import (
	"strings"

	"github.com/fulmarloft/fulmarloft/internal/job"
	"github.com/fulmarloft/fulmarloft/internal/jobpb"
	"github.com/fulmarloft/fulmarloft/internal/lease"
	"github.com/fulmarloft/fulmarloft/internal/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/size"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

type step func(jb job.Job) job.Job

// record is one job as the table has it, with the steps that the table doesn't know yet.
type record struct {
	stored    job.Job
	version   uint64
	steps     []step
	view      job.Job
	planned   bool
	sentEpoch uint64
	askedMS   int64
	untilMS   int64
	answerMS  int64
	renewMS   int64
	silent    bool
	order     string
	orderMS   int64
	orderedMS int64
	reserved  size.Size
	worker    string
	queued    bool
	waitsMS   int64
	peak      size.Size
	learntMS  int64
	holds     string
	trial     bool
}

// dropStart takes back a planned start, which is always the first step that the table doesn't know.
func (rec *record) dropStart() {
	if rec.planned {
		rec.planned, rec.steps = false, rec.steps[1:]
	}
}

// replay applies the steps that the table doesn't know to what it has.
func (rec *record) replay() {
	rec.view = rec.stored
	for _, sp := range rec.steps {
		rec.view = sp(rec.view)
	}
}

func (rec *record) id() string { return rec.view.Row().GetId() }

func (rec *record) team() string { return rec.view.Row().GetTeam() }

// displaceable reports whether the run may be checkpointed in favour of an urgent one.
func (rec *record) displaceable() bool {
	row := rec.view.Row()
	return rec.view.Active() && row.GetIdempotent() && row.GetClass() == jobpb.Class_NORMAL && !rec.unwanted()
}

// unwanted reports whether the run is to be stopped.
func (rec *record) unwanted() bool {
	return rec.view.Active() && (rec.view.Row().GetCancelWanted() || rec.view.Row().GetAnswered())
}

// adopt takes a row of the table as the truth and applies again what the table doesn't know; a planned start is dropped.
func (sc *Scheduler) adopt(row *platformpb.Row) error {
	id := strings.TrimPrefix(row.GetKey(), job.KeyPrefix)
	rec, known := sc.st.jobs[id]
	if row.GetVersion() == 0 {
		if known {
			sc.remove(rec)
		}
		return nil
	}
	jb, err := job.Parse(row.GetValue())
	if err != nil {
		return err
	}
	if !known {
		rec = &record{waitsMS: sc.Clock.Now()}
		sc.st.jobs[id] = rec
		sc.st.lg.Recall(id, jb.Row().GetFailedOn())
	}
	rec.dropStart()
	rec.stored, rec.version = jb, row.GetVersion()
	rec.replay()
	sc.noteSender(rec, row.GetOperation())
	sc.sync(rec)
	return nil
}

// noteSender takes a start that another holder or an earlier term committed as sent, and one of this term as still to be sent.
func (sc *Scheduler) noteSender(rec *record, operation string) {
	epoch := rec.stored.Row().GetEpoch()
	if epoch <= rec.sentEpoch || !rec.stored.Active() {
		return
	}
	if strings.HasPrefix(operation, sc.prefix()) {
		sc.st.unsent[rec.id()] = rec
		return
	}
	now := sc.Clock.Now()
	rec.sentEpoch, rec.silent = epoch, false
	rec.answerMS, rec.renewMS = now, now
	rec.untilMS = now + lease.OutwaitMS(OutageLeaseMS)
}

// touch applies a step to what is known of the job and notes that the table must hear of it.
func (sc *Scheduler) touch(rec *record, sp step) {
	next := sp(rec.view)
	if next.Row() == rec.view.Row() {
		return
	}
	rec.steps = append(rec.steps, sp)
	rec.view = next
	sc.sync(rec)
}

// sync brings queues, reservations and the lists of runs in line with the job's state.
func (sc *Scheduler) sync(rec *record) {
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
	sc.schedule(rec)
}

func (sc *Scheduler) reserve(rec *record) {
	st := sc.st
	rec.worker, rec.reserved = rec.view.Row().GetWorker(), rec.view.Reserved()
	st.ix.Reserve(rec.worker, rec.team(), rec.reserved)
	if rec.queued {
		rec.queued = false
		st.pk.Start(rec.team(), rec.id(), rec.reserved)
	} else {
		st.pk.AddRunning(rec.team(), rec.reserved)
	}
	hs := sc.host(rec.worker)
	hs.runs[rec.id()] = rec
	sc.scheduleHost(hs)
	rec.peak = size.Size{}
}

func (sc *Scheduler) release(rec *record) {
	st := sc.st
	st.ix.Release(rec.worker, rec.team(), rec.reserved)
	st.pk.RemoveRunning(rec.team(), rec.reserved)
	st.ld.Drop(rec.worker, rec.id())
	delete(sc.host(rec.worker).runs, rec.id())
	if rec.trial {
		st.lg.EndTrial(rec.worker)
		rec.trial = false
	}
	rec.worker, rec.order = "", ""
	rec.waitsMS = sc.Clock.Now()
}

func (sc *Scheduler) syncQueue(rec *record) {
	waiting := rec.view.Waiting()
	if waiting == rec.queued {
		return
	}
	rec.queued = waiting
	if !waiting {
		sc.st.pk.Drop(rec.team(), rec.id())
		return
	}
	sc.st.pk.Push(rec.team(), rec.id(), rec.view.Urgent(), rec.view.Row().GetSubmittedMs(), sc.need(rec))
}

func (sc *Scheduler) syncLists(rec *record) {
	st := sc.st
	if rec.displaceable() {
		if st.lenient[rec.team()] == nil {
			st.lenient[rec.team()] = map[string]*record{}
		}
		st.lenient[rec.team()][rec.id()] = rec
	} else {
		delete(st.lenient[rec.team()], rec.id())
	}
	if !rec.view.Waiting() {
		sc.unkeep(rec)
	}
	if rec.view.Ended() && rec.stored.Ended() {
		st.lg.Forget(rec.id())
	}
	if rec.view.State() == jobpb.State_LOST {
		_, memoryMS := sc.Timing()
		hs := sc.host(rec.view.Row().GetWorker())
		hs.watchMS = max(hs.watchMS, rec.view.Row().GetEndedMs()+memoryMS)
		sc.scheduleHost(hs)
	}
}

func (sc *Scheduler) remove(rec *record) {
	id := rec.id()
	if rec.worker != "" {
		sc.release(rec)
	}
	if rec.queued {
		sc.st.pk.Drop(rec.team(), id)
	}
	sc.unkeep(rec)
	delete(sc.st.lenient[rec.team()], id)
	delete(sc.st.dirty, id)
	delete(sc.st.unsent, id)
	sc.st.runsDue.Drop(id)
	delete(sc.st.jobs, id)
	sc.st.lg.Forget(id)
}

// keep holds a worker for the job.
func (sc *Scheduler) keep(rec *record, vm string) {
	rec.holds = vm
	sc.st.keeps[rec.team()]++
}

func (sc *Scheduler) unkeep(rec *record) {
	if rec.holds == "" {
		return
	}
	hs := sc.host(rec.holds)
	delete(hs.kept, rec.id())
	if len(hs.kept) == 0 {
		sc.st.ix.Unhold(rec.holds)
	}
	rec.holds = ""
	sc.st.keeps[rec.team()]--
}

// need returns the size to reserve: the declared one corrected by observed use, within what some VM offers.
func (sc *Scheduler) need(rec *record) size.Size {
	declared := rec.view.Declared()
	return sc.st.sh.Cap(sc.learnt.Correct(rec.team(), className(rec), declared), declared)
}

func className(rec *record) string { return strings.ToLower(rec.view.Row().GetClass().String()) }

// refused reports whether an error proves that the worker did nothing.
func refused(err error) bool {
	cd := code.Of(err)
	return cd >= code.KeyMissing && cd < code.MayHaveRun
}
