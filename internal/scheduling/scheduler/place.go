package scheduler

import (
	"context"
	"sort"

	"github.com/fulmarloft/fulmarloft/internal/scheduling/job"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/placement"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/reclaim"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/size"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// place selects jobs by team share and workers by free capacity, commits the starts in batches and sends those that were committed.
func (sc *Scheduler) place(ctx context.Context) error {
	if _, ok := sc.Teams(); !ok {
		return nil
	}
	sc.st.picker.SetTotal(sc.st.index.Total())
	recs := sc.plan()
	for len(recs) > 0 {
		chunk := recs[:min(len(recs), batchSize)]
		recs = recs[len(chunk):]
		done, err := sc.commit(ctx, chunk)
		if err != nil {
			sc.dropPlannedStarts(recs)
			return err
		}
		if done {
			sc.sendStarts(ctx, chunk)
		}
	}
	return nil
}

// plan selects the jobs to start now and reserves capacity for them on their workers.
func (sc *Scheduler) plan() []*record {
	var recs []*record
	planned := map[string]int64{}
	sc.st.picker.BeginRound()
	for len(recs) < maxStartsPerStep {
		name, id, _, ok := sc.st.picker.Next()
		if !ok {
			break
		}
		rec := sc.st.jobs[id]
		need := sc.need(rec)
		if sc.st.dirty[id] != nil || sc.counter(name).running+planned[name] >= int64(sc.st.teams[name].JobLimit()) {
			sc.st.picker.Skip(name, id)
			continue
		}
		vm, ok := sc.chooseWorker(rec, need)
		if !ok {
			sc.st.picker.Skip(name, id)
			sc.holdOrPreempt(rec, need)
			continue
		}
		if !sc.reserveStart(rec, vm, need) {
			sc.st.picker.Skip(name, id)
			continue
		}
		planned[name]++
		recs = append(recs, rec)
	}
	return recs
}

func (sc *Scheduler) reserveStart(rec *record, vm string, need size.Size) bool {
	incarnation := sc.workerState(vm).incarnation
	if _, err := rec.view.Start(vm, incarnation, need); err != nil {
		return false
	}
	rec.planned = true
	sc.applyTransition(rec, func(jb job.Job) job.Job {
		next, err := jb.Start(vm, incarnation, need)
		if err != nil {
			return jb
		}
		return next
	})
	return true
}

// chooseWorker returns a worker for the job: the one held for it, a quarantined one that is due for a trial run, or else the best fit.
func (sc *Scheduler) chooseWorker(rec *record, need size.Size) (string, bool) {
	if vm, ok := sc.heldWorker(rec, need); ok {
		return vm, true
	}
	if vm, ok := sc.trialWorker(rec, need); ok {
		return vm, true
	}
	for {
		vm, ok := sc.st.index.Place(rec.team(), need, rec.view.Row().GetFailedOn())
		if !ok {
			return "", false
		}
		if sc.Condition(vm) != nil {
			return vm, true
		}
		sc.st.index.Block(vm, placement.Unavailable, true)
	}
}

func (sc *Scheduler) heldWorker(rec *record, need size.Size) (string, bool) {
	vm := rec.heldWorker
	if vm == "" {
		return "", false
	}
	if sc.st.index.Blocked(vm) != 0 || sc.Condition(vm) == nil {
		sc.unholdWorker(rec)
		return "", false
	}
	return vm, sc.st.index.FitsOn(vm, need)
}

// trialWorker returns a quarantined worker that is due for a trial run. Only idempotent jobs of the normal class are used for trials, since the run may well fail.
func (sc *Scheduler) trialWorker(rec *record, need size.Size) (string, bool) {
	if rec.view.Urgent() || !rec.view.Row().GetIdempotent() {
		return "", false
	}
	for _, vm := range sc.st.ledger.QuarantinedWorkers() {
		if !sc.st.ledger.TrialDue(vm) || sc.st.index.Blocked(vm) != placement.Quarantined || !need.Fits(sc.st.index.Free(vm)) || sc.Condition(vm) == nil {
			continue
		}
		sc.st.ledger.BeginTrial(vm, rec.id())
		rec.onTrial = true
		return vm, true
	}
	return "", false
}

// sendStarts sends committed starts to their workers. A start is not sent later than startDeadlineMS after its commit, while a drain that began in between still waits for the run. Jobs that provably didn't start are queued again.
func (sc *Scheduler) sendStarts(ctx context.Context, recs []*record) {
	now := sc.Clock.Now()
	var list []*call
	for _, rec := range recs {
		if now > rec.commitStartedMS+startDeadlineMS || !sc.withinJobLimit(rec) {
			sc.applyTransition(rec, func(jb job.Job) job.Job { return jb.RevertStart(now) })
			continue
		}
		list = append(list, &call{rec: rec, verb: verbStart})
	}
	sc.sendCalls(ctx, list)
	for _, cl := range list {
		sc.handleStart(cl)
	}
}

// withinJobLimit reports whether the number of running jobs of the team is within the limit currently in force.
func (sc *Scheduler) withinJobLimit(rec *record) bool {
	teams, ok := sc.Teams()
	if !ok {
		return false
	}
	for _, tm := range teams {
		if tm.Name() == rec.team() {
			return sc.counter(rec.team()).running <= int64(tm.JobLimit())
		}
	}
	return false
}

func (sc *Scheduler) handleStart(cl *call) {
	rec, now := cl.rec, sc.Clock.Now()
	if code.Of(cl.err) == code.LeaseLapsed {
		return
	}
	if cl.err != nil && provenNotRun(cl.err) {
		sc.applyTransition(rec, func(jb job.Job) job.Job { return jb.RevertStart(now) })
		return
	}
	leaseMS, _ := sc.Timing()
	rec.sentEpoch, rec.renewStopped = rec.view.Row().GetEpoch(), false
	rec.lastAnswerMS = now
	rec.nextRenewMS = now + leaseMS/renewsPerLease
	sc.scheduleRun(rec)
	waited := now - rec.waitingSinceMS
	sc.Metric.Observe(waited, "jobs", "team", rec.team(), "wait-ms")
	sc.Metric.Observe(waited, "jobs", "class", className(rec), "wait-ms")
	sc.Log.Info("run-started", "job", rec.id(), "team", rec.team(), "worker", rec.view.Row().GetWorker(), "run", rec.view.Row().GetRun(), "wait-ms", waited)
}

// holdOrPreempt holds a worker for a job that doesn't fit anywhere. For an urgent job it preempts normal runs at once; otherwise, after holdAfterMS, it holds a worker until enough of its runs have ended.
func (sc *Scheduler) holdOrPreempt(rec *record, need size.Size) {
	if rec.heldWorker != "" {
		return
	}
	if rec.view.Urgent() && sc.preempt(rec, need) {
		return
	}
	if sc.Clock.Now() < rec.waitingSinceMS+holdAfterMS || sc.st.heldByTeam[rec.team()] > 0 {
		return
	}
	if vm, ok := sc.st.index.Hold(rec.id(), need); ok {
		sc.holdWorker(rec, vm)
		sc.Log.Info("worker-kept", "job", rec.id(), "team", rec.team(), "worker", vm)
	}
}

// preempt checkpoints normal runs on one worker to free capacity for an urgent job, choosing the sampled worker that needs the fewest victims. Victims belong to the job's own team or to teams whose weighted share doesn't fall below that team's.
func (sc *Scheduler) preempt(rec *record, need size.Size) bool {
	var best []*record
	var vm string
	for _, name := range sc.victimTeams(rec.team()) {
		samples := 0
		for _, victim := range sc.st.preemptible[name] {
			if samples == maxVictimSamples {
				break
			}
			samples++
			list, ok := sc.victimsOn(rec, victim.worker, need)
			if ok && (vm == "" || len(list) < len(best)) {
				best, vm = list, victim.worker
			}
		}
		if vm != "" {
			break
		}
	}
	if vm == "" {
		return false
	}
	sc.holdWorker(rec, vm)
	sc.st.index.HoldOn(rec.id(), rec.heldWorker)
	sc.workerState(rec.heldWorker).urgentNeeds[rec.id()] = need
	for _, victim := range best {
		sc.setCommand(victim, reclaim.Checkpoint)
		sc.Metric.Count(1, "jobs", "team", victim.team(), "displaced")
		sc.Log.Info("run-displaced", "job", victim.id(), "team", victim.team(), "worker", victim.worker, "for", rec.id())
	}
	return true
}

// victimTeams returns the teams with preemptible runs by descending weighted share, with the job's own team last.
func (sc *Scheduler) victimTeams(own string) []string {
	var names []string
	for name, recs := range sc.st.preemptible {
		if len(recs) > 0 {
			names = append(names, name)
		}
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := names[i], names[j]
		if (a == own) != (b == own) {
			return b == own
		}
		if x, y := sc.st.picker.WeightedShare(a), sc.st.picker.WeightedShare(b); x != y {
			return x > y
		}
		return a < b
	})
	return names
}

// expectedFree returns the free capacity of a worker after all runs that are being checkpointed or stopped have ended, minus the sizes of the urgent jobs for which it is held.
func (sc *Scheduler) expectedFree(ws *workerState) size.Size {
	free := sc.st.index.Free(ws.name)
	for _, rec := range ws.runs {
		if rec.command == reclaim.Checkpoint || rec.command == reclaim.Stop {
			free = free.Plus(rec.reserved)
		}
	}
	for _, need := range ws.urgentNeeds {
		free = free.Minus(need)
	}
	return free
}

// victimsOn returns the runs to preempt on the worker so that the need fits, largest first, or false if it can't fit.
func (sc *Scheduler) victimsOn(rec *record, vm string, need size.Size) ([]*record, bool) {
	ws := sc.workerState(vm)
	if sc.st.index.Blocked(vm) != 0 || (sc.st.index.Held(vm) && len(ws.urgentNeeds) == 0) || sc.Condition(vm) == nil {
		return nil, false
	}
	var list []*record
	for _, victim := range ws.runs {
		if victim.preemptible() && victim.command == "" && sc.st.picker.MayPreempt(rec.team(), need, victim.team(), victim.reserved) {
			list = append(list, victim)
		}
	}
	capacity := sc.st.index.Capacity(vm)
	sort.Slice(list, func(i, j int) bool {
		if x, y := list[i].reserved.Dominant(capacity), list[j].reserved.Dominant(capacity); x != y {
			return x > y
		}
		return list[i].id() < list[j].id()
	})
	free := sc.expectedFree(ws)
	for i, victim := range list {
		if need.Fits(free) {
			return list[:i], true
		}
		free = free.Plus(victim.reserved)
	}
	return list, need.Fits(free)
}
