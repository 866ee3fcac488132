package jobcontrol_test

import (
	"fmt"
	"sort"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/waitestimate"
)

// longAgoMS is how long an owner has scheduled that knows all its VMs.
const longAgoMS = 60_000

// estimate returns the estimate of an owner that has scheduled for a while.
func (fl *fleet) estimate() *workpb.Waits { return fl.estimateOf(fl.ck.Now() - longAgoMS) }

// estimateOf returns the estimate of an owner that began to schedule at startMS.
func (fl *fleet) estimateOf(startMS int64) *workpb.Waits {
	es := waitestimate.New(startMS)
	es.Stored(&workpb.Waits{})
	es.Begin(fl.ck.Now())
	fl.ct.AddWaits(es)
	return es.Row(fl.ck.Now())
}

// submitMany submits jobs of one team with four tasks each.
func (fl *fleet) submitMany(prefix, team string, count int) {
	for at := range count {
		jb := jobOf(fmt.Sprintf("%s%d-%d", prefix, fl.ck.Now(), at), stepOf(4))
		jb.Team = team
		fl.submit(jb)
	}
}

// zonedVM returns a VM whose machine has its name, in a zone.
func zonedVM(id, zone string) *workpb.VM {
	vm := vmOf(id)
	vm.Zone, vm.Machine = zone, "m-"+id
	return vm
}

// zonedVMs returns the four VMs of a test, of which the last one is alone in its zone.
func zonedVMs() []*workpb.VM {
	return []*workpb.VM{zonedVM("a", "z1"), zonedVM("b", "z1"), zonedVM("c", "z1"), zonedVM("d", "z2")}
}

// machinesWith returns the list of machines of these VMs with another row for that of "d".
func machinesWith(row *workpb.Machine) []*workpb.Machine {
	var out []*workpb.Machine
	for _, id := range []string{"a", "b", "c"} {
		out = append(out, &workpb.Machine{Id: "m-" + id, Up: true, Vm: id})
	}
	if row != nil {
		row.Id = "m-d"
		out = append(out, row)
	}
	return out
}

// silent returns a fault that keeps a VM from answering for some time.
func silent(forMS int64) func(*fleet) {
	return func(fl *fleet) {
		fl.unresponsive["c"] = true
		fl.ct.HandlePoll("c", fl.ck.Now(), nil, workpb.Verdict_NOT_SENT)
		fl.run(forMS)
	}
}

// listed returns a fault that shows in the list of machines.
func listed(row *workpb.Machine) func(*fleet) {
	return func(fl *fleet) {
		fl.run(100)
		fl.ct.SetMachines(fl.ck.Now(), machinesWith(row))
	}
}

// Guards against refusals after the loss of VMs or of the owner: VMs that will serve again at once must count as capacity, and only those that are known to be gone must not.
func TestCapacityOfVMsThatMayServeAgainCounts(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault func(fl *fleet)
		room  int64
	}{
		{"undisturbed", func(*fleet) {}, 32_000},
		{"silent for less than the run lease", silent(4000), 32_000},
		{"silent for the run lease", silent(5100), 24_000},
		{"a third of the VMs answers no order", func(fl *fleet) {
			fl.loseAnswer = func(od *workpb.Order) bool { return od.GetVm() == "d" }
			fl.submitMany("doubt", "t", 8)
			fl.run(100)
		}, 32_000},
		{"not polled by a new owner", func(fl *fleet) {
			fl.newOwner()
			fl.setRules(weightedRules(0))
		}, 32_000},
		{"restarted", func(fl *fleet) {
			fl.ck.Advance(100)
			fl.workers["d"].Restart()
			fl.ct.SetVM(proto.Clone(fl.workers["d"].VM()).(*workpb.VM))
		}, 32_000},
		{"draining", func(fl *fleet) {
			vm := zonedVM("d", "z2")
			vm.Draining = true
			fl.ct.SetVM(vm)
		}, 24_000},
		{"unregistered", func(fl *fleet) { fl.ct.DropVM("d") }, 24_000},
		{"cordoned for maintenance", func(fl *fleet) { fl.ct.Cordon("d", true) }, 24_000},
		{"about to move", func(fl *fleet) { fl.ct.ReleaseVM("d") }, 24_000},
		{"cordoned for another pool, which it may not reach", func(fl *fleet) { fl.ct.CordonForMove(map[string]bool{"d": true}) }, 32_000},
		{"machine up", listed(&workpb.Machine{Up: true, Vm: "d"}), 32_000},
		{"machine down", listed(&workpb.Machine{Down: true}), 24_000},
		{"machine moving", listed(&workpb.Machine{Moving: true}), 24_000},
		{"machine in maintenance", listed(&workpb.Machine{InUpkeep: true}), 24_000},
		{"machine missing from one list", listed(nil), 32_000},
		{"machine down and up again", func(fl *fleet) {
			listed(&workpb.Machine{Down: true})(fl)
			listed(&workpb.Machine{Up: true, Vm: "d"})(fl)
		}, 32_000},
		{"machine down in a list older than the last answer", func(fl *fleet) {
			readMS := fl.ck.Now()
			fl.run(7000)
			fl.ct.SetMachines(readMS, machinesWith(&workpb.Machine{Down: true}))
		}, 32_000},
		{"zone evacuated", func(fl *fleet) { fl.ct.SetEvacuatedZones(map[string]bool{"z2": true}) }, 24_000},
		{"zone cut off", func(fl *fleet) {
			fl.unresponsive["d"] = true
			fl.run(7000)
		}, 24_000},
		{"long-running tasks", func(fl *fleet) {
			fl.submit(jobOf("l", &workpb.Step{Count: 3, CpuMilli: 1000, MemoryMb: 100, Lasting: true}))
			fl.run(200)
		}, 29_000},
	} {
		fl := newFleet(t, zonedVMs()...)
		fl.allowDuplicates = true
		fl.setRules(weightedRules(0))
		fl.setBehavior(60_000, workpb.End_END_DONE)
		// A run on each VM makes all of them be polled often.
		fl.submit(jobOf("runs", &workpb.Step{Count: 4, CpuMilli: 1000, MemoryMb: 100, EstimateMs: 800, MaxPerVm: 1}))
		fl.run(500)
		tc.fault(fl)
		fl.submitMany("j", "t", 60)
		row := fl.estimate()
		qt.Assert(t, len(row.GetServices()), qt.Equals, 1, qt.Commentf(tc.name))
		qt.Check(t, row.GetServices()[0].GetRoomMilli(), qt.Equals, tc.room, qt.Commentf(tc.name))
	}
}

// Guards against an estimate by an owner that doesn't know yet what runs where, and against none while machines keep coming.
func TestNewOwnerWaitsForItsVMs(t *testing.T) {
	for _, tc := range []struct {
		name    string
		fault   func(fl *fleet)
		afterMS int64
		listed  bool
	}{
		{"all answer", func(*fleet) {}, 3000, true},
		{"within three seconds", func(*fleet) {}, 2900, false},
		{"one has been silent for less than the run lease", func(fl *fleet) { fl.unresponsive["a"] = true }, 4800, false},
		{"one has been silent for the run lease", func(fl *fleet) { fl.unresponsive["a"] = true }, 5200, true},
		{"one is draining without an answer", func(fl *fleet) {
			fl.unresponsive["a"] = true
			vm := zonedVM("a", "z1")
			vm.Draining = true
			fl.ct.SetVM(vm)
		}, 3000, true},
	} {
		fl := newFleet(t, zonedVMs()...)
		fl.setRules(weightedRules(0))
		startMS := fl.ck.Now()
		tc.fault(fl)
		fl.run(tc.afterMS)
		fl.submitMany("j", "t", 60)
		qt.Check(t, len(fl.estimateOf(startMS).GetServices()) == 1, qt.Equals, tc.listed, qt.Commentf(tc.name))
		fl.ct.SetVM(zonedVM("new", "z1"))
		qt.Check(t, len(fl.estimateOf(startMS).GetServices()) == 1, qt.Equals, tc.listed, qt.Commentf("%s, and a machine comes", tc.name))
	}
}

// The remaining work of started jobs counts apart from that of jobs that can still be in time; nothing else takes capacity from new jobs.
func TestEstimateDividesWorkByStartAndTeam(t *testing.T) {
	fl := newFleet(t, vmOf("a"))
	fl.setRules(weightedRules(3000))
	fl.setBehavior(60_000, workpb.End_END_DONE)
	late := jobOf("late", stepOf(4))
	late.Queue, late.AcceptedMs = "q", fl.ck.Now()-10_000
	fl.ct.Submit(late)
	started := jobOf("started", stepOf(3), stepOf(5, 0))
	started.Team = "u"
	fills := jobOf("fills", &workpb.Step{Count: 4, CpuMilli: 1000, MemoryMb: 100, EstimateMs: 800, Fills: true})
	fl.submit(started)
	fl.submit(fills)
	for _, wk := range fl.workers {
		wk.Percent = 0
	}
	fl.run(200)
	for _, team := range []string{"t", "u", ""} {
		fl.submitMany("waits"+team, team, 10)
	}
	row := fl.estimate()
	qt.Assert(t, len(row.GetServices()), qt.Equals, 1)
	sv := row.GetServices()[0]
	qt.Check(t, sv.GetService(), qt.Equals, "s")
	// A task of the team within its cap of 3 cores may have started beside the other team's.
	qt.Check(t, sv.GetBegunCoreMs() >= 8*800*9/10 && sv.GetBegunCoreMs() <= 12*800, qt.IsTrue, qt.Commentf("%d core-milliseconds begun", sv.GetBegunCoreMs()))
	qt.Assert(t, len(sv.GetTeams()), qt.Equals, 3)
	for at, team := range []string{"", "t", "u"} {
		tw := sv.GetTeams()[at]
		qt.Check(t, tw.GetTeam(), qt.Equals, team)
		qt.Check(t, tw.GetWaitingCoreMs(), qt.Equals, int64(10*4*800), qt.Commentf(team))
	}
	qt.Check(t, sv.GetTeams()[1].GetCapMilli(), qt.Equals, int64(3000))
	qt.Check(t, sv.GetTeams()[2].GetUsedMilli(), qt.Equals, int64(3000))
}

// Guards against a wait for work that doesn't go first: of a begun job that is late, or whose queue has no objective, only the tasks that run keep capacity from a new job; the others start after it.
func TestWaitingTasksOfLateJobsDontGoAheadOfNewOnes(t *testing.T) {
	for _, tc := range []struct {
		name    string
		ageMS   int64
		stretch float64
	}{
		{"late", 20_000, 1.6},
		{"no objective", 0, 0},
	} {
		fl := newFleet(t, vmOf("a"))
		rules := weightedRules(0)
		rules.Queues = append(rules.Queues, &workpb.Queue{Name: "batch", Service: "s", MaxAttempts: 3, Stretch: tc.stretch})
		fl.setRules(rules)
		fl.setBehavior(60_000, workpb.End_END_DONE)
		batch := jobOf("batch", stepOf(500))
		batch.Queue, batch.AcceptedMs = "batch", fl.ck.Now()-tc.ageMS
		fl.ct.Submit(batch)
		for _, wk := range fl.workers {
			wk.Percent = 0
		}
		fl.run(200)
		qt.Check(t, fl.estimate() == nil, qt.IsTrue, qt.Commentf(tc.name))
		fl.submitMany("new", "u", 4)
		row := fl.estimate()
		qt.Assert(t, len(row.GetServices()), qt.Equals, 1, qt.Commentf(tc.name))
		qt.Check(t, row.GetServices()[0].GetBegunCoreMs(), qt.Equals, int64(8*800), qt.Commentf(tc.name))
	}
}

// Guards against refusals beside free VMs: tasks that only one VM can run wait for it while the others are idle.
func TestWorkForOneVMMakesNobodyWaitBesideFreeVMs(t *testing.T) {
	special, accelerated := stepOf(4), stepOf(4)
	special.Label, accelerated.Accelerators = "special", 1
	for _, tc := range []struct {
		name   string
		step   *workpb.Step
		listed bool
	}{{"label", special, false}, {"accelerators", accelerated, false}, {"any VM", stepOf(4), true}} {
		vms := zonedVMs()
		vms[0].Labels, vms[0].Accelerators = append(vms[0].Labels, "special"), 8
		fl := newFleet(t, vms...)
		fl.setRules(weightedRules(0))
		fl.run(100)
		for at := range 60 {
			fl.submit(jobOf(fmt.Sprintf("j%d", at), tc.step))
		}
		fl.run(100)
		qt.Check(t, len(fl.estimate().GetServices()) > 0, qt.Equals, tc.listed, qt.Commentf(tc.name))
	}
}

// Guards against counting work on a VM that doesn't count itself: the rest of the pool would seem to have more to do than it has.
func TestWorkCountsOnlyWithTheCapacityThatItUses(t *testing.T) {
	fl := newFleet(t, zonedVMs()...)
	fl.setRules(weightedRules(0))
	fl.setBehavior(60_000, workpb.End_END_DONE)
	for _, wk := range fl.workers {
		wk.Percent = 0
	}
	fl.submit(jobOf("started", stepOf(32)))
	fl.run(500)
	fl.submitMany("j", "t", 60)
	all := fl.estimate().GetServices()[0]
	fl.ct.SetEvacuatedZones(map[string]bool{"z2": true})
	without := fl.estimate().GetServices()[0]
	qt.Check(t, all.GetBegunCoreMs(), qt.Equals, 4*without.GetBegunCoreMs()/3)
}

// Guards against a change for operators whose rules don't ask for refusals.
func TestOnlyQueuesWithAnObjectiveUnderWeightsAreListed(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(rules *workpb.Rules)
		listed bool
	}{
		{"both", func(*workpb.Rules) {}, true},
		{"no weights", func(rules *workpb.Rules) {
			for _, tm := range rules.GetTeams() {
				tm.Weight = 0
			}
		}, false},
		{"public queue", func(rules *workpb.Rules) { rules.Queues[0].Public = true }, false},
		{"no stretch", func(rules *workpb.Rules) { rules.Queues[0].Stretch = 0 }, false},
		{"no target", func(rules *workpb.Rules) { rules.Queues[0].TargetMs = 0 }, false},
	} {
		fl := newFleet(t, zonedVMs()...)
		rules := weightedRules(0)
		tc.change(rules)
		fl.setRules(rules)
		fl.run(100)
		fl.submitMany("j", "t", 60)
		qt.Check(t, len(fl.estimate().GetServices()) == 1, qt.Equals, tc.listed, qt.Commentf(tc.name))
	}
}

// Guards against estimates by the caps and weights of an earlier configuration.
func TestLoweredCapAndWeightCountInTheNextEstimate(t *testing.T) {
	fl := newFleet(t, zonedVMs()...)
	fl.setRules(weightedRules(20_000))
	for range 30 {
		fl.submitMany("t", "t", 2)
		fl.submitMany("u", "u", 2)
		fl.run(100)
	}
	levelOf := func(team string) (level int32, capMilli int64) {
		for _, tw := range fl.estimate().GetServices()[0].GetTeams() {
			if tw.GetTeam() == team {
				return tw.GetShareLevel(), tw.GetCapMilli()
			}
		}
		t.Fatalf("team %s isn't listed", team)
		return 0, 0
	}
	level, capMilli := levelOf("t")
	qt.Check(t, level, qt.Equals, int32(0))
	qt.Check(t, capMilli, qt.Equals, int64(20_000))
	lowered := weightedRules(10_000)
	lowered.Teams[0].Weight = 0.2
	fl.setRules(lowered)
	fl.run(stepMS)
	level, capMilli = levelOf("t")
	qt.Check(t, level >= 1, qt.IsTrue, qt.Commentf("level %d", level))
	qt.Check(t, capMilli, qt.Equals, int64(10_000))
}

// Guards against a wait for all teams where one waits only for its cap, beside free VMs and long work that has begun.
func TestTeamAtItsCapMakesNobodyWaitBesideFreeVMs(t *testing.T) {
	for _, tc := range []struct {
		name     string
		capMilli int64
		listed   bool
	}{
		{"no cap", 0, true},
		{"a cap", 4000, false},
	} {
		fl := newFleet(t, zonedVMs()...)
		fl.setRules(weightedRules(tc.capMilli))
		fl.setBehavior(60_000, workpb.End_END_DONE)
		long := jobOf("long", &workpb.Step{Count: 16, CpuMilli: 1000, MemoryMb: 100, EstimateMs: 60_000})
		long.Team = "u"
		fl.submit(long)
		fl.submitMany("t", "t", 60)
		fl.run(200)
		qt.Check(t, len(fl.estimate().GetServices()) == 1, qt.Equals, tc.listed, qt.Commentf(tc.name))
	}
}

// loadResult is what a load of some seconds led to.
type loadResult struct {
	estimates, listed int
	// firstListedMS is the time from the start of the load to the first estimate that listed the service.
	firstListedMS int64
	last          *workpb.ServiceWait
	// waitingMS sums each team's waiting work over all estimates.
	waitingMS map[string]int64
	// freeMilli is the largest free capacity beside which the service was listed.
	freeMilli int64
}

// load submits jobs of 3.2 core-seconds at intervals for each team and takes an estimate every 300 ms; jobs declare declaredMS for tasks of 800 ms.
func (fl *fleet) load(forMS, declaredMS int64, intervalMS map[string]int64) loadResult {
	const (
		tickMS    = 20
		staggerMS = 60
	)
	var teams []string
	for team := range intervalMS {
		teams = append(teams, team)
	}
	sort.Strings(teams)
	out := loadResult{firstListedMS: -1, waitingMS: map[string]int64{}}
	startMS := fl.ck.Now()
	for atMS := int64(0); atMS < forMS; atMS += tickMS {
		for at, team := range teams {
			interval := intervalMS[team]
			if (atMS+int64(at)*staggerMS)%interval != 0 {
				continue
			}
			jb := jobOf(fmt.Sprintf("%s-%d", team, fl.ck.Now()), stepOf(4))
			jb.Team = team
			jb.Steps[0].EstimateMs = declaredMS
			fl.submit(jb)
		}
		fl.run(tickMS)
		if atMS%300 != 0 {
			continue
		}
		out.estimates++
		if row := fl.estimate(); len(row.GetServices()) > 0 {
			out.listed++
			out.last = row.GetServices()[0]
			if out.firstListedMS < 0 {
				out.firstListedMS = fl.ck.Now() - startMS
			}
			running := 0
			for id := range fl.workers {
				running += fl.ct.Load(id)
			}
			out.freeMilli = max(out.freeMilli, int64(len(fl.workers)*8000-running*1000))
			for _, tw := range out.last.GetTeams() {
				out.waitingMS[tw.GetTeam()] += tw.GetWaitingCoreMs()
			}
		}
	}
	return out
}

// Guards against an estimate that doesn't see an overload, or sees one where there is none; also where the declared work is off by ten times, nothing may be listed while VMs are free. The four VMs complete ten jobs a second.
func TestEstimateFollowsTheLoad(t *testing.T) {
	for _, tc := range []struct {
		name       string
		declaredMS int64
		intervalMS map[string]int64
		listed     bool
	}{
		{"half of what fits", 800, map[string]int64{"t": 400, "u": 400}, false},
		{"twice what fits", 800, map[string]int64{"t": 100, "u": 100}, true},
		{"half of what fits, ten times declared", 8000, map[string]int64{"t": 400, "u": 400}, false},
		{"twice what fits, ten times declared", 8000, map[string]int64{"t": 100, "u": 100}, true},
		{"half of what fits, a tenth declared", 80, map[string]int64{"t": 400, "u": 400}, false},
	} {
		fl := newFleet(t, zonedVMs()...)
		fl.setRules(weightedRules(0))
		fl.setBehavior(800, workpb.End_END_DONE)
		rs := fl.load(6000, tc.declaredMS, tc.intervalMS)
		if !tc.listed {
			qt.Check(t, rs.listed, qt.Equals, 0, qt.Commentf(tc.name))
			continue
		}
		qt.Check(t, rs.listed*2 >= rs.estimates, qt.IsTrue, qt.Commentf("%s: listed in %d of %d estimates", tc.name, rs.listed, rs.estimates))
		qt.Check(t, rs.firstListedMS <= 2000, qt.IsTrue, qt.Commentf("%s: first listed after %d ms", tc.name, rs.firstListedMS))
		qt.Check(t, rs.freeMilli <= 4000, qt.IsTrue, qt.Commentf("%s: listed with %d free", tc.name, rs.freeMilli))
		qt.Check(t, rs.last.GetRoomMilli(), qt.Equals, int64(32_000), qt.Commentf(tc.name))
	}
}

// Guards against blaming the calm teams for another one's burst: the team at five times its usual load must be the one above its share, and hold nearly all of the waiting work.
func TestBurstOfOneTeamShowsInItsLevelAndWork(t *testing.T) {
	fl := newFleet(t, zonedVMs()...)
	rules := weightedRules(0)
	rules.Teams = []*workpb.Team{{Name: "hot", Weight: 1}}
	usual := map[string]int64{"hot": 700}
	for at := range 4 {
		name := fmt.Sprintf("calm-%d", at)
		rules.Teams = append(rules.Teams, &workpb.Team{Name: name, Weight: 1})
		usual[name] = 700
	}
	fl.setRules(rules)
	fl.setBehavior(800, workpb.End_END_DONE)
	before := fl.load(3000, 800, usual)
	qt.Check(t, before.listed, qt.Equals, 0)
	usual["hot"] = 140
	during := fl.load(6000, 800, usual)
	qt.Assert(t, during.listed > 0, qt.IsTrue)
	for _, tw := range during.last.GetTeams() {
		qt.Check(t, tw.GetShareLevel() >= 1, qt.Equals, tw.GetTeam() == "hot", qt.Commentf("%s at level %d", tw.GetTeam(), tw.GetShareLevel()))
	}
	hot, calm := during.waitingMS["hot"], int64(0)
	for team, sum := range during.waitingMS {
		if team != "hot" {
			calm += sum
		}
	}
	qt.Check(t, hot >= 3*calm, qt.IsTrue, qt.Commentf("%d core-milliseconds of the hot team wait, %d of the calm ones", hot, calm))
}
