package startretry

import "sync"

// Delay is the time to wait for the answer to a start or poll before it is repeated, adapted to how long answers take; it is safe for concurrent use.
type Delay struct {
	mu sync.Mutex
	// meanMS is the moving average of how long answers took.
	meanMS float64
	// peakMS is how long the slowest of the last answers took.
	peakMS float64
}

const (
	// minDelayMS is longer than an answer from another availability zone takes.
	minDelayMS = 50
	// delayFactor times the average is the delay: where answers are slow in general, repeating calls would slow them further.
	delayFactor = 5
	// weight is the weight of a new value in the moving average.
	weight = 0.05
	// peakFactor times the slowest of the last answers is the delay where some answers are slow: they are on their way, not lost.
	peakFactor = 2
	// peakDecay is what remains of the slowest answer after another answer.
	peakDecay = 0.99
)

// New returns the shortest delay.
func New() *Delay { return &Delay{} }

// Record records how long an answer took.
func (dl *Delay) Record(tookMS int64) {
	dl.mu.Lock()
	defer dl.mu.Unlock()
	dl.meanMS += weight * (float64(tookMS) - dl.meanMS)
	dl.peakMS = max(peakDecay*dl.peakMS, float64(tookMS))
}

// MS returns the delay in milliseconds.
func (dl *Delay) MS() int64 {
	dl.mu.Lock()
	defer dl.mu.Unlock()
	return max(int64(delayFactor*dl.meanMS), int64(peakFactor*dl.peakMS), minDelayMS)
}
