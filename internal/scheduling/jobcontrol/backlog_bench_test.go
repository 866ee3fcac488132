package jobcontrol_test

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/configuration/rulesindex"
	"github.com/fulmarloft/fulmarloft/internal/observability/event"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/jobcontrol"
)

// The work that was accepted at once: schedules with many due times, and large jobs of tiny tasks.
const (
	backlogVMs   = 9
	dueTimes     = 20_000
	tasksOfJob   = 20_000
	tinyCPUMilli = 2
)

// backlog is an owner of nine VMs of 32 cores with accepted work, on a clock that the benchmark advances.
type backlog struct {
	ck   *clock.Clock
	ct   *jobcontrol.Controller
	jobs []*workpb.Job
}

func newBacklog() *backlog {
	bl := &backlog{ck: clock.NewFake(1_000_000_000)}
	bl.newOwner()
	return bl
}

func (bl *backlog) newOwner() {
	bl.ct = jobcontrol.New(bl.ck, event.Discard(), 1, 1_000_000_000)
	rules := testRules()
	rules.Teams = []*workpb.Team{{Name: "t", Weight: 1}}
	bl.ct.SetRules(rulesindex.New(rules))
	for at := range backlogVMs {
		vm := vmOf(fmt.Sprintf("v%d", at))
		vm.CpuMilli, vm.MemoryMb, vm.BornMs = 32_000, 65_536, 1
		bl.ct.SetVM(vm)
	}
	for _, lr := range bl.ct.DuePolls() {
		bl.ct.HandlePoll(lr.GetVm(), bl.ck.Now(), &workpb.Look{BornMs: 1, ClockMs: bl.ck.Now()}, workpb.Verdict_ACCEPTED)
	}
}

func (bl *backlog) submit(jb *workpb.Job) {
	jb.Queue, jb.AcceptedMs = "q", bl.ck.Now()
	bl.jobs = append(bl.jobs, jb)
	bl.ct.Submit(jb)
}

func (bl *backlog) submitSchedules(count int) {
	for at := range count {
		jb := jobOf(fmt.Sprintf("schedule-%d", at), &workpb.Step{Count: 1, CpuMilli: 1800, MemoryMb: 2500, EstimateMs: 800})
		jb.Occurrences, jb.PeriodMs, jb.FirstDueMs = dueTimes, 4000, 1
		bl.submit(jb)
	}
}

func (bl *backlog) submitLarge(count int) {
	for at := range count {
		bl.submit(jobOf(fmt.Sprintf("large-%d", at), &workpb.Step{Count: tasksOfJob, CpuMilli: tinyCPUMilli, MemoryMb: 1, EstimateMs: 30_000}))
	}
}

// start plans and confirms starts until none is planned, and returns the running tasks of each VM and the stored progress.
func (bl *backlog) start() (running map[string][]*workpb.RunningRun, stored map[string]*workpb.Progress) {
	running, stored = map[string][]*workpb.RunningRun{}, map[string]*workpb.Progress{}
	for idle := 0; idle < 2; idle++ {
		bt := bl.ct.Plan(true)
		for _, pg := range bt.Rows() {
			stored[fmt.Sprint(pg.GetId(), "/", pg.GetPart())] = proto.Clone(pg).(*workpb.Progress)
		}
		for _, od := range bl.ct.ConfirmStored(bt) {
			idle = 0
			bl.ct.HandleOutcome(od, outcome(workpb.Verdict_ACCEPTED))
			running[od.GetVm()] = append(running[od.GetVm()], &workpb.RunningRun{Task: od.GetTask(), Run: od.GetRun()})
		}
		bl.ck.Advance(60)
	}
	return running, stored
}

// backlogs are the sizes of accepted work: schedules, and large jobs of which those tasks run that fit.
var backlogs = []struct {
	name string
	fill func(bl *backlog)
}{
	{"due-times-x1", func(bl *backlog) { bl.submitSchedules(30) }},
	{"due-times-x10", func(bl *backlog) { bl.submitSchedules(300) }},
	{"due-times-x100", func(bl *backlog) { bl.submitSchedules(3000) }},
	{"large-jobs-x1", func(bl *backlog) { bl.submitLarge(3) }},
	{"large-jobs-x10", func(bl *backlog) { bl.submitLarge(30) }},
	{"large-jobs-x100", func(bl *backlog) { bl.submitLarge(300) }},
}

// BenchmarkPassBesideBacklog makes planning passes beside each backlog.
func BenchmarkPassBesideBacklog(b *testing.B) {
	for _, tc := range backlogs {
		b.Run(tc.name, func(b *testing.B) {
			bl := newBacklog()
			tc.fill(bl)
			bl.start()
			b.ReportAllocs()
			for b.Loop() {
				bl.ck.Advance(20)
				bl.ct.Plan(true)
			}
		})
	}
}

// BenchmarkPollOfLargeJobs handles a list of a VM's running tasks: a hundredth, a tenth and all of the 16,000 that a VM holds of three jobs of 20,000 tasks.
func BenchmarkPollOfLargeJobs(b *testing.B) {
	for _, divisor := range []int{100, 10, 1} {
		b.Run(fmt.Sprint(16_000/divisor), func(b *testing.B) {
			bl := newBacklog()
			for at := range 3 {
				bl.submit(jobOf(fmt.Sprintf("large-%d", at), &workpb.Step{Count: int32(tasksOfJob / divisor), CpuMilli: int64(tinyCPUMilli * divisor), MemoryMb: 1, EstimateMs: 30_000}))
			}
			running, _ := bl.start()
			vm := ""
			for id, list := range running {
				if len(list) > len(running[vm]) {
					vm = id
				}
			}
			runs := len(running[vm])
			percent := int64(5)
			b.ReportAllocs()
			for b.Loop() {
				bl.ck.Advance(600)
				percent = 5 + (percent+1)%90
				for _, rr := range running[vm] {
					rr.Percent = percent
				}
				bl.ct.HandlePoll(vm, bl.ck.Now(), &workpb.Look{BornMs: 1, ClockMs: bl.ck.Now(), Running: running[vm]}, workpb.Verdict_ACCEPTED)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(runs), "ns/run")
		})
	}
}

// BenchmarkRestoreOfBacklog builds a new owner's state from the stored rows of each backlog.
func BenchmarkRestoreOfBacklog(b *testing.B) {
	for _, tc := range backlogs {
		b.Run(tc.name, func(b *testing.B) {
			bl := newBacklog()
			tc.fill(bl)
			_, stored := bl.start()
			rows := map[string][]*workpb.Progress{}
			bytes := 0
			for _, pg := range stored {
				rows[pg.GetId()] = append(rows[pg.GetId()], pg)
				bytes += proto.Size(pg)
			}
			b.ReportAllocs()
			for b.Loop() {
				bl.newOwner()
				for _, jb := range bl.jobs {
					bl.ct.Restore(jb, rows[jb.GetId()])
				}
				bl.ct.Plan(true)
			}
			b.ReportMetric(float64(bytes), "stored-bytes")
		})
	}
}
