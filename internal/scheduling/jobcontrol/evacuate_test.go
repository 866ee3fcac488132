package jobcontrol_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/testbed/workertest"
)

// drain announces the end of a VM.
func (fl *fleet) drain(id string) {
	fl.workers[id].VM().Draining = true
	fl.ct.SetVM(fl.workers[id].VM())
}

func TestLastingTaskLeavesADrainingVMBeforeItEnds(t *testing.T) {
	fl, host := newLastingTask(t, hostedVM("a"), hostedVM("b"))
	fl.drain(host)
	fl.run(1000)
	qt.Assert(t, fl.workers[host].Running(), qt.Equals, 0)
	qt.Assert(t, fl.starts["j1.0.0.0"], qt.Equals, 2)
}

func TestLastingTaskStaysOnADrainingVMWithoutRoomElsewhere(t *testing.T) {
	other := hostedVM("b")
	other.MemoryMb = 1
	fl, host := newLastingTask(t, hostedVM("a"), other)
	fl.drain(host)
	fl.run(3000)
	qt.Assert(t, fl.starts["j1.0.0.0"], qt.Equals, 1)
	qt.Assert(t, fl.runningOn["j1.0.0.0"], qt.Equals, host)
}

func TestTasksOfAStepLeaveDrainingVMsOneAfterAnother(t *testing.T) {
	fl, hosts := newLastingFleet(t)
	fl.run(settledMS)
	for _, id := range hosts {
		fl.drain(id)
	}
	for range 100 {
		fl.run(stepMS)
		qt.Assert(t, len(fl.runningOn) >= 1, qt.IsTrue, qt.Commentf("no task runs while %v drain", hosts))
	}
}

// moveForMaintenance starts a long-running task, drains its VM while some machines are due for maintenance, and returns its VM before and after.
func moveForMaintenance(t *testing.T, due map[string]bool, vms ...*workpb.VM) (from, to string) {
	fl := newFleet(t, vms...)
	fl.setBehavior(0, workpb.End_END_UNKNOWN)
	st := lastingStep(1)
	st.DisruptionBudget = 1
	fl.submit(jobOf("j1", st))
	fl.run(settledMS)
	from = fl.runningOn["j1.0.0.0"]
	fl.ct.SetMaintenanceDue(due)
	fl.ct.Cordon(from, true)
	fl.ct.Evacuate(from, false)
	fl.run(1000)
	return from, fl.runningOn["j1.0.0.0"]
}

func TestLastingTaskMovesToAVMWhoseMachineIsNotDueForMaintenance(t *testing.T) {
	for _, tc := range []struct {
		due  []string
		want string
	}{
		{due: nil, want: "b"},
		{due: []string{"m-b"}, want: "c"},
		{due: []string{"m-c"}, want: "b"},
		{due: []string{"m-a", "m-b", "m-c"}, want: "b"},
	} {
		due := map[string]bool{}
		for _, id := range tc.due {
			due[id] = true
		}
		from, to := moveForMaintenance(t, due, hostedVM("a"), hostedVM("b"), hostedVM("c"))
		qt.Check(t, from, qt.Equals, "a")
		qt.Check(t, to, qt.Equals, tc.want, qt.Commentf("due: %v", tc.due))
	}
}

// addWorker adds a VM whose runs don't end by themselves.
func (fl *fleet) addWorker(vm *workpb.VM) {
	wk := workertest.New(fl.ck, vm)
	wk.Record = fl.record
	wk.Behave = func(string, int64) (int64, workpb.End) { return 0, workpb.End_END_UNKNOWN }
	fl.workers[vm.GetId()] = wk
	fl.ct.SetVM(vm)
}

func TestOnlyAsManyTasksLeaveDrainingVMsAsOthersHaveRoomFor(t *testing.T) {
	one, two, other := hostedVM("a"), hostedVM("b"), hostedVM("c")
	other.CpuMilli = 1000
	fl := newFleet(t, one, two)
	fl.setBehavior(0, workpb.End_END_UNKNOWN)
	for at := range 6 {
		fl.submit(jobOf(fmt.Sprintf("j%d", at), lastingStep(1)))
	}
	fl.run(settledMS)
	fl.addWorker(other)
	fl.run(7000)
	fl.drain("a")
	fl.drain("b")
	for range 100 {
		fl.run(stepMS)
		qt.Assert(t, len(fl.runningOn) >= 5, qt.IsTrue, qt.Commentf("%d of 6 tasks run", len(fl.runningOn)))
	}
}

func TestBatchTasksDoNotTakeTheRoomOfATaskThatLeavesADrainingVM(t *testing.T) {
	one, other := hostedVM("a"), hostedVM("b")
	fl := newFleet(t, one)
	fl.setBehavior(0, workpb.End_END_UNKNOWN)
	fl.submit(jobOf("j1", lastingStep(1)))
	fl.run(settledMS)
	other.CpuMilli = 1000
	fl.addWorker(other)
	fl.run(7000)
	fl.drain("a")
	fl.workers["b"].Behave = func(task string, _ int64) (int64, workpb.End) {
		if task == "j1.0.0.0" {
			return 0, workpb.End_END_UNKNOWN
		}
		return 800, workpb.End_END_DONE
	}
	fl.submit(jobOf("j2", stepOf(20)))
	fl.run(700)
	qt.Assert(t, fl.runningOn["j1.0.0.0"], qt.Equals, "b")
}

func TestTaskStaysOnADrainingVMWithoutATicketElsewhere(t *testing.T) {
	fl := newFleet(t, hostedVM("a"), hostedVM("b"))
	rules := testRules()
	rules.Queues[0].Advised = true
	fl.setRules(rules)
	fl.setBehavior(0, workpb.End_END_UNKNOWN)
	fl.submit(jobOf("j1", lastingStep(1)))
	fl.run(400)
	fl.ct.HandleAdvice(fl.ct.AdviceRequests()[0], fl.ck.Now(), &workpb.Advice{Tickets: map[string]string{"b": "x"}, ValidMs: 60_000})
	fl.run(settledMS)
	qt.Assert(t, fl.runningOn["j1.0.0.0"], qt.Equals, "b")
	fl.drain("b")
	fl.run(2000)
	qt.Assert(t, fl.runningOn["j1.0.0.0"], qt.Equals, "b")
}

func TestTaskStaysOnADrainingVMWhileItsTeamIsOverItsCap(t *testing.T) {
	fl := newFleet(t, hostedVM("a"), hostedVM("b"))
	fl.setBehavior(0, workpb.End_END_UNKNOWN)
	fl.submit(jobOf("j1", lastingStep(2)))
	fl.run(settledMS)
	rules := testRules()
	rules.Teams[0].CapCpuMilli = 1000
	fl.setRules(rules)
	host := fl.runningOn["j1.0.0.0"]
	fl.drain(host)
	for range 100 {
		fl.run(stepMS)
		qt.Assert(t, len(fl.runningOn) >= 1, qt.IsTrue)
	}
	qt.Assert(t, len(fl.runningOn), qt.Equals, 2)
}

func TestGangDoesNotLeaveADrainingVMWithoutRoomForItsMembers(t *testing.T) {
	fl := newFleet(t, hostedVM("a"), hostedVM("b"))
	fl.setBehavior(0, workpb.End_END_UNKNOWN)
	st := lastingStep(2)
	st.Gang, st.MaxPerVm = true, 1
	fl.submit(jobOf("j1", st))
	fl.run(settledMS)
	qt.Assert(t, len(fl.runningOn), qt.Equals, 2)
	fl.drain("a")
	fl.run(2000)
	qt.Assert(t, len(fl.runningOn), qt.Equals, 2)
}

// Moving one member stops the others, also those on VMs that stay.
func TestGangDoesNotLeaveADrainingVM(t *testing.T) {
	fl := newFleet(t, hostedVM("a"), hostedVM("b"), hostedVM("c"))
	fl.setBehavior(0, workpb.End_END_UNKNOWN)
	st := lastingStep(2)
	st.Gang, st.MaxPerVm = true, 1
	fl.submit(jobOf("j1", st))
	fl.run(settledMS)
	fl.drain(fl.runningOn["j1.0.0.0"])
	fl.run(2000)
	qt.Assert(t, fl.starts, qt.DeepEquals, map[string]int{"j1.0.0.0": 1, "j1.0.0.1": 1})
}
