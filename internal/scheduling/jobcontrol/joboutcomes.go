package jobcontrol

const (
	// minFailedVMs is on how many VMs a job must have failed to be at fault itself.
	minFailedVMs = 3
	// soundAfterMS is how long a long-running task must be at work for its run to count as a good one.
	soundAfterMS = 10_000
	// excludedDivisor divides the VMs of a service into the part that may be excluded from new work at once: if more of them fail, the work is at fault.
	excludedDivisor = 2
)

// jobOutcomes counts how the runs of a job went, to tell whether the job fails or its VMs do.
type jobOutcomes struct {
	good, failed int
	// failedOn holds the VMs on which runs failed.
	failedOn map[string]bool
}

// recordFailure counts a run that failed, stalled or was slow on a VM.
func (jo *jobOutcomes) recordFailure(vm string) {
	if jo.failedOn == nil {
		jo.failedOn = map[string]bool{}
	}
	jo.failed++
	jo.failedOn[vm] = true
}

// jobAtFault reports whether the job fails wherever it runs.
func (jo *jobOutcomes) jobAtFault() bool {
	return len(jo.failedOn) >= minFailedVMs && jo.failed > jo.good
}

// recordAtWork counts a run of a long-running task as a good one once it has been at work for long enough.
func (rn *run) recordAtWork(nowMS int64) {
	if rn.countedGood || !rn.lasting() || rn.phase != phaseRunning || rn.percent < fullPercent || nowMS-rn.startedMS < soundAfterMS {
		return
	}
	rn.countedGood = true
	rn.task.job().outcomes.good++
}

// mayExclude reports whether one more VM of a service may be excluded from new work.
func (ct *Controller) mayExclude(service string, nowMS int64) bool {
	total, excluded := 0, 0
	for _, vm := range ct.vms {
		if vm.registered && vm.reg.GetService() == service {
			total++
			if !vm.suspicion.Usable(nowMS) {
				excluded++
			}
		}
	}
	return (excluded+1)*excludedDivisor <= total
}
