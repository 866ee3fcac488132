package usage

import (
	"math"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/size"
)

// Estimator keeps histograms with exponential decay of the ratio of observed to declared use; it isn't safe for concurrent use.
type Estimator struct {
	ck     *clock.Clock
	groups map[string]*group
}

// MaxCorrection is the largest factor by which a declared size is corrected, upwards or downwards.
const MaxCorrection = 10

const (
	halfLifeMS = 60 * 60 * 1000
	// rescaleAbove is the weight of a new observation above which a histogram is rescaled, to keep its weights in range.
	rescaleAbove = 1 << 40
	// The buckets cover ratios from 2^minExponent on over eight doublings.
	bucketsPerDoubling = 4
	minExponent        = -4
	buckets            = 8*bucketsPerDoubling + 1
	coresQuantile      = 0.9
	memoryQuantile     = 0.98
	// The prior weights count as observations of a ratio of 1; it takes more evidence to shrink a size than to grow it.
	shrinkPriorWeight = 4
	growPriorWeight   = 1
)

// group holds the histograms of one team and class.
type group struct {
	cores  histogram
	memory histogram
}

// histogram weights an observation by 2 to the power of the half-lives from startMS to its time, so that older ones decay relative to it.
type histogram struct {
	startMS int64
	sum     float64
	weights [buckets]float64
}

// New returns an estimator without observations, which leaves declared sizes unchanged.
func New(ck *clock.Clock) *Estimator {
	return &Estimator{ck: ck, groups: map[string]*group{}}
}

// Observe records the peak use of a run of a team and class.
func (es *Estimator) Observe(team, class string, declared, peak size.Size) {
	key := team + "/" + class
	gr, ok := es.groups[key]
	if !ok {
		now := es.ck.Now()
		gr = &group{cores: histogram{startMS: now}, memory: histogram{startMS: now}}
		es.groups[key] = gr
	}
	gr.cores.add(es.ck.Now(), declared.CoresMilli(), peak.CoresMilli())
	gr.memory.add(es.ck.Now(), declared.MemoryMB(), peak.MemoryMB())
}

// Correct returns the size to reserve for a declared one; the number of accelerators is never corrected.
func (es *Estimator) Correct(team, class string, declared size.Size) size.Size {
	gr, ok := es.groups[team+"/"+class]
	if !ok {
		return declared
	}
	now := es.ck.Now()
	return size.New(
		scale(declared.CoresMilli(), gr.cores.factor(now, coresQuantile)),
		scale(declared.MemoryMB(), gr.memory.factor(now, memoryQuantile)),
		declared.Accelerators(),
	)
}

func scale(amount int64, factor float64) int64 {
	if amount == 0 {
		return 0
	}
	return max(1, int64(math.Ceil(float64(amount)*factor)))
}

func (hg *histogram) add(nowMS, declared, peak int64) {
	if declared <= 0 || peak <= 0 {
		return
	}
	weight := math.Exp2(float64(nowMS-hg.startMS) / halfLifeMS)
	if weight > rescaleAbove {
		for i := range hg.weights {
			hg.weights[i] /= weight
		}
		hg.sum /= weight
		hg.startMS, weight = nowMS, 1
	}
	hg.weights[bucket(float64(peak)/float64(declared))] += weight
	hg.sum += weight
}

// bucket returns the index of the ratio's bucket, rounded up so that the bucket's value isn't below the ratio.
func bucket(ratio float64) int {
	at := int(math.Ceil((math.Log2(ratio) - minExponent) * bucketsPerDoubling))
	return min(max(at, 0), buckets-1)
}

// factor returns the quantile of the ratio, shrunk towards 1 while there is little evidence and limited by MaxCorrection.
func (hg *histogram) factor(nowMS int64, quantile float64) float64 {
	if hg.sum == 0 {
		return 1
	}
	evidence := hg.sum / math.Exp2(float64(nowMS-hg.startMS)/halfLifeMS)
	exponent := hg.quantile(quantile)
	priorWeight := float64(shrinkPriorWeight)
	if exponent > 0 {
		priorWeight = growPriorWeight
	}
	factor := math.Exp2(exponent * evidence / (evidence + priorWeight))
	return min(max(factor, 1.0/MaxCorrection), MaxCorrection)
}

// quantile returns the base-2 logarithm of the ratio at quantile q.
func (hg *histogram) quantile(q float64) float64 {
	cumulative := 0.0
	for at, weight := range hg.weights {
		cumulative += weight
		if cumulative >= q*hg.sum {
			return float64(at)/bucketsPerDoubling + minExponent
		}
	}
	return 0
}
