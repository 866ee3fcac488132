package jobcontrol_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

// raiseTokens lets the owner use a higher fencing token after each step, as each commit allows it.
func (fl *fleet) raiseTokens() {
	latest := fl.token * 1000
	fl.limitBatch = func() {
		latest++
		fl.ct.SetLatestToken(latest)
	}
}

// Guards against ends that nobody has read and that are dropped, so that their tasks run again: an unanswered poll that acknowledges ends of a VM's earlier incarnation is executed by the next one.
func TestLatePollForAnEarlierIncarnationDropsNoEnds(t *testing.T) {
	for _, tc := range []struct {
		name            string
		registeredFirst bool
	}{{"registration seen before an answer", true}, {"answer seen before the registration", false}} {
		fl := newFleet(t, vmOf("a"))
		fl.raiseTokens()
		fl.setBehavior(300, workpb.End_END_DONE)
		var late *workpb.LookRequest
		fl.beforePoll = func(lr *workpb.LookRequest) {
			if lr.GetAcknowledged() > 3 {
				late = proto.Clone(lr).(*workpb.LookRequest)
			}
		}
		fl.submit(jobOf("j1", stepOf(6)))
		fl.run(2000)
		qt.Assert(t, late, qt.IsNotNil)
		fl.workers["a"].Restart()
		if tc.registeredFirst {
			fl.register("a")
		}
		fl.run(7000)
		fl.register("a")
		fl.run(600)
		fl.submit(jobOf("j2", stepOf(4)))
		fl.run(300)
		fl.storeAway = true
		fl.ck.Advance(400)
		_, vd := fl.workers["a"].Poll(late)
		qt.Check(t, vd, qt.Equals, workpb.Verdict_FENCED, qt.Commentf(tc.name))
		// A later owner's token is above all of an earlier one's.
		fl.token = 1_000_000
		fl.newOwner()
		fl.storeAway = false
		fl.run(3000)
		qt.Check(t, fl.state("j2"), qt.Equals, workpb.State_COMPLETED, qt.Commentf(tc.name))
		fl.checkStartedOnce(tc.name)
	}
}

// Guards against calls under a token that a VM has seen exceeded, which end the ownership: one that was forgotten while it wasn't registered comes back.
func TestVMThatComesBackIsCalledUnderNoLowerToken(t *testing.T) {
	fl := newFleet(t, vmOf("a"), vmOf("b"))
	fl.raiseTokens()
	fl.run(500)
	fl.workers["a"].Restart()
	fl.register("a")
	fl.run(500)
	raised := fl.ct.TokenOf("a")
	qt.Check(t, raised > fl.token, qt.IsTrue)
	fl.unregistered["a"] = true
	fl.ct.DropVM("a")
	fl.run(40_000)
	qt.Check(t, fl.ct.VMs(), qt.DeepEquals, []string{"b"})
	fl.register("a")
	qt.Check(t, fl.ct.TokenOf("a") >= raised, qt.IsTrue)
}
