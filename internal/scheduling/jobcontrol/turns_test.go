package jobcontrol_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

// Guards against small jobs that wait until the last of another job's overdue occurrences has started: their callers see them queued for as long as the backlog takes.
func TestSmallJobsHaveTheirTurnBesideABacklog(t *testing.T) {
	const (
		dayMS   = 24 * 3_600_000
		smallMS = 800
		smalls  = 2
	)
	for _, tc := range []struct {
		name string
		// objective is set for a queue whose jobs have an objective; the backlog is then overdue, and a small job at first isn't.
		objective bool
		backlog   []*workpb.Job
		// sameTeam is set if the small jobs are of the team of the backlog.
		sameTeam bool
		// maxMS is how long a small job may take.
		maxMS int64
	}{
		{"one schedule", false, schedules(1, 300, dayMS), true, 3 * smallMS},
		{"thirty schedules", false, schedules(30, 20, dayMS), true, 5 * smallMS},
		{"thirty schedules of another team", false, schedules(30, 20, dayMS), false, 5 * smallMS},
		{"thirty schedules, jobs with an objective", true, schedules(30, 20, dayMS), true, 5 * smallMS},
		{"a large job", false, []*workpb.Job{jobOf("large", stepOf(400))}, true, 3 * smallMS},
	} {
		t.Run(tc.name, func(t *testing.T) {
			fl := newFleet(t, vmOf("a"), vmOf("b"))
			rules := testRules()
			rules.Teams = []*workpb.Team{{Name: "t", Weight: 1}, {Name: "u", Weight: 1}}
			if !tc.objective {
				rules.Queues[0].Stretch, rules.Queues[0].TargetMs = 0, 0
			}
			fl.setRules(rules)
			fl.setBehavior(smallMS, workpb.End_END_DONE)
			fl.run(200)
			for _, jb := range tc.backlog {
				fl.submit(jb)
			}
			fl.run(2000)
			worstMS := int64(0)
			for at := range smalls {
				small := jobOf(fmt.Sprintf("small-%d", at), stepOf(4))
				if !tc.sameTeam {
					small.Team = "u"
				}
				fl.submit(small)
				tookMS := int64(0)
				for fl.state(small.GetId()) != workpb.State_COMPLETED && tookMS < 20_000 {
					fl.run(stepMS)
					tookMS += stepMS
				}
				worstMS = max(worstMS, tookMS)
			}
			qt.Check(t, worstMS <= tc.maxMS, qt.IsTrue, qt.Commentf("a small job took %d ms, at most %d ms are allowed", worstMS, tc.maxMS))
		})
	}
}

// schedules returns scheduled jobs of which a number of occurrences each, of one task, were due long ago.
func schedules(count int, times int32, agoMS int64) []*workpb.Job {
	var out []*workpb.Job
	for at := range count {
		jb := jobOf(fmt.Sprintf("schedule-%02d", at), stepOf(1))
		jb.Occurrences, jb.PeriodMs, jb.FirstDueMs = times, 1, 1_000_000-agoMS
		out = append(out, jb)
	}
	return out
}
