package jobcontrol

import (
	"slices"
	"sort"

	"github.com/fulmarloft/fulmarloft/internal/size"
	"github.com/fulmarloft/fulmarloft/internal/workpb"
)

// candidate is a step whose tasks may start.
type candidate struct {
	st   *step
	tier int
	// latestMS is the latest start with which the job can still meet its objective.
	latestMS int64
	// yields is set while the team has had more than its share.
	yields bool
}

// Tiers of steps, served in this order.
const (
	// tierLasting: tasks that serve users all the time; a missing one costs from the first second.
	tierLasting = iota
	// tierTimely: jobs that can still meet their objective, the one with the least slack first.
	tierTimely
	// tierLate: jobs that can't, but still count as late; the shortest rest first.
	tierLate
	// tierHopeless: jobs beyond that, which are owed an end all the same.
	tierHopeless
)

const (
	// lateFactor is up to how many times its objective a job counts as late.
	lateFactor = 3
	// timelySlackMS is by how much a job may seem to miss its objective and still be served among the timely ones, since estimates are rough.
	timelySlackMS = 200
	// beginMarginMS is the slack that a job must have left when its first task starts: a job that only just can't be in time takes the room of one that could.
	beginMarginMS = 300
)

// place starts waiting tasks of all services; it answers queues that ask for several times what their pool holds.
func (ct *Controller) place(bt *Batch, nowMS int64) {
	pools := ct.pools(nowMS)
	if len(pools) == 0 {
		return
	}
	for service, list := range ct.candidates(nowMS) {
		pool := pools[service]
		if len(pool) == 0 {
			continue
		}
		over := ct.sharesOf(service, pool, nowMS).over(ct.weights, list)
		for at := range list {
			list[at].yields = list[at].tier != tierLasting && over[list[at].team()]
		}
		sortCandidates(list)
		for _, cd := range list {
			if len(ct.dirty) >= MaxRows {
				return
			}
			ct.placeStep(bt, cd, pool, nowMS)
		}
	}
}

// pools returns the usable VMs of each service.
func (ct *Controller) pools(nowMS int64) map[string][]*vm {
	pools := map[string][]*vm{}
	for _, on := range ct.vms {
		on.reserved = false
		if on.usable(nowMS) && !ct.CutOff(on.reg.GetZone()) {
			pools[on.reg.GetService()] = append(pools[on.reg.GetService()], on)
		}
	}
	for _, pool := range pools {
		sort.Slice(pool, func(i, j int) bool { return pool[i].id < pool[j].id })
	}
	return pools
}

func (ct *Controller) candidates(nowMS int64) map[string][]candidate {
	out := map[string][]candidate{}
	for _, jb := range ct.active {
		qu := ct.queueOf(jb)
		if qu == nil {
			continue
		}
		for _, oc := range jb.occurrences {
			out[qu.GetService()] = ct.appendReady(out[qu.GetService()], oc, qu, nowMS)
		}
	}
	return out
}

func (ct *Controller) appendReady(list []candidate, oc *occurrence, qu *workpb.Queue, nowMS int64) []candidate {
	for _, st := range oc.steps {
		if st.done == len(st.tasks) || !st.waiting(nowMS) || !st.ready() {
			continue
		}
		list = append(list, rank(st, qu, nowMS))
	}
	return list
}

// waiting reports whether a task of the step may be given a run, or for a gang all.
func (st *step) waiting(nowMS int64) bool {
	if st.row.GetGang() {
		return !slices.ContainsFunc(st.tasks, func(tk *task) bool { return !tk.waiting(nowMS) })
	}
	return slices.ContainsFunc(st.tasks, func(tk *task) bool { return tk.waiting(nowMS) })
}

func rank(st *step, qu *workpb.Queue, nowMS int64) candidate {
	if st.row.GetLasting() {
		return candidate{st: st, tier: tierLasting, latestMS: st.oc.dueMS}
	}
	chain := slices.Max(st.oc.jb.tails)
	objective := int64(qu.GetStretch()*float64(chain)) + qu.GetTargetMs()
	latest := st.oc.dueMS + objective - st.tailMS()
	cd := candidate{st: st, latestMS: latest}
	graceMS := int64(timelySlackMS)
	if !st.oc.begun() {
		graceMS = -beginMarginMS
	}
	switch {
	case latest+graceMS >= nowMS:
		cd.tier = tierTimely
	case latest+(lateFactor-1)*objective >= nowMS:
		cd.tier = tierLate
	default:
		cd.tier = tierHopeless
	}
	return cd
}

// begun reports whether a task of the occurrence runs or has run.
func (oc *occurrence) begun() bool {
	return slices.ContainsFunc(oc.steps, (*step).started)
}

func sortCandidates(list []candidate) {
	sort.Slice(list, func(i, j int) bool {
		one, other := list[i], list[j]
		if one.tier != other.tier {
			return one.tier < other.tier
		}
		if one.yields != other.yields {
			return other.yields
		}
		if one.tier == tierLate && one.st.tailMS() != other.st.tailMS() {
			return one.st.tailMS() < other.st.tailMS()
		}
		if one.latestMS != other.latestMS {
			return one.latestMS < other.latestMS
		}
		return one.st.oc.jb.row.GetId() < other.st.oc.jb.row.GetId()
	})
}

func (ct *Controller) placeStep(bt *Batch, cd candidate, pool []*vm, nowMS int64) {
	if ct.queueOf(cd.st.oc.jb).GetAdvised() {
		pool = ct.ticketed(cd.st, pool, nowMS)
	}
	if cd.st.row.GetGang() {
		ct.placeGang(bt, cd.st, pool)
		return
	}
	for _, tk := range cd.st.tasks {
		if !tk.waiting(nowMS) {
			continue
		}
		if !ct.withinCap(cd.st.oc.jb.row.GetTeam(), cd.st.demand()) {
			return
		}
		on := choose(tk, pool)
		if on == nil {
			if cd.tier == tierLasting {
				ct.noteCramped(pool[0].reg.GetService(), nowMS)
				reserveFor(cd.st, pool)
			}
			return
		}
		ct.plan(bt, on, tk, tk.run+1)
	}
}

// placeGang starts all tasks of a step or none.
func (ct *Controller) placeGang(bt *Batch, st *step, pool []*vm) {
	number := int64(0)
	need := size.Size{}
	for _, tk := range st.tasks {
		number = max(number, tk.run)
		need = need.Plus(st.demand())
	}
	if !ct.withinCap(st.oc.jb.row.GetTeam(), need) {
		return
	}
	planned := make([]*run, 0, len(st.tasks))
	for _, tk := range st.tasks {
		on := choose(tk, pool)
		if on == nil {
			ct.unplan(planned)
			return
		}
		tk.run = number + 1
		planned = append(planned, ct.reserve(on, tk, phasePlanned))
	}
	bt.starts = append(bt.starts, planned...)
	ct.touch(st.oc.jb)
}

func (ct *Controller) unplan(planned []*run) {
	for _, rn := range planned {
		rn.task.run--
		rn.task.cur = nil
		ct.release(rn)
	}
}

// plan gives a task a run on a VM; it is ordered once the batch is stored.
func (ct *Controller) plan(bt *Batch, on *vm, tk *task, number int64) {
	tk.run = number
	bt.starts = append(bt.starts, ct.reserve(on, tk, phasePlanned))
	ct.touch(tk.job())
}

// reserveFor keeps the freest VM that could hold a task clear of lesser work, so that small tasks don't take each piece of room that comes free.
func reserveFor(st *step, pool []*vm) {
	var best *vm
	for _, on := range pool {
		if !on.reserved && st.need().Fits(on.capacity()) && allowed(st, on) && (best == nil || on.free().CoresMilli() > best.free().CoresMilli()) {
			best = on
		}
	}
	if best != nil {
		best.reserved = true
	}
}

// allowed reports whether the step's rules admit one more of its tasks on the VM.
func allowed(st *step, on *vm) bool {
	if st.row.GetLabel() != "" && !on.hasLabel(st.row.GetLabel()) {
		return false
	}
	limit := int(st.row.GetMaxPerVm())
	return limit <= 0 || on.ofStep(st) < limit
}

// choose returns the VM for a task, or nil if none has room.
func choose(tk *task, pool []*vm) *vm {
	st := tk.st
	need := st.need()
	rack := colocation(st, pool)
	var best *vm
	var bestCost int64
	for _, on := range pool {
		if !need.Fits(on.free()) || (on.reserved && !st.row.GetLasting()) || !allowed(st, on) {
			continue
		}
		cost := cost(tk, on, rack)
		if best == nil || cost < bestCost {
			best, bestCost = on, cost
		}
	}
	return best
}

// Costs of a placement, in thousandths of a core that stay free beside it.
const (
	remoteCost      = 1_000_000
	avoidedCost     = 10_000_000
	interferingCost = 2_000_000
	apartCost       = 100_000
)

// cost weighs a VM for a task: the least room left over, near the data and to the step's other tasks, away from where it failed, and filling tasks away from serving ones.
func cost(tk *task, on *vm, rack string) int64 {
	st := tk.st
	sum := on.free().CoresMilli()
	if st.row.GetDataRack() != "" && !on.hasLabel(st.row.GetDataRack()) {
		sum += remoteCost
	}
	if rack != "" && on.reg.GetRack() != rack {
		sum += remoteCost
	}
	if tk.avoids(on.id) {
		sum += avoidedCost
	}
	switch {
	case st.row.GetFills() && on.serving():
		sum += interferingCost
	case st.row.GetTailTargetMs() > 0 && on.filled():
		sum += interferingCost
	case st.row.GetTailTargetMs() > 0 && !on.serving():
		sum += apartCost
	}
	return sum
}

// colocation returns the rack that the step's tasks should share, or nothing.
func colocation(st *step, pool []*vm) string {
	if !st.row.GetColocated() {
		return ""
	}
	for _, tk := range st.tasks {
		if tk.cur != nil {
			return tk.cur.vm.reg.GetRack()
		}
	}
	free := map[string]int64{}
	best := ""
	for _, on := range pool {
		rack := on.reg.GetRack()
		free[rack] += on.free().CoresMilli()
		if best == "" || free[rack] > free[best] {
			best = rack
		}
	}
	return best
}
