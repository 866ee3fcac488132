package jobcontrol_test

import (
	"fmt"
	"sort"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/configuration/rulesindex"
	"github.com/fulmarloft/fulmarloft/internal/observability/event"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/jobcontrol"
	"github.com/fulmarloft/fulmarloft/internal/testbed/workertest"
)

const (
	runLeaseMS = 5000
	stepMS     = 20
	// unanswered is no verdict.
	unanswered workpb.Verdict = -1
)

// fleet runs a controller against simulated VMs and checks invariants at every start.
type fleet struct {
	t       *testing.T
	ck      *clock.Clock
	ct      *jobcontrol.Controller
	workers map[string]*workertest.Worker
	// unresponsive VMs answer nothing; loseAnswer selects orders that are executed but whose answer is lost.
	unresponsive map[string]bool
	// unregistered VMs are missing from the registry.
	unregistered map[string]bool
	loseAnswer   func(od *workpb.Order) bool
	// held collects the starts that are neither executed nor answered while holdStarts is set.
	holdStarts bool
	held       []*workpb.Order
	// late selects orders that get no answer and wait in lateOrders until executeLate executes them.
	late       func(od *workpb.Order) bool
	lateOrders []*workpb.Order
	// refuse returns the verdict with which an order is refused, ACCEPTED for none, or unanswered if the test answers it.
	refuse func(od *workpb.Order) workpb.Verdict
	// beforeOrder is called before an order is executed.
	beforeOrder func(od *workpb.Order)
	stored      storedRows
	jobs        map[string]*workpb.Job
	token       int64
	// allowDuplicates is set where duplicate runs of a task are allowed.
	allowDuplicates bool
	// storeAway is set while no batch can be stored.
	storeAway bool
	// limitBatch sets the limits of the next batch, check checks it and beforePoll a poll.
	limitBatch func()
	check      func(*jobcontrol.Batch)
	// refuses reports whether the store refuses a batch for its content.
	refuses    func(*jobcontrol.Batch) bool
	beforePoll func(*workpb.LookRequest)

	runningOn map[string]string
	doneTasks map[string]bool
	starts    map[string]int
}

func newFleet(t *testing.T, vms ...*workpb.VM) *fleet {
	fl := &fleet{
		t: t, ck: clock.NewFake(1_000_000), workers: map[string]*workertest.Worker{}, unresponsive: map[string]bool{}, unregistered: map[string]bool{},
		stored: storedRows{}, jobs: map[string]*workpb.Job{},
		runningOn: map[string]string{}, doneTasks: map[string]bool{}, starts: map[string]int{},
	}
	fl.loseAnswer = func(*workpb.Order) bool { return false }
	fl.late = func(*workpb.Order) bool { return false }
	fl.refuse = func(*workpb.Order) workpb.Verdict { return workpb.Verdict_ACCEPTED }
	fl.beforeOrder = func(*workpb.Order) {}
	fl.limitBatch = func() {}
	fl.check = func(*jobcontrol.Batch) {}
	fl.refuses = func(*jobcontrol.Batch) bool { return false }
	fl.beforePoll = func(*workpb.LookRequest) {}
	for _, vm := range vms {
		wk := workertest.New(fl.ck, vm)
		wk.Record = fl.record
		fl.workers[vm.GetId()] = wk
	}
	fl.newOwner()
	return fl
}

// newOwner replaces the controller by one restored from the stored rows, as after the loss of the owner.
func (fl *fleet) newOwner() {
	fl.token++
	fl.ct = jobcontrol.New(fl.ck, event.Discard(), fl.token, runLeaseMS)
	fl.ct.SetRules(rulesindex.New(testRules()))
	for _, id := range fl.jobIDs() {
		fl.ct.Restore(fl.jobs[id], fl.stored.of(id))
	}
	for id, wk := range fl.workers {
		if !fl.unregistered[id] {
			fl.ct.SetVM(proto.Clone(wk.VM()).(*workpb.VM))
		}
	}
}

func (fl *fleet) setRules(rules *workpb.Rules) { fl.ct.SetRules(rulesindex.New(rules)) }

func (fl *fleet) jobIDs() []string {
	var ids []string
	for id := range fl.jobs {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

func testRules() *workpb.Rules {
	return &workpb.Rules{
		Version: 1,
		Queues: []*workpb.Queue{
			{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 1.6, TargetMs: 600},
		},
		Services: []*workpb.Service{{Name: "s"}},
		Teams:    []*workpb.Team{{Name: "t", CapCpuMilli: 100_000}},
	}
}

func vmOf(id string) *workpb.VM {
	return &workpb.VM{Id: id, Service: "s", Address: id, CpuMilli: 8000, MemoryMb: 8000, Labels: []string{"a", "r1"}, Rack: "r1"}
}

// record checks that no task runs twice at once, or starts after it was reported as done. An end that wasn't reported before the lease expired doesn't count.
func (fl *fleet) record(vm, task string, run int64, started bool, _ workpb.End) {
	if !started {
		delete(fl.runningOn, task)
		return
	}
	fl.starts[task]++
	if other, ok := fl.runningOn[task]; ok && !fl.allowDuplicates {
		fl.t.Errorf("task %s run %d starts on %s while the task runs on %s", task, run, vm, other)
	}
	if fl.doneTasks[task] {
		fl.t.Errorf("task %s run %d starts on %s after the task was reported done", task, run, vm)
	}
	fl.runningOn[task] = vm
}

// setBehavior sets how long all runs take and how they end.
func (fl *fleet) setBehavior(workMS int64, end workpb.End) {
	for _, wk := range fl.workers {
		wk.Behave = func(string, int64) (int64, workpb.End) { return workMS, end }
	}
}

func (fl *fleet) submit(jb *workpb.Job) {
	jb.Queue = "q"
	jb.AcceptedMs = fl.ck.Now()
	fl.jobs[jb.GetId()] = jb
	fl.ct.Submit(jb)
}

// run advances the fake clock by forMS milliseconds in steps of stepMS and steps the VMs and the controller.
func (fl *fleet) run(forMS int64) {
	for range forMS / stepMS {
		fl.ck.Advance(stepMS)
		for _, wk := range fl.workers {
			wk.Running()
		}
		fl.step()
	}
}

func (fl *fleet) step() {
	due := fl.ct.DuePolls()
	sort.Slice(due, func(i, j int) bool { return due[i].GetVm() < due[j].GetVm() })
	for _, lr := range due {
		fl.poll(lr)
	}
	if fl.storeAway {
		fl.send(fl.ct.Outbox())
		return
	}
	fl.limitBatch()
	bt := fl.ct.Plan(true)
	fl.check(bt)
	if fl.refuses(bt) {
		fl.ct.HandleRefused(bt)
		fl.send(fl.ct.Outbox())
		return
	}
	fl.stored.apply(changeOf(bt))
	fl.send(fl.ct.ConfirmStored(bt))
	fl.send(fl.ct.Outbox())
}

func (fl *fleet) poll(lr *workpb.LookRequest) {
	wk, ok := fl.workers[lr.GetVm()]
	if !ok || fl.unresponsive[lr.GetVm()] {
		fl.ct.HandlePoll(lr.GetVm(), fl.ck.Now(), nil, workpb.Verdict_IN_DOUBT)
		return
	}
	fl.beforePoll(lr)
	lk, vd := wk.Poll(lr)
	for _, end := range lk.GetEnded() {
		fl.doneTasks[end.GetTask()] = fl.doneTasks[end.GetTask()] || end.GetEnd() == workpb.End_END_DONE
	}
	fl.ct.HandlePoll(lr.GetVm(), fl.ck.Now(), lk, vd)
}

func (fl *fleet) send(orders []*workpb.Order) {
	for _, od := range orders {
		wk, ok := fl.workers[od.GetVm()]
		if !ok || fl.unresponsive[od.GetVm()] {
			fl.ct.HandleOutcome(od, outcome(workpb.Verdict_IN_DOUBT))
			continue
		}
		fl.beforeOrder(od)
		if fl.holdStarts && od.GetVerb() == workpb.Verb_START {
			fl.held = append(fl.held, od)
			continue
		}
		if vd := fl.refuse(od); vd != workpb.Verdict_ACCEPTED {
			if vd != unanswered {
				fl.ct.HandleOutcome(od, outcome(vd))
			}
			continue
		}
		if fl.late(od) {
			fl.lateOrders = append(fl.lateOrders, od)
			fl.ct.HandleOutcome(od, outcome(workpb.Verdict_IN_DOUBT))
			continue
		}
		oc := wk.Answer(od)
		if fl.loseAnswer(od) {
			oc = outcome(workpb.Verdict_IN_DOUBT)
		}
		fl.ct.HandleOutcome(od, oc)
	}
}

// executeLate executes the orders that were left unanswered.
func (fl *fleet) executeLate() {
	for _, od := range fl.lateOrders {
		fl.workers[od.GetVm()].Order(od)
	}
	fl.lateOrders = nil
}

// outcome returns the outcome of an order without the VM's clock.
func outcome(vd workpb.Verdict) *workpb.Outcome { return &workpb.Outcome{Verdict: vd} }

func (fl *fleet) state(id string) workpb.State { return fl.stored.state(id) }

func jobOf(id string, steps ...*workpb.Step) *workpb.Job {
	return &workpb.Job{Id: id, Team: "t", Steps: steps}
}

func stepOf(count int32, after ...int32) *workpb.Step {
	return &workpb.Step{Count: count, CpuMilli: 1000, MemoryMb: 100, EstimateMs: 800, After: after}
}

func TestStepsRunInDependencyOrder(t *testing.T) {
	fl := newFleet(t, vmOf("a"), vmOf("b"))
	fl.submit(jobOf("j1", stepOf(4), stepOf(2, 0)))
	fl.run(600)
	qt.Assert(t, fl.state("j1"), qt.Equals, workpb.State_RUNNING)
	qt.Assert(t, fl.starts["j1.0.1.0"], qt.Equals, 0)
	fl.run(2000)
	qt.Assert(t, fl.state("j1"), qt.Equals, workpb.State_COMPLETED)
	qt.Assert(t, len(fl.starts), qt.Equals, 6)
}

// A job that is submitted again after it completed, also to a new owner, must not start a task.
func TestCompletedJobSeenAgainStaysCompleted(t *testing.T) {
	fl := newFleet(t, vmOf("a"))
	fl.submit(jobOf("j1", stepOf(2)))
	fl.run(2000)
	qt.Assert(t, fl.state("j1"), qt.Equals, workpb.State_COMPLETED)
	fl.ct.Submit(fl.jobs["j1"])
	fl.run(2000)
	qt.Assert(t, fl.state("j1"), qt.Equals, workpb.State_COMPLETED)
	qt.Assert(t, fl.starts["j1.0.0.0"], qt.Equals, 1)
	fl.newOwner()
	fl.ct.Submit(fl.jobs["j1"])
	fl.run(2000)
	qt.Assert(t, fl.starts["j1.0.0.0"], qt.Equals, 1)
}

func TestVMCapacityIsNotExceeded(t *testing.T) {
	fl := newFleet(t, vmOf("a"), vmOf("b"))
	for at := range 20 {
		fl.submit(jobOf(fmt.Sprintf("j%d", at), stepOf(4)))
	}
	for range 500 {
		fl.run(stepMS)
		for id, wk := range fl.workers {
			qt.Assert(t, wk.Running() <= 8, qt.IsTrue, qt.Commentf("%s runs %d tasks, at most 8 fit", id, wk.Running()))
		}
	}
	for at := range 20 {
		qt.Check(t, fl.state(fmt.Sprintf("j%d", at)), qt.Equals, workpb.State_COMPLETED)
	}
}
