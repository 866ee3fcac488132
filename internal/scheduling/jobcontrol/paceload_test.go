package jobcontrol_test

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/testbed/workertest"
)

// paceLoad is a load on a pool whose VMs or tasks differ in speed.
type paceLoad struct {
	name string
	// slowVMs of the twelve VMs are four times slower, until recoverMS if that isn't 0.
	slowVMs   int
	recoverMS int64
	// rotateMS is the interval at which other VMs become slow, 0 if they stay the same.
	rotateMS int64
	// longOneIn makes one task in so many seven times longer.
	longOneIn int
	// longRunOneIn makes one run in so many seven times longer, whatever its task.
	longRunOneIn int
	// estimatesOff makes estimates up to nine tenths too low or too high.
	estimatesOff bool
	duplicates   bool
	saves        bool
	// everyMS is the interval between jobs.
	everyMS int64
	seed    uint64
	// Bounds of what callers get and what is thrown away: mean and jobs in time relative to those without what is learned.
	maxMeanPercent, maxWastedPercent int64
	minInTimePercent                 int
}

const (
	loadVMs         = 12
	loadJobs        = 150
	loadSeed        = 7
	loadWorkMS      = 1200
	longFactor      = 7
	paceLoadStretch = 1.6
)

// paceResult is what the callers of a load get, and what it costs.
type paceResult struct {
	meanMS, p95MS int64
	inTime        int
	ended         int
	// wastedPercent is the part of the processor time that went to runs whose work was thrown away.
	wastedPercent int64
	runs          int
}

func (lr paceResult) String() string {
	return fmt.Sprintf("mean %d ms, p95 %d ms, %d of %d in time, %d%% of the work thrown away, %d runs", lr.meanMS, lr.p95MS, lr.inTime, lr.ended, lr.wastedPercent, lr.runs)
}

// pacedRules are rules under which what is learned of VMs and work decides.
func pacedRules() *workpb.Rules {
	rules := testRules()
	rules.Teams[0].Weight = 1
	rules.Teams[0].CapCpuMilli = 0
	return rules
}

// loadRunner plays a load and adds up its results.
type loadRunner struct {
	ld          paceLoad
	fl          *fleet
	rg          *rand.Rand
	lengths     map[string]int64
	startedMS   map[string]int64
	objectiveMS map[string]int64
	tookMS      []int64
	open        map[string]bool
	usedMS      int64
	wastedMS    int64
	res         paceResult
	done        map[string]bool
}

func playLoad(t *testing.T, ld paceLoad, paced bool) paceResult {
	var vms []*workpb.VM
	for at := range loadVMs {
		vms = append(vms, vmOf(fmt.Sprintf("v%02d", at)))
	}
	rn := &loadRunner{
		ld: ld, fl: newFleet(t, vms...), rg: rand.New(rand.NewPCG(loadSeed, ld.seed)), lengths: map[string]int64{},
		startedMS: map[string]int64{}, objectiveMS: map[string]int64{}, open: map[string]bool{}, done: map[string]bool{},
	}
	rn.fl.allowDuplicates = ld.duplicates
	rules := pacedRules()
	if !paced {
		rules.Teams[0].Weight = 0
	}
	rn.fl.setRules(rules)
	at := 0
	for _, vm := range vms {
		rn.prepare(rn.fl.workers[vm.GetId()], at < ld.slowVMs)
		at++
	}
	rn.play()
	return rn.result()
}

func (rn *loadRunner) prepare(wk *workertest.Worker, slow bool) {
	if slow {
		wk.SlowdownPercent = slowHostPercent
	}
	wk.Saves = func(string) bool { return rn.ld.saves }
	wk.Behave = func(task string, run int64) (int64, workpb.End) { return rn.runLength(task, run), workpb.End_END_DONE }
	wk.Record = func(vm, task string, run int64, started bool, end workpb.End) {
		rn.fl.record(vm, task, run, started, end)
		rn.record(fmt.Sprint(vm, task, run), task, started, end)
	}
}

// runLength returns how long a run of a task takes; it depends on its task and number only, so that loads are alike before and after a change.
func (rn *loadRunner) runLength(task string, run int64) int64 {
	if rn.ld.longRunOneIn > 0 {
		sum := fnv.New64a()
		fmt.Fprint(sum, rn.ld.seed, task, run)
		if sum.Sum64()%uint64(rn.ld.longRunOneIn) == 0 {
			return longFactor * rn.lengths[task]
		}
	}
	return rn.lengths[task]
}

func (rn *loadRunner) record(key, task string, started bool, end workpb.End) {
	nowMS := rn.fl.ck.Now()
	if started {
		rn.startedMS[key] = nowMS
		rn.res.runs++
		return
	}
	spentMS := nowMS - rn.startedMS[key]
	rn.usedMS += spentMS
	if (end != workpb.End_END_DONE && !rn.ld.saves) || rn.done[task] {
		rn.wastedMS += spentMS
	}
	rn.done[task] = rn.done[task] || end == workpb.End_END_DONE
}

// submit submits a job of eight tasks and, after them, two.
func (rn *loadRunner) submit(number int) {
	jb := jobOf(fmt.Sprintf("j%03d", number), stepOf(8), stepOf(2, 0))
	criticalPath := int64(0)
	for at, st := range jb.GetSteps() {
		lengthMS := loadWorkMS * (75 + rn.rg.Int64N(50)) / 100
		st.EstimateMs = lengthMS
		if rn.ld.estimatesOff {
			st.EstimateMs = lengthMS * (10 + rn.rg.Int64N(181)) / 100
		}
		st.Duplicates = rn.ld.duplicates
		criticalPath += lengthMS
		for index := range int(st.GetCount()) {
			tookMS := lengthMS * (85 + rn.rg.Int64N(30)) / 100
			if rn.ld.longOneIn > 0 && rn.rg.IntN(rn.ld.longOneIn) == 0 {
				tookMS *= longFactor
			}
			rn.lengths[fmt.Sprintf("%s.0.%d.%d", jb.GetId(), at, index)] = tookMS
		}
	}
	rn.objectiveMS[jb.GetId()] = int64(paceLoadStretch*float64(criticalPath)) + 600
	rn.open[jb.GetId()] = true
	rn.fl.submit(jb)
}

func (rn *loadRunner) play() {
	beginMS := rn.fl.ck.Now()
	rn.fl.run(200)
	for number := 0; number < loadJobs || len(rn.open) > 0; {
		if nowMS := rn.fl.ck.Now() - beginMS; number < loadJobs && nowMS >= int64(number)*rn.ld.everyMS {
			rn.submit(number)
			number++
		}
		if rn.ld.rotateMS > 0 {
			rn.rotate((rn.fl.ck.Now() - beginMS) / rn.ld.rotateMS)
		}
		if rn.ld.recoverMS > 0 && rn.fl.ck.Now()-beginMS >= rn.ld.recoverMS {
			for _, wk := range rn.fl.workers {
				wk.SlowdownPercent = 100
			}
		}
		rn.fl.run(stepMS)
		for id := range rn.open {
			if rn.fl.state(id) == workpb.State_COMPLETED {
				rn.complete(id)
			}
		}
		if rn.fl.ck.Now()-beginMS > 600_000 {
			rn.fl.t.Fatalf("%d jobs are open after 600 s", len(rn.open))
		}
	}
	rn.fl.run(2000)
}

// rotate makes the VMs of a turn slow, and all others normal.
func (rn *loadRunner) rotate(turn int64) {
	for at := range loadVMs {
		wk := rn.fl.workers[fmt.Sprintf("v%02d", at)]
		wk.SlowdownPercent = 100
		if (at+int(turn)*rn.ld.slowVMs)%loadVMs < rn.ld.slowVMs {
			wk.SlowdownPercent = slowHostPercent
		}
	}
}

func (rn *loadRunner) complete(id string) {
	delete(rn.open, id)
	tookMS := rn.fl.ck.Now() - rn.fl.jobs[id].GetAcceptedMs()
	rn.tookMS = append(rn.tookMS, tookMS)
	rn.res.ended++
	if tookMS <= rn.objectiveMS[id] {
		rn.res.inTime++
	}
}

func (rn *loadRunner) result() paceResult {
	slices.Sort(rn.tookMS)
	sum := int64(0)
	for _, ms := range rn.tookMS {
		sum += ms
	}
	rn.res.meanMS, rn.res.p95MS = sum/int64(len(rn.tookMS)), rn.tookMS[len(rn.tookMS)*95/100]
	rn.res.wastedPercent = rn.wastedMS * 100 / rn.usedMS
	return rn.res
}

// What is learned of VMs and work must serve callers better where VMs are slow, no worse where they aren't, and must throw away little work.
func TestLearnedPaceServesCallersBetter(t *testing.T) {
	for _, ld := range paceLoads() {
		for _, kind := range []string{"", ", saving", ", duplicates"} {
			ld.saves, ld.duplicates = kind == ", saving", kind == ", duplicates"
			before, after := playLoad(t, ld, false), playLoad(t, ld, true)
			figures := qt.Commentf("%s%s\n  before: %v\n  after:  %v", ld.name, kind, before, after)
			t.Log(figures.String())
			qt.Check(t, after.ended, qt.Equals, loadJobs, figures)
			qt.Check(t, after.meanMS*100 <= before.meanMS*ld.maxMeanPercent, qt.IsTrue, figures)
			qt.Check(t, after.inTime >= min(before.inTime*ld.minInTimePercent/100, loadJobs*9/10), qt.IsTrue, figures)
			qt.Check(t, after.wastedPercent <= ld.maxWastedPercent, qt.IsTrue, figures)
		}
	}
}

func paceLoads() []paceLoad {
	out := []paceLoad{
		{name: "all alike", maxMeanPercent: 101, minInTimePercent: 100},
		{name: "a third of the VMs four times slower", slowVMs: 4, maxMeanPercent: 60, minInTimePercent: 200, maxWastedPercent: 5},
		{name: "a third of the VMs four times slower, nearly full", slowVMs: 4, everyMS: 190, maxMeanPercent: 85, minInTimePercent: 120, maxWastedPercent: 15},
		{name: "one task in thirty seven times longer", longOneIn: 30, maxMeanPercent: 103, minInTimePercent: 98, maxWastedPercent: 3},
		{name: "one run in thirty seven times longer", longRunOneIn: 30, maxMeanPercent: 103, minInTimePercent: 98, maxWastedPercent: 10},
		{name: "slow VMs and long tasks", slowVMs: 4, longOneIn: 30, maxMeanPercent: 75, minInTimePercent: 130, maxWastedPercent: 15},
		{name: "slow VMs that recover", slowVMs: 4, recoverMS: 15_000, maxMeanPercent: 85, minInTimePercent: 110, maxWastedPercent: 5},
		{name: "estimates off", estimatesOff: true, maxMeanPercent: 102, minInTimePercent: 99, maxWastedPercent: 1},
		{name: "estimates off, slow VMs and long tasks", estimatesOff: true, slowVMs: 4, longOneIn: 30, maxMeanPercent: 80, minInTimePercent: 110, maxWastedPercent: 15},
	}
	for at := range out {
		out[at].seed = loadSeed
		if out[at].everyMS == 0 {
			out[at].everyMS = 250
		}
	}
	return out
}
