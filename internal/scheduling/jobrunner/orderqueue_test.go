package jobrunner_test

import (
	"context"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

const (
	// slowAnswerMS is far above the time that an order takes, so that orders queue up.
	slowAnswerMS = 1500
	// inFlightMS allows for a start that was sent when its stop was decided.
	inFlightMS = 50
)

// setUnresponsive makes a VM answer its polls or not, and returns its number of runs.
func (si *simulation) setUnresponsive(id string, unresponsive bool) int {
	si.mu.Lock()
	defer si.mu.Unlock()
	si.unresponsive[id] = unresponsive
	return si.workers[id].Running()
}

func (si *simulation) setAllUnresponsive(unresponsive bool) {
	for id := range si.workers {
		si.setUnresponsive(id, unresponsive)
	}
}

// slowDownOrders delays the answers to orders of all VMs but one.
func (si *simulation) slowDownOrders(except string) {
	si.mu.Lock()
	defer si.mu.Unlock()
	for id := range si.workers {
		if id != except {
			si.answerDelayMS[id] = slowAnswerMS
		}
	}
}

func (si *simulation) lastStart() int64 {
	si.mu.Lock()
	defer si.mu.Unlock()
	return si.lastStartMS
}

// busiestVM returns the VM with the most runs.
func (si *simulation) busiestVM() string {
	si.mu.Lock()
	defer si.mu.Unlock()
	best := ""
	for id, wk := range si.workers {
		if best == "" || wk.Running() > si.workers[best].Running() {
			best = id
		}
	}
	return best
}

// A start that waits behind late answers of its VM must not be sent once its job is cancelled.
func TestCancelledJobStartsNothingThatWasQueued(t *testing.T) {
	simulate(t, func(si *simulation) {
		si.start("one")
		si.wait(3000)
		si.slowDownOrders("")
		si.submit("00000000000000aa", 16)
		si.wait(200)
		qt.Assert(t, si.in.Cancel(context.Background(), "00000000000000aa"), qt.IsNil)
		cancelledMS := si.ck.Now()
		si.wait(12_000)
		qt.Check(t, si.lastStart() <= cancelledMS+inFlightMS, qt.IsTrue, qt.Commentf("a task starts %d ms after the cancellation", si.lastStart()-cancelledMS))
		qt.Check(t, si.state("00000000000000aa"), qt.Equals, workpb.State_CANCELLED)
	})
}

// A duplicate run that waits behind late answers of its VM must not start once the first run has ended as done.
func TestQueuedDuplicateIsNotStartedAfterTheFirstIsDone(t *testing.T) {
	simulate(t, func(si *simulation) {
		si.allowDuplicates = true
		si.start("one")
		si.wait(3000)
		jb := &workpb.Job{Id: "00000000000000aa", Queue: "q", AcceptedMs: si.ck.Now(), Steps: []*workpb.Step{
			{Count: 4, CpuMilli: 2000, MemoryMb: 100, EstimateMs: 800, Duplicates: true},
		}}
		qt.Assert(t, si.in.Submit(context.Background(), jb), qt.IsNil)
		si.wait(200)
		first := si.busiestVM()
		si.slowDownOrders(first)
		qt.Assert(t, si.setUnresponsive(first, true), qt.Equals, 4)
		si.wait(400)
		si.setUnresponsive(first, false)
		si.wait(12_000)
		qt.Check(t, si.state("00000000000000aa"), qt.Equals, workpb.State_COMPLETED)
	})
}

// A start without an answer may be executed seconds later. It must be repeated under its run number, which VMs execute once, instead of the task waiting for the doubt to be resolved.
func TestUnansweredStartIsRepeated(t *testing.T) {
	simulate(t, func(si *simulation) {
		si.start("one")
		si.wait(3000)
		si.loseFirstStart()
		jb := &workpb.Job{Id: "00000000000000aa", Queue: "q", AcceptedMs: si.ck.Now(), Steps: []*workpb.Step{
			{Count: 1, CpuMilli: 2000, MemoryMb: 100, EstimateMs: 800},
		}}
		qt.Assert(t, si.in.Submit(context.Background(), jb), qt.IsNil)
		si.wait(unansweredMS + 800 + 200)
		qt.Check(t, si.state("00000000000000aa"), qt.Equals, workpb.State_COMPLETED)
		si.wait(executedLateMS)
	})
}

// Callers wait for the task, so an unanswered start is repeated long before its time is over.
func TestUnansweredStartIsRepeatedBeforeItsTimeIsOver(t *testing.T) {
	simulate(t, func(si *simulation) {
		si.start("one")
		si.wait(3000)
		si.loseFirstStart()
		jb := &workpb.Job{Id: "00000000000000aa", Queue: "q", AcceptedMs: si.ck.Now(), Steps: []*workpb.Step{
			{Count: 1, CpuMilli: 2000, MemoryMb: 100, EstimateMs: 800},
		}}
		qt.Assert(t, si.in.Submit(context.Background(), jb), qt.IsNil)
		si.wait(unansweredMS / 2)
		qt.Check(t, si.startsOf("00000000000000aa.0.0.0"), qt.Equals, 1)
		si.wait(executedLateMS)
		qt.Check(t, si.state("00000000000000aa"), qt.Equals, workpb.State_COMPLETED)
	})
}

// Where all answers are slow, copies of starts would slow them further.
func TestStartsAreNotRepeatedWhereAllAnswersAreSlow(t *testing.T) {
	simulate(t, func(si *simulation) {
		si.start("one")
		si.wait(3000)
		si.mu.Lock()
		for id := range si.workers {
			si.answerDelayMS[id] = 200
		}
		si.mu.Unlock()
		si.submit("00000000000000aa", 16)
		si.wait(8000)
		copies := si.countCopies()
		si.submit("00000000000000bb", 16)
		si.wait(8000)
		si.mu.Lock()
		defer si.mu.Unlock()
		qt.Check(t, len(copies) >= 16, qt.IsTrue)
		for name, count := range copies {
			qt.Check(t, count, qt.Equals, 1, qt.Commentf(name))
		}
	})
}

func TestStartIsNotRepeatedAfterItsStopWasSent(t *testing.T) {
	simulate(t, func(si *simulation) {
		si.start("one")
		si.wait(3000)
		starts, stops := 0, 0
		si.intercept = func(od *workpb.Order) bool {
			if od.GetVerb() == workpb.Verb_STOP {
				stops++
				return false
			}
			starts++
			if starts == 1 {
				go func() { qt.Check(t, si.in.Cancel(context.Background(), "00000000000000aa"), qt.IsNil) }()
			}
			return true
		}
		si.submit("00000000000000aa", 1)
		si.wait(3000)
		si.mu.Lock()
		defer si.mu.Unlock()
		qt.Check(t, starts >= 1, qt.IsTrue)
		qt.Check(t, stops >= 1, qt.IsTrue)
	})
}

// A machine that hosts another VM proves that its VM has ended, which ends the VM's runs without a stop.
func TestStartsThatWaitForAnEndedVMAreNotSent(t *testing.T) {
	simulate(t, func(si *simulation) {
		si.start("one")
		si.wait(3000)
		jb := &workpb.Job{Id: "00000000000000aa", Queue: "q", AcceptedMs: si.ck.Now(), Steps: []*workpb.Step{
			{Count: 32, CpuMilli: 1000, MemoryMb: 100, EstimateMs: 800},
		}}
		var sentMS []int64
		si.intercept = func(od *workpb.Order) bool {
			if od.GetVerb() == workpb.Verb_START && od.GetVm() == "vm-0" {
				sentMS = append(sentMS, si.ck.Now()-jb.GetAcceptedMs())
			}
			return od.GetVm() == "vm-0" && si.unresponsive["vm-0"]
		}
		si.answerDelayMS["vm-0"] = 950
		qt.Assert(t, si.in.Submit(context.Background(), jb), qt.IsNil)
		si.wait(300)
		si.setUnresponsive("vm-0", true)
		si.mu.Lock()
		si.workers["vm-0"].Restart()
		si.machines[0].Vm = "vm-9"
		si.mu.Unlock()
		si.wait(20_000)
		si.mu.Lock()
		defer si.mu.Unlock()
		qt.Check(t, len(sentMS) >= 1, qt.IsTrue)
		for _, atMS := range sentMS {
			qt.Check(t, atMS < 900, qt.IsTrue, qt.Commentf("start sent %d ms after the job came", atMS))
		}
		qt.Check(t, si.state(jb.GetId()), qt.Equals, workpb.State_COMPLETED)
	})
}

// The controller counts a run whose start is unanswered for 13 s, 12 s of which an order may take to be executed.
func TestStartThatWaitedForASecondIsNotSent(t *testing.T) {
	simulate(t, func(si *simulation) {
		si.start("one")
		si.wait(3000)
		si.slowDownOrders("")
		jb := &workpb.Job{Id: "00000000000000aa", Queue: "q", AcceptedMs: si.ck.Now(), Steps: []*workpb.Step{
			{Count: 32, CpuMilli: 1000, MemoryMb: 100, EstimateMs: 800},
		}}
		var sentMS []int64
		si.intercept = func(od *workpb.Order) bool {
			if od.GetVerb() == workpb.Verb_START && od.GetRun() == 1 {
				sentMS = append(sentMS, si.ck.Now()-jb.GetAcceptedMs())
			}
			return false
		}
		qt.Assert(t, si.in.Submit(context.Background(), jb), qt.IsNil)
		si.wait(20_000)
		si.mu.Lock()
		defer si.mu.Unlock()
		qt.Check(t, len(sentMS) >= 16, qt.IsTrue)
		for _, atMS := range sentMS {
			qt.Check(t, atMS <= 1000+inFlightMS, qt.IsTrue, qt.Commentf("start sent %d ms after the job came", atMS))
		}
		qt.Check(t, si.state(jb.GetId()), qt.Equals, workpb.State_COMPLETED)
	})
}

// countCopies counts from now on how often the start of each run is sent.
func (si *simulation) countCopies() map[string]int {
	si.mu.Lock()
	defer si.mu.Unlock()
	copies := map[string]int{}
	si.intercept = func(od *workpb.Order) bool {
		if od.GetVerb() == workpb.Verb_START {
			copies[fmt.Sprintf("%s run %d", od.GetTask(), od.GetRun())]++
		}
		return false
	}
	return copies
}

// startsOf returns how often a task was started.
func (si *simulation) startsOf(task string) int {
	si.mu.Lock()
	defer si.mu.Unlock()
	return si.starts[task]
}

// A start whose answer is lost is executed, and its run may end before the start is repeated. The refusal of the repeated start must not be taken for a start that never happened.
func TestRepeatedStartOfAnEndedRunIsNotTakenForUnexecuted(t *testing.T) {
	simulate(t, func(si *simulation) {
		si.start("one")
		si.wait(500)
		si.start("two")
		si.wait(2500)
		for _, wk := range si.workers {
			wk.Behave = func(string, int64) (int64, workpb.End) { return unansweredMS / 2, workpb.End_END_DONE }
		}
		si.intercept = func(od *workpb.Order) bool {
			first := od.GetVerb() == workpb.Verb_START && od.GetRun() == 1 && si.starts[od.GetTask()] == 0
			if first {
				si.workers[od.GetVm()].Order(od)
			}
			return first
		}
		si.submit("00000000000000aa", 6)
		si.setAllUnresponsive(true)
		si.wait(unansweredMS + 100)
		si.setAllUnresponsive(false)
		si.wait(6000)
		qt.Check(t, si.state("00000000000000aa"), qt.Equals, workpb.State_COMPLETED)
		for task, count := range si.starts {
			qt.Check(t, count, qt.Equals, 1, qt.Commentf(task))
		}
	})
}

const (
	// unansweredMS is when the caller gives up waiting for an order's answer.
	unansweredMS = 300
	// executedLateMS is when an unanswered order is executed.
	executedLateMS = 4000
)

// loseFirstStart makes the next start go without an answer and be executed late.
func (si *simulation) loseFirstStart() {
	lost := false
	si.intercept = func(od *workpb.Order) bool {
		if lost || od.GetVerb() != workpb.Verb_START {
			return false
		}
		lost = true
		go func() {
			si.wait(executedLateMS)
			si.mu.Lock()
			defer si.mu.Unlock()
			si.workers[od.GetVm()].Order(od)
		}()
		return true
	}
}

// A start that waits for a VM which stops answering polls must not be sent once the task has run elsewhere as a duplicate.
func TestQueuedStartOnAnUnresponsiveVMIsWithdrawn(t *testing.T) {
	simulate(t, func(si *simulation) {
		si.allowDuplicates = true
		si.start("one")
		si.wait(3000)
		si.mu.Lock()
		si.answerDelayMS["vm-0"] = slowAnswerMS
		si.mu.Unlock()
		jb := &workpb.Job{Id: "00000000000000aa", Queue: "q", AcceptedMs: si.ck.Now(), Steps: []*workpb.Step{
			{Count: 8, CpuMilli: 1000, MemoryMb: 100, EstimateMs: 800, Duplicates: true},
		}}
		qt.Assert(t, si.in.Submit(context.Background(), jb), qt.IsNil)
		si.wait(50)
		si.setUnresponsive("vm-0", true)
		si.wait(6000)
		si.setUnresponsive("vm-0", false)
		si.wait(6000)
		qt.Check(t, si.state("00000000000000aa"), qt.Equals, workpb.State_COMPLETED)
	})
}
