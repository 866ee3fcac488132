package jobcontrol_test

import (
	"fmt"
	"testing"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/configuration/rulesindex"
	"github.com/fulmarloft/fulmarloft/internal/observability/event"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/jobcontrol"
)

// BenchmarkPlanBesideWaitingJobs makes planning passes on 80 full VMs while thousands of jobs of 20 teams wait.
func BenchmarkPlanBesideWaitingJobs(b *testing.B) {
	for _, waiting := range []int{1000, 4000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) { planBesideWaiting(b, 80, waiting) })
	}
}

func planBesideWaiting(b *testing.B, vms, waiting int) {
	const (
		teams  = 20
		longMS = 1_000_000_000
		passMS = 15
	)
	ck := clock.NewFake(1_000_000)
	ct := jobcontrol.New(ck, event.Discard(), 1, longMS)
	rules := testRules()
	rules.Teams = nil
	for team := range teams {
		rules.Teams = append(rules.Teams, &workpb.Team{Name: teamName(team), Weight: 1})
	}
	// The objective and the leases last longer than the benchmark, so that all jobs can be in time until its end.
	rules.Queues[0].TargetMs = longMS
	ct.SetRules(rulesindex.New(rules))
	for at := range vms {
		ct.SetVM(vmOf(fmt.Sprintf("v%d", at)))
	}
	for range 200 {
		ck.Advance(1)
		for _, lr := range ct.DuePolls() {
			ct.HandlePoll(lr.GetVm(), ck.Now(), &workpb.Look{BornMs: 1, ClockMs: ck.Now()}, workpb.Verdict_ACCEPTED)
		}
	}
	for at := range waiting {
		jb := jobOf(fmt.Sprintf("j%d", at), stepOf(4), stepOf(int32(1+at%8), 0))
		jb.Queue, jb.Team, jb.AcceptedMs = "q", teamName(at%teams), ck.Now()
		ct.Submit(jb)
	}
	for range 20 {
		for _, od := range ct.ConfirmStored(ct.Plan(true)) {
			ct.HandleOutcome(od, outcome(workpb.Verdict_ACCEPTED))
		}
	}
	for b.Loop() {
		ck.Advance(passMS)
		ct.Plan(true)
	}
}
