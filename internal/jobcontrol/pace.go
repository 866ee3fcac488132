package jobcontrol

import "github.com/fulmarloft/fulmarloft/internal/workpb"

const (
	// mixedLookMS is the pause between looks at a VM where filling tasks may disturb serving ones.
	mixedPollMS = 400
	// slowDownPercent of its target is the tail from which filling tasks are slowed down.
	slowDownTailPercent = 85
	// speedUpPercent of its target is the tail up to which they may work more.
	speedUpTailPercent = 65
	// slowDownDivisor is the cut of the pace at one look.
	slowDownDivisor = 3
	// speedUpStep is the rise of the pace at one look, in percent.
	speedUpStepPercent = 10
	// leastPace is the lowest pace but a standstill, in percent.
	minPacePercent = 10
)

// pace slows filling tasks down beside serving ones whose tail comes near its target; it answers disturbance that changes within seconds.
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

// worstTailPercent returns the largest tail on the VM in percent of its target.
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
