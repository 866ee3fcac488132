package jobcontrol

import "github.com/fulmarloft/fulmarloft/internal/pb/workpb"

// StartWanted reports whether a start that was ordered and whose outcome isn't known may still be sent: its run neither began nor ended nor is to be stopped.
func (ct *Controller) StartWanted(od *workpb.Order) bool {
	rn := ct.runOf(od)
	return rn != nil && rn.phase == phaseOrdered
}

// EachStartOver calls fn for each run whose start has been under way and no longer is, since the last call of EachStartOver.
func (ct *Controller) EachStartOver(fn func(vm, task string, run int64)) {
	list := ct.startsOver
	ct.startsOver = nil
	for _, rn := range list {
		fn(rn.vm.id, rn.key.task, rn.key.run)
	}
}

// startOver records that the start of a run is no longer under way.
func (ct *Controller) startOver(rn *run) {
	ct.startsUnderWay--
	rn.vm.startsUnderWay--
	ct.startsOver = append(ct.startsOver, rn)
}

// StopWanted reports whether a run is still to be stopped: it hasn't ended since its stop was decided.
func (ct *Controller) StopWanted(od *workpb.Order) bool {
	rn := ct.runOf(od)
	return rn != nil && rn.phase == phaseStopping
}
