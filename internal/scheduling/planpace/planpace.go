package planpace

// Pace is the time between the begins of two planning passes, adapted to how long passes take; it isn't safe for concurrent use.
type Pace struct {
	meanMS float64
}

const (
	// minIntervalMS lets jobs and run ends that arrive together share a commit.
	minIntervalMS = 15
	// maxIntervalMS is what a start may wait for its pass where one takes very long.
	maxIntervalMS = 150
	// passFactor times the mean duration of a pass is the interval: passes visit all open jobs and VMs, so without it their part of the processor would grow with both.
	passFactor = 6
	// weight is the weight of a new pass in the moving average.
	weight = 0.1
)

// New returns the shortest interval.
func New() *Pace { return &Pace{} }

// Record records how long a pass took; it is longer than the pass needs if the processor is short.
func (pc *Pace) Record(tookMS int64) { pc.meanMS += weight * (float64(tookMS) - pc.meanMS) }

// IntervalMS returns the minimum time from the begin of a pass to that of the next one.
func (pc *Pace) IntervalMS() int64 {
	return min(max(int64(passFactor*pc.meanMS), minIntervalMS), maxIntervalMS)
}
