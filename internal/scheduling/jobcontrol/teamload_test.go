package jobcontrol_test

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand"
	"sort"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

// teamLoad is a load of several teams with equal weights on one pool. Jobs have one or two steps of up to 24 tasks, and tasks take between 0.7 and 1.3 times their estimate.
type teamLoad struct {
	seed  int64
	vms   int
	teams int
	// usual is the usual demand of all teams together as a part of the pool's capacity.
	usual float64
	// factor returns a team's demand at a time as a multiple of its usual one.
	factor func(team int, atMS int64) float64
	forMS  int64
	// at is called after each step of the simulation, if it isn't nil.
	at func(fl *fleet, atMS int64)
}

// loadedJob is a job of a load.
type loadedJob struct {
	row        *workpb.Job
	team       int
	atMS       int64
	workCoreMS int64
	limitMS    int64
	inTime     bool
}

const (
	loadStretch  = 1.6
	loadTargetMS = 600
	vmCores      = 8
	// meanJobCoreMS is the mean work of the jobs that newLoadedJob returns.
	meanJobCoreMS = 3900
	// loadEndMS is how long a load runs on after its last job was submitted.
	loadEndMS = 5000
)

// jobs returns the jobs of the load in order of time. A team's jobs don't depend on the other teams' demand.
func (ld teamLoad) jobs() []*loadedJob {
	var out []*loadedJob
	perMS := ld.usual * float64(ld.vms*vmCores) / meanJobCoreMS / float64(ld.teams)
	for team := range ld.teams {
		rng := rand.New(rand.NewSource(ld.seed*1000 + int64(team)))
		atMS := 0.0
		for number := 0; ; number++ {
			atMS += rng.ExpFloat64() / (perMS * ld.factor(team, int64(atMS)))
			if int64(atMS) >= ld.forMS {
				break
			}
			out = append(out, newLoadedJob(rng, team, number, int64(atMS)))
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].atMS < out[j].atMS })
	return out
}

func newLoadedJob(rng *rand.Rand, team, number int, atMS int64) *loadedJob {
	lj := &loadedJob{team: team, atMS: atMS, row: &workpb.Job{Id: fmt.Sprintf("t%02d-%d", team, number), Team: teamName(team)}}
	for at := range 1 + rng.Intn(2) {
		count := int32(min(math.Exp(rng.NormFloat64()*0.9+0.9)+0.5, 24))
		st := stepOf(max(count, 1))
		st.EstimateMs = 400 + rng.Int63n(800)
		if at > 0 {
			st.After = []int32{int32(at - 1)}
		}
		lj.row.Steps = append(lj.row.Steps, st)
		lj.workCoreMS += int64(st.GetCount()) * st.GetEstimateMs()
		lj.limitMS += int64(loadStretch * float64(st.GetEstimateMs()))
	}
	lj.limitMS += loadTargetMS
	return lj
}

func teamName(team int) string { return fmt.Sprintf("team-%02d", team) }

// rules returns rules under which all teams weigh the same.
func (ld teamLoad) rules() *workpb.Rules {
	rules := testRules()
	rules.Queues[0].Stretch, rules.Queues[0].TargetMs = loadStretch, loadTargetMS
	rules.Teams = nil
	for team := range ld.teams {
		rules.Teams = append(rules.Teams, &workpb.Team{Name: teamName(team), Weight: 1})
	}
	return rules
}

// play runs the load and returns its jobs with their outcomes.
func (ld teamLoad) play(t *testing.T) []*loadedJob {
	var vms []*workpb.VM
	for at := range ld.vms {
		vms = append(vms, vmOf(fmt.Sprintf("vm-%02d", at)))
	}
	fl := newFleet(t, vms...)
	fl.setRules(ld.rules())
	list := ld.jobs()
	estimates := map[string]*workpb.Job{}
	for _, wk := range fl.workers {
		wk.Behave = func(task string, _ int64) (int64, workpb.End) { return taskMS(estimates, task), workpb.End_END_DONE }
	}
	open := map[string]*loadedJob{}
	next := 0
	for atMS := int64(0); atMS < ld.forMS+loadEndMS; atMS += stepMS {
		for ; next < len(list) && list[next].atMS <= atMS; next++ {
			estimates[list[next].row.GetId()] = list[next].row
			open[list[next].row.GetId()] = list[next]
			fl.submit(list[next].row)
		}
		fl.run(stepMS)
		for id, lj := range open {
			if fl.state(id) == workpb.State_COMPLETED {
				lj.inTime = atMS+stepMS-lj.atMS <= lj.limitMS
				delete(open, id)
			}
		}
		if ld.at != nil {
			ld.at(fl, atMS)
		}
	}
	return list
}

// taskMS returns how long a task takes.
func taskMS(jobs map[string]*workpb.Job, task string) int64 {
	var id string
	var occurrence, step, index int
	if _, err := fmt.Sscanf(dotsToSpaces(task), "%s %d %d %d", &id, &occurrence, &step, &index); err != nil {
		return 0
	}
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(task))
	return jobs[id].GetSteps()[step].GetEstimateMs() * int64(70+sum.Sum32()%61) / 100
}

func dotsToSpaces(task string) string {
	out := []byte(task)
	for at := range out {
		if out[at] == '.' {
			out[at] = ' '
		}
	}
	return string(out)
}

// rate returns the part of the matching jobs that were in time, and their number.
func rate(list []*loadedJob, match func(*loadedJob) bool) (float64, int) {
	inTime, count := 0, 0
	for _, lj := range list {
		if match(lj) {
			count++
			if lj.inTime {
				inTime++
			}
		}
	}
	return float64(inTime) / float64(max(count, 1)), count
}

func anyJob(*loadedJob) bool { return true }

// ofTeam matches the jobs of a team.
func ofTeam(team int) func(*loadedJob) bool {
	return func(lj *loadedJob) bool { return lj.team == team }
}

// bySize returns the part in time of the largest tenth of the jobs and of the fifth below it.
func bySize(list []*loadedJob) (largest, next float64) {
	sorted := append([]*loadedJob{}, list...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].workCoreMS > sorted[j].workCoreMS })
	largest, _ = rate(sorted[:len(sorted)/10], anyJob)
	next, _ = rate(sorted[len(sorted)/10:len(sorted)*3/10], anyJob)
	return largest, next
}

// constantly returns a factor that is the same for all teams and times.
func constantly(factor float64) func(int, int64) float64 {
	return func(int, int64) float64 { return factor }
}

// hotBeside returns a factor by which the first teams ask for several times their usual demand.
func hotBeside(factors ...float64) func(int, int64) float64 {
	return func(team int, _ int64) float64 {
		if team < len(factors) {
			return factors[team]
		}
		return 1
	}
}

// checkServedAsWithout checks that the jobs that match are in time as often as without the other teams' demand, within a tenth.
func checkServedAsWithout(t *testing.T, with, without []*loadedJob, match func(*loadedJob) bool) {
	t.Helper()
	now, count := rate(with, match)
	before, _ := rate(without, match)
	qt.Check(t, now >= 0.9*before, qt.IsTrue, qt.Commentf("%.3f of %d jobs in time, %.3f without the other teams' demand", now, count, before))
}

const loadSeeds = 3

// Guards against the jobs of nineteen teams being late because one asks for five times its usual amount, with room to spare and without.
func TestCalmTeamsBesideOneAtFiveTimesItsUsual(t *testing.T) {
	calm := func(lj *loadedJob) bool { return lj.team > 0 }
	for _, usual := range []float64{0.75, 0.95} {
		for seed := range int64(loadSeeds) {
			ld := teamLoad{seed: 1 + seed, vms: 16, teams: 20, usual: usual, factor: constantly(1), forMS: 20_000}
			without := ld.play(t)
			ld.factor = hotBeside(5)
			checkServedAsWithout(t, ld.play(t), without, calm)
		}
	}
}

// Guards against a change of owner that forgets which team is above its share: two teams ask for five times their usual amount one after the other, and the owner changes between them.
func TestCalmTeamsBesideTwoHotOnesOverAChangeOfOwner(t *testing.T) {
	const changeMS = 9000
	calm := func(lj *loadedJob) bool { return lj.team > 1 }
	hot := func(team int, atMS int64) float64 {
		if team == 0 && atMS >= 3000 && atMS < changeMS || team == 1 && atMS >= changeMS && atMS < 15_000 {
			return 5
		}
		return 1
	}
	for seed := range int64(loadSeeds) {
		var stored *workpb.Shares
		ld := teamLoad{seed: 1 + seed, vms: 16, teams: 20, usual: 0.9, factor: constantly(1), forMS: 20_000}
		ld.at = func(fl *fleet, atMS int64) {
			if row := fl.ct.SharesToStore(); row != nil {
				stored = row
			}
			if atMS == changeMS {
				fl.newOwner()
				fl.setRules(ld.rules())
				fl.ct.RestoreShares(stored)
			}
		}
		without := ld.play(t)
		ld.factor, stored = hot, nil
		checkServedAsWithout(t, ld.play(t), without, calm)
		qt.Check(t, stored, qt.IsNotNil)
	}
}

// Guards against teams that are above their share by different amounts sharing one rank: the one furthest above must bear the most.
func TestTeamFurthestAboveItsShareBearsTheMost(t *testing.T) {
	calm := func(lj *loadedJob) bool { return lj.team > 2 }
	var all []*loadedJob
	for seed := range int64(loadSeeds) {
		ld := teamLoad{seed: 1 + seed, vms: 16, teams: 20, usual: 0.7, factor: constantly(1), forMS: 20_000}
		without := ld.play(t)
		ld.factor = hotBeside(9, 6, 3)
		with := ld.play(t)
		checkServedAsWithout(t, with, without, calm)
		all = append(all, with...)
	}
	most, _ := rate(all, ofTeam(0))
	middle, _ := rate(all, ofTeam(1))
	least, _ := rate(all, ofTeam(2))
	qt.Check(t, most < 0.9*middle && middle < 0.9*least, qt.IsTrue, qt.Commentf("in time: %.3f at nine times the usual, %.3f at six, %.3f at three", most, middle, least))
}

// Guards against a cap or a weight that is lowered under load and takes effect late, or at the cost of other teams.
func TestCapAndWeightLoweredUnderLoad(t *testing.T) {
	const (
		changeMS  = 6000
		settledMS = 9000
		capCores  = 6
	)
	calm := func(lj *loadedJob) bool { return lj.team > 0 }
	for _, each := range []struct {
		name  string
		lower func(tm *workpb.Team)
		limit int
	}{
		{"cap", func(tm *workpb.Team) { tm.CapCpuMilli = capCores * 1000 }, capCores},
		{"weight", func(tm *workpb.Team) { tm.Weight = 0.2 }, 16 * vmCores},
	} {
		ld := teamLoad{seed: 1, vms: 16, teams: 20, usual: 0.9, factor: constantly(1), forMS: 20_000}
		without := ld.play(t)
		ld.factor = hotBeside(5)
		ld.at = func(fl *fleet, atMS int64) {
			if atMS == changeMS {
				rules := ld.rules()
				each.lower(rules.Teams[0])
				fl.setRules(rules)
			}
			if atMS < settledMS {
				return
			}
			running := 0
			for task := range fl.runningOn {
				if strings.HasPrefix(task, "t00-") {
					running++
				}
			}
			qt.Assert(t, running <= each.limit, qt.IsTrue, qt.Commentf("%s: %d cores used", each.name, running))
		}
		checkServedAsWithout(t, ld.play(t), without, calm)
	}
}

// Under overload, least slack first lets most jobs miss narrowly. In each load the part of the jobs that is in time must stay clearly above what least slack first gave (0.48, 0.34 and 0.21), and large jobs must not be given up for small ones without end.
func TestJobsInTimeBeyondFullLoad(t *testing.T) {
	for _, each := range []struct{ factor, inTime float64 }{{1.5, 0.6}, {2, 0.48}, {3, 0.33}} {
		var all []*loadedJob
		for seed := range int64(loadSeeds) {
			ld := teamLoad{seed: 1 + seed, vms: 16, teams: 20, usual: 1, factor: constantly(each.factor), forMS: 20_000}
			all = append(all, ld.play(t)...)
		}
		now, count := rate(all, anyJob)
		largest, next := bySize(all)
		qt.Check(t, now >= each.inTime, qt.IsTrue, qt.Commentf("at %.1f times what fits %.3f of %d jobs in time", each.factor, now, count))
		qt.Check(t, largest >= now/2 && next >= now/2, qt.IsTrue, qt.Commentf("at %.1f times what fits %.3f in time, %.3f of the largest tenth and %.3f of the next fifth", each.factor, now, largest, next))
	}
}

// While everything fits, the choice must not make jobs late; least slack first had 0.967 of them in time.
func TestJobsInTimeBelowFullLoad(t *testing.T) {
	var all []*loadedJob
	for seed := range int64(loadSeeds) {
		ld := teamLoad{seed: 1 + seed, vms: 16, teams: 20, usual: 0.8, factor: constantly(1), forMS: 20_000}
		all = append(all, ld.play(t)...)
	}
	now, count := rate(all, anyJob)
	qt.Check(t, now >= 0.96, qt.IsTrue, qt.Commentf("%.3f of %d jobs in time", now, count))
}

// Jobs of public queues, of queues without an objective and under rules without weights must never be deferred, since nobody asked for it there; elsewhere operators must see how many are, and see it end.
func TestOnlyQueuesWithAnObjectiveAndWeightsDeferJobs(t *testing.T) {
	for _, each := range []struct {
		name     string
		change   func(rules *workpb.Rules)
		deferred bool
	}{
		{"objective and weights", func(*workpb.Rules) {}, true},
		{"no objective", func(rules *workpb.Rules) { rules.Queues[0].Stretch, rules.Queues[0].TargetMs = 0, 0 }, false},
		{"public", func(rules *workpb.Rules) { rules.Queues[0].Public = true }, false},
		{"no weights", func(rules *workpb.Rules) { rules.Teams[0].Weight = 0 }, false},
	} {
		fl := newFleet(t, vmOf("a"))
		rules := testRules()
		rules.Teams = []*workpb.Team{{Name: "t", Weight: 1}}
		each.change(rules)
		fl.setRules(rules)
		most := 0
		for second := range 24 {
			for at := range 10 {
				if second < 4 {
					fl.submit(jobOf(fmt.Sprintf("j%d-%d", second, at), stepOf(4)))
				}
			}
			fl.run(1000)
			most = max(most, fl.ct.DeferredJobs()["s"])
		}
		qt.Check(t, most > 0, qt.Equals, each.deferred, qt.Commentf("%s: %d jobs deferred", each.name, most))
		qt.Check(t, fl.ct.DeferredJobs()["s"], qt.Equals, 0, qt.Commentf("%s: after the load", each.name))
		for second := range 4 {
			for at := range 10 {
				qt.Check(t, fl.state(fmt.Sprintf("j%d-%d", second, at)), qt.Equals, workpb.State_COMPLETED, qt.Commentf("deferred jobs end as well"))
			}
		}
	}
}
