package scheduler

import (
	"context"
	"strings"

	"github.com/fulmarloft/fulmarloft/internal/job"
	"github.com/fulmarloft/fulmarloft/internal/jobpb"
	"github.com/fulmarloft/fulmarloft/internal/placement"
	"github.com/fulmarloft/fulmarloft/internal/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/reclaim"
	"github.com/fulmarloft/fulmarloft/internal/shape"
	"github.com/fulmarloft/fulmarloft/internal/size"
	"github.com/fulmarloft/fulmarloft/pkg/code"
	"github.com/fulmarloft/fulmarloft/pkg/team"
)

// InboxKeyPrefix precedes the id of a job that was submitted or cancelled since the scheduler last looked.
const InboxKeyPrefix = "job-inbox/"

const kindWorker = "worker"

// rebuild reads all jobs and counters in one snapshot.
func (sc *Scheduler) rebuild(ctx context.Context) error {
	sc.st = sc.fresh()
	rep, err := sc.Table.Read(ctx, &platformpb.ReadRequest{Prefixes: []string{job.KeyPrefix, LimitKeyPrefix}})
	if err != nil {
		return err
	}
	sc.refreshFleet()
	counted := map[string]int64{}
	for _, row := range rep.GetRows() {
		if err := sc.adoptAny(row); err != nil {
			return err
		}
	}
	for _, rec := range sc.st.jobs {
		counted[rec.team()] += counts(rec.stored)
	}
	for name, ct := range sc.st.counters {
		if ct.running != counted[name] {
			sc.Log.Fail("job-counter-differs", code.Internal, "team", name, "row", ct.running, "jobs", counted[name])
		}
	}
	sc.Log.Info("jobs-rebuilt", "jobs", len(sc.st.jobs), "term", sc.term)
	return nil
}

// takeInbox adopts jobs that were submitted or cancelled through any entry, then clears their marks.
func (sc *Scheduler) takeInbox(ctx context.Context) error {
	rep, err := sc.Table.Read(ctx, &platformpb.ReadRequest{Prefixes: []string{InboxKeyPrefix}})
	if err != nil {
		return err
	}
	sc.st.tableMS = sc.Clock.Now()
	if len(rep.GetRows()) == 0 {
		return nil
	}
	marks := rep.GetRows()[:min(len(rep.GetRows()), inboxBatch)]
	keys := make([]string, len(marks))
	for i, mark := range marks {
		keys[i] = job.KeyPrefix + strings.TrimPrefix(mark.GetKey(), InboxKeyPrefix)
	}
	rows, err := sc.Table.Read(ctx, &platformpb.ReadRequest{Keys: keys})
	if err != nil {
		return err
	}
	for _, row := range rows.GetRows() {
		if err := sc.adopt(row); err != nil {
			return err
		}
		sc.screen(sc.st.jobs[strings.TrimPrefix(row.GetKey(), job.KeyPrefix)])
	}
	return sc.clearMarks(ctx, marks)
}

func (sc *Scheduler) clearMarks(ctx context.Context, rows []*platformpb.Row) error {
	req := &platformpb.CommitRequest{Operation: sc.operation()}
	for _, row := range rows {
		req.Conditions = append(req.Conditions, &platformpb.Condition{Key: row.GetKey(), Version: row.GetVersion()})
		req.Writes = append(req.Writes, &platformpb.Write{Key: row.GetKey(), Delete: true})
	}
	_, err := sc.Table.Commit(ctx, req)
	return err
}

// screen ends a waiting job that can never run, and one whose team is no more.
func (sc *Scheduler) screen(rec *record) {
	if rec == nil || !rec.view.Waiting() {
		return
	}
	now := sc.Clock.Now()
	switch {
	case sc.st.lg.Poisonous(rec.id()):
		sc.touch(rec, func(jb job.Job) job.Job { return jb.Stop(jobpb.State_POISONOUS, now) })
	case sc.st.sh.Impossible(rec.view.Declared()):
		sc.touch(rec, func(jb job.Job) job.Job { return jb.Stop(jobpb.State_IMPOSSIBLE, now) })
	case sc.removed(rec.team()):
		sc.touch(rec, func(jb job.Job) job.Job { return jb.Cancel(now) })
	default:
		return
	}
	sc.Log.Info("job-ended", "job", rec.id(), "team", rec.team(), "state", rec.view.Name())
}

func (sc *Scheduler) removed(name string) bool {
	_, ok := sc.st.teams[name]
	return len(sc.st.teams) > 0 && !ok
}

// refreshTeams takes shares and limits in force; waiting jobs of a team that is no more are cancelled, running ones go on.
func (sc *Scheduler) refreshTeams() {
	teams, ok := sc.Teams()
	if !ok {
		return
	}
	next := map[string]team.Team{}
	for _, tm := range teams {
		next[tm.Name()] = tm
		sc.st.pk.SetTeam(tm.Name(), tm.Share(), tm.JobLimit())
	}
	gone := false
	for name := range sc.st.teams {
		if _, ok := next[name]; !ok {
			gone = true
		}
	}
	first := len(sc.st.teams) == 0
	sc.st.teams = next
	if !gone && !first {
		return
	}
	for _, name := range sc.st.pk.Names() {
		if sc.removed(name) {
			sc.st.pk.SetTeam(name, 0, 0)
		}
	}
	for _, rec := range sc.st.jobs {
		sc.screen(rec)
	}
}

// refreshFleet takes a newer list of VMs into the index.
func (sc *Scheduler) refreshFleet() {
	list := sc.Fleet()
	if list.GetAsOfMs() > sc.st.listMS {
		sc.st.listMS = list.GetAsOfMs()
		sc.takeList(list)
	}
	if now := sc.Clock.Now(); now >= sc.st.reviewMS {
		sc.st.reviewMS = now + reviewPauseMS
		sc.review()
	}
	sc.st.pk.SetTotal(sc.st.ix.Total())
}

// review brings the reasons for which workers take no work in line with their rows and with the ledger of failures.
func (sc *Scheduler) review() {
	for _, name := range sc.st.ix.Names() {
		sc.st.ix.Block(name, placement.Unavailable, sc.away(name))
		sc.st.ix.Block(name, placement.Quarantined, sc.st.lg.Quarantined(name))
		if hs := sc.host(name); len(hs.runs) > 0 || hs.drainMS != 0 {
			sc.clearOut(hs)
		}
	}
}

// clearOut checkpoints the idempotent runs of a VM that is being drained, after a time in which short ones may end; others are waited for.
func (sc *Scheduler) clearOut(hs *host) {
	now := sc.Clock.Now()
	switch {
	case !sc.Draining(hs.name):
		hs.drainMS = 0
		return
	case hs.drainMS == 0:
		hs.drainMS = now
	}
	if now < hs.drainMS+drainGraceMS {
		return
	}
	for _, rec := range hs.runs {
		if rec.followed() && rec.view.Row().GetIdempotent() && !rec.unwanted() && rec.order != reclaim.Checkpoint {
			sc.command(rec, reclaim.Checkpoint)
			sc.Log.Info("run-moved", "job", rec.id(), "team", rec.team(), "worker", hs.name)
		}
	}
}

// away reports whether a worker is leaving or its row doesn't let it take work.
func (sc *Scheduler) away(name string) bool {
	cond := sc.Condition(name)
	hs := sc.host(name)
	return hs.leaving || cond == nil || (hs.stale != 0 && hs.stale == cond.GetVersion())
}

func (sc *Scheduler) takeList(list *platformpb.VMList) {
	seen := map[string]bool{}
	workers := 0
	for _, vm := range list.GetVms() {
		if vm.GetKind() != kindWorker {
			continue
		}
		workers++
		name := vm.GetName()
		seen[name] = true
		fresh := !sc.st.ix.Has(name)
		total := size.OfCores(float64(vm.GetCores()), int64(vm.GetMemoryMb()), int64(vm.GetAccelerators()))
		sc.st.sh.Put(total)
		sc.st.ix.Put(name, vm.GetZone(), vm.GetZone()+"/"+vm.GetRack(), total)
		if fresh {
			sc.reserveAgain(name)
		}
		hs := sc.host(name)
		hs.leaving, hs.seenMS, hs.incarnation = vm.GetLeaving(), sc.Clock.Now(), vm.GetIncarnation()
		sc.st.ix.Block(name, placement.Unavailable, sc.away(name))
	}
	for _, name := range sc.st.ix.Names() {
		if !seen[name] {
			sc.absent(name)
		}
	}
	sc.st.lg.SetFleet(workers)
	sc.endGone(list.GetGone())
}

// endGone ends the runs on VM incarnations that the platform says have ended for good.
func (sc *Scheduler) endGone(incarnations []string) {
	if len(incarnations) == 0 {
		return
	}
	gone := map[string]bool{}
	for _, boot := range incarnations {
		gone[boot] = true
	}
	ended := map[string][]*record{}
	for _, rec := range sc.st.jobs {
		if rec.followed() && gone[rec.view.Row().GetWorkerIncarnation()] {
			ended[rec.worker] = append(ended[rec.worker], rec)
		}
	}
	for worker, recs := range ended {
		sc.lapse(worker, recs)
	}
}

// reserveAgain takes runs into account that were known before their worker was listed.
func (sc *Scheduler) reserveAgain(name string) {
	for _, rec := range sc.host(name).runs {
		sc.st.ix.Reserve(name, rec.team(), rec.reserved)
	}
}

// absent gives a worker that left the list no more work, and forgets it once nothing of it is awaited.
func (sc *Scheduler) absent(name string) {
	hs := sc.host(name)
	hs.leaving = true
	sc.st.ix.Block(name, placement.Unavailable, true)
	now := sc.Clock.Now()
	if len(hs.runs) == 0 && now > hs.watchMS && now > hs.seenMS+shape.MemoryMS {
		sc.st.ix.Remove(name)
		sc.st.hostsDue.Drop(name)
		delete(sc.st.hosts, name)
	}
}

// sweep deletes jobs that ended longer ago than they are remembered.
func (sc *Scheduler) sweep(ctx context.Context) error {
	now := sc.Clock.Now()
	if now < sc.st.sweepMS {
		return nil
	}
	sc.st.sweepMS = now + sweepPauseMS
	_, memoryMS := sc.Timing()
	var old []*record
	for _, rec := range sc.st.jobs {
		row := rec.stored.Row()
		if rec.stored.Ended() && rec.view.Ended() && now > max(row.GetEndedMs(), row.GetIssuedMs())+memoryMS && len(old) < batchSize {
			old = append(old, rec)
		}
	}
	if len(old) == 0 {
		return nil
	}
	sc.st.sweepMS = now
	req := &platformpb.CommitRequest{Operation: sc.operation()}
	for _, rec := range old {
		req.Conditions = append(req.Conditions, &platformpb.Condition{Key: rec.stored.Key(), Version: rec.version})
		req.Writes = append(req.Writes, &platformpb.Write{Key: rec.stored.Key(), Delete: true})
	}
	rep, err := sc.Table.Commit(ctx, req)
	if err != nil {
		return err
	}
	if !rep.GetCommitted() {
		return sc.lose(&batch{}, rep.GetRows())
	}
	for _, rec := range old {
		sc.remove(rec)
	}
	return nil
}
