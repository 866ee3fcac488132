package jobcontrol_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/configuration/rulesindex"
	"github.com/fulmarloft/fulmarloft/internal/observability/event"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/jobcontrol"
)

const (
	busyVMs      = 350
	busyTeams    = 20
	busyPassMS   = 20
	busyServices = 4
	// busyWarmUpMS is how long the load runs before it is measured.
	busyWarmUpMS = 12_000
)

// busyOwner drives a controller with VMs that answer at once; only the controller's own calls are timed.
type busyOwner struct {
	ck   *clock.Clock
	ct   *jobcontrol.Controller
	rg   *rand.Rand
	vms  map[string]*busyVM
	jobs int
	open int
	// openJobs is how many jobs are kept open, taskMS how long their tasks take on average.
	openJobs int
	taskMS   int64
	// Results.
	ended, polls    int
	planNS, pollsNS int64
}

// busyVM holds the runs of a VM and its poll under way.
type busyVM struct {
	running map[*workpb.Order]int64
	ended   []*workpb.EndedRun
	number  int64
	poll    *workpb.LookRequest
	untilMS int64
}

// BenchmarkBusyOwner measures an owner of 350 VMs: with 3,000 open jobs of which most wait for full VMs, at some 40,000 ended tasks a minute, and at a peak of short tasks that find room; one operation is a second.
func BenchmarkBusyOwner(b *testing.B) {
	b.Run("waiting", func(b *testing.B) { newBusyOwner(3000, 6000).measure(b) })
	b.Run("peak", func(b *testing.B) { newBusyOwner(180, 640).measure(b) })
}

func (bo *busyOwner) measure(b *testing.B) {
	for range busyWarmUpMS / busyPassMS {
		bo.pass()
	}
	bo.ended, bo.polls, bo.planNS, bo.pollsNS = 0, 0, 0, 0
	b.ReportAllocs()
	seconds := 0
	for b.Loop() {
		for range 1000 / busyPassMS {
			bo.pass()
		}
		seconds++
	}
	b.ReportMetric(float64(bo.planNS)/float64(bo.ended), "plan-ns/task")
	b.ReportMetric(float64(bo.pollsNS)/float64(bo.polls), "poll-ns/poll")
	b.ReportMetric(float64(bo.planNS+bo.pollsNS)/1e6/float64(seconds), "owner-ms/s")
	b.ReportMetric(float64(bo.ended)/float64(seconds), "tasks/s")
}

func newBusyOwner(openJobs int, taskMS int64) *busyOwner {
	bo := &busyOwner{openJobs: openJobs, taskMS: taskMS, ck: clock.NewFake(1_000_000), rg: rand.New(rand.NewPCG(1, 1)), vms: map[string]*busyVM{}}
	bo.ct = jobcontrol.New(bo.ck, event.Discard(), 1, runLeaseMS)
	rules := &workpb.Rules{Version: 1}
	for at := range busyServices {
		rules.Services = append(rules.Services, &workpb.Service{Name: serviceName(at)})
		rules.Queues = append(rules.Queues, &workpb.Queue{Name: queueName(at), Service: serviceName(at), MaxAttempts: 3, Stretch: 1.6, TargetMs: 600})
	}
	for team := range busyTeams {
		rules.Teams = append(rules.Teams, &workpb.Team{Name: teamName(team), Weight: 1, CapCpuMilli: 20_000_000})
	}
	bo.ct.SetRules(rulesindex.New(rules))
	for at := range busyVMs {
		vm := vmOf(fmt.Sprintf("v%03d", at))
		vm.Service, vm.CpuMilli, vm.MemoryMb, vm.BornMs = serviceName(at%busyServices), 48_000, 256_000, 1
		vm.Machine, vm.Zone, vm.Rack = "m-"+vm.GetId(), fmt.Sprintf("z%d", at%4), fmt.Sprintf("r%d", at/4)
		bo.ct.SetVM(vm)
		bo.vms[vm.GetId()] = &busyVM{running: map[*workpb.Order]int64{}}
	}
	return bo
}

func serviceName(at int) string { return fmt.Sprintf("s%d", at) }

func queueName(at int) string { return fmt.Sprintf("q%d", at) }

// pass advances the clock by one planning pass and everything that happens meanwhile.
func (bo *busyOwner) pass() {
	bo.ck.Advance(busyPassMS)
	for bo.open < bo.openJobs {
		bo.submit()
	}
	bo.answerPolls()
	beginNS := time.Now()
	due := bo.ct.DuePolls()
	bo.pollsNS += time.Since(beginNS).Nanoseconds()
	for _, lr := range due {
		vm := bo.vms[lr.GetVm()]
		vm.poll, vm.untilMS = lr, bo.ck.Now()+max(lr.GetWaitMs(), busyPassMS)
	}
	beginNS = time.Now()
	bt := bo.ct.Plan(true)
	orders := append(bo.ct.ConfirmStored(bt), bo.ct.Outbox()...)
	bo.planNS += time.Since(beginNS).Nanoseconds()
	bo.execute(orders)
	for _, id := range bo.ct.Ended() {
		bo.open--
		bo.ct.RowShortened(id)
		bo.ct.Forget(id)
	}
}

func (bo *busyOwner) submit() {
	bo.jobs++
	bo.open++
	jb := &workpb.Job{Id: fmt.Sprintf("%016x", bo.jobs), Queue: queueName(bo.jobs % busyServices), Team: teamName(bo.rg.IntN(busyTeams)), AcceptedMs: bo.ck.Now()}
	jb.Steps = []*workpb.Step{{Count: 8, CpuMilli: 3500, MemoryMb: 512, EstimateMs: bo.taskMS}}
	bo.ct.Submit(jb)
}

// execute starts the runs of orders on their VMs.
func (bo *busyOwner) execute(orders []*workpb.Order) {
	for _, od := range orders {
		if od.GetVerb() == workpb.Verb_START {
			bo.vms[od.GetVm()].running[od] = bo.ck.Now() + bo.taskMS*int64(80+bo.rg.IntN(40))/100
		}
		beginNS := time.Now()
		bo.ct.HandleOutcome(od, outcome(workpb.Verdict_ACCEPTED))
		bo.planNS += time.Since(beginNS).Nanoseconds()
	}
}

// answerPolls ends runs and answers the polls that are due or for which a run has ended.
func (bo *busyOwner) answerPolls() {
	nowMS := bo.ck.Now()
	for id, vm := range bo.vms {
		for od, endMS := range vm.running {
			if nowMS >= endMS {
				delete(vm.running, od)
				vm.number++
				vm.ended = append(vm.ended, &workpb.EndedRun{Number: vm.number, Task: od.GetTask(), Run: od.GetRun(), End: workpb.End_END_DONE})
				bo.ended++
			}
		}
		if vm.poll == nil || (nowMS < vm.untilMS && len(vm.ended) == 0) {
			continue
		}
		look := &workpb.Look{BornMs: 1, ClockMs: nowMS}
		for od, endMS := range vm.running {
			look.Running = append(look.Running, &workpb.RunningRun{Task: od.GetTask(), Run: od.GetRun(), Percent: max(100-(endMS-nowMS)*100/bo.taskMS, 0)})
		}
		for len(vm.ended) > 0 && vm.ended[0].GetNumber() <= vm.poll.GetAcknowledged() {
			vm.ended = vm.ended[1:]
		}
		look.Ended = vm.ended
		vm.poll = nil
		bo.polls++
		beginNS := time.Now()
		bo.ct.HandlePoll(id, nowMS-busyPassMS, look, workpb.Verdict_ACCEPTED)
		bo.pollsNS += time.Since(beginNS).Nanoseconds()
	}
}
