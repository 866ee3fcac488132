package scheduler

import (
	"context"

	"golang.org/x/sync/errgroup"

	"github.com/fulmarloft/fulmarloft/internal/membership/lease"
	"github.com/fulmarloft/fulmarloft/internal/pb/jobpb"
	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/job"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/placement"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/reclaim"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/size"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// workerState is the scheduler's state for one worker VM.
type workerState struct {
	name       string
	runs       map[string]*record
	nextPollMS int64
	// Time until which the worker is polled for late reports of lost runs.
	lateReportsUntilMS int64
	lastListedMS       int64
	leaving            bool
	// Set while the last call to the worker failed.
	unreachable bool
	// Time at which the drain was first seen, 0 if the VM isn't draining.
	drainSinceMS int64
	// Incarnation of the VM in the last list.
	incarnation string
	// Version of the VM's row on which a placement conflicted; none is tried again until the row changes.
	conflictVersion uint64
	// Sizes of the urgent jobs for which runs on this worker were preempted, by job id.
	urgentNeeds map[string]size.Size
}

// call is a command to a worker with its result.
type call struct {
	rec  *record
	verb string
	rep  *platformpb.TaskReport
	err  error
}

const (
	verbStart    = "start"
	verbRenew    = "renew"
	milliPerCore = 1000
)

func (sc *Scheduler) workerState(name string) *workerState {
	ws, ok := sc.st.workers[name]
	if !ok {
		ws = &workerState{name: name, runs: map[string]*record{}, urgentNeeds: map[string]size.Size{}}
		sc.st.workers[name] = ws
	}
	return ws
}

// followRuns polls workers, renews run leases, sends due commands and ends runs whose leases have certainly expired on their workers. It doesn't need the table.
func (sc *Scheduler) followRuns(ctx context.Context) {
	sc.detectTableOutage()
	sc.poll(ctx)
	now := sc.Clock.Now()
	var recs []*record
	for _, id := range sc.st.runsDue.PopDue(now) {
		if rec := sc.st.jobs[id]; rec.inFlight() {
			recs = append(recs, rec)
		}
	}
	var list []*call
	for _, rec := range recs {
		if cl := sc.dueCall(rec, now); cl != nil {
			list = append(list, cl)
		}
	}
	sc.sendCalls(ctx, list)
	sc.expireLeases(recs)
	for _, rec := range recs {
		sc.scheduleRun(rec)
	}
}

// detectTableOutage detects the start and end of a table outage and schedules the renewal of all run leases at both, since the lease length changes.
func (sc *Scheduler) detectTableOutage() {
	now := sc.Clock.Now()
	outage := now > sc.st.tableReachedMS+outageAfterMS
	if outage == sc.st.tableOutage {
		return
	}
	sc.st.tableOutage = outage
	sc.Log.Info("jobs-table-outage", "outage", outage)
	for _, rec := range sc.st.jobs {
		if rec.inFlight() {
			rec.nextRenewMS = now
			sc.scheduleRun(rec)
		}
	}
}

// inFlight reports whether the start of the current run was sent and the run hasn't ended.
func (rec *record) inFlight() bool {
	return rec != nil && rec.view.Active() && rec.sentEpoch == rec.view.Row().GetEpoch()
}

// scheduleRun sets the time at which the run needs its next command or its lease has certainly expired.
func (sc *Scheduler) scheduleRun(rec *record) {
	if !rec.inFlight() {
		sc.st.runsDue.Remove(rec.id())
		return
	}
	next := rec.leaseExpiryMS
	if rec.command != "" || rec.unwanted() {
		next = min(next, rec.commandSentMS+pollIntervalMS)
	}
	if !rec.renewStopped && sc.renewable(rec, rec.nextRenewMS) {
		next = min(next, rec.nextRenewMS)
	}
	sc.st.runsDue.Set(rec.id(), next)
}

// renewable reports whether a renewal may be sent: the worker has answered within the length of a lease, or an unanswered renewal wouldn't delay the time after which the lease has certainly expired.
func (sc *Scheduler) renewable(rec *record, now int64) bool {
	lengthMS, _ := sc.Timing()
	return now < rec.lastAnswerMS+lengthMS || now+2*sendTimeoutMS+lease.ExpiredAfterMS(sc.runLeaseMS()) < rec.leaseExpiryMS
}

// dueCall returns the call to make for the run now, or nil if none is due.
func (sc *Scheduler) dueCall(rec *record, now int64) *call {
	leaseMS, _ := sc.Timing()
	if verb := sc.dueVerb(rec, now); verb != "" && now >= rec.commandSentMS+pollIntervalMS {
		rec.commandSentMS = now
		return &call{rec: rec, verb: verb}
	}
	if rec.renewStopped || now < rec.nextRenewMS || !sc.renewable(rec, now) {
		return nil
	}
	rec.nextRenewMS = now + leaseMS/renewsPerLease
	return &call{rec: rec, verb: verbRenew}
}

// dueVerb returns the verb to send for the run: stop for an unwanted run and for a checkpoint not done within checkpointTimeoutMS, else the command set.
func (sc *Scheduler) dueVerb(rec *record, now int64) string {
	if rec.unwanted() {
		return reclaim.Stop
	}
	if rec.command == reclaim.Checkpoint && now >= rec.commandSetMS+checkpointTimeoutMS {
		return reclaim.Stop
	}
	return rec.command
}

// sendCalls makes the calls concurrently, each only if the scheduler lease is held, and handles the results one after the other.
func (sc *Scheduler) sendCalls(ctx context.Context, list []*call) {
	gr := errgroup.Group{}
	gr.SetLimit(sc.Parallel)
	for _, cl := range list {
		tk := sc.newTask(cl.rec, cl.verb)
		vm := cl.rec.view.Row().GetWorker()
		gr.Go(func() error {
			if !sc.Held() {
				cl.err = code.LeaseLapsed
				return nil
			}
			sub, cancel := sc.Clock.WithTimeout(ctx, sendTimeoutMS)
			defer cancel()
			cl.rep, cl.err = sc.Send(sub, vm, tk)
			return nil
		})
	}
	_ = gr.Wait()
	for _, cl := range list {
		sc.handleAnswer(cl)
	}
}

func (sc *Scheduler) newTask(rec *record, verb string) *platformpb.Task {
	row := rec.view.Row()
	return &platformpb.Task{
		Run: row.GetRun(), Epoch: row.GetEpoch(), Team: row.GetTeam(), Job: row.GetId(),
		Cores: float64(row.GetReservedCoresMilli()) / milliPerCore, MemoryMb: uint64(row.GetReservedMemoryMb()),
		Accelerators: uint32(row.GetAccelerators()), RunMs: row.GetRunMs(), LeaseMs: sc.runLeaseMS(), Verb: verb,
	}
}

func (sc *Scheduler) handleAnswer(cl *call) {
	rec, now := cl.rec, sc.Clock.Now()
	if code.Of(cl.err) == code.LeaseLapsed {
		return
	}
	if cl.verb == verbRenew || cl.verb == verbStart {
		rec.extendLease(now, sc.runLeaseMS(), cl.err)
	}
	if cl.err != nil {
		sc.markUnreachable(sc.workerState(rec.view.Row().GetWorker()))
		return
	}
	rec.lastAnswerMS = now
	sc.handleReport(rec, cl.rep, true)
}

// extendLease updates the expiry of the run's lease after a call that grants one. A successful call replaces the previous lease. A call without an answer may have reached the worker as late as its timeout, so it can only move the expiry later.
func (rec *record) extendLease(nowMS, leaseMS int64, err error) {
	until := nowMS + lease.ExpiredAfterMS(leaseMS)
	switch {
	case err == nil:
		rec.leaseExpiryMS = until
	case !provenNotRun(err):
		rec.leaseExpiryMS = max(rec.leaseExpiryMS, until+sendTimeoutMS)
	}
}

// handleReport applies a worker's report of a run. Only a direct answer to a call, not a poll, can say that the worker doesn't know the run.
func (sc *Scheduler) handleReport(rec *record, rep *platformpb.TaskReport, direct bool) {
	row := rec.view.Row()
	current := rep.GetRun() == row.GetRun() && rep.GetEpoch() == row.GetEpoch() && rec.view.Active()
	now := sc.Clock.Now()
	if current && direct && rep.GetState() == job.ReportUnknown {
		sc.handleUnknownRun(rec)
		return
	}
	if current {
		sc.observeUsage(rec, rep)
	}
	worker := rec.worker
	sc.applyTransition(rec, func(jb job.Job) job.Job { return jb.ApplyReport(rep, now) })
	if current {
		sc.recordResult(rec, worker, rep.GetState())
	}
	if rec.view.Ended() && rec.view.Row() != row {
		sc.Log.Info("job-ended", "job", rec.id(), "team", rec.team(), "state", rec.view.StateName(), "run", rep.GetRun(), "late", !current)
	}
}

// handleUnknownRun handles a worker's answer that it doesn't know the run. A run once reported as running has ended. Otherwise the start may still be in transit, so the run is kept until a lease granted by that start would have expired.
func (sc *Scheduler) handleUnknownRun(rec *record) {
	if rec.view.State() == jobpb.State_RUNNING {
		sc.expireRuns(rec.worker, []*record{rec})
		return
	}
	if rec.renewStopped {
		return
	}
	leaseMS, _ := sc.Timing()
	rec.renewStopped = true
	rec.leaseExpiryMS = sc.Clock.Now() + sendTimeoutMS + lease.ExpiredAfterMS(leaseMS)
}

func (sc *Scheduler) recordResult(rec *record, worker, state string) {
	switch state {
	case job.ReportDone:
		sc.st.ledger.RecordSuccess(worker, rec.id())
		sc.Metric.Count(1, "jobs", "team", rec.team(), "done")
	case job.ReportFailed:
		sc.st.ledger.RecordFailure(worker, rec.id())
		sc.Metric.Count(1, "jobs", "team", rec.team(), "failed")
		sc.endIfUnrunnable(rec)
	}
	sc.st.index.Block(worker, placement.Quarantined, sc.st.ledger.Quarantined(worker))
}

// observeUsage records the resources that a run uses, and passes its peak to the estimator every observeIntervalMS and when the run is done.
func (sc *Scheduler) observeUsage(rec *record, rep *platformpb.TaskReport) {
	if rep.GetState() != job.ReportRunning {
		if rep.GetState() == job.ReportDone {
			sc.estimator.Observe(rec.team(), className(rec), rec.view.Declared(), rec.peak)
		}
		return
	}
	used := size.OfCores(rep.GetUsedCores(), int64(rep.GetUsedMemoryMb()), rec.view.Row().GetAccelerators())
	rec.peak = rec.peak.Max(used)
	sc.st.ladder.Observe(rec.worker, rec.id(), rec.view.Urgent(), rec.view.Row().GetIdempotent(), rec.reserved, used)
	now := sc.Clock.Now()
	if now >= rec.observedMS+observeIntervalMS {
		rec.observedMS = now
		sc.estimator.Observe(rec.team(), className(rec), rec.view.Declared(), rec.peak)
	}
}

// observeIntervalMS is the interval between two observations of one run by the estimator.
const observeIntervalMS = 60 * 1000

// poll fetches the reports of workers that have runs, may still report a lost run, or didn't answer the last call.
func (sc *Scheduler) poll(ctx context.Context) {
	now := sc.Clock.Now()
	pause := max(pollIntervalMS, pollIntervalPerWorkerMS*int64(len(sc.st.workers)))
	var due []*workerState
	for _, name := range sc.st.workersDue.PopDue(now) {
		ws := sc.st.workers[name]
		if ws == nil || !ws.needsPoll(now) {
			continue
		}
		ws.nextPollMS = now + pause
		if len(ws.runs) == 0 {
			ws.nextPollMS = now + max(pause, idlePollIntervalMS)
		}
		due = append(due, ws)
	}
	replies := make([]*platformpb.TaskReports, len(due))
	gr := errgroup.Group{}
	gr.SetLimit(sc.Parallel)
	for i, ws := range due {
		gr.Go(func() error {
			sub, cancel := sc.Clock.WithTimeout(ctx, sendTimeoutMS)
			defer cancel()
			if rep, err := sc.Reports(sub, ws.name); err == nil {
				replies[i] = rep
			}
			return nil
		})
	}
	_ = gr.Wait()
	for i, ws := range due {
		sc.handlePoll(ws, replies[i])
		sc.scheduleWorker(ws)
	}
}

// needsPoll reports whether the worker has to be polled: for its runs, for late reports, or to learn when it answers again.
func (ws *workerState) needsPoll(now int64) bool {
	return len(ws.runs) > 0 || now <= ws.lateReportsUntilMS || ws.unreachable
}

func (sc *Scheduler) scheduleWorker(ws *workerState) {
	if ws.needsPoll(sc.Clock.Now()) {
		sc.st.workersDue.Set(ws.name, ws.nextPollMS)
	}
}

func (sc *Scheduler) handlePoll(ws *workerState, reps *platformpb.TaskReports) {
	if reps == nil {
		sc.markUnreachable(ws)
		return
	}
	ws.unreachable = false
	sc.st.index.Block(ws.name, placement.Unreachable, false)
	for _, rep := range reps.GetReports() {
		id, _ := job.IDOfRun(rep.GetRun())
		if rec, ok := sc.st.jobs[id]; ok {
			sc.handleReport(rec, rep, false)
		}
	}
	sc.reclaimOverCapacity(ws)
}

// reclaimOverCapacity blocks new work on a worker that is over capacity, and sets the commands that reclaim resources from the runs that cause it.
func (sc *Scheduler) reclaimOverCapacity(ws *workerState) {
	capacity := sc.st.index.Capacity(ws.name)
	if capacity == (size.Size{}) {
		return
	}
	overCapacity := !sc.st.ladder.Used(ws.name).Fits(capacity)
	sc.st.index.Block(ws.name, placement.OverCapacity, overCapacity)
	for id, verb := range sc.st.ladder.Decide(ws.name, capacity) {
		rec, ok := ws.runs[id]
		if !ok {
			continue
		}
		sc.setCommand(rec, verb)
		sc.Metric.Count(1, "jobs", "reclaim", verb)
		sc.Log.Info("run-reclaimed", "job", id, "team", rec.team(), "worker", ws.name, "verb", verb)
	}
}

func (sc *Scheduler) setCommand(rec *record, verb string) {
	rec.command, rec.commandSetMS, rec.commandSentMS = verb, sc.Clock.Now(), 0
	sc.scheduleRun(rec)
}

func (sc *Scheduler) markUnreachable(ws *workerState) {
	ws.unreachable = true
	sc.scheduleWorker(ws)
	sc.st.index.Block(ws.name, placement.Unreachable, true)
}

// expireLeases ends those of the runs whose leases have certainly expired on their workers.
func (sc *Scheduler) expireLeases(recs []*record) {
	now := sc.Clock.Now()
	expired := map[string][]*record{}
	for _, rec := range recs {
		if rec.inFlight() && now >= rec.leaseExpiryMS {
			expired[rec.worker] = append(expired[rec.worker], rec)
		}
	}
	for worker, list := range expired {
		sc.expireRuns(worker, list)
	}
}

// expireRuns ends runs on one worker that ended without a report. It records them as a single failure, so that the worker is blamed once.
func (sc *Scheduler) expireRuns(worker string, recs []*record) {
	now := sc.Clock.Now()
	ids := make([]string, 0, len(recs))
	for _, rec := range recs {
		ids = append(ids, rec.id())
		sc.applyTransition(rec, func(jb job.Job) job.Job { return jb.ExpireLease(now) })
		sc.Metric.Count(1, "jobs", "team", rec.team(), "lapsed")
		sc.Log.Info("run-lapsed", "job", rec.id(), "team", rec.team(), "worker", worker, "state", rec.view.StateName())
	}
	sc.st.ledger.RecordFailure(worker, ids...)
	for _, rec := range recs {
		sc.endIfUnrunnable(rec)
	}
}
