package jobcontrol_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

// A start without an answer may be executed by the next incarnation of a VM whose machine is down.
func TestUnansweredStartOnACrashedVMIsNotRepeatedElsewhere(t *testing.T) {
	underBothOwners(t, func(t *testing.T, next func(fl *fleet)) {
		fl := newFleet(t, hostedVM("a"), hostedVM("b"))
		fl.setBehavior(0, workpb.End_END_UNKNOWN)
		fl.holdStarts = true
		fl.submit(jobOf("j1", lastingStep(1)))
		fl.run(100)
		qt.Assert(t, len(fl.held), qt.Equals, 1)
		od := fl.held[0]
		fl.ct.HandleOutcome(od, outcome(workpb.Verdict_IN_DOUBT))
		fl.holdStarts = false
		fl.crash(od.GetVm())
		next(fl)
		fl.runWithLists(3000, fl.machinesWithDown)
		qt.Assert(t, fl.starts["j1.0.0.0"], qt.Equals, 0)
		fl.workers[od.GetVm()].Order(od)
		fl.unresponsive[od.GetVm()] = false
		fl.runWithLists(maxTaskDowntimeMS, fl.machinesWithDown)
		qt.Assert(t, fl.runningOn["j1.0.0.0"], qt.Not(qt.Equals), "")
	})
}

// Of a start that was sent twice, one copy may be executed by the incarnation after the one that confirmed the run.
func TestCopyOfAStartExecutedAfterARestartIsNotASecondRun(t *testing.T) {
	fl := newFleet(t, hostedVM("a"), hostedVM("b"))
	fl.setBehavior(0, workpb.End_END_UNKNOWN)
	var copied *workpb.Order
	fl.beforeOrder = func(od *workpb.Order) {
		if copied == nil && od.GetVerb() == workpb.Verb_START {
			copied = od
			fl.ct.HandleRepeated(od)
		}
	}
	fl.submit(jobOf("j1", stepOf(1)))
	fl.run(500)
	fl.workers[copied.GetVm()].Restart()
	fl.run(200)
	fl.workers[copied.GetVm()].Order(copied)
	fl.run(3000)
	qt.Assert(t, fl.runningOn["j1.0.0.0"], qt.Not(qt.Equals), "")
}

// A copy of a confirmed start may be executed by the next incarnation of a VM whose machine is down.
func TestRepeatedStartOnACrashedVMIsNotRepeatedElsewhere(t *testing.T) {
	fl := newFleet(t, hostedVM("a"), hostedVM("b"))
	fl.setBehavior(0, workpb.End_END_UNKNOWN)
	fl.beforeOrder = func(od *workpb.Order) { fl.ct.HandleRepeated(od) }
	fl.submit(jobOf("j1", lastingStep(1)))
	fl.run(1000)
	fl.crash(fl.runningOn["j1.0.0.0"])
	fl.runWithLists(3000, fl.machinesWithDown)
	qt.Assert(t, fl.starts["j1.0.0.0"], qt.Equals, 1)
}

// A start without an answer is sent again; the VM's next incarnation may execute the first copy.
func TestFirstCopyOfARepeatedStartDoesNotRunBesideTheNextRun(t *testing.T) {
	for _, tc := range []struct {
		name   string
		downMS int64
	}{
		{name: "restarted at once"},
		{name: "listed as down", downMS: 2000},
	} {
		t.Run(tc.name, func(t *testing.T) {
			fl := newFleet(t, hostedVM("a"), hostedVM("b"))
			fl.setBehavior(0, workpb.End_END_UNKNOWN)
			fl.holdStarts = true
			fl.submit(jobOf("j1", lastingStep(1)))
			fl.run(100)
			fl.holdStarts = false
			od := fl.held[0]
			host := od.GetVm()
			oc := fl.workers[host].Answer(od)
			fl.ct.HandleRepeated(od)
			fl.ct.HandleOutcome(od, oc)
			fl.run(1000)
			fl.crash(host)
			fl.runWithLists(tc.downMS, fl.machinesWithDown)
			fl.startAgain(host)
			fl.run(500)
			fl.workers[host].Order(od)
			fl.run(1000)
			qt.Assert(t, fl.starts["j1.0.0.0"], qt.Equals, 2)
		})
	}
}
