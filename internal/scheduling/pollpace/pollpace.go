package pollpace

// Pace is the interval between polls of a VM with runs, adapted to the size of polls and the link; it isn't safe for concurrent use.
type Pace struct {
	// linkBytesPerS is the rate of the link, 0 if it is unknown.
	linkBytesPerS int64
	// meanBytes is the moving average of the size of a poll with its answer.
	meanBytes float64
}

const (
	// minIntervalMS joins ends that are close together in one answer. maxIntervalMS, with the time that a VM holds a poll open and a second poll after a lost answer, is below the lease of runs, 4 s.
	minIntervalMS = 120
	maxIntervalMS = 1200
	// heldMS is for how long a VM holds a poll open on average: up to 600 ms, until a run ends.
	heldMS = 300
	// linkPart is the part of the link that polls may take.
	linkPart = 0.6
	// weight is the weight of a new size in the moving average.
	weight = 0.05
	msPerS = 1000
)

// New returns the pace for a link of the given rate, 0 if it is unknown.
func New(linkBytesPerS int64) *Pace { return &Pace{linkBytesPerS: linkBytesPerS} }

// Record records the size of a poll with its answer.
func (pc *Pace) Record(bytes int64) {
	if pc.meanBytes == 0 {
		pc.meanBytes = float64(bytes)
		return
	}
	pc.meanBytes += weight * (float64(bytes) - pc.meanBytes)
}

// IntervalMS returns the pause between two polls of each of so many VMs with runs.
func (pc *Pace) IntervalMS(vms int) int64 {
	if pc.linkBytesPerS == 0 {
		return minIntervalMS
	}
	roundMS := float64(vms) * pc.meanBytes * msPerS / (linkPart * float64(pc.linkBytesPerS))
	return int64(min(max(roundMS-heldMS, minIntervalMS), maxIntervalMS))
}
