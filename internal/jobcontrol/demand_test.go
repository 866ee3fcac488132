package jobcontrol_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/workertest"
	"github.com/fulmarloft/fulmarloft/internal/workpb"
)

// Guards against counting runs on unreachable VMs as demand. They can be neither observed nor stopped, and their pool kept idle machines for them that another queue lacked at its peak.
func TestUnreachableWorkAddsNoDemand(t *testing.T) {
	long := &workpb.Step{Count: 8, CpuMilli: 2000, MemoryMb: 100, EstimateMs: 60_000}
	for _, tc := range []struct {
		name    string
		fault   func(fl *fleet)
		afterMS int64
		max     int64
		min     int64
	}{
		{"all reachable", func(*fleet) {}, 1500, 16_000, 14_000},
		{"an unresponsive VM", func(fl *fleet) { fl.unresponsive["a"] = true }, 1500, 8_000, 7_000},
		{"a new owner that has had no answer from one VM", func(fl *fleet) {
			fl.unresponsive["a"] = true
			fl.newOwner()
		}, 100, 8_000, 7_000},
		{"after its leases have expired", func(fl *fleet) { fl.unresponsive["a"] = true }, 12_000, 16_000, 13_000},
	} {
		fl := newFleet(t, vmOf("a"), vmOf("b"))
		fl.setBehavior(60_000, workpb.End_END_DONE)
		fl.submit(jobOf("j1", long))
		fl.run(1000)
		qt.Assert(t, fl.workers["a"].Running(), qt.Equals, 4, qt.Commentf(tc.name))
		tc.fault(fl)
		fl.run(tc.afterMS)
		dm := fl.ct.Demands()["s"]
		sum := dm.CoresMilli() + dm.LateMilli()
		qt.Check(t, sum >= tc.min && sum <= tc.max, qt.IsTrue, qt.Commentf("%s: demand of %d, expected %d to %d", tc.name, sum, tc.min, tc.max))
	}
}

// Guards against a long-running task that waits while spare machines are powered off: a lack of memory or of a label doesn't show in the CPU capacity demanded.
func TestUnplaceableLastingTaskRequestsOneMoreVM(t *testing.T) {
	for _, tc := range []struct {
		name     string
		memoryMB int64
		label    string
		minVMs   int
	}{
		{"all fit", 2000, "", 1},
		{"too little memory", 3000, "", 2},
		{"no VM with the label", 100, "other", 2},
	} {
		fl := newFleet(t, vmOf("a"))
		fl.submit(jobOf("j1", &workpb.Step{Count: 4, CpuMilli: 1000, MemoryMb: tc.memoryMB, Label: tc.label, Lasting: true}))
		fl.run(500)
		qt.Check(t, fl.ct.Demands()["s"].MinVMs(), qt.Equals, tc.minVMs, qt.Commentf(tc.name))
	}
}

// Guards against drawing ever more machines from other pools for a long-running task that no VM can run.
func TestUnplaceableLastingTaskRequestsABoundedNumberOfVMs(t *testing.T) {
	fl := newFleet(t, vmOf("a"))
	fl.submit(jobOf("j1", &workpb.Step{Count: 1, CpuMilli: 1000, MemoryMb: 100, Label: "nowhere", Lasting: true}))
	for at := range 20 {
		fl.run(500)
		wk := workertest.New(fl.ck, vmOf(fmt.Sprintf("more-%d", at)))
		wk.Record = fl.record
		fl.workers[wk.VM().GetId()] = wk
		fl.ct.SetVM(wk.VM())
	}
	qt.Check(t, fl.ct.Demands()["s"].MinVMs(), qt.Equals, 5)
}
