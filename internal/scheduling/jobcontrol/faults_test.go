package jobcontrol_test

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

// After any one fault of the owner or a VM, the job must complete in time, and no task may run twice at once or again after it was done.
func TestJobCompletesDespiteOneFault(t *testing.T) {
	for _, tc := range []struct {
		name string
		// inject is called once while the job runs, and restore after two more seconds.
		inject  func(fl *fleet)
		restore func(fl *fleet)
		// withinMS is how long the job may take after the fault.
		withinMS int64
	}{
		{
			name:     "owner replaced while tasks run",
			inject:   func(fl *fleet) { fl.newOwner() },
			withinMS: 4000,
		},
		{
			name: "answers to all starts are lost",
			inject: func(fl *fleet) {
				fl.loseAnswer = func(od *workpb.Order) bool { return od.GetVerb() == workpb.Verb_START }
			},
			restore:  func(fl *fleet) { fl.loseAnswer = func(*workpb.Order) bool { return false } },
			withinMS: 8000,
		},
		{
			name:     "VM unresponsive, then back with its runs",
			inject:   func(fl *fleet) { fl.unresponsive["a"] = true },
			restore:  func(fl *fleet) { fl.unresponsive["a"] = false },
			withinMS: 6000,
		},
		{
			name:     "VM lost permanently",
			inject:   func(fl *fleet) { fl.unresponsive["a"] = true; fl.ct.DropVM("a") },
			withinMS: 12000,
		},
		{
			name:     "VM restarts under the same id",
			inject:   func(fl *fleet) { fl.workers["a"].Restart() },
			withinMS: 4000,
		},
		{
			name: "owner replaced while a VM is unresponsive",
			inject: func(fl *fleet) {
				fl.unresponsive["a"] = true
				fl.run(200)
				fl.newOwner()
			},
			withinMS: 16000,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			fl := newFleet(t, vmOf("a"), vmOf("b"))
			fl.submit(jobOf("j1", stepOf(12), stepOf(4, 0)))
			fl.run(400)
			tc.inject(fl)
			fl.run(2000)
			if tc.restore != nil {
				tc.restore(fl)
			}
			fl.run(tc.withinMS - 2000)
			qt.Assert(t, fl.state("j1"), qt.Equals, workpb.State_COMPLETED)
			qt.Assert(t, len(fl.doneTasks), qt.Equals, 16)
		})
	}
}

func TestFailingTaskFailsItsJobAfterMaxAttempts(t *testing.T) {
	fl := newFleet(t, vmOf("a"), vmOf("b"))
	fl.setBehavior(100, workpb.End_END_FAILED)
	fl.submit(jobOf("j1", stepOf(1)))
	fl.run(4000)
	qt.Assert(t, fl.state("j1"), qt.Equals, workpb.State_FAILED)
	qt.Assert(t, fl.starts["j1.0.0.0"], qt.Equals, 3)
}

func TestCancelStopsRunsAndStartsNothing(t *testing.T) {
	fl := newFleet(t, vmOf("a"))
	fl.submit(jobOf("j1", stepOf(8), stepOf(8, 0)))
	fl.run(300)
	fl.ct.Cancel("j1")
	fl.run(400)
	qt.Assert(t, fl.state("j1"), qt.Equals, workpb.State_CANCELLED)
	qt.Assert(t, fl.workers["a"].Running(), qt.Equals, 0)
	fl.newOwner()
	fl.run(2000)
	qt.Assert(t, len(fl.starts), qt.Equals, 8)
}

// A cap that is set while jobs are queued must bound the team's running tasks at any time and must not keep its jobs from completing.
func TestTeamStaysWithinItsCap(t *testing.T) {
	fl := newFleet(t, vmOf("a"), vmOf("b"))
	for at := range 10 {
		st := stepOf(2)
		st.CpuMilli, st.MemoryMb = 100, 1000
		fl.submit(jobOf(fmt.Sprintf("j%d", at), st))
	}
	rules := testRules()
	rules.Teams[0].CapMemoryMb = 5000
	fl.setRules(rules)
	for range 300 {
		fl.run(stepMS)
		qt.Assert(t, fl.workers["a"].Running()+fl.workers["b"].Running() <= 5, qt.IsTrue, qt.Commentf("%d and %d tasks run, at most 5 allowed", fl.workers["a"].Running(), fl.workers["b"].Running()))
	}
	qt.Assert(t, len(fl.doneTasks), qt.Equals, 20)
}

func TestPlacementRules(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(st *workpb.Step)
		check  func(fl *fleet) bool
	}{
		{
			name:   "label",
			change: func(st *workpb.Step) { st.Label = "b" },
			check:  func(fl *fleet) bool { return fl.workers["other"].Running() == 4 },
		},
		{
			name:   "data rack",
			change: func(st *workpb.Step) { st.DataRack = "r2" },
			check:  func(fl *fleet) bool { return fl.workers["other"].Running() == 4 },
		},
		{
			name:   "limit of tasks per VM",
			change: func(st *workpb.Step) { st.MaxPerVm = 1 },
			check: func(fl *fleet) bool {
				return fl.workers["a"].Running() == 1 && fl.workers["b"].Running() == 1 && fl.workers["other"].Running() == 1
			},
		},
		{
			name:   "gang without capacity for all members",
			change: func(st *workpb.Step) { st.Gang, st.CpuMilli = true, 6500 },
			check: func(fl *fleet) bool {
				return fl.workers["a"].Running()+fl.workers["b"].Running()+fl.workers["other"].Running() == 0
			},
		},
		{
			name:   "best-effort tasks take no CPU capacity",
			change: func(st *workpb.Step) { st.Fills, st.Lasting, st.CpuMilli, st.Count = true, true, 8000, 4 },
			check: func(fl *fleet) bool {
				return fl.workers["a"].Running()+fl.workers["b"].Running()+fl.workers["other"].Running() == 4
			},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			other := vmOf("other")
			other.Labels, other.Rack = []string{"b", "r2"}, "r2"
			fl := newFleet(t, vmOf("a"), vmOf("b"), other)
			st := stepOf(4)
			tc.change(st)
			fl.submit(jobOf("j1", st))
			fl.run(300)
			qt.Assert(t, tc.check(fl), qt.IsTrue)
		})
	}
}

func TestLastingTaskIsRestartedHoweverItEnds(t *testing.T) {
	fl := newFleet(t, vmOf("a"), vmOf("b"))
	for _, wk := range fl.workers {
		wk.Behave = func(_ string, run int64) (int64, workpb.End) {
			if run < 5 {
				return 100, workpb.End_END_FAILED
			}
			return 0, workpb.End_END_UNKNOWN
		}
	}
	st := stepOf(1)
	st.Lasting = true
	fl.submit(jobOf("j1", st))
	fl.run(6000)
	qt.Assert(t, fl.state("j1"), qt.Equals, workpb.State_RUNNING)
	qt.Assert(t, fl.starts["j1.0.0.0"], qt.Equals, 5)
}

// Evacuating both hosts of a step at the same time must never stop both of its tasks.
func TestEvacuationKeepsTheDisruptionBudget(t *testing.T) {
	fl, hosts := newLastingFleet(t)
	for _, id := range hosts {
		fl.ct.Cordon(id, true)
	}
	for range 100 {
		fl.run(stepMS)
		for _, id := range hosts {
			fl.ct.Evacuate(id, false)
		}
		qt.Assert(t, len(fl.runningOn) >= 1, qt.IsTrue, qt.Commentf("no task runs while %v are evacuated", hosts))
	}
}

// newLastingFleet starts a long-running step of two tasks on two of three VMs and returns the ids of these two.
func newLastingFleet(t *testing.T) (*fleet, []string) {
	fl := newFleet(t, vmOf("a"), vmOf("b"), vmOf("c"))
	fl.setBehavior(0, workpb.End_END_UNKNOWN)
	st := stepOf(2)
	st.Lasting, st.MaxPerVm, st.DisruptionBudget = true, 1, 1
	fl.submit(jobOf("j1", st))
	fl.run(1000)
	var hosts []string
	for _, id := range []string{"a", "b", "c"} {
		if fl.workers[id].Running() == 1 {
			hosts = append(hosts, id)
		}
	}
	qt.Assert(t, len(hosts), qt.Equals, 2)
	return fl, hosts
}

// A task on an unresponsive VM may be down, so that the evacuation of the other task must wait.
func TestEvacuationCountsTasksOnUnresponsiveVMsAsUnavailable(t *testing.T) {
	fl, hosts := newLastingFleet(t)
	fl.unresponsive[hosts[0]] = true
	fl.run(1500)
	fl.ct.Cordon(hosts[1], true)
	fl.ct.Evacuate(hosts[1], false)
	fl.run(500)
	qt.Assert(t, fl.workers[hosts[1]].Running(), qt.Equals, 1)
}

// A task that reports less than full progress isn't ready yet and counts as unavailable, so that no evacuation may begin.
func TestEvacuationKeepsTheBudgetForStartingTasks(t *testing.T) {
	fl, hosts := newLastingFleet(t)
	for _, id := range hosts {
		fl.workers[id].Percent = 50
	}
	fl.run(1000)
	for _, id := range hosts {
		fl.ct.Cordon(id, true)
		fl.ct.Evacuate(id, false)
	}
	fl.run(200)
	qt.Assert(t, len(fl.runningOn), qt.Equals, 2)
}

// A zone whose VMs are all unresponsive must be recognized as cut off, which stops starts there, also on a VM whose poll is under way, and as usable again when they answer.
func TestNothingIsStartedInAZoneThatIsCutOff(t *testing.T) {
	one, two, idle, other := vmOf("a"), vmOf("b"), vmOf("d"), vmOf("c")
	one.Zone, two.Zone, idle.Zone, other.Zone = "x", "x", "x", "y"
	idle.Labels = []string{"d"}
	fl := newFleet(t, one, two, other, idle)
	st := stepOf(16)
	st.Label = "a"
	fl.submit(jobOf("j1", st))
	fl.run(300)
	qt.Assert(t, fl.workers["a"].Running()+fl.workers["b"].Running() > 0, qt.IsTrue)
	fl.unresponsive["a"], fl.unresponsive["b"] = true, true
	var underWay []*workpb.LookRequest
	for !fl.ct.CutOff("x") {
		fl.ck.Advance(stepMS)
		for _, lr := range fl.ct.DuePolls() {
			if lr.GetVm() == "d" {
				underWay = append(underWay, lr)
				continue
			}
			fl.poll(lr)
		}
	}
	qt.Assert(t, fl.ct.CutOff("y"), qt.IsFalse)
	qt.Assert(t, fl.ct.Responsive("d"), qt.IsTrue)
	onIdle := stepOf(1)
	onIdle.Label = "d"
	fl.submit(jobOf("j2", onIdle))
	qt.Assert(t, fl.ct.Plan(true).Rows(), qt.HasLen, 0)
	fl.unresponsive["a"], fl.unresponsive["b"] = false, false
	for _, lr := range underWay {
		fl.poll(lr)
	}
	fl.run(1000)
	qt.Assert(t, fl.ct.CutOff("x"), qt.IsFalse)
	fl.run(3000)
	qt.Assert(t, fl.state("j1"), qt.Equals, workpb.State_COMPLETED)
	qt.Assert(t, fl.state("j2"), qt.Equals, workpb.State_COMPLETED)
}

func TestAdvisedQueueStartsOnlyWithTickets(t *testing.T) {
	fl := newFleet(t, vmOf("a"), vmOf("b"))
	rules := testRules()
	rules.Queues[0].Advised = true
	fl.setRules(rules)
	fl.submit(jobOf("j1", stepOf(4)))
	fl.run(400)
	qt.Assert(t, len(fl.starts), qt.Equals, 0)
	requests := fl.ct.AdviceRequests()
	qt.Assert(t, len(requests), qt.Equals, 1)
	qt.Assert(t, len(requests[0].GetVms()), qt.Equals, 2)
	fl.ct.HandleAdvice(requests[0], fl.ck.Now(), &workpb.Advice{Tickets: map[string]string{"b": "x"}, ValidMs: 3000})
	var tickets []string
	fl.loseAnswer = func(od *workpb.Order) bool {
		tickets = append(tickets, od.GetTicket())
		return false
	}
	fl.run(400)
	qt.Assert(t, fl.workers["a"].Running(), qt.Equals, 0)
	qt.Assert(t, fl.workers["b"].Running(), qt.Equals, 4)
	qt.Assert(t, tickets, qt.DeepEquals, []string{"x", "x", "x", "x"})
}

// A task that failed after its ticket expired must not be started again before new advice was requested.
func TestExpiredTicketStartsNothing(t *testing.T) {
	fl := newFleet(t, vmOf("a"))
	rules := testRules()
	rules.Queues[0].Advised = true
	fl.setRules(rules)
	fl.workers["a"].Behave = func(string, int64) (int64, workpb.End) { return 400, workpb.End_END_FAILED }
	fl.submit(jobOf("j1", stepOf(1)))
	fl.run(400)
	fl.ct.HandleAdvice(fl.ct.AdviceRequests()[0], fl.ck.Now(), &workpb.Advice{Tickets: map[string]string{"a": "x"}, ValidMs: 600})
	fl.run(2000)
	qt.Assert(t, fl.starts["j1.0.0.0"], qt.Equals, 1)
	qt.Assert(t, len(fl.ct.AdviceRequests()), qt.Equals, 1)
}

func TestDuplicatesStartElsewhereWhenAVMIsUnresponsive(t *testing.T) {
	fl := newFleet(t, vmOf("a"), vmOf("b"))
	st := stepOf(4)
	st.Duplicates = true
	fl.submit(jobOf("j1", st))
	fl.run(300)
	host, other := "a", "b"
	if fl.workers["a"].Running() == 0 {
		host, other = "b", "a"
	}
	fl.unresponsive[host] = true
	fl.allowDuplicates = true
	fl.run(700)
	qt.Assert(t, fl.workers[other].Running(), qt.Equals, 4)
	fl.run(1000)
	qt.Assert(t, fl.state("j1"), qt.Equals, workpb.State_COMPLETED)
}

func TestSlowRunIsRestartedElsewhere(t *testing.T) {
	fl := newFleet(t, vmOf("a"), vmOf("b"))
	for _, wk := range fl.workers {
		wk.Behave = func(_ string, run int64) (int64, workpb.End) {
			if run == 1 {
				return 20_000, workpb.End_END_DONE
			}
			return 800, workpb.End_END_DONE
		}
	}
	fl.submit(jobOf("j1", stepOf(2)))
	fl.run(3000)
	qt.Assert(t, fl.state("j1"), qt.Equals, workpb.State_COMPLETED)
	qt.Assert(t, fl.starts["j1.0.0.0"], qt.Equals, 2)
}

// A task that is slow everywhere must not be stopped and started again forever.
func TestSlowTaskIsMovedOnlyOnce(t *testing.T) {
	fl := newFleet(t, vmOf("a"), vmOf("b"))
	fl.setBehavior(9000, workpb.End_END_DONE)
	fl.submit(jobOf("j1", stepOf(1)))
	fl.run(14_000)
	qt.Assert(t, fl.state("j1"), qt.Equals, workpb.State_COMPLETED)
	qt.Assert(t, fl.starts["j1.0.0.0"], qt.Equals, 2)
}

// Guards against repeating a start that the new incarnation of a VM executed before the owner knew of the restart.
func TestStartExecutedAfterARestartIsNotRepeated(t *testing.T) {
	for _, after := range []int{1, 2, 4} {
		fl := newFleet(t, vmOf("a"), vmOf("b"))
		count := 0
		fl.beforeOrder = func(od *workpb.Order) {
			if od.GetVerb() != workpb.Verb_START {
				return
			}
			count++
			if count == after {
				fl.workers[od.GetVm()].Restart()
			}
		}
		fl.submit(jobOf("j1", stepOf(6), stepOf(2, 0)))
		fl.run(8000)
		qt.Assert(t, fl.state("j1"), qt.Equals, workpb.State_COMPLETED)
	}
}

// A run whose task may start elsewhere because its VM was unresponsive ends there all the same; its end must complete the task without another run.
func TestEndOfADetachedDuplicateCounts(t *testing.T) {
	fl := newFleet(t, vmOf("a"))
	st := stepOf(4)
	st.Duplicates = true
	fl.submit(jobOf("j1", st))
	fl.run(300)
	fl.allowDuplicates = true
	fl.unresponsive["a"] = true
	fl.run(1500)
	fl.unresponsive["a"] = false
	fl.run(4000)
	qt.Assert(t, fl.state("j1"), qt.Equals, workpb.State_COMPLETED)
	qt.Assert(t, fl.starts["j1.0.0.0"], qt.Equals, 1)
}

// Guards against a job that fails too early because each new owner counts the failures of the same runs again.
func TestFailuresAreCountedOnceAcrossChangesOfOwner(t *testing.T) {
	for _, duplicates := range []bool{false, true} {
		fl := newFleet(t, vmOf("a"), vmOf("b"))
		for _, wk := range fl.workers {
			wk.Behave = func(_ string, run int64) (int64, workpb.End) {
				if run < 3 {
					return 200, workpb.End_END_FAILED
				}
				return 200, workpb.End_END_DONE
			}
		}
		st := stepOf(1)
		st.Duplicates = duplicates
		fl.submit(jobOf("j1", st))
		for range 40 {
			fl.run(60)
			fl.newOwner()
		}
		fl.run(2000)
		qt.Check(t, fl.state("j1"), qt.Equals, workpb.State_COMPLETED, qt.Commentf("duplicates %v", duplicates))
	}
}

// Guards against exceeding the disruption budget: a new owner doesn't know the stops that its predecessor ordered, so it must wait until these show.
func TestNewOwnerEvacuatesOnlyAfterItsPredecessorsStops(t *testing.T) {
	fl, hosts := newLastingFleet(t)
	fl.ct.Cordon(hosts[0], true)
	fl.ct.Evacuate(hosts[0], false)
	fl.run(stepMS)
	fl.newOwner()
	stopped := false
	fl.beforeOrder = func(od *workpb.Order) {
		stopped = stopped || (od.GetVerb() == workpb.Verb_STOP && od.GetVm() == hosts[1])
	}
	fl.run(2 * stepMS)
	fl.ct.Cordon(hosts[1], true)
	for range 20 {
		fl.ct.Evacuate(hosts[1], false)
		fl.run(stepMS)
		qt.Assert(t, stopped, qt.IsFalse)
	}
	fl.run(3000)
	fl.ct.Evacuate(hosts[1], false)
	fl.run(500)
	qt.Assert(t, stopped, qt.IsTrue)
}

func TestVMOfAMovingMachineIsNotPolled(t *testing.T) {
	fl := newFleet(t, vmOf("a"), vmOf("b"))
	polls := func() int {
		count := 0
		for range 1000 {
			fl.ck.Advance(stepMS)
			for _, lr := range fl.ct.DuePolls() {
				if lr.GetVm() == "a" {
					count++
				}
				fl.poll(lr)
			}
		}
		return count
	}
	fl.run(500)
	fl.ct.ReleaseVM("a")
	qt.Check(t, polls(), qt.Equals, 0)
	fl.ct.KeepVM("a")
	qt.Check(t, polls() > 1, qt.IsTrue)
}

// A new owner of a large fleet must renew the leases of running work at once, however many VMs without work it has yet to poll.
func TestPollsOfVMsWithRunsDoNotWaitForIdleOnes(t *testing.T) {
	vms := []*workpb.VM{vmOf("busy")}
	fl := newFleet(t, vms...)
	fl.submit(&workpb.Job{Id: "00000000000000aa", Steps: []*workpb.Step{{Count: 1, CpuMilli: 1000, MemoryMb: 100, EstimateMs: 60_000}}})
	fl.setBehavior(60_000, workpb.End_END_DONE)
	fl.run(500)
	fl.newOwner()
	for at := range 1000 {
		fl.ct.SetVM(vmOf(fmt.Sprintf("idle-%03d", at)))
	}
	due := fl.ct.DuePolls()
	qt.Check(t, len(due) < 100, qt.IsTrue, qt.Commentf("%d polls at once", len(due)))
	qt.Check(t, slices.ContainsFunc(due, func(lr *workpb.LookRequest) bool { return lr.GetVm() == "busy" }), qt.IsTrue)
}

// On a slow link a new owner must not poll all VMs with runs at once, but poll each of them in turn and then renew its leases without a limit.
func TestFirstPollsOfVMsWithRunsAreLimited(t *testing.T) {
	const count, limit = 20, 5
	var vms []*workpb.VM
	for at := range count {
		vms = append(vms, vmOf(fmt.Sprintf("busy-%02d", at)))
	}
	fl := newFleet(t, vms...)
	fl.submit(&workpb.Job{Id: "00000000000000aa", Steps: []*workpb.Step{{Count: count, CpuMilli: 5000, MemoryMb: 100, EstimateMs: 60_000}}})
	fl.setBehavior(60_000, workpb.End_END_DONE)
	fl.run(500)
	fl.newOwner()
	fl.ct.LimitFirstPolls(limit)
	for polled := 0; polled < count; {
		due := fl.ct.DuePolls()
		qt.Assert(t, len(due), qt.Equals, limit)
		qt.Assert(t, fl.ct.DuePolls(), qt.HasLen, 0)
		for _, lr := range due {
			look, vd := fl.workers[lr.GetVm()].Poll(lr)
			fl.ct.HandlePoll(lr.GetVm(), fl.ck.Now(), look, vd)
		}
		polled += len(due)
	}
	fl.ck.Advance(300)
	qt.Check(t, fl.ct.DuePolls(), qt.HasLen, count)
}

// A start may wait long for its answer, so the age of its run counts from when a poll first lists it. Otherwise a run that has just begun would be taken for a slow one and restarted elsewhere.
func TestRunConfirmedByAPollIsNotTakenForSlow(t *testing.T) {
	fl := newFleet(t, vmOf("a"), vmOf("b"))
	fl.setBehavior(2500, workpb.End_END_DONE)
	fl.holdStarts = true
	fl.submit(&workpb.Job{Id: "00000000000000aa", Steps: []*workpb.Step{{Count: 1, CpuMilli: 1000, MemoryMb: 100, EstimateMs: 300}}})
	fl.run(1500)
	qt.Assert(t, len(fl.held), qt.Equals, 1)
	fl.holdStarts = false
	fl.workers[fl.held[0].GetVm()].Order(fl.held[0])
	fl.run(900)
	for task, count := range fl.starts {
		qt.Check(t, count, qt.Equals, 1, qt.Commentf(task))
	}
}

// Idle VMs that don't answer must not keep a new VM from its first poll, before which nothing is placed on it.
func TestUnresponsiveIdleVMsDoNotDelayTheFirstPollOfAnother(t *testing.T) {
	fl := newFleet(t)
	for at := range 300 {
		fl.ct.SetVM(vmOf(fmt.Sprintf("silent-%03d", at)))
	}
	for range 200 {
		fl.ck.Advance(stepMS)
		for _, lr := range fl.ct.DuePolls() {
			fl.ct.HandlePoll(lr.GetVm(), fl.ck.Now(), nil, workpb.Verdict_IN_DOUBT)
		}
	}
	fl.ck.Advance(1000)
	for range 50 {
		fl.ct.DuePolls()
	}
	fl.ct.SetVM(vmOf("new"))
	due := fl.ct.DuePolls()
	qt.Assert(t, slices.ContainsFunc(due, func(lr *workpb.LookRequest) bool { return lr.GetVm() == "new" }), qt.IsTrue)
}

// Guards against a second run of a task whose VM lists it as done before that run starts: the lease of a run on a VM out of reach had expired, the task waited, and the end, acknowledged all the same, was ignored.
func TestRunDoneOnVMOutOfReachCountsWhileItsTaskWaits(t *testing.T) {
	for _, tc := range []struct {
		name     string
		newOwner bool
	}{{"same owner", false}, {"a new owner", true}} {
		fl := newFleet(t, vmOf("a"))
		fl.setBehavior(700, workpb.End_END_DONE)
		fl.submit(jobOf("j1", stepOf(1)))
		fl.run(300)
		fl.unresponsive["a"] = true
		fl.run(15_000)
		if tc.newOwner {
			fl.newOwner()
		}
		fl.unresponsive["a"] = false
		fl.run(3000)
		qt.Check(t, fl.starts["j1.0.0.0"], qt.Equals, 1, qt.Commentf(tc.name))
		qt.Check(t, fl.state("j1"), qt.Equals, workpb.State_COMPLETED, qt.Commentf(tc.name))
	}
}

func TestOwnerSurvivesALastingTaskThatNoVMHasATicketFor(t *testing.T) {
	fl := newFleet(t, vmOf("a"))
	rules := testRules()
	rules.Queues[0].Advised = true
	fl.setRules(rules)
	st := stepOf(1)
	st.Lasting = true
	fl.submit(jobOf("j1", st))
	fl.run(400)
	qt.Assert(t, len(fl.ct.AdviceRequests()), qt.Equals, 1)
	qt.Assert(t, len(fl.starts), qt.Equals, 0)
}

// A VM that answers again still holds the run that was replaced elsewhere, and starts nothing of the step beside it.
func TestDetachedDuplicateCountsAgainstTheLimitPerVM(t *testing.T) {
	fl := newFleet(t, vmOf("a"), vmOf("b"))
	fl.allowDuplicates = true
	fl.setBehavior(4000, workpb.End_END_DONE)
	st := stepOf(2)
	st.Duplicates, st.MaxPerVm, st.EstimateMs = true, 1, 4000
	fl.submit(jobOf("j1", st))
	fl.run(500)
	fl.unresponsive["a"] = true
	fl.run(1000)
	fl.unresponsive["a"] = false
	for range 400 {
		fl.run(stepMS)
		qt.Assert(t, fl.workers["a"].Running() <= 1, qt.IsTrue, qt.Commentf("%d tasks of the step run on one VM", fl.workers["a"].Running()))
	}
	qt.Assert(t, fl.state("j1"), qt.Equals, workpb.State_COMPLETED)
}

func TestNothingIsStartedInAnEvacuatedZone(t *testing.T) {
	one, other := vmOf("a"), vmOf("b")
	one.Zone, other.Zone = "x", "y"
	fl := newFleet(t, one, other)
	fl.ct.SetEvacuatedZones(map[string]bool{"x": true})
	fl.beforeOrder = func(od *workpb.Order) {
		qt.Check(t, od.GetVerb() == workpb.Verb_START && od.GetVm() == "a", qt.IsFalse, qt.Commentf("%s starts in the evacuated zone", od.GetTask()))
	}
	fl.submit(jobOf("j1", stepOf(16)))
	fl.run(4000)
	qt.Assert(t, fl.state("j1"), qt.Equals, workpb.State_COMPLETED)
	fl.beforeOrder = func(*workpb.Order) {}
	fl.ct.SetEvacuatedZones(nil)
	fl.submit(jobOf("j2", stepOf(16)))
	fl.run(100)
	qt.Assert(t, fl.workers["a"].Running() > 0, qt.IsTrue)
}

func TestStartPlannedBeforeAnEvacuationIsNotSent(t *testing.T) {
	one := vmOf("a")
	one.Zone = "x"
	fl := newFleet(t, one)
	fl.run(1000)
	fl.submit(jobOf("j1", stepOf(1)))
	bt := fl.ct.Plan(true)
	fl.ct.SetEvacuatedZones(map[string]bool{"x": true})
	qt.Assert(t, fl.ct.ConfirmStored(bt), qt.HasLen, 0)
}

func TestFailureOfARunThatWasGivenUpCountsAsAnAttempt(t *testing.T) {
	fl := newFleet(t, vmOf("a"))
	fl.setBehavior(100, workpb.End_END_FAILED)
	fl.run(settledMS)
	fl.submit(jobOf("j1", stepOf(1)))
	fl.run(2 * stepMS)
	fl.unresponsive["a"] = true
	fl.run(runLeaseMS + 1500)
	fl.unresponsive["a"] = false
	fl.run(8000)
	qt.Assert(t, fl.state("j1"), qt.Equals, workpb.State_FAILED)
	qt.Assert(t, fl.starts["j1.0.0.0"], qt.Equals, 3)
}
