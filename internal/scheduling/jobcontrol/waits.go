package jobcontrol

import (
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/waitestimate"
)

// noTeam is the team name of work from public queues.
const noTeam = ""

// suspicionHorizonMS is how soon the exclusion of a VM under suspicion must end for its capacity to count.
const suspicionHorizonMS = 2000

// AddWaits adds to an estimate each service with its VMs, its work and its teams. VMs with unanswered orders and those that a new owner hasn't polled yet count as capacity: without them, jobs would be refused after each loss of VMs or of the owner although there is capacity.
func (ct *Controller) AddWaits(es *waitestimate.Estimator) {
	if ct.rules == nil {
		return
	}
	eligible := ct.eligibleServices()
	if len(eligible) == 0 {
		return
	}
	nowMS := ct.ck.Now()
	counted := map[*vmState]bool{}
	for _, sv := range ct.rules.Rules().GetServices() {
		if !sv.GetStandby() {
			es.AddService(sv.GetName(), eligible[sv.GetName()])
		}
	}
	for _, vm := range ct.vms {
		if !ct.countsAsCapacity(vm, nowMS) {
			continue
		}
		counted[vm] = true
		if vm.firstSeenMS < es.SettledMS() && !ct.foundOut(vm, nowMS) {
			es.Withhold(vm.reg.GetService())
		}
		lasting := vm.lastingCoresMilli()
		es.AddMachine(vm.reg.GetService(), vm.reg.GetMachine(), vm.reg.GetCpuMilli()-lasting, vm.used.CoresMilli()-lasting)
	}
	ct.addWork(es, counted, nowMS)
	ct.addTeams(es, eligible)
}

// countsAsCapacity reports whether a VM is capacity that its service has or gets back within about the time of a move: it is registered, neither leaves nor has been silent for a run lease, and isn't known to be down or out of reach with its zone.
func (ct *Controller) countsAsCapacity(vm *vmState, nowMS int64) bool {
	if !vm.registered || vm.reg.GetDraining() || vm.cordoned || vm.leaving || vm.machineLost || ct.ZoneClosed(vm.reg.GetZone()) {
		return false
	}
	return !ct.silentForLease(vm, nowMS) && vm.suspicion.Usable(nowMS+suspicionHorizonMS)
}

// silentForLease reports whether a VM has answered no poll for a run lease.
func (ct *Controller) silentForLease(vm *vmState, nowMS int64) bool {
	return vm.failedPolls > 0 && nowMS-vm.silentSinceMS >= ct.runLeaseMS
}

// foundOut reports whether this owner has had an answer from a VM or found it silent for a run lease.
func (ct *Controller) foundOut(vm *vmState, nowMS int64) bool {
	return vm.answeredMS != 0 || ct.silentForLease(vm, nowMS)
}

// lastingCoresMilli returns the CPU capacity that long-running tasks take on the VM.
func (vm *vmState) lastingCoresMilli() int64 {
	sum := int64(0)
	for _, rn := range vm.runs {
		if rn.st != nil && rn.st.row.GetLasting() {
			sum += rn.need.CoresMilli()
		}
	}
	return sum
}

// addWork adds the remaining work of started jobs and that of the others that can still be in time. Best-effort tasks take no capacity, and what runs on VMs that don't count competes for none that does. Of a started job that is late only the tasks that run count: new jobs go ahead of the others, so a queue without an objective, whose jobs are always late, would make every new job seem to wait.
func (ct *Controller) addWork(es *waitestimate.Estimator, counted map[*vmState]bool, nowMS int64) {
	asked := askedCapacity{}
	gone := func(tk *task) bool { return tk.current != nil && !counted[tk.current.vm] }
	notRunning := func(tk *task) bool { return tk.current == nil || !counted[tk.current.vm] }
	for _, jb := range ct.active {
		qu := ct.queueOf(jb)
		if qu == nil {
			continue
		}
		service, team := qu.GetService(), jb.row.GetTeam()
		ask := func(st *step, cores int64) { asked.add(vmKindOf(service, st), team, cores) }
		for _, oc := range jb.occurrences {
			switch {
			case oc.started() && oc.onTime(qu, nowMS):
				es.AddBegun(service, ct.learnedWork(qu, oc.openWork(gone)))
				oc.askForWaiting(nowMS, ask)
			case oc.started():
				es.AddBegun(service, ct.learnedWork(qu, oc.openWork(notRunning)))
			case oc.onTime(qu, nowMS):
				es.AddWaiting(service, team, ct.learnedWork(qu, oc.wholeWork(ask)))
			}
		}
	}
	ct.addAsked(es, counted, asked)
}

// vmKind is the VMs of a service that offer what a step requires.
type vmKind struct {
	service      string
	label        string
	accelerators bool
}

func vmKindOf(service string, st *step) vmKind {
	return vmKind{service, st.row.GetLabel(), st.row.GetAccelerators() > 0}
}

// askedCapacity is the CPU capacity that tasks ready to start would take, in thousandths of a core, by the kind of VM that they need and by team.
type askedCapacity map[vmKind]map[string]int64

func (ac askedCapacity) add(vk vmKind, team string, cores int64) {
	if ac[vk] == nil {
		ac[vk] = map[string]int64{}
	}
	ac[vk][team] += cores
}

// addAsked adds what tasks ask for, as far as their teams' caps allow and, for tasks that only some VMs can run, as far as these VMs have capacity: such tasks may wait while other VMs are free for new jobs.
func (ct *Controller) addAsked(es *waitestimate.Estimator, counted map[*vmState]bool, asked askedCapacity) {
	capacity := capacityByKind(counted)
	for vk, teams := range asked {
		sum := int64(0)
		for team, cores := range teams {
			if limit := ct.caps[team].CoresMilli(); limit > 0 {
				cores = min(cores, max(limit-ct.used[team].CoresMilli(), 0))
			}
			sum += cores
		}
		if vk.label != "" || vk.accelerators {
			sum = min(sum, capacity[vk])
		}
		es.AddAsked(vk.service, sum)
	}
}

// capacityByKind returns the CPU capacity of the VMs of each kind, without what long-running tasks take.
func capacityByKind(counted map[*vmState]bool) map[vmKind]int64 {
	out := map[vmKind]int64{}
	for vm := range counted {
		cores := max(vm.reg.GetCpuMilli()-vm.lastingCoresMilli(), 0)
		for _, label := range vm.reg.GetLabels() {
			out[vmKind{vm.reg.GetService(), label, false}] += cores
			if vm.reg.GetAccelerators() > 0 {
				out[vmKind{vm.reg.GetService(), label, true}] += cores
			}
		}
		if vm.reg.GetAccelerators() > 0 {
			out[vmKind{vm.reg.GetService(), "", true}] += cores
		}
	}
	return out
}

// openWork returns the occurrence's remaining work in milliseconds of a core, without tasks that match.
func (oc *occurrence) openWork(except func(*task) bool) int64 {
	workCoreMS := int64(0)
	for _, st := range oc.steps {
		if !st.row.GetLasting() && st.done < st.taskCount() {
			workCoreMS += st.remainingMS(except) * st.need().CoresMilli() / milli
		}
	}
	return workCoreMS
}

// askForWaiting calls ask for each step with the CPU capacity that its tasks which may start now would take.
func (oc *occurrence) askForWaiting(nowMS int64, ask func(st *step, cores int64)) {
	for _, st := range oc.steps {
		need := st.need().CoresMilli()
		if st.row.GetLasting() || st.done == st.taskCount() || need == 0 || !st.ready() {
			continue
		}
		waiting := int64(0)
		for range st.waitingIndices(nowMS) {
			waiting++
		}
		ask(st, waiting*need)
	}
}

// wholeWork returns the work of an occurrence of which no task has started, and calls ask as askForWaiting does, without a look at each task.
func (oc *occurrence) wholeWork(ask func(st *step, cores int64)) int64 {
	workCoreMS := int64(0)
	for _, st := range oc.steps {
		need := st.need().CoresMilli()
		if st.row.GetLasting() || need == 0 {
			continue
		}
		workCoreMS += st.expectedTaskMS() * int64(st.taskCount()) * need / milli
		if st.ready() {
			ask(st, int64(st.taskCount())*need)
		}
	}
	return workCoreMS
}

// addTeams adds each team's level and cap for the services that can be listed.
func (ct *Controller) addTeams(es *waitestimate.Estimator, eligible map[string]bool) {
	for service := range eligible {
		es.SetTeam(service, noTeam, 0, 0, 0)
		for _, tm := range ct.rules.Rules().GetTeams() {
			team := tm.GetName()
			es.SetTeam(service, team, ct.shareLevel(service, team), ct.caps[team].CoresMilli(), ct.used[team].CoresMilli())
		}
	}
}

// learnedWork returns declared work of a queue's jobs as what it takes by what was learned from the queue's ended tasks.
func (ct *Controller) learnedWork(qu *workpb.Queue, declaredCoreMS int64) int64 {
	return int64(float64(declaredCoreMS) * ct.WorkFactor(qu.GetName()))
}
