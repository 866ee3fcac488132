package scheduler

import (
	"context"
	"sort"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/pb/jobpb"
	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/job"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/placement"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// LimitKeyPrefix is the key prefix of the rows that count the running jobs of each team; the team's name follows.
const LimitKeyPrefix = "limit/jobs/"

// counter is the stored count of a team's running jobs with the version of its row.
type counter struct {
	running int64
	version uint64
}

// batch is one transaction that writes several jobs and the counters of their teams.
type batch struct {
	operation string
	recs      []*record
	deltas    map[string]int64
	req       *platformpb.CommitRequest
	// Number of pending transitions of each record that the transaction includes.
	pendingCounts []int
	// VMs on whose rows the transaction depends, by row key.
	vmByRowKey map[string]string
	startedMS  int64
}

// flush stores all dirty jobs in batches, each with the counters of its teams in the same transaction. It gives up for this step after maxCommitConflicts conflicts.
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

// commit writes the records in one transaction and reports whether it was committed. If the outcome is unknown, the batch is kept in doubt and resolved before the next commit.
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

// requireVM adds the condition on a VM's row once. If the VM no longer takes work, the condition added can never hold, so that the transaction fails.
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

// unmatchableVersion is a version that no row ever has.
const unmatchableVersion = ^uint64(0)

func countedRuns(jb job.Job) int64 {
	if jb.Row().GetCounted() {
		return 1
	}
	return 0
}

// handleCommitted records the new row versions of a committed transaction and marks its jobs as stored.
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

// handleConflict applies the current rows that conflicted with a transaction and drops the starts planned in it. A worker whose row conflicted gets no placements until that row changes.
func (sc *Scheduler) handleConflict(bt *batch, rows []*platformpb.Row) error {
	for _, row := range rows {
		if err := sc.applyRow(row); err != nil {
			return err
		}
		if vm, ok := bt.vmByRowKey[row.GetKey()]; ok {
			sc.workerState(vm).conflictVersion = sc.Condition(vm).GetVersion()
			sc.st.index.Block(vm, placement.Unavailable, true)
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
		return code.Internal.New("cannot decode row %s: %w", row.GetKey(), err)
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

// resolveInDoubt reads back the rows of the transaction whose outcome is unknown, before any other commit. A row written by the transaction's operation proves that it was committed.
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
	rowsByKey := map[string]*platformpb.Row{}
	for _, row := range rep.GetRows() {
		rowsByKey[row.GetKey()] = row
	}
	for i, rec := range bt.recs {
		if row := rowsByKey[rec.view.Key()]; row.GetOperation() == bt.operation {
			rec.pending, rec.planned = rec.pending[bt.pendingCounts[i]:], false
			rec.commitStartedMS = bt.startedMS
		}
	}
	for _, key := range keys {
		row := rowsByKey[key]
		if row == nil {
			row = &platformpb.Row{Key: key}
		}
		if err := sc.applyRow(row); err != nil {
			return err
		}
	}
	sc.revertStaleStarts(bt, rowsByKey)
	return nil
}

// revertStaleStarts reverts the unsent starts of a resolved transaction on VMs whose rows have changed since.
func (sc *Scheduler) revertStaleStarts(bt *batch, rowsByKey map[string]*platformpb.Row) {
	changed := map[string]bool{}
	for _, cond := range bt.req.GetConditions() {
		if vm, ok := bt.vmByRowKey[cond.GetKey()]; ok && rowsByKey[cond.GetKey()].GetVersion() != cond.GetVersion() {
			changed[vm] = true
		}
	}
	now := sc.Clock.Now()
	for _, rec := range bt.recs {
		if sc.st.unsent[rec.id()] != nil && changed[rec.worker] {
			sc.applyTransition(rec, func(jb job.Job) job.Job { return jb.RevertStart(now) })
		}
	}
}

// sendUnsent sends the starts of this term that were found to be committed but never sent.
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
