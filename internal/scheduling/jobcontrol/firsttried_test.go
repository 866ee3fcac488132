package jobcontrol_test

import (
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

// A job that comes back after a refusal, when it can't be in time any more, must not go ahead of a job that can; for one that still can, its first attempt counts.
func TestObjectiveCountsFromTheFirstAttempt(t *testing.T) {
	for _, tc := range []struct {
		name     string
		firstMS  int64
		expected []string
	}{
		{"long ago", -60_000, []string{"new", "back"}},
		{"so that it has less time left than the new one", -500, []string{"back", "new"}},
	} {
		fl := newFleet(t, vmOf("a"))
		rules := testRules()
		rules.Queues[0].TargetMs = 2000
		fl.setRules(rules)
		fl.setBehavior(800, workpb.End_END_DONE)
		fl.submit(jobOf("running", stepOf(8)))
		fl.run(100)
		back := jobOf("back", stepOf(8))
		back.FirstTriedMs = fl.ck.Now() + tc.firstMS
		fl.submit(jobOf("new", stepOf(8)))
		fl.submit(back)
		var started []string
		fl.beforeOrder = func(od *workpb.Order) {
			id, _, _ := strings.Cut(od.GetTask(), ".")
			if od.GetVerb() == workpb.Verb_START && !slices.Contains(started, id) {
				started = append(started, id)
			}
		}
		fl.run(2600)
		qt.Check(t, started, qt.DeepEquals, tc.expected, qt.Commentf(tc.name))
	}
}
