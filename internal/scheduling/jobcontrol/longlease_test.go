package jobcontrol_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/observability/event"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/jobcontrol"
)

// oldClockMS is the clock of VMs that have run for much longer than any lease.
const oldClockMS = 20_000

// A VM that restarts while a start is under way grants it the longest lease, as the deadline is one on the clock of the incarnation before.
func TestRunThatARestartedVMStartedIsNotRepeatedElsewhereWhileItsLongLeaseLasts(t *testing.T) {
	for _, tc := range []struct {
		name string
		step *workpb.Step
		// clockMS is the clock of the VM when it starts the run.
		clockMS int64
		// silent is called once the VM is silent.
		silent func(fl *fleet)
	}{
		{name: "step that ends", step: stepOf(1)},
		{name: "step that lasts", step: lastingStep(1)},
		{name: "some time after the restart", step: stepOf(1), clockMS: 20},
		{name: "longer after the restart", step: stepOf(1), clockMS: 1000},
		{name: "under a new owner", step: lastingStep(1), silent: func(fl *fleet) { fl.newOwner() }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			fl := newFleet(t, vmOf("a"), vmOf("b"))
			fl.setBehavior(60_000, workpb.End_END_DONE)
			fl.workers["a"].SlowPercent, fl.workers["b"].SlowPercent = maxSlowPercent, maxSlowPercent
			fl.run(oldClockMS)
			tc.step.EstimateMs = 60_000
			od := fl.holdStart(jobOf("j1", tc.step))
			host := od.GetVm()
			fl.workers[host].Restart()
			fl.ck.Advance(tc.clockMS)
			fl.ct.HandleOutcome(od, fl.workers[host].Answer(od))
			fl.unresponsive[host] = true
			if tc.silent != nil {
				tc.silent(fl)
			}
			fl.run(fl.workers[host].LongestLeaseMS)
			qt.Assert(t, fl.workers[host].Running(), qt.Equals, 1)
			qt.Assert(t, fl.starts["j1.0.0.0"], qt.Equals, 1)
			fl.run(20_000)
			qt.Assert(t, fl.starts["j1.0.0.0"], qt.Equals, 2)
		})
	}
}

// A new owner doesn't know that a start was left unanswered, which its silent VM's next incarnation executes with the longest lease.
func TestRunOfAnEarlierOwnersLateStartOnASilentVMIsNotRepeatedElsewhereBeforeItsLeaseEnds(t *testing.T) {
	fl := newFleet(t, vmOf("a"), vmOf("b"))
	fl.setBehavior(60_000, workpb.End_END_DONE)
	fl.run(oldClockMS)
	st := stepOf(1)
	st.EstimateMs = 60_000
	od := fl.holdStart(jobOf("j1", st))
	fl.ct.HandleOutcome(od, outcome(workpb.Verdict_IN_DOUBT))
	fl.crash(od.GetVm())
	fl.newOwner()
	fl.run(8000)
	fl.workers[od.GetVm()].Restart()
	fl.workers[od.GetVm()].Order(od)
	for range fl.workers["a"].LongestLeaseMS / stepMS {
		fl.run(stepMS)
		qt.Assert(t, fl.workers["a"].Running()+fl.workers["b"].Running() <= 1, qt.IsTrue)
	}
}

// What proves that a machine is down ends its runs whatever leases they hold, also those of a VM that had restarted.
func TestLastingTaskOfARestartedVMDoesNotWaitForItsLeaseOnceItsMachineIsDown(t *testing.T) {
	for _, tc := range []struct {
		name  string
		ageMS int64
		crash func(fl *fleet)
	}{
		{"new owner, soon", 1000, func(fl *fleet) { fl.newOwner() }},
		{"new owner, later", 15_000, func(fl *fleet) { fl.newOwner() }},
		{"being moved off", 1000, func(fl *fleet) {
			fl.ct.Cordon("a", true)
			fl.ct.Evacuate("a", false)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			fl := newFleet(t, hostedVM("a"), hostedVM("b"))
			fl.setBehavior(0, workpb.End_END_UNKNOWN)
			fl.run(oldClockMS)
			fl.ct.Cordon("b", true)
			fl.workers["a"].Restart()
			fl.register("a")
			fl.run(200)
			st := lastingStep(1)
			st.DisruptionBudget = 1
			fl.submit(jobOf("j1", st))
			fl.run(tc.ageMS)
			qt.Assert(t, fl.runningOn["j1.0.0.0"], qt.Equals, "a")
			fl.ct.Cordon("b", false)
			tc.crash(fl)
			fl.crash("a")
			fl.runWithLists(6000, fl.machinesWithDown)
			qt.Assert(t, fl.starts["j1.0.0.0"], qt.Equals, 2)
		})
	}
}

// A start that nobody has answered may never have begun, however long its run is kept.
func TestJobIsNotGivenUpForStartsThatWereLeftUnanswered(t *testing.T) {
	fl := newFleet(t, vmOf("a"), vmOf("b"), vmOf("c"), vmOf("d"))
	fl.setBehavior(60_000, workpb.End_END_DONE)
	fl.run(oldClockMS)
	fl.submit(jobOf("j1", stepOf(1)))
	for range 3 {
		fl.holdStarts = true
		for range 40_000 / stepMS {
			if len(fl.held) == 0 {
				fl.run(stepMS)
			}
		}
		if len(fl.held) == 0 {
			break
		}
		od := fl.held[0]
		fl.held = nil
		fl.ct.Cordon(od.GetVm(), true)
		fl.ct.HandleOutcome(od, outcome(workpb.Verdict_IN_DOUBT))
		fl.crash(od.GetVm())
		fl.run(15_000)
		fl.startAgain(od.GetVm())
		fl.register(od.GetVm())
		fl.run(1000)
	}
	qt.Assert(t, fl.state("j1") == workpb.State_FAILED, qt.IsFalse)
	qt.Assert(t, fl.starts, qt.HasLen, 0)
}

// Clocks are cut to milliseconds, so that of a VM at the lowest rate may seem to lie a little below its lower bound.
func TestSlowClockIsNotTakenForARestart(t *testing.T) {
	fl := newFleet(t, vmOf("a"))
	restarts := 0
	lg := event.Discard()
	lg.OnEvent(func(name string, _ []any) {
		if name == "start-on-restarted-vm" {
			restarts++
		}
	})
	fl.ct = jobcontrol.New(fl.ck, lg, fl.token, runLeaseMS)
	fl.setRules(testRules())
	fl.register("a")
	fl.run(oldClockMS)
	born := fl.workers["a"].VM().GetBornMs()
	fl.ct.HandlePoll("a", fl.ck.Now(), &workpb.Look{BornMs: born, ClockMs: 20_624}, workpb.Verdict_ACCEPTED)
	fl.ck.Advance(400)
	fl.submit(jobOf("j1", stepOf(2)))
	orders := fl.ct.ConfirmStored(fl.ct.Plan(true))
	qt.Assert(t, orders, qt.HasLen, 2)
	fl.ct.HandleOutcome(orders[0], &workpb.Outcome{Verdict: workpb.Verdict_ACCEPTED, ClockMs: 21_015})
	qt.Assert(t, restarts, qt.Equals, 0)
}

// A poll that was sent before a start showed a restart may be answered by the incarnation before, and says nothing of the present one.
func TestEndIsNotLostWhenAnOlderPollIsAnsweredAfterAStartShowedARestart(t *testing.T) {
	for _, tc := range []struct {
		name    string
		clockMS int64
		// stale is set if the poll is answered after the start.
		stale bool
	}{
		{"poll answered last", 20, true},
		{"poll answered first", 20, false},
		{"poll answered first, clock at 0", 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			fl := newFleet(t, vmOf("a"))
			fl.raiseTokens()
			fl.setBehavior(300, workpb.End_END_DONE)
			fl.run(oldClockMS)
			fl.submit(jobOf("j0", stepOf(5)))
			fl.run(2000)
			fl.submit(jobOf("j1", stepOf(1)))
			fl.run(3 * stepMS)
			for fl.workers["a"].Running() > 0 {
				fl.ck.Advance(stepMS)
			}
			lr := fl.nextPoll("a")
			sentMS := fl.ck.Now()
			lk, vd := fl.workers["a"].Poll(lr)
			if !tc.stale {
				fl.ct.HandlePoll("a", sentMS, lk, vd)
			}
			od := fl.holdStart(jobOf("j2", stepOf(1)))
			fl.workers["a"].Restart()
			fl.ck.Advance(tc.clockMS)
			fl.ct.HandleOutcome(od, fl.workers["a"].Answer(od))
			fl.ck.Advance(320)
			fl.workers["a"].Running()
			if tc.stale {
				fl.ct.HandlePoll("a", sentMS, lk, vd)
			}
			fl.run(200)
			fl.register("a")
			fl.run(10_000)
			qt.Assert(t, fl.starts["j2.0.0.0"], qt.Equals, 1)
		})
	}
}

// An answer, or a list of machines, that waited for the owner tells nothing of the time since its call was sent.
func TestAnswerThatWaitedDoesNotEndTheDoubtOfALaterCopy(t *testing.T) {
	for _, tc := range []struct {
		name string
		// tell lets the owner hear, 1.5 s later, of the time before the VM restarted and executed the copy.
		tell func(fl *fleet, host string, restart func())
	}{
		{"answered poll", func(fl *fleet, host string, restart func()) {
			lr, sentMS := fl.nextPoll(host), fl.ck.Now()
			lk, vd := fl.workers[host].Poll(lr)
			fl.ck.Advance(100)
			restart()
			fl.ck.Advance(1500)
			fl.ct.HandleWaitingPoll(host, sentMS, sentMS+stepMS, lk, vd)
			fl.unresponsive[host] = true
		}},
		{"list of machines", func(fl *fleet, host string, restart func()) {
			fl.crash(host)
			fl.run(200)
			readMS, list := fl.ck.Now(), fl.machinesWithDown()
			fl.run(200)
			restart()
			fl.run(1700)
			fl.ct.SetMachines(readMS, list)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			fl := newFleet(t, hostedVM("a"), hostedVM("b"))
			fl.setBehavior(60_000, workpb.End_END_UNKNOWN)
			fl.run(oldClockMS)
			od := fl.holdStart(jobOf("j1", lastingStep(1)))
			host := od.GetVm()
			fl.ct.HandleRepeated(od)
			fl.ct.HandleOutcome(od, fl.workers[host].Answer(od))
			fl.run(11_000)
			tc.tell(fl, host, func() {
				fl.workers[host].Restart()
				fl.ck.Advance(500)
				fl.workers[host].Order(od)
			})
			for range 8000 / stepMS {
				fl.run(stepMS)
				qt.Assert(t, fl.workers["a"].Running()+fl.workers["b"].Running() <= 1, qt.IsTrue)
			}
		})
	}
}
