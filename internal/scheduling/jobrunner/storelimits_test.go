package jobrunner_test

import (
	"context"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/store/rowstore"
	"github.com/fulmarloft/fulmarloft/internal/testbed/rowstoretest"
)

const (
	// Limits of the platform's store.
	storeRowBytes = 65_536
	storeEntries  = 100
	storeTxBytes  = 1_000_000

	otherJobID = "00000000000000bb"
	largeJobID = "000000000000000a"
)

// setStoreLimits lets the store refuse what the platform's store refuses, but for rows over rowBytes.
func (si *simulation) setStoreLimits(rowBytes int) {
	si.st.SetLimits(rowstore.NewLimits(rowBytes, storeEntries, storeTxBytes))
}

func (si *simulation) submitRow(jb *workpb.Job) {
	jb.Queue, jb.AcceptedMs = "q", si.ck.Now()
	qt.Assert(si.t, si.in.Submit(context.Background(), jb), qt.IsNil)
}

// setWork sets how long all runs take.
func (si *simulation) setWork(workMS int64) {
	si.mu.Lock()
	defer si.mu.Unlock()
	for _, wk := range si.workers {
		wk.Behave = func(string, int64) (int64, workpb.End) { return workMS, workpb.End_END_DONE }
	}
}

// Guards against the loss of all scheduling to a job with many occurrences, whose stored progress grew with each one that was completed until the store refused it.
func TestProgressOfManyOccurrencesDoesNotStopScheduling(t *testing.T) {
	const occurrences, periodMS, rowBytes = 300, 20, 8192
	simulate(t, func(si *simulation) {
		si.setStoreLimits(rowBytes)
		si.setWork(100)
		si.start("one")
		si.start("two")
		si.wait(2000)
		si.submitRow(&workpb.Job{
			Id: largeJobID, Occurrences: occurrences, FirstDueMs: si.ck.Now(), PeriodMs: periodMS,
			Steps: []*workpb.Step{{Count: 6, CpuMilli: 100, MemoryMb: 10, EstimateMs: 100}},
		})
		si.wait(occurrences*periodMS + 3000)
		qt.Check(t, si.state(largeJobID), qt.Equals, workpb.State_COMPLETED)
		si.submit(otherJobID, 1)
		si.wait(3000)
		qt.Check(t, si.state(otherJobID), qt.Equals, workpb.State_COMPLETED)
	})
}

// Guards against the loss of all scheduling to one job with thousands of tasks, whose progress doesn't fit into one row; its owner is killed while the tasks run.
func TestProgressOfALargeJobDoesNotStopScheduling(t *testing.T) {
	simulate(t, func(si *simulation) {
		si.setStoreLimits(storeRowBytes)
		si.setWork(20_000)
		si.start("one")
		si.wait(1000)
		si.start("two")
		si.wait(1000)
		si.submitRow(&workpb.Job{Id: largeJobID, Steps: []*workpb.Step{{Count: 8000, CpuMilli: 2, MemoryMb: 1, EstimateMs: 20_000}}})
		si.wait(12_000)
		si.setWork(800)
		si.submit(otherJobID, 1)
		si.wait(5000)
		qt.Check(t, si.state(otherJobID), qt.Equals, workpb.State_COMPLETED)
		si.kill(si.owner())
		si.wait(60_000)
		qt.Check(t, si.state(largeJobID), qt.Equals, workpb.State_COMPLETED)
	})
}

// isProgressOf reports whether a row holds progress of a job.
func isProgressOf(rw rowstore.Row, id string) bool {
	return strings.HasPrefix(rw.Table(), "progress") && strings.Contains(rw.Key(), id)
}

// Guards against the loss of all scheduling to one row that the store refuses for its content: the same commit was repeated by each owner in turn.
func TestRefusedRowOfOneJobDoesNotStopTheOthers(t *testing.T) {
	for _, owners := range []int{1, 2} {
		simulate(t, func(si *simulation) {
			si.st.SetCommitOutcome(func(tx *rowstore.Tx) rowstoretest.Outcome {
				for _, rw := range tx.Puts() {
					if isProgressOf(rw, largeJobID) {
						return rowstoretest.NeverTaken
					}
				}
				return rowstoretest.Served
			})
			for at := range owners {
				si.start(fmt.Sprint("entry-", at))
			}
			si.wait(1500)
			for at := range 8 {
				si.submit(fmt.Sprintf("%014dc%d", 0, at), 1)
			}
			si.submit(largeJobID, 2)
			si.wait(200)
			first := si.owner()
			si.submit(otherJobID, 2)
			si.wait(10_000)
			for at := range 8 {
				qt.Check(t, si.state(fmt.Sprintf("%014dc%d", 0, at)), qt.Equals, workpb.State_COMPLETED)
			}
			qt.Check(t, si.state(otherJobID), qt.Equals, workpb.State_COMPLETED)
			qt.Check(t, si.owner(), qt.Equals, first)
		})
	}
}

// Guards against the loss of all scheduling to a row of the owner itself that the store refuses, as that of a wave with very many machines.
func TestRefusedRowOfAWaveDoesNotStopJobs(t *testing.T) {
	simulate(t, func(si *simulation) {
		si.st.SetCommitOutcome(func(tx *rowstore.Tx) rowstoretest.Outcome {
			for _, rw := range tx.Puts() {
				if rw.Table() == "upkeep" && rw.Key() == "1" {
					return rowstoretest.NeverTaken
				}
			}
			return rowstoretest.Served
		})
		si.start("one")
		si.wait(1500)
		si.addWave(1, 1, 40_000)
		si.wait(1000)
		si.addWave(2, 1, 40_000)
		si.submit(otherJobID, 2)
		si.wait(10_000)
		qt.Check(t, si.state(otherJobID), qt.Equals, workpb.State_COMPLETED)
		si.wait(30_000)
		qt.Check(t, si.isCompleted(2), qt.IsTrue)
	})
}

// Guards against a commit of more entries than the store takes: many waves that change at once, beside the progress of many jobs.
func TestManyWavesBesideManyJobsAreStored(t *testing.T) {
	const waves, jobs = 30, 150
	simulate(t, func(si *simulation) {
		si.setStoreLimits(storeRowBytes)
		si.setWork(300)
		si.start("one")
		si.wait(1500)
		for at := range jobs {
			si.submitRow(&workpb.Job{Id: fmt.Sprintf("%013d%03x", 0, at), Steps: []*workpb.Step{{Count: 1, CpuMilli: 10, EstimateMs: 300}}})
		}
		for at := range waves {
			si.addWave(int64(at+1), 1, 200_000)
		}
		si.wait(20_000)
		for at := range jobs {
			qt.Check(t, si.state(fmt.Sprintf("%013d%03x", 0, at)), qt.Equals, workpb.State_COMPLETED)
		}
	})
}
