package jobcontrol

import (
	"cmp"
	"iter"
	"slices"
	"strings"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/jobwork"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/size"
)

// candidate is a step with tasks that may start.
type candidate struct {
	st   *step
	tier int
	// latestMS is the latest start with which the job can still meet its objective; for long-running tasks, their due time.
	latestMS int64
	// objectiveMS is how long after its due time the job should end, 0 for a queue without an objective.
	objectiveMS int64
	// level is how far the job's team is above its fair share; work of a lower level goes first.
	level int32
	// turn is how many other occurrences of the step's job go before its own, waitsSinceMS since when it waits for its turn; they order overdue steps.
	turn         int
	waitsSinceMS int64
}

// begun reports whether a task of the job's occurrence has a run or is done.
func (cd candidate) begun() bool { return cd.st.oc.started() }

// Tiers of steps, in the order in which they are placed.
const (
	// tierLasting: long-running tasks, which serve users all the time; a missing one costs from the first second.
	tierLasting = iota
	// tierOnTime: jobs that can still meet their objective, the one with the least slack first.
	tierOnTime
	// tierDeferred: jobs that could be in time but don't fit beside those that were chosen.
	tierDeferred
	// tierLate: jobs that can't, but still count as late; the one with the shortest remaining critical path first.
	tierLate
	// tierOverdue: jobs beyond that, which must be completed all the same.
	tierOverdue
)

const (
	// lateFactor is the multiple of its objective up to which a job counts as late rather than overdue.
	lateFactor = 3
	// onTimeSlackMS is by how much a started job may seem to miss its objective and still be ranked as on time, since estimates are rough.
	onTimeSlackMS = 200
	// firstStartMarginMS is the slack that a job must have left to be ranked as on time before its first task starts: a job that narrowly misses its objective would take resources from one that could meet it.
	firstStartMarginMS = 300
)

// place plans starts of waiting tasks of all services, in order of their rank, since queues may ask for several times the capacity of their pool. Long-running tasks on draining VMs get room before tasks that end.
func (ct *Controller) place(bt *Batch, nowMS int64) {
	pools := ct.pools(nowMS)
	if len(pools) == 0 {
		return
	}
	hr := ct.holdRoom()
	defer hr.release()
	ready := ct.rankedCandidates(pools, nowMS)
	ct.placeCandidates(bt, ready, pools, nowMS, candidate.lasting)
	ct.evacuateDraining(pools, hr, nowMS)
	ct.placeCandidates(bt, ready, pools, nowMS, candidate.ending)
	ct.moveSlowRuns(bt, pools, hr, nowMS)
	ct.placeSecondRuns(bt, ready, pools, nowMS)
}

// rankedCandidates returns the steps with tasks that may start for each service with usable VMs: those that may find room in order of their rank, then the others.
func (ct *Controller) rankedCandidates(pools map[string][]*vmState, nowMS int64) map[string][]candidate {
	out := ct.candidates(nowMS)
	ct.endChoices(out, nowMS)
	for service, list := range out {
		if len(pools[service]) == 0 {
			ct.recordWithoutVMs(service, list, nowMS)
			delete(out, service)
			continue
		}
		ct.rankTeams(service, list, nowMS)
		ct.deferStarts(service, list, nowMS)
		sortCandidates(list[:ct.fittingFirst(service, list)])
	}
	return out
}

// placeCandidates plans starts of the steps that match. It does so in rounds, in each of which a step gets a part of the starts that may still be planned, so that large ones leave some to those behind them.
func (ct *Controller) placeCandidates(bt *Batch, ready map[string][]candidate, pools map[string][]*vmState, nowMS int64, match func(candidate) bool) {
	for service, list := range ready {
		for round := firstRound; len(list) > 0; round++ {
			planned := len(bt.starts)
			list = ct.placeRound(bt, list, pools[service], nowMS, round, match)
			if round > firstRound && len(bt.starts) == planned {
				break
			}
		}
	}
}

// firstRound is the round in which steps with many waiting tasks leave half of the starts that may be under way, in all and to each VM, to the others.
const firstRound = 0

// placeRound plans one round of starts and returns the steps that could have used more.
func (ct *Controller) placeRound(bt *Batch, list []candidate, pool []*vmState, nowMS int64, round int, match func(candidate) bool) []candidate {
	var rest []candidate
	for _, cd := range list {
		if !match(cd) {
			continue
		}
		if ct.batchFull() || !ct.mayStartMore() {
			return nil
		}
		if more := ct.placeStep(bt, cd, pool, nowMS, round); more {
			rest = append(rest, cd)
		}
	}
	return rest
}

// startsInRound returns how many tasks of a step may be planned in the round under way.
func (ct *Controller) startsInRound(cd candidate) int {
	most := tasksPerTurn
	if cd.tier != tierOverdue {
		most = max((ct.startLimit-ct.startsUnderWay)/2, tasksPerTurn)
	}
	if cd.st.leavesHalf {
		most = min(most, max(ct.startLimit/2-ct.startsUnderWay, 0))
	}
	return most
}

// recordWithoutVMs records the long-running steps among the candidates of a service if it has no VM that will be usable.
func (ct *Controller) recordWithoutVMs(service string, list []candidate, nowMS int64) {
	if ct.countVMs(service) > 0 {
		return
	}
	for _, cd := range list {
		if cd.lasting() {
			ct.recordUnplaceable(cd.st, nil, nowMS)
		}
	}
}

func (cd candidate) lasting() bool { return cd.tier == tierLasting }

func (cd candidate) ending() bool { return !cd.lasting() }

// pools returns the usable VMs of each service, without those in a zone that is evacuated or cut off, and clears what the pass before left on them.
func (ct *Controller) pools(nowMS int64) map[string][]*vmState {
	pools := map[string][]*vmState{}
	clear(ct.room)
	for _, vm := range ct.sortedVMs {
		vm.reserved, vm.lastingSum = false, nil
		vm.heldForProbation = nowMS < vm.heldUntilMS
		vm.slow, vm.trialDue = ct.pace.VMSlow(vm.id), ct.pace.TrialDue(vm.id, nowMS)
		if vm.usable(nowMS) && !ct.ZoneClosed(vm.reg.GetZone()) {
			service := vm.reg.GetService()
			pools[service] = append(pools[service], vm)
			ct.room[service] = poolRoom{most: ct.room[service].most.Max(vm.free())}
		}
	}
	return pools
}

// poolRoom bounds what the usable VMs of a service have free during a planning pass.
type poolRoom struct {
	// most is no less than what any of them has free.
	most size.Size
	// shrunk is set once a start was planned since most was computed.
	shrunk bool
}

// measureRoom computes again what the VMs of a service have free at most, if starts have been planned meanwhile.
func (ct *Controller) measureRoom(service string, pool []*vmState) {
	if !ct.room[service].shrunk {
		return
	}
	most := size.Size{}
	for _, vm := range pool {
		most = most.Max(vm.free())
	}
	ct.room[service] = poolRoom{most: most}
}

// fitsNone reports whether no VM of a service has room for a task of the candidate, as far as is known without a look at each, and nothing but a start would come of that look.
func (ct *Controller) fitsNone(service string, cd candidate) bool {
	if cd.lasting() || cd.st.need().Fits(ct.room[service].most) || ct.queueOf(cd.st.oc.jb).GetAdvised() {
		return false
	}
	return cd.st.onProbation == 0
}

// fittingFirst moves the candidates for which a VM may have room to the front, and returns their number.
func (ct *Controller) fittingFirst(service string, list []candidate) int {
	count := 0
	for at := range list {
		if !ct.fitsNone(service, list[at]) {
			list[at], list[count] = list[count], list[at]
			count++
		}
	}
	return count
}

func (ct *Controller) candidates(nowMS int64) map[string][]candidate {
	out := map[string][]candidate{}
	for _, jb := range ct.active {
		qu := ct.queueOf(jb)
		if qu == nil || jb.aside(nowMS) {
			continue
		}
		out[qu.GetService()] = ct.appendCandidates(out[qu.GetService()], jb, nowMS)
	}
	return out
}

func (ct *Controller) appendReady(list []candidate, oc *occurrence, qu *workpb.Queue, nowMS int64) []candidate {
	for _, st := range oc.steps {
		if st.done == st.taskCount() || !st.waiting(nowMS) || !st.ready() {
			continue
		}
		list = append(list, rank(st, qu, nowMS))
	}
	return list
}

// waiting reports whether a task of the step, or every task of a gang, may be given a run.
func (st *step) waiting(nowMS int64) bool {
	if st.row.GetGang() {
		for tk := range st.tasks.recorded() {
			if !tk.waiting(nowMS) {
				return false
			}
		}
		return true
	}
	for range st.waitingIndices(nowMS) {
		return true
	}
	return false
}

// waitingIndices yields the indices of the tasks that may be given a run, in order, without a look at those that have one.
func (st *step) waitingIndices(nowMS int64) iter.Seq[int] {
	return func(yield func(int) bool) {
		for index, ok := st.unassigned.NextSet(0); ok; index, ok = st.unassigned.NextSet(index + 1) {
			tk := st.tasks.peek(int(index))
			if tk != nil && !tk.waiting(nowMS) {
				continue
			}
			if !yield(int(index)) {
				return
			}
		}
	}
}

// waitingTasks yields the tasks of these indices.
func (st *step) waitingTasks(nowMS int64) iter.Seq[*task] {
	return func(yield func(*task) bool) {
		for index := range st.waitingIndices(nowMS) {
			if !yield(st.task(index)) {
				return
			}
		}
	}
}

// rank assigns a step its tier and its latest start.
func rank(st *step, qu *workpb.Queue, nowMS int64) candidate {
	if st.row.GetLasting() {
		return candidate{st: st, tier: tierLasting, latestMS: st.oc.dueMS}
	}
	objective := jobwork.ObjectiveMS(qu, st.oc.jb.longestPathMS)
	latest := st.oc.dueMS + objective - st.criticalPathMS()
	cd := candidate{st: st, latestMS: latest, objectiveMS: objective}
	switch {
	case latest-firstStartMarginMS >= nowMS || (latest+onTimeSlackMS >= nowMS && cd.begun()):
		cd.tier = tierOnTime
	case latest+(lateFactor-1)*objective >= nowMS:
		cd.tier = tierLate
	default:
		cd.tier = tierOverdue
		cd.waitsSinceMS = st.waitsSinceMS(latest)
	}
	return cd
}

// started reports whether a task of the occurrence has a run or is done.
func (oc *occurrence) started() bool {
	return slices.ContainsFunc(oc.steps, (*step).started)
}

func sortCandidates(list []candidate) {
	slices.SortFunc(list, func(one, other candidate) int {
		if order := cmp.Or(cmp.Compare(one.tier, other.tier), cmp.Compare(one.level, other.level)); order != 0 {
			return order
		}
		if one.tier == tierLate && one.st.criticalPathMS() != other.st.criticalPathMS() {
			return cmp.Compare(one.st.criticalPathMS(), other.st.criticalPathMS())
		}
		if one.tier == tierOverdue {
			if order := compareTurns(one, other); order != 0 {
				return order
			}
		}
		return cmp.Or(cmp.Compare(one.latestMS, other.latestMS), strings.Compare(one.st.oc.jb.row.GetId(), other.st.oc.jb.row.GetId()))
	})
}

// placeStep plans starts of a step's waiting tasks, as many as one round allows, and reports whether that was too few.
func (ct *Controller) placeStep(bt *Batch, cd candidate, all []*vmState, nowMS int64, round int) bool {
	service := ct.queueOf(cd.st.oc.jb).GetService()
	if ct.fitsNone(service, cd) {
		return false
	}
	pool := all
	cd.st.paced = ct.paced(cd.st)
	if ct.queueOf(cd.st.oc.jb).GetAdvised() {
		pool = ct.vmsWithTicket(cd.st, pool, nowMS)
	}
	if cd.st.row.GetGang() {
		ct.placeGang(bt, cd.st, pool)
		return false
	}
	cd.st.leavesHalf = round == firstRound && cd.st.unassigned.Count() > tasksPerTurn
	left := ct.startsInRound(cd)
	for tk := range cd.st.waitingTasks(nowMS) {
		if left == 0 {
			return true
		}
		if !ct.mayStartMore() || !ct.mayStore(tk) {
			return false
		}
		if !ct.mayUse(cd.st.oc.jb.row.GetTeam(), cd.st.capUse()) {
			return false
		}
		vm := chooseVM(tk, pool)
		if vm == nil {
			ct.measureRoom(service, all)
		}
		if vm == nil && tk.crashes.probation {
			ct.holdForProbation(tk, pool, nowMS)
			continue
		}
		if vm == nil {
			if cd.lasting() {
				ct.recordUnplaceable(cd.st, all, nowMS)
				reserveVM(cd.st, pool)
			}
			return cd.st.leavesHalf
		}
		ct.planStart(bt, vm, tk, tk.run+1)
		left--
	}
	return false
}

// placeGang plans the starts of all tasks of a step or of none.
func (ct *Controller) placeGang(bt *Batch, st *step, pool []*vmState) {
	number := int64(0)
	for tk := range st.tasks.recorded() {
		number = max(number, tk.run)
	}
	need := size.Size{}
	for range st.taskCount() {
		need = need.Plus(st.capUse())
	}
	if !ct.mayUse(st.oc.jb.row.GetTeam(), need) {
		return
	}
	planned := make([]*run, 0, st.taskCount())
	for tk := range st.allTasks() {
		vm := chooseVM(tk, pool)
		if vm == nil {
			ct.cancelPlanned(planned)
			return
		}
		tk.run = number + 1
		planned = append(planned, ct.allocate(vm, tk, phasePlanned))
	}
	bt.starts = append(bt.starts, planned...)
	st.oc.countTurn(ct.ck.Now())
	checkpoint := st.latestCheckpoint()
	for _, rn := range planned {
		rn.task.checkpoint = checkpoint
		ct.markTask(rn.task)
	}
}

// latestCheckpoint returns the checkpoint of a gang that was reported last, by whichever member: it is valid for all of them.
func (st *step) latestCheckpoint() string {
	latest := &task{}
	for tk := range st.tasks.recorded() {
		if tk.checkpoint != "" && (latest.checkpoint == "" || tk.checkpointMS > latest.checkpointMS) {
			latest = tk
		}
	}
	return latest.checkpoint
}

func (ct *Controller) cancelPlanned(planned []*run) {
	for _, rn := range planned {
		rn.task.run--
		rn.task.setCurrent(nil)
		ct.release(rn)
	}
}

// planStart gives a task a run on a VM; its start is ordered once the batch is stored.
func (ct *Controller) planStart(bt *Batch, vm *vmState, tk *task, number int64) {
	tk.run = number
	vm.lastingSum = nil
	if service := vm.reg.GetService(); !ct.room[service].shrunk {
		ct.room[service] = poolRoom{most: ct.room[service].most, shrunk: true}
	}
	ct.beginTrial(vm)
	tk.st.oc.countTurn(ct.ck.Now())
	bt.starts = append(bt.starts, ct.allocate(vm, tk, phasePlanned))
	ct.markTask(tk)
}

// reserveVM reserves the VM with the most free CPU that could hold a long-running task beside those that it has for such tasks, so that small tasks don't take all capacity that becomes free.
func reserveVM(st *step, pool []*vmState) {
	var best *vmState
	for _, vm := range pool {
		if !vm.reserved && st.need().Fits(vm.capacity().Minus(vm.lastingUse())) && allowed(st, vm) && (best == nil || vm.free().CoresMilli() > best.free().CoresMilli()) {
			best = vm
		}
	}
	if best != nil {
		best.reserved = true
	}
}

// allowed reports whether the step's label and limit per VM admit one more of its tasks on the VM.
func allowed(st *step, vm *vmState) bool {
	if !vm.offersLabel(st) {
		return false
	}
	limit := int(st.row.GetMaxPerVm())
	return limit <= 0 || vm.runsOfStep(st) < limit
}

// chooseVM returns the VM with the lowest placement cost for a task, or nil if it fits none.
func chooseVM(tk *task, pool []*vmState) *vmState {
	st := tk.st
	need := st.need()
	rack := colocationRack(st, pool)
	var best *vmState
	var bestCost int64
	for _, vm := range pool {
		if !vm.takesStart(st) || !need.Fits(vm.free()) || (vm.reserved && !st.row.GetLasting()) || !allowed(st, vm) || !vm.admitsProbation(tk) {
			continue
		}
		cost := placementCost(tk, vm, rack)
		if best == nil || cost < bestCost {
			best, bestCost = vm, cost
		}
	}
	return best
}

// Placement penalties, in the unit of the base cost: thousandths of a core that are free on the VM.
const (
	remoteRackCost   = 1_000_000
	avoidedVMCost    = 10_000_000
	interferenceCost = 2_000_000
	separateCost     = 100_000
	// slowVMCost makes slow VMs the last ones that are chosen, but for those where the task failed.
	slowVMCost = 5_000_000
	// maintenanceDueCost is for long-running tasks, which would soon have to move again.
	maintenanceDueCost = 500_000
)

// placementCost returns the cost of placing a task on a VM. It favours the VM with the least free CPU, near the task's data and the step's other tasks, and avoids VMs that are slow, those where the task failed and, for long-running tasks, those whose machines wait for maintenance. Best-effort tasks are kept away from latency-sensitive ones, which in turn are packed together.
func placementCost(tk *task, vm *vmState, rack string) int64 {
	st := tk.st
	sum := vm.free().CoresMilli()
	if st.paced {
		sum = vm.paceCost(sum)
	}
	if st.row.GetDataRack() != "" && !vm.hasLabel(st.row.GetDataRack()) {
		sum += remoteRackCost
	}
	if rack != "" && vm.reg.GetRack() != rack {
		sum += remoteRackCost
	}
	if tk.avoids(vm.id) {
		sum += avoidedVMCost
	}
	if st.row.GetLasting() && vm.maintenanceDue {
		sum += maintenanceDueCost
	}
	switch {
	case st.row.GetFills() && vm.hasLatencySensitive():
		sum += interferenceCost
	case st.row.GetTailTargetMs() > 0 && vm.hasBestEffort():
		sum += interferenceCost
	case st.row.GetTailTargetMs() > 0 && !vm.hasLatencySensitive():
		sum += separateCost
	}
	return sum
}

// anyPlaced returns a task of the step that has a run, nil if none has.
func (st *step) anyPlaced() *task {
	if st.oc.runs == 0 {
		return nil
	}
	for tk := range st.tasks.recorded() {
		if tk.current != nil {
			return tk
		}
	}
	return nil
}

// colocationRack returns the rack that the step's tasks should share, or "" if they needn't share one.
func colocationRack(st *step, pool []*vmState) string {
	if !st.row.GetColocated() {
		return ""
	}
	if st.placed == nil || st.placed.current == nil {
		st.placed = st.anyPlaced()
	}
	if st.placed != nil {
		return st.placed.current.vm.reg.GetRack()
	}
	free := map[string]int64{}
	best := ""
	for _, vm := range pool {
		rack := vm.reg.GetRack()
		free[rack] += vm.free().CoresMilli()
		if best == "" || free[rack] > free[best] {
			best = rack
		}
	}
	return best
}
