package jobcontrol_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

// The VM lists the end of a short run before the answer to its start arrives; its only copy is answered then.
func TestAnswerToTheStartOfAnEndedRunFreesItsPlaceInTheLimitPerVM(t *testing.T) {
	for _, tc := range []struct {
		name    string
		verdict workpb.Verdict
		copies  int
		// starts is the number of tasks that have started a second later.
		starts int
	}{
		{name: "only copy answered", verdict: workpb.Verdict_ACCEPTED, copies: 1, starts: 2},
		{name: "a copy unanswered", verdict: workpb.Verdict_ACCEPTED, copies: 2, starts: 1},
		{name: "in doubt", verdict: workpb.Verdict_IN_DOUBT, copies: 1, starts: 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			fl := newLimitFleet(t, vmOf("a"))
			fl.setBehavior(40, workpb.End_END_DONE)
			od := fl.holdStart(jobOf("j1", onePerVM(2)))
			fl.workers["a"].Order(od)
			fl.ck.Advance(100)
			fl.pollAll()
			if tc.copies > 1 {
				fl.ct.HandleRepeated(od)
			}
			fl.ct.HandleOutcome(od, outcome(tc.verdict))
			fl.run(1000)
			qt.Assert(t, len(fl.starts), qt.Equals, tc.starts)
		})
	}
}

// A start that waited in its VM's queue may be executed up to 12 s after it was sent, not after it was ordered.
func TestLateCopyOfAnEndedRunCountsFromItsLastDoubt(t *testing.T) {
	fl := newLimitFleet(t, vmOf("a"))
	fl.setBehavior(40, workpb.End_END_DONE)
	od := fl.holdStart(jobOf("j1", onePerVM(2)))
	fl.run(3000)
	fl.workers["a"].Order(od)
	fl.ck.Advance(100)
	fl.pollAll()
	fl.ct.HandleRepeated(od)
	fl.ct.HandleOutcome(od, outcome(workpb.Verdict_ACCEPTED))
	fl.run(11_000)
	qt.Assert(t, len(fl.starts), qt.Equals, 1)
}

// Once a VM is known to have ended, or may have, its next incarnation may execute the start of an earlier run that it had refused to go on with.
func TestTaskIsNotMovedOffAnEndedVMWhileAnEarlierStartMayBeginThere(t *testing.T) {
	for _, tc := range []struct {
		name string
		// end lets the controller find that the runs on the silent VM are over.
		end func(fl *fleet, host string)
	}{
		{name: "machine down", end: func(fl *fleet, _ string) {
			fl.runWithLists(1000, fl.machinesWithDown)
		}},
		{name: "leases expired", end: func(fl *fleet, _ string) { fl.run(7000) }},
		{name: "another VM at its address", end: func(fl *fleet, host string) {
			fl.ct.HandlePoll(host, fl.ck.Now(), nil, workpb.Verdict_OTHER_VM)
			fl.run(6000)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			fl := newFleet(t, hostedVM("a"), hostedVM("b"))
			fl.setBehavior(60_000, workpb.End_END_DONE)
			fl.run(settledMS)
			od := fl.holdStart(jobOf("j1", stepOf(1)))
			host := od.GetVm()
			fl.ct.Cordon(map[string]string{"a": "b", "b": "a"}[host], true)
			fl.ct.HandleOutcome(od, outcome(workpb.Verdict_IN_DOUBT))
			fl.run(1000)
			qt.Assert(t, fl.starts["j1.0.0.0"], qt.Equals, 1)
			fl.ct.Cordon("a", false)
			fl.ct.Cordon("b", false)
			fl.crash(host)
			tc.end(fl, host)
			fl.workers[host].Order(od)
			fl.startAgainRunning(host)
			fl.run(8000)
			qt.Assert(t, len(fl.runningOn), qt.Equals, 1)
		})
	}
}

// startAgainRunning lets a VM answer again without ending what it runs.
func (fl *fleet) startAgainRunning(id string) {
	delete(fl.unresponsive, id)
	fl.register(id)
}

// A task that waits for the end of an earlier run than its last is stored with its last run's number, which the VM doesn't list.
func TestNewOwnerWaitsForTheEndOfAnEarlierRunThanTheLast(t *testing.T) {
	fl := newFleet(t, vmOf("a"), vmOf("b"))
	fl.setBehavior(60_000, workpb.End_END_DONE)
	fl.run(settledMS)
	st := stepOf(1)
	st.EstimateMs = 60_000
	od := fl.holdStart(jobOf("j1", st))
	host, other := od.GetVm(), map[string]string{"a": "b", "b": "a"}[od.GetVm()]
	fl.ct.Cordon(host, true)
	fl.workers[other].Behave = func(string, int64) (int64, workpb.End) { return 1500, workpb.End_END_FAILED }
	fl.ct.HandleOutcome(od, outcome(workpb.Verdict_IN_DOUBT))
	fl.run(1000)
	qt.Assert(t, fl.starts["j1.0.0.0"], qt.Equals, 1)
	fl.ct.Cordon(other, true)
	fl.run(1500)
	fl.setBehavior(60_000, workpb.End_END_DONE)
	fl.workers[host].Restart()
	fl.workers[host].Order(od)
	fl.register(host)
	fl.pollAll()
	fl.unresponsive[host] = true
	fl.run(stepMS)
	fl.newOwner()
	delete(fl.unresponsive, host)
	fl.run(3000)
	qt.Assert(t, fl.starts["j1.0.0.0"], qt.Equals, 3)
}

func TestTaskDoesNotWaitForEverForTheAnswerToAStopOfAStartThatCannotBeginAnyMore(t *testing.T) {
	fl := newFleet(t, vmOf("a"), vmOf("b"))
	fl.run(settledMS)
	od := fl.holdStart(jobOf("j1", stepOf(1)))
	fl.loseAnswer = func(other *workpb.Order) bool { return other.GetVerb() == workpb.Verb_STOP }
	fl.ct.HandleOutcome(od, outcome(workpb.Verdict_IN_DOUBT))
	fl.run(12_500)
	qt.Assert(t, fl.starts["j1.0.0.0"], qt.Equals, 0)
	fl.run(3000)
	qt.Assert(t, fl.starts["j1.0.0.0"], qt.Equals, 1)
	qt.Assert(t, fl.state("j1"), qt.Equals, workpb.State_COMPLETED)
}
