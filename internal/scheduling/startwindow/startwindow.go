package startwindow

// Window is the number of starts that may be under way, adapted to the latency of orders.
type Window struct {
	limit    int
	periodMS int64
	answers  int
	late     int
	// unanswered counts the orders that were given up.
	unanswered int
}

const (
	// initialLimit suits a machine whose speed isn't known yet.
	initialLimit = 64
	minLimit     = 8
	maxLimit     = 1024
	// adaptPeriodMS is how long answers are collected before the limit is adapted.
	adaptPeriodMS = 50
	// lateMS is the duration from which an answer counts as late; VMs in other zones answer within a few milliseconds.
	lateMS = 80
	// lateDivisor: the limit shrinks if one in lateDivisor answers or more are late, so that a few unreachable VMs don't matter.
	lateDivisor = 3
	// A shrinking limit is multiplied by shrinkNumerator/shrinkDenominator.
	shrinkNumerator   = 1
	shrinkDenominator = 2
)

// New returns a window with the initial limit.
func New() *Window { return &Window{limit: initialLimit} }

// Limit returns how many starts may be under way.
func (wd *Window) Limit() int { return wd.limit }

// Record records an order that was answered at nowMS after tookMS.
func (wd *Window) Record(nowMS, tookMS int64) {
	wd.advance(nowMS)
	wd.answers++
	if tookMS >= lateMS {
		wd.late++
	}
}

// RecordUnanswered records an order that was given up at nowMS. It tells of this machine's load only where no other order is answered: answers may just be lost.
func (wd *Window) RecordUnanswered(nowMS int64) {
	wd.advance(nowMS)
	wd.unanswered++
}

// advance adapts the limit when a new period begins.
func (wd *Window) advance(nowMS int64) {
	if period := nowMS / adaptPeriodMS; period != wd.periodMS {
		wd.adapt()
		wd.periodMS = period
	}
}

// adapt shrinks the limit after a period with late answers, or with unanswered orders alone, and grows it by the answers of any other.
func (wd *Window) adapt() {
	if wd.late*lateDivisor >= wd.answers && wd.late+wd.unanswered > 0 {
		wd.limit = max(wd.limit*shrinkNumerator/shrinkDenominator, minLimit)
	} else {
		wd.limit = min(wd.limit+wd.answers, maxLimit)
	}
	wd.answers, wd.late, wd.unanswered = 0, 0, 0
}
