package jobcontrol

import (
	"github.com/fulmarloft/fulmarloft/internal/size"
	"github.com/fulmarloft/fulmarloft/internal/workpb"
)

// Batch is a set of decisions that take effect together once they are stored.
type Batch struct {
	rows   []*workpb.Progress
	starts []*run
	seen   map[*vm]int64
}

// MaxRows is how many jobs' progress one transaction of the store holds beside the ownership row.
const MaxRows = 90

// Rows returns the progress to store.
func (bt *Batch) Rows() []*workpb.Progress { return bt.rows }

// Plan decides what to start now and returns all that is to be stored; mayStart is false while no start may be ordered.
func (ct *Controller) Plan(mayStart bool) *Batch {
	nowMS := ct.ck.Now()
	ct.expire(nowMS)
	ct.openDue(nowMS)
	bt := &Batch{seen: map[*vm]int64{}}
	if mayStart && ct.rules != nil && len(ct.dirty) < MaxRows {
		ct.place(bt, nowMS)
	}
	count := min(len(ct.dirty), MaxRows)
	for _, jb := range ct.dirty[:count] {
		jb.dirty = false
		bt.rows = append(bt.rows, jb.progress())
	}
	ct.dirty = ct.dirty[count:]
	if len(ct.dirty) == 0 {
		ct.dirty = nil
		for _, on := range ct.vms {
			if on.processed > on.stored {
				bt.seen[on] = on.processed
			}
		}
	}
	return bt
}

// ConfirmStored takes up that a batch is stored and returns its starts, to be sent now.
func (ct *Controller) ConfirmStored(bt *Batch) []*workpb.Order {
	for on, number := range bt.seen {
		on.stored = max(on.stored, min(number, on.processed))
	}
	var orders []*workpb.Order
	for _, rn := range bt.starts {
		if od := ct.startOrder(rn); od != nil {
			orders = append(orders, od)
		}
	}
	return orders
}

// startOrder returns the order of a stored start, or nil if the job or the VM has changed meanwhile.
func (ct *Controller) startOrder(rn *run) *workpb.Order {
	nowMS := ct.ck.Now()
	if rn.task == nil || rn.task.job().ended() || !rn.vm.usable(nowMS) {
		ct.endRun(rn, workpb.End_END_STOPPED, "")
		return nil
	}
	admit := ""
	if ct.queueOf(rn.task.job()).GetAdvised() {
		text, ok := rn.task.st.ticket(rn.vm, nowMS)
		if !ok {
			ct.endRun(rn, workpb.End_END_STOPPED, "")
			return nil
		}
		admit = text
	}
	rn.phase = phaseOrdered
	rn.sinceMS = nowMS
	rn.vm.nextLookMS = min(rn.vm.nextLookMS, nowMS+busyLookMS)
	od := ct.orderOf(workpb.Verb_START, rn)
	od.Payload = rn.task.job().row.GetPayload()
	od.Checkpoint = rn.task.checkpoint
	od.LeaseUntilMs = ct.lease(rn.vm)
	od.Ticket = admit
	return od
}

// expire ends what ran on VMs whose leases have surely run out, and forgets VMs that have gone.
func (ct *Controller) expire(nowMS int64) {
	for id, on := range ct.vms {
		if nowMS <= on.leaseUntilMS {
			continue
		}
		if len(on.runs) > 0 && nowMS-on.answeredMS > ct.outwaitMS() {
			ct.lg.Info("vm-leases-expired", "vm", id, "runs", len(on.runs), "registered", on.registered)
			on.synced = false
			ct.loseRuns(on)
		}
		if !on.registered && len(on.runs) == 0 && !on.looking {
			delete(ct.vms, id)
		}
	}
}

func (ct *Controller) openDue(nowMS int64) {
	for _, jb := range ct.active {
		jb.open(nowMS)
	}
}

// withinCap reports whether a team may have one more task of the size.
func (ct *Controller) withinCap(team string, need size.Size) bool {
	limit, ok := ct.caps[team]
	if !ok {
		return true
	}
	sum := ct.used[team].Plus(need)
	return within(sum.CoresMilli(), limit.CoresMilli()) &&
		within(sum.MemoryMB(), limit.MemoryMB()) &&
		within(sum.Accelerators(), limit.Accelerators())
}

// within reports whether a sum keeps a limit; a limit of 0 is none.
func within(sum, limit int64) bool { return limit == 0 || sum <= limit }
