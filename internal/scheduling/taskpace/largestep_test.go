package taskpace_test

import (
	"fmt"
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/scheduling/taskpace"
)

const largeStepVMs = 9

// recordRuns records the progress of each of a step's runs once, some of them for the first time.
func recordRuns(pc *taskpace.Pace, runs int, nowMS int64) {
	for index := range runs {
		pc.RecordProgress(queue, "step", index, fmt.Sprintf("v%d", index%largeStepVMs), workMS, workMS+int64(index%7), nowMS-workMS, nowMS)
	}
}

// Guards against an owner that is lost to a step of thousands of runs: each poll compared each listed run with all others of its step, and the owner went without a commit for seconds.
func TestComparingARunOfALargeStepCostsAsMuchAsOfASmallOne(t *testing.T) {
	const small, large = 500, 20_000
	// The memory that a comparison takes shows how many others it visits, whatever the machine's speed.
	bytesPerRun := func(runs int) uint64 {
		pc := taskpace.New()
		recordRuns(pc, runs, 1_000_000)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		recordRuns(pc, runs, 1_001_000)
		runtime.ReadMemStats(&after)
		return (after.TotalAlloc - before.TotalAlloc) / uint64(runs)
	}
	ofSmall, ofLarge := bytesPerRun(small), bytesPerRun(large)
	qt.Check(t, ofLarge <= 2*ofSmall, qt.IsTrue, qt.Commentf("%d bytes per run of %d, %d per run of %d", ofLarge, large, ofSmall, small))
}

// Guards against a slow VM that isn't noticed under a large step, of whose tasks only some are compared.
func TestSlowVMIsToldUnderALargeStep(t *testing.T) {
	const runs = 5000
	pc := taskpace.New()
	nowMS := int64(1_000_000)
	for range 3 {
		for index := range runs {
			vm := fmt.Sprintf("v%d", index%largeStepVMs)
			tookMS := int64(workMS)
			if vm == "v4" {
				tookMS *= 4
			}
			pc.RecordProgress(queue, "step", index, vm, workMS, tookMS, nowMS-workMS, nowMS)
		}
		nowMS += workMS
	}
	qt.Check(t, pc.SlowVMs(), qt.DeepEquals, []string{"v4"})
	expectedMS, known := pc.ExpectedMS(queue, "step", 4, "v4", workMS)
	qt.Check(t, known, qt.IsTrue)
	qt.Check(t, expectedMS, qt.Equals, int64(workMS))
}

// BenchmarkLargeStep records the progress of the runs of one step, once each per operation.
func BenchmarkLargeStep(b *testing.B) {
	for _, runs := range []int{200, 2000, 20_000} {
		b.Run(fmt.Sprint(runs), func(b *testing.B) {
			pc := taskpace.New()
			nowMS := int64(1_000_000)
			for b.Loop() {
				nowMS += 1000
				recordRuns(pc, runs, nowMS)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(runs), "ns/run")
		})
	}
}
