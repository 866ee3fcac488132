package jobcontrol_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

// weightedRules returns the test rules with a weight for the team, so that they ask for refusals.
func weightedRules(capMilli int64) *workpb.Rules {
	rules := testRules()
	rules.Teams = []*workpb.Team{{Name: "t", Weight: 1, CapCpuMilli: capMilli}, {Name: "u", Weight: 1}}
	return rules
}

func refusedRow(id string, firstTriedMS int64) *workpb.Job {
	return &workpb.Job{Id: id, Refused: true, Queue: "q", Team: "u", WorkCoreMs: 7000, FirstTriedMs: firstTriedMS}
}

// Guards against a pool that shrinks because its queue's jobs are refused, and against counting the work of one job twice: at a repeated refusal, when it is accepted, or for a new owner.
func TestRefusedWorkCountsAsArrivedOnce(t *testing.T) {
	fl := newFleet(t, vmOf("a"))
	fl.setRules(weightedRules(0))
	tryMS := fl.ck.Now()
	fl.ct.RecordRefused(refusedRow("r1", tryMS))
	fl.ct.RecordRefused(refusedRow("r2", tryMS))
	fl.ct.RecordRefused(refusedRow("r1", tryMS))
	fl.ct.RecordRefused(&workpb.Job{Id: "r3", Refused: true})
	fl.ct.RecordRefused(&workpb.Job{Id: "r4", Refused: true, Queue: "removed", WorkCoreMs: 7000})
	fl.run(100)
	qt.Assert(t, fl.ct.Demands()["s"].CoresMilli(), qt.Equals, int64(14_000_000/350))
	fl.run(1500)
	qt.Assert(t, fl.ct.Demands()["s"].CoresMilli(), qt.Equals, int64(0))
	back := jobOf("r1", stepOf(7))
	back.FirstTriedMs = tryMS
	fl.submit(back)
	work, jobs := fl.ct.Arrivals(0, fl.ck.Now())
	qt.Check(t, work["s"], qt.Equals, int64(14_000))
	qt.Check(t, jobs["s"], qt.Equals, 2)
	fl.newOwner()
	fl.ct.RecordRefused(refusedRow("r2", tryMS))
	work, jobs = fl.ct.Arrivals(0, tryMS)
	qt.Check(t, jobs["s"], qt.Equals, 2)
	qt.Check(t, work["s"] > 7000, qt.IsTrue, qt.Commentf("%d core-milliseconds", work["s"]))
}

// Guards against machines for work that its team can't use, and against a change for operators whose rules have no weights.
func TestWorkBeyondATeamsCapRequestsNoMachines(t *testing.T) {
	unweighted := weightedRules(2000)
	for _, tm := range unweighted.Teams {
		tm.Weight = 0
	}
	for _, tc := range []struct {
		name     string
		rules    *workpb.Rules
		max, min int64
	}{
		{"no cap", weightedRules(0), 100_000, 20_000},
		{"a cap", weightedRules(2000), 2000, 2000},
		{"a cap without weights", unweighted, 100_000, 20_000},
	} {
		fl := newFleet(t, vmOf("a"))
		fl.setRules(tc.rules)
		fl.setBehavior(800, workpb.End_END_DONE)
		for at := range 10 {
			fl.submit(jobOf(fmt.Sprintf("j%d", at), stepOf(4)))
		}
		fl.run(200)
		cores := fl.ct.Demands()["s"].CoresMilli()
		qt.Check(t, cores >= tc.min && cores <= tc.max, qt.IsTrue, qt.Commentf("%s: demand of %d", tc.name, cores))
		fl.run(1000)
		sum := fl.ct.Demands()["s"].CoresMilli() + fl.ct.Demands()["s"].LateMilli()
		qt.Check(t, sum <= tc.max, qt.IsTrue, qt.Commentf("%s: demand of %d once the arrivals have passed", tc.name, sum))
	}
}

// Guards against machines for a team whose long-running tasks leave nothing of its cap.
func TestLongRunningTasksLeaveLessOfTheCapForDemand(t *testing.T) {
	fl := newFleet(t, vmOf("a"))
	fl.setRules(weightedRules(5000))
	fl.setBehavior(60_000, workpb.End_END_DONE)
	fl.submit(jobOf("l", &workpb.Step{Count: 4, CpuMilli: 1000, MemoryMb: 100, Lasting: true}))
	fl.run(500)
	for at := range 10 {
		fl.submit(jobOf(fmt.Sprintf("j%d", at), stepOf(4)))
	}
	fl.run(200)
	qt.Assert(t, fl.ct.Demands()["s"].CoresMilli(), qt.Equals, int64(4000+1000))
}
