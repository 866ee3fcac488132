package jobcontrol

import (
	"cmp"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/jobwork"
)

const (
	// minCriticalPathMS limits the capacity requested for jobs whose remaining critical path is short.
	minCriticalPathMS = 600
	// arrivalWindowMS is the window over which the rate of arriving work is measured.
	arrivalWindowMS = 700
	// shortArrivalWindowMS is a shorter window, which shows the onset of a peak sooner.
	shortArrivalWindowMS = 350
	// arrivalRetentionMS is how long arrivals are kept.
	arrivalRetentionMS = 40000
)

// arrival is the work that one job added, in milliseconds of a core.
type arrival struct {
	atMS       int64
	service    string
	team       string
	workCoreMS int64
}

// Demand is the capacity that the jobs of a service need from its pool.
type Demand struct {
	coresMilli int64
	lateMilli  int64
	minVMs     int
	lastingVMs int
}

// CoresMilli returns the CPU capacity needed now for everything that can finish on time, in thousandths of a core.
func (dm Demand) CoresMilli() int64 { return dm.coresMilli }

// LateMilli returns the additional CPU capacity needed for jobs that are already late, in thousandths of a core.
func (dm Demand) LateMilli() int64 { return dm.lateMilli }

// MinVMs returns the minimum number of VMs that the service's tasks need.
func (dm Demand) MinVMs() int { return dm.minVMs }

// LastingVMs returns the number of VMs that the service must have before its waiting long-running tasks can start, 0 if they needn't wait for another VM.
func (dm Demand) LastingVMs() int { return dm.lastingVMs }

// recordArrival records the work of a new job for the arrival rate; scheduled jobs, long-running steps and jobs that counted when they were refused don't count.
func (ct *Controller) recordArrival(jb *job) {
	qu := ct.queueOf(jb)
	if qu == nil || jb.scheduled() || ct.refusedMS[jb.row.GetId()] != 0 {
		return
	}
	ct.addArrival(arrival{atMS: cmp.Or(jb.row.GetFirstTriedMs(), jb.row.GetAcceptedMs()), service: qu.GetService(), team: jb.row.GetTeam(), workCoreMS: jb.workCoreMS()})
}

func (ct *Controller) addArrival(ar arrival) {
	ar.atMS = min(ar.atMS, ct.ck.Now())
	ct.arrivals = append(ct.arrivals, ar)
}

// RecordRefused records the work of a submission that was refused at admission as arrived, once for each job: a queue whose demand is cut by refusals would otherwise lose machines. Rows that name no work don't count.
func (ct *Controller) RecordRefused(row *workpb.Job) {
	if ct.rules == nil || row.GetWorkCoreMs() == 0 || ct.refusedMS[row.GetId()] != 0 || ct.jobs[row.GetId()] != nil {
		return
	}
	qu, ok := ct.rules.Queue(row.GetQueue())
	if !ok {
		return
	}
	atMS := row.GetFirstTriedMs()
	if atMS == 0 {
		atMS = ct.ck.Now()
	}
	ct.refusedMS[row.GetId()] = atMS
	ct.addArrival(arrival{atMS: atMS, service: qu.GetService(), team: row.GetTeam(), workCoreMS: row.GetWorkCoreMs()})
}

// forgetArrivals drops the arrivals and refusals that are too old to matter.
func (ct *Controller) forgetArrivals(nowMS int64) {
	for len(ct.arrivals) > 0 && nowMS-ct.arrivals[0].atMS > arrivalRetentionMS {
		ct.arrivals = ct.arrivals[1:]
	}
	for id, atMS := range ct.refusedMS {
		if nowMS-atMS > arrivalRetentionMS {
			delete(ct.refusedMS, id)
		}
	}
}

const milli = 1000

// Demands returns the demand on each service's pool.
func (ct *Controller) Demands() map[string]Demand {
	nowMS := ct.ck.Now()
	caps := ct.endingCaps()
	backlog, late := newTeamDemand(caps), newTeamDemand(caps)
	lasting := map[string]int64{}
	minVMs := map[string]int{}
	for _, jb := range ct.active {
		qu := ct.queueOf(jb)
		if qu == nil {
			continue
		}
		for _, oc := range jb.occurrences {
			if oc.onTime(qu, nowMS) {
				backlog.add(qu.GetService(), jb.row.GetTeam(), ct.demandMilli(oc))
			} else {
				late.add(qu.GetService(), jb.row.GetTeam(), ct.demandMilli(oc))
			}
			for _, st := range oc.steps {
				if st.row.GetLasting() {
					lasting[qu.GetService()] += int64(st.taskCount()) * st.need().CoresMilli()
				}
				minVMs[qu.GetService()] = max(minVMs[qu.GetService()], st.minVMs())
			}
		}
	}
	backlogMilli := backlog.withinCaps(nil)
	lateMilli := late.withinCaps(backlog)
	rate := ct.arrivalRates(caps)
	out := map[string]Demand{}
	for _, sv := range ct.rules.Rules().GetServices() {
		name := sv.GetName()
		cores := lasting[name] + max(backlogMilli[name], rate[name])
		dm := Demand{coresMilli: cores, lateMilli: lateMilli[name], minVMs: minVMs[name]}
		dm.minVMs = max(dm.minVMs, ct.unplaceableMinVMs(name, nowMS))
		dm.lastingVMs = ct.unplaceableLastingVMs(name)
		if cores+lateMilli[name] > 0 {
			dm.minVMs = max(dm.minVMs, 1)
		}
		out[name] = dm
	}
	return out
}

// onTime reports whether an occurrence can still finish within its objective.
func (oc *occurrence) onTime(qu *workpb.Queue, nowMS int64) bool {
	for _, st := range oc.steps {
		if st.done < st.taskCount() && !st.row.GetLasting() && st.ready() {
			return rank(st, qu, nowMS).tier <= tierOnTime
		}
	}
	return true
}

// started reports whether a task of the step has a run or is done.
func (st *step) started() bool {
	if st.assigned() > 0 {
		return true
	}
	if !st.hadRun {
		return false
	}
	for tk := range st.tasks.recorded() {
		if tk.first() != nil {
			return true
		}
	}
	return false
}

// demandMilli returns the CPU capacity, in thousandths of a core, with which the rest of an occurrence's work would finish within its critical path.
func (ct *Controller) demandMilli(oc *occurrence) int64 {
	work, criticalPath := int64(0), int64(minCriticalPathMS)
	for _, st := range oc.steps {
		if st.row.GetLasting() || st.done == st.taskCount() {
			continue
		}
		work += ct.remainingCoreMS(st)
		criticalPath = max(criticalPath, st.criticalPathMS())
	}
	return work * milli / criticalPath
}

// remainingCoreMS returns the step's remaining work in milliseconds of a core. Tasks that may still run on an unreachable VM are left out, since they can't use capacity elsewhere yet.
func (ct *Controller) remainingCoreMS(st *step) int64 {
	unreachable := func(tk *task) bool { return tk.current != nil && ct.unreachable(tk.current.vm) }
	return st.remainingMS(unreachable) * st.row.GetCpuMilli() / milli
}

// remainingMS returns how long the step's remaining tasks take in sum, without those that match; except looks at nothing but the run that a task has.
func (st *step) remainingMS(except func(*task) bool) int64 {
	rest := int64(0)
	if first, ok := st.unassigned.NextSet(0); ok && !except(st.task(int(first))) {
		// All tasks without a run match alike.
		rest = int64(st.unassigned.Count()) * st.expectedTaskMS()
	}
	for index, ok := st.unassigned.NextClear(0); ok; index, ok = st.unassigned.NextClear(index + 1) {
		if tk := st.task(int(index)); !tk.done && !except(tk) {
			rest += tk.remainingMS()
		}
	}
	return rest
}

// expectedTaskMS returns how long a task of the step is expected to take, as declared by its submitter; WorkFactor tells how far off the queue's declarations are.
func (st *step) expectedTaskMS() int64 { return max(st.row.GetEstimateMs(), jobwork.MinStepEstimateMS) }

// remainingMS returns the rest of the task's estimate by the progress of its run, if it has one.
func (tk *task) remainingMS() int64 {
	left := int64(fullPercent)
	if tk.current != nil {
		left -= min(tk.current.percent, fullPercent)
	}
	return tk.st.expectedTaskMS() * left / fullPercent
}

// unreachable reports whether a VM's runs can't be observed or stopped for now.
func (ct *Controller) unreachable(vm *vmState) bool {
	return vm.unresponsive || !vm.synced || ct.CutOff(vm.reg.GetZone())
}

// minVMs returns the minimum number of VMs that the step's waiting and running tasks need under its limit per VM.
func (st *step) minVMs() int {
	limit := int(st.row.GetMaxPerVm())
	rest := st.taskCount() - st.done
	if limit <= 0 || rest == 0 {
		return min(rest, 1)
	}
	return (rest + limit - 1) / limit
}

// Arrivals returns, per service, the work in milliseconds of a core and the number of jobs that arrived after afterMS and no later than untilMS.
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

// arrivalRates returns the recent arrival rate of work per service, in thousandths of a core, the higher of the two windows' rates; no team's rate exceeds its cap.
func (ct *Controller) arrivalRates(caps map[string]int64) map[string]int64 {
	nowMS := ct.ck.Now()
	ct.forgetArrivals(nowMS)
	rates := map[string]int64{}
	for _, window := range []int64{arrivalWindowMS, shortArrivalWindowMS} {
		rate := newTeamDemand(caps)
		for _, ar := range ct.arrivals {
			if ar.atMS > nowMS-window && ar.atMS <= nowMS {
				rate.add(ar.service, ar.team, ar.workCoreMS*milli/window)
			}
		}
		for service, sum := range rate.withinCaps(nil) {
			rates[service] = max(rates[service], sum)
		}
	}
	return rates
}

// CordonForMove stops placing new work on the given VMs, whose machines another pool needs, and lifts this cordon from all others.
func (ct *Controller) CordonForMove(vms map[string]bool) {
	for id, vm := range ct.vms {
		vm.cordonedForMove = vms[id]
	}
}

// ReleaseVM marks a VM as about to end because its machine moves to another pool, so that nothing more is placed there.
func (ct *Controller) ReleaseVM(id string) {
	if vm, ok := ct.vms[id]; ok {
		vm.leaving = true
	}
}

// KeepVM undoes ReleaseVM for a VM whose machine doesn't move after all.
func (ct *Controller) KeepVM(id string) {
	if vm, ok := ct.vms[id]; ok {
		vm.leaving = false
	}
}

// Movable reports whether a VM is known, synchronized with this owner and free of long-running tasks, so that its machine may move as soon as nothing runs there. A VM with ends that aren't stored yet doesn't count, since they would be lost with the VM.
func (ct *Controller) Movable(id string) bool {
	vm, ok := ct.vms[id]
	if !ok || !vm.synced || vm.unresponsive || !vm.registered || vm.endsUnstored() {
		return false
	}
	return !ct.HasLasting(id)
}

// Unusable reports whether a VM is known to take no work for a reason that pool sizing doesn't account for: it isn't accepting runs or is under suspicion.
func (ct *Controller) Unusable(id string) bool {
	vm, ok := ct.vms[id]
	if !ok {
		return false
	}
	return !vm.accepting() || !vm.suspicion.Usable(ct.ck.Now())
}
