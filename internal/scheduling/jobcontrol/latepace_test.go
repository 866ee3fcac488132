package jobcontrol_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

const (
	// maxOverTargetMS is for how long a task may be over its target beside best-effort tasks, maxThrottledMS for how long these may stay throttled without need.
	maxOverTargetMS = 4000
	maxThrottledMS  = 8000
	fillTask        = "fill.0.0.0"
)

func isPace(od *workpb.Order) bool { return od.GetVerb() == workpb.Verb_PACE }

// longestOverTarget runs the fleet and returns for how long the latency-sensitive task was over its target without a break.
func (fl *fleet) longestOverTarget(forMS int64) int64 {
	overMS, longestMS := int64(0), int64(0)
	for range forMS / stepMS {
		fl.run(stepMS)
		overMS += stepMS
		if fl.workers["a"].Gauge("serve.0.0.0") <= tailTargetMS {
			overMS = 0
		}
		longestMS = max(longestMS, overMS)
	}
	return longestMS
}

// throttledMS runs the fleet until the best-effort task has its full pace and returns how long that took, forMS at most.
func (fl *fleet) throttledMS(forMS int64) int64 {
	for ms := int64(0); ms < forMS; ms += stepMS {
		if pace, ok := fl.workers["a"].Pace[fillTask]; !ok || pace == 100 {
			return ms
		}
		fl.run(stepMS)
	}
	return forMS
}

// Review case 14: an unanswered order of a pace was executed after newer ones, and the owner never ordered the newer pace again. Whenever such an order is executed, the latency-sensitive task must not stay over its target.
func TestLateRaiseOfThePaceIsCorrected(t *testing.T) {
	for _, delayMS := range []int64{800, 2200, 7000, 11_900} {
		interference := int64(0)
		fl := newSharedVM(t, func() int64 { return interference })
		fl.run(2000)
		fl.late = func(od *workpb.Order) bool { return isPace(od) && od.GetPercent() == 11 && len(fl.lateOrders) == 0 }
		interference = 700
		fl.run(1200)
		qt.Assert(t, len(fl.lateOrders), qt.Equals, 1)
		fl.late = func(*workpb.Order) bool { return false }
		fl.run(delayMS)
		fl.runUntilPace(0)
		fl.executeLate()
		over := fl.longestOverTarget(20_000)
		qt.Check(t, over < maxOverTargetMS, qt.IsTrue, qt.Commentf("executed after %d ms: over the target for %d ms", delayMS, over))
	}
}

// runUntilPace runs the fleet until the best-effort task has a pace.
func (fl *fleet) runUntilPace(percent int64) {
	for range 100 {
		if fl.workers["a"].Pace[fillTask] == percent {
			return
		}
		fl.run(stepMS)
	}
	fl.t.Fatalf("the best-effort task never had pace %d", percent)
}

// An order that throttles must not undo a raise for good when it is executed late, whether or not a latency-sensitive task shares the VM.
func TestLateCutOfThePaceIsCorrected(t *testing.T) {
	for _, tc := range []struct {
		name    string
		delayMS int64
		// alone is set if the latency-sensitive task has ended before.
		alone bool
	}{
		{"soon", 5000, false},
		{"late", 11_000, false},
		{"soon, alone", 5000, true},
		{"late, alone", 11_000, true},
	} {
		interference := int64(0)
		fl := newSharedVM(t, func() int64 { return interference })
		fl.run(2000)
		fl.late = func(od *workpb.Order) bool { return isPace(od) && od.GetPercent() == 0 && len(fl.lateOrders) == 0 }
		interference = 700
		fl.run(1600)
		qt.Assert(t, len(fl.lateOrders), qt.Equals, 1)
		fl.late = func(*workpb.Order) bool { return false }
		interference = 0
		if tc.alone {
			fl.ct.Cancel("serve")
		}
		fl.run(tc.delayMS)
		qt.Assert(t, fl.workers["a"].Pace[fillTask], qt.Equals, int64(100), qt.Commentf(tc.name))
		fl.executeLate()
		took := fl.throttledMS(30_000)
		qt.Check(t, took < 2000, qt.IsTrue, qt.Commentf("%s: throttled for %d ms", tc.name, took))
	}
}

// An order that the VM certainly didn't execute must be repeated.
func TestRefusedPaceOrderIsRepeated(t *testing.T) {
	for _, vd := range []workpb.Verdict{workpb.Verdict_OVERLOADED, workpb.Verdict_NOT_SENT} {
		interference, refused := int64(0), 0
		fl := newSharedVM(t, func() int64 { return interference })
		fl.run(2000)
		fl.refuse = func(od *workpb.Order) workpb.Verdict {
			if isPace(od) && od.GetPercent() == 0 && refused == 0 {
				refused++
				return vd
			}
			return workpb.Verdict_ACCEPTED
		}
		interference = 700
		over := fl.longestOverTarget(20_000)
		qt.Check(t, refused, qt.Equals, 1)
		qt.Check(t, over < maxOverTargetMS, qt.IsTrue, qt.Commentf("%v: over the target for %d ms", vd, over))
	}
}

// Two orders that are under way at once may be executed in either order, though both are answered.
func TestPaceOrdersThatOvertakeEachOther(t *testing.T) {
	interference := int64(0)
	fl := newSharedVM(t, func() int64 { return interference })
	fl.run(2000)
	var slow *workpb.Order
	fl.refuse = func(od *workpb.Order) workpb.Verdict {
		if isPace(od) && od.GetPercent() == 11 && slow == nil {
			slow = od
			return unanswered
		}
		return workpb.Verdict_ACCEPTED
	}
	interference = 700
	fl.run(1000)
	fl.runUntilPace(0)
	qt.Assert(t, slow != nil, qt.IsTrue)
	fl.ct.HandleOutcome(slow, fl.workers["a"].Answer(slow))
	over := fl.longestOverTarget(20_000)
	qt.Check(t, over < maxOverTargetMS, qt.IsTrue, qt.Commentf("over the target for %d ms", over))
}

// A new owner doesn't know the paces that its predecessor has set: tasks that it stopped must work on, those that share their VM must not disturb the others, and nothing must be ordered once each run was ordered its pace.
func TestNewOwnerOrdersThePaceOfInheritedRuns(t *testing.T) {
	for _, tc := range []struct {
		name                string
		before, after       int64
		alone               bool
		maxThrottled, maxMS int64
	}{
		{"interference is over", 600, 0, false, maxThrottledMS, 0},
		{"interference goes on", 600, 600, false, 0, 1000},
		{"latency-sensitive task has ended", 600, 600, true, 1000, 0},
		{"full pace", 0, 0, false, 0, 0},
	} {
		interference := tc.before
		fl := newSharedVM(t, func() int64 { return interference })
		fl.run(6000)
		interference = tc.after
		if tc.alone {
			fl.ct.Cancel("serve")
			fl.late = isPace
			fl.run(4000)
			fl.late, fl.lateOrders = func(*workpb.Order) bool { return false }, nil
		}
		fl.newOwner()
		if tc.maxThrottled > 0 {
			took := fl.throttledMS(30_000)
			qt.Check(t, took < tc.maxThrottled, qt.IsTrue, qt.Commentf("%s: throttled for %d ms", tc.name, took))
		}
		if tc.alone {
			continue
		}
		over := fl.longestOverTarget(10_000)
		qt.Check(t, over <= tc.maxMS, qt.IsTrue, qt.Commentf("%s: over the target for %d ms", tc.name, over))
	}
}

// Orders must grow with the runs that are in doubt and not with polls: none is sent while nothing is in doubt, and one run costs one a second until nothing can be executed late any more.
func TestPaceOrdersAreBounded(t *testing.T) {
	for _, pollMS := range []int64{40, 120, 480} {
		for _, tc := range []struct {
			name string
			// unansweredMS is how long orders of paces get no answer.
			unansweredMS int64
			maxOrders    int
		}{
			{"all answered", 0, 0},
			{"one unanswered", 20, 15},
			{"unanswered for a time", 10_000, 25},
		} {
			fl := newSharedVM(t, func() int64 { return 0 })
			fl.ct.SetBusyPollInterval(pollMS)
			fl.run(2000)
			orders := 0
			fl.beforeOrder = func(od *workpb.Order) {
				if isPace(od) {
					orders++
				}
			}
			fl.newOwner()
			fl.ct.SetBusyPollInterval(pollMS)
			fl.late = isPace
			fl.run(tc.unansweredMS)
			fl.late = func(*workpb.Order) bool { return false }
			fl.run(1000)
			if tc.unansweredMS == 0 {
				qt.Check(t, orders <= 1, qt.IsTrue, qt.Commentf("%s: %d orders of a new owner", tc.name, orders))
				orders = 0
			}
			fl.run(30_000)
			qt.Check(t, orders <= tc.maxOrders, qt.IsTrue, qt.Commentf("%s, polls each %d ms: %d orders", tc.name, pollMS, orders))
			orders = 0
			fl.run(30_000)
			qt.Check(t, orders, qt.Equals, 0, qt.Commentf(tc.name))
		}
	}
}
