package lag

// Lag measures the latency of calls over all peers, to detect a slow machine, overload or a bad network link of this machine.
type Lag struct {
	buckets [bucketCount]bucket
}

// bucket counts the calls that ended in one period of bucketMS.
type bucket struct {
	period int64
	calls  int
	late   int
}

const (
	// lateMS is the duration from which a call counts as late; on a machine that is not overloaded a call takes a few milliseconds.
	lateMS = 200
	// bucketMS times bucketCount is the window over which calls are counted. It is longer than a pause of the runtime or of the machine.
	bucketMS    = 200
	bucketCount = 6
	// At least minCalls calls must have ended in the window, and more than one in lateDivisor of them late, so that calls to a single unreachable zone do not suffice.
	minCalls    = 8
	lateDivisor = 2
)

// New returns a Lag without any calls.
func New() *Lag { return &Lag{} }

// Record records a call that ended at nowMS after tookMS.
func (lg *Lag) Record(nowMS, tookMS int64) {
	period := nowMS / bucketMS
	bk := &lg.buckets[period%bucketCount]
	if bk.period != period {
		*bk = bucket{period: period}
	}
	bk.calls++
	if tookMS >= lateMS {
		bk.late++
	}
}

// Sustained reports whether most calls in the window were late.
func (lg *Lag) Sustained(nowMS int64) bool {
	calls, late := 0, 0
	for _, bk := range lg.buckets {
		if bk.period > nowMS/bucketMS-bucketCount {
			calls += bk.calls
			late += bk.late
		}
	}
	return calls >= minCalls && late*lateDivisor > calls
}
