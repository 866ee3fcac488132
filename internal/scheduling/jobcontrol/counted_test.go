package jobcontrol_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

// onePerVM returns a step whose tasks run one per VM and don't end by themselves within a test.
func onePerVM(count int32) *workpb.Step {
	st := stepOf(count)
	st.MaxPerVm, st.EstimateMs = 1, 60_000
	return st
}

// newLimitFleet returns a fleet that checks the limit per VM rather than that a task runs once, past all leases of an earlier owner.
func newLimitFleet(t *testing.T, vms ...*workpb.VM) *fleet {
	fl := newFleet(t, vms...)
	fl.allowDuplicates = true
	fl.setBehavior(60_000, workpb.End_END_DONE)
	for id := range fl.workers {
		fl.register(id)
	}
	fl.run(settledMS)
	return fl
}

// register hands the controller a copy of a VM's registration of now, which later changes of the VM don't reach.
func (fl *fleet) register(id string) {
	fl.ct.SetVM(proto.Clone(fl.workers[id].VM()).(*workpb.VM))
}

// holdStart submits a job and returns the start that is ordered first, which no VM has executed.
func (fl *fleet) holdStart(jb *workpb.Job) *workpb.Order {
	fl.holdStarts = true
	fl.submit(jb)
	fl.run(2 * stepMS)
	fl.holdStarts = false
	qt.Assert(fl.t, len(fl.held) > 0, qt.IsTrue)
	return fl.held[0]
}

// assertOnePerVM asserts that at most one task runs on each VM.
func (fl *fleet) assertOnePerVM() {
	for id, wk := range fl.workers {
		qt.Assert(fl.t, wk.Running() <= 1, qt.IsTrue, qt.Commentf("%d tasks of the step run on %s, one may", wk.Running(), id))
	}
}

// What proves that a run is over on a VM proves nothing for the VM's next incarnation, which may execute an unanswered copy of the start.
func TestLateCopyOfAStartStaysWithinTheLimitPerVMAfterARestart(t *testing.T) {
	for _, tc := range []struct {
		name string
		// end makes the run of the held start end on its VM as far as the controller can tell.
		end func(fl *fleet, od *workpb.Order)
	}{
		{name: "run in doubt that was stopped", end: func(fl *fleet, od *workpb.Order) {
			fl.ct.HandleOutcome(od, outcome(workpb.Verdict_IN_DOUBT))
		}},
		{name: "run listed as failed", end: func(fl *fleet, od *workpb.Order) {
			fl.setBehavior(100, workpb.End_END_FAILED)
			fl.ct.HandleRepeated(od)
			fl.ct.HandleOutcome(od, fl.workers[od.GetVm()].Answer(od))
		}},
		{name: "run vanished in an earlier restart", end: func(fl *fleet, od *workpb.Order) {
			fl.ct.HandleRepeated(od)
			fl.ct.HandleOutcome(od, fl.workers[od.GetVm()].Answer(od))
			fl.run(500)
			fl.workers[od.GetVm()].Restart()
		}},
		{name: "run in doubt of an earlier owner", end: func(fl *fleet, _ *workpb.Order) {
			fl.newOwner()
			fl.ct.Cordon("a", true)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			fl := newLimitFleet(t, vmOf("a"))
			od := fl.holdStart(jobOf("j1", onePerVM(1)))
			fl.ct.Cordon("a", true)
			tc.end(fl, od)
			fl.run(1000)
			fl.setBehavior(60_000, workpb.End_END_DONE)
			fl.workers["a"].Restart()
			fl.workers["a"].Order(od)
			fl.ct.Cordon("a", false)
			for range 50 {
				fl.run(stepMS)
				fl.assertOnePerVM()
			}
		})
	}
}

// A VM that is silent until its leases have expired may start again and execute a start that was sent before.
func TestUnansweredStartIsNotRepeatedElsewhereWhenLeasesExpire(t *testing.T) {
	for _, tc := range []struct {
		name string
		// doubt leaves the held start in doubt; the VM is silent from then on.
		doubt func(fl *fleet, od *workpb.Order)
		// lateMS is how long after the doubt the start is executed.
		lateMS int64
	}{
		{name: "unanswered", lateMS: 8000, doubt: func(fl *fleet, od *workpb.Order) {
			fl.ct.HandleOutcome(od, outcome(workpb.Verdict_IN_DOUBT))
		}},
		{name: "unanswered, VM unregistered", lateMS: 8000, doubt: func(fl *fleet, od *workpb.Order) {
			fl.ct.HandleOutcome(od, outcome(workpb.Verdict_IN_DOUBT))
			fl.ct.DropVM(od.GetVm())
		}},
		{name: "unanswered, stop unanswered", lateMS: 8000, doubt: func(fl *fleet, od *workpb.Order) {
			fl.ct.HandleOutcome(od, outcome(workpb.Verdict_IN_DOUBT))
			fl.loseAnswer = func(other *workpb.Order) bool { return other.GetVerb() == workpb.Verb_STOP }
			fl.run(200)
		}},
		{name: "one of two copies unanswered", lateMS: 8000, doubt: func(fl *fleet, od *workpb.Order) {
			fl.ct.HandleRepeated(od)
			fl.ct.HandleOutcome(od, fl.workers[od.GetVm()].Answer(od))
		}},
		{name: "sent late and unanswered", lateMS: 11_500, doubt: func(fl *fleet, od *workpb.Order) {
			fl.run(3000)
			fl.ct.HandleOutcome(od, outcome(workpb.Verdict_IN_DOUBT))
		}},
		{name: "unanswered under an earlier owner", lateMS: 11_500, doubt: func(fl *fleet, _ *workpb.Order) {
			fl.newOwner()
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			fl := newFleet(t, vmOf("a"), vmOf("b"))
			fl.setBehavior(60_000, workpb.End_END_DONE)
			fl.run(settledMS)
			od := fl.holdStart(jobOf("j1", onePerVM(1)))
			host := od.GetVm()
			tc.doubt(fl, od)
			fl.crash(host)
			fl.run(tc.lateMS)
			fl.startAgain(host)
			fl.workers[host].Order(od)
			qt.Assert(t, fl.workers["a"].Running()+fl.workers["b"].Running(), qt.Equals, 1)
		})
	}
}

// A listed run that the owner had given up is stopped before its task, which waits, starts elsewhere.
func TestTaskWaitsForTheEndOfItsUnknownRun(t *testing.T) {
	fl := newFleet(t, vmOf("a"), vmOf("b"))
	fl.setBehavior(60_000, workpb.End_END_DONE)
	fl.run(settledMS)
	od := fl.holdStart(jobOf("j1", stepOf(1)))
	host := od.GetVm()
	for id := range fl.workers {
		fl.ct.Cordon(id, true)
	}
	fl.ct.HandleOutcome(od, outcome(workpb.Verdict_IN_DOUBT))
	fl.run(1000)
	fl.workers[host].Restart()
	fl.workers[host].Order(od)
	fl.register(host)
	fl.pollAll()
	for id := range fl.workers {
		fl.ct.Cordon(id, false)
	}
	fl.run(1000)
	qt.Assert(t, len(fl.runningOn), qt.Equals, 1)
}

// The answer to a stop may be overtaken by an answer of the VM's next incarnation, which doesn't know the stop.
func TestStopAnsweredByAnEarlierIncarnationEndsNoRun(t *testing.T) {
	fl := newFleet(t, vmOf("a"), vmOf("b"))
	fl.setBehavior(60_000, workpb.End_END_DONE)
	fl.run(settledMS)
	od := fl.holdStart(jobOf("j1", stepOf(1)))
	var stop *workpb.Order
	fl.loseAnswer = func(other *workpb.Order) bool {
		stop = other
		return true
	}
	fl.ct.HandleOutcome(od, outcome(workpb.Verdict_IN_DOUBT))
	for stop == nil {
		fl.run(stepMS)
	}
	fl.loseAnswer = func(*workpb.Order) bool { return false }
	fl.workers[od.GetVm()].Restart()
	fl.register(od.GetVm())
	fl.run(stepMS)
	fl.ct.HandleOutcome(stop, outcome(workpb.Verdict_ACCEPTED))
	fl.run(200)
	fl.workers[od.GetVm()].Order(od)
	fl.run(500)
	qt.Assert(t, len(fl.runningOn) <= 1, qt.IsTrue)
}

// A start for the clock of an earlier incarnation gets the longest lease that VMs grant, which a silent VM keeps.
func TestRunOfALateStartOnASilentVMIsNotRepeatedElsewhereBeforeItsLeaseEnds(t *testing.T) {
	const longestLeaseMS = 10_000
	fl := newFleet(t, vmOf("a"), vmOf("b"))
	fl.setBehavior(60_000, workpb.End_END_DONE)
	fl.run(settledMS)
	od := fl.holdStart(jobOf("j1", stepOf(1)))
	fl.ct.HandleOutcome(od, outcome(workpb.Verdict_IN_DOUBT))
	fl.crash(od.GetVm())
	fl.run(8000)
	fl.workers[od.GetVm()].Restart()
	od.LeaseUntilMs = longestLeaseMS
	fl.workers[od.GetVm()].Order(od)
	for range longestLeaseMS / stepMS {
		fl.run(stepMS)
		qt.Assert(t, fl.workers["a"].Running()+fl.workers["b"].Running() <= 1, qt.IsTrue)
	}
}

// Runs of deleted jobs take unknown resources until the last of them has ended.
func TestVMTakesNothingWhileOneOfItsRunsOfUnknownJobsGoesOn(t *testing.T) {
	fl := newLimitFleet(t, vmOf("a"))
	born := fl.workers["a"].VM().GetBornMs()
	one, other := &workpb.RunningRun{Task: "gone.0.0.0", Run: 1}, &workpb.RunningRun{Task: "gone.0.0.1", Run: 1}
	fl.ct.HandlePoll("a", fl.ck.Now(), &workpb.Look{BornMs: born, Running: []*workpb.RunningRun{one, other}}, workpb.Verdict_ACCEPTED)
	fl.ct.HandlePoll("a", fl.ck.Now(), &workpb.Look{
		BornMs: born, Running: []*workpb.RunningRun{other}, Ended: []*workpb.EndedRun{{Number: 1, Task: one.GetTask(), Run: 1, End: workpb.End_END_STOPPED}},
	}, workpb.Verdict_ACCEPTED)
	st := stepOf(1)
	st.CpuMilli = 8000
	fl.submit(jobOf("j1", st))
	qt.Assert(t, fl.ct.ConfirmStored(fl.ct.Plan(true)), qt.HasLen, 0)
}

// Runs that were replaced elsewhere count against their team's cap under a new owner as well, while their VM is silent.
func TestTeamStaysWithinItsCapUnderANewOwnerBesideReplacedRuns(t *testing.T) {
	fl := newLimitFleet(t, vmOf("a"), vmOf("b"))
	rules := testRules()
	rules.Teams[0].CapCpuMilli = 2000
	fl.setRules(rules)
	st := stepOf(2)
	st.Duplicates, st.EstimateMs = true, 60_000
	fl.submit(jobOf("j1", st))
	fl.run(500)
	host := fl.runningOn["j1.0.0.0"]
	fl.unresponsive[host] = true
	fl.run(1000)
	fl.newOwner()
	fl.setRules(rules)
	for range 150 {
		fl.run(stepMS)
		sum := fl.workers["a"].Running() + fl.workers["b"].Running()
		qt.Assert(t, sum <= 2, qt.IsTrue, qt.Commentf("%d tasks of the team run, 2 may", sum))
	}
}

// The failure of a run that an earlier owner gave up is listed to its successor.
func TestFailureOfARunGivenUpByAnEarlierOwnerCountsAsAnAttempt(t *testing.T) {
	fl := newFleet(t, vmOf("a"))
	fl.setBehavior(100, workpb.End_END_FAILED)
	fl.run(settledMS)
	fl.submit(jobOf("j1", stepOf(1)))
	fl.run(2 * stepMS)
	fl.unresponsive["a"] = true
	fl.run(runLeaseMS + 1500)
	fl.newOwner()
	fl.unresponsive["a"] = false
	fl.run(8000)
	qt.Assert(t, fl.state("j1"), qt.Equals, workpb.State_FAILED)
	qt.Assert(t, fl.starts["j1.0.0.0"], qt.Equals, 3)
}
