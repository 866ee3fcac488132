package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/quarantine"
)

const (
	workers      = 40
	badWorkers   = 3
	poisonJobs   = 4
	jobs         = 600
	dyingWorkers = 2
)

func name(kind string, i int) string { return fmt.Sprintf("%s-%d", kind, i) }

// TestF5SeparatesFailingWorkersFromPoisonousJobs mixes failing workers, poisonous jobs and random failures: exactly the failing workers must be quarantined and exactly the poisonous jobs marked, each job may fail on at most 5 workers, and each failing worker may fail at most 5 runs.
func TestF5SeparatesFailingWorkersFromPoisonousJobs(t *testing.T) {
	for seed := range uint64(50) {
		t.Run(name("seed", int(seed)), func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 1))
			ck := clock.NewFake(1000000)
			lg := quarantine.New(ck)
			lg.SetFleet(workers)
			touched := map[string]map[string]bool{}
			worst := map[string]int{}
			for n := range jobs {
				id := name("job", n)
				poison := n%(jobs/poisonJobs) == 7
				touched[id] = map[string]bool{}
				for !lg.Poisonous(id) {
					wk := name("worker", rnd.IntN(workers))
					if lg.Quarantined(wk) || touched[id][wk] {
						continue
					}
					ck.Advance(100)
					bad := wk < name("worker", badWorkers) && len(wk) == len("worker-0")
					if !bad && !poison && rnd.IntN(100) != 0 {
						lg.RecordSuccess(wk, id)
						break
					}
					touched[id][wk] = true
					if bad {
						worst[wk]++
					}
					lg.RecordFailure(wk, id)
				}
				qt.Assert(t, lg.Poisonous(id), qt.Equals, poison, qt.Commentf("%s after failures on %v", id, touched[id]))
				qt.Assert(t, len(touched[id]) <= 5, qt.IsTrue, qt.Commentf("%s failed on %v, at most 5 workers allowed", id, touched[id]))
			}
			for i := range workers {
				wk := name("worker", i)
				qt.Check(t, lg.Quarantined(wk), qt.Equals, i < badWorkers, qt.Commentf("%s", wk))
				qt.Check(t, worst[wk] <= 5, qt.IsTrue, qt.Commentf("%s failed %d runs, at most 5 allowed", wk, worst[wk]))
			}
		})
	}
}

// A poisonous job that crashes its workers makes the other jobs on them fail too. Those jobs must not be marked poisonous, nor the workers quarantined.
func TestF5CrashingJobAmongGoodJobs(t *testing.T) {
	ck := clock.NewFake(1000000)
	lg := quarantine.New(ck)
	lg.SetFleet(workers)
	for i := range 3 {
		lg.RecordFailure(name("worker", i), "deadly", name("a", i), name("b", i))
		ck.Advance(1000)
	}
	qt.Check(t, lg.Poisonous("deadly"), qt.IsTrue)
	for i := range 3 {
		qt.Check(t, lg.Poisonous(name("a", i)), qt.IsFalse)
		qt.Check(t, lg.Quarantined(name("worker", i)), qt.IsFalse)
	}
}

// A job that ran only on failing workers isn't poisonous.
func TestF5JobOnFailingWorkersOnly(t *testing.T) {
	ck := clock.NewFake(1000000)
	lg := quarantine.New(ck)
	lg.SetFleet(workers)
	for i := range 3 {
		lg.RecordFailure(name("worker", i), name("x", i))
		lg.RecordFailure(name("worker", i), name("y", i))
	}
	for i := range 3 {
		lg.RecordFailure(name("worker", i), "victim")
	}
	qt.Check(t, lg.Poisonous("victim"), qt.IsFalse)
	qt.Check(t, lg.QuarantinedWorkers(), qt.HasLen, 3)
}

// A quarantined worker must be tried again after a delay that doubles with each failed trial, and released after two successful trials.
func TestTrialRuns(t *testing.T) {
	ck := clock.NewFake(1000000)
	lg := quarantine.New(ck)
	lg.SetFleet(workers)
	for i := range 3 {
		lg.RecordFailure("worker", name("job", i))
	}
	qt.Assert(t, lg.Quarantined("worker"), qt.IsTrue)
	qt.Assert(t, lg.TrialDue("worker"), qt.IsFalse)
	ck.Advance(30000)
	qt.Assert(t, lg.TrialDue("worker"), qt.IsTrue)
	lg.BeginTrial("worker", "trial-1")
	qt.Assert(t, lg.TrialDue("worker"), qt.IsFalse)
	lg.RecordFailure("worker", "trial-1")
	ck.Advance(59999)
	qt.Assert(t, lg.TrialDue("worker"), qt.IsFalse)
	ck.Advance(1)
	for i := range 2 {
		qt.Assert(t, lg.TrialDue("worker"), qt.IsTrue)
		lg.BeginTrial("worker", name("good", i))
		lg.RecordSuccess("worker", name("good", i))
	}
	qt.Assert(t, lg.Quarantined("worker"), qt.IsFalse)
}

// Runs that were under way when the worker was quarantined must count neither as passed nor as failed trials, also if they end during a trial.
func TestRunsFromBeforeTheQuarantineAreNoTrials(t *testing.T) {
	ck := clock.NewFake(1000000)
	lg := quarantine.New(ck)
	lg.SetFleet(workers)
	for i := range 3 {
		lg.RecordFailure("worker", name("job", i))
	}
	qt.Assert(t, lg.Quarantined("worker"), qt.IsTrue)
	for i := range 3 {
		lg.RecordSuccess("worker", name("earlier", i))
	}
	qt.Check(t, lg.Quarantined("worker"), qt.IsTrue, qt.Commentf("released by runs from before the quarantine"))
	ck.Advance(30000)
	lg.BeginTrial("worker", "trial")
	lg.RecordFailure("worker", "earlier-3")
	lg.RecordSuccess("worker", "earlier-4")
	qt.Check(t, lg.TrialDue("worker"), qt.IsFalse, qt.Commentf("a second trial during the first"))
	lg.EndTrial("worker")
	lg.RecordSuccess("worker", "trial")
	qt.Check(t, lg.TrialDue("worker"), qt.IsTrue, qt.Commentf("the failure of an earlier run delays the next trial"))
	lg.BeginTrial("worker", "trial-2")
	lg.RecordSuccess("worker", "trial-2")
	qt.Check(t, lg.Quarantined("worker"), qt.IsFalse)
}

// Failures older than ten minutes must count no more, also for a worker on which nothing has failed since.
func TestOldFailuresExpireWithoutNewOnes(t *testing.T) {
	const memoryMS = 10 * 60 * 1000
	t.Run("of another worker that shares a job", func(t *testing.T) {
		ck := clock.NewFake(1000000)
		lg := quarantine.New(ck)
		lg.SetFleet(workers)
		for i := range 3 {
			lg.RecordFailure(name("worker", i), name("first", i))
			lg.RecordFailure(name("worker", i), name("second", i))
		}
		ck.Advance(memoryMS + 10)
		lg.RestoreFailures("poison", []string{name("worker", 0), name("worker", 1)})
		lg.RecordFailure(name("worker", 2), "poison")
		qt.Check(t, lg.Poisonous("poison"), qt.IsTrue, qt.Commentf("old failures of the workers still explain those of the job"))
	})
	t.Run("of a worker whose jobs succeed elsewhere", func(t *testing.T) {
		ck := clock.NewFake(1000000)
		lg := quarantine.New(ck)
		lg.SetFleet(workers)
		for i := range 4 {
			lg.RecordFailure("worker", name("job", i))
			for n := range 3 {
				lg.RestoreFailures(name("job", i), []string{name("other", n)})
			}
		}
		qt.Assert(t, lg.Quarantined("worker"), qt.IsFalse)
		ck.Advance(memoryMS + 10)
		for i := range 4 {
			for range 10 {
				lg.RecordSuccess("another", name("job", i))
			}
		}
		qt.Check(t, lg.Quarantined("worker"), qt.IsFalse, qt.Commentf("quarantined for old failures"))
	})
	t.Run("with their successes", func(t *testing.T) {
		ck := clock.NewFake(1000000)
		lg := quarantine.New(ck)
		lg.SetFleet(workers)
		lg.RecordFailure("worker", "job")
		ck.Advance(memoryMS + 10)
		for n := range 20 {
			lg.RecordSuccess("worker", name("good", n))
		}
		for n := range 4 {
			lg.RecordFailure("worker", name("bad", n))
		}
		qt.Check(t, lg.Quarantined("worker"), qt.IsTrue)
	})
}

// If all workers fail, the cause is probably elsewhere, so that at most a fifth of the fleet may be quarantined.
func TestQuarantineIsCapped(t *testing.T) {
	lg := quarantine.New(clock.NewFake(1000000))
	lg.SetFleet(10)
	for n := range 30 {
		lg.RecordFailure(name("worker", n%10), name("job", n))
	}
	qt.Assert(t, len(lg.QuarantinedWorkers()), qt.Equals, 2)
}
