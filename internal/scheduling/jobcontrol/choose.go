package jobcontrol

import (
	"cmp"
	"slices"

	"github.com/fulmarloft/fulmarloft/internal/scheduling/jobwork"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/sizefairness"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/startchoice"
)

// choice holds the jobs of a service that were deferred at a time.
type choice struct {
	atMS     int64
	deferred map[*occurrence]bool
}

// choiceIntervalMS is the minimum time between two choices for a service, each of which visits all its open jobs. A job that comes in between counts as chosen until the next one; it has more slack than those chosen, so it rarely goes before them.
const choiceIntervalMS = 100

// loggedChoice is the number of a service's deferred jobs that was logged last.
type loggedChoice struct {
	atMS     int64
	deferred int
}

// choiceLogIntervalMS is the minimum time between two log lines of one service's deferred jobs.
const choiceLogIntervalMS = 1000

// deferStarts moves the jobs that don't fit until their objectives beside the others behind those that do. It acts on queues with an objective that aren't public, under rules in which teams have a weight.
func (ct *Controller) deferStarts(service string, list []candidate, nowMS int64) {
	if !ct.weighted {
		return
	}
	if nowMS-ct.choices[service].atMS >= choiceIntervalMS {
		ct.choices[service] = choice{atMS: nowMS, deferred: ct.chooseStarts(service, list, nowMS)}
	}
	deferred := ct.choices[service].deferred
	if len(deferred) == 0 {
		return
	}
	for at := range list {
		if list[at].tier == tierOnTime && deferred[list[at].st.oc] && !list[at].begun() {
			list[at].tier = tierDeferred
		}
	}
}

// chooseStarts returns the jobs among the candidates of a service that don't fit until their objectives.
func (ct *Controller) chooseStarts(service string, list []candidate, nowMS int64) map[*occurrence]bool {
	waiting := map[*occurrence]int{}
	var jobs []*occurrence
	ct.recordChoices(nowMS)
	for at := range list {
		cd := &list[at]
		if !ct.deferrable(cd) {
			continue
		}
		first, ok := waiting[cd.st.oc]
		if !ok {
			jobs = append(jobs, cd.st.oc)
		}
		// A job's latest start is the earliest one of its ready steps.
		if !ok || cd.latestMS < list[first].latestMS {
			waiting[cd.st.oc] = at
			ct.undecided[cd.st.oc] = cd.latestMS
		}
	}
	if len(jobs) == 0 {
		ct.logChoice(service, 0, 0, 0, nowMS)
		return nil
	}
	ch := startchoice.New(nowMS, ct.roomMilli(service, nowMS), ct.begunCoreMS(service, waiting, nowMS))
	slices.SortFunc(jobs, func(aa, bb *occurrence) int {
		return cmp.Or(cmp.Compare(list[waiting[aa]].latestMS, list[waiting[bb]].latestMS), cmp.Compare(aa.jb.row.GetId(), bb.jb.row.GetId()), cmp.Compare(aa.number, bb.number))
	})
	kept := ct.keptJobs(jobs)
	for number, oc := range jobs {
		cd := list[waiting[oc]]
		ch.Add(number, cd.latestMS, oc.jb.workCoreMS(), cd.level, kept[oc])
	}
	deferred := map[*occurrence]bool{}
	deferredCoreMS := int64(0)
	for _, number := range ch.Deferred() {
		deferred[jobs[number]] = true
		deferredCoreMS += jobs[number].jb.workCoreMS()
	}
	ct.logChoice(service, len(jobs), len(deferred), deferredCoreMS, nowMS)
	return deferred
}

// recordChoices records the jobs that waited to be chosen and have begun, or can no longer be in time.
func (ct *Controller) recordChoices(nowMS int64) {
	var decided []*occurrence
	for oc, latestMS := range ct.undecided {
		if oc.jb.ended() || oc.started() || latestMS-firstStartMarginMS < nowMS {
			delete(ct.undecided, oc)
			decided = append(decided, oc)
		}
	}
	slices.SortFunc(decided, func(aa, bb *occurrence) int {
		return cmp.Or(cmp.Compare(aa.jb.row.GetId(), bb.jb.row.GetId()), cmp.Compare(aa.number, bb.number))
	})
	for _, oc := range decided {
		begun := oc.started()
		if begun || !oc.jb.ended() {
			ct.sizesOf(oc).Record(oc.jb.workCoreMS(), begun)
		}
		if !begun && !oc.jb.ended() {
			ct.logDeferred(oc, nowMS)
		}
	}
}

// logDeferred logs that a job can no longer be in time, since others were chosen before it.
func (ct *Controller) logDeferred(oc *occurrence, nowMS int64) {
	row, qu := oc.jb.row, ct.queueOf(oc.jb)
	ct.lg.Info("job-deferred", "job", row.GetId(), "queue", row.GetQueue(), "team", row.GetTeam(),
		"share-level", ct.shareLevel(qu.GetService(), row.GetTeam()), "work-core-ms", oc.jb.workCoreMS(), "age-ms", nowMS-oc.dueMS)
}

// sizesOf returns the history by size of the queue of a job.
func (ct *Controller) sizesOf(oc *occurrence) *sizefairness.History {
	queue := oc.jb.row.GetQueue()
	if ct.sizes[queue] == nil {
		ct.sizes[queue] = sizefairness.New()
	}
	return ct.sizes[queue]
}

// keptJobs returns the large jobs that keep their places before others, among jobs in order of least slack.
func (ct *Controller) keptJobs(jobs []*occurrence) map[*occurrence]bool {
	byQueue := map[string][]*occurrence{}
	for _, oc := range jobs {
		byQueue[oc.jb.row.GetQueue()] = append(byQueue[oc.jb.row.GetQueue()], oc)
	}
	out := map[*occurrence]bool{}
	for _, ocs := range byQueue {
		work := make([]int64, len(ocs))
		for at, oc := range ocs {
			work[at] = oc.jb.workCoreMS()
		}
		for at, kept := range ct.sizesOf(ocs[0]).Kept(work) {
			out[ocs[at]] = kept
		}
	}
	return out
}

// logChoice logs the number of a service's deferred jobs when it has changed, at most once per choiceLogIntervalMS.
func (ct *Controller) logChoice(service string, waiting, deferred int, deferredCoreMS, nowMS int64) {
	last := ct.loggedChoices[service]
	if deferred == last.deferred || nowMS-last.atMS < choiceLogIntervalMS {
		return
	}
	ct.loggedChoices[service] = loggedChoice{atMS: nowMS, deferred: deferred}
	ct.lg.Info("starts-deferred", "service", service, "jobs", deferred, "waiting", waiting, "work-core-ms", deferredCoreMS)
}

// endChoices logs the end of deferral for services without waiting work.
func (ct *Controller) endChoices(waiting map[string][]candidate, nowMS int64) {
	for service, last := range ct.loggedChoices {
		if len(waiting[service]) == 0 && last.deferred > 0 {
			ct.logChoice(service, 0, 0, 0, nowMS)
		}
	}
}

// DeferredJobs returns the number of jobs of each service that were put off, as it was logged last.
func (ct *Controller) DeferredJobs() map[string]int {
	out := map[string]int{}
	for service, last := range ct.loggedChoices {
		out[service] = last.deferred
	}
	return out
}

// deferrable reports whether a step belongs to a job that may be deferred: one that can be in time, of a queue with an objective that isn't public, of which nothing has started.
func (ct *Controller) deferrable(cd *candidate) bool {
	return cd.tier == tierOnTime && jobwork.HasObjective(ct.queueOf(cd.st.oc.jb)) && !cd.begun()
}

// begunCoreMS returns the rest of the work in a service's pool that goes on whatever is chosen: of all jobs that are or can be in time but for those that wait to be chosen, and of the running tasks of others.
func (ct *Controller) begunCoreMS(service string, waiting map[*occurrence]int, nowMS int64) int64 {
	sum := int64(0)
	for _, jb := range ct.active {
		qu := ct.queueOf(jb)
		if qu == nil || qu.GetService() != service {
			continue
		}
		for _, oc := range jb.occurrences {
			if _, ok := waiting[oc]; !ok {
				sum += ct.begunCoreMSOf(oc, oc.onTime(qu, nowMS))
			}
		}
	}
	return sum
}

// begunCoreMSOf returns the rest of an occurrence's work, or of its running tasks if it can't be in time.
func (ct *Controller) begunCoreMSOf(oc *occurrence, onTime bool) int64 {
	sum := int64(0)
	for _, st := range oc.steps {
		if st.row.GetLasting() || st.done == st.taskCount() {
			continue
		}
		if onTime {
			sum += ct.remainingCoreMS(st)
			continue
		}
		for tk := range st.tasks.recorded() {
			if tk.current != nil {
				sum += tk.remainingMS() * st.row.GetCpuMilli() / milli
			}
		}
	}
	return sum
}

// roomMilli returns the CPU capacity of a service's pool for tasks that end, in thousandths of a core. VMs that don't answer or that a new owner hasn't polled yet count, since most of them answer soon; VMs that are to leave or are cut off don't.
func (ct *Controller) roomMilli(service string, nowMS int64) int64 {
	room := int64(0)
	for _, vm := range ct.vms {
		if vm.reg.GetService() != service || !vm.registered || vm.reg.GetDraining() || vm.cordoned || vm.leaving || ct.ZoneClosed(vm.reg.GetZone()) {
			continue
		}
		if vm.unresponsive && nowMS-max(vm.answeredMS, vm.firstSeenMS) > ct.runLeaseMS {
			continue
		}
		room += vm.capacity().Minus(vm.lastingUse()).CoresMilli()
	}
	return room
}
