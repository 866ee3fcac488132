package jobrunner_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/membership/ownership"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/intake"
	"github.com/fulmarloft/fulmarloft/internal/store/rowstore"
)

// startFive starts five entries and lets one of them become the owner.
func (si *simulation) startFive() {
	for at := range 5 {
		si.start(fmt.Sprintf("entry-%d", at))
	}
	si.wait(1000)
}

// slowDownScans sets the duration of the reads of all jobs and of their progress.
func (si *simulation) slowDownScans(ms int64) {
	for _, table := range []string{intake.JobsTable, intake.ProgressTable} {
		si.st.SetScanLatency(table, ms)
	}
}

// An owner whose reads take longer than its lease must stay the owner while it restores, instead of each candidate beginning the same reads in turn.
func TestRestoreLongerThanTheLeaseEnds(t *testing.T) {
	simulate(t, func(si *simulation) {
		si.startFive()
		for at := range 10 {
			si.submit(fmt.Sprintf("%015d%d", 0, at), 4)
		}
		si.wait(200)
		si.slowDownScans(10 * ownership.LeaseMS)
		si.kill(si.owner())
		si.wait(40 * ownership.LeaseMS)
		for at := range 10 {
			qt.Check(t, si.state(fmt.Sprintf("%015d%d", 0, at)), qt.Equals, workpb.State_COMPLETED)
		}
	})
}

// An owner that dies while it restores must be replaced like any other.
func TestOwnerLostWhileRestoringIsReplaced(t *testing.T) {
	simulate(t, func(si *simulation) {
		si.startFive()
		si.submit("00000000000000aa", 4)
		si.wait(200)
		si.slowDownScans(3 * ownership.LeaseMS)
		for range 3 {
			si.kill(si.owner())
			si.wait(3 * ownership.LeaseMS)
		}
		si.slowDownScans(0)
		si.wait(12_000)
		qt.Check(t, si.state("00000000000000aa"), qt.Equals, workpb.State_COMPLETED)
	})
}

// Jobs that are accepted or cancelled while the owner restores must not be missed.
func TestChangesDuringARestoreAreTakenUp(t *testing.T) {
	simulate(t, func(si *simulation) {
		si.startFive()
		si.slowDownScans(2 * ownership.LeaseMS)
		si.kill(si.owner())
		si.wait(1800)
		for at := range 10 {
			si.submit(fmt.Sprintf("%015d%d", at%3, at), 1)
			si.wait(300)
		}
		si.wait(20 * ownership.LeaseMS)
		for at := range 10 {
			qt.Check(t, si.state(fmt.Sprintf("%015d%d", at%3, at)), qt.Equals, workpb.State_COMPLETED)
		}
	})
}

// An owner that is stopped while it restores must not keep its process from ending, even if the store doesn't answer.
func TestRestoreEndsWhenTheEntryIsStopped(t *testing.T) {
	simulate(t, func(si *simulation) {
		si.startFive()
		si.slowDownScans(20 * ownership.LeaseMS)
		si.kill(si.owner())
		si.wait(2500)
		si.st.SetUnresponsive(true)
		si.wait(1000)
		begun := si.ck.Now()
		for _, en := range si.entries {
			en.cancel()
			<-en.ended
		}
		qt.Check(t, si.ck.Now()-begun <= 4000, qt.IsTrue, qt.Commentf("entries ended after %d ms", si.ck.Now()-begun))
		si.st.SetUnresponsive(false)
	})
}

// A successor must not read the rows of jobs that ended long ago before it starts tasks: with many jobs stored they are most of what a restore reads.
func TestFirstStartDoesNotWaitForEndedJobs(t *testing.T) {
	simulate(t, func(si *simulation) {
		si.start("one")
		si.wait(500)
		si.start("two")
		const ended = 60
		for at := range ended {
			si.submit(fmt.Sprintf("%x%015x", at%16, at), 1)
			si.wait(200)
		}
		si.wait(20_000)
		si.st.SetScanLatency(intake.EndedTable, 5000)
		si.kill("one")
		si.submit("00000000000000aa", 1)
		si.mu.Lock()
		si.rowsRead = 0
		si.mu.Unlock()
		si.wait(3000)
		qt.Check(t, si.state("00000000000000aa"), qt.Equals, workpb.State_RUNNING)
		si.mu.Lock()
		defer si.mu.Unlock()
		qt.Check(t, si.rowsReadAtStart < ended, qt.IsTrue, qt.Commentf("%d rows read before the first start", si.rowsReadAtStart))
	})
}

// A restore from a slow store must not wait for one partition after the other, each of which takes as long as all of them.
func TestRestoreFromASlowStoreTakesFewAnswers(t *testing.T) {
	const answerMS, lossMS = 300, 1700
	simulate(t, func(si *simulation) {
		for _, wk := range si.workers {
			wk.Behave = func(string, int64) (int64, workpb.End) { return 30_000, workpb.End_END_DONE }
		}
		si.startFive()
		for at := range 17 {
			if at == 16 {
				si.wait(500)
				si.slowDownScans(answerMS)
				si.kill(si.owner())
			}
			jb := &workpb.Job{Id: fmt.Sprintf("%x%015d", at%16, at), Queue: "q", AcceptedMs: si.ck.Now(), Steps: []*workpb.Step{{Count: 1, CpuMilli: 500, MemoryMb: 10, EstimateMs: 30_000}}}
			qt.Assert(t, si.in.Submit(context.Background(), jb), qt.IsNil)
		}
		killedMS := si.ck.Now()
		si.wait(6000)
		si.mu.Lock()
		defer si.mu.Unlock()
		tookMS := si.lastStartMS - killedMS
		qt.Check(t, tookMS > 0 && tookMS < lossMS+4*answerMS, qt.IsTrue, qt.Commentf("first start %d ms after the loss", tookMS))
	})
}

// A restore delays all calls to VMs; the owner that made it must get the time to catch up before its term may end.
func TestRestoreDoesNotCountAsTerm(t *testing.T) {
	simulate(t, func(si *simulation) {
		const restoreMS = 2500
		si.startFive()
		si.wait(32_000)
		for at := range 40 {
			si.submit(fmt.Sprintf("%014d%02d", 0, at), 2)
		}
		si.st.SetScanLatency(intake.ProgressTable, restoreMS)
		former := si.owner()
		killed := si.entries[former]
		delete(si.entries, former)
		killed.setCut(true)
		killed.cancel()
		for _, en := range si.entries {
			en.setSlow(500)
		}
		for si.owner() == former {
			si.wait(10)
		}
		successor := si.owner()
		// Nearly as long as the restore and the least term after it.
		for at := range 53 {
			si.submit(fmt.Sprintf("%014d%02d", 1, at), 1)
			si.wait(100)
		}
		qt.Check(t, si.owner(), qt.Equals, successor)
		for _, en := range si.entries {
			en.setSlow(0)
		}
		si.wait(1000)
		<-killed.ended
	})
}

// A VM that left while no owner followed the registry, or while the store dropped its history, must get no start from the owner that begins or goes on after that.
func TestVMThatLeftUnnoticedGetsNoStart(t *testing.T) {
	for _, name := range []string{"owner restarts", "history is dropped"} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(si *simulation) {
				var onLeft atomic.Int64
				si.start("one")
				si.wait(3000)
				si.st.SetDown(true)
				if name == "owner restarts" {
					si.kill("one")
				}
				si.wait(1500)
				si.st.SetDown(false)
				tx := rowstore.NewTx("").Remove(registryTable, "vm-0").Remove(registryTable, "vm-1").Remove(registryTable, "vm-2")
				_, _, err := si.st.Rowstore().Commit(context.Background(), tx)
				qt.Assert(t, err, qt.IsNil)
				si.st.DropHistory()
				if name == "owner restarts" {
					si.start("one")
				}
				si.wait(3000)
				si.mu.Lock()
				si.intercept = func(od *workpb.Order) bool {
					if od.GetVerb() == workpb.Verb_START && od.GetVm() != "vm-3" {
						onLeft.Add(1)
					}
					return false
				}
				si.mu.Unlock()
				si.submit("00000000000000aa", 8)
				si.wait(12_000)
				qt.Check(t, onLeft.Load(), qt.Equals, int64(0))
				qt.Check(t, si.state("00000000000000aa"), qt.Equals, workpb.State_COMPLETED)
			})
		})
	}
}
