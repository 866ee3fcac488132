package jobcontrol_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/workertest"
	"github.com/fulmarloft/fulmarloft/internal/workpb"
)

// A pool must not keep idle machines for work that nobody can see or stop: a queue at its peak lacked them.
func TestWorkOutOfReachAsksForNoRoom(t *testing.T) {
	long := &workpb.Step{Count: 8, CpuMilli: 2000, MemoryMb: 100, EstimateMs: 60_000}
	for _, tc := range []struct {
		name    string
		loss    func(fl *fleet)
		afterMS int64
		most    int64
		least   int64
	}{
		{"all in reach", func(*fleet) {}, 1500, 16_000, 14_000},
		{"a silent VM", func(fl *fleet) { fl.silent["a"] = true }, 1500, 8_000, 7_000},
		{"a new owner that hasn't heard one VM", func(fl *fleet) {
			fl.silent["a"] = true
			fl.newOwner()
		}, 100, 8_000, 7_000},
		{"once its leases have run out", func(fl *fleet) { fl.silent["a"] = true }, 12_000, 16_000, 13_000},
	} {
		fl := newFleet(t, vmOf("a"), vmOf("b"))
		fl.behave(60_000, workpb.End_END_DONE)
		fl.submit(jobOf("j1", long))
		fl.play(1000)
		qt.Assert(t, fl.workers["a"].Running(), qt.Equals, 4, qt.Commentf(tc.name))
		tc.loss(fl)
		fl.play(tc.afterMS)
		wa := fl.ct.Demands()["s"]
		sum := wa.CoresMilli() + wa.LateMilli()
		qt.Check(t, sum >= tc.least && sum <= tc.most, qt.IsTrue, qt.Commentf("%s: %d", tc.name, sum))
	}
}

// A lasting task that lacks memory, which the processor room doesn't show, must not wait while other machines are switched off.
func TestLastingTaskThatFitsNowhereAsksForOneMoreVM(t *testing.T) {
	for _, tc := range []struct {
		name     string
		memoryMB int64
		label    string
		least    int
	}{
		{"all fit", 2000, "", 1},
		{"too little memory", 3000, "", 2},
		{"no VM with the label", 100, "other", 2},
	} {
		fl := newFleet(t, vmOf("a"))
		fl.submit(jobOf("j1", &workpb.Step{Count: 4, CpuMilli: 1000, MemoryMb: tc.memoryMB, Label: tc.label, Lasting: true}))
		fl.play(500)
		qt.Check(t, fl.ct.Demands()["s"].MinVMs(), qt.Equals, tc.least, qt.Commentf(tc.name))
	}
}

func TestLastingTaskThatFitsNoVMDoesNotDrainTheOtherPools(t *testing.T) {
	fl := newFleet(t, vmOf("a"))
	fl.submit(jobOf("j1", &workpb.Step{Count: 1, CpuMilli: 1000, MemoryMb: 100, Label: "nowhere", Lasting: true}))
	for at := range 20 {
		fl.play(500)
		wk := workertest.New(fl.ck, vmOf(fmt.Sprintf("more-%d", at)))
		wk.Record = fl.record
		fl.workers[wk.VM().GetId()] = wk
		fl.ct.SetVM(wk.VM())
	}
	qt.Check(t, fl.ct.Demands()["s"].MinVMs(), qt.Equals, 5)
}
