package jobcontrol

import (
	"slices"

	"github.com/fulmarloft/fulmarloft/internal/workpb"
)

const (
	// leastChainMS bounds the room that is wanted for jobs whose rest is short.
	leastChainMS = 600
	// arrivalWindowMS is the time over which the rate of arriving work is taken.
	arrivalWindowMS = 700
	// onsetWindowMS is a shorter one, in which the onset of a peak shows sooner.
	onsetWindowMS = 350
	// crampedMS is how long a lasting task that fits nowhere asks for one more VM; it is tried again with each decision.
	crampedMS = 1000
	// crampedVMs is how many VMs more it may get.
	crampedVMs = 4
	// arrivalMemoryMS is how long arrivals are remembered.
	arrivalMemoryMS = 40000
)

// arrival is the work that one job brought.
type arrival struct {
	atMS    int64
	service string
	coreMS  int64
}

// Demand is what the jobs of a service ask of its pool.
type Demand struct {
	coresMilli int64
	lateMilli  int64
	leastVMs   int
}

// CoresMilli returns the processor room wanted now for all that can be in time, in thousandths of a core.
func (wa Demand) CoresMilli() int64 { return wa.coresMilli }

// LateMilli returns the room wanted beside that for jobs that are late already.
func (wa Demand) LateMilli() int64 { return wa.lateMilli }

// MinVMs returns the least number of VMs that the tasks must be spread over.
func (wa Demand) MinVMs() int { return wa.leastVMs }

// noteArrival remembers the work of a new job for the rate of arriving work.
func (ct *Controller) noteArrival(jb *job) {
	qu := ct.queueOf(jb)
	if qu == nil || jb.timed() {
		return
	}
	work := int64(0)
	for _, row := range jb.row.GetSteps() {
		if !row.GetLasting() {
			work += int64(row.GetCount()) * row.GetCpuMilli() * max(row.GetEstimateMs(), stepEstimateFloorMS) / milli
		}
	}
	ct.arrivals = append(ct.arrivals, arrival{atMS: min(jb.row.GetAcceptedMs(), ct.ck.Now()), service: qu.GetService(), coreMS: work})
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
			if oc.timely(qu, nowMS) {
				backlog[qu.GetService()] += ct.wantedMilli(oc)
			} else {
				late[qu.GetService()] += ct.wantedMilli(oc)
			}
			for _, st := range oc.steps {
				if st.row.GetLasting() {
					lasting[qu.GetService()] += int64(len(st.tasks)) * st.need().CoresMilli()
				}
				least[qu.GetService()] = max(least[qu.GetService()], st.leastVMs())
			}
		}
	}
	rate := ct.arrivalRates()
	out := map[string]Demand{}
	for _, sv := range ct.rules.Rules().GetServices() {
		name := sv.GetName()
		cores := lasting[name] + max(backlog[name], rate[name])
		wa := Demand{coresMilli: cores, lateMilli: late[name], leastVMs: least[name]}
		wa.leastVMs = max(wa.leastVMs, ct.crampedLeast(name, nowMS))
		if cores+late[name] > 0 {
			wa.leastVMs = max(wa.leastVMs, 1)
		}
		out[name] = wa
	}
	return out
}

// cramped is the want of a lasting task that fits no VM of its service, whatever it lacks: memory, a label, a VM without others of its step.
type cramped struct {
	seenMS int64
	// fromVMs is the number of VMs when the want began.
	fromVMs int
}

func (ct *Controller) noteCramped(service string, nowMS int64) {
	cr, ok := ct.cramped[service]
	if !ok {
		cr = &cramped{fromVMs: ct.countVMs(service)}
		ct.cramped[service] = cr
	}
	cr.seenMS = nowMS
}

// crampedLeast returns the least number of VMs that a service needs for lasting tasks that fit nowhere; one VM more at a time, and not without bound, since they may fit none.
func (ct *Controller) crampedLeast(service string, nowMS int64) int {
	cr, ok := ct.cramped[service]
	if !ok {
		return 0
	}
	if nowMS-cr.seenMS >= crampedMS {
		delete(ct.cramped, service)
		return 0
	}
	return min(ct.countVMs(service)+1, cr.fromVMs+crampedVMs)
}

// countVMs counts a service's VMs that stay in its pool and take work, or would if they weren't shed.
func (ct *Controller) countVMs(service string) int {
	count := 0
	for _, on := range ct.vms {
		if on.reg.GetService() == service && on.stays() {
			count++
		}
	}
	return count
}

// timely reports whether the rest of an occurrence can still be done within its objective.
func (oc *occurrence) timely(qu *workpb.Queue, nowMS int64) bool {
	for _, st := range oc.steps {
		if st.done < len(st.tasks) && !st.row.GetLasting() && st.ready() {
			return rank(st, qu, nowMS).tier <= tierTimely || st.started()
		}
	}
	return true
}

// started reports whether a task of the step runs or has run.
func (st *step) started() bool {
	return slices.ContainsFunc(st.tasks, func(tk *task) bool { return tk.done || tk.cur != nil })
}

// wantedMilli returns the room in which the rest of an occurrence's work would be done as soon as its order of steps allows.
func (ct *Controller) wantedMilli(oc *occurrence) int64 {
	work, chain := int64(0), int64(leastChainMS)
	for _, st := range oc.steps {
		if st.row.GetLasting() || st.done == len(st.tasks) {
			continue
		}
		work += ct.restCoreMS(st)
		chain = max(chain, st.tailMS())
	}
	return work * milli / chain
}

// restCoreMS returns the work that is left of the step, in milliseconds of a core; what may still run on a VM that doesn't answer can't use room elsewhere yet.
func (ct *Controller) restCoreMS(st *step) int64 {
	estimate := max(st.row.GetEstimateMs(), stepEstimateFloorMS)
	rest := int64(0)
	for _, tk := range st.tasks {
		if tk.done || (tk.cur != nil && ct.outOfReach(tk.cur.vm)) {
			continue
		}
		left := int64(fullPercent)
		if tk.cur != nil {
			left -= min(tk.cur.percent, fullPercent)
		}
		rest += estimate * left / fullPercent
	}
	return rest * st.row.GetCpuMilli() / milli
}

// outOfReach reports whether a VM's runs can't be seen or stopped for now.
func (ct *Controller) outOfReach(on *vm) bool {
	return on.silent || !on.synced || ct.CutOff(on.reg.GetZone())
}

// leastVMs returns over how many VMs the step's waiting and running tasks must be spread.
func (st *step) leastVMs() int {
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
			work[ar.service] += ar.coreMS
			jobs[ar.service]++
		}
	}
	return work, jobs
}

// arrivalRates returns the work that arrived lately, in thousandths of a core.
func (ct *Controller) arrivalRates() map[string]int64 {
	nowMS := ct.ck.Now()
	for len(ct.arrivals) > 0 && nowMS-ct.arrivals[0].atMS > arrivalMemoryMS {
		ct.arrivals = ct.arrivals[1:]
	}
	rates := map[string]int64{}
	for _, window := range []int64{arrivalWindowMS, onsetWindowMS} {
		work, _ := ct.Arrivals(nowMS-window, nowMS)
		for service, sum := range work {
			rates[service] = max(rates[service], sum*milli/window)
		}
	}
	return rates
}

// CordonForMove keeps new work from the VMs given and admits it to all others that were shed.
func (ct *Controller) CordonForMove(vms map[string]bool) {
	for id, on := range ct.vms {
		on.shed = vms[id]
	}
}

// ReleaseVM takes up that a VM is going to end because its machine moves, so that nothing is placed there meanwhile.
func (ct *Controller) ReleaseVM(id string) {
	if on, ok := ct.vms[id]; ok {
		on.leaving = true
	}
}

// KeepVM takes up that a VM's machine stays where it is.
func (ct *Controller) KeepVM(id string) {
	if on, ok := ct.vms[id]; ok {
		on.leaving = false
	}
}

// Idle reports whether a VM is known, in the owner's hands, and may be taken away as soon as nothing runs there; ends that aren't stored yet are lost with it.
func (ct *Controller) Idle(id string) bool {
	on, ok := ct.vms[id]
	if !ok || !on.synced || on.silent || !on.registered || on.processed > on.stored {
		return false
	}
	return !ct.HasLasting(id)
}

// Unusable reports whether a VM is known to take no work for a reason that its pool's size doesn't account for.
func (ct *Controller) Unusable(id string) bool {
	on, ok := ct.vms[id]
	if !ok {
		return false
	}
	return !on.answers() || !on.trust.Usable(ct.ck.Now())
}
