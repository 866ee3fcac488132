package lag

// Lag watches how long calls take over all peers; it answers a machine that has become slow, is given more than it can do or lies behind a bad link.
type Lag struct {
	buckets [bucketCount]bucket
}

// bucket counts the calls that ended in one span of time.
type bucket struct {
	period int64
	calls  int
	late   int
}

const (
	// lateMS is the time from which a call is late that a calm machine exchanges in a few milliseconds.
	lateMS = 200
	// bucketMS and bucketCount make the time over which calls are judged, longer than a pause of the runtime or of the machine.
	bucketMS    = 200
	bucketCount = 6
	// leastCalls is how many calls must have ended, and lateShare which part of them late, as one in so many: single zones that are cut off don't suffice.
	minCalls    = 8
	lateDivisor = 2
)

// New returns a watch that has seen no call.
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

// Sustained reports whether most calls of late were late.
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
