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
	operation string
	recs      []*record
	deltas    map[string]int64
	req       *platformpb.CommitRequest
	steps     []int
	vms       map[string]string
	askedMS   int64
}

// flush writes all changed jobs, with the counters of their teams in the same transactions.
func (sc *Scheduler) flush(ctx context.Context) error {
	for tries := 0; len(sc.st.dirty) > 0 && tries < commitTries; {
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
	bt, err := sc.batch(recs)
	if err != nil {
		return false, err
	}
	if !sc.Held() {
		return false, code.LeaseLapsed
	}
	rep, err := sc.Table.Commit(ctx, bt.req)
	if err != nil {
		sc.st.doubt = bt
		return false, err
	}
	if !rep.GetCommitted() {
		sc.Metric.Count(1, "jobs", "commit-conflicts")
		return false, sc.lose(bt, rep.GetRows())
	}
	sc.applied(bt, rep.GetRows())
	return true, nil
}

func (sc *Scheduler) batch(recs []*record) (*batch, error) {
	bt := &batch{operation: sc.operation(), recs: recs, deltas: map[string]int64{}, vms: map[string]string{}, askedMS: sc.Clock.Now()}
	bt.req = &platformpb.CommitRequest{Operation: bt.operation}
	for _, rec := range recs {
		raw, err := rec.view.Bytes()
		if err != nil {
			return nil, err
		}
		bt.put(rec.view.Key(), rec.version, raw)
		bt.steps = append(bt.steps, len(rec.steps))
		bt.deltas[rec.team()] += counts(rec.view) - counts(rec.stored)
		if rec.planned {
			bt.require(sc.Condition(rec.worker), rec.worker)
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
		bt.put(LimitKeyPrefix+name, ct.version, raw)
	}
	return nil
}

func (bt *batch) put(key string, version uint64, raw []byte) {
	bt.req.Conditions = append(bt.req.Conditions, &platformpb.Condition{Key: key, Version: version})
	bt.req.Writes = append(bt.req.Writes, &platformpb.Write{Key: key, Value: raw})
}

// require adds the condition of a VM once; a VM that takes no work any more gets one that never holds.
func (bt *batch) require(cond *platformpb.Condition, vm string) {
	if cond == nil {
		cond = &platformpb.Condition{Key: bt.req.GetConditions()[0].GetKey(), Version: neverVersion}
	}
	if bt.vms[cond.GetKey()] != "" {
		return
	}
	bt.vms[cond.GetKey()] = vm
	bt.req.Conditions = append(bt.req.Conditions, cond)
}

const neverVersion = ^uint64(0)

func counts(jb job.Job) int64 {
	if jb.Row().GetCounted() {
		return 1
	}
	return 0
}

// applied takes the new versions of a transaction that took effect.
func (sc *Scheduler) applied(bt *batch, rows []*platformpb.Row) {
	versions := map[string]uint64{}
	for _, row := range rows {
		versions[row.GetKey()] = row.GetVersion()
	}
	for _, rec := range bt.recs {
		rec.askedMS = bt.askedMS
		rec.stored, rec.version = rec.view, versions[rec.view.Key()]
		rec.steps, rec.planned = nil, false
		sc.sync(rec)
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
func (sc *Scheduler) lose(bt *batch, rows []*platformpb.Row) error {
	for _, row := range rows {
		if err := sc.adoptAny(row); err != nil {
			return err
		}
		if vm, ok := bt.vms[row.GetKey()]; ok {
			sc.host(vm).stale = sc.Condition(vm).GetVersion()
			sc.st.ix.Block(vm, placement.Unavailable, true)
		}
	}
	sc.unplan(bt.recs)
	return nil
}

func (sc *Scheduler) unplan(recs []*record) {
	for _, rec := range recs {
		if rec.planned {
			rec.dropStart()
			rec.replay()
			sc.sync(rec)
		}
	}
}

func (sc *Scheduler) adoptAny(row *platformpb.Row) error {
	switch {
	case strings.HasPrefix(row.GetKey(), job.KeyPrefix):
		return sc.adopt(row)
	case strings.HasPrefix(row.GetKey(), LimitKeyPrefix):
		return sc.adoptCounter(row)
	}
	return nil
}

func (sc *Scheduler) adoptCounter(row *platformpb.Row) error {
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
func (sc *Scheduler) resolve(ctx context.Context) error {
	bt := sc.st.doubt
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
	sc.st.doubt = nil
	present := map[string]*platformpb.Row{}
	for _, row := range rep.GetRows() {
		present[row.GetKey()] = row
	}
	for i, rec := range bt.recs {
		if row := present[rec.view.Key()]; row.GetOperation() == bt.operation {
			rec.steps, rec.planned = rec.steps[bt.steps[i]:], false
			rec.askedMS = bt.askedMS
		}
	}
	for _, key := range keys {
		row := present[key]
		if row == nil {
			row = &platformpb.Row{Key: key}
		}
		if err := sc.adoptAny(row); err != nil {
			return err
		}
	}
	sc.refuseMoved(bt, present)
	return nil
}

// refuseMoved takes back starts on VMs whose rows have changed while the answer was awaited; they were never sent.
func (sc *Scheduler) refuseMoved(bt *batch, present map[string]*platformpb.Row) {
	moved := map[string]bool{}
	for _, cond := range bt.req.GetConditions() {
		if vm, ok := bt.vms[cond.GetKey()]; ok && present[cond.GetKey()].GetVersion() != cond.GetVersion() {
			moved[vm] = true
		}
	}
	now := sc.Clock.Now()
	for _, rec := range bt.recs {
		if sc.st.unsent[rec.id()] != nil && moved[rec.worker] {
			sc.touch(rec, func(jb job.Job) job.Job { return jb.Refuse(now) })
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
