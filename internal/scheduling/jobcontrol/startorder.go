package jobcontrol

import (
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/size"
)

// releaseStarts leaves in a batch the planned starts that are stored with it or before. Those whose progress waits are kept for a later batch, with all members of their gangs, and given up if their job is set aside.
func (ct *Controller) releaseStarts(bt *Batch, nowMS int64) {
	planned := append(ct.heldStarts, bt.starts...)
	ct.heldStarts, bt.starts = nil, nil
	gangs := map[*step]bool{}
	for _, rn := range planned {
		if rn.st.row.GetGang() && rn.waitsForStore() {
			gangs[rn.st] = true
		}
	}
	for _, rn := range planned {
		switch {
		case rn.st.oc.jb.aside(nowMS):
			ct.endRun(rn, workpb.End_END_STOPPED, "")
		case rn.waitsForStore() || gangs[rn.st]:
			ct.heldStarts = append(ct.heldStarts, rn)
		default:
			bt.starts = append(bt.starts, rn)
		}
	}
}

// waitsForStore reports whether the progress of the run's task waits to be stored.
func (rn *run) waitsForStore() bool {
	return rn.task != nil && rn.task.job().part(rn.task.partNumber()).turn != 0
}

// brokenGangs returns the gangs of a batch of which not all members may be ordered; the others would wait for them in vain.
func (ct *Controller) brokenGangs(bt *Batch) map[*step]bool {
	broken := map[*step]bool{}
	for _, rn := range bt.starts {
		if rn.st.row.GetGang() && !ct.mayOrder(rn, ct.ck.Now()) {
			broken[rn.st] = true
		}
	}
	return broken
}

// startOrder returns the order for a stored start, or ends the run and returns nil if the job has ended, the VM no longer admits the run or the ticket has expired in the meantime.
func (ct *Controller) startOrder(rn *run) *workpb.Order {
	nowMS := ct.ck.Now()
	if !ct.mayOrder(rn, nowMS) {
		ct.endRun(rn, workpb.End_END_STOPPED, "")
		return nil
	}
	ticketText, _ := ct.ticketOf(rn, nowMS)
	ct.setPhase(rn, phaseOrdered)
	rn.startedMS, rn.mayStartUntilMS = nowMS, nowMS+inDoubtMS
	rn.vm.nextPollMS = min(rn.vm.nextPollMS, nowMS+ct.busyPollMS)
	od := ct.newOrder(workpb.Verb_START, rn)
	od.Payload = rn.task.job().row.GetPayload()
	od.Checkpoint = rn.task.checkpoint
	rn.fromStart = rn.task.checkpoint == ""
	od.LeaseUntilMs = ct.extendLease(rn.vm)
	od.Ticket = ticketText
	return od
}

// mayOrder reports whether a stored start may still be ordered.
func (ct *Controller) mayOrder(rn *run, nowMS int64) bool {
	if rn.task == nil || rn.task.job().ended() || !rn.vm.usable(nowMS) || ct.evacuated[rn.vm.reg.GetZone()] {
		return false
	}
	if _, ok := ct.ticketOf(rn, nowMS); !ok {
		return false
	}
	return ct.admitted(rn) && ct.withinCap(rn.team, size.Size{})
}

// ticketOf returns the ticket that a run's start must carry, empty if it needs none, and whether the start may be ordered with it.
func (ct *Controller) ticketOf(rn *run, nowMS int64) (string, bool) {
	if !ct.queueOf(rn.task.job()).GetAdvised() {
		return "", true
	}
	return rn.st.validTicket(rn.vm, nowMS)
}
