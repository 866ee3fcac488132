package orderedpace

// Pace is what is known of one run's pace.
//
// An order without an answer may be executed seconds later, after newer ones, and orders that are under way at once may be executed in any order. Until one was sent and accepted with no other under way or in doubt, the pace is uncertain and the order is repeated.
type Pace struct {
	percent   int64
	uncertain bool
	// sentMS is when the last order was sent, underWay counts those that aren't answered yet.
	sentMS   int64
	underWay int
	// alone is set if no other order was under way or in doubt when the last one was sent.
	alone bool
	// lateUntilMS is until when an unanswered order may still be executed.
	lateUntilMS int64
}

// repeatIntervalMS is the minimum interval between repeated orders; an order that is executed late counts for no longer than this and the time between two polls.
const repeatIntervalMS = 1000

// New returns the state of a run that begins at a pace in percent.
func New(percent int64) Pace { return Pace{percent: percent} }

// Due reports whether an order is due for the run to have a pace in percent: it was ordered another one, or what it has is uncertain and the last order is old enough.
func (pc *Pace) Due(percent, nowMS int64) bool {
	if percent != pc.percent {
		return true
	}
	return pc.uncertain && pc.underWay == 0 && nowMS-pc.sentMS >= repeatIntervalMS
}

// Ordered records that an order was sent.
func (pc *Pace) Ordered(percent, nowMS int64) {
	pc.alone = pc.underWay == 0 && nowMS >= pc.lateUntilMS
	pc.percent, pc.sentMS, pc.uncertain = percent, nowMS, true
	pc.underWay++
}

// Accepted records that an order was executed.
func (pc *Pace) Accepted() {
	pc.underWay--
	if pc.alone && pc.underWay == 0 {
		pc.uncertain = false
	}
}

// NotExecuted records that an order certainly was not and will not be executed.
func (pc *Pace) NotExecuted() { pc.underWay-- }

// InDoubt records that an order has no answer and may be executed until a time.
func (pc *Pace) InDoubt(untilMS int64) {
	pc.underWay--
	pc.lateUntilMS = max(pc.lateUntilMS, untilMS)
}

// Forget records that the run may have any pace, ordered by an earlier owner or lost with an incarnation of its VM; an order is due at once.
func (pc *Pace) Forget() {
	pc.uncertain, pc.alone = true, false
	pc.sentMS -= repeatIntervalMS
}
