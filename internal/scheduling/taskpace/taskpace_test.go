package taskpace_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/scheduling/taskpace"
)

const (
	queue  = "q"
	workMS = 1000
)

// pool plays tasks of steps with eight tasks, two on each of four VMs.
type pool struct {
	pc    *taskpace.Pace
	nowMS int64
	steps int
}

func newPool() *pool { return &pool{pc: taskpace.New(), nowMS: 1_000_000} }

// step lets the tasks of a step end; took returns how long one takes on its VM.
func (po *pool) step(took func(vm string, index int) int64) {
	po.steps++
	name := fmt.Sprintf("s%d", po.steps)
	for index := range 8 {
		vm := fmt.Sprintf("v%d", index%4)
		po.pc.RecordDone(queue, name, index, vm, workMS, po.nowMS, po.nowMS+took(vm, index))
	}
	po.nowMS += 2 * workMS
	po.pc.ForgetStep(name)
}

func slowVM(slow string, factor int64) func(string, int) int64 {
	return func(vm string, _ int) int64 {
		if vm == slow {
			return factor * workMS
		}
		return workMS
	}
}

func TestSlowVMIsToldFromALongTask(t *testing.T) {
	for _, tc := range []struct {
		name  string
		steps []func(string, int) int64
		slow  []string
	}{
		{"all alike", []func(string, int) int64{slowVM("", 1), slowVM("", 1)}, nil},
		{"a VM four times slower", []func(string, int) int64{slowVM("v2", 4), slowVM("v2", 4)}, []string{"v2"}},
		{"one task seven times longer", []func(string, int) int64{slowVM("", 1), func(_ string, index int) int64 {
			if index == 2 {
				return 7 * workMS
			}
			return workMS
		}, slowVM("", 1)}, nil},
		{"a VM that recovers", []func(string, int) int64{slowVM("v2", 4), slowVM("v2", 4), slowVM("", 1), slowVM("", 1)}, nil},
		{"ten times the estimate everywhere", []func(string, int) int64{
			func(string, int) int64 { return 10 * workMS }, func(string, int) int64 { return 10 * workMS },
		}, nil},
	} {
		po := newPool()
		for _, took := range tc.steps {
			po.step(took)
		}
		qt.Check(t, po.pc.SlowVMs(), qt.DeepEquals, tc.slow, qt.Commentf(tc.name))
	}
}

// A run on a slow VM must move, a long task on a sound VM must stay, and a run that saves its progress has less to lose.
func TestMovePays(t *testing.T) {
	po := newPool()
	for range 3 {
		po.step(slowVM("v2", 4))
	}
	for range 2 {
		po.pc.RetryBegun(queue, po.nowMS)
	}
	for _, tc := range []struct {
		name                          string
		vm                            string
		restMS, percent, savedPercent int64
		moves                         bool
	}{
		{"slow VM, begun", "v2", 3600, 10, 0, true},
		{"slow VM, half done, nothing saved", "v2", 2000, 50, 0, false},
		{"slow VM, half done, saved", "v2", 2000, 50, 50, true},
		{"slow VM, nearly done, saved", "v2", 200, 95, 95, false},
		{"unknown VM, due to have ended", "v9", -50, 99, 0, false},
		{"sound VM, long task", "v1", 6300, 10, 0, false},
		{"unknown VM, begun", "v9", 3600, 10, 0, true},
		{"unknown VM, half done, nothing saved", "v9", 2000, 50, 0, false},
		{"unknown VM, half done, saved", "v9", 2000, 50, 50, true},
	} {
		got := po.pc.MovePays(queue, tc.vm, workMS, tc.restMS, tc.percent, tc.savedPercent, po.nowMS)
		qt.Check(t, got, qt.Equals, tc.moves, qt.Commentf(tc.name))
	}
}

// A slow VM that gets no work must be tried again, less and less often while it stays slow, and one task at normal speed clears it.
func TestSlowVMIsTriedAgain(t *testing.T) {
	po := newPool()
	for range 3 {
		po.step(slowVM("v2", 4))
	}
	pc := po.pc
	qt.Assert(t, pc.VMSlow("v2"), qt.IsTrue)
	lastMS, intervals := po.nowMS, []int64{}
	for round := range 6 {
		for !pc.TrialDue("v2", po.nowMS) {
			po.nowMS += 100
		}
		intervals = append(intervals, po.nowMS-lastMS)
		pc.TrialBegun("v2", po.nowMS)
		qt.Assert(t, pc.TrialDue("v2", po.nowMS), qt.IsFalse)
		for index := 1; index < 4; index++ {
			pc.RecordDone(queue, fmt.Sprint("t", round), index, fmt.Sprint("v", index+2), workMS, po.nowMS, po.nowMS+workMS)
		}
		pc.RecordDone(queue, fmt.Sprint("t", round), 0, "v2", workMS, po.nowMS, po.nowMS+4*workMS)
		po.nowMS += 4 * workMS
		lastMS = po.nowMS
	}
	qt.Check(t, intervals[5] > 30_000, qt.IsTrue, qt.Commentf("%v", intervals))
	po.nowMS += 50_000
	pc.TrialBegun("v2", po.nowMS)
	for index := range 4 {
		pc.RecordDone(queue, "last", index, fmt.Sprint("v", index+2), workMS, po.nowMS, po.nowMS+workMS)
	}
	pc.RecordDone(queue, "last", 4, "v2", workMS, po.nowMS, po.nowMS+workMS)
	qt.Check(t, pc.VMSlow("v2"), qt.IsFalse)
}

// The factor must follow estimates that are ten times too low or too high, and say nothing while too few tasks have ended.
func TestFactorFollowsWrongEstimates(t *testing.T) {
	for _, estimateMS := range []int64{workMS / 10, workMS, 10 * workMS} {
		pc := taskpace.New()
		for index := range 20 {
			if index < 8 {
				qt.Check(t, pc.Factor(queue), qt.Equals, 1.0)
			}
			pc.RecordDone(queue, fmt.Sprint("s", index), 0, "v", estimateMS, 5000, 5000+workMS)
		}
		qt.Check(t, pc.Factor(queue), qt.Equals, float64(workMS)/float64(estimateMS))
		expectedMS, ok := pc.ExpectedMS(queue, "other", 0, "w", estimateMS)
		qt.Check(t, ok, qt.IsTrue)
		qt.Check(t, expectedMS, qt.Equals, int64(workMS))
	}
}

// Progress of one percent, or of some ten milliseconds, says little of a run's rate.
func TestProjectionNeedsEnoughProgress(t *testing.T) {
	pc := taskpace.New()
	for _, tc := range []struct {
		tookMS, percent, projectedMS int64
		known                        bool
	}{{100, 50, 0, false}, {1000, 4, 0, false}, {1000, 10, 10_000, true}} {
		projectedMS, known := pc.ProjectedMS(tc.tookMS, tc.percent)
		qt.Check(t, known, qt.Equals, tc.known)
		qt.Check(t, projectedMS, qt.Equals, tc.projectedMS)
	}
}

// BenchmarkRecordProgress measures what one listed run costs in a step of 30 tasks; an owner lists tens of thousands a second.
func BenchmarkRecordProgress(b *testing.B) {
	pc := taskpace.New()
	vms := []string{"v0", "v1", "v2", "v3", "v4", "v5", "v6", "v7", "v8", "v9"}
	for index := range 30 {
		pc.RecordProgress(queue, "s", index, vms[index%10], workMS, workMS, 0, int64(index))
	}
	nowMS := int64(1000)
	for b.Loop() {
		nowMS++
		pc.RecordProgress(queue, "s", int(nowMS%30), vms[nowMS%30%10], workMS, workMS, 0, nowMS)
	}
}

// BenchmarkExpectedOfQueue measures the comparison with a queue's recent tasks.
func BenchmarkExpectedOfQueue(b *testing.B) {
	pc := taskpace.New()
	for index := range 100 {
		pc.RecordDone(queue, fmt.Sprint("s", index), 0, "v", workMS, 0, workMS+int64(index))
	}
	for b.Loop() {
		pc.ExpectedMS(queue, "other", 0, "w", workMS)
	}
}
