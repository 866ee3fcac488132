package scheduler_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/observability/event"
	"github.com/fulmarloft/fulmarloft/internal/observability/metric"
	"github.com/fulmarloft/fulmarloft/internal/pb/jobpb"
	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/job"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/scheduler"
	"github.com/fulmarloft/fulmarloft/internal/store/table"
	"github.com/fulmarloft/fulmarloft/pkg/team"
)

// benchLoad is a scheduler whose table and workers answer at once; it counts the calls that the scheduler makes.
type benchLoad struct {
	ck      *clock.Clock
	sc      *scheduler.Scheduler
	rows    []*platformpb.Row
	sends   int
	polls   int
	commits int
}

func newBenchLoad(workers int) *benchLoad {
	ld := &benchLoad{ck: clock.NewFake(startMS)}
	vms := &platformpb.VMList{AsOfMs: 1}
	conds := map[string]*platformpb.Condition{}
	for i := range workers {
		name := fmt.Sprintf("worker-%05d", i)
		vms.Vms = append(vms.Vms, &platformpb.VM{Name: name, Zone: fmt.Sprintf("zone-%d", i/4%28), Rack: fmt.Sprintf("rack-%d", i/4), Kind: "worker", Cores: 32, MemoryMb: 65536, Accelerators: 2})
		conds[name] = &platformpb.Condition{Key: "vm/" + name, Version: 1}
	}
	var teams []team.Team
	for i := range 79 {
		teams = append(teams, jobTeam(fmt.Sprintf("team-%d", i), 1+i%5, 1<<20))
	}
	ld.sc = &scheduler.Scheduler{
		Clock: ld.ck, Table: table.New(ld.commit, ld.read), Log: event.Discard(), Metric: metric.New(), Incarnation: "entry-1", Parallel: 1,
		Held:      func() bool { return true },
		Teams:     func() ([]team.Team, bool) { return teams, true },
		Timing:    func() (int64, int64) { return 30000, retentionMS },
		Fleet:     func() *platformpb.VMList { return vms },
		Condition: func(vm string) *platformpb.Condition { return conds[vm] },
		Draining:  func(string) bool { return false },
		Send:      ld.send, Reports: ld.reports,
	}
	return ld
}

func (ld *benchLoad) commit(_ context.Context, req *platformpb.CommitRequest) (*platformpb.CommitReply, error) {
	ld.commits++
	rep := &platformpb.CommitReply{Committed: true}
	for _, wr := range req.GetWrites() {
		rep.Rows = append(rep.Rows, &platformpb.Row{Key: wr.GetKey(), Version: 2})
	}
	return rep, nil
}

func (ld *benchLoad) read(_ context.Context, req *platformpb.ReadRequest) (*platformpb.ReadReply, error) {
	if len(req.GetPrefixes()) == 2 {
		return &platformpb.ReadReply{Rows: ld.rows}, nil
	}
	return &platformpb.ReadReply{}, nil
}

func (ld *benchLoad) send(_ context.Context, _ string, tk *platformpb.Task) (*platformpb.TaskReport, error) {
	ld.sends++
	return &platformpb.TaskReport{Run: tk.GetRun(), Epoch: tk.GetEpoch(), State: job.ReportRunning, UsedCores: tk.GetCores(), UsedMemoryMb: tk.GetMemoryMb()}, nil
}

func (ld *benchLoad) reports(context.Context, string) (*platformpb.TaskReports, error) {
	ld.polls++
	return &platformpb.TaskReports{}, nil
}

func (ld *benchLoad) queueJobs(b *testing.B, count int) {
	for n := range count {
		row := &jobpb.JobRow{
			Id: fmt.Sprintf("job-%06d", n), Team: fmt.Sprintf("team-%d", n%79), CoresMilli: 4000, MemoryMb: 4096, RunMs: 3600000,
			Idempotent: n%2 == 0, SubmittedMs: startMS, IssuedMs: startMS, Operation: "submit-1",
		}
		raw, err := job.New(row).Bytes()
		if err != nil {
			b.Fatal(err)
		}
		ld.rows = append(ld.rows, &platformpb.Row{Key: "job/" + row.GetId(), Version: 1, Value: raw, Operation: "submit-1"})
	}
}

// BenchmarkStep measures a step with one running job per worker, in which leases are renewed and workers are polled.
func BenchmarkStep(b *testing.B) {
	for _, workers := range []int{50, 2000, 22000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			before := heapBytes()
			ld := newBenchLoad(workers)
			ld.queueJobs(b, workers)
			for range workers/200 + 2 {
				_ = ld.sc.Step(context.Background())
				ld.ck.Advance(scheduler.StepMS)
			}
			ld.rows = nil
			used := heapBytes() - before
			ld.sends, ld.polls = 0, 0
			b.ResetTimer()
			for range b.N {
				_ = ld.sc.Step(context.Background())
				ld.ck.Advance(scheduler.StepMS)
			}
			b.ReportMetric(float64(used)/float64(workers), "bytes/worker-and-job")
			b.ReportMetric(float64(ld.sends)/float64(b.N), "orders/op")
			b.ReportMetric(float64(ld.polls)/float64(b.N), "polls/op")
			runtime.KeepAlive(ld)
		})
	}
}

// BenchmarkStart measures a complete job start: selection of job and worker, the batched commit and the start command.
func BenchmarkStart(b *testing.B) {
	const jobs = 2560
	for _, workers := range []int{2000, 22000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			for range b.N {
				b.StopTimer()
				ld := newBenchLoad(workers)
				ld.queueJobs(b, jobs)
				_ = ld.sc.Step(context.Background())
				ld.commits, ld.sends = 0, 0
				b.StartTimer()
				for ld.sends < jobs-512 {
					_ = ld.sc.Step(context.Background())
				}
				b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/float64(ld.sends), "us/start")
				b.ReportMetric(float64(ld.commits)/float64(ld.sends), "commits/start")
			}
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var st runtime.MemStats
	runtime.ReadMemStats(&st)
	return int64(st.HeapAlloc)
}
