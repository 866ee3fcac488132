package jobcontrol_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

const tailTargetMS = 100

// newSharedVM runs a latency-sensitive task and a best-effort batch task on one VM. The batch task uses its CPU time, and adds the interference to the other task's tail latency, in proportion to its pace.
func newSharedVM(t *testing.T, interference func() int64) *fleet {
	fl := newFleet(t, vmOf("a"))
	wk := fl.workers["a"]
	wk.Behave = func(string, int64) (int64, workpb.End) { return 0, workpb.End_END_UNKNOWN }
	wk.Gauge = func(task string) int64 {
		pace, ok := wk.Pace["fill.0.0.0"]
		if !ok {
			pace = 100
		}
		if strings.HasPrefix(task, "fill") {
			return stepOf(1).GetCpuMilli() * pace / 100
		}
		return 40 + interference()*pace/100
	}
	service := stepOf(1)
	service.Lasting, service.TailTargetMs = true, tailTargetMS
	fl.submit(jobOf("serve", service))
	batch := stepOf(1)
	batch.Lasting, batch.Fills = true, true
	fl.submit(jobOf("fill", batch))
	return fl
}

// The pace of a best-effort task must be reduced so that, at any level of interference, the other task is over its tail latency target only for a short time.
func TestBestEffortTasksKeepLatencySensitiveOnesUnderTheirTarget(t *testing.T) {
	interference := int64(0)
	fl := newSharedVM(t, func() int64 { return interference })
	fl.run(2000)
	qt.Assert(t, fl.workers["a"].Running(), qt.Equals, 2)
	for _, level := range []int64{80, 300, 20, 600, 80} {
		interference = level
		overMS, maxOverMS := int64(0), int64(0)
		for range 10_000 / stepMS {
			fl.run(stepMS)
			if fl.workers["a"].Gauge("serve.0.0.0") <= tailTargetMS {
				overMS = 0
				continue
			}
			overMS += stepMS
			maxOverMS = max(maxOverMS, overMS)
		}
		qt.Check(t, maxOverMS < 4000, qt.IsTrue, qt.Commentf("interference %d: over its target for %d ms", level, maxOverMS))
	}
}

func TestBestEffortTasksResumeFullPaceWithoutInterference(t *testing.T) {
	interference := int64(600)
	fl := newSharedVM(t, func() int64 { return interference })
	fl.run(6000)
	interference = 0
	fl.run(10_000)
	qt.Assert(t, fl.workers["a"].Pace["fill.0.0.0"], qt.Equals, int64(100))
}
