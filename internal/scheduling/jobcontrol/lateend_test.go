package jobcontrol_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

// smallCapRules limits the team to two tasks of one core.
func smallCapRules() *workpb.Rules {
	rules := testRules()
	rules.Teams = []*workpb.Team{{Name: "t", CapCpuMilli: 2000}}
	return rules
}

// startInDoubt returns a fleet on which a start of the team got no answer and its run was stopped, with that start, and submits a second job.
func startInDoubt(t *testing.T) (*fleet, *workpb.Order) {
	fl := newLimitFleet(t, vmOf("a"), vmOf("b"))
	fl.setRules(smallCapRules())
	od := fl.holdStart(jobOf("j1", onePerVM(1)))
	fl.ct.HandleOutcome(od, outcome(workpb.Verdict_IN_DOUBT))
	fl.run(1000)
	fl.submit(jobOf("j2", onePerVM(1)))
	return fl, od
}

// Guards against a team above its cap: a start in doubt that a stop has ended is executed by the VM's next incarnation, beside all that the team has started since (random history 902041).
func TestReleasedStartCountsForItsTeamsCapWhileItMayBegin(t *testing.T) {
	fl, od := startInDoubt(t)
	fl.submit(jobOf("j3", onePerVM(1)))
	fl.run(2000)
	fl.workers[od.GetVm()].Restart()
	fl.workers[od.GetVm()].Order(od)
	running := 0
	for _, wk := range fl.workers {
		running += wk.Running()
	}
	qt.Assert(t, running <= 2, qt.IsTrue, qt.Commentf("%d tasks of a team run, its cap admits 2", running))
}

// Guards against a team that waits for good, or for a long time, because of a start that can't begin any more.
func TestReleasedStartNoLongerCountsOnceItCannotBegin(t *testing.T) {
	fl, _ := startInDoubt(t)
	fl.run(14_000)
	qt.Assert(t, fl.starts["j1.0.0.0"], qt.Equals, 1)
	qt.Assert(t, fl.starts["j2.0.0.0"], qt.Equals, 1)
}

// Guards against a task that is started again though a VM has listed one of its runs as done: an earlier run, begun late by the VM's next incarnation while the next run was in doubt (random history 921064).
func TestEndOfAnEarlierRunCompletesItsTask(t *testing.T) {
	fl := newFleet(t, vmOf("a"))
	fl.setBehavior(stepMS, workpb.End_END_DONE)
	fl.run(settledMS)
	first := fl.holdStart(jobOf("j1", stepOf(1)))
	fl.ct.HandleOutcome(first, outcome(workpb.Verdict_IN_DOUBT))
	fl.holdStarts = true
	fl.run(1500)
	fl.holdStarts = false
	qt.Assert(t, len(fl.held), qt.Equals, 2)
	fl.ct.HandleOutcome(fl.held[1], outcome(workpb.Verdict_IN_DOUBT))
	fl.workers["a"].Restart()
	fl.workers["a"].Order(first)
	fl.register("a")
	fl.run(30_000)
	qt.Assert(t, fl.state("j1"), qt.Equals, workpb.State_COMPLETED)
	qt.Assert(t, fl.starts["j1.0.0.0"], qt.Equals, 1)
}
