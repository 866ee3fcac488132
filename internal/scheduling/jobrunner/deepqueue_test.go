package jobrunner_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

// zoneAnswerMS is how long the answer to an order of a VM in another zone takes.
const zoneAnswerMS = 3

// delayOrders sets how long the answers to all orders take.
func (si *simulation) delayOrders(ms int64) {
	si.mu.Lock()
	defer si.mu.Unlock()
	for id := range si.workers {
		si.answerDelayMS[id] = ms
	}
}

// Guards against a gang that never starts: its members' starts were sent to a VM one after the other, the last ones grew too old, and the next attempt waited behind the stops of the one before.
func TestLargeGangStartsOnAVMInAnotherZone(t *testing.T) {
	const members = 900
	simulate(t, func(si *simulation) {
		si.setWork(2000)
		si.delayOrders(zoneAnswerMS)
		si.start("one")
		si.wait(2000)
		si.submitRow(&workpb.Job{Id: largeJobID, Steps: []*workpb.Step{{Count: members, CpuMilli: 5, MemoryMb: 1, EstimateMs: 2000, Gang: true}}})
		si.wait(6000)
		qt.Check(t, si.state(largeJobID), qt.Equals, workpb.State_COMPLETED)
		qt.Check(t, si.countStarts(), qt.Equals, members)
	})
}

// countStarts returns how many starts VMs have executed.
func (si *simulation) countStarts() int {
	si.mu.Lock()
	defer si.mu.Unlock()
	count := 0
	for _, starts := range si.starts {
		count += starts
	}
	return count
}

// Guards against tasks of a cancelled job that run on for seconds, since the stops were sent to their VM one after the other.
func TestTasksOfALargeCancelledJobAreStoppedInTime(t *testing.T) {
	const tasks, cancelMS, stopMS = 1500, 3000, 200
	simulate(t, func(si *simulation) {
		si.setWork(600_000)
		si.delayOrders(zoneAnswerMS)
		si.start("one")
		si.wait(2000)
		si.submitRow(&workpb.Job{Id: largeJobID, Steps: []*workpb.Step{{Count: tasks, CpuMilli: 5, MemoryMb: 1, EstimateMs: 600_000}}})
		si.wait(15_000)
		qt.Assert(t, si.countRunning(), qt.Equals, tasks)
		qt.Assert(t, si.in.Cancel(context.Background(), largeJobID), qt.IsNil)
		si.wait(cancelMS + stopMS)
		qt.Check(t, si.countRunning(), qt.Equals, 0)
	})
}

// countRunning returns how many runs go on.
func (si *simulation) countRunning() int {
	si.mu.Lock()
	defer si.mu.Unlock()
	count := 0
	for _, wk := range si.workers {
		count += wk.Running()
	}
	return count
}

// Guards against stops of runs of which their VM has never heard, behind which later starts wait: a gang that is given up since its starts are too old.
func TestStartsThatWereNeverSentNeedNoStops(t *testing.T) {
	const members, slowMS = 600, 40
	simulate(t, func(si *simulation) {
		si.setWork(5000)
		si.delayOrders(slowMS)
		stops := 0
		si.intercept = func(od *workpb.Order) bool {
			if od.GetVerb() == workpb.Verb_STOP && si.starts[od.GetTask()] == 0 {
				stops++
			}
			return false
		}
		si.start("one")
		si.wait(2000)
		si.submitRow(&workpb.Job{Id: largeJobID, Steps: []*workpb.Step{{Count: members, CpuMilli: 5, MemoryMb: 1, EstimateMs: 5000, Gang: true}}})
		si.wait(8000)
		si.delayOrders(zoneAnswerMS)
		si.wait(12_000)
		qt.Check(t, stops, qt.Equals, 0)
		qt.Check(t, si.state(largeJobID), qt.Equals, workpb.State_COMPLETED)
	})
}
