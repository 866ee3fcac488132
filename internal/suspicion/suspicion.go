package suspicion

// Suspicion weighs the ends on one VM; it answers VMs that report good health and fail or stall all their runs.
type Suspicion struct {
	failedJobs map[string]bool
	untilMS    int64
	pauseMS    int64
}

const (
	// failingJobs is how many different jobs must fail in a row, since single jobs may be at fault themselves.
	minFailedJobs = 3
	firstPauseMS  = 2000
	maxPauseMS    = 16000
)

// New returns a VM without suspicion.
func New() *Suspicion { return &Suspicion{failedJobs: map[string]bool{}, pauseMS: firstPauseMS} }

// Fail records that a job's run failed or stalled on the VM and reports whether this ended its use for a while.
func (su *Suspicion) RecordFailure(nowMS int64, job string) bool {
	su.failedJobs[job] = true
	if len(su.failedJobs) < minFailedJobs || nowMS < su.untilMS {
		return false
	}
	su.untilMS = nowMS + su.pauseMS
	su.pauseMS = min(2*su.pauseMS, maxPauseMS)
	return true
}

// Succeed records that a run ended well on the VM.
func (su *Suspicion) RecordSuccess() {
	clear(su.failedJobs)
	su.pauseMS = firstPauseMS
}

// Usable reports whether new work may be placed on the VM.
func (su *Suspicion) Usable(nowMS int64) bool { return nowMS >= su.untilMS }
