package entrystatus_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/observability/entrystatus"
	"github.com/fulmarloft/fulmarloft/internal/observability/event"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// The status of the owner must follow its events, also those whose lines are left out, and forget the VMs with the ownership.
func TestStatusFollowsEvents(t *testing.T) {
	ck := clock.NewFake(1000)
	st := entrystatus.New(ck)
	lg := event.Discard()
	lg.OnEvent(st.Follow)
	qt.Check(t, st.Values(), qt.DeepEquals, map[string]any{"owner": false, "changes-lost-ms": map[string]int64{}})
	lg.Fail("operators-feed-lost", code.TableUnavailable, "rules-age-ms", 5)
	ck.Advance(100)
	lg.Info("ownership-taken", "token", int64(7))
	for _, id := range []string{"i-1", "i-2", "i-3", "i-4", "i-5"} {
		lg.Info("vm-registered", "vm", id, "service", "s", "draining", id == "i-5")
	}
	ck.Advance(40)
	lg.Info("scheduling-started", "token", int64(7), "after-ms", 40)
	lg.Info("start-in-doubt", "vm", "i-1", "task", "a.0.0.0", "run", 1)
	lg.Info("vm-silent", "vm", "i-1", "verdict", "IN_DOUBT", "runs", 9)
	lg.Info("vm-silent", "vm", "i-2", "verdict", "IN_DOUBT", "runs", 3)
	lg.Info("vm-answers", "vm", "i-2")
	lg.Info("vm-unregistered", "vm", "i-3", "runs", 0)
	lg.Info("vm-unregistered", "vm", "i-4", "runs", 2)
	lg.Fail("feed-lost", code.TableUnavailable, "table", "jobs")
	ck.Advance(10)
	qt.Check(t, st.Values(), qt.DeepEquals, map[string]any{
		"owner": true, "token": "7", "owner-for-ms": int64(50), "scheduling-for-ms": int64(10),
		"changes-lost-ms": map[string]int64{"operators": 150, "jobs": 10},
		"vms":             map[string]int{"registered": 1, "silent": 1, "unregistered": 1, "draining": 1},
		"runs-in-doubt":   int64(11), "starts-unanswered": 1,
	})
	lg.Info("vm-ended", "vm", "i-4", "machine", "m", "machine-status", "down", "runs", 2)
	lg.Info("vm-leases-expired", "vm", "i-1", "ended-runs", 7, "unanswered-starts", 2, "registered", true)
	qt.Check(t, st.Values()["runs-in-doubt"], qt.Equals, int64(2))
	lg.Info("vm-leases-expired", "vm", "i-1", "ended-runs", 2, "unanswered-starts", 0, "registered", true)
	qt.Check(t, st.Values()["vms"], qt.DeepEquals, map[string]int{"registered": 1, "silent": 1, "draining": 1})
	qt.Check(t, st.Values()["runs-in-doubt"], qt.Equals, int64(0))
	lg.Info("share-levels", "service", "s", "levels", "t=2 u=1")
	lg.Info("share-levels", "service", "z", "levels", "t=1")
	lg.Info("share-levels", "service", "z", "levels", "none")
	qt.Check(t, st.Values()["share-levels"], qt.DeepEquals, map[string]string{"s": "t=2 u=1"})
	lg.Info("starts-deferred", "service", "s", "jobs", 12, "waiting", 40, "work-core-ms", int64(9000))
	lg.Info("starts-deferred", "service", "z", "jobs", 1, "waiting", 4, "work-core-ms", int64(900))
	lg.Info("starts-deferred", "service", "z", "jobs", 0, "waiting", 4, "work-core-ms", int64(0))
	qt.Check(t, st.Values()["deferred-jobs"], qt.DeepEquals, map[string]int64{"s": 12})
	lg.Info("operators-feed-regained", "version", 4)
	lg.Fail("scheduling-ended", code.LeaseLapsed, "token", int64(7))
	qt.Check(t, st.Values(), qt.DeepEquals, map[string]any{"owner": false, "changes-lost-ms": map[string]int64{}})
}

// The status must name the VMs that are slow now, and none that has recovered, restarted or belongs to an earlier ownership.
func TestStatusNamesSlowVMs(t *testing.T) {
	st := entrystatus.New(clock.NewFake(1000))
	st.Follow("ownership-taken", []any{"token", int64(7)})
	for _, id := range []string{"i-3", "i-2", "i-1", "i-4"} {
		st.Follow("vm-slow", []any{"vm", id, "slow-percent", int64(400)})
	}
	st.Follow("vm-recovered", []any{"vm", "i-1", "slow-percent", int64(100)})
	st.Follow("vm-pace-forgotten", []any{"vm", "i-4"})
	qt.Check(t, st.Values()["slow-vms"], qt.DeepEquals, []string{"i-2", "i-3"})
	qt.Check(t, st.SlowVMs(), qt.Equals, 2)
	st.Follow("scheduling-lost", []any{"token", int64(7)})
	st.Follow("ownership-taken", []any{"token", int64(9)})
	qt.Check(t, st.Values()["slow-vms"], qt.IsNil)
}

func BenchmarkFollow(b *testing.B) {
	st := entrystatus.New(clock.NewFake(1000))
	for b.Loop() {
		st.Follow("vm-silent", []any{"vm", "i-1", "verdict", "IN_DOUBT", "runs", 9})
	}
}
