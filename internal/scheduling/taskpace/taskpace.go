package taskpace

import (
	"maps"
	"slices"
)

// Pace holds what one owner has learned; it isn't safe for concurrent use.
type Pace struct {
	queues map[string]*queueTimes
	steps  map[string]*siblings
	vms    map[string]*vmPace
	// slow holds those of the VMs that count as slow.
	slow map[string]*vmPace
	// slowChanges counts the changes of slow.
	slowChanges int
	// retries holds, by queue, whether further runs of tasks that were long on sound VMs helped.
	retries map[string]*retries
}

const (
	// minPercent and minProjectedMS are the progress and the time from which a run's duration is projected: progress comes in whole percent, and it is some ten milliseconds old.
	minPercent     = 5
	minProjectedMS = 300
	fullPercent    = 100
)

// New returns a pace without observations.
func New() *Pace {
	return &Pace{queues: map[string]*queueTimes{}, steps: map[string]*siblings{}, vms: map[string]*vmPace{}, slow: map[string]*vmPace{}, retries: map[string]*retries{}}
}

// RecordProgress records the projected duration of a task's run, which began at startMS, on a VM, and reports whether the VM has become slow or has recovered.
func (pc *Pace) RecordProgress(queue, step string, index int, vm string, estimateMS, projectedMS, startMS, nowMS int64) bool {
	pc.recordSibling(step, index, vm, projectedMS)
	return pc.recordVM(queue, step, index, vm, estimateMS, projectedMS, startMS, nowMS)
}

// RecordDone records that a task, which began at startMS, is done on a VM, and reports whether the VM has become slow or has recovered.
func (pc *Pace) RecordDone(queue, step string, index int, vm string, estimateMS, startMS, nowMS int64) bool {
	tookMS := nowMS - startMS
	pc.recordSibling(step, index, vm, tookMS)
	changed := pc.recordVM(queue, step, index, vm, estimateMS, tookMS, startMS, nowMS)
	qt, ok := pc.queues[queue]
	if !ok {
		qt = &queueTimes{}
		pc.queues[queue] = qt
	}
	qt.record(estimateMS, tookMS, pc.VMSlow(vm))
	return changed
}

// ProjectedMS returns how long a whole task takes at the rate of a run that made a percentage of progress in a time, and whether that suffices to tell.
func (pc *Pace) ProjectedMS(tookMS, percent int64) (int64, bool) {
	if percent < minPercent || tookMS < minProjectedMS {
		return 0, false
	}
	return tookMS * fullPercent / percent, true
}

func (pc *Pace) recordSibling(step string, index int, vm string, tookMS int64) {
	if pc.steps[step] == nil {
		pc.steps[step] = newSiblings()
	}
	pc.steps[step].record(index, vm, tookMS)
}

// ForgetStep removes what was learned of a step's tasks.
func (pc *Pace) ForgetStep(step string) { delete(pc.steps, step) }

// ForgetVM removes what was learned of a VM, which has restarted or ended.
func (pc *Pace) ForgetVM(vm string) {
	delete(pc.vms, vm)
	pc.setSlow(vm, nil)
}

// setSlow sets what is known of a VM that counts as slow, nil if it doesn't.
func (pc *Pace) setSlow(vm string, vp *vmPace) {
	if pc.VMSlow(vm) == (vp != nil) {
		return
	}
	pc.slowChanges++
	if vp == nil {
		delete(pc.slow, vm)
		return
	}
	pc.slow[vm] = vp
}

// TrialBegun records that a slow VM was given a task to see whether it has recovered.
func (pc *Pace) TrialBegun(vm string, nowMS int64) {
	if vp, ok := pc.vms[vm]; ok {
		vp.onTrial, vp.seenMS = true, nowMS
	}
}

// Factor returns how long a queue's tasks take relative to their estimates, as the ratio of the sums over the most recent ones; 1 while too few have ended.
func (pc *Pace) Factor(queue string) float64 {
	if qt, ok := pc.queues[queue]; ok {
		return qt.factor()
	}
	return 1
}

// ExpectedMS returns how long a task takes on a VM of normal speed, from its siblings on other VMs or else from its queue, and whether enough is known to tell.
func (pc *Pace) ExpectedMS(queue, step string, index int, vm string, estimateMS int64) (int64, bool) {
	if sb, ok := pc.steps[step]; ok {
		if tookMS, known := sb.expectedMS(index, vm, pc.VMSlow, pc.slowChanges); known {
			return tookMS, true
		}
	}
	if qt, ok := pc.queues[queue]; ok {
		return qt.usualMS(estimateMS)
	}
	return 0, false
}

// recordVM compares a duration with what is expected elsewhere.
func (pc *Pace) recordVM(queue, step string, index int, vm string, estimateMS, tookMS, startMS, nowMS int64) bool {
	expectedMS, ok := pc.ExpectedMS(queue, step, index, vm, estimateMS)
	if !ok || expectedMS <= 0 {
		return false
	}
	vp, known := pc.vms[vm]
	if !known {
		vp = newVMPace()
		pc.vms[vm] = vp
	}
	changed := vp.record(taskKey{step, index}, float64(tookMS)/float64(expectedMS), startMS, nowMS)
	if vp.verdict == verdictSlow {
		pc.setSlow(vm, vp)
	} else {
		pc.setSlow(vm, nil)
	}
	return changed
}

// VMSlow reports whether a VM counts as slow.
func (pc *Pace) VMSlow(vm string) bool {
	_, ok := pc.slow[vm]
	return ok
}

// VMSound reports whether a VM is known to run its tasks at normal speed, whatever one of them takes.
func (pc *Pace) VMSound(vm string, nowMS int64) bool {
	vp, ok := pc.vms[vm]
	return ok && vp.verdict == verdictSound && nowMS-vp.seenMS < evidenceTTLMS
}

// TrialDue reports whether a slow VM should get one task again to see whether it has recovered.
func (pc *Pace) TrialDue(vm string, nowMS int64) bool {
	vp, ok := pc.slow[vm]
	return ok && nowMS-vp.seenMS >= vp.trialMS
}

// SlowPercent returns how long tasks take on a VM relative to others, in percent; 100 if nothing is known.
func (pc *Pace) SlowPercent(vm string) int64 {
	if vp, ok := pc.vms[vm]; ok && len(vp.recent) > 0 {
		return int64(vp.slowness() * fullPercent)
	}
	return fullPercent
}

// SlowVMs returns the VMs that count as slow, in order.
func (pc *Pace) SlowVMs() []string {
	return slices.Sorted(maps.Keys(pc.slow))
}
