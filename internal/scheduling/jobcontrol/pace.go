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
	if !vm.hasBestEffort() {
		return
	}
	if !vm.hasLatencySensitive() {
		ct.setPace(vm, fullPercent)
		return
	}
	vm.inheritPace()
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

// inheritPace takes over the pace at which an earlier owner may have left best-effort tasks, as far as their CPU use shows it: a higher one would disturb the other tasks at each change of owner.
func (vm *vmState) inheritPace() {
	if !vm.paceInherited {
		return
	}
	for _, rn := range vm.runs {
		if rn.bestEffort() && rn.phase == phaseRunning {
			vm.paceInherited = false
			vm.pace = min(vm.pace, rn.usedPercent())
		}
	}
}

// usedPercent returns a best-effort run's CPU use in percent of what its step asks for, within the range of paces that let it work.
func (rn *run) usedPercent() int64 {
	asked := rn.st.row.GetCpuMilli()
	if asked <= 0 {
		return minPacePercent
	}
	return min(max(rn.gauge*fullPercent/asked, minPacePercent), fullPercent)
}

// setPace sets the pace of best-effort tasks on a VM and orders it for each run that may have another one.
func (ct *Controller) setPace(vm *vmState, percent int64) {
	vm.pace = percent
	nowMS := ct.ck.Now()
	for _, rn := range vm.runs {
		if !rn.bestEffort() || rn.phase != phaseRunning || !rn.pace.Due(percent, nowMS) {
			continue
		}
		rn.pace.Ordered(percent, nowMS)
		od := ct.newOrder(workpb.Verb_PACE, rn)
		od.Percent = percent
		ct.outbox = append(ct.outbox, od)
	}
}

// handlePaceVerdict records the outcome of an order of a pace. Until a later one was accepted, the run may have either pace.
func (ct *Controller) handlePaceVerdict(rn *run, percent int64, vd workpb.Verdict) {
	switch vd {
	case workpb.Verdict_ACCEPTED:
		rn.pace.Accepted()
		return
	case workpb.Verdict_IN_DOUBT:
		rn.pace.InDoubt(ct.ck.Now() + inDoubtMS)
	default:
		rn.pace.NotExecuted()
	}
	ct.lg.Info("pace-unconfirmed", "vm", rn.vm.id, "task", rn.key.task, "run", rn.key.run, "percent", percent, "verdict", vd.String())
}
