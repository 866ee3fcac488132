package scheduler_test

import (
	"context"
	"fmt"
	"sort"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/observability/event"
	"github.com/fulmarloft/fulmarloft/internal/observability/metric"
	"github.com/fulmarloft/fulmarloft/internal/pb/jobpb"
	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/job"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/scheduler"
	"github.com/fulmarloft/fulmarloft/internal/store/table"
	"github.com/fulmarloft/fulmarloft/internal/testbed/memtable"
	"github.com/fulmarloft/fulmarloft/pkg/code"
	"github.com/fulmarloft/fulmarloft/pkg/team"
)

const (
	leaseMS     = 6000
	retentionMS = 600000
	startMS     = 1000000
)

// testBench runs a scheduler against an in-memory table and fake workers on one fake clock. It records what runs on the workers and which guarantees are violated.
type testBench struct {
	t       *testing.T
	ck      *clock.Clock
	tb      *memtable.Table
	tc      *table.Client
	vms     *platformpb.VMList
	workers map[string]*fakeWorker
	teams   []team.Team
	// teamsKnown is whether the scheduler can tell the teams in force.
	teamsKnown bool
	leaseHeld  bool
	// conditions holds the conditions on VM rows as the scheduler sees them, nil for a VM that is draining.
	conditions map[string]*platformpb.Condition
	sc         *scheduler.Scheduler
	mt         *metric.Registry
	seq        int
	// running counts the runs now on the workers, by team.
	running map[string]int
	// starts counts the runs started, by job.
	starts        map[string]int
	nonIdempotent map[string]bool
	violations    []string
	commands      []string
}

// fakeWorker runs tasks under leases like the platform's workers. Its functions inject faults and may be nil.
type fakeWorker struct {
	name string
	runs map[string]*fakeRun
	down bool
	// dropsRequest reports whether a call with this verb gets lost on the way to the worker.
	dropsRequest func(verb string) bool
	// dropsReply reports whether the answer to a call with this verb gets lost.
	dropsReply func(verb string) bool
	// fails reports whether a run of the job fails at its end.
	fails func(job string) bool
	// crashes reports whether a run of the job takes the worker down at its end.
	crashes func(job string) bool
	// usage returns the observed use of a run; if it is nil, a run uses its reserved size.
	usage func(tk *platformpb.Task) (cores float64, memoryMB uint64)
	// checkpoints is whether the worker carries out checkpoint commands.
	checkpoints bool
}

type fakeRun struct {
	task      *platformpb.Task
	state     string
	endMS     int64
	untilMS   int64
	throttled bool
}

func newTestBench(t *testing.T, workers int, teams ...team.Team) *testBench {
	bn := &testBench{
		t: t, ck: clock.NewFake(startMS), tb: memtable.New(), vms: &platformpb.VMList{AsOfMs: 1}, workers: map[string]*fakeWorker{},
		teams: teams, teamsKnown: true, leaseHeld: true, conditions: map[string]*platformpb.Condition{}, mt: metric.New(),
		running: map[string]int{}, starts: map[string]int{}, nonIdempotent: map[string]bool{},
	}
	bn.tc = bn.tb.Client("test")
	for i := range workers {
		bn.addWorker(fmt.Sprintf("worker-%02d", i), i)
	}
	bn.sc = bn.scheduler("entry-1")
	return bn
}

func (bn *testBench) addWorker(name string, i int) {
	bn.vms.Vms = append(bn.vms.Vms, &platformpb.VM{
		Name: name, Incarnation: name + "-boot-1", Zone: fmt.Sprintf("zone-%d", i/4%3), Rack: fmt.Sprintf("rack-%d", i/4), Kind: "worker", Cores: 32, MemoryMb: 65536,
	})
	bn.workers[name] = &fakeWorker{name: name, runs: map[string]*fakeRun{}, checkpoints: true}
	rep, err := bn.tc.Commit(context.Background(), &platformpb.CommitRequest{Operation: name, Writes: []*platformpb.Write{{Key: "vm/" + name, Value: []byte("serving")}}})
	qt.Assert(bn.t, err, qt.IsNil)
	bn.conditions[name] = &platformpb.Condition{Key: "vm/" + name, Version: rep.GetRows()[0].GetVersion()}
}

func (bn *testBench) scheduler(incarnation string) *scheduler.Scheduler {
	return &scheduler.Scheduler{
		Clock: bn.ck, Table: bn.tb.Client(incarnation), Log: event.Discard(), Metric: bn.mt, Incarnation: incarnation,
		Held:      func() bool { return bn.leaseHeld },
		Teams:     func() ([]team.Team, bool) { return bn.teams, bn.teamsKnown },
		Timing:    func() (int64, int64) { return leaseMS, retentionMS },
		Fleet:     func() *platformpb.VMList { return bn.vms },
		Condition: func(vm string) *platformpb.Condition { return bn.conditions[vm] },
		Draining:  func(vm string) bool { return bn.conditions[vm] == nil },
		Send:      bn.send,
		Reports:   bn.reports,
		Parallel:  1,
	}
}

func (bn *testBench) submit(row *jobpb.JobRow) {
	bn.seq++
	row.SubmittedMs, row.IssuedMs = bn.ck.Now(), bn.ck.Now()
	if row.GetCoresMilli() == 0 {
		row.CoresMilli, row.MemoryMb = 8000, 8192
	}
	if row.GetRunMs() == 0 {
		row.RunMs = 5000
	}
	bn.nonIdempotent[row.GetId()] = !row.GetIdempotent()
	bn.write(row, 0)
}

func (bn *testBench) write(row *jobpb.JobRow, version uint64) {
	raw, err := proto.Marshal(row)
	qt.Assert(bn.t, err, qt.IsNil)
	bn.seq++
	rep, err := bn.tb.Commit(context.Background(), "caller", &platformpb.CommitRequest{
		Operation:  fmt.Sprintf("caller-%d", bn.seq),
		Conditions: []*platformpb.Condition{{Key: "job/" + row.GetId(), Version: version}},
		Writes:     []*platformpb.Write{{Key: "job/" + row.GetId(), Value: raw}, {Key: "job-inbox/" + row.GetId()}},
	})
	qt.Assert(bn.t, err, qt.IsNil)
	qt.Assert(bn.t, rep.GetCommitted(), qt.IsTrue)
}

func (bn *testBench) cancel(id string) {
	row, err := bn.tc.Get(context.Background(), "job/"+id)
	qt.Assert(bn.t, err, qt.IsNil)
	jb, err := job.Parse(row.GetValue())
	qt.Assert(bn.t, err, qt.IsNil)
	bn.write(jb.Cancel(bn.ck.Now()).Row(), row.GetVersion())
}

// job returns the job as stored in the table, which is what callers see.
func (bn *testBench) job(id string) job.Job {
	rep, err := bn.tb.Read(context.Background(), "observer", &platformpb.ReadRequest{Keys: []string{"job/" + id}})
	qt.Assert(bn.t, err, qt.IsNil)
	qt.Assert(bn.t, rep.GetRows(), qt.HasLen, 1, qt.Commentf("job %s", id))
	jb, err := job.Parse(rep.GetRows()[0].GetValue())
	qt.Assert(bn.t, err, qt.IsNil)
	return jb
}

func (bn *testBench) state(id string) string { return bn.job(id).Status().GetState() }

func (bn *testBench) storedCount(name string) int64 {
	row, err := bn.tc.Get(context.Background(), "limit/jobs/"+name)
	qt.Assert(bn.t, err, qt.IsNil)
	val := &jobpb.JobLimitRow{}
	qt.Assert(bn.t, proto.Unmarshal(row.GetValue(), val), qt.IsNil)
	return val.GetRunning()
}

// run advances the clock by the given time, with a scheduler step every StepMS and the workers advanced in between.
func (bn *testBench) run(ms int64) {
	for end := bn.ck.Now() + ms; bn.ck.Now() < end; {
		_ = bn.sc.Step(context.Background())
		for range scheduler.StepMS / 100 {
			bn.ck.Advance(100)
			bn.advanceRuns()
		}
	}
}

// runUntil runs until the condition holds and returns the time taken; it fails the test after maxMS.
func (bn *testBench) runUntil(maxMS int64, cond func() bool) int64 {
	start := bn.ck.Now()
	for !cond() {
		if bn.ck.Now() >= start+maxMS {
			bn.t.Fatalf("condition not met within %d ms", maxMS)
		}
		bn.run(scheduler.StepMS)
	}
	return bn.ck.Now() - start
}

func (bn *testBench) advanceRuns() {
	for _, name := range bn.workerNames() {
		wk := bn.workers[name]
		for _, rn := range wk.runs {
			if rn.state == job.ReportRunning && bn.ck.Now() >= rn.untilMS {
				bn.endRun(rn, job.ReportStopped)
			}
			if rn.state == job.ReportRunning && bn.ck.Now() >= rn.endMS {
				bn.finishRun(wk, rn)
			}
		}
	}
}

func (bn *testBench) finishRun(wk *fakeWorker, rn *fakeRun) {
	switch id := rn.task.GetJob(); {
	case wk.crashes != nil && wk.crashes(id):
		wk.down = true
		for _, other := range wk.runs {
			bn.endRun(other, job.ReportStopped)
		}
	case wk.fails != nil && wk.fails(id):
		bn.endRun(rn, job.ReportFailed)
	default:
		bn.endRun(rn, job.ReportDone)
	}
}

func (bn *testBench) workerNames() []string {
	var names []string
	for name := range bn.workers {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (bn *testBench) endRun(rn *fakeRun, state string) {
	if rn.state == job.ReportRunning {
		rn.state = state
		bn.running[rn.task.GetTeam()]--
	}
}

func (bn *testBench) send(_ context.Context, vm string, tk *platformpb.Task) (*platformpb.TaskReport, error) {
	wk := bn.workers[vm]
	if wk.down {
		return nil, code.EndpointRefused
	}
	if wk.dropsRequest != nil && wk.dropsRequest(tk.GetVerb()) {
		return nil, code.WorkerLost
	}
	rep := bn.execute(wk, tk)
	if wk.dropsReply != nil && wk.dropsReply(tk.GetVerb()) {
		return nil, code.WorkerLost
	}
	return rep, nil
}

func (bn *testBench) execute(wk *fakeWorker, tk *platformpb.Task) *platformpb.TaskReport {
	if tk.GetVerb() != "renew" {
		bn.commands = append(bn.commands, tk.GetJob()+" "+tk.GetVerb())
	}
	rn, ok := wk.runs[tk.GetRun()]
	if !ok && tk.GetVerb() == "start" {
		rn = bn.startRun(wk, tk)
	}
	if rn == nil {
		return &platformpb.TaskReport{Run: tk.GetRun(), Epoch: tk.GetEpoch(), State: job.ReportUnknown}
	}
	switch tk.GetVerb() {
	case "renew":
		rn.untilMS = bn.ck.Now() + tk.GetLeaseMs()
	case "throttle":
		rn.throttled = true
	case "checkpoint":
		if wk.checkpoints {
			bn.endRun(rn, job.ReportCheckpointed)
		}
	case "stop":
		bn.endRun(rn, job.ReportStopped)
	}
	return wk.report(rn, bn.ck.Now())
}

func (bn *testBench) startRun(wk *fakeWorker, tk *platformpb.Task) *fakeRun {
	now := bn.ck.Now()
	rn := &fakeRun{task: tk, state: job.ReportRunning, endMS: now + tk.GetRunMs(), untilMS: now + tk.GetLeaseMs()}
	wk.runs[tk.GetRun()] = rn
	bn.running[tk.GetTeam()]++
	bn.starts[tk.GetJob()]++
	if bn.nonIdempotent[tk.GetJob()] && bn.starts[tk.GetJob()] > 1 {
		bn.addViolation("second run of %s", tk.GetJob())
	}
	for _, tm := range bn.teams {
		if tm.Name() == tk.GetTeam() && bn.running[tk.GetTeam()] > tm.JobLimit() {
			bn.addViolation("team %s runs %d jobs, its limit is %d", tm.Name(), bn.running[tk.GetTeam()], tm.JobLimit())
		}
	}
	row, err := bn.tb.Read(context.Background(), "observer", &platformpb.ReadRequest{Keys: []string{"vm/" + wk.name}})
	if err != nil || string(row.GetRows()[0].GetValue()) != "serving" {
		bn.addViolation("%s placed on %s, which doesn't serve", tk.GetJob(), wk.name)
	}
	return rn
}

func (bn *testBench) addViolation(format string, args ...any) {
	bn.violations = append(bn.violations, fmt.Sprintf(format, args...))
}

func (bn *testBench) reports(_ context.Context, vm string) (*platformpb.TaskReports, error) {
	wk := bn.workers[vm]
	if wk.down || (wk.dropsRequest != nil && wk.dropsRequest("reports")) {
		return nil, code.WorkerLost
	}
	reps := &platformpb.TaskReports{}
	for _, rn := range wk.runs {
		reps.Reports = append(reps.Reports, wk.report(rn, bn.ck.Now()))
	}
	return reps, nil
}

func (wk *fakeWorker) report(rn *fakeRun, nowMS int64) *platformpb.TaskReport {
	rep := &platformpb.TaskReport{
		Run: rn.task.GetRun(), Epoch: rn.task.GetEpoch(), State: rn.state, AsOfMs: nowMS,
		UsedCores: rn.task.GetCores(), UsedMemoryMb: rn.task.GetMemoryMb(),
	}
	if wk.usage != nil && rn.state == job.ReportRunning {
		rep.UsedCores, rep.UsedMemoryMb = wk.usage(rn.task)
		if rn.throttled {
			rep.UsedCores = min(rep.UsedCores, rn.task.GetCores())
		}
	}
	return rep
}

func (bn *testBench) checkNoViolations() {
	bn.t.Helper()
	qt.Check(bn.t, bn.violations, qt.HasLen, 0)
}

// drain sets the VM's row to draining, as a maintenance wave does. Unless visible is set, the scheduler still sees the old row.
func (bn *testBench) drain(vm string, visible bool) {
	bn.seq++
	_, err := bn.tc.Commit(context.Background(), &platformpb.CommitRequest{
		Operation: fmt.Sprintf("wave-%d", bn.seq), Writes: []*platformpb.Write{{Key: "vm/" + vm, Value: []byte("draining")}},
	})
	qt.Assert(bn.t, err, qt.IsNil)
	if visible {
		bn.conditions[vm] = nil
	}
}
