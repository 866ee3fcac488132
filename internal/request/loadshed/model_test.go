package loadshed_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/request/loadshed"
)

// The model is a pool of cores, an owner that starts waiting tasks and states its estimate, entries that decide, and callers that come back as they are told. It has no network; delays are those between the parts on a calm store.
const (
	tickMS      = 20
	estimateMS  = 300
	feedDelayMS = 60
	// acceptDelayMS is how long after its acceptance the owner knows of a job.
	acceptDelayMS = 40
	maxReturns    = 4
	service       = "s"
)

// modelJob is one job of a caller and what became of it.
type modelJob struct {
	row *workpb.Job
	// firstMS is the first attempt, tries the number of attempts.
	firstMS     int64
	tries       int
	objectiveMS int64
	// waiting counts the tasks that haven't started; ends holds when each running one ends.
	waiting int
	ends    []int64
	begun   bool
	// acceptedMS and endedMS are 0 until then.
	acceptedMS, endedMS int64
	refusedForGood      bool
}

func (jb *modelJob) durationMS() int64 { return jb.row.GetSteps()[0].GetEstimateMs() }

func (jb *modelJob) inTime() bool { return jb.endedMS > 0 && jb.endedMS <= jb.firstMS+jb.objectiveMS }

// model is the state of the pool, the entries and the callers at nowMS.
type model struct {
	rnd     *rand.Rand
	rules   *workpb.Rules
	cores   int
	entries []*loadshed.Shedder
	nowMS   int64
	jobs    []*modelJob
	// open holds the accepted jobs that haven't ended, due the callers by the time at which they try.
	open    []*modelJob
	due     map[int64][]*modelJob
	use     map[string]float64
	arrival map[string]float64
	// scale multiplies what the owner states as work.
	scale float64
	// free is the number of cores that no task could use in the last tick; whileFree counts the refusals at such times.
	free, whileFree int
	// withinShare counts the refusals of first attempts of teams within their share by team.
	withinShare map[string]int
	// lost reports whether an entry doesn't get the estimate.
	lost func(entry int, nowMS int64) bool
	// entryOf returns the entry through which a job's caller comes.
	entryOf func(jb *modelJob) int
}

func newModel(seed uint64, cores, entries int, teams []string, shed bool) *model {
	md := &model{
		rnd: rand.New(rand.NewPCG(seed, 1)), cores: cores, nowMS: 1_000_000, due: map[int64][]*modelJob{}, use: map[string]float64{}, withinShare: map[string]int{},
		arrival: map[string]float64{}, scale: 1, lost: func(int, int64) bool { return !shed },
		rules: &workpb.Rules{Queues: []*workpb.Queue{{Name: "q", Service: service, Stretch: 2, TargetMs: 600}}},
	}
	for _, team := range teams {
		md.rules.Teams = append(md.rules.Teams, &workpb.Team{Name: team, Weight: 1})
	}
	md.entryOf = func(*modelJob) int { return md.rnd.IntN(entries) }
	for range entries {
		md.entries = append(md.entries, loadshed.New())
	}
	return md
}

// meanWorkCoreMS is the mean work of a job: 2.5 tasks of 1,000 ms.
const meanWorkCoreMS = 2500

// run lets callers submit for forMS, each team at so many times the pool's capacity as load returns.
func (md *model) run(forMS int64, load func(team string, atMS int64) float64) {
	startMS := md.nowMS
	for md.nowMS < startMS+forMS {
		for _, tm := range md.rules.GetTeams() {
			md.arrival[tm.GetName()] += load(tm.GetName(), md.nowMS-startMS) * float64(md.cores) * tickMS / meanWorkCoreMS
			for md.arrival[tm.GetName()] >= 1 {
				md.arrival[tm.GetName()]--
				md.submitNew(tm.GetName())
			}
		}
		md.step()
	}
}

func (md *model) submitNew(team string) {
	row := &workpb.Job{Id: fmt.Sprint(len(md.jobs)), Queue: "q", Team: team, Steps: []*workpb.Step{{
		Count: int32(1 + md.rnd.IntN(4)), CpuMilli: 1000, EstimateMs: 400 + md.rnd.Int64N(1200),
	}}}
	jb := &modelJob{row: row, firstMS: md.nowMS, objectiveMS: 2*row.GetSteps()[0].GetEstimateMs() + 600}
	md.jobs = append(md.jobs, jb)
	md.try(jb)
}

// try submits a job through any entry.
func (md *model) try(jb *modelJob) {
	qu, sh := md.rules.GetQueues()[0], md.entries[md.entryOf(jb)]
	jb.tries++
	dc := sh.Decide(md.rules, qu, jb.row, md.nowMS, md.nowMS)
	if !dc.Hopeless() && jb.tries > 1 {
		dc = sh.Decide(md.rules, qu, jb.row, jb.firstMS, md.nowMS)
	}
	if !dc.Hopeless() {
		sh.Accepted(dc, md.nowMS)
		jb.acceptedMS, jb.waiting = md.nowMS, int(jb.row.GetSteps()[0].GetCount())
		md.open = append(md.open, jb)
		return
	}
	if md.free > 0 {
		md.whileFree++
	}
	if dc.Level() == 0 && jb.tries == 1 {
		md.withinShare[jb.row.GetTeam()]++
	}
	backMS := md.nowMS + 1000*sh.Refused(dc, md.nowMS) + 40 + md.rnd.Int64N(60)
	if jb.tries > maxReturns {
		jb.refusedForGood = true
		return
	}
	md.due[backMS/tickMS] = append(md.due[backMS/tickMS], jb)
}

// step advances the model by one tick.
func (md *model) step() {
	md.nowMS += tickMS
	back := md.due[md.nowMS/tickMS]
	delete(md.due, md.nowMS/tickMS)
	for _, jb := range back {
		md.try(jb)
	}
	busy := md.endTasks()
	md.startTasks(md.cores - busy)
	if md.nowMS%estimateMS < tickMS {
		md.estimate()
	}
}

// endTasks ends the tasks that are due and returns the number of cores in use.
func (md *model) endTasks() int {
	busy := 0
	byTeam := map[string]float64{}
	for _, jb := range md.open {
		jb.ends = slices.DeleteFunc(jb.ends, func(ms int64) bool { return ms <= md.nowMS })
		if jb.waiting == 0 && len(jb.ends) == 0 {
			jb.endedMS = md.nowMS
		}
		busy += len(jb.ends)
		byTeam[jb.row.GetTeam()] += float64(len(jb.ends))
	}
	md.open = slices.DeleteFunc(md.open, func(jb *modelJob) bool { return jb.endedMS > 0 })
	for _, tm := range md.rules.GetTeams() {
		name := tm.GetName()
		md.use[name] += (byTeam[name] - md.use[name]) * (1 - math.Exp(-tickMS/4000.0))
	}
	return busy
}

// level returns how far a team is above its share: one level from 1.5 times on and one more for each doubling.
func (md *model) level(team string) int32 {
	sum, teams := 0.0, 0.0
	for name, use := range md.use {
		if use > 0.01 || name == team {
			sum += use
			teams++
		}
	}
	level := int32(0)
	for limit := 1.5 * sum / teams; md.use[team] > limit && level < 4 && sum > 0; limit *= 2 {
		level++
	}
	return level
}

// canBeInTime reports whether a job that hasn't begun would end in time if it started now, with the owner's margin.
func (md *model) canBeInTime(jb *modelJob) bool {
	return md.nowMS+300+jb.durationMS() <= jb.firstMS+jb.objectiveMS
}

// startTasks starts waiting tasks as the owner does: begun jobs and those that can be in time by level and least slack, then the others by length.
func (md *model) startTasks(free int) {
	var list []*modelJob
	levels := map[string]int32{}
	for _, jb := range md.open {
		if jb.waiting > 0 && md.nowMS >= jb.acceptedMS+acceptDelayMS {
			list = append(list, jb)
			if _, ok := levels[jb.row.GetTeam()]; !ok {
				levels[jb.row.GetTeam()] = md.level(jb.row.GetTeam())
			}
		}
	}
	rank := func(jb *modelJob) [3]int64 {
		slack := jb.firstMS + jb.objectiveMS - jb.durationMS()
		switch {
		case jb.begun:
			return [3]int64{0, 0, slack}
		case md.canBeInTime(jb):
			return [3]int64{1, int64(levels[jb.row.GetTeam()]), slack}
		default:
			return [3]int64{2, jb.durationMS(), slack}
		}
	}
	slices.SortStableFunc(list, func(one, other *modelJob) int {
		aa, bb := rank(one), rank(other)
		return cmp.Or(cmp.Compare(aa[0], bb[0]), cmp.Compare(aa[1], bb[1]), cmp.Compare(aa[2], bb[2]))
	})
	for _, jb := range list {
		for ; free > 0 && jb.waiting > 0; free-- {
			jb.begun = true
			jb.waiting--
			jb.ends = append(jb.ends, md.nowMS+jb.durationMS())
		}
	}
	md.free = free
}

// estimate states what the owner knows, which the entries read some time later.
func (md *model) estimate() {
	row := &workpb.ServiceWait{Service: service, RoomMilli: int64(md.cores) * 1000}
	waiting, running := map[string]int64{}, map[string]int64{}
	sum := int64(0)
	for _, jb := range md.open {
		if md.nowMS < jb.acceptedMS+acceptDelayMS {
			continue
		}
		running[jb.row.GetTeam()] += int64(len(jb.ends)) * 1000
		work := int64(float64(jb.waiting) * float64(jb.durationMS()) * md.scale)
		for _, ms := range jb.ends {
			work += int64(float64(ms-md.nowMS) * md.scale)
		}
		switch {
		case jb.begun:
			row.BegunCoreMs += work
		case md.canBeInTime(jb):
			waiting[jb.row.GetTeam()] += work
			sum += work
		}
	}
	for _, tm := range md.rules.GetTeams() {
		level := md.level(tm.GetName())
		if work := waiting[tm.GetName()]; work > 0 || level > 0 {
			row.Teams = append(row.Teams, &workpb.TeamWait{Team: tm.GetName(), WaitingCoreMs: work, ShareLevel: level, UsedMilli: running[tm.GetName()]})
		}
	}
	ws := &workpb.Waits{Services: []*workpb.ServiceWait{row}}
	if (row.GetBegunCoreMs()+sum)/int64(md.cores) < 500 {
		ws = &workpb.Waits{}
	}
	// The row arrives some ticks later; the model hands it over now, as of then, which the age corrects.
	for at, sh := range md.entries {
		if !md.lost(at, md.nowMS) {
			sh.SetEstimate(ws, md.nowMS+feedDelayMS)
		}
	}
}

// outcome counts what became of jobs. Attempts counts the jobs that were accepted at each attempt, from the first one.
type outcome struct {
	jobs, inTime, late, refused int
	attempts                    [maxReturns + 1]int
	// firstInTime counts the jobs in time among those that were accepted at their first attempt.
	firstInTime int
}

func (md *model) outcome(match func(jb *modelJob) bool) outcome {
	oc := outcome{}
	for _, jb := range md.jobs {
		if !match(jb) {
			continue
		}
		oc.jobs++
		if jb.acceptedMS > 0 {
			oc.attempts[jb.tries-1]++
		}
		switch {
		case jb.inTime():
			oc.inTime++
			if jb.tries == 1 {
				oc.firstInTime++
			}
		case jb.endedMS > 0:
			oc.late++
		case jb.refusedForGood:
			oc.refused++
		}
	}
	return oc
}

func all(*modelJob) bool { return true }

func (oc outcome) inTimePercent() int { return 100 * oc.inTime / max(oc.jobs, 1) }

func (oc outcome) String() string {
	return fmt.Sprintf("%d jobs: %d in time (%d %%), %d late, %d refused five times; accepted by attempt %v; %d of those accepted at the first one in time",
		oc.jobs, oc.inTime, oc.inTimePercent(), oc.late, oc.refused, oc.attempts, oc.firstInTime)
}
