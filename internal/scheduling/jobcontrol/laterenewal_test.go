package jobcontrol_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

// A renewal that an owner prepared before it was paused must not make a run outlive the lease that the owner had counted: a successor starts the task elsewhere after that.
func TestRenewalThatArrivesLateExtendsNothing(t *testing.T) {
	fl := newFleet(t, vmOf("a"))
	fl.setBehavior(60_000, workpb.End_END_DONE)
	fl.run(settledMS)
	fl.submit(jobOf("j1", stepOf(1)))
	fl.run(500)
	wk := fl.workers["a"]
	qt.Assert(t, wk.Running(), qt.Equals, 1)
	var renewal *workpb.LookRequest
	for renewal == nil {
		fl.ck.Advance(stepMS)
		for _, lr := range fl.ct.DuePolls() {
			renewal = lr
		}
	}
	qt.Assert(t, renewal.GetLeaseUntilMs() > 0, qt.IsTrue)
	fl.ck.Advance(runLeaseMS - 100)
	_, vd := wk.Poll(renewal)
	qt.Assert(t, vd, qt.Equals, workpb.Verdict_ACCEPTED)
	fl.ck.Advance(runLeaseMS / 2)
	qt.Check(t, wk.Running(), qt.Equals, 0)
}
