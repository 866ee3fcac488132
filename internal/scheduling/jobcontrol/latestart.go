package jobcontrol

import (
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/size"
)

// keepLateStart remembers a run that was released though an unanswered copy of its start may still be executed. The VM refuses it as long as it runs on; if it starts again under its id, it has forgotten why. It may have done so before anybody notices, so the start counts for its team's cap all the while.
func (ct *Controller) keepLateStart(rn *run) {
	if ct.ck.Now() < rn.mayStartUntilMS {
		ct.dropLateStart(rn.vm, rn.key)
		rn.vm.lateStarts[rn.key] = rn
		rn.vm.lateOfStep[rn.st]++
		rn.vm.lateUse[rn.team] = rn.vm.lateUse[rn.team].Plus(rn.capUse)
		ct.lateVMs[rn.vm] = true
	}
}

// dropLateStart forgets a late start.
func (ct *Controller) dropLateStart(vm *vmState, key runKey) {
	rn, ok := vm.lateStarts[key]
	if !ok {
		return
	}
	delete(vm.lateStarts, key)
	if vm.lateOfStep[rn.st]--; vm.lateOfStep[rn.st] == 0 {
		delete(vm.lateOfStep, rn.st)
	}
	vm.lateUse[rn.team] = vm.lateUse[rn.team].Minus(rn.capUse)
	if len(vm.lateStarts) == 0 {
		delete(ct.lateVMs, vm)
		clear(vm.lateUse)
	}
}

// dropLateStarts forgets the starts that can't be executed any more.
func (ct *Controller) dropLateStarts(vm *vmState, nowMS int64) {
	for key, rn := range vm.lateStarts {
		if nowMS >= rn.mayStartUntilMS {
			ct.dropLateStart(vm, key)
		}
	}
}

// dropAllLateStarts forgets the late starts of a VM that has ended for good.
func (ct *Controller) dropAllLateStarts(vm *vmState) {
	for key := range vm.lateStarts {
		ct.dropLateStart(vm, key)
	}
}

// lateUseOf returns what a team's late starts would take on the VM.
func (vm *vmState) lateUseOf(team string) size.Size { return vm.lateUse[team] }

// restoreLateStarts lets the late starts of a VM that has restarted, or may have, take their room again, and their waiting tasks wait: its next incarnation may execute them until it has accepted a stop.
func (ct *Controller) restoreLateStarts(vm *vmState) {
	ct.dropLateStarts(vm, ct.ck.Now())
	for key, rn := range vm.lateStarts {
		ct.dropLateStart(vm, key)
		if vm.runs[key] != nil {
			continue
		}
		rn.phase, rn.stoppedMS, rn.stopSentMS = phaseStopping, 0, 0
		ct.addRun(rn)
		ct.attachUnknown(rn)
	}
}

// lateStartsOfStep counts the runs of a step that aren't on the VM, but may begin there in its next incarnation.
func (vm *vmState) lateStartsOfStep(st *step) int {
	count := 0
	if vm.lateOfStep[st] == 0 {
		return count
	}
	for key, rn := range vm.lateStarts {
		if rn.st == st && vm.runs[key] == nil {
			count++
		}
	}
	return count
}

// runOrLateStart returns the run of a key that is on the VM, or else the released one that may still begin there, or nil.
func (vm *vmState) runOrLateStart(key runKey) *run {
	if rn, ok := vm.runs[key]; ok {
		return rn
	}
	return vm.lateStarts[key]
}

// handleLateStartVerdict records the outcome of the start of a run that was released before.
func (ct *Controller) handleLateStartVerdict(vm *vmState, key runKey, vd workpb.Verdict) {
	rn, ok := vm.lateStarts[key]
	switch {
	case !ok || (vd == workpb.Verdict_ACCEPTED && rn.repeated):
	case vd == workpb.Verdict_IN_DOUBT:
		rn.mayStartUntilMS = ct.ck.Now() + inDoubtMS
	default:
		ct.dropLateStart(vm, key)
	}
}
