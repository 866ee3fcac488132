package jobcontrol_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

// lastingOnEach returns a job of long-running tasks, one on each of a number of VMs.
func lastingOnEach(id string, vms int) *workpb.Job {
	return jobOf(id, &workpb.Step{Count: int32(vms), CpuMilli: 500, MemoryMb: 100, EstimateMs: 800, Lasting: true, MaxPerVm: 1})
}

// longestIdle steps the fleet for some time and returns the longest time that any of the tasks had nothing running.
func (fl *fleet) longestIdle(forMS int64, tasks []string) int64 {
	longest := int64(0)
	idle := map[string]int64{}
	for range forMS / stepMS {
		fl.run(stepMS)
		for _, task := range tasks {
			idle[task] += stepMS
			if _, ok := fl.runningOn[task]; ok {
				idle[task] = 0
			}
			longest = max(longest, idle[task])
		}
	}
	return longest
}

// Guards against jobs that fail wherever they are started and keep all others off every VM: their failures were counted against the VMs, without a bound over the service.
func TestJobsThatFailEverywhereKeepNoOtherOffTheVMs(t *testing.T) {
	const vms, maxIdleMS = 9, 1000
	for _, failAfterMS := range []int64{800, 5000} {
		var list []*workpb.VM
		var tasks []string
		for at := range vms {
			list = append(list, vmOf(fmt.Sprint("v", at)))
			tasks = append(tasks, fmt.Sprintf("sound.0.0.%d", at))
		}
		fl := newFleet(t, list...)
		for _, wk := range fl.workers {
			wk.Behave = func(task string, run int64) (int64, workpb.End) {
				switch {
				case strings.HasPrefix(task, "bad"):
					return failAfterMS, workpb.End_END_FAILED
				case strings.HasPrefix(task, "new"):
					return 500, workpb.End_END_DONE
				case run == 1:
					return 25_000 + 2000*int64(task[len(task)-1]-'0'), workpb.End_END_FAILED
				default:
					return 0, workpb.End_END_UNKNOWN
				}
			}
		}
		fl.submit(lastingOnEach("sound", vms))
		for at := range 3 {
			fl.submit(lastingOnEach(fmt.Sprint("bad", at), vms))
		}
		fl.run(2000)
		idleMS := fl.longestIdle(50_000, tasks)
		qt.Check(t, idleMS <= maxIdleMS, qt.IsTrue, qt.Commentf("bad tasks fail after %d ms: a sound task has nothing running for %d ms", failAfterMS, idleMS))
		fl.submit(jobOf("new", stepOf(4)))
		fl.run(3000)
		qt.Check(t, fl.state("new"), qt.Equals, workpb.State_COMPLETED)
	}
}

// Guards against the opposite: a VM that fails all that it starts must still be left alone soon, also while other jobs fail everywhere.
func TestVMThatFailsAllIsLeftAloneBesideJobsThatFailEverywhere(t *testing.T) {
	const maxFailures = 12
	fl := newFleet(t, vmOf("a"), vmOf("b"), vmOf("c"), vmOf("d"), vmOf("grey"))
	failures := 0
	for id, wk := range fl.workers {
		wk.Behave = func(task string, _ int64) (int64, workpb.End) {
			switch {
			case strings.HasPrefix(task, "bad"):
				return 800, workpb.End_END_FAILED
			case id == "grey":
				failures++
				return 50, workpb.End_END_FAILED
			default:
				return 500, workpb.End_END_DONE
			}
		}
	}
	for at := range 3 {
		fl.submit(lastingOnEach(fmt.Sprint("bad", at), 5))
	}
	fl.run(2000)
	for at := range 40 {
		fl.submit(jobOf(fmt.Sprint("j", at), stepOf(3)))
		fl.run(200)
	}
	fl.run(10_000)
	for at := range 40 {
		qt.Check(t, fl.state(fmt.Sprint("j", at)), qt.Equals, workpb.State_COMPLETED)
	}
	qt.Check(t, failures <= maxFailures, qt.IsTrue, qt.Commentf("%d runs failed on the VM", failures))
}
