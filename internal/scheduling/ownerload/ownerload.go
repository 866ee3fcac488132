package ownerload

// Load measures how late the owner's loop handles its ticks; it isn't safe for concurrent use.
type Load struct {
	// dueMS is when the next tick is due, 0 before the first one.
	dueMS int64
	// endMS is the end of the window in which lateMS and ticks are added up.
	endMS  int64
	lateMS int64
	ticks  int64
	// meanLateMS is the mean lateness in the last complete window.
	meanLateMS int64
	short      bool
}

const (
	// windowMS is the time over which lateness is averaged.
	windowMS = 500
	// minTicks is the number of ticks in a window that tell something.
	minTicks = 5
	// shortMS is the mean lateness from which the processor counts as short. Calls to VMs, which other goroutines make, then wait about as long several times each.
	shortMS = 3
	// maxLateMS bounds what one tick counts: a pause of the machine delays only one.
	maxLateMS = 30
)

// New returns a load without observations.
func New() *Load { return &Load{} }

// RecordTick records that a tick of a loop, which repeats at intervalMS, was handled at nowMS.
func (ld *Load) RecordTick(nowMS, intervalMS int64) {
	if ld.dueMS > 0 {
		ld.lateMS += min(max(nowMS-ld.dueMS, 0), maxLateMS)
		ld.ticks++
	}
	ld.dueMS = nowMS + intervalMS
	if nowMS < ld.endMS {
		return
	}
	if ld.ticks >= minTicks {
		ld.meanLateMS = ld.lateMS / ld.ticks
		ld.short = ld.short || ld.meanLateMS >= shortMS
	}
	ld.endMS, ld.lateMS, ld.ticks = nowMS+windowMS, 0, 0
}

// Short reports whether the processor was short at any time: the load that did it comes again, within seconds where queues peak in turn.
func (ld *Load) Short() bool { return ld.short }

// MeanLateMS returns the mean lateness of the loop in the last complete window, in milliseconds.
func (ld *Load) MeanLateMS() int64 { return ld.meanLateMS }
