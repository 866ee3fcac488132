package usage

import (
	"math"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/size"
)

// Estimator keeps decayed histograms of observed over declared use; it isn't safe for concurrent use.
type Estimator struct {
	ck     *clock.Clock
	groups map[string]*group
}

// MaxCorrection bounds the correction of a declared size, upwards and downwards.
const MaxCorrection = 10

const (
	halfLifeMS      = 60 * 60 * 1000
	rescaleAbove    = 1 << 40
	bucketsPerTwice = 4
	lowestExponent  = -4
	buckets         = 8*bucketsPerTwice + 1
	coresQuantile   = 0.9
	memoryQuantile  = 0.98
	weightToShrink  = 4
	weightToGrow    = 1
)

type group struct {
	cores  histogram
	memory histogram
}

type histogram struct {
	startMS int64
	sum     float64
	weights [buckets]float64
}

// New returns an estimator that takes declared sizes as they are until it has observed others.
func New(ck *clock.Clock) *Estimator {
	return &Estimator{ck: ck, groups: map[string]*group{}}
}

// Observe records the highest use of one run of a team and class.
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

// Correct returns the size to reserve for a declared one; accelerators are never corrected.
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

// bucket rounds the ratio up, so that its bucket's edge is never below it.
func bucket(ratio float64) int {
	at := int(math.Ceil((math.Log2(ratio) - lowestExponent) * bucketsPerTwice))
	return min(max(at, 0), buckets-1)
}

// factor returns the quantile of the ratio, drawn towards 1 while there is little evidence, within the bound.
func (hg *histogram) factor(nowMS int64, quantile float64) float64 {
	if hg.sum == 0 {
		return 1
	}
	evidence := hg.sum / math.Exp2(float64(nowMS-hg.startMS)/halfLifeMS)
	exponent := hg.quantile(quantile)
	trust := float64(weightToShrink)
	if exponent > 0 {
		trust = weightToGrow
	}
	factor := math.Exp2(exponent * evidence / (evidence + trust))
	return min(max(factor, 1.0/MaxCorrection), MaxCorrection)
}

func (hg *histogram) quantile(part float64) float64 {
	below := 0.0
	for at, weight := range hg.weights {
		below += weight
		if below >= part*hg.sum {
			return float64(at)/bucketsPerTwice + lowestExponent
		}
	}
	return 0
}
