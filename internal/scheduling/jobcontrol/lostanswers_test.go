package jobcontrol_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

// nextPoll advances the clock until a poll of a VM is due, and returns it without answering it.
func (fl *fleet) nextPoll(id string) *workpb.LookRequest {
	for range 1000 {
		for _, lr := range fl.ct.DuePolls() {
			if lr.GetVm() == id {
				return lr
			}
			fl.poll(lr)
		}
		fl.ck.Advance(stepMS)
	}
	fl.t.Fatal("no poll is due")
	return nil
}

// While answers of a VM get lost, it isn't asked to hold polls open, since that delays what a lost answer would have told.
func TestVMWhoseAnswersAreLostIsNotAskedToHoldPolls(t *testing.T) {
	fl := newFleet(t, vmOf("a"))
	fl.setBehavior(0, workpb.End_END_UNKNOWN)
	fl.submit(jobOf("j1", stepOf(1)))
	fl.run(1000)
	lr := fl.nextPoll("a")
	qt.Assert(t, lr.GetWaitMs() > 0, qt.IsTrue)
	fl.ct.HandleRepeatedPoll("a")
	fl.poll(lr)
	lr = fl.nextPoll("a")
	qt.Assert(t, lr.GetWaitMs(), qt.Equals, int64(0))
	fl.poll(lr)
	fl.run(4000)
	qt.Assert(t, fl.nextPoll("a").GetWaitMs() > 0, qt.IsTrue)
}
