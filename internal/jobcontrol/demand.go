package jobcontrol

import (
	"slices"

	"github.com/fulmarloft/fulmarloft/internal/workpb"
)

const (
	// leastChainMS bounds the room that is wanted for jobs whose rest is short.
	minCriticalPathMS = 600
	// arrivalWindowMS is the time over which the rate of arriving work is taken.
	arrivalWindowMS = 700
	// onsetWindowMS is a shorter one, in which the onset of a peak shows sooner.
	shortArrivalWindowMS = 350
	// crampedMS is how long a lasting task that fits nowhere asks for one more VM; it is tried again with each decision.
	unplaceableTTLMS = 1000
	// crampedVMs is how many VMs more it may get.
	maxUnplaceableVMs = 4
	// arrivalMemoryMS is how long arrivals are remembered.
	arrivalRetentionMS = 40000
)

// arrival is the work that one job brought.
type arrival struct {
	atMS       int64
	service    string
	workCoreMS int64
}

// Demand is what the jobs of a service ask of its pool.
type Demand struct {
	coresMilli int64
	lateMilli  int64
	minVMs     int
}

// CoresMilli returns the processor room wanted now for all that can be in time, in thousandths of a core.
func (wa Demand) CoresMilli() int64 { return wa.coresMilli }

// LateMilli returns the room wanted beside that for jobs that are late already.
func (wa Demand) LateMilli() int64 { return wa.lateMilli }

// MinVMs returns the least number of VMs that the tasks must be spread over.
func (wa Demand) MinVMs() int { return wa.minVMs }

// noteArrival remembers the work of a new job for the rate of arriving work.
func (ct *Controller) recordArrival(jb *job) {
	qu := ct.queueOf(jb)
	if qu == nil || jb.scheduled() {
		return
	}
	work := int64(0)
	for _, row := range jb.row.GetSteps() {
		if !row.GetLasting() {
			work += int64(row.GetCount()) * row.GetCpuMilli() * max(row.GetEstimateMs(), minStepEstimateMS) / milli
		}
	}
	ct.arrivals = append(ct.arrivals, arrival{atMS: min(jb.row.GetAcceptedMs(), ct.ck.Now()), service: qu.GetService(), workCoreMS: work})
}

const milli = 1000

// Demands returns what each service's pool is asked for.
func (ct *Controller) Demands() map[string]Demand {
	nowMS := ct.ck.Now()
	backlog := map[string]int64{}
	late := map[string]int64{}
	lasting := map[string]int64{}
	least := map[string]int{}
	for _, jb := range ct.active {
		qu := ct.queueOf(jb)
		if qu == nil {
			continue
		}
		for _, oc := range jb.occurrences {
			if oc.onTime(qu, nowMS) {
				backlog[qu.GetService()] += ct.demandMilli(oc)
			} else {
				late[qu.GetService()] += ct.demandMilli(oc)
			}
			for _, st := range oc.steps {
				if st.row.GetLasting() {
					lasting[qu.GetService()] += int64(len(st.tasks)) * st.need().CoresMilli()
				}
				least[qu.GetService()] = max(least[qu.GetService()], st.minVMs())
			}
		}
	}
	rate := ct.arrivalRates()
	out := map[string]Demand{}
	for _, sv := range ct.rules.Rules().GetServices() {
		name := sv.GetName()
		cores := lasting[name] + max(backlog[name], rate[name])
		wa := Demand{coresMilli: cores, lateMilli: late[name], minVMs: least[name]}
		wa.minVMs = max(wa.minVMs, ct.unplaceableMinVMs(name, nowMS))
		if cores+late[name] > 0 {
			wa.minVMs = max(wa.minVMs, 1)
		}
		out[name] = wa
	}
	return out
}

// cramped is the want of a lasting task that fits no VM of its service, whatever it lacks: memory, a label, a VM without others of its step.
type unplaceable struct {
	seenMS int64
	// fromVMs is the number of VMs when the want began.
	initialVMs int
}

func (ct *Controller) noteUnplaceable(service string, nowMS int64) {
	cr, ok := ct.unplaceable[service]
	if !ok {
		cr = &unplaceable{initialVMs: ct.countVMs(service)}
		ct.unplaceable[service] = cr
	}
	cr.seenMS = nowMS
}

// crampedLeast returns the least number of VMs that a service needs for lasting tasks that fit nowhere; one VM more at a time, and not without bound, since they may fit none.
func (ct *Controller) unplaceableMinVMs(service string, nowMS int64) int {
	cr, ok := ct.unplaceable[service]
	if !ok {
		return 0
	}
	if nowMS-cr.seenMS >= unplaceableTTLMS {
		delete(ct.unplaceable, service)
		return 0
	}
	return min(ct.countVMs(service)+1, cr.initialVMs+maxUnplaceableVMs)
}

// countVMs counts a service's VMs that stay in its pool and take work, or would if they weren't shed.
func (ct *Controller) countVMs(service string) int {
	count := 0
	for _, vm := range ct.vms {
		if vm.reg.GetService() == service && vm.schedulable() {
			count++
		}
	}
	return count
}

// timely reports whether the rest of an occurrence can still be done within its objective.
func (oc *occurrence) onTime(qu *workpb.Queue, nowMS int64) bool {
	for _, st := range oc.steps {
		if st.done < len(st.tasks) && !st.row.GetLasting() && st.ready() {
			return rank(st, qu, nowMS).tier <= tierOnTime || st.started()
		}
	}
	return true
}

// started reports whether a task of the step runs or has run.
func (st *step) started() bool {
	return slices.ContainsFunc(st.tasks, func(tk *task) bool { return tk.done || tk.current != nil })
}

// wantedMilli returns the room in which the rest of an occurrence's work would be done as soon as its order of steps allows.
func (ct *Controller) demandMilli(oc *occurrence) int64 {
	work, chain := int64(0), int64(minCriticalPathMS)
	for _, st := range oc.steps {
		if st.row.GetLasting() || st.done == len(st.tasks) {
			continue
		}
		work += ct.remainingCoreMS(st)
		chain = max(chain, st.criticalPathMS())
	}
	return work * milli / chain
}

// restCoreMS returns the work that is left of the step, in milliseconds of a core; what may still run on a VM that doesn't answer can't use room elsewhere yet.
func (ct *Controller) remainingCoreMS(st *step) int64 {
	estimate := max(st.row.GetEstimateMs(), minStepEstimateMS)
	rest := int64(0)
	for _, tk := range st.tasks {
		if tk.done || (tk.current != nil && ct.unreachable(tk.current.vm)) {
			continue
		}
		left := int64(fullPercent)
		if tk.current != nil {
			left -= min(tk.current.percent, fullPercent)
		}
		rest += estimate * left / fullPercent
	}
	return rest * st.row.GetCpuMilli() / milli
}

// outOfReach reports whether a VM's runs can't be seen or stopped for now.
func (ct *Controller) unreachable(vm *vmState) bool {
	return vm.silent || !vm.synced || ct.CutOff(vm.reg.GetZone())
}

// leastVMs returns over how many VMs the step's waiting and running tasks must be spread.
func (st *step) minVMs() int {
	limit := int(st.row.GetMaxPerVm())
	rest := len(st.tasks) - st.done
	if limit <= 0 || rest == 0 {
		return min(rest, 1)
	}
	return (rest + limit - 1) / limit
}

// Arrivals returns the work that arrived for each service after a time and up to another, in milliseconds of a core, and the number of jobs.
func (ct *Controller) Arrivals(afterMS, untilMS int64) (work map[string]int64, jobs map[string]int) {
	work, jobs = map[string]int64{}, map[string]int{}
	for _, ar := range ct.arrivals {
		if ar.atMS > afterMS && ar.atMS <= untilMS {
			work[ar.service] += ar.workCoreMS
			jobs[ar.service]++
		}
	}
	return work, jobs
}

// arrivalRates returns the work that arrived lately, in thousandths of a core.
func (ct *Controller) arrivalRates() map[string]int64 {
	nowMS := ct.ck.Now()
	for len(ct.arrivals) > 0 && nowMS-ct.arrivals[0].atMS > arrivalRetentionMS {
		ct.arrivals = ct.arrivals[1:]
	}
	rates := map[string]int64{}
	for _, window := range []int64{arrivalWindowMS, shortArrivalWindowMS} {
		work, _ := ct.Arrivals(nowMS-window, nowMS)
		for service, sum := range work {
			rates[service] = max(rates[service], sum*milli/window)
		}
	}
	return rates
}

// CordonForMove keeps new work from the VMs given and admits it to all others that were shed.
func (ct *Controller) CordonForMove(vms map[string]bool) {
	for id, vm := range ct.vms {
		vm.cordonedForMove = vms[id]
	}
}

// ReleaseVM takes up that a VM is going to end because its machine moves, so that nothing is placed there meanwhile.
func (ct *Controller) ReleaseVM(id string) {
	if vm, ok := ct.vms[id]; ok {
		vm.leaving = true
	}
}

// KeepVM takes up that a VM's machine stays where it is.
func (ct *Controller) KeepVM(id string) {
	if vm, ok := ct.vms[id]; ok {
		vm.leaving = false
	}
}

// Idle reports whether a VM is known, in the owner's hands, and may be taken away as soon as nothing runs there; ends that aren't stored yet are lost with it.
func (ct *Controller) Idle(id string) bool {
	vm, ok := ct.vms[id]
	if !ok || !vm.synced || vm.silent || !vm.registered || vm.processed > vm.stored {
		return false
	}
	return !ct.HasLasting(id)
}

// Unusable reports whether a VM is known to take no work for a reason that its pool's size doesn't account for.
func (ct *Controller) Unusable(id string) bool {
	vm, ok := ct.vms[id]
	if !ok {
		return false
	}
	return !vm.responsive() || !vm.suspicion.Usable(ct.ck.Now())
}
