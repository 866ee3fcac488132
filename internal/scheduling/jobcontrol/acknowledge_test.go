package jobcontrol_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

// The ends of a VM's next incarnation are numbered from 1 again, so an acknowledgement of earlier ones would drop them unread.
func TestEndsOfANewIncarnationAreNotAcknowledgedUnread(t *testing.T) {
	for _, tc := range []struct {
		name   string
		silent bool
	}{
		{name: "VM silent before its restart", silent: true},
		{name: "restarted between two polls"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			fl := newFleet(t, vmOf("a"))
			fl.submit(jobOf("j1", stepOf(5)))
			fl.run(3000)
			fl.holdStarts = true
			fl.submit(jobOf("j2", stepOf(2)))
			fl.run(100)
			if tc.silent {
				fl.unresponsive["a"] = true
				fl.run(300)
			}
			fl.startAgain("a")
			for _, od := range fl.held {
				fl.workers["a"].Order(od)
			}
			fl.holdStarts = false
			fl.ck.Advance(1000)
			fl.register("a")
			fl.run(6000)
			qt.Assert(t, fl.state("j2"), qt.Equals, workpb.State_COMPLETED)
			qt.Assert(t, fl.starts["j2.0.0.0"], qt.Equals, 1)
		})
	}
}

func TestEndsOfANewIncarnationAreNotAcknowledgedByABatchOfTheEarlierOne(t *testing.T) {
	fl := newLimitFleet(t, vmOf("a"))
	fl.setBehavior(100, workpb.End_END_DONE)
	fl.submit(jobOf("j1", stepOf(5)))
	fl.run(100)
	fl.ck.Advance(200)
	fl.pollAll()
	bt := fl.ct.Plan(true)
	fl.workers["a"].Restart()
	fl.workers["a"].Order(&workpb.Order{Verb: workpb.Verb_START, Task: "j2.0.0.0", Run: 1, Token: fl.token, LeaseUntilMs: 60_000})
	fl.ck.Advance(200)
	fl.register("a")
	fl.pollAll()
	fl.ct.ConfirmStored(bt)
	fl.ck.Advance(200)
	for _, lr := range fl.ct.DuePolls() {
		qt.Assert(t, lr.GetAcknowledged(), qt.Equals, int64(0))
	}
}

// acknowledgingPoll runs the fleet until a poll acknowledges ends, and returns that poll before it is executed.
func (fl *fleet) acknowledgingPoll() *workpb.LookRequest {
	for range 100 {
		fl.ck.Advance(stepMS)
		for _, lr := range fl.ct.DuePolls() {
			if lr.GetAcknowledged() > 0 {
				return lr
			}
			fl.poll(lr)
		}
		fl.step()
	}
	fl.t.Fatal("no poll acknowledges an end")
	return nil
}

// A VM that restarts while a start and a poll are under way ends the run before it executes the poll, which drops that end unread.
func TestEndOfANewIncarnationIsNotAcknowledgedByAPollThatWasUnderWay(t *testing.T) {
	fl := newFleet(t, vmOf("a"))
	fl.setBehavior(100, workpb.End_END_DONE)
	fl.submit(jobOf("j1", stepOf(1)))
	lr := fl.acknowledgingPoll()
	fl.holdStarts = true
	fl.submit(jobOf("j2", stepOf(1)))
	fl.run(2 * stepMS)
	fl.holdStarts = false
	fl.workers["a"].Restart()
	for _, od := range fl.held {
		fl.ct.HandleOutcome(od, fl.workers["a"].Answer(od))
	}
	fl.ck.Advance(200)
	fl.poll(lr)
	fl.register("a")
	fl.run(20_000)
	qt.Assert(t, fl.state("j2"), qt.Equals, workpb.State_COMPLETED)
	qt.Assert(t, fl.starts["j2.0.0.0"], qt.Equals, 1)
}
