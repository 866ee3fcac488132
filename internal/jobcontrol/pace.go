package jobcontrol

import "github.com/fulmarloft/fulmarloft/internal/workpb"

const (
	// mixedLookMS is the pause between looks at a VM where filling tasks may disturb serving ones.
	mixedLookMS = 400
	// slowDownPercent of its target is the tail from which filling tasks are slowed down.
	slowDownPercent = 85
	// speedUpPercent of its target is the tail up to which they may work more.
	speedUpPercent = 65
	// slowDownDivisor is the cut of the pace at one look.
	slowDownDivisor = 3
	// speedUpStep is the rise of the pace at one look, in percent.
	speedUpStep = 10
	// leastPace is the lowest pace but a standstill, in percent.
	leastPace = 10
)

// pace slows filling tasks down beside serving ones whose tail comes near its target; it answers disturbance that changes within seconds.
func (ct *Controller) pace(on *vm) {
	if !on.mixed() {
		if on.pace != fullPercent && on.filled() {
			ct.setPace(on, fullPercent)
		}
		return
	}
	worst := on.worstTailPercent()
	switch {
	case worst >= slowDownPercent:
		next := on.pace / slowDownDivisor
		if next < leastPace {
			next = 0
		}
		ct.setPace(on, next)
	case worst <= speedUpPercent:
		ct.setPace(on, min(on.pace+speedUpStep, fullPercent))
	default:
		ct.setPace(on, on.pace)
	}
}

// worstTailPercent returns the largest tail on the VM in percent of its target.
func (vm *vm) worstTailPercent() int64 {
	worst := int64(0)
	for _, rn := range vm.runs {
		if rn.serves() && rn.phase == phaseRunning {
			worst = max(worst, rn.gauge*fullPercent/rn.task.st.row.GetTailTargetMs())
		}
	}
	return worst
}

func (ct *Controller) setPace(on *vm, percent int64) {
	on.pace = percent
	for _, rn := range on.runs {
		if !rn.fills() || rn.phase != phaseRunning || rn.paceSet == percent {
			continue
		}
		rn.paceSet = percent
		od := ct.orderOf(workpb.Verb_PACE, rn)
		od.Percent = percent
		ct.outbox = append(ct.outbox, od)
	}
}
