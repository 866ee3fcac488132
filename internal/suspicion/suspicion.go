package suspicion

// Suspicion weighs the ends on one VM; it answers VMs that report good health and fail or stall all their runs.
type Suspicion struct {
	failing map[string]bool
	untilMS int64
	pauseMS int64
}

const (
	// failingJobs is how many different jobs must fail in a row, since single jobs may be at fault themselves.
	failingJobs  = 3
	firstPauseMS = 2000
	longestMS    = 16000
)

// New returns a VM without suspicion.
func New() *Suspicion { return &Suspicion{failing: map[string]bool{}, pauseMS: firstPauseMS} }

// Fail records that a job's run failed or stalled on the VM and reports whether this ended its use for a while.
func (su *Suspicion) RecordFailure(nowMS int64, job string) bool {
	su.failing[job] = true
	if len(su.failing) < failingJobs || nowMS < su.untilMS {
		return false
	}
	su.untilMS = nowMS + su.pauseMS
	su.pauseMS = min(2*su.pauseMS, longestMS)
	return true
}

// Succeed records that a run ended well on the VM.
func (su *Suspicion) RecordSuccess() {
	clear(su.failing)
	su.pauseMS = firstPauseMS
}

// Usable reports whether new work may be placed on the VM.
func (su *Suspicion) Usable(nowMS int64) bool { return nowMS >= su.untilMS }
