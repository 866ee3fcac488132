package jobcontrol_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/poolsize"
	"github.com/fulmarloft/fulmarloft/internal/testbed/workertest"
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

// Guards against jobs that could be in time but get no machines because the tasks of late jobs hold them in another pool.
func TestMachinesOfLateJobsGoToJobsThatCanBeInTime(t *testing.T) {
	for _, tc := range []struct {
		name   string
		ageMS  int64
		expect bool
	}{
		{"in time themselves", 600, false},
		{"late", 3000, true},
		{"overdue", 9000, true},
	} {
		fl := newFleet(t, vmOf("a"), vmOf("b"), vmOf("c"), vmOf("d"))
		rules := testRules()
		rules.Queues = append(rules.Queues, &workpb.Queue{Name: "other", Service: "o", MaxAttempts: 3, Stretch: 1.6, TargetMs: 600})
		rules.Services = append(rules.Services, &workpb.Service{Name: "o"})
		fl.setRules(rules)
		fl.setBehavior(60_000, workpb.End_END_DONE)
		for at := range 10 {
			fl.submit(jobOf(fmt.Sprintf("j%d", at), stepOf(4)))
		}
		fl.run(tc.ageMS)
		fl.ct.Submit(&workpb.Job{Id: "k", Queue: "other", Team: "t", AcceptedMs: fl.ck.Now(), Steps: []*workpb.Step{stepOf(8)}})
		var demands []poolsize.Demand
		for _, name := range []string{"s", "o"} {
			dm := fl.ct.Demands()[name]
			demands = append(demands, poolsize.NewDemand(name, dm.CoresMilli(), dm.LateMilli(), dm.MinVMs(), false))
		}
		var hosts []poolsize.Host
		for id, wk := range fl.workers {
			qt.Assert(t, wk.Running(), qt.Equals, 8)
			hosts = append(hosts, poolsize.NewHost("m-"+id, "s", id, 8000, wk.Running(), false))
		}
		pl := poolsize.New().Plan(fl.ck.Now(), demands, hosts)
		qt.Check(t, len(pl.Cordoned()) > 0, qt.Equals, tc.expect, qt.Commentf("%s: VMs to be vacated: %v", tc.name, pl.Cordoned()))
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

// Guards against a long-running task that waits while the pools' machines go to larger shortages of work that ends; only a lack that the end of such work can't mend counts.
func TestLongRunningTasksRequestTheVMsTheyLack(t *testing.T) {
	lasting := func(count int32, memoryMB int64, maxPerVM int32) *workpb.Step {
		return &workpb.Step{Count: count, CpuMilli: 1000, MemoryMb: memoryMB, MaxPerVm: maxPerVM, Lasting: true}
	}
	labelled := lasting(2, 100, 0)
	labelled.Label = "nowhere"
	short := &workpb.Step{Count: 8, CpuMilli: 1000, MemoryMb: 100, EstimateMs: 60_000}
	for _, tc := range []struct {
		name   string
		first  *workpb.Step
		then   *workpb.Step
		capMB  int64
		expect int
	}{
		{"all fit", nil, lasting(2, 4000, 0), 0, 0},
		{"memory taken by other long-running tasks", lasting(2, 4000, 0), lasting(1, 100, 0), 0, 2},
		{"too little memory for all", nil, lasting(5, 4000, 0), 0, 3},
		{"at the limit per VM", nil, lasting(3, 100, 1), 0, 3},
		{"room once other work has ended", short, lasting(2, 100, 0), 0, 0},
		{"no VM with the label", nil, labelled, 0, 0},
		{"larger than a VM", nil, lasting(1, 9000, 0), 0, 0},
		{"no more than the team may use", nil, lasting(5, 4000, 0), 12_000, 2},
		{"a bounded number", nil, lasting(20, 100, 1), 0, 5},
	} {
		fl := newFleet(t, vmOf("a"))
		rules := testRules()
		rules.Teams[0].CapMemoryMb = tc.capMB
		fl.setRules(rules)
		fl.setBehavior(60_000, workpb.End_END_DONE)
		if tc.first != nil {
			fl.submit(jobOf("j1", tc.first))
			fl.run(500)
		}
		fl.submit(jobOf("j2", tc.then))
		fl.run(500)
		qt.Check(t, fl.ct.Demands()["s"].LastingVMs(), qt.Equals, tc.expect, qt.Commentf(tc.name))
	}
}

// Guards against requesting another VM for the same long-running tasks while the first is coming.
func TestComingVMIsNotRequestedAgain(t *testing.T) {
	fl := newFleet(t, vmOf("a"))
	fl.submit(jobOf("j1", &workpb.Step{Count: 2, CpuMilli: 1000, MemoryMb: 100, MaxPerVm: 1, Lasting: true}))
	fl.run(500)
	fl.unresponsive["b"] = true
	fl.ct.SetVM(vmOf("b"))
	fl.run(100)
	qt.Assert(t, fl.ct.Demands()["s"].LastingVMs(), qt.Equals, 2)
}

// Guards against long-running tasks that request no VM because their service has none left.
func TestLongRunningTasksOfAServiceWithoutVMsRequestOne(t *testing.T) {
	other := vmOf("a")
	other.Service = "other"
	fl := newFleet(t, other)
	rules := testRules()
	rules.Services = append(rules.Services, &workpb.Service{Name: "other"})
	fl.setRules(rules)
	fl.submit(jobOf("j1", &workpb.Step{Count: 2, CpuMilli: 1000, MemoryMb: 100, Lasting: true}))
	fl.run(500)
	qt.Assert(t, fl.ct.Demands()["s"].LastingVMs(), qt.Equals, 1)
}

// Guards against a long-running task that never starts beside a stream of small tasks: the VM reserved for it was full of other long-running tasks, and the one that could make room was refilled.
func TestVMThatCanMakeRoomIsReservedForLongRunningTask(t *testing.T) {
	fl := newFleet(t, vmOf("a"))
	fl.setBehavior(600_000, workpb.End_END_DONE)
	fl.submit(jobOf("j1", &workpb.Step{Count: 1, CpuMilli: 1000, MemoryMb: 7900, Lasting: true}))
	fl.run(500)
	wk := workertest.New(fl.ck, vmOf("b"))
	wk.Record = fl.record
	wk.Behave = func(task string, _ int64) (int64, workpb.End) {
		if strings.HasPrefix(task, "j2.") {
			return 600_000, workpb.End_END_DONE
		}
		return 700 + 100*int64(len(fl.starts)%5), workpb.End_END_DONE
	}
	fl.workers["b"] = wk
	fl.ct.SetVM(wk.VM())
	submitted := 0
	stream := func(forMS int64) {
		for range forMS / 100 {
			fl.submit(jobOf(fmt.Sprintf("short-%d", submitted), &workpb.Step{Count: 2, CpuMilli: 1000, MemoryMb: 200, EstimateMs: 900}))
			submitted++
			fl.run(100)
		}
	}
	stream(2000)
	fl.submit(jobOf("j2", &workpb.Step{Count: 1, CpuMilli: 3000, MemoryMb: 500, Lasting: true}))
	stream(3000)
	qt.Assert(t, fl.starts["j2.0.0.0"], qt.Equals, 1)
}
