package jobcontrol_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

// manyRuns returns a fleet of one VM on which all tasks of a step run.
func manyRuns(t *testing.T, step *workpb.Step) *fleet {
	fl := newFleet(t, largeVM("a"))
	fl.setBehavior(1_000_000, workpb.End_END_DONE)
	fl.submit(jobOf("j1", step))
	for range 1000 {
		if len(fl.starts) == int(step.GetCount()) {
			break
		}
		fl.run(stepMS)
	}
	qt.Assert(t, fl.starts, qt.HasLen, int(step.GetCount()))
	return fl
}

// Guards against an owner that is lost to thousands of runs on one VM: work on all of them must not visit all others for each.
func TestWorkOnManyRunsOfAVMGrowsInProportion(t *testing.T) {
	const (
		few, many = 1000, 8000
		// maxGrowth is between the growth of work in proportion to the runs, 8, and in proportion to their square, 64.
		maxGrowth = 24
		// A busy machine may disturb some tries, but not all.
		tries = 8
	)
	for _, tc := range []struct {
		name string
		// prepare returns the work that is timed.
		prepare func(runs int32) func()
	}{
		{"a new owner's first list lacks all runs", func(runs int32) func() {
			fl := manyRuns(t, smallTasks(runs))
			fl.newOwner()
			fl.ct.DuePolls()
			return func() {
				fl.ct.HandlePoll("a", fl.ck.Now(), &workpb.Look{BornMs: 1, ClockMs: fl.ck.Now()}, workpb.Verdict_ACCEPTED)
			}
		}},
		{"starts of a step with a limit per VM", func(runs int32) func() {
			step := smallTasks(runs)
			step.MaxPerVm = runs
			return func() { manyRuns(t, step) }
		}},
		{"a late start of each task under a cap", func(runs int32) func() {
			fl := manyRuns(t, smallTasks(runs/4))
			rules := testRules()
			// All starts beyond half of the cap are checked against the late ones, and fit.
			rules.Teams[0].CapCpuMilli = int64(runs+runs/4) * smallTasks(1).GetCpuMilli()
			fl.setRules(rules)
			fl.ct.Cancel("j1")
			for _, od := range fl.ct.Outbox() {
				fl.ct.HandleRepeated(&workpb.Order{Vm: od.GetVm(), Task: od.GetTask(), Run: od.GetRun()})
			}
			fl.run(1000)
			fl.submit(jobOf("j2", smallTasks(runs)))
			return func() {
				planAll(fl)
				qt.Assert(t, fl.ct.Load("a"), qt.Equals, int(runs))
			}
		}},
	} {
		took := func(runs int32) time.Duration {
			work := tc.prepare(runs)
			begin := time.Now()
			work()
			return time.Since(begin)
		}
		ofFew, ofMany := took(few), took(many)
		for try := 1; try < tries && ofMany > maxGrowth*ofFew; try++ {
			ofFew, ofMany = min(ofFew, took(few)), min(ofMany, took(many))
		}
		qt.Check(t, ofMany <= maxGrowth*ofFew, qt.IsTrue, qt.Commentf("%s: %v for %d runs, %v for %d", tc.name, ofFew, few, ofMany, many))
	}
}

// planAll plans until a pass plans no start.
func planAll(fl *fleet) {
	for {
		orders := fl.ct.ConfirmStored(fl.ct.Plan(true))
		if len(orders) == 0 {
			return
		}
		for _, od := range orders {
			fl.ct.HandleOutcome(od, outcome(workpb.Verdict_ACCEPTED))
		}
	}
}
