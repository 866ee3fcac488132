package taskpace

import (
	"cmp"
	"slices"
)

type verdict int

const (
	verdictUnknown verdict = iota
	verdictSound
	verdictSlow
)

const (
	// recentTasks is how many tasks on a VM are compared; a few suffice to tell one unusual task from a slow VM, and more would delay the recognition of a recovered VM.
	recentTasks = 4
	// minSlowTasks is how many of them must be slow, since one may just be a long task.
	minSlowTasks = 2
	// slowAbove and soundBelow are the slowness from which a VM counts as slow, and below which it counts as sound again. Tasks of a step differ by up to a half on equal VMs.
	slowAbove  = 2.0
	soundBelow = 1.5
	// evidenceTTLMS is how long a task is compared: VMs become slow and recover within seconds to minutes.
	evidenceTTLMS = 20_000
	// minTrialMS and maxTrialMS bound the interval after which a slow VM without work is tried again; it doubles with each trial that shows the VM slow, since each costs a task the delay of a move.
	minTrialMS = 5000
	maxTrialMS = 40_000
)

type taskKey struct {
	step  string
	index int
}

// vmPace is what the recent tasks on a VM show of its speed.
type vmPace struct {
	recent  []comparison
	verdict verdict
	seenMS  int64
	trialMS int64
	// onTrial is set from the start of a task that is to show whether the VM has recovered.
	onTrial bool
}

// comparison is how long a task took on the VM relative to what it takes elsewhere.
type comparison struct {
	key     taskKey
	ratio   float64
	startMS int64
	atMS    int64
}

func newVMPace() *vmPace { return &vmPace{trialMS: minTrialMS} }

// record adds a task that began at startMS, or replaces its earlier comparison, and reports whether the VM has become slow or has recovered. The tasks that began last are kept: those that were heard of last would mostly be long ones.
func (vp *vmPace) record(key taskKey, ratio float64, startMS, nowMS int64) bool {
	vp.recent = slices.DeleteFunc(vp.recent, func(cm comparison) bool { return cm.key == key || nowMS-cm.atMS >= evidenceTTLMS })
	if len(vp.recent) == recentTasks && startMS < vp.recent[0].startMS {
		return false
	}
	vp.confirmTrial(ratio)
	vp.recent = append(vp.recent, comparison{key, ratio, startMS, nowMS})
	slices.SortStableFunc(vp.recent, func(one, other comparison) int { return cmp.Compare(one.startMS, other.startMS) })
	if len(vp.recent) > recentTasks {
		vp.recent = vp.recent[1:]
	}
	vp.seenMS = nowMS
	before := vp.verdict
	slowness := vp.slowness()
	switch {
	case slowness >= slowAbove && len(vp.recent) >= minSlowTasks:
		vp.verdict = verdictSlow
	case slowness < soundBelow:
		vp.verdict, vp.trialMS = verdictSound, minTrialMS
	}
	return (before == verdictSlow) != (vp.verdict == verdictSlow)
}

// confirmTrial lengthens the interval between trials if the VM is still slow.
func (vp *vmPace) confirmTrial(ratio float64) {
	if vp.onTrial && ratio >= slowAbove {
		vp.trialMS = min(2*vp.trialMS, maxTrialMS)
	}
	vp.onTrial = false
}

// slowness returns the lower median of the recent comparisons: one long task among others doesn't raise it.
func (vp *vmPace) slowness() float64 {
	ratios := make([]float64, 0, len(vp.recent))
	for _, cm := range vp.recent {
		ratios = append(ratios, cm.ratio)
	}
	slices.Sort(ratios)
	return ratios[(len(ratios)-1)/2]
}
