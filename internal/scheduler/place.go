package scheduler

import (
	"context"
	"sort"

	"github.com/fulmarloft/fulmarloft/internal/job"
	"github.com/fulmarloft/fulmarloft/internal/placement"
	"github.com/fulmarloft/fulmarloft/internal/reclaim"
	"github.com/fulmarloft/fulmarloft/internal/size"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// place chooses jobs by share and workers by free capacity, commits the starts in batches and sends what was committed.
func (sc *Scheduler) place(ctx context.Context) error {
	if _, ok := sc.Teams(); !ok {
		return nil
	}
	sc.st.pk.SetTotal(sc.st.ix.Total())
	recs := sc.plan()
	for len(recs) > 0 {
		part := recs[:min(len(recs), batchSize)]
		recs = recs[len(part):]
		done, err := sc.commit(ctx, part)
		if err != nil {
			sc.unplan(recs)
			return err
		}
		if done {
			sc.sendStarts(ctx, part)
		}
	}
	return nil
}

// plan returns the jobs to start now, reserved on their workers.
func (sc *Scheduler) plan() []*record {
	var recs []*record
	planned := map[string]int64{}
	sc.st.pk.BeginRound()
	for len(recs) < startsPerStep {
		name, id, _, ok := sc.st.pk.Next()
		if !ok {
			break
		}
		rec := sc.st.jobs[id]
		need := sc.need(rec)
		if sc.st.dirty[id] != nil || sc.counter(name).running+planned[name] >= int64(sc.st.teams[name].JobLimit()) {
			sc.st.pk.Skip(name, id)
			continue
		}
		vm, ok := sc.choose(rec, need)
		if !ok {
			sc.st.pk.Skip(name, id)
			sc.makeRoom(rec, need)
			continue
		}
		if !sc.reserveStart(rec, vm, need) {
			sc.st.pk.Skip(name, id)
			continue
		}
		planned[name]++
		recs = append(recs, rec)
	}
	return recs
}

func (sc *Scheduler) reserveStart(rec *record, vm string, need size.Size) bool {
	boot := sc.host(vm).incarnation
	if _, err := rec.view.Start(vm, boot, need); err != nil {
		return false
	}
	rec.planned = true
	sc.touch(rec, func(jb job.Job) job.Job {
		next, err := jb.Start(vm, boot, need)
		if err != nil {
			return jb
		}
		return next
	})
	return true
}

// choose returns a worker for the job: one kept for it, one that needs a trial run, or the best that is free.
func (sc *Scheduler) choose(rec *record, need size.Size) (string, bool) {
	if vm, ok := sc.kept(rec, need); ok {
		return vm, true
	}
	if vm, ok := sc.trialWorker(rec, need); ok {
		return vm, true
	}
	for {
		vm, ok := sc.st.ix.Place(rec.team(), need, rec.view.Row().GetFailedOn())
		if !ok {
			return "", false
		}
		if sc.Condition(vm) != nil {
			return vm, true
		}
		sc.st.ix.Block(vm, placement.Unavailable, true)
	}
}

func (sc *Scheduler) kept(rec *record, need size.Size) (string, bool) {
	vm := rec.holds
	if vm == "" {
		return "", false
	}
	if sc.st.ix.Blocked(vm) != 0 || sc.Condition(vm) == nil {
		sc.unkeep(rec)
		return "", false
	}
	return vm, sc.st.ix.FitsOn(vm, need)
}

// trialWorker returns a quarantined worker that is due for a trial; only normal idempotent jobs are risked on one.
func (sc *Scheduler) trialWorker(rec *record, need size.Size) (string, bool) {
	if rec.view.Urgent() || !rec.view.Row().GetIdempotent() {
		return "", false
	}
	for _, vm := range sc.st.lg.Out() {
		if !sc.st.lg.TrialDue(vm) || sc.st.ix.Blocked(vm) != placement.Quarantined || !need.Fits(sc.st.ix.Free(vm)) || sc.Condition(vm) == nil {
			continue
		}
		sc.st.lg.BeginTrial(vm)
		rec.trial = true
		return vm, true
	}
	return "", false
}

// sendStarts gives committed runs to their workers, as long as a drain that began after the commit still waits for them; what surely didn't start is queued again.
func (sc *Scheduler) sendStarts(ctx context.Context, recs []*record) {
	now := sc.Clock.Now()
	var list []*exchange
	for _, rec := range recs {
		if now > rec.askedMS+startWithinMS || !sc.allowed(rec) {
			sc.touch(rec, func(jb job.Job) job.Job { return jb.Refuse(now) })
			continue
		}
		list = append(list, &exchange{rec: rec, verb: verbStart})
	}
	sc.exchange(ctx, list)
	for _, ex := range list {
		sc.started(ex)
	}
}

// allowed reports whether the team's limit in force at this moment still covers all that it runs.
func (sc *Scheduler) allowed(rec *record) bool {
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

func (sc *Scheduler) started(ex *exchange) {
	rec, now := ex.rec, sc.Clock.Now()
	if code.Of(ex.err) == code.LeaseLapsed {
		return
	}
	if ex.err != nil && refused(ex.err) {
		sc.touch(rec, func(jb job.Job) job.Job { return jb.Refuse(now) })
		return
	}
	leaseMS, _ := sc.Timing()
	rec.sentEpoch, rec.silent = rec.view.Row().GetEpoch(), false
	rec.answerMS = now
	rec.renewMS = now + leaseMS/renewsPerLease
	sc.schedule(rec)
	waited := now - rec.waitsMS
	sc.Metric.Observe(waited, "jobs", "team", rec.team(), "wait-ms")
	sc.Metric.Observe(waited, "jobs", "class", className(rec), "wait-ms")
	sc.Log.Info("run-started", "job", rec.id(), "team", rec.team(), "worker", rec.view.Row().GetWorker(), "run", rec.view.Row().GetRun(), "wait-ms", waited)
}

// makeRoom keeps a worker for a job that doesn't fit: at once with checkpoints of lower work for an urgent one, after a while by waiting for any other.
func (sc *Scheduler) makeRoom(rec *record, need size.Size) {
	if rec.holds != "" {
		return
	}
	if rec.view.Urgent() && sc.displace(rec, need) {
		return
	}
	if sc.Clock.Now() < rec.waitsMS+holdAfterMS || sc.st.keeps[rec.team()] > 0 {
		return
	}
	if vm, ok := sc.st.ix.Hold(rec.id(), need); ok {
		sc.keep(rec, vm)
		sc.Log.Info("worker-kept", "job", rec.id(), "team", rec.team(), "worker", vm)
	}
}

// displace checkpoints the fewest normal runs on one worker that make room for an urgent job, of its own team or of teams that stay above it for their weight.
func (sc *Scheduler) displace(rec *record, need size.Size) bool {
	var best []*record
	var vm string
	for _, name := range sc.victimTeams(rec.team()) {
		samples := 0
		for _, victim := range sc.st.lenient[name] {
			if samples == victimSamples {
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
	sc.keep(rec, vm)
	sc.st.ix.HoldOn(rec.id(), rec.holds)
	sc.host(rec.holds).kept[rec.id()] = need
	for _, victim := range best {
		sc.command(victim, reclaim.Checkpoint)
		sc.Metric.Count(1, "jobs", "team", victim.team(), "displaced")
		sc.Log.Info("run-displaced", "job", victim.id(), "team", victim.team(), "worker", victim.worker, "for", rec.id())
	}
	return true
}

// victimTeams lists the teams with displaceable runs, those with the most for their weight first and the job's own last.
func (sc *Scheduler) victimTeams(own string) []string {
	var names []string
	for name, recs := range sc.st.lenient {
		if len(recs) > 0 {
			names = append(names, name)
		}
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := names[i], names[j]
		if (a == own) != (b == own) {
			return b == own
		}
		if x, y := sc.st.pk.WeightedShare(a), sc.st.pk.WeightedShare(b); x != y {
			return x > y
		}
		return a < b
	})
	return names
}

// unpromised returns what is or soon becomes free on a worker, less what is kept there for urgent jobs.
func (sc *Scheduler) unpromised(hs *host) size.Size {
	free := sc.st.ix.Free(hs.name)
	for _, rec := range hs.runs {
		if rec.order == reclaim.Checkpoint || rec.order == reclaim.Stop {
			free = free.Plus(rec.reserved)
		}
	}
	for _, need := range hs.kept {
		free = free.Minus(need)
	}
	return free
}

// victimsOn returns the runs of the worker that must give way so that the need fits, the largest first, or false.
func (sc *Scheduler) victimsOn(rec *record, vm string, need size.Size) ([]*record, bool) {
	hs := sc.host(vm)
	if sc.st.ix.Blocked(vm) != 0 || (sc.st.ix.Held(vm) && len(hs.kept) == 0) || sc.Condition(vm) == nil {
		return nil, false
	}
	var list []*record
	for _, victim := range hs.runs {
		if victim.displaceable() && victim.order == "" && sc.st.pk.MayPreempt(rec.team(), need, victim.team(), victim.reserved) {
			list = append(list, victim)
		}
	}
	capacity := sc.st.ix.Capacity(vm)
	sort.Slice(list, func(i, j int) bool {
		if x, y := list[i].reserved.Dominant(capacity), list[j].reserved.Dominant(capacity); x != y {
			return x > y
		}
		return list[i].id() < list[j].id()
	})
	free := sc.unpromised(hs)
	for i, victim := range list {
		if need.Fits(free) {
			return list[:i], true
		}
		free = free.Plus(victim.reserved)
	}
	return list, need.Fits(free)
}
