package jobcontrol_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

// Guards against a small job that waits beside free VMs until large ones, which are ranked before it, have started thousands of tasks: few starts may be under way at once, and the large ones took all of them.
func TestSmallJobStartsBesideLargeOnesWhenStartsAreScarce(t *testing.T) {
	const (
		startLimit = 8
		largeMS    = 30_000
		// maxMS is how long a late small job of one step of 0.8 s may take.
		maxMS = 3000
	)
	for _, tc := range []struct {
		name  string
		large int
		tasks int32
	}{{"three large jobs", 3, 4000}, {"sixty jobs", 60, 200}} {
		t.Run(tc.name, func(t *testing.T) {
			fl := newFleet(t, largeVM("a"), largeVM("b"))
			fl.limitBatch = func() { fl.ct.LimitStarts(startLimit) }
			for _, wk := range fl.workers {
				wk.Behave = func(task string, _ int64) (int64, workpb.End) {
					if strings.HasPrefix(task, "small") {
						return 800, workpb.End_END_DONE
					}
					return largeMS, workpb.End_END_DONE
				}
			}
			fl.run(200)
			for at := range tc.large {
				step := smallTasks(tc.tasks)
				step.EstimateMs = largeMS
				fl.submit(jobOf(fmt.Sprintf("large-%d", at), step))
			}
			fl.run(1000)
			small := jobOf("small-0", stepOf(4))
			small.FirstTriedMs = fl.ck.Now() - 2000
			fl.submit(small)
			fl.run(maxMS)
			qt.Check(t, fl.state("small-0"), qt.Equals, workpb.State_COMPLETED)
			// The large jobs go on: all starts that may be under way are used.
			started := len(fl.starts)
			fl.run(1000)
			qt.Check(t, len(fl.starts)-started, qt.Equals, startLimit*1000/stepMS)
		})
	}
}
