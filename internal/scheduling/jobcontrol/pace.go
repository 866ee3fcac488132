package jobcontrol

import "github.com/fulmarloft/fulmarloft/internal/pb/workpb"

const (
	// mixedPollIntervalMS is the interval between polls of a VM where best-effort tasks may slow down latency-sensitive ones.
	mixedPollIntervalMS = 400
	// slowDownTailPercent is the tail latency, in percent of its target, from which best-effort tasks are throttled.
	slowDownTailPercent = 85
	// speedUpTailPercent is the tail latency, in percent of its target, up to which their pace is raised.
	speedUpTailPercent = 65
	// slowDownDivisor divides the pace at each poll that throttles.
	slowDownDivisor = 3
	// speedUpStepPercent is added to the pace at each poll that raises it.
	speedUpStepPercent = 10
	// minPacePercent is the lowest pace above 0; a lower one is rounded down to 0.
	minPacePercent = 10
)

// adjustPace throttles best-effort tasks while the tail latency of a latency-sensitive task on the same VM is close to its target; it reacts to interference that changes within seconds.
func (ct *Controller) adjustPace(vm *vmState) {
	if !vm.mixed() {
		if vm.pace != fullPercent && vm.hasBestEffort() {
			ct.setPace(vm, fullPercent)
		}
		return
	}
	worst := vm.worstTailPercent()
	switch {
	case worst >= slowDownTailPercent:
		next := vm.pace / slowDownDivisor
		if next < minPacePercent {
			next = 0
		}
		ct.setPace(vm, next)
	case worst <= speedUpTailPercent:
		ct.setPace(vm, min(vm.pace+speedUpStepPercent, fullPercent))
	default:
		ct.setPace(vm, vm.pace)
	}
}

// worstTailPercent returns the highest tail latency on the VM in percent of its target.
func (vm *vmState) worstTailPercent() int64 {
	worst := int64(0)
	for _, rn := range vm.runs {
		if rn.latencySensitive() && rn.phase == phaseRunning {
			worst = max(worst, rn.gauge*fullPercent/rn.task.st.row.GetTailTargetMs())
		}
	}
	return worst
}

func (ct *Controller) setPace(vm *vmState, percent int64) {
	vm.pace = percent
	for _, rn := range vm.runs {
		if !rn.bestEffort() || rn.phase != phaseRunning || rn.sentPace == percent {
			continue
		}
		rn.sentPace = percent
		od := ct.newOrder(workpb.Verb_PACE, rn)
		od.Percent = percent
		ct.outbox = append(ct.outbox, od)
	}
}
