package jobcontrol_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

const slowTask = "j1.0.0.0"

// newSecondRun plays a job of four tasks, each on its VM, of which one is slow until its task has a second run, on a fifth VM. The runs of that task end as given.
func newSecondRun(t *testing.T, duplicates bool, end workpb.End) (fl *fleet, first, second string) {
	fl = newFleet(t, vmOf("a"), vmOf("b"), vmOf("c"), vmOf("d"), vmOf("e"))
	fl.setRules(pacedRules())
	fl.allowDuplicates = duplicates
	for _, wk := range fl.workers {
		wk.Behave = func(task string, _ int64) (int64, workpb.End) {
			if task == slowTask {
				return 1200, end
			}
			return 1200, workpb.End_END_DONE
		}
	}
	st := stepOf(4)
	st.MaxPerVm, st.Duplicates, st.EstimateMs = 1, duplicates, 1200
	fl.submit(jobOf("j1", st))
	fl.run(300)
	first = fl.runningOn[slowTask]
	qt.Assert(t, first, qt.Not(qt.Equals), "")
	fl.workers[first].SlowdownPercent = 800
	for range 3000 / stepMS {
		fl.run(stepMS)
		if fl.starts[slowTask] == 2 {
			break
		}
	}
	return fl, first, fl.runningOn[slowTask]
}

// A slow last task must get a second run beside the first where its step allows it; the first run to end counts, and the other is stopped.
func TestLastTaskOnASlowVMGetsASecondRun(t *testing.T) {
	fl, first, second := newSecondRun(t, true, workpb.End_END_DONE)
	qt.Assert(t, second, qt.Not(qt.Equals), first)
	qt.Check(t, fl.workers[first].Running(), qt.Equals, 1)
	qt.Check(t, fl.ct.Load(first), qt.Equals, 1)
	qt.Check(t, len(fl.stored["j1"][0].GetTasks()[0].GetReplaced()), qt.Equals, 1)
	fl.run(1700)
	qt.Check(t, fl.state("j1"), qt.Equals, workpb.State_COMPLETED)
	qt.Check(t, fl.workers[first].Running(), qt.Equals, 0)
	qt.Check(t, fl.starts[slowTask], qt.Equals, 2)
	qt.Check(t, fl.ct.Load(first)+fl.ct.Load(second), qt.Equals, 0)
}

// A task whose step doesn't allow duplicate runs must never run twice at once; fleet.record checks that.
func TestTaskWithoutDuplicatesGetsNoSecondRun(t *testing.T) {
	fl, first, _ := newSecondRun(t, false, workpb.End_END_DONE)
	fl.run(12_000)
	qt.Check(t, fl.state("j1"), qt.Equals, workpb.State_COMPLETED)
	qt.Check(t, fl.ct.Load(first), qt.Equals, 0)
}

// The first run must count if it ends before the second, which is stopped.
func TestFirstRunThatRecoversCounts(t *testing.T) {
	fl, first, second := newSecondRun(t, true, workpb.End_END_DONE)
	fl.workers[first].SlowdownPercent = 100
	fl.workers[second].SlowdownPercent = 800
	fl.run(1700)
	qt.Check(t, fl.state("j1"), qt.Equals, workpb.State_COMPLETED)
	qt.Check(t, fl.workers[second].Running(), qt.Equals, 0)
	qt.Check(t, fl.starts[slowTask], qt.Equals, 2)
}

// A VM that falls silent with one of both runs must not delay the task, whose other run goes on.
func TestSilenceOfEitherVMLeavesTheOtherRun(t *testing.T) {
	for _, silentFirst := range []bool{true, false} {
		fl, first, second := newSecondRun(t, true, workpb.End_END_DONE)
		silent := second
		if silentFirst {
			silent = first
		} else {
			fl.workers[first].SlowdownPercent = 100
		}
		fl.unresponsive[silent] = true
		fl.run(1700)
		qt.Check(t, fl.state("j1"), qt.Equals, workpb.State_COMPLETED, qt.Commentf("first silent: %v", silentFirst))
		qt.Check(t, fl.ct.Load(silent), qt.Equals, 1, qt.Commentf("it counts until its lease has expired"))
		qt.Check(t, fl.starts[slowTask], qt.Equals, 2)
		fl.run(20_000)
		qt.Check(t, fl.ct.Load(silent), qt.Equals, 0)
	}
}

// An owner that takes over while both runs go on must count both, keep the second and stop the first.
func TestNewOwnerLearnsOfBothRuns(t *testing.T) {
	fl, first, second := newSecondRun(t, true, workpb.End_END_DONE)
	fl.newOwner()
	fl.setRules(pacedRules())
	qt.Check(t, fl.ct.Load(first), qt.Equals, 1)
	qt.Check(t, fl.ct.Load(second), qt.Equals, 1)
	fl.run(1700)
	qt.Check(t, fl.workers[first].Running(), qt.Equals, 0)
	qt.Check(t, fl.state("j1"), qt.Equals, workpb.State_COMPLETED)
	qt.Check(t, fl.starts[slowTask], qt.Equals, 2)
}

// An owner that takes over after the second run was stored and before its start was sent must start the task again rather than wait for a run that never begins.
func TestNewOwnerStartsATaskWhoseSecondRunWasNotSent(t *testing.T) {
	fl, first, _ := newSecondRun(t, true, workpb.End_END_DONE)
	second := ""
	for id, wk := range fl.workers {
		if id != first && wk.Running() > 0 {
			second = id
		}
	}
	fl.workers[second].Restart()
	fl.newOwner()
	fl.setRules(pacedRules())
	fl.run(16_000)
	qt.Check(t, fl.state("j1"), qt.Equals, workpb.State_COMPLETED)
	qt.Check(t, fl.ct.Load(first), qt.Equals, 0)
}

// Lost answers of starts and stops must leave neither run behind, nor the task undone.
func TestSecondRunWithLostAnswers(t *testing.T) {
	for _, verb := range []workpb.Verb{workpb.Verb_START, workpb.Verb_STOP} {
		fl, first, second := newSecondRun(t, true, workpb.End_END_DONE)
		fl.loseAnswer = func(od *workpb.Order) bool { return od.GetVerb() == verb }
		fl.run(1700)
		qt.Check(t, fl.state("j1"), qt.Equals, workpb.State_COMPLETED)
		fl.run(16_000)
		qt.Check(t, fl.workers[first].Running()+fl.workers[second].Running(), qt.Equals, 0)
		qt.Check(t, fl.ct.Load(first)+fl.ct.Load(second), qt.Equals, 0)
	}
}

// Failures of both runs must count as attempts, so that a task fails for good after as many as its queue allows.
func TestFailuresOfBothRunsCount(t *testing.T) {
	fl, first, _ := newSecondRun(t, true, workpb.End_END_FAILED)
	fl.workers[first].SlowdownPercent = 100
	fl.run(6000)
	qt.Check(t, fl.state("j1"), qt.Equals, workpb.State_FAILED)
	qt.Check(t, fl.starts[slowTask], qt.Equals, 3)
}

// A second run must leave its room to a job that waits for it.
func TestSecondRunYieldsToWaitingJob(t *testing.T) {
	fl, first, second := newSecondRun(t, true, workpb.End_END_DONE)
	fl.workers[second].SlowdownPercent = 2000
	whole := stepOf(5)
	whole.CpuMilli, whole.MaxPerVm = 8000, 1
	fl.submit(jobOf("j2", whole))
	fl.run(1000)
	started := 0
	for task, count := range fl.starts {
		if strings.HasPrefix(task, "j2.") {
			started += count
		}
	}
	qt.Check(t, started, qt.Equals, 4)
	qt.Check(t, fl.starts[slowTask], qt.Equals, 2)
	qt.Check(t, fl.ct.Load(first)+fl.ct.Load(second), qt.Equals, 2)
}

// A run that is moved off a slow VM must not delay its task until it has stopped where the step allows duplicate runs, and must delay it where it doesn't; fleet.record checks the latter.
func TestMoveWaitsForTheStopUnlessRunsMayOverlap(t *testing.T) {
	for _, duplicates := range []bool{true, false} {
		fl := newFleet(t, vmOf("a"), vmOf("b"), vmOf("c"))
		fl.setRules(pacedRules())
		fl.allowDuplicates = duplicates
		fl.setBehavior(1200, workpb.End_END_DONE)
		st := stepOf(9)
		st.MaxPerVm, st.Duplicates, st.EstimateMs = 3, duplicates, 1200
		fl.workers["a"].SlowdownPercent = 800
		fl.submit(jobOf("j1", st))
		overlaps := 0
		fl.beforeOrder = func(od *workpb.Order) {
			if od.GetVerb() == workpb.Verb_START && od.GetRun() == 2 && fl.workers["a"].Running() > 0 {
				overlaps++
			}
		}
		fl.loseAnswer = func(od *workpb.Order) bool { return od.GetVerb() == workpb.Verb_STOP }
		fl.run(4200)
		qt.Check(t, fl.state("j1"), qt.Equals, workpb.State_COMPLETED)
		qt.Check(t, overlaps > 0, qt.Equals, duplicates)
		qt.Check(t, fl.ct.Load("a"), qt.Equals, 0)
	}
}
