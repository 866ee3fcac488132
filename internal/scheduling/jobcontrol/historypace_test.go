package jobcontrol_test

import "fmt"

const (
	// A third of the VMs is slow, some until a time in the history; one task in eight is long.
	slowHosts        = 3
	slowHostPercent  = 400
	longTasks        = 8
	maxLongTaskMS    = 8000
	maxSlowSpanMS    = 20_000
	minHistoryWorkMS = 300
	savingTasks      = 3
	minSiblings      = 2
)

// lastsMS returns when a history must have ended; a third of the VMs being four times slower takes longer, and so do long tasks.
func (pl *historyPlan) lastsMS() int64 {
	if pl.paced || pl.restarts {
		return slowHostPercent * maxHistoryMS / percentAll
	}
	return maxHistoryMS
}

// weight returns the weight of the team in a history: above 0, what is learned of VMs and work decides where tasks run.
func (hs *history) weight() float64 {
	if hs.pl.paced {
		return 1
	}
	return 0
}

// setSpeed makes a VM of a paced history slow, for good or for a time, and lets some tasks save their progress.
func (hs *history) setSpeed(ht *host) {
	if !hs.pl.paced {
		return
	}
	id := ht.vm.GetId()
	ht.wk.Saves = func(task string) bool { return hs.draw(savingTasks, "saves", task) == 0 }
	if hs.draw(slowHosts, "slow", id) > 0 {
		return
	}
	ht.wk.SlowdownPercent = slowHostPercent
	if hs.draw(2, "recovers", id) == 0 {
		hs.after(hs.draw(maxSlowSpanMS, "recovers-after", id), func() { ht.wk.SlowdownPercent = percentAll })
	}
}

// pacedWorkMS returns how long a task takes on a VM that isn't slow: about as long as its siblings, unless it is a long one.
func (hs *history) pacedWorkMS(task string) int64 {
	_, nm := hs.stepOf(task)
	workMS := minHistoryWorkMS + hs.draw(hs.pl.maxWorkMS, "step-takes", fmt.Sprint(nm.Job(), nm.Occurrence(), nm.Step()))
	if hs.draw(longTasks, "long", task) == 0 {
		return max(workMS, min(longFactor*workMS, maxLongTaskMS))
	}
	return workMS * (percentAll - 10 + hs.draw(20, "takes", task)) / percentAll
}
