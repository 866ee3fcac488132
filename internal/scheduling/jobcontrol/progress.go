package jobcontrol

import (
	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

// tasksPerPart is the number of tasks whose progress shares a row. The tasks of all occurrences of a job are counted through.
const tasksPerPart = 128

// firstPart is the part that also holds the job's state and its completed occurrences.
const firstPart = 0

// progressPart is the progress of some tasks of a job, stored as one row.
type progressPart struct {
	jb     *job
	number int64
	// turn is the position among the parts that wait to be stored, 0 if this one doesn't.
	turn int64
	// stored is set while a row of the part may be in the store.
	stored bool
}

// PartKey names the row of one part of a job's progress.
type PartKey struct {
	job    string
	number int64
}

// Job returns the job's id.
func (pk PartKey) Job() string { return pk.job }

// Number returns the number of the part, 0 for the one that also holds the job's state.
func (pk PartKey) Number() int64 { return pk.number }

func (pt *progressPart) key() PartKey { return PartKey{job: pt.jb.row.GetId(), number: pt.number} }

// part returns a part of the job's progress.
func (jb *job) part(number int64) *progressPart {
	pt, ok := jb.parts[number]
	if !ok {
		pt = &progressPart{jb: jb, number: number}
		jb.parts[number] = pt
	}
	return pt
}

// firstTask returns the position of the occurrence's first task among those of all occurrences.
func (oc *occurrence) firstTask() int64 { return int64(oc.number) * oc.jb.tasks }

// partNumber returns the number of the part that holds the task's progress.
func (tk *task) partNumber() int64 {
	return (tk.st.oc.firstTask() + tk.job().stepOffsets[tk.st.number] + int64(tk.index)) / tasksPerPart
}

// markTask queues the part with a task's progress to be stored.
func (ct *Controller) markTask(tk *task) { ct.markPart(tk.job().part(tk.partNumber())) }

// markState queues the part with a job's state and its completed occurrences to be stored.
func (ct *Controller) markState(jb *job) { ct.markPart(jb.part(firstPart)) }

// markOccurrence queues all parts with tasks of an occurrence to be stored.
func (ct *Controller) markOccurrence(oc *occurrence) {
	last := (oc.firstTask() + oc.jb.tasks - 1) / tasksPerPart
	for number := oc.firstTask() / tasksPerPart; number <= last; number++ {
		if pt, ok := oc.jb.parts[number]; ok {
			ct.markPart(pt)
		}
	}
}

func (ct *Controller) markPart(pt *progressPart) {
	if pt.turn != 0 {
		return
	}
	ct.lastTurn++
	pt.turn = ct.lastTurn
	ct.waitingParts = append(ct.waitingParts, pt)
}

// eachTask calls fn for each task of the part in an open occurrence that has a record.
func (pt *progressPart) eachTask(fn func(*task)) {
	jb := pt.jb
	if jb.tasks == 0 {
		return
	}
	begin, end := pt.number*tasksPerPart, (pt.number+1)*tasksPerPart
	at, _ := jb.findOccurrence(int(begin / jb.tasks))
	for ; at < len(jb.occurrences) && jb.occurrences[at].firstTask() < end; at++ {
		oc := jb.occurrences[at]
		for _, st := range oc.steps {
			first := oc.firstTask() + jb.stepOffsets[st.number]
			from, to := max(begin-first, 0), min(end-first, int64(st.taskCount()))
			for index := from; index < to; index++ {
				if tk := st.tasks.peek(int(index)); tk != nil {
					fn(tk)
				}
			}
		}
	}
}

// row returns the part's progress as it is stored, or nil if there is nothing to store. Of a job that has failed or was cancelled only the runs matter, which a later owner must stop as well.
func (pt *progressPart) row() *workpb.Progress {
	jb := pt.jb
	pg := &workpb.Progress{Id: jb.row.GetId(), Part: pt.number}
	if pt.number == firstPart {
		pg.State = jb.state
	}
	if jb.state == workpb.State_COMPLETED {
		return pt.unlessEmpty(pg)
	}
	if pt.number == firstPart {
		pg.Completed = jb.completed.Encode()
	}
	hosts := map[string]int32{}
	pt.eachTask(func(tk *task) {
		if jb.ended() && tk.current == nil {
			return
		}
		if row := tk.progressRow(pg, hosts); row != nil {
			pg.Tasks = append(pg.Tasks, row)
		}
	})
	return pt.unlessEmpty(pg)
}

func (pt *progressPart) unlessEmpty(pg *workpb.Progress) *workpb.Progress {
	if pt.number != firstPart && len(pg.GetTasks()) == 0 {
		return nil
	}
	return pg
}

// progressRow returns a task's progress as it is stored in a row, whose hosts it extends, or nil if the task never had a run.
func (tk *task) progressRow(pg *workpb.Progress, hosts map[string]int32) *workpb.Task {
	if tk.run == 0 {
		return nil
	}
	row := &workpb.Task{
		Occurrence: int32(tk.st.oc.number), Step: int32(tk.st.number), Index: int32(tk.index),
		Run: tk.run, Failures: tk.failures,
	}
	if cr := tk.crashes; cr.probation && !tk.done {
		row.Crashes = &workpb.Crashes{Confirmed: cr.confirmed, Doubtful: cr.doubtful, Blamed: cr.blamed}
	}
	switch {
	case tk.done:
		row.Phase = workpb.Phase_DONE
	case tk.current != nil:
		row.Phase = workpb.Phase_INTENDED
		row.Settled = tk.current.settled
		row.Checkpoint = tk.checkpoint
		row.Host = addHost(pg, hosts, tk.current.vm.reg)
	default:
		row.Checkpoint = tk.checkpoint
	}
	for number, rn := range tk.replaced {
		row.Replaced = append(row.Replaced, &workpb.EarlierRun{Run: number, Host: addHost(pg, hosts, rn.vm.reg)})
	}
	for number, vm := range tk.givenUp {
		row.GivenUp = append(row.GivenUp, &workpb.EarlierRun{Run: number, Host: addHost(pg, hosts, vm.reg)})
	}
	return row
}

// addHost returns the position of a VM in the progress row's hosts, counted from 1, and adds the VM if it isn't there yet. Most tasks of a job share a few VMs.
func addHost(pg *workpb.Progress, hosts map[string]int32, reg *workpb.VM) int32 {
	if at, ok := hosts[reg.GetId()]; ok {
		return at
	}
	pg.Hosts = append(pg.Hosts, &workpb.Host{Vm: reg.GetId(), Machine: reg.GetMachine(), Address: reg.GetAddress(), Zone: reg.GetZone()})
	hosts[reg.GetId()] = int32(len(pg.GetHosts()))
	return hosts[reg.GetId()]
}

// withoutCheckpoints leaves checkpoints out of a row until its encoding has at most a number of bytes, and reports whether it has: without one a task begins anew.
func withoutCheckpoints(pg *workpb.Progress, maxBytes int) bool {
	excess := proto.Size(pg) - maxBytes
	for _, row := range pg.GetTasks() {
		if excess <= 0 {
			break
		}
		if size := len(row.GetCheckpoint()); size > 0 {
			row.Checkpoint = ""
			excess -= size
		}
	}
	return excess <= 0
}
