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
