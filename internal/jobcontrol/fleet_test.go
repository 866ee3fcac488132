package jobcontrol_test

import (
	"fmt"
	"sort"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/event"
	"github.com/fulmarloft/fulmarloft/internal/jobcontrol"
	"github.com/fulmarloft/fulmarloft/internal/rulesindex"
	"github.com/fulmarloft/fulmarloft/internal/workertest"
	"github.com/fulmarloft/fulmarloft/internal/workpb"
)

const (
	runLeaseMS = 5000
	stepMS     = 20
)

// fleet plays a controller against VMs and checks what must hold of every start.
type fleet struct {
	t       *testing.T
	ck      *clock.Clock
	ct      *jobcontrol.Controller
	workers map[string]*workertest.Worker
	// silent VMs answer nothing; lost makes a start be executed without an answer.
	silent map[string]bool
	lost   func(od *workpb.Order) bool
	// before is called before an order is executed.
	before func(od *workpb.Order)
	stored map[string]*workpb.Progress
	jobs   map[string]*workpb.Job
	token  int64
	// copies is set where copies of a task may run side by side.
	copies bool

	live   map[string]string
	done   map[string]bool
	starts map[string]int
}

func newFleet(t *testing.T, vms ...*workpb.VM) *fleet {
	fl := &fleet{
		t: t, ck: clock.NewFake(1_000_000), workers: map[string]*workertest.Worker{}, silent: map[string]bool{},
		stored: map[string]*workpb.Progress{}, jobs: map[string]*workpb.Job{},
		live: map[string]string{}, done: map[string]bool{}, starts: map[string]int{},
	}
	fl.lost = func(*workpb.Order) bool { return false }
	fl.before = func(*workpb.Order) {}
	for _, vm := range vms {
		wk := workertest.New(fl.ck, vm)
		wk.Record = fl.record
		fl.workers[vm.GetId()] = wk
	}
	fl.newOwner()
	return fl
}

// newOwner starts another controller from what is stored, as after the loss of the owner.
func (fl *fleet) newOwner() {
	fl.token++
	fl.ct = jobcontrol.New(fl.ck, event.Discard(), fl.token, runLeaseMS)
	fl.ct.SetRules(rulesindex.New(testRules()))
	for _, id := range fl.jobIDs() {
		fl.ct.Restore(fl.jobs[id], fl.stored[id])
	}
	for _, wk := range fl.workers {
		fl.ct.SetVM(wk.VM())
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

// record checks that no task runs twice at once or after its end was reported as done; an end that nobody was told of before the lease lapsed doesn't count.
func (fl *fleet) record(vm, task string, run int64, started bool, _ workpb.End) {
	if !started {
		delete(fl.live, task)
		return
	}
	fl.starts[task]++
	if other, ok := fl.live[task]; ok && !fl.copies {
		fl.t.Errorf("task %s run %d starts on %s while it runs on %s", task, run, vm, other)
	}
	if fl.done[task] {
		fl.t.Errorf("task %s run %d starts on %s after its end", task, run, vm)
	}
	fl.live[task] = vm
}

// behave lets all runs take so long and end so.
func (fl *fleet) behave(workMS int64, end workpb.End) {
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

// play runs the controller and the VMs for some time.
func (fl *fleet) play(forMS int64) {
	for range forMS / stepMS {
		fl.ck.Advance(stepMS)
		for _, wk := range fl.workers {
			wk.Running()
		}
		fl.step()
	}
}

func (fl *fleet) step() {
	ids := fl.ct.VMs()
	sort.Strings(ids)
	for _, id := range ids {
		if lr := fl.ct.NextPoll(id); lr != nil {
			fl.look(lr)
		}
	}
	bt := fl.ct.Plan(true)
	for _, row := range bt.Rows() {
		fl.stored[row.GetId()] = proto.Clone(row).(*workpb.Progress)
	}
	fl.send(fl.ct.ConfirmStored(bt))
	fl.send(fl.ct.Outbox())
}

func (fl *fleet) look(lr *workpb.LookRequest) {
	wk, ok := fl.workers[lr.GetVm()]
	if !ok || fl.silent[lr.GetVm()] {
		fl.ct.HandlePoll(lr.GetVm(), fl.ck.Now(), nil, workpb.Verdict_IN_DOUBT)
		return
	}
	lk, vd := wk.Look(lr)
	for _, end := range lk.GetEnded() {
		fl.done[end.GetTask()] = fl.done[end.GetTask()] || end.GetEnd() == workpb.End_END_DONE
	}
	fl.ct.HandlePoll(lr.GetVm(), fl.ck.Now(), lk, vd)
}

func (fl *fleet) send(orders []*workpb.Order) {
	for _, od := range orders {
		wk, ok := fl.workers[od.GetVm()]
		if !ok || fl.silent[od.GetVm()] {
			fl.ct.HandleVerdict(od, workpb.Verdict_IN_DOUBT)
			continue
		}
		fl.before(od)
		vd := wk.Order(od)
		if fl.lost(od) {
			vd = workpb.Verdict_IN_DOUBT
		}
		fl.ct.HandleVerdict(od, vd)
	}
}

func (fl *fleet) state(id string) workpb.State { return fl.stored[id].GetState() }

func jobOf(id string, steps ...*workpb.Step) *workpb.Job {
	return &workpb.Job{Id: id, Team: "t", Steps: steps}
}

func stepOf(count int32, after ...int32) *workpb.Step {
	return &workpb.Step{Count: count, CpuMilli: 1000, MemoryMb: 100, EstimateMs: 800, After: after}
}

func TestJobRunsInOrderOfItsSteps(t *testing.T) {
	fl := newFleet(t, vmOf("a"), vmOf("b"))
	fl.submit(jobOf("j1", stepOf(4), stepOf(2, 0)))
	fl.play(600)
	qt.Assert(t, fl.state("j1"), qt.Equals, workpb.State_RUNNING)
	qt.Assert(t, fl.starts["j1.0.1.0"], qt.Equals, 0)
	fl.play(2000)
	qt.Assert(t, fl.state("j1"), qt.Equals, workpb.State_COMPLETED)
	qt.Assert(t, len(fl.starts), qt.Equals, 6)
}

func TestCompletedJobSeenAgainStaysCompleted(t *testing.T) {
	fl := newFleet(t, vmOf("a"))
	fl.submit(jobOf("j1", stepOf(2)))
	fl.play(2000)
	qt.Assert(t, fl.state("j1"), qt.Equals, workpb.State_COMPLETED)
	fl.ct.Submit(fl.jobs["j1"])
	fl.play(2000)
	qt.Assert(t, fl.state("j1"), qt.Equals, workpb.State_COMPLETED)
	qt.Assert(t, fl.starts["j1.0.0.0"], qt.Equals, 1)
	fl.newOwner()
	fl.ct.Submit(fl.jobs["j1"])
	fl.play(2000)
	qt.Assert(t, fl.starts["j1.0.0.0"], qt.Equals, 1)
}

func TestCapacityHoldsUnderManyJobs(t *testing.T) {
	fl := newFleet(t, vmOf("a"), vmOf("b"))
	for at := range 20 {
		fl.submit(jobOf(fmt.Sprintf("j%d", at), stepOf(4)))
	}
	for range 500 {
		fl.play(stepMS)
		for id, wk := range fl.workers {
			qt.Assert(t, wk.Running() <= 8, qt.IsTrue, qt.Commentf("%s runs %d", id, wk.Running()))
		}
	}
	for at := range 20 {
		qt.Check(t, fl.state(fmt.Sprintf("j%d", at)), qt.Equals, workpb.State_COMPLETED)
	}
}
