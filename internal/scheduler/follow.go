package scheduler

import (
	"context"

	"golang.org/x/sync/errgroup"

	"github.com/fulmarloft/fulmarloft/internal/job"
	"github.com/fulmarloft/fulmarloft/internal/jobpb"
	"github.com/fulmarloft/fulmarloft/internal/lease"
	"github.com/fulmarloft/fulmarloft/internal/placement"
	"github.com/fulmarloft/fulmarloft/internal/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/reclaim"
	"github.com/fulmarloft/fulmarloft/internal/size"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// host is one worker VM as this holder sees it.
type host struct {
	name    string
	runs    map[string]*record
	pollMS  int64
	watchMS int64
	seenMS  int64
	leaving bool
	silent  bool
	// Time at which the drain was first seen, 0 while there is none.
	drainMS int64
	// Incarnation of the VM as last listed.
	incarnation string
	// Version of the VM's row on which a placement lost; no other is tried before it changes.
	stale uint64
	// Sizes of urgent jobs for which runs here give way.
	kept map[string]size.Size
}

// exchange is one order to a worker and its answer.
type exchange struct {
	rec  *record
	verb string
	rep  *platformpb.TaskReport
	err  error
}

const (
	verbStart = "start"
	verbRenew = "renew"
	coreMilli = 1000
)

func (sc *Scheduler) host(name string) *host {
	hs, ok := sc.st.hosts[name]
	if !ok {
		hs = &host{name: name, runs: map[string]*record{}, kept: map[string]size.Size{}}
		sc.st.hosts[name] = hs
	}
	return hs
}

// follow asks workers for the state of their runs, renews leases, gives the orders that are due and ends runs whose leases surely lapsed; it needs no table.
func (sc *Scheduler) follow(ctx context.Context) {
	sc.watchTable()
	sc.poll(ctx)
	now := sc.Clock.Now()
	var recs []*record
	for _, id := range sc.st.runsDue.Due(now) {
		if rec := sc.st.jobs[id]; rec.followed() {
			recs = append(recs, rec)
		}
	}
	var list []*exchange
	for _, rec := range recs {
		if ex := sc.due(rec, now); ex != nil {
			list = append(list, ex)
		}
	}
	sc.exchange(ctx, list)
	sc.expire(recs)
	for _, rec := range recs {
		sc.schedule(rec)
	}
}

// watchTable notes when the table hasn't been reached for a while, and has all leases renewed at the start and the end of such a time.
func (sc *Scheduler) watchTable() {
	now := sc.Clock.Now()
	outage := now > sc.st.tableMS+outageAfterMS
	if outage == sc.st.outage {
		return
	}
	sc.st.outage = outage
	sc.Log.Info("jobs-table-outage", "outage", outage)
	for _, rec := range sc.st.jobs {
		if rec.followed() {
			rec.renewMS = now
			sc.schedule(rec)
		}
	}
}

// followed reports whether the run was sent and hasn't ended.
func (rec *record) followed() bool {
	return rec != nil && rec.view.Active() && rec.sentEpoch == rec.view.Row().GetEpoch()
}

// schedule notes when a run next needs an order or its lease surely lapses.
func (sc *Scheduler) schedule(rec *record) {
	if !rec.followed() {
		sc.st.runsDue.Drop(rec.id())
		return
	}
	next := rec.untilMS
	if rec.order != "" || rec.unwanted() {
		next = min(next, rec.orderedMS+pollMS)
	}
	if !rec.silent && sc.renewable(rec, rec.renewMS) {
		next = min(next, rec.renewMS)
	}
	sc.st.runsDue.Set(rec.id(), next)
}

// renewable reports whether a renewal may be tried: the worker has answered within a lease's length, or a try without an answer wouldn't prolong what has to be outwaited anyway.
func (sc *Scheduler) renewable(rec *record, now int64) bool {
	lengthMS, _ := sc.Timing()
	return now < rec.answerMS+lengthMS || now+2*sendTimeoutMS+lease.OutwaitMS(sc.leaseMS()) < rec.untilMS
}

// due returns the order that a run must get now, nil when there is none.
func (sc *Scheduler) due(rec *record, now int64) *exchange {
	leaseMS, _ := sc.Timing()
	if verb := sc.orderOf(rec, now); verb != "" && now >= rec.orderedMS+pollMS {
		rec.orderedMS = now
		return &exchange{rec: rec, verb: verb}
	}
	if rec.silent || now < rec.renewMS || !sc.renewable(rec, now) {
		return nil
	}
	rec.renewMS = now + leaseMS/renewsPerLease
	return &exchange{rec: rec, verb: verbRenew}
}

// orderOf returns stop for an unwanted run, else what was decided for it; a checkpoint that doesn't come in time becomes a stop.
func (sc *Scheduler) orderOf(rec *record, now int64) string {
	if rec.unwanted() {
		return reclaim.Stop
	}
	if rec.order == reclaim.Checkpoint && now >= rec.orderMS+displaceMS {
		return reclaim.Stop
	}
	return rec.order
}

// exchange gives the orders in parallel, each only while the lease is held, and takes the answers in turn.
func (sc *Scheduler) exchange(ctx context.Context, list []*exchange) {
	gr := errgroup.Group{}
	gr.SetLimit(sc.Parallel)
	for _, ex := range list {
		tk := sc.task(ex.rec, ex.verb)
		vm := ex.rec.view.Row().GetWorker()
		gr.Go(func() error {
			if !sc.Held() {
				ex.err = code.LeaseLapsed
				return nil
			}
			sub, cancel := sc.Clock.WithTimeout(ctx, sendTimeoutMS)
			defer cancel()
			ex.rep, ex.err = sc.Send(sub, vm, tk)
			return nil
		})
	}
	_ = gr.Wait()
	for _, ex := range list {
		sc.answered(ex)
	}
}

func (sc *Scheduler) task(rec *record, verb string) *platformpb.Task {
	row := rec.view.Row()
	return &platformpb.Task{
		Run: row.GetRun(), Epoch: row.GetEpoch(), Team: row.GetTeam(), Job: row.GetId(),
		Cores: float64(row.GetReservedCoresMilli()) / coreMilli, MemoryMb: uint64(row.GetReservedMemoryMb()),
		Accelerators: uint32(row.GetAccelerators()), RunMs: row.GetRunMs(), LeaseMs: sc.leaseMS(), Verb: verb,
	}
}

func (sc *Scheduler) answered(ex *exchange) {
	rec, now := ex.rec, sc.Clock.Now()
	if code.Of(ex.err) == code.LeaseLapsed {
		return
	}
	if ex.verb == verbRenew || ex.verb == verbStart {
		rec.prolong(now, sc.leaseMS(), ex.err)
	}
	if ex.err != nil {
		sc.unreachable(sc.host(rec.view.Row().GetWorker()))
		return
	}
	rec.answerMS = now
	sc.report(rec, ex.rep, true)
}

// prolong notes until when the worker may run on after an order that gives a lease: an answered one replaces the lease before it, one without an answer may have arrived as late as its timeout.
func (rec *record) prolong(nowMS, leaseMS int64, err error) {
	until := nowMS + lease.OutwaitMS(leaseMS)
	switch {
	case err == nil:
		rec.untilMS = until
	case !refused(err):
		rec.untilMS = max(rec.untilMS, until+sendTimeoutMS)
	}
}

// report takes a worker's word about a run; only a direct answer says that the worker doesn't know it.
func (sc *Scheduler) report(rec *record, rep *platformpb.TaskReport, direct bool) {
	row := rec.view.Row()
	current := rep.GetRun() == row.GetRun() && rep.GetEpoch() == row.GetEpoch() && rec.view.Active()
	now := sc.Clock.Now()
	if current && direct && rep.GetState() == job.ReportUnknown {
		sc.unknown(rec)
		return
	}
	if current {
		sc.learn(rec, rep)
	}
	worker := rec.worker
	sc.touch(rec, func(jb job.Job) job.Job { return jb.Report(rep, now) })
	if current {
		sc.judge(rec, worker, rep.GetState())
	}
	if rec.view.Ended() && rec.view.Row() != row {
		sc.Log.Info("job-ended", "job", rec.id(), "team", rec.team(), "state", rec.view.Name(), "run", rep.GetRun(), "late", !current)
	}
}

// unknown ends a run that its worker was seen to have and has no more; of one that was never seen a start may still be on its way.
func (sc *Scheduler) unknown(rec *record) {
	if rec.view.State() == jobpb.State_RUNNING {
		sc.lapse(rec.worker, []*record{rec})
		return
	}
	if rec.silent {
		return
	}
	leaseMS, _ := sc.Timing()
	rec.silent = true
	rec.untilMS = sc.Clock.Now() + sendTimeoutMS + lease.OutwaitMS(leaseMS)
}

func (sc *Scheduler) judge(rec *record, worker, state string) {
	switch state {
	case job.ReportDone:
		sc.st.lg.Succeed(worker, rec.id())
		sc.Metric.Count(1, "jobs", "team", rec.team(), "done")
	case job.ReportFailed:
		sc.st.lg.Fail(worker, rec.id())
		sc.Metric.Count(1, "jobs", "team", rec.team(), "failed")
		sc.screen(rec)
	}
	sc.st.ix.Block(worker, placement.Quarantined, sc.st.lg.Quarantined(worker))
}

// learn notes what a run uses, and once a minute or at its end how that compares with what was declared.
func (sc *Scheduler) learn(rec *record, rep *platformpb.TaskReport) {
	if rep.GetState() != job.ReportRunning {
		if rep.GetState() == job.ReportDone {
			sc.learnt.Observe(rec.team(), className(rec), rec.view.Declared(), rec.peak)
		}
		return
	}
	used := size.OfCores(rep.GetUsedCores(), int64(rep.GetUsedMemoryMb()), rec.view.Row().GetAccelerators())
	rec.peak = rec.peak.Max(used)
	sc.st.ld.Observe(rec.worker, rec.id(), rec.view.Urgent(), rec.view.Row().GetIdempotent(), rec.reserved, used)
	now := sc.Clock.Now()
	if now >= rec.learntMS+learnPauseMS {
		rec.learntMS = now
		sc.learnt.Observe(rec.team(), className(rec), rec.view.Declared(), rec.peak)
	}
}

const learnPauseMS = 60 * 1000

// poll reads the reports of workers that have runs, may still bring a late answer, or didn't answer last time.
func (sc *Scheduler) poll(ctx context.Context) {
	now := sc.Clock.Now()
	pause := max(pollMS, pollPerHostMS*int64(len(sc.st.hosts)))
	var due []*host
	for _, name := range sc.st.hostsDue.Due(now) {
		hs := sc.st.hosts[name]
		if hs == nil || !hs.awaited(now) {
			continue
		}
		hs.pollMS = now + pause
		if len(hs.runs) == 0 {
			hs.pollMS = now + max(pause, watchMS)
		}
		due = append(due, hs)
	}
	replies := make([]*platformpb.TaskReports, len(due))
	gr := errgroup.Group{}
	gr.SetLimit(sc.Parallel)
	for i, hs := range due {
		gr.Go(func() error {
			sub, cancel := sc.Clock.WithTimeout(ctx, sendTimeoutMS)
			defer cancel()
			if rep, err := sc.Reports(sub, hs.name); err == nil {
				replies[i] = rep
			}
			return nil
		})
	}
	_ = gr.Wait()
	for i, hs := range due {
		sc.polled(hs, replies[i])
		sc.scheduleHost(hs)
	}
}

// awaited reports whether something of the worker's reports is of interest.
func (hs *host) awaited(now int64) bool {
	return len(hs.runs) > 0 || now <= hs.watchMS || hs.silent
}

func (sc *Scheduler) scheduleHost(hs *host) {
	if hs.awaited(sc.Clock.Now()) {
		sc.st.hostsDue.Set(hs.name, hs.pollMS)
	}
}

func (sc *Scheduler) polled(hs *host, reps *platformpb.TaskReports) {
	if reps == nil {
		sc.unreachable(hs)
		return
	}
	hs.silent = false
	sc.st.ix.Block(hs.name, placement.Unreachable, false)
	for _, rep := range reps.GetReports() {
		id, _ := job.IDOfRun(rep.GetRun())
		if rec, ok := sc.st.jobs[id]; ok {
			sc.report(rec, rep, false)
		}
	}
	sc.relieve(hs)
}

// relieve gives no work to an overrun worker and lets the runs that cause it give way.
func (sc *Scheduler) relieve(hs *host) {
	capacity := sc.st.ix.Capacity(hs.name)
	if capacity == (size.Size{}) {
		return
	}
	over := !sc.st.ld.Used(hs.name).Fits(capacity)
	sc.st.ix.Block(hs.name, placement.OverCapacity, over)
	for id, verb := range sc.st.ld.Decide(hs.name, capacity) {
		rec, ok := hs.runs[id]
		if !ok {
			continue
		}
		sc.command(rec, verb)
		sc.Metric.Count(1, "jobs", "reclaim", verb)
		sc.Log.Info("run-reclaimed", "job", id, "team", rec.team(), "worker", hs.name, "verb", verb)
	}
}

func (sc *Scheduler) command(rec *record, verb string) {
	rec.order, rec.orderMS, rec.orderedMS = verb, sc.Clock.Now(), 0
	sc.schedule(rec)
}

func (sc *Scheduler) unreachable(hs *host) {
	hs.silent = true
	sc.scheduleHost(hs)
	sc.st.ix.Block(hs.name, placement.Unreachable, true)
}

// expire ends those of the runs whose last lease has surely lapsed on their worker.
func (sc *Scheduler) expire(recs []*record) {
	now := sc.Clock.Now()
	lapsed := map[string][]*record{}
	for _, rec := range recs {
		if rec.followed() && now >= rec.untilMS {
			lapsed[rec.worker] = append(lapsed[rec.worker], rec)
		}
	}
	for worker, list := range lapsed {
		sc.lapse(worker, list)
	}
}

// lapse ends runs of one worker in one event, so that the worker is blamed once.
func (sc *Scheduler) lapse(worker string, recs []*record) {
	now := sc.Clock.Now()
	ids := make([]string, 0, len(recs))
	for _, rec := range recs {
		ids = append(ids, rec.id())
		sc.touch(rec, func(jb job.Job) job.Job { return jb.Lapse(now) })
		sc.Metric.Count(1, "jobs", "team", rec.team(), "lapsed")
		sc.Log.Info("run-lapsed", "job", rec.id(), "team", rec.team(), "worker", worker, "state", rec.view.Name())
	}
	sc.st.lg.Fail(worker, ids...)
	for _, rec := range recs {
		sc.screen(rec)
	}
}
