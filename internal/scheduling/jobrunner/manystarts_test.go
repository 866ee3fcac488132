package jobrunner_test

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/observability/event"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

// Guards against small jobs that stand behind a backlog of other jobs' starts in the queue of one VM, where most starts grow too old to be sent and are planned again.
func TestSmallJobsStartBesideManyJobsOfTinyTasks(t *testing.T) {
	const (
		jobs, tasks = 16, 500
		answerMS    = 20
		smalls      = 5
		smallPrefix = "5a11"
		// maxMS is how long a small job of two steps of 0.8 s may take.
		maxMS = 4000
	)
	simulate(t, func(si *simulation) {
		unsent := &atomic.Int64{}
		si.lg = event.Discard()
		si.lg.OnEvent(func(name string, _ []any) {
			if name == "start-unsent" {
				unsent.Add(1)
			}
		})
		for _, wk := range si.workers {
			wk.Behave = func(task string, _ int64) (int64, workpb.End) {
				if strings.HasPrefix(task, smallPrefix) {
					return 800, workpb.End_END_DONE
				}
				return 30_000, workpb.End_END_DONE
			}
		}
		si.delayOrders(answerMS)
		si.start("one")
		si.wait(2000)
		for at := range jobs {
			si.submitRow(&workpb.Job{Id: fmt.Sprintf("1a46%012x", at), Steps: []*workpb.Step{{Count: tasks, CpuMilli: 1, MemoryMb: 1, EstimateMs: 30_000}}})
		}
		si.wait(200)
		for at := range smalls {
			id := fmt.Sprintf("%s%012x", smallPrefix, at)
			si.submit(id, 2)
			si.wait(maxMS)
			qt.Check(t, si.state(id), qt.Equals, workpb.State_COMPLETED, qt.Commentf("small job %d after %d ms", at, maxMS))
		}
		qt.Check(t, unsent.Load(), qt.Equals, int64(0))
	})
}

// Guards against a late small job that waits beside free VMs until large ones, which are ranked before it, have started thousands of tasks: their starts took every place in the VMs' start windows.
func TestLateSmallJobStartsBesideLargeOnesOnSlowVMs(t *testing.T) {
	const (
		jobs, tasks = 3, 3000
		answerMS    = 40
		// maxMS is how long a late small job of one step of 0.8 s may take.
		maxMS = 3000
		late  = "5a11000000000000"
	)
	simulate(t, func(si *simulation) {
		for _, wk := range si.workers {
			wk.Behave = func(task string, _ int64) (int64, workpb.End) {
				if strings.HasPrefix(task, late) {
					return 800, workpb.End_END_DONE
				}
				return 30_000, workpb.End_END_DONE
			}
		}
		si.delayOrders(answerMS)
		si.start("one")
		si.wait(2000)
		for at := range jobs {
			si.submitRow(&workpb.Job{Id: fmt.Sprintf("1a46%012x", at), Steps: []*workpb.Step{{Count: tasks, CpuMilli: 1, MemoryMb: 1, EstimateMs: 30_000}}})
		}
		si.wait(1000)
		si.submitRow(&workpb.Job{Id: late, FirstTriedMs: si.ck.Now() - 2000, Steps: []*workpb.Step{{Count: 4, CpuMilli: 100, MemoryMb: 10, EstimateMs: 800}}})
		si.wait(maxMS)
		qt.Check(t, si.countStarts() < jobs*tasks, qt.IsTrue, qt.Commentf("all tasks have started before the small job is judged"))
		qt.Check(t, si.state(late), qt.Equals, workpb.State_COMPLETED)
	})
}
