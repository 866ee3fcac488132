package scheduler_test

import (
	"context"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/pb/jobpb"
	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/pkg/code"
	"github.com/fulmarloft/fulmarloft/pkg/team"
)

func jobTeam(name string, share, limit int) team.Team { return team.New(name, share, 0, limit) }

func (bn *testBench) submitMany(name string, count int, row *jobpb.JobRow) {
	for n := range count {
		bn.submit(&jobpb.JobRow{
			Id: fmt.Sprintf("%s-%d", name, n), Team: name, Class: row.GetClass(), Idempotent: row.GetIdempotent(),
			CoresMilli: row.GetCoresMilli(), MemoryMb: row.GetMemoryMb(), RunMs: row.GetRunMs(),
		})
	}
}

// All jobs must be done within the team's limit, leave no counter or inbox row behind, and be deleted only after the retention period.
func TestJobsRunToCompletion(t *testing.T) {
	bn := newTestBench(t, 8, jobTeam("a", 1, 5))
	bn.submitMany("a", 20, &jobpb.JobRow{})
	bn.run(40000)
	for n := range 20 {
		qt.Check(t, bn.state(fmt.Sprintf("a-%d", n)), qt.Equals, "done")
	}
	qt.Check(t, bn.storedCount("a"), qt.Equals, int64(0))
	qt.Check(t, bn.countRows("job-inbox/"), qt.Equals, 0)
	bn.run(retentionMS - 60000)
	qt.Check(t, bn.countRows("job/"), qt.Equals, 20)
	bn.run(90000)
	qt.Check(t, bn.countRows("job/"), qt.Equals, 0)
	bn.checkNoViolations()
}

func (bn *testBench) countRows(prefix string) int {
	rep, err := bn.tc.Read(context.Background(), &platformpb.ReadRequest{Prefixes: []string{prefix}})
	qt.Assert(bn.t, err, qt.IsNil)
	return len(rep.GetRows())
}

// A job must not be started on a VM whose drain the scheduler doesn't know of yet; its commit must conflict with the VM's row.
func TestF3PlacementConflictsWithDrain(t *testing.T) {
	bn := newTestBench(t, 2, jobTeam("a", 1, 99))
	bn.run(200)
	bn.drain("worker-00", false)
	bn.submitMany("a", 4, &jobpb.JobRow{})
	bn.run(3000)
	for n := range 4 {
		qt.Check(t, bn.job(fmt.Sprintf("a-%d", n)).Row().GetWorker(), qt.Equals, "worker-01")
	}
	bn.checkNoViolations()
}

// A drain moves idempotent runs to other workers and waits for non-idempotent ones. An idempotent run that ends within the grace time isn't moved.
func TestDrainMovesIdempotentRuns(t *testing.T) {
	bn := newTestBench(t, 2, jobTeam("a", 1, 99))
	bn.submit(&jobpb.JobRow{Id: "twice", Team: "a", Idempotent: true, RunMs: 60000, CoresMilli: 20000, MemoryMb: 1})
	bn.submit(&jobpb.JobRow{Id: "short", Team: "a", Idempotent: true, RunMs: 4000, CoresMilli: 1000, MemoryMb: 1})
	bn.submit(&jobpb.JobRow{Id: "once", Team: "a", RunMs: 30000, CoresMilli: 1000, MemoryMb: 1})
	bn.run(1000)
	for _, name := range bn.workerNames() {
		bn.drain(name, true)
	}
	bn.addWorker("worker-02", 2)
	bn.vms.AsOfMs++
	bn.run(12000)
	qt.Check(t, bn.job("twice").Row().GetWorker(), qt.Equals, "worker-02")
	qt.Check(t, bn.state("twice"), qt.Equals, "running")
	qt.Check(t, bn.starts["short"], qt.Equals, 1)
	qt.Check(t, bn.state("once"), qt.Equals, "running")
	bn.run(60000)
	qt.Check(t, bn.state("twice"), qt.Equals, "done")
	qt.Check(t, bn.state("once"), qt.Equals, "done")
	bn.checkNoViolations()
}

// A worker that was unreachable until its lease expired reports the end of its run late; the job must become done once, and a non-idempotent one must not run again.
func TestF8LateAndRepeatedReports(t *testing.T) {
	cases := []struct {
		name                  string
		idempotent            bool
		stateWhileUnreachable string
	}{
		{"non-idempotent", false, "lost"},
		{"idempotent", true, "running"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			bn := newTestBench(t, 2, jobTeam("a", 1, 1))
			bn.submit(&jobpb.JobRow{Id: "j", Team: "a", Idempotent: tc.idempotent, RunMs: 4000})
			bn.runUntil(2000, func() bool { return bn.state("j") == "running" })
			wk := bn.workers[bn.job("j").Row().GetWorker()]
			wk.dropsRequest = func(string) bool { return true }
			bn.runUntil(30000, func() bool { return bn.storedCount("a") == 0 || bn.starts["j"] == 2 })
			bn.runUntil(2000, func() bool { return bn.state("j") == tc.stateWhileUnreachable })
			wk.dropsRequest = nil
			bn.runUntil(20000, func() bool { return bn.state("j") == "done" })
			bn.run(10000)
			qt.Check(t, bn.state("j"), qt.Equals, "done")
			qt.Check(t, bn.storedCount("a"), qt.Equals, int64(0))
			bn.checkNoViolations()
		})
	}
}

// Guards against releasing a team's job limit while a run may still be active on an unreachable worker: renewals reach the worker and extend the lease there, but their answers are lost.
func TestF8LimitIsReleasedAfterLeaseExpiry(t *testing.T) {
	bn := newTestBench(t, 4, jobTeam("a", 1, 1))
	bn.submit(&jobpb.JobRow{Id: "j", Team: "a", RunMs: 100000})
	bn.runUntil(2000, func() bool { return bn.state("j") == "running" })
	bn.submit(&jobpb.JobRow{Id: "k", Team: "a", RunMs: 1000})
	wk := bn.workers[bn.job("j").Row().GetWorker()]
	wk.dropsReply = func(string) bool { return true }
	bn.runUntil(60000, func() bool { return bn.state("k") == "done" })
	qt.Check(t, bn.state("j"), qt.Equals, "lost")
	bn.checkNoViolations()
}

// startLongJobThenOutage starts a non-idempotent job, queues another and makes the table unavailable to the scheduler.
func (bn *testBench) startLongJobThenOutage(runMS int64) {
	bn.submit(&jobpb.JobRow{Id: "long", Team: "a", RunMs: runMS})
	bn.runUntil(2000, func() bool { return bn.state("long") == "running" })
	bn.submit(&jobpb.JobRow{Id: "next", Team: "a"})
	bn.tb.SetFaults(func(caller string, _ bool) error {
		if caller == "entry-1" {
			return code.TableUnavailable
		}
		return nil
	}, nil)
}

// During an outage of the table, runs must go on under renewed leases and nothing new may start.
func TestTableOutage(t *testing.T) {
	bn := newTestBench(t, 4, jobTeam("a", 1, 99))
	bn.startLongJobThenOutage(120000)
	bn.run(100000)
	qt.Check(t, bn.starts["next"], qt.Equals, 0)
	bn.tb.SetFaults(nil, nil)
	bn.run(30000)
	qt.Check(t, bn.state("long"), qt.Equals, "done")
	qt.Check(t, bn.state("next"), qt.Equals, "done")
	bn.checkNoViolations()
}

// The table is unavailable for an hour, so that the scheduler lease expires and nobody can acquire it. Runs continue under the leases granted before.
func TestS2RunsContinueForAnHourWithoutAHolder(t *testing.T) {
	bn := newTestBench(t, 4, jobTeam("a", 1, 1))
	bn.startLongJobThenOutage(30 * 60 * 1000)
	bn.run(5000)
	bn.leaseHeld = false
	bn.run(60 * 60 * 1000)
	bn.tb.SetFaults(nil, nil)
	bn.leaseHeld = true
	bn.sc = bn.scheduler("entry-2")
	bn.run(20000)
	qt.Check(t, bn.state("long"), qt.Equals, "done")
	qt.Check(t, bn.state("next"), qt.Equals, "done")
	bn.checkNoViolations()
}

// A new holder doesn't know how long a lease its predecessor granted to a worker that is now unreachable, so it must keep counting the run. Once the VM's incarnation is reported gone, the limit is released at once.
func TestF8UnreachableWorkerOfAnEarlierHolder(t *testing.T) {
	bn := newTestBench(t, 4, jobTeam("a", 1, 1))
	bn.submit(&jobpb.JobRow{Id: "j", Team: "a", RunMs: 100000})
	bn.runUntil(2000, func() bool { return bn.state("j") == "running" })
	bn.submit(&jobpb.JobRow{Id: "k", Team: "a", RunMs: 1000})
	worker := bn.job("j").Row().GetWorker()
	bn.workers[worker].dropsRequest = func(string) bool { return true }
	bn.leaseHeld = false
	bn.run(400)
	bn.leaseHeld = true
	bn.sc = bn.scheduler("entry-2")
	bn.run(60000)
	qt.Check(t, bn.state("j"), qt.Equals, "running")
	qt.Check(t, bn.starts["k"], qt.Equals, 0)
	for _, rn := range bn.workers[worker].runs {
		bn.endRun(rn, "stopped")
	}
	bn.vms = &platformpb.VMList{AsOfMs: 2, Vms: bn.vms.GetVms(), Gone: []string{worker + "-boot-1"}}
	bn.run(5000)
	qt.Check(t, bn.state("j"), qt.Equals, "lost")
	qt.Check(t, bn.state("k"), qt.Equals, "done")
	bn.checkNoViolations()
}

// Many writes of the scheduler take effect without an answer; all jobs must still run once and the counter must return to 0.
func TestLostTableReplies(t *testing.T) {
	bn := newTestBench(t, 8, jobTeam("a", 1, 3))
	calls := 0
	lose := func(caller string, write bool) error {
		calls++
		if caller == "entry-1" && write && calls%2 == 0 {
			return context.DeadlineExceeded
		}
		return nil
	}
	bn.tb.SetFaults(nil, lose)
	bn.submitMany("a", 20, &jobpb.JobRow{RunMs: 2000})
	bn.run(120000)
	for n := range 20 {
		qt.Check(t, bn.state(fmt.Sprintf("a-%d", n)), qt.Equals, "done")
	}
	qt.Check(t, bn.storedCount("a"), qt.Equals, int64(0))
	bn.checkNoViolations()
}

// Guards against sending a start too late: its commit is confirmed only after a drain may have stopped waiting for it. The start is reverted and the job starts again under a new epoch.
func TestF3StartIsNotSentLate(t *testing.T) {
	bn := newTestBench(t, 4, jobTeam("a", 1, 3))
	bn.submit(&jobpb.JobRow{Id: "j", Team: "a"})
	down := func(caller string, _ bool) error {
		if caller == "entry-1" && bn.state("j") == "starting" {
			return code.TableUnavailable
		}
		return nil
	}
	bn.tb.SetFaults(down, down)
	bn.run(4000)
	qt.Check(t, bn.starts["j"], qt.Equals, 0)
	bn.tb.SetFaults(nil, nil)
	bn.runUntil(2000, func() bool { return bn.starts["j"] == 1 })
	qt.Check(t, bn.job("j").Row().GetEpoch(), qt.Equals, uint64(2))
	bn.run(10000)
	qt.Check(t, bn.state("j"), qt.Equals, "done")
	bn.checkNoViolations()
}

// A new holder must take over the runs of its predecessor and go on with the queued jobs, without a second run of any.
func TestNewHolderContinues(t *testing.T) {
	bn := newTestBench(t, 4, jobTeam("a", 1, 4))
	bn.submitMany("a", 8, &jobpb.JobRow{RunMs: 9000})
	bn.run(3000)
	bn.leaseHeld = false
	bn.run(1000)
	bn.leaseHeld = true
	bn.sc = bn.scheduler("entry-2")
	bn.run(40000)
	for n := range 8 {
		qt.Check(t, bn.state(fmt.Sprintf("a-%d", n)), qt.Equals, "done")
	}
	qt.Check(t, bn.storedCount("a"), qt.Equals, int64(0))
	bn.checkNoViolations()
}

// Losing the lease between the commit of a start and its command leaves a run that nobody sends. It ends as lost and is never started a second time.
func TestS5NothingIsSentWithoutTheLease(t *testing.T) {
	bn := newTestBench(t, 4, jobTeam("a", 1, 4))
	bn.submit(&jobpb.JobRow{Id: "j", Team: "a"})
	bn.tb.SetFaults(nil, func(caller string, write bool) error {
		if caller == "entry-1" && write && bn.state("j") == "starting" {
			bn.leaseHeld = false
		}
		return nil
	})
	bn.run(400)
	qt.Check(t, bn.starts["j"], qt.Equals, 0)
	bn.tb.SetFaults(nil, nil)
	bn.leaseHeld = true
	bn.sc = bn.scheduler("entry-2")
	bn.run(20000)
	qt.Check(t, bn.state("j"), qt.Equals, "lost")
	qt.Check(t, bn.storedCount("a"), qt.Equals, int64(0))
	bn.checkNoViolations()
}

// A worker on which all runs fail must get few of them, jobs that fail or crash every worker must be marked poisonous after few runs, and all other jobs must be done.
func TestF5FailingWorkerAndPoisonousJobs(t *testing.T) {
	bn := newTestBench(t, 12, jobTeam("a", 1, 99))
	bad := bn.workers["worker-03"]
	bad.fails = func(string) bool { return true }
	for _, wk := range bn.workers {
		if wk != bad {
			wk.fails = func(id string) bool { return id == "poison" }
			wk.crashes = func(id string) bool { return id == "deadly" }
		}
	}
	bn.submit(&jobpb.JobRow{Id: "giant", Team: "a", CoresMilli: 33000, MemoryMb: 1})
	bn.submit(&jobpb.JobRow{Id: "poison", Team: "a", Idempotent: true, RunMs: 1000})
	bn.submit(&jobpb.JobRow{Id: "deadly", Team: "a", Idempotent: true, RunMs: 1000})
	bn.run(400)
	qt.Check(t, bn.state("giant"), qt.Equals, "impossible")
	qt.Check(t, bn.job("giant").Outcome(), qt.Equals, "not-run")
	for wave := range 20 {
		for n := range 12 {
			bn.submit(&jobpb.JobRow{Id: fmt.Sprintf("a-%d-%d", wave, n), Team: "a", Idempotent: true, RunMs: 1000})
		}
		bn.run(3000)
	}
	bn.run(60000)
	qt.Check(t, bn.state("poison"), qt.Equals, "poisonous")
	qt.Check(t, bn.state("deadly"), qt.Equals, "poisonous")
	qt.Check(t, bn.starts["poison"] <= 5, qt.IsTrue, qt.Commentf("%d runs of the poisonous job, at most 5 allowed", bn.starts["poison"]))
	qt.Check(t, bn.starts["deadly"] <= 5, qt.IsTrue, qt.Commentf("%d runs of the crashing job, at most 5 allowed", bn.starts["deadly"]))
	qt.Check(t, len(bad.runs) <= 12, qt.IsTrue, qt.Commentf("%d runs on the failing worker, at most 12 allowed", len(bad.runs)))
	for wave := range 20 {
		for n := range 12 {
			qt.Check(t, bn.state(fmt.Sprintf("a-%d-%d", wave, n)), qt.Equals, "done")
		}
	}
	bn.checkNoViolations()
}

// An urgent job of a team below its share starts within the bound on a fleet filled by another team, and no non-idempotent run is preempted.
func TestUrgentStartsWithinBoundWhenFull(t *testing.T) {
	const boundMS = 4900
	cases := []struct {
		name        string
		checkpoints bool
	}{{"workers checkpoint", true}, {"workers ignore checkpoints", false}}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			bn := newTestBench(t, 4, jobTeam("big", 1, 99), jobTeam("small", 1, 99))
			for _, wk := range bn.workers {
				wk.checkpoints = tc.checkpoints
			}
			bn.submitMany("big", 8, &jobpb.JobRow{Idempotent: true, RunMs: 600000})
			bn.run(1000)
			for n := range 30 {
				bn.submit(&jobpb.JobRow{Id: fmt.Sprintf("once-%d", n), Team: "big", RunMs: 600000})
			}
			bn.run(2000)
			for n := range 4 {
				bn.submit(&jobpb.JobRow{Id: fmt.Sprintf("urgent-%d", n), Team: "small", Class: jobpb.Class_URGENT, RunMs: 60000})
			}
			took := bn.runUntil(boundMS, func() bool {
				return bn.starts["urgent-0"]+bn.starts["urgent-1"]+bn.starts["urgent-2"]+bn.starts["urgent-3"] == 4
			})
			t.Logf("four urgent jobs started within %d ms", took)
			for n := range 30 {
				qt.Check(t, bn.state(fmt.Sprintf("once-%d", n)), qt.Not(qt.Equals), "lost")
			}
			bn.checkNoViolations()
		})
	}
}

// A team that floods the queue must fall back to its weighted share when other teams submit jobs, and most of the capacity must stay in use.
func TestF7LargeTeamFloods(t *testing.T) {
	bn := newTestBench(t, 8, jobTeam("large", 1, 999), jobTeam("b", 1, 999), jobTeam("c", 2, 999))
	bn.submitMany("large", 400, &jobpb.JobRow{RunMs: 3000})
	bn.run(2000)
	qt.Check(t, bn.running["large"], qt.Equals, 32)
	bn.submitMany("b", 40, &jobpb.JobRow{RunMs: 3000})
	bn.submitMany("c", 60, &jobpb.JobRow{RunMs: 3000})
	bn.run(6000)
	sum := map[string]int{}
	for range 20 {
		bn.run(200)
		for name, count := range bn.running {
			sum[name] += count
		}
	}
	qt.Check(t, sum["large"] <= sum["b"]*11/10, qt.IsTrue, qt.Commentf("running jobs, summed over 20 samples: %v", sum))
	qt.Check(t, sum["large"] <= sum["c"]*11/20, qt.IsTrue, qt.Commentf("running jobs, summed over 20 samples: %v", sum))
	qt.Check(t, sum["large"]+sum["b"]+sum["c"] >= 20*32*3/4, qt.IsTrue, qt.Commentf("running jobs, summed over 20 samples: %v", sum))
	bn.checkNoViolations()
}

// A changed limit or share, or the removal of a team, must not stop its running jobs and must apply to its queued ones.
func TestF9TeamChangesWhileJobsRun(t *testing.T) {
	cases := []struct {
		name       string
		next       []team.Team
		otherState string
		queued     int
	}{
		{"limit reduced below the running jobs", []team.Team{jobTeam("a", 1, 2), jobTeam("b", 1, 0)}, "queued", 2},
		{"share set to 0 while others wait", []team.Team{jobTeam("a", 0, 5), jobTeam("b", 1, 99)}, "queued", 4},
		{"team removed", []team.Team{jobTeam("b", 1, 99)}, "cancelled", 4},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			bn := newTestBench(t, 2, jobTeam("a", 1, 5), jobTeam("b", 1, 99))
			bn.submitMany("a", 9, &jobpb.JobRow{RunMs: 8000, CoresMilli: 8000, MemoryMb: 1024})
			bn.run(2000)
			qt.Assert(t, bn.running["a"], qt.Equals, 5)
			bn.teams = tc.next
			bn.submitMany("b", 20, &jobpb.JobRow{RunMs: 90000})
			bn.run(3000)
			qt.Check(t, bn.running["a"], qt.Equals, 5)
			bn.run(6000)
			done, other := 0, 0
			for n := range 9 {
				switch bn.state(fmt.Sprintf("a-%d", n)) {
				case "done":
					done++
				case tc.otherState:
					other++
				}
			}
			qt.Check(t, done, qt.Equals, 5)
			qt.Check(t, other, qt.Equals, tc.queued)
			bn.checkNoViolations()
		})
	}
}

// Cancelling thousands of jobs must take few commits and leave no run or counter behind.
func TestMassCancellation(t *testing.T) {
	const jobs = 4000
	bn := newTestBench(t, 4, jobTeam("a", 1, 16))
	bn.submitMany("a", jobs, &jobpb.JobRow{Idempotent: true, RunMs: 600000})
	bn.run(8000)
	for n := range jobs {
		bn.cancel(fmt.Sprintf("a-%d", n))
	}
	before, _ := bn.tb.Counts()
	bn.run(8000)
	after, _ := bn.tb.Counts()
	qt.Check(t, after-before <= 60, qt.IsTrue, qt.Commentf("%d commits to cancel %d jobs, at most 60 allowed", after-before, jobs))
	for n := range jobs {
		qt.Assert(t, bn.state(fmt.Sprintf("a-%d", n)), qt.Equals, "cancelled")
	}
	qt.Check(t, bn.storedCount("a"), qt.Equals, int64(0))
	qt.Check(t, bn.running["a"], qt.Equals, 0)
	bn.checkNoViolations()
}

// Declared sizes are ten times too small. No worker stays over capacity longer than the bound, and later jobs are placed by observed use.
func TestF4WorkerOverCapacity(t *testing.T) {
	const boundMS = 12000
	cases := []struct {
		name     string
		cores    float64
		memoryMB uint64
	}{{"cores, freed by throttling", 10, 1000}, {"memory, not freed by throttling", 1, 20000}}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			bn := newTestBench(t, 4, jobTeam("a", 1, 999))
			overSince := map[string]int64{}
			for name, wk := range bn.workers {
				wk.usage = func(*platformpb.Task) (float64, uint64) { return tc.cores, tc.memoryMB }
				overSince[name] = bn.ck.Now()
			}
			bn.submitMany("a", 60, &jobpb.JobRow{Idempotent: true, CoresMilli: 1000, MemoryMb: 2000, RunMs: 20000})
			longest := int64(0)
			for range 900 {
				bn.run(200)
				for _, name := range bn.workerNames() {
					if cores, memory := bn.usedOn(name); cores <= 32 && memory <= 65536 {
						overSince[name] = bn.ck.Now()
					}
					longest = max(longest, bn.ck.Now()-overSince[name])
				}
			}
			done := 0
			for n := range 60 {
				if bn.state(fmt.Sprintf("a-%d", n)) == "done" {
					done++
				}
			}
			t.Logf("longest time over capacity %d ms, %d of 60 jobs done in 180 s", longest, done)
			qt.Check(t, longest > 0 && longest <= boundMS, qt.IsTrue, qt.Commentf("over capacity for up to %d ms, expected more than 0 and at most %d", longest, boundMS))
			qt.Check(t, done, qt.Equals, 60)
			bn.checkNoViolations()
		})
	}
}

func (bn *testBench) usedOn(worker string) (cores float64, memoryMB uint64) {
	for _, rn := range bn.workers[worker].runs {
		if rn.state == "running" {
			rep := bn.workers[worker].report(rn, bn.ck.Now())
			cores += rep.GetUsedCores()
			memoryMB += rep.GetUsedMemoryMb()
		}
	}
	return cores, memoryMB
}

// Declared sizes are ten times too large. The fleet soon runs several times as many jobs as the declared sizes would allow.
func TestF4OverdeclaredSizesLeaveNoCapacityIdle(t *testing.T) {
	bn := newTestBench(t, 4, jobTeam("a", 1, 999))
	for _, wk := range bn.workers {
		wk.usage = func(*platformpb.Task) (float64, uint64) { return 1.6, 1638 }
	}
	bn.submitMany("a", 200, &jobpb.JobRow{Idempotent: true, CoresMilli: 16000, MemoryMb: 16384, RunMs: 5000})
	peak := 0
	for range 200 {
		bn.run(200)
		peak = max(peak, bn.running["a"])
	}
	t.Logf("at most %d at once, 8 by declared sizes, 80 by use", peak)
	qt.Check(t, peak >= 32, qt.IsTrue, qt.Commentf("at most %d at once, 8 by declared sizes", peak))
	bn.checkNoViolations()
}
