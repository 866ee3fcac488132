package jobcontrol_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/configuration/rulesindex"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

const (
	oddSeeds = 60
	oddSteps = 150
)

// oddSource draws values that no VM, row or service should send.
type oddSource struct{ rd *rand.Rand }

func (os oddSource) number() int64 {
	return []int64{math.MinInt64, math.MinInt64 + 1, -1 << 31, -1, 0, 1, 2, 50, 100, 1 << 31, math.MaxInt64 - 1, math.MaxInt64}[os.rd.IntN(12)]
}

func (os oddSource) small() int32 {
	return []int32{math.MinInt32, -1, 0, 1, 2, 7, math.MaxInt32}[os.rd.IntN(7)]
}

func (os oddSource) text() string {
	return []string{
		"", ".", "j1", "j1.0.0.0", "j1.0.0.1", "j1.0.1.0", "j2.0.0.0", "j1.-1.0.0", "j1.0.-1.0", "j1.0.9.0", "j1.0.0.99999",
		"j1.99999999999999999999.0.0", "j1.9223372036854775807.0.0", "nobody.0.0.0", "a", "odd", "\x00\xff",
	}[os.rd.IntN(17)]
}

func (os oddSource) look() *workpb.Look {
	if os.rd.IntN(8) == 0 {
		return nil
	}
	lk := &workpb.Look{BornMs: os.number(), ClockMs: os.number()}
	for range os.rd.IntN(4) {
		lk.Running = append(lk.Running, &workpb.RunningRun{Task: os.text(), Run: os.number(), Checkpoint: os.text(), Percent: os.number(), Gauge: os.number()})
	}
	for range os.rd.IntN(4) {
		lk.Ended = append(lk.Ended, &workpb.EndedRun{Number: os.number(), Task: os.text(), Run: os.number(), End: workpb.End(os.small()), Checkpoint: os.text()})
	}
	return lk
}

func (os oddSource) vm() *workpb.VM {
	return &workpb.VM{
		Id: "odd", Service: "s", Address: os.text(), Zone: os.text(), Rack: os.text(), Machine: os.text(), Labels: []string{os.text()},
		BornMs: os.number(), CpuMilli: os.number(), MemoryMb: os.number(), Accelerators: os.number(), Draining: os.rd.IntN(4) == 0,
	}
}

func (os oddSource) machines() []*workpb.Machine {
	list := []*workpb.Machine{{Id: "m-good", Pool: "g", Up: true, Vm: "good", CpuMilli: 8000}}
	for range os.rd.IntN(3) {
		list = append(list, &workpb.Machine{
			Id: os.text(), Pool: os.text(), Vm: os.text(), Zone: os.text(), CpuMilli: os.number(),
			Up: os.rd.IntN(2) == 0, InUpkeep: os.rd.IntN(2) == 0, Moving: os.rd.IntN(2) == 0, Down: os.rd.IntN(2) == 0,
		})
	}
	return list
}

func (os oddSource) progress() *workpb.Progress {
	pg := &workpb.Progress{Id: "j1", State: workpb.State(os.rd.IntN(3)), Hosts: []*workpb.Host{{Vm: os.text(), Address: os.text(), Zone: os.text()}}}
	for range os.rd.IntN(5) {
		tr := &workpb.Task{
			Occurrence: os.small(), Step: os.small(), Index: os.small(), Run: os.number(), Failures: os.small(), Phase: workpb.Phase(os.small()),
			Host: os.small(), Vm: os.text(), Machine: os.text(), Settled: os.rd.IntN(2) == 0, Checkpoint: os.text(),
		}
		tr.Replaced = []*workpb.EarlierRun{{Run: os.number(), Host: os.small()}}
		tr.GivenUp = []*workpb.EarlierRun{{Run: os.number(), Host: os.small()}}
		pg.Tasks = append(pg.Tasks, tr)
	}
	return pg
}

func (os oddSource) advice() *workpb.Advice {
	if os.rd.IntN(4) == 0 {
		return nil
	}
	return &workpb.Advice{Tickets: map[string]string{os.text(): os.text(), "odd": "x"}, ValidMs: os.number()}
}

func (os oddSource) rules() *workpb.Rules {
	weights := []float64{math.Inf(1), math.NaN(), -1, 0, 1, math.MaxFloat64}
	ru := testRules()
	ru.Queues[0].Advised = os.rd.IntN(2) == 0
	ru.Queues[0].Stretch, ru.Queues[0].TargetMs, ru.Queues[0].MaxAttempts = weights[os.rd.IntN(6)], os.number(), os.small()
	ru.Teams[0].Weight, ru.Teams[0].CapCpuMilli = weights[os.rd.IntN(6)], os.number()
	ru.Queues = append(ru.Queues, &workpb.Queue{Name: "g", Service: "g", MaxAttempts: 3, Stretch: 1.6, TargetMs: 600}, &workpb.Queue{Name: os.text(), Service: os.text()})
	ru.Services = append(ru.Services, &workpb.Service{Name: "g"}, &workpb.Service{Name: os.text(), Guarded: true})
	return ru
}

// disturb gives the controller one odd input.
func (os oddSource) disturb(fl *fleet) {
	switch os.rd.IntN(8) {
	case 0:
		fl.ct.SetVM(os.vm())
	case 1:
		fl.ct.SetMachines(fl.ck.Now()+min(max(os.number(), -1000), 1000), os.machines())
	case 2:
		fl.ct.SetRules(rulesindex.New(os.rules()))
	case 3:
		fl.ct.Cancel(os.text())
	case 4:
		fl.ct.HandleOutcome(&workpb.Order{Verb: workpb.Verb(os.small()), Vm: "odd", Task: os.text(), Run: os.number(), Token: os.number(), LeaseUntilMs: os.number()}, &workpb.Outcome{Verdict: workpb.Verdict(os.small()), ClockMs: os.number()})
	case 5:
		fl.ct.DropVM(os.text())
	default:
		fl.ct.HandlePoll("odd", fl.ck.Now(), os.look(), workpb.Verdict(max(os.rd.IntN(12)-6, 0)))
	}
}

// step lets the controller act on the odd VM's answers and serves the good one.
func (os oddSource) step(fl *fleet) {
	os.disturb(fl)
	for _, lr := range fl.ct.DuePolls() {
		if wk := fl.workers[lr.GetVm()]; wk != nil {
			lk, vd := wk.Poll(lr)
			fl.ct.HandlePoll(lr.GetVm(), fl.ck.Now(), lk, vd)
			continue
		}
		fl.ct.HandlePoll(lr.GetVm(), fl.ck.Now(), os.look(), workpb.Verdict_ACCEPTED)
	}
	orders := fl.ct.ConfirmStored(fl.ct.Plan(true))
	for _, od := range append(orders, fl.ct.Outbox()...) {
		oc := &workpb.Outcome{Verdict: workpb.Verdict(os.rd.IntN(12)), ClockMs: os.number()}
		if wk := fl.workers[od.GetVm()]; wk != nil {
			oc = wk.Answer(od)
		}
		fl.ct.HandleOutcome(od, oc)
	}
	for _, rq := range fl.ct.AdviceRequests() {
		fl.ct.HandleAdvice(rq, fl.ck.Now(), os.advice())
	}
	_, _ = fl.ct.Demands(), fl.ct.Pending()
	fl.ck.Advance(50)
}

// Whatever one VM, the advice service, the machine API or a row of progress says, the owner's process must go on, and a job on a sound VM must be completed.
func TestOddInputsDoNotStopTheController(t *testing.T) {
	for seed := range uint64(oddSeeds) {
		os := oddSource{rand.New(rand.NewPCG(seed, 1))}
		good := vmOf("good")
		good.Service, good.Machine = "g", "m-good"
		fl := newFleet(t, good)
		fl.setBehavior(200, workpb.End_END_DONE)
		fl.setRules(os.rules())
		steps := []*workpb.Step{{Count: 2, CpuMilli: 100, EstimateMs: 100}, {Count: 1, CpuMilli: 100, After: []int32{0}, Gang: os.rd.IntN(2) == 0}}
		fl.ct.Restore(&workpb.Job{Id: "j1", Queue: "q", Team: "t", Steps: steps}, []*workpb.Progress{os.progress()})
		fl.ct.Submit(&workpb.Job{Id: "j2", Queue: "q", Team: "t", Steps: steps, Occurrences: 3, FirstDueMs: os.number(), PeriodMs: os.number()})
		fl.ct.SetVM(proto.Clone(good).(*workpb.VM))
		fl.ct.Submit(&workpb.Job{Id: "sound", Queue: "g", AcceptedMs: fl.ck.Now(), Steps: []*workpb.Step{{Count: 3, CpuMilli: 1000, EstimateMs: 200}}})
		var ended []string
		for range oddSteps {
			os.step(fl)
			ended = append(ended, fl.ct.Ended()...)
		}
		qt.Check(t, slices.Contains(ended, "sound"), qt.IsTrue, qt.Commentf("seed %d", seed))
	}
}

// Guards against calls to whatever another writer names in a registration: a VM of a service that the rules don't name is used once they do.
func TestVMOfAnUnnamedServiceIsNotCalled(t *testing.T) {
	odd := vmOf("odd")
	odd.Service = "u"
	fl := newFleet(t, vmOf("a"), odd)
	polls := 0
	fl.beforePoll = func(lr *workpb.LookRequest) {
		if lr.GetVm() == "odd" {
			polls++
		}
	}
	fl.submit(jobOf("j1", stepOf(12)))
	fl.run(8000)
	qt.Check(t, fl.state("j1"), qt.Equals, workpb.State_COMPLETED)
	qt.Check(t, polls, qt.Equals, 0)
	rules := testRules()
	rules.Services = append(rules.Services, &workpb.Service{Name: "u"})
	fl.setRules(rules)
	fl.run(100)
	qt.Check(t, polls > 0, qt.IsTrue)
}
