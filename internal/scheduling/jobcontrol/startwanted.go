package jobcontrol

import "github.com/fulmarloft/fulmarloft/internal/pb/workpb"

// StartWanted reports whether a start that was ordered and whose outcome isn't known may still be sent: its run neither began nor ended nor is to be stopped.
func (ct *Controller) StartWanted(od *workpb.Order) bool {
	rn := ct.runOf(od)
	return rn != nil && rn.phase == phaseOrdered
}
