package jobcontrol

import (
	"cmp"
	"encoding/base64"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

// Batch is a set of decisions that take effect together once they are stored.
type Batch struct {
	rows         []*workpb.Progress
	removed      []PartKey
	parts        []batchPart
	bytes        int
	starts       []*run
	acknowledged map[*vmState]endMark
}

// batchPart is a part whose row a batch writes or, if it is empty, deletes.
type batchPart struct {
	part *progressPart
	// turn is the position that the part had among those that wait to be stored.
	turn  int64
	empty bool
}

const (
	// maxBatchRows is the number of rows of a batch unless LimitBatch sets another.
	maxBatchRows = 90
	// rowOverheadBytes is what a transaction holds for a row beside its value.
	rowOverheadBytes = 160
	// asideMS is for how long the progress of a job that the store has refused isn't written.
	asideMS = 30_000
)

// batchLimits are the sizes of a batch and of a row's encoded value; 0 bytes stand for no limit.
type batchLimits struct {
	rows     int
	bytes    int
	rowBytes int
}

// LimitBatch sets how many rows and bytes the next batch may have, and how many bytes the encoded value of a row; 0 bytes stand for no limit. A batch with any row holds at least those that can only be stored together.
func (ct *Controller) LimitBatch(rows, bytes, rowBytes int) {
	ct.limits = batchLimits{rows: rows, bytes: bytes, rowBytes: rowBytes}
}

// Rows returns the progress to store.
func (bt *Batch) Rows() []*workpb.Progress { return bt.rows }

// Removed returns the rows to delete.
func (bt *Batch) Removed() []PartKey { return bt.removed }

// Empty reports whether there is nothing to store.
func (bt *Batch) Empty() bool { return len(bt.parts) == 0 }

// Jobs returns the ids of the jobs whose progress the batch holds, each once.
func (bt *Batch) Jobs() []string {
	var ids []string
	for _, bp := range bt.parts {
		if id := bp.part.jb.row.GetId(); !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// batchFull reports whether as much waits to be stored as a batch may hold.
func (ct *Controller) batchFull() bool { return len(ct.waitingParts)-ct.asideParts >= ct.limits.rows }

// mayStore reports whether a start of a task may be planned as far as the size of the batch goes: its row waits to be stored anyway, or there is room for another one.
func (ct *Controller) mayStore(tk *task) bool {
	pt, ok := tk.job().parts[tk.partNumber()]
	return (ok && pt.turn != 0) || !ct.batchFull()
}

// countAside counts the parts that wait to be stored and belong to jobs that are set aside.
func (ct *Controller) countAside(nowMS int64) {
	ct.asideParts = 0
	for _, pt := range ct.waitingParts {
		if pt.jb.aside(nowMS) {
			ct.asideParts++
		}
	}
}

// aside reports whether the job is left alone since the store has refused its progress.
func (jb *job) aside(nowMS int64) bool { return nowMS < jb.asideUntilMS }

// SetAside neither stores the progress of a job nor starts its tasks for a while, since the store refuses that progress. An id of no job that waits to be stored is ignored.
func (ct *Controller) SetAside(id string) {
	for _, pt := range ct.waitingParts {
		if pt.jb.row.GetId() == id {
			ct.setAside(pt.jb)
			return
		}
	}
}

func (ct *Controller) setAside(jb *job) {
	ct.lg.Info("job-set-aside", "job", jb.row.GetId(), "for-ms", asideMS)
	jb.asideUntilMS = ct.ck.Now() + asideMS
}

// fillBatch moves the parts that wait to be stored to a batch, in order of their turns, as far as its limits allow.
func (ct *Controller) fillBatch(bt *Batch, nowMS int64) {
	var rest []*progressPart
	full := ct.limits.rows <= 0
	for _, pt := range ct.waitingParts {
		switch {
		case pt.turn == 0:
			// It was taken together with another part of its job.
		case full || pt.jb.aside(nowMS):
			rest = append(rest, pt)
		default:
			full = !ct.addPart(bt, pt)
			if pt.turn != 0 {
				rest = append(rest, pt)
			}
		}
	}
	ct.waitingParts = rest
}

// addPart adds a part to a batch and reports whether there was room for it. If the first part waits as well, both are stored together, so that a job's state always agrees with its tasks.
func (ct *Controller) addPart(bt *Batch, pt *progressPart) bool {
	list := []*progressPart{pt}
	if first := pt.jb.part(firstPart); pt != first && first.turn != 0 {
		list = append(list, first)
	}
	rows := make([]*workpb.Progress, len(list))
	bytes := 0
	for at, one := range list {
		row, ok := ct.storableRow(one)
		if !ok {
			ct.setAside(pt.jb)
			return true
		}
		rows[at] = row
		bytes += rowBytes(row)
	}
	if len(bt.parts) > 0 && (len(bt.parts)+len(list) > ct.limits.rows || (ct.limits.bytes > 0 && bt.bytes+bytes > ct.limits.bytes)) {
		return false
	}
	bt.bytes += bytes
	for at, one := range list {
		bt.add(one, rows[at])
	}
	return true
}

// add adds a part with its row, nil if there is nothing to store.
func (bt *Batch) add(pt *progressPart, row *workpb.Progress) {
	turn := pt.turn
	pt.turn = 0
	if row == nil && !pt.stored {
		pt.forget()
		return
	}
	bt.parts = append(bt.parts, batchPart{part: pt, turn: turn, empty: row == nil})
	if row == nil {
		bt.removed = append(bt.removed, pt.key())
		return
	}
	pt.stored = true
	bt.rows = append(bt.rows, row)
}

// storableRow returns a part's row, nil if there is nothing to store, and false if it is too large for the store even without checkpoints.
func (ct *Controller) storableRow(pt *progressPart) (*workpb.Progress, bool) {
	row := pt.row()
	if row == nil || ct.limits.rowBytes == 0 || valueBytes(row) <= ct.limits.rowBytes {
		return row, true
	}
	ct.lg.Info("row-without-checkpoints", "job", pt.jb.row.GetId(), "part", pt.number, "bytes", valueBytes(row))
	return row, withoutCheckpoints(row, base64.StdEncoding.DecodedLen(ct.limits.rowBytes)-base64Margin)
}

// base64Margin is by how many bytes the length that DecodedLen returns may be too large.
const base64Margin = 2

// valueBytes returns the size of a row's encoded value.
func valueBytes(row *workpb.Progress) int { return base64.StdEncoding.EncodedLen(proto.Size(row)) }

// rowBytes returns what a row, or its deletion if it is nil, adds to a transaction.
func rowBytes(row *workpb.Progress) int {
	if row == nil {
		return rowOverheadBytes
	}
	return rowOverheadBytes + valueBytes(row)
}

// ConfirmStored records that a batch is stored and returns its start orders, to be sent now.
func (ct *Controller) ConfirmStored(bt *Batch) []*workpb.Order {
	for _, bp := range bt.parts {
		bp.part.confirm(bp.empty)
	}
	for vm, mark := range bt.acknowledged {
		if mark.startMS == vm.startMS {
			vm.stored = max(vm.stored, mark.number)
			if vm.moreEnds {
				vm.nextPollMS = ct.ck.Now()
			}
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

// confirm records that the part's row was written or, if it was empty, deleted.
func (pt *progressPart) confirm(empty bool) {
	if !empty {
		return
	}
	pt.stored = false
	if pt.turn == 0 {
		pt.forget()
	}
}

// forget removes a part that is neither stored nor waiting to be stored.
func (pt *progressPart) forget() {
	if pt.number != firstPart {
		delete(pt.jb.parts, pt.number)
	}
}

// HandleRefused records that the store refused a batch for its content: nothing of it is stored, its parts wait again in their old order, and its starts are given up.
func (ct *Controller) HandleRefused(bt *Batch) {
	for _, bp := range bt.parts {
		if bp.part.turn == 0 {
			ct.waitingParts = append(ct.waitingParts, bp.part)
		}
		bp.part.turn = bp.turn
	}
	slices.SortFunc(ct.waitingParts, func(one, other *progressPart) int { return cmp.Compare(one.turn, other.turn) })
	for vm, mark := range bt.acknowledged {
		if mark.startMS == vm.startMS {
			vm.unstoredEnds = slices.Insert(vm.unstoredEnds, 0, storedEnd{number: mark.number, turn: bt.lastTurn()})
		}
	}
	for _, rn := range bt.starts {
		ct.endRun(rn, workpb.End_END_STOPPED, "")
	}
}

// lastTurn returns the highest turn of the batch's parts.
func (bt *Batch) lastTurn() int64 {
	last := int64(0)
	for _, bp := range bt.parts {
		last = max(last, bp.turn)
	}
	return last
}
