package lag

// Lag measures the latency of calls over all peers, to detect a slow machine, overload or a bad network link of this machine.
type Lag struct {
	buckets [bucketCount]bucket
	zones   map[string]*zone
}

// bucket counts the calls that ended in one period of bucketMS.
type bucket struct {
	period   int64
	answered int
	late     int
	// unanswered counts the calls that were given up.
	unanswered int
}

// zone holds when a call to an availability zone was last answered in time, and when one last wasn't.
type zone struct {
	inTimeMS int64
	failedMS int64
}

const (
	// lateMS is the duration from which a call counts as late; on a machine that is not overloaded a call takes a few milliseconds.
	lateMS = 200
	// bucketMS times bucketCount is the window over which calls are counted. It is longer than a pause of the runtime or of the machine.
	bucketMS    = 200
	bucketCount = 6
	windowMS    = bucketMS * bucketCount
	// At least minCalls calls must have ended in the window, and more than one in lateDivisor of them late, so that calls to a single slow zone do not suffice.
	minCalls    = 8
	lateDivisor = 2
	// zoneMemoryMS is how long a zone counts after its last call; idle VMs are called more often.
	zoneMemoryMS = 8000
)

// New returns a Lag without any calls.
func New() *Lag { return &Lag{zones: map[string]*zone{}} }

// Record records a call to a zone that was answered at nowMS after tookMS.
func (lg *Lag) Record(nowMS int64, zone string, tookMS int64) {
	bk := lg.bucketAt(nowMS)
	bk.answered++
	if tookMS >= lateMS {
		bk.late++
	}
	lg.RecordLongPoll(nowMS, zone, tookMS)
}

// RecordUnanswered records a call to a zone that was given up at nowMS.
func (lg *Lag) RecordUnanswered(nowMS int64, zone string) {
	lg.bucketAt(nowMS).unanswered++
	lg.ensureZone(zone).failedMS = nowMS
}

// RecordLongPoll records a long poll of a zone that was answered at nowMS, overMS after the wait that it asked for. It only shows whether the zone's answers come in time.
func (lg *Lag) RecordLongPoll(nowMS int64, zone string, overMS int64) {
	zn := lg.ensureZone(zone)
	if overMS >= lateMS {
		zn.failedMS = nowMS
	} else {
		zn.inTimeMS = nowMS
	}
}

// Sustained reports whether most calls in the window that were answered were late. Unanswered calls count only if there are too few others and no zone answers in time: otherwise the VM or the link to it may be at fault.
func (lg *Lag) Sustained(nowMS int64) bool {
	answered, late, unanswered := 0, 0, 0
	for _, bk := range lg.buckets {
		if bk.period > nowMS/bucketMS-bucketCount {
			answered += bk.answered
			late += bk.late
			unanswered += bk.unanswered
		}
	}
	if answered >= minCalls {
		return late*lateDivisor > answered
	}
	return answered+unanswered >= minCalls && !lg.answeredInTime(nowMS)
}

// answeredInTime reports whether a zone answers in time: its last call was answered so, or one in the window before it.
func (lg *Lag) answeredInTime(nowMS int64) bool {
	for _, zn := range lg.zones {
		if nowMS-max(zn.inTimeMS, zn.failedMS) <= zoneMemoryMS && zn.inTimeMS > zn.failedMS-windowMS {
			return true
		}
	}
	return false
}

// bucketAt returns the bucket of a call that ends at nowMS.
func (lg *Lag) bucketAt(nowMS int64) *bucket {
	period := nowMS / bucketMS
	bk := &lg.buckets[period%bucketCount]
	if bk.period != period {
		*bk = bucket{period: period}
	}
	return bk
}

func (lg *Lag) ensureZone(name string) *zone {
	zn, ok := lg.zones[name]
	if !ok {
		zn = &zone{}
		lg.zones[name] = zn
	}
	return zn
}
