package loadshed_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/request/loadshed"
)

const startMS = 1_000_000

// fullPool is an estimate of a pool of 10 cores with 3 s of work that has begun and waits.
func fullPool(teams ...*workpb.TeamWait) *workpb.Waits {
	return &workpb.Waits{Services: []*workpb.ServiceWait{{Service: service, RoomMilli: 10_000, BegunCoreMs: 5000, Teams: teams}}}
}

func waits(team string, coreMS int64, level int32) *workpb.TeamWait {
	return &workpb.TeamWait{Team: team, WaitingCoreMs: coreMS, ShareLevel: level}
}

func testRules() *workpb.Rules {
	return &workpb.Rules{
		Queues: []*workpb.Queue{{Name: "q", Service: service, Stretch: 2, TargetMs: 600}},
		Teams:  []*workpb.Team{{Name: "calm", Weight: 1}, {Name: "hot", Weight: 1}},
	}
}

// testJob is a job of one task of 1 s, whose slack is 1.6 s.
func testJob(team string) *workpb.Job {
	return &workpb.Job{Team: team, Steps: []*workpb.Step{{Count: 1, CpuMilli: 1000, EstimateMs: 1000}}}
}

// decide returns the decision on a first attempt ageMS after an estimate.
func decide(ws *workpb.Waits, rules *workpb.Rules, jb *workpb.Job, ageMS int64) loadshed.Decision {
	sh := loadshed.New()
	if ws != nil {
		sh.SetEstimate(ws, startMS)
	}
	return sh.Decide(rules, rules.GetQueues()[0], jb, startMS+ageMS, startMS+ageMS)
}

// Only jobs with an objective that run once and at once, of teams with weights, may be refused, and only by a fresh estimate of their own service that has capacity.
func TestWhatMayBeRefused(t *testing.T) {
	full := fullPool(waits("hot", 40_000, 0))
	change := func(fn func(*workpb.Rules)) *workpb.Rules {
		rules := testRules()
		fn(rules)
		return rules
	}
	lasting, repeated := testJob("calm"), testJob("calm")
	lasting.Steps = append(lasting.Steps, &workpb.Step{Count: 1, Lasting: true})
	repeated.Occurrences = 2
	noRoom := fullPool(waits("hot", 40_000, 0))
	noRoom.Services[0].RoomMilli = 0
	for _, tc := range []struct {
		name  string
		ws    *workpb.Waits
		rules *workpb.Rules
		job   *workpb.Job
		ageMS int64
		want  bool
	}{
		{"hopeless", full, testRules(), testJob("calm"), 0, true},
		{"hopeless by an estimate that is about to be replaced", full, testRules(), testJob("calm"), 600, true},
		{"no estimate", nil, testRules(), testJob("calm"), 0, false},
		{"nothing waits", &workpb.Waits{}, testRules(), testJob("calm"), 0, false},
		{"old estimate", full, testRules(), testJob("calm"), 1501, false},
		{"other service", &workpb.Waits{Services: []*workpb.ServiceWait{{Service: "other", RoomMilli: 1}}}, testRules(), testJob("calm"), 0, false},
		{"no capacity known", noRoom, testRules(), testJob("calm"), 0, false},
		{"public", full, change(func(rules *workpb.Rules) { rules.Queues[0].Public = true }), testJob("calm"), 0, false},
		{"no stretch", full, change(func(rules *workpb.Rules) { rules.Queues[0].Stretch = 0 }), testJob("calm"), 0, false},
		{"no target", full, change(func(rules *workpb.Rules) { rules.Queues[0].TargetMs = 0 }), testJob("calm"), 0, false},
		{"weights were taken away", full, change(func(rules *workpb.Rules) { rules.Teams[0].Weight, rules.Teams[1].Weight = 0, 0 }), testJob("calm"), 0, false},
		{"long-running step", full, testRules(), lasting, 0, false},
		{"several occurrences", full, testRules(), repeated, 0, false},
	} {
		qt.Check(t, decide(tc.ws, tc.rules, tc.job, tc.ageMS).Hopeless(), qt.Equals, tc.want, qt.Commentf(tc.name))
	}
}

// The team above its share must be refused first, and its work must not count for others. Work beyond a team's cap can't compete with others, while VMs are free, but makes the team itself wait.
func TestWhoseWorkGoesAhead(t *testing.T) {
	capped := func(usedMilli int64) *workpb.TeamWait {
		return &workpb.TeamWait{Team: "hot", WaitingCoreMs: 60_000, CapMilli: 2000, UsedMilli: usedMilli}
	}
	for _, tc := range []struct {
		name string
		ws   *workpb.Waits
		team string
		want bool
	}{
		{"within the share beside a burst", fullPool(waits("hot", 90_000, 1), waits("calm", 1000, 0)), "calm", false},
		{"above the share", fullPool(waits("hot", 90_000, 1)), "hot", true},
		{"above the share by the work of others", fullPool(waits("hot", 2000, 1), waits("calm", 9000, 0)), "hot", true},
		{"within the share by the same work", fullPool(waits("hot", 2000, 1), waits("calm", 9000, 0)), "calm", false},
		{"further above the share than the one that waits", fullPool(waits("hot", 1000, 3), waits("calm", 30_000, 2)), "hot", true},
		{"less far above it", fullPool(waits("hot", 30_000, 3), waits("calm", 1000, 2)), "calm", false},
		{"nothing waits beside long work that has begun", &workpb.Waits{Services: []*workpb.ServiceWait{{Service: service, RoomMilli: 10_000, BegunCoreMs: 90_000}}}, "calm", false},
		{"beside a team at its cap", fullPool(capped(2000)), "calm", false},
		{"at its cap", fullPool(capped(2000)), "hot", true},
	} {
		qt.Check(t, decide(tc.ws, testRules(), testJob(tc.team), 0).Hopeless(), qt.Equals, tc.want, qt.Commentf(tc.name))
	}
}

// A job that comes back too late to be in time must be accepted if little waits ahead of its team's jobs, and not otherwise; a team's burst must not keep such jobs of other teams out.
func TestJobThatComesBackLate(t *testing.T) {
	for _, tc := range []struct {
		name string
		ws   *workpb.Waits
		want bool
	}{
		{"nothing waits", &workpb.Waits{}, false},
		{"little waits", fullPool(waits("calm", 2000, 0)), false},
		{"more waits", fullPool(waits("calm", 5000, 0)), true},
		{"more waits of a team above its share", fullPool(waits("hot", 5000, 2)), false},
	} {
		sh := loadshed.New()
		sh.SetEstimate(tc.ws, startMS)
		// Jobs accepted long ago tell the shedder how long steps are.
		sh.Accepted(decide(nil, testRules(), testJob("calm"), 0), startMS-5000)
		sh.SetEstimate(tc.ws, startMS)
		dc := sh.Decide(testRules(), testRules().GetQueues()[0], testJob("calm"), startMS-10_000, startMS)
		qt.Check(t, dc.Hopeless(), qt.Equals, tc.want, qt.Commentf(tc.name))
	}
}

// An entry must count what it accepted since the estimate, until the next one includes it, and what was done since.
func TestEstimateIsCorrectedUntilTheNextOne(t *testing.T) {
	sh := loadshed.New()
	rules := testRules()
	decideAt := func(nowMS int64) loadshed.Decision {
		return sh.Decide(rules, rules.GetQueues()[0], testJob("calm"), nowMS, nowMS)
	}
	sh.SetEstimate(fullPool(waits("calm", 6000, 0)), startMS)
	before := decideAt(startMS + 10).WaitMS()
	accepted := 0
	for ; !decideAt(startMS + 10).Hopeless(); accepted++ {
		sh.Accepted(decideAt(startMS+10), startMS+10)
		qt.Assert(t, accepted < 20, qt.IsTrue)
	}
	qt.Check(t, accepted > 3, qt.IsTrue)
	qt.Check(t, decideAt(startMS+10).WaitMS() > before, qt.IsTrue)
	qt.Check(t, decideAt(startMS+1400).WaitMS() < decideAt(startMS+10).WaitMS(), qt.IsTrue)
	sh.SetEstimate(fullPool(waits("calm", 6000, 0)), startMS+300)
	qt.Check(t, decideAt(startMS+310).WaitMS() < decideAt(startMS+10).WaitMS()+300, qt.IsTrue)
	qt.Check(t, decideAt(startMS+310).Hopeless(), qt.IsFalse)
}

// Queues of one service may have very different objectives: the short one of most jobs must not refuse a job of another queue that has plenty of time, and the long one must not admit a job that can't be in time.
func TestWaitIsJudgedByTheObjectiveOfTheQueue(t *testing.T) {
	rules := testRules()
	rules.Queues = append(rules.Queues, &workpb.Queue{Name: "patient", Service: service, Stretch: 2, TargetMs: 30_000})
	for _, tc := range []struct {
		usual, queue int
		want         bool
	}{{0, 1, false}, {1, 0, true}} {
		sh := loadshed.New()
		for range 100 {
			sh.Accepted(sh.Decide(rules, rules.GetQueues()[tc.usual], testJob("calm"), startMS-5000, startMS-5000), startMS-5000)
		}
		sh.Accepted(sh.Decide(rules, rules.GetQueues()[tc.queue], testJob("calm"), startMS-5000, startMS-5000), startMS-5000)
		sh.SetEstimate(fullPool(waits("calm", 30_000, 0)), startMS)
		dc := sh.Decide(rules, rules.GetQueues()[tc.queue], testJob("calm"), startMS, startMS)
		qt.Check(t, dc.Hopeless(), qt.Equals, tc.want, qt.Commentf("queue %d, wait %d ms", tc.queue, dc.WaitMS()))
	}
}

// Two owners may state different estimates for a moment: only the one that was stored last may count.
func TestNewestEstimateCounts(t *testing.T) {
	sh := loadshed.New()
	rules := testRules()
	sh.SetEstimate(fullPool(waits("calm", 90_000, 0)), startMS)
	sh.SetEstimate(fullPool(waits("calm", 1000, 0)), startMS+10)
	qt.Check(t, sh.Decide(rules, rules.GetQueues()[0], testJob("calm"), startMS+20, startMS+20).Hopeless(), qt.IsFalse)
	sh.SetEstimate(fullPool(waits("calm", 90_000, 0)), startMS+30)
	qt.Check(t, sh.Decide(rules, rules.GetQueues()[0], testJob("calm"), startMS+40, startMS+40).Hopeless(), qt.IsTrue)
	sh.SetEstimate(&workpb.Waits{}, startMS+50)
	qt.Check(t, sh.Decide(rules, rules.GetQueues()[0], testJob("calm"), startMS+60, startMS+60).Hopeless(), qt.IsFalse)
}

// Callers that are refused in quick succession must come back in the order in which they came, spread over the time that their work takes, and never later than 10 s.
func TestCallersComeBackInOrder(t *testing.T) {
	sh := loadshed.New()
	rules := testRules()
	sh.SetEstimate(fullPool(waits("calm", 30_000, 0)), startMS)
	bySecond := map[int64]int{}
	last := int64(0)
	for at := range int64(100) {
		nowMS := startMS + at
		dc := sh.Decide(rules, rules.GetQueues()[0], testJob("calm"), nowMS, nowMS)
		qt.Assert(t, dc.Hopeless(), qt.IsTrue)
		seconds := sh.Refused(dc, nowMS)
		qt.Check(t, seconds >= last && seconds >= 1 && seconds <= 10, qt.IsTrue, qt.Commentf("%d after %d", seconds, last))
		last = seconds
		bySecond[seconds]++
	}
	// The entry accepted nothing lately, so that its part of the capacity counts as small and the callers soon get the longest time.
	qt.Check(t, last, qt.Equals, int64(10))

	sh = loadshed.New()
	for at := range int64(300) {
		sh.Accepted(decide(fullPool(), rules, testJob("calm"), 0), startMS-9000+30*at)
	}
	sh.SetEstimate(fullPool(waits("calm", 30_000, 0)), startMS+200)
	clear(bySecond)
	for at := range int64(50) {
		nowMS := startMS + 200 + at
		bySecond[sh.Refused(sh.Decide(rules, rules.GetQueues()[0], testJob("calm"), nowMS, nowMS), nowMS)]++
	}
	qt.Check(t, len(bySecond) >= 4, qt.IsTrue, qt.Commentf("%v", bySecond))
	for seconds, count := range bySecond {
		qt.Check(t, count <= 12, qt.IsTrue, qt.Commentf("%d after %d s", count, seconds))
	}
}
