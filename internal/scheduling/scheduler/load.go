package scheduler

import (
	"context"
	"strings"

	"github.com/fulmarloft/fulmarloft/internal/pb/jobpb"
	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/job"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/placement"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/reclaim"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/size"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/vmsizes"
	"github.com/fulmarloft/fulmarloft/pkg/code"
	"github.com/fulmarloft/fulmarloft/pkg/team"
)

// InboxKeyPrefix is the key prefix of inbox rows: one per job, keyed by job id, that was submitted or cancelled since the scheduler last read the inbox.
const InboxKeyPrefix = "job-inbox/"

const kindWorker = "worker"

// rebuild loads all jobs and counters from one snapshot of the table.
func (sc *Scheduler) rebuild(ctx context.Context) error {
	sc.st = sc.newState()
	rep, err := sc.Table.Read(ctx, &platformpb.ReadRequest{Prefixes: []string{job.KeyPrefix, LimitKeyPrefix}})
	if err != nil {
		return err
	}
	sc.refreshFleet()
	counted := map[string]int64{}
	for _, row := range rep.GetRows() {
		if err := sc.applyRow(row); err != nil {
			return err
		}
	}
	for _, rec := range sc.st.jobs {
		counted[rec.team()] += countedRuns(rec.stored)
	}
	for name, ct := range sc.st.counters {
		if ct.running != counted[name] {
			sc.Log.Fail("job-counter-differs", code.Internal, "team", name, "row", ct.running, "jobs", counted[name])
		}
	}
	sc.Log.Info("jobs-rebuilt", "jobs", len(sc.st.jobs), "term", sc.term)
	return nil
}

// readInbox loads the jobs that were submitted or cancelled through any entry and then deletes their inbox rows.
func (sc *Scheduler) readInbox(ctx context.Context) error {
	rep, err := sc.Table.Read(ctx, &platformpb.ReadRequest{Prefixes: []string{InboxKeyPrefix}})
	if err != nil {
		return err
	}
	sc.st.tableReachedMS = sc.Clock.Now()
	if len(rep.GetRows()) == 0 {
		return nil
	}
	inboxRows := rep.GetRows()[:min(len(rep.GetRows()), inboxBatchSize)]
	keys := make([]string, len(inboxRows))
	for i, inboxRow := range inboxRows {
		keys[i] = job.KeyPrefix + strings.TrimPrefix(inboxRow.GetKey(), InboxKeyPrefix)
	}
	rows, err := sc.Table.Read(ctx, &platformpb.ReadRequest{Keys: keys})
	if err != nil {
		return err
	}
	for _, row := range rows.GetRows() {
		if err := sc.applyJobRow(row); err != nil {
			return err
		}
		sc.endIfUnrunnable(sc.st.jobs[strings.TrimPrefix(row.GetKey(), job.KeyPrefix)])
	}
	return sc.deleteInboxRows(ctx, inboxRows)
}

func (sc *Scheduler) deleteInboxRows(ctx context.Context, rows []*platformpb.Row) error {
	req := &platformpb.CommitRequest{Operation: sc.nextOperation()}
	for _, row := range rows {
		req.Conditions = append(req.Conditions, &platformpb.Condition{Key: row.GetKey(), Version: row.GetVersion()})
		req.Writes = append(req.Writes, &platformpb.Write{Key: row.GetKey(), Delete: true})
	}
	_, err := sc.Table.Commit(ctx, req)
	return err
}

// endIfUnrunnable ends a waiting job that is poisonous, fits no VM or belongs to a removed team.
func (sc *Scheduler) endIfUnrunnable(rec *record) {
	if rec == nil || !rec.view.Waiting() {
		return
	}
	now := sc.Clock.Now()
	switch {
	case sc.st.ledger.Poisonous(rec.id()):
		sc.applyTransition(rec, func(jb job.Job) job.Job { return jb.EndUnrunnable(jobpb.State_POISONOUS, now) })
	case sc.st.sizes.Impossible(rec.view.Declared()):
		sc.applyTransition(rec, func(jb job.Job) job.Job { return jb.EndUnrunnable(jobpb.State_IMPOSSIBLE, now) })
	case sc.teamRemoved(rec.team()):
		sc.applyTransition(rec, func(jb job.Job) job.Job { return jb.Cancel(now) })
	default:
		return
	}
	sc.Log.Info("job-ended", "job", rec.id(), "team", rec.team(), "state", rec.view.StateName())
}

func (sc *Scheduler) teamRemoved(name string) bool {
	_, ok := sc.st.teams[name]
	return len(sc.st.teams) > 0 && !ok
}

// refreshTeams applies the shares and limits in force. Waiting jobs of removed teams are cancelled; running ones continue.
func (sc *Scheduler) refreshTeams() {
	teams, ok := sc.Teams()
	if !ok {
		return
	}
	next := map[string]team.Team{}
	for _, tm := range teams {
		next[tm.Name()] = tm
		sc.st.picker.SetTeam(tm.Name(), tm.Share(), tm.JobLimit())
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
	for _, name := range sc.st.picker.Names() {
		if sc.teamRemoved(name) {
			sc.st.picker.SetTeam(name, 0, 0)
		}
	}
	for _, rec := range sc.st.jobs {
		sc.endIfUnrunnable(rec)
	}
}

// refreshFleet applies the list of VMs if it is newer than the last one, and updates the states of the workers every workerUpdateIntervalMS.
func (sc *Scheduler) refreshFleet() {
	list := sc.Fleet()
	if list.GetAsOfMs() > sc.st.fleetAsOfMS {
		sc.st.fleetAsOfMS = list.GetAsOfMs()
		sc.applyVMList(list)
	}
	if now := sc.Clock.Now(); now >= sc.st.nextWorkerUpdateMS {
		sc.st.nextWorkerUpdateMS = now + workerUpdateIntervalMS
		sc.updateWorkers()
	}
	sc.st.picker.SetTotal(sc.st.index.Total())
}

// updateWorkers updates for each worker whether its row or its quarantine keeps it from taking work, and advances its drain.
func (sc *Scheduler) updateWorkers() {
	for _, name := range sc.st.index.Names() {
		sc.st.index.Block(name, placement.Unavailable, sc.unavailable(name))
		sc.st.index.Block(name, placement.Quarantined, sc.st.ledger.Quarantined(name))
		if ws := sc.workerState(name); len(ws.runs) > 0 || ws.drainSinceMS != 0 {
			sc.checkpointForDrain(ws)
		}
	}
}

// checkpointForDrain checkpoints the idempotent runs of a draining VM after drainGraceMS, in which short ones can end by themselves. Other runs are left to end.
func (sc *Scheduler) checkpointForDrain(ws *workerState) {
	now := sc.Clock.Now()
	switch {
	case !sc.Draining(ws.name):
		ws.drainSinceMS = 0
		return
	case ws.drainSinceMS == 0:
		ws.drainSinceMS = now
	}
	if now < ws.drainSinceMS+drainGraceMS {
		return
	}
	for _, rec := range ws.runs {
		if rec.inFlight() && rec.view.Row().GetIdempotent() && !rec.unwanted() && rec.command != reclaim.Checkpoint {
			sc.setCommand(rec, reclaim.Checkpoint)
			sc.Log.Info("run-moved", "job", rec.id(), "team", rec.team(), "worker", ws.name)
		}
	}
}

// unavailable reports whether a worker is leaving, its row doesn't allow new work, or a placement on the row's current version conflicted.
func (sc *Scheduler) unavailable(name string) bool {
	cond := sc.Condition(name)
	ws := sc.workerState(name)
	return ws.leaving || cond == nil || (ws.conflictVersion != 0 && ws.conflictVersion == cond.GetVersion())
}

func (sc *Scheduler) applyVMList(list *platformpb.VMList) {
	listed := map[string]bool{}
	workers := 0
	for _, vm := range list.GetVms() {
		if vm.GetKind() != kindWorker {
			continue
		}
		workers++
		name := vm.GetName()
		listed[name] = true
		added := !sc.st.index.Has(name)
		total := size.OfCores(float64(vm.GetCores()), int64(vm.GetMemoryMb()), int64(vm.GetAccelerators()))
		sc.st.sizes.Put(total)
		sc.st.index.Put(name, vm.GetZone(), vm.GetZone()+"/"+vm.GetRack(), total)
		if added {
			sc.restoreReservations(name)
		}
		ws := sc.workerState(name)
		ws.leaving, ws.lastListedMS, ws.incarnation = vm.GetLeaving(), sc.Clock.Now(), vm.GetIncarnation()
		sc.st.index.Block(name, placement.Unavailable, sc.unavailable(name))
	}
	for _, name := range sc.st.index.Names() {
		if !listed[name] {
			sc.handleUnlisted(name)
		}
	}
	sc.st.ledger.SetFleet(workers)
	sc.expireGone(list.GetGone())
}

// expireGone ends the runs on VM incarnations that the platform reports as gone for good, without waiting for their leases to expire.
func (sc *Scheduler) expireGone(incarnations []string) {
	if len(incarnations) == 0 {
		return
	}
	gone := map[string]bool{}
	for _, incarnation := range incarnations {
		gone[incarnation] = true
	}
	ended := map[string][]*record{}
	for _, rec := range sc.st.jobs {
		if rec.inFlight() && gone[rec.view.Row().GetWorkerIncarnation()] {
			ended[rec.worker] = append(ended[rec.worker], rec)
		}
	}
	for worker, recs := range ended {
		sc.expireRuns(worker, recs)
	}
}

// restoreReservations reserves capacity for the runs of a newly listed worker that were loaded before it was listed.
func (sc *Scheduler) restoreReservations(name string) {
	for _, rec := range sc.workerState(name).runs {
		sc.st.index.Reserve(name, rec.team(), rec.reserved)
	}
}

// handleUnlisted blocks new work on a worker that is no longer listed, and removes it once it has no runs, no late report can matter and its size no longer counts (vmsizes.RetentionMS).
func (sc *Scheduler) handleUnlisted(name string) {
	ws := sc.workerState(name)
	ws.leaving = true
	sc.st.index.Block(name, placement.Unavailable, true)
	now := sc.Clock.Now()
	if len(ws.runs) == 0 && now > ws.lateReportsUntilMS && now > ws.lastListedMS+vmsizes.RetentionMS {
		sc.st.index.Remove(name)
		sc.st.workersDue.Remove(name)
		delete(sc.st.workers, name)
	}
}

// cleanUp deletes the rows of jobs whose retention period has ended.
func (sc *Scheduler) cleanUp(ctx context.Context) error {
	now := sc.Clock.Now()
	if now < sc.st.nextCleanupMS {
		return nil
	}
	sc.st.nextCleanupMS = now + cleanupIntervalMS
	_, retentionMS := sc.Timing()
	var expired []*record
	for _, rec := range sc.st.jobs {
		row := rec.stored.Row()
		if rec.stored.Ended() && rec.view.Ended() && now > max(row.GetEndedMs(), row.GetIssuedMs())+retentionMS && len(expired) < batchSize {
			expired = append(expired, rec)
		}
	}
	if len(expired) == 0 {
		return nil
	}
	sc.st.nextCleanupMS = now
	req := &platformpb.CommitRequest{Operation: sc.nextOperation()}
	for _, rec := range expired {
		req.Conditions = append(req.Conditions, &platformpb.Condition{Key: rec.stored.Key(), Version: rec.version})
		req.Writes = append(req.Writes, &platformpb.Write{Key: rec.stored.Key(), Delete: true})
	}
	rep, err := sc.Table.Commit(ctx, req)
	if err != nil {
		return err
	}
	if !rep.GetCommitted() {
		return sc.handleConflict(&batch{}, rep.GetRows())
	}
	for _, rec := range expired {
		sc.removeJob(rec)
	}
	return nil
}
