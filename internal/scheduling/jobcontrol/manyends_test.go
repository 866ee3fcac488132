package jobcontrol_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

// checkStartedOnce checks that each task that was started was started once.
func (fl *fleet) checkStartedOnce(name string) {
	repeated := 0
	for _, count := range fl.starts {
		if count > 1 {
			repeated++
		}
	}
	qt.Check(fl.t, repeated, qt.Equals, 0, qt.Commentf("%s: tasks started again", name))
}

// Guards against a cut-off list that is read as a whole one: a VM lists 500 ended runs at a time, and tasks whose ends were to follow were taken for vanished and started again.
func TestRunsWhoseEndsAreNotListedYetAreNotRepeated(t *testing.T) {
	const tasks = 1800
	for _, tc := range []struct {
		name    string
		disturb func(fl *fleet)
	}{
		{"undisturbed", func(*fleet) {}},
		{"owner replaced while the runs end", func(fl *fleet) { fl.newOwner() }},
		{"owners replaced while the ends are read", func(fl *fleet) {
			for range 5 {
				fl.newOwner()
				fl.run(2 * stepMS)
			}
		}},
		{"store away while the runs end", func(fl *fleet) {
			fl.storeAway = true
			fl.run(3000)
			fl.storeAway = false
		}},
		{"owner replaced, and the store away for a while", func(fl *fleet) {
			fl.newOwner()
			fl.storeAway = true
			fl.run(1000)
			fl.storeAway = false
		}},
		{"VM silent while the runs end", func(fl *fleet) {
			fl.unresponsive["a"] = true
			fl.run(1000)
			fl.unresponsive["a"] = false
		}},
		{"starts unanswered, and the owner replaced", func(fl *fleet) {
			fl.loseAnswer = func(*workpb.Order) bool { return true }
			fl.submit(jobOf("j2", smallTasks(600)))
			fl.run(2 * stepMS)
			fl.loseAnswer = func(*workpb.Order) bool { return false }
			fl.ck.Advance(500)
			fl.newOwner()
		}},
	} {
		fl := newFleet(t, largeVM("a"))
		fl.setBehavior(600, workpb.End_END_DONE)
		fl.submit(jobOf("j1", smallTasks(tasks)))
		fl.run(200)
		fl.ck.Advance(800)
		tc.disturb(fl)
		fl.run(6000)
		for id := range fl.jobs {
			qt.Check(t, fl.state(id), qt.Equals, workpb.State_COMPLETED, qt.Commentf("%s: %s", tc.name, id))
		}
		fl.checkStartedOnce(tc.name)
	}
}

// Guards against runs that are stopped though they only aren't listed yet: a cancelled job's ends fill the lists while another job's tasks end behind them.
func TestEndsBehindThoseOfACancelledJobCount(t *testing.T) {
	fl := newFleet(t, largeVM("a"))
	fl.workers["a"].Behave = func(string, int64) (int64, workpb.End) { return 1000, workpb.End_END_DONE }
	fl.submit(jobOf("j1", smallTasks(700)))
	fl.run(200)
	fl.submit(jobOf("j2", smallTasks(300)))
	fl.run(200)
	fl.ct.Cancel("j1")
	fl.run(40)
	fl.ck.Advance(1500)
	fl.newOwner()
	fl.run(4000)
	qt.Check(t, fl.state("j1"), qt.Equals, workpb.State_CANCELLED)
	qt.Check(t, fl.state("j2"), qt.Equals, workpb.State_COMPLETED)
	fl.checkStartedOnce("both")
}

// Guards against work that waits for a list's next part as long as for a poll: waiting ends must be read in round trips.
func TestManyEndsAreReadInRoundTrips(t *testing.T) {
	const listed, stepsPerPart = 500, 4
	for _, tasks := range []int32{800, 2000, 5000} {
		fl := newFleet(t, largeVM("a"))
		fl.setBehavior(1200, workpb.End_END_DONE)
		fl.submit(jobOf("j1", smallTasks(tasks), smallTasks(1)))
		fl.jobs["j1"].Steps[1].After = []int32{0}
		for beginMS := fl.ck.Now(); len(fl.starts) < int(tasks) && fl.ck.Now() < beginMS+1000; {
			fl.run(stepMS)
		}
		qt.Assert(t, fl.starts, qt.HasLen, int(tasks))
		fl.ck.Advance(1200)
		fl.newOwner()
		steps := 0
		for fl.starts["j1.0.1.0"] == 0 && steps < 10_000 {
			fl.run(stepMS)
			steps++
		}
		parts := int(tasks)/listed + 1
		qt.Check(t, steps <= parts*stepsPerPart, qt.IsTrue, qt.Commentf("%d ends are read in %d steps of %d ms", tasks, steps, stepMS))
		fl.checkStartedOnce(fmt.Sprint(tasks))
	}
}

// Guards against ends that are lost with their VM: one with more ends than it has listed must neither be moved nor count as empty.
func TestVMWithUnlistedEndsIsNotMoved(t *testing.T) {
	fl := newFleet(t, largeVM("a"))
	fl.setBehavior(600, workpb.End_END_DONE)
	fl.submit(jobOf("j1", smallTasks(1200)))
	fl.run(100)
	fl.ck.Advance(1200)
	fl.ct.Cancel("j1")
	for range 200 {
		if fl.workers["a"].UnreadEnds() > 0 {
			qt.Assert(t, fl.ct.Movable("a") && fl.ct.Load("a") == 0, qt.IsFalse)
			qt.Assert(t, fl.ct.Evacuate("a", false), qt.IsFalse)
		}
		fl.run(stepMS)
	}
	qt.Check(t, fl.workers["a"].UnreadEnds(), qt.Equals, 0)
	qt.Check(t, fl.ct.Movable("a"), qt.IsTrue)
}
