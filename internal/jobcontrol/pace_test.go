package jobcontrol_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/workpb"
)

const tailTargetMS = 100

// sharedVM runs a serving and a filling task on one VM, where the filling one adds to the serving one's tail by its pace.
func sharedVM(t *testing.T, disturbance func() int64) *fleet {
	fl := newFleet(t, vmOf("a"))
	wk := fl.workers["a"]
	wk.Behave = func(string, int64) (int64, workpb.End) { return 0, workpb.End_END_UNKNOWN }
	wk.Gauge = func(task string) int64 {
		if strings.HasPrefix(task, "fill") {
			return 0
		}
		pace, ok := wk.Pace["fill.0.0.0"]
		if !ok {
			pace = 100
		}
		return 40 + disturbance()*pace/100
	}
	serving := stepOf(1)
	serving.Lasting, serving.TailTargetMs = true, tailTargetMS
	fl.submit(jobOf("serve", serving))
	filling := stepOf(1)
	filling.Lasting, filling.Fills = true, true
	fl.submit(jobOf("fill", filling))
	return fl
}

func TestFillingTasksKeepServingOnesUnderTheirTarget(t *testing.T) {
	disturbance := int64(0)
	fl := sharedVM(t, func() int64 { return disturbance })
	fl.play(2000)
	qt.Assert(t, fl.workers["a"].Running(), qt.Equals, 2)
	for _, level := range []int64{80, 300, 20, 600, 80} {
		disturbance = level
		overMS, longestMS := int64(0), int64(0)
		for range 10_000 / stepMS {
			fl.play(stepMS)
			if fl.workers["a"].Gauge("serve.0.0.0") <= tailTargetMS {
				overMS = 0
				continue
			}
			overMS += stepMS
			longestMS = max(longestMS, overMS)
		}
		qt.Check(t, longestMS < 4000, qt.IsTrue, qt.Commentf("disturbance %d: over its target for %d ms", level, longestMS))
	}
}

func TestFillingTasksWorkAgainWhenTheyDisturbNobody(t *testing.T) {
	disturbance := int64(600)
	fl := sharedVM(t, func() int64 { return disturbance })
	fl.play(6000)
	disturbance = 0
	fl.play(10_000)
	qt.Assert(t, fl.workers["a"].Pace["fill.0.0.0"], qt.Equals, int64(100))
}
