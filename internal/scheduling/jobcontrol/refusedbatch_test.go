package jobcontrol_test

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/jobcontrol"
)

// Guards against starts that are ordered, ends that are acknowledged and progress that is forgotten though the store has refused to take them.
func TestRefusedBatchTakesNoEffectAndIsStoredLater(t *testing.T) {
	fl := newFleet(t, vmOf("a"), vmOf("b"))
	fl.setBehavior(300, workpb.End_END_DONE)
	fl.submit(jobOf("j1", stepOf(3), stepOf(2, 0)))
	refusing, refusedRows := true, 0
	fl.refuses = func(bt *jobcontrol.Batch) bool {
		if refusing {
			refusedRows += len(bt.Rows())
		}
		return refusing
	}
	acknowledged := int64(0)
	fl.beforePoll = func(lr *workpb.LookRequest) { acknowledged = max(acknowledged, lr.GetAcknowledged()) }
	fl.run(1000)
	qt.Check(t, refusedRows > 0, qt.IsTrue)
	qt.Check(t, fl.starts, qt.HasLen, 0)
	refusing = false
	fl.run(200)
	qt.Check(t, fl.starts, qt.HasLen, 3)
	refusing = true
	fl.run(1000)
	qt.Check(t, fl.countDone(), qt.Equals, 3)
	qt.Check(t, acknowledged, qt.Equals, int64(0))
	refusing = false
	fl.run(2000)
	qt.Check(t, acknowledged > 0, qt.IsTrue)
	qt.Check(t, fl.state("j1"), qt.Equals, workpb.State_COMPLETED)
	fl.newOwner()
	fl.run(1000)
	qt.Check(t, fl.starts, qt.HasLen, 5)
}

// Guards against the ends of other jobs piling up on a VM while the progress of one job can't be stored, and against tasks of that job that are started without it.
func TestJobThatIsSetAsideHoldsBackNoOther(t *testing.T) {
	fl := newFleet(t, vmOf("a"))
	fl.setBehavior(300, workpb.End_END_DONE)
	fl.submit(jobOf("bad", stepOf(1), stepOf(3, 0)))
	fl.run(200)
	fl.refuses = func(bt *jobcontrol.Batch) bool { return slices.Contains(bt.Jobs(), "bad") }
	fl.run(400)
	fl.ct.SetAside("bad")
	fl.submit(jobOf("good", stepOf(4), stepOf(2, 0)))
	acknowledged := int64(0)
	fl.beforePoll = func(lr *workpb.LookRequest) { acknowledged = max(acknowledged, lr.GetAcknowledged()) }
	fl.run(5000)
	qt.Check(t, fl.state("good"), qt.Equals, workpb.State_COMPLETED)
	qt.Check(t, acknowledged, qt.Equals, int64(7))
	qt.Check(t, fl.starts["bad.0.1.0"], qt.Equals, 0)
	fl.refuses = func(*jobcontrol.Batch) bool { return false }
	fl.run(32_000)
	qt.Check(t, fl.state("bad"), qt.Equals, workpb.State_COMPLETED)
	qt.Check(t, fl.starts["bad.0.0.0"], qt.Equals, 1)
}
