package jobcontrol

import "github.com/fulmarloft/fulmarloft/internal/scheduling/size"

// unplaceable is the demand of a service's long-running tasks that fit none of its VMs, whatever is missing: memory, a label, or a VM that isn't at the step's limit per VM.
type unplaceable struct {
	seenMS int64
	// initialVMs is the number of VMs when a task was first found unplaceable.
	initialVMs int
	// usableVMs is the number of VMs in the planning pass at seenMS, missingVMs how many more the tasks lacked then, work that ends left out.
	usableVMs  int
	missingVMs int
}

const (
	// unplaceableTTLMS is how long a failed placement of a long-running task keeps requesting another VM; placement is retried in every planning pass.
	unplaceableTTLMS = 1000
	// maxUnplaceableVMs is the maximum number of additional VMs requested that way.
	maxUnplaceableVMs = 4
)

// recordUnplaceable records that a long-running step has waiting tasks that fit no VM of the pool.
func (ct *Controller) recordUnplaceable(st *step, pool []*vmState, nowMS int64) {
	service := ct.queueOf(st.oc.jb).GetService()
	un, ok := ct.unplaceable[service]
	if !ok {
		un = &unplaceable{initialVMs: ct.countVMs(service)}
		ct.unplaceable[service] = un
	}
	if un.seenMS != nowMS {
		un.seenMS, un.usableVMs, un.missingVMs = nowMS, len(pool), 0
	}
	un.missingVMs = max(un.missingVMs, ct.missingVMs(st, pool, nowMS))
}

// unplaceableMinVMs returns the minimum number of VMs that a service needs for its unplaceable long-running tasks: one more VM at a time, and a bounded number in all, since the tasks may fit no VM.
func (ct *Controller) unplaceableMinVMs(service string, nowMS int64) int {
	un, ok := ct.unplaceable[service]
	if !ok {
		return 0
	}
	if nowMS-un.seenMS >= unplaceableTTLMS {
		delete(ct.unplaceable, service)
		return 0
	}
	return min(ct.countVMs(service)+1, un.initialVMs+maxUnplaceableVMs)
}

// unplaceableLastingVMs returns the number of VMs with which a service's unplaceable long-running tasks would have room, bounded likewise, and 0 if ending work makes room for them or no VM ever has any.
func (ct *Controller) unplaceableLastingVMs(service string) int {
	un, ok := ct.unplaceable[service]
	if !ok || un.missingVMs == 0 {
		return 0
	}
	return min(un.usableVMs+un.missingVMs, un.initialVMs+maxUnplaceableVMs)
}

// missingVMs returns how many more VMs like those of the pool the step's waiting tasks need beside the room that the pool has without work that ends, as far as their team's cap allows; 0 for tasks that no VM of the pool could hold even if it were empty.
func (ct *Controller) missingVMs(st *step, pool []*vmState, nowMS int64) int {
	if len(pool) == 0 {
		return min(ct.waitingWithinCap(st, nowMS), 1)
	}
	perVM, room := 0, 0
	for _, vm := range pool {
		if !vm.offersLabel(st) {
			continue
		}
		perVM = max(perVM, st.copiesWithin(vm.capacity(), 0))
		room += st.copiesWithin(vm.capacity().Minus(vm.lastingUse()), vm.runsOfStep(st))
	}
	rest := ct.waitingWithinCap(st, nowMS) - room
	if perVM == 0 || rest <= 0 {
		return 0
	}
	return (rest + perVM - 1) / perVM
}

// waitingWithinCap counts the step's waiting tasks, as many as the team's cap admits.
func (ct *Controller) waitingWithinCap(st *step, nowMS int64) int {
	count := 0
	var sum size.Size
	for range st.waitingIndices(nowMS) {
		sum = sum.Plus(st.capUse())
		if !ct.withinCap(st.oc.jb.row.GetTeam(), sum) {
			break
		}
		count++
	}
	return count
}

// copiesWithin returns how many more of the step's tasks fit into free resources of a VM that has some of them already, at most as many as the step has.
func (st *step) copiesWithin(free size.Size, present int) int {
	limit := st.taskCount()
	if perVM := int(st.row.GetMaxPerVm()); perVM > 0 {
		limit = min(limit, perVM-present)
	}
	return st.need().CopiesIn(free, limit)
}

// countVMs counts a service's schedulable VMs, including those cordoned for a move, but not those under suspicion or in a zone that is evacuated or cut off, which pool sizing doesn't count either.
func (ct *Controller) countVMs(service string) int {
	count := 0
	for _, vm := range ct.vms {
		if vm.reg.GetService() == service && vm.schedulable() && vm.suspicion.Usable(ct.ck.Now()) && !ct.ZoneClosed(vm.reg.GetZone()) {
			count++
		}
	}
	return count
}
