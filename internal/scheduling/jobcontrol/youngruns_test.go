package jobcontrol_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

// Guards against runs that are moved off sound VMs in their first second: their progress of one percent, which stands for up to two, seemed twice as slow as that of the tasks that began before.
func TestYoungRunsOfLongTasksAreNotTakenForSlow(t *testing.T) {
	const longMS = 19_000
	fl := newFleet(t, vmOf("a"), vmOf("b"))
	rules := testRules()
	rules.Teams[0].Weight = 1
	fl.setRules(rules)
	fl.run(200)
	step := stepOf(32)
	step.EstimateMs = longMS
	fl.setBehavior(longMS, workpb.End_END_DONE)
	fl.submit(jobOf("j1", step))
	fl.run(4000)
	qt.Assert(t, fl.starts, qt.HasLen, 16)
	for _, id := range []string{"c", "d", "e"} {
		fl.addWorker(vmOf(id))
		fl.setBehavior(longMS, workpb.End_END_DONE)
	}
	fl.run(6000)
	qt.Assert(t, fl.starts, qt.HasLen, 32)
	for index := range 32 {
		name := fmt.Sprintf("j1.0.0.%d", index)
		qt.Check(t, fl.starts[name], qt.Equals, 1, qt.Commentf(name))
	}
}

// Guards against an owner that ends with a division by zero, and each successor after it, since a VM lists less progress of a run than before.
func TestProgressThatGoesBackDoesNotEndTheOwner(t *testing.T) {
	fl := newFleet(t, vmOf("a"))
	rules := testRules()
	rules.Teams[0].Weight = 1
	fl.setRules(rules)
	fl.run(200)
	fl.setBehavior(60_000, workpb.End_END_DONE)
	step := stepOf(1)
	step.EstimateMs = 60_000
	fl.submit(jobOf("j1", step))
	fl.run(200)
	for _, percent := range []int64{10, 10, 10, 10, 10, 10, 10, 10, 9, 9, 8, 0} {
		fl.ck.Advance(500)
		lk, vd := fl.workers["a"].Poll(&workpb.LookRequest{Vm: "a", Token: fl.token, LeaseUntilMs: 1_000_000})
		qt.Assert(t, lk.GetRunning(), qt.HasLen, 1)
		lk.Running[0].Percent = percent
		fl.ct.HandlePoll("a", fl.ck.Now(), lk, vd)
		fl.ct.Plan(true)
	}
	qt.Check(t, fl.starts["j1.0.0.0"], qt.Equals, 1)
}
