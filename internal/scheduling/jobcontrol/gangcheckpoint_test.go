package jobcontrol_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

// Guards against members of a gang that start from different checkpoints: each was told the last one that it had reported itself.
func TestMembersOfAGangStartFromOneCheckpoint(t *testing.T) {
	for _, tc := range []struct {
		name     string
		newOwner bool
	}{{"same owner", false}, {"new owner", true}} {
		fl := newFleet(t, vmOf("a"), vmOf("b"), vmOf("c"))
		fl.setBehavior(6000, workpb.End_END_DONE)
		for id, wk := range fl.workers {
			wk.Saves = func(string) bool { return true }
			wk.SlowdownPercent = map[string]int64{"a": 100, "b": 110, "c": 130}[id]
		}
		checkpoints := map[string]map[string]bool{}
		fl.beforeOrder = func(od *workpb.Order) {
			if od.GetVerb() != workpb.Verb_START {
				return
			}
			run := fmt.Sprint(od.GetRun())
			if checkpoints[run] == nil {
				checkpoints[run] = map[string]bool{}
			}
			checkpoints[run][od.GetCheckpoint()] = true
		}
		fl.submit(jobOf("j1", &workpb.Step{Count: 3, CpuMilli: 6000, MemoryMb: 100, EstimateMs: 6000, Gang: true, Checkpoints: true}))
		fl.run(2500)
		fl.startAgain("b")
		fl.register("b")
		if tc.newOwner {
			fl.newOwner()
		}
		fl.run(6000)
		qt.Check(t, len(checkpoints) > 1, qt.IsTrue, qt.Commentf(tc.name))
		for run, list := range checkpoints {
			qt.Check(t, list, qt.HasLen, 1, qt.Commentf("%s: run %s", tc.name, run))
			if run != "1" {
				qt.Check(t, list[""], qt.IsFalse, qt.Commentf("%s: run %s starts anew", tc.name, run))
			}
		}
	}
}
