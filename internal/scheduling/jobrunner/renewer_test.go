package jobrunner_test

import (
	"fmt"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/configuration/rulesindex"
	"github.com/fulmarloft/fulmarloft/internal/membership/ownership"
	"github.com/fulmarloft/fulmarloft/internal/observability/event"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/intake"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/jobrunner"
)

// startBusy starts an entry each of whose loop passes takes passMS milliseconds longer.
func (si *simulation) startBusy(name string, passMS *atomic.Int64) {
	si.startWith(name, nil, 1, func(deps *jobrunner.Dependencies, _ *ownership.Ownership) {
		rules := deps.Rules
		deps.Rules = func() *rulesindex.Index {
			si.wait(passMS.Load())
			return rules()
		}
	})
}

// countOwners counts the owners that begin to schedule.
func (si *simulation) countOwners() *atomic.Int64 {
	count := &atomic.Int64{}
	si.lg = event.Discard()
	si.lg.OnEvent(func(name string, _ []any) {
		if name == "scheduling-started" {
			count.Add(1)
		}
	})
	return count
}

// Guards against an ownership that goes from entry to entry without end, since a pass over the work that was accepted takes longer than an owner may go without a commit.
func TestPassesLongerThanTheLeaseKeepTheOwner(t *testing.T) {
	for _, passMS := range []int64{900, 1300, 1700} {
		t.Run(fmt.Sprintf("passes of %d ms", passMS), func(t *testing.T) {
			simulate(t, func(si *simulation) {
				owners := si.countOwners()
				busyMS := &atomic.Int64{}
				si.startBusy("one", busyMS)
				si.startBusy("two", busyMS)
				si.wait(3000)
				busyMS.Store(passMS)
				for at := range 3 {
					si.submit(fmt.Sprintf("%016d", at), 2)
				}
				si.wait(60_000)
				qt.Check(t, owners.Load(), qt.Equals, int64(1))
				for at := range 3 {
					qt.Check(t, si.state(fmt.Sprintf("%016d", at)), qt.Equals, workpb.State_COMPLETED)
				}
			})
		})
	}
}

// Guards against an owner that keeps what it can't use: one whose loop is stuck must lose the ownership before the leases of runs expire.
func TestOwnerWhoseLoopIsStuckLosesTheOwnership(t *testing.T) {
	const (
		stuckMS = 60_000
		lossMS  = 4500
	)
	simulate(t, func(si *simulation) {
		owners := si.countOwners()
		stuck, sound := &atomic.Int64{}, &atomic.Int64{}
		si.startBusy("one", stuck)
		si.wait(1000)
		si.startBusy("two", sound)
		si.wait(2000)
		qt.Assert(t, owners.Load(), qt.Equals, int64(1))
		stuck.Store(stuckMS)
		si.wait(lossMS)
		qt.Check(t, owners.Load(), qt.Equals, int64(2))
		si.submit("00000000000000aa", 2)
		si.wait(6000)
		qt.Check(t, si.state("00000000000000aa"), qt.Equals, workpb.State_COMPLETED)
		stuck.Store(0)
		si.wait(stuckMS)
		qt.Check(t, owners.Load(), qt.Equals, int64(2))
	})
}

// Guards against a handover that waits for a renewal: a stopped owner begins nothing while it probes the store.
func TestStoppedOwnerDoesNotRenewWhileItProbesTheStore(t *testing.T) {
	simulate(t, func(si *simulation) {
		renewals := &atomic.Int64{}
		si.lg = event.Discard()
		si.lg.OnEvent(func(name string, _ []any) {
			if name == "ownership-renewed" {
				renewals.Add(1)
			}
		})
		si.start("one")
		si.wait(2000)
		si.mu.Lock()
		si.unansweredTable = intake.ProgressTable
		si.mu.Unlock()
		si.entries["one"].cancel()
		si.wait(1500)
		qt.Check(t, renewals.Load(), qt.Equals, int64(0))
	})
}
