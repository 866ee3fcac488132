package scheduler

import (
	"context"
	"sort"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/job"
	"github.com/fulmarloft/fulmarloft/internal/jobpb"
	"github.com/fulmarloft/fulmarloft/internal/placement"
	"github.com/fulmarloft/fulmarloft/internal/platformpb"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// LimitKeyPrefix precedes the team's name in the key of the row that counts its running jobs.
const LimitKeyPrefix = "limit/jobs/"

// counter is a team's row of running jobs as the table has it.
type counter struct {
	running int64
	version uint64
}

// batch is one transaction over several jobs and the counters of their teams.
type batch struct {
	operation     string
	recs          []*record
	deltas        map[string]int64
	req           *platformpb.CommitRequest
	pendingCounts []int
	vmByRowKey    map[string]string
	startedMS     int64
}

// flush writes all changed jobs, with the counters of their teams in the same transactions.
func (sc *Scheduler) flush(ctx context.Context) error {
	for tries := 0; len(sc.st.dirty) > 0 && tries < maxCommitConflicts; {
		done, err := sc.commit(ctx, sc.nextDirty())
		if err != nil {
			return err
		}
		if !done {
			tries++
		}
	}
	return nil
}

func (sc *Scheduler) nextDirty() []*record {
	ids := make([]string, 0, len(sc.st.dirty))
	for id := range sc.st.dirty {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	recs := make([]*record, 0, batchSize)
	for _, id := range ids[:min(len(ids), batchSize)] {
		recs = append(recs, sc.st.dirty[id])
	}
	return recs
}

// commit writes the records in one transaction and reports whether it took effect; a lost answer is kept to be resolved first.
func (sc *Scheduler) commit(ctx context.Context, recs []*record) (bool, error) {
	bt, err := sc.newBatch(recs)
	if err != nil {
		return false, err
	}
	if !sc.Held() {
		return false, code.LeaseLapsed
	}
	rep, err := sc.Table.Commit(ctx, bt.req)
	if err != nil {
		sc.st.inDoubt = bt
		return false, err
	}
	if !rep.GetCommitted() {
		sc.Metric.Count(1, "jobs", "commit-conflicts")
		return false, sc.handleConflict(bt, rep.GetRows())
	}
	sc.handleCommitted(bt, rep.GetRows())
	return true, nil
}

func (sc *Scheduler) newBatch(recs []*record) (*batch, error) {
	bt := &batch{operation: sc.nextOperation(), recs: recs, deltas: map[string]int64{}, vmByRowKey: map[string]string{}, startedMS: sc.Clock.Now()}
	bt.req = &platformpb.CommitRequest{Operation: bt.operation}
	for _, rec := range recs {
		raw, err := rec.view.Bytes()
		if err != nil {
			return nil, err
		}
		bt.addWrite(rec.view.Key(), rec.version, raw)
		bt.pendingCounts = append(bt.pendingCounts, len(rec.pending))
		bt.deltas[rec.team()] += countedRuns(rec.view) - countedRuns(rec.stored)
		if rec.planned {
			bt.requireVM(sc.Condition(rec.worker), rec.worker)
		}
	}
	return bt, sc.addCounters(bt)
}

func (sc *Scheduler) addCounters(bt *batch) error {
	for name, delta := range bt.deltas {
		if delta == 0 {
			continue
		}
		ct := sc.counter(name)
		raw, err := proto.Marshal(&jobpb.JobLimitRow{Team: name, Running: ct.running + delta})
		if err != nil {
			return code.Internal.Wrap(err)
		}
		bt.addWrite(LimitKeyPrefix+name, ct.version, raw)
	}
	return nil
}

func (bt *batch) addWrite(key string, version uint64, raw []byte) {
	bt.req.Conditions = append(bt.req.Conditions, &platformpb.Condition{Key: key, Version: version})
	bt.req.Writes = append(bt.req.Writes, &platformpb.Write{Key: key, Value: raw})
}

// require adds the condition of a VM once; a VM that takes no work any more gets one that never holds.
func (bt *batch) requireVM(cond *platformpb.Condition, vm string) {
	if cond == nil {
		cond = &platformpb.Condition{Key: bt.req.GetConditions()[0].GetKey(), Version: unmatchableVersion}
	}
	if bt.vmByRowKey[cond.GetKey()] != "" {
		return
	}
	bt.vmByRowKey[cond.GetKey()] = vm
	bt.req.Conditions = append(bt.req.Conditions, cond)
}

const unmatchableVersion = ^uint64(0)

func countedRuns(jb job.Job) int64 {
	if jb.Row().GetCounted() {
		return 1
	}
	return 0
}

// applied takes the new versions of a transaction that took effect.
func (sc *Scheduler) handleCommitted(bt *batch, rows []*platformpb.Row) {
	versions := map[string]uint64{}
	for _, row := range rows {
		versions[row.GetKey()] = row.GetVersion()
	}
	for _, rec := range bt.recs {
		rec.commitStartedMS = bt.startedMS
		rec.stored, rec.version = rec.view, versions[rec.view.Key()]
		rec.pending, rec.planned = nil, false
		sc.syncJob(rec)
	}
	for name, delta := range bt.deltas {
		if delta != 0 {
			ct := sc.counter(name)
			ct.running += delta
			ct.version = versions[LimitKeyPrefix+name]
		}
	}
}

// lose adopts the rows that stood against a transaction and drops the starts planned in it.
func (sc *Scheduler) handleConflict(bt *batch, rows []*platformpb.Row) error {
	for _, row := range rows {
		if err := sc.applyRow(row); err != nil {
			return err
		}
		if vm, ok := bt.vmByRowKey[row.GetKey()]; ok {
			sc.host(vm).conflictVersion = sc.Condition(vm).GetVersion()
			sc.st.index.Block(vm, placement.Away, true)
		}
	}
	sc.dropPlannedStarts(bt.recs)
	return nil
}

func (sc *Scheduler) dropPlannedStarts(recs []*record) {
	for _, rec := range recs {
		if rec.planned {
			rec.dropPlannedStart()
			rec.applyPending()
			sc.syncJob(rec)
		}
	}
}

func (sc *Scheduler) applyRow(row *platformpb.Row) error {
	switch {
	case strings.HasPrefix(row.GetKey(), job.KeyPrefix):
		return sc.applyJobRow(row)
	case strings.HasPrefix(row.GetKey(), LimitKeyPrefix):
		return sc.applyCounterRow(row)
	}
	return nil
}

func (sc *Scheduler) applyCounterRow(row *platformpb.Row) error {
	val := &jobpb.JobLimitRow{}
	if err := proto.Unmarshal(row.GetValue(), val); err != nil {
		return code.Internal.Wrap(err)
	}
	ct := sc.counter(strings.TrimPrefix(row.GetKey(), LimitKeyPrefix))
	ct.running, ct.version = val.GetRunning(), row.GetVersion()
	return nil
}

func (sc *Scheduler) counter(name string) *counter {
	ct, ok := sc.st.counters[name]
	if !ok {
		ct = &counter{}
		sc.st.counters[name] = ct
	}
	return ct
}

// resolve reads back the rows of a transaction whose answer was lost, before any other is tried.
func (sc *Scheduler) resolveInDoubt(ctx context.Context) error {
	bt := sc.st.inDoubt
	if bt == nil {
		return nil
	}
	keys := make([]string, 0, len(bt.req.GetConditions()))
	for _, cond := range bt.req.GetConditions() {
		keys = append(keys, cond.GetKey())
	}
	rep, err := sc.Table.Read(ctx, &platformpb.ReadRequest{Keys: keys})
	if err != nil {
		return err
	}
	sc.st.inDoubt = nil
	present := map[string]*platformpb.Row{}
	for _, row := range rep.GetRows() {
		present[row.GetKey()] = row
	}
	for i, rec := range bt.recs {
		if row := present[rec.view.Key()]; row.GetOperation() == bt.operation {
			rec.pending, rec.planned = rec.pending[bt.pendingCounts[i]:], false
			rec.commitStartedMS = bt.startedMS
		}
	}
	for _, key := range keys {
		row := present[key]
		if row == nil {
			row = &platformpb.Row{Key: key}
		}
		if err := sc.applyRow(row); err != nil {
			return err
		}
	}
	sc.refuseStaleStarts(bt, present)
	return nil
}

// refuseMoved takes back starts on VMs whose rows have changed while the answer was awaited; they were never sent.
func (sc *Scheduler) refuseStaleStarts(bt *batch, present map[string]*platformpb.Row) {
	moved := map[string]bool{}
	for _, cond := range bt.req.GetConditions() {
		if vm, ok := bt.vmByRowKey[cond.GetKey()]; ok && present[cond.GetKey()].GetVersion() != cond.GetVersion() {
			moved[vm] = true
		}
	}
	now := sc.Clock.Now()
	for _, rec := range bt.recs {
		if sc.st.unsent[rec.id()] != nil && moved[rec.worker] {
			sc.applyStep(rec, func(jb job.Job) job.Job { return jb.Refuse(now) })
		}
	}
}

// sendUnsent sends the runs of this term that were found to be committed and never sent.
func (sc *Scheduler) sendUnsent(ctx context.Context) error {
	var recs []*record
	for _, rec := range sc.st.unsent {
		if rec.stored.Active() && rec.view.Active() && rec.stored.Row().GetEpoch() > rec.sentEpoch {
			recs = append(recs, rec)
		}
	}
	clear(sc.st.unsent)
	sort.Slice(recs, func(i, j int) bool { return recs[i].id() < recs[j].id() })
	sc.sendStarts(ctx, recs)
	return nil
}
