package jobcontrol

import (
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/size"
)

// Batch is a set of decisions that take effect together once they are stored.
type Batch struct {
	rows         []*workpb.Progress
	starts       []*run
	acknowledged map[*vmState]endMark
}

// endMark is the number of a run end in one incarnation of its VM.
type endMark struct {
	startMS int64
	number  int64
}

// MaxRows is the number of jobs whose progress fits into one store transaction beside the ownership row.
const MaxRows = 90

// Rows returns the progress to store.
func (bt *Batch) Rows() []*workpb.Progress { return bt.rows }

// Plan decides which tasks to start now and returns everything to be stored; mayStart is false while no start may be ordered.
func (ct *Controller) Plan(mayStart bool) *Batch {
	nowMS := ct.ck.Now()
	ct.expireVMs(nowMS)
	ct.openDueOccurrences(nowMS)
	ct.observeShares(nowMS)
	bt := &Batch{acknowledged: map[*vmState]endMark{}}
	if mayStart && ct.rules != nil && len(ct.dirtyJobs) < MaxRows {
		ct.place(bt, nowMS)
	}
	count := min(len(ct.dirtyJobs), MaxRows)
	for _, jb := range ct.dirtyJobs[:count] {
		jb.dirty = false
		bt.rows = append(bt.rows, jb.progress())
	}
	ct.dirtyJobs = ct.dirtyJobs[count:]
	if len(ct.dirtyJobs) == 0 {
		ct.dirtyJobs = nil
		for _, vm := range ct.vms {
			if vm.processed > vm.stored {
				bt.acknowledged[vm] = endMark{startMS: vm.startMS, number: vm.processed}
			}
		}
	}
	return bt
}

// ConfirmStored records that a batch is stored and returns its start orders, to be sent now.
func (ct *Controller) ConfirmStored(bt *Batch) []*workpb.Order {
	for vm, mark := range bt.acknowledged {
		if mark.startMS == vm.startMS {
			vm.stored = max(vm.stored, mark.number)
		}
	}
	broken := ct.brokenGangs(bt)
	var orders []*workpb.Order
	for _, rn := range bt.starts {
		if broken[rn.st] {
			ct.endRun(rn, workpb.End_END_STOPPED, "")
			continue
		}
		if od := ct.startOrder(rn); od != nil {
			orders = append(orders, od)
		}
	}
	return orders
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

// expireVMs ends the runs on VMs whose leases have certainly expired, and removes VMs that are no longer registered and have no runs.
func (ct *Controller) expireVMs(nowMS int64) {
	for _, vm := range ct.vms {
		ct.dropLateStarts(vm, nowMS)
		if nowMS <= vm.leaseUntilMS {
			continue
		}
		if len(vm.runs) > 0 && nowMS-vm.answeredMS > ct.maxLeaseMS() {
			vm.synced = false
			ct.expireRuns(vm)
		}
		if !vm.registered && len(vm.runs) == 0 && len(vm.lateStarts) == 0 && !vm.polling {
			ct.forgetVM(vm)
		}
	}
}

func (ct *Controller) openDueOccurrences(nowMS int64) {
	for _, jb := range ct.active {
		jb.openDueOccurrences(nowMS)
	}
}

// withinCap reports whether a team's runs may use that much more within its cap.
func (ct *Controller) withinCap(team string, need size.Size) bool {
	limit, ok := ct.caps[team]
	return !ok || ct.used[team].Plus(need).WithinLimit(limit)
}

// mayUse reports whether a start of a team that takes that much may be planned. The late starts of one VM, which may restart at any moment, count beside the team's runs, but a team that uses less than half of its cap doesn't wait for them.
func (ct *Controller) mayUse(team string, need size.Size) bool {
	if !ct.withinCap(team, need) {
		return false
	}
	limit, used := ct.caps[team], ct.used[team]
	if used.BelowHalf(limit) {
		return true
	}
	for vm := range ct.lateVMs {
		if !used.Plus(need).Plus(vm.lateUseOf(team)).WithinLimit(limit) {
			return false
		}
	}
	return true
}
