package suspicion

// Suspicion is a circuit breaker for one VM: it covers VMs that report good health but fail or stall all their runs.
type Suspicion struct {
	failedJobs      map[string]bool
	excludedUntilMS int64
	nextExclusionMS int64
}

const (
	// minFailedJobs is how many different jobs must fail in a row, since single jobs may be at fault themselves.
	minFailedJobs  = 3
	minExclusionMS = 2000
	maxExclusionMS = 16000
)

// New returns the state of a VM without failures.
func New() *Suspicion {
	return &Suspicion{failedJobs: map[string]bool{}, nextExclusionMS: minExclusionMS}
}

// RecordFailure records that a run of a job failed or stalled on the VM and reports whether the VM is now excluded from new work for a while, if it may be; each further exclusion lasts twice as long, up to maxExclusionMS.
func (su *Suspicion) RecordFailure(nowMS int64, job string, mayExclude bool) bool {
	su.failedJobs[job] = true
	if len(su.failedJobs) < minFailedJobs || nowMS < su.excludedUntilMS || !mayExclude {
		return false
	}
	su.excludedUntilMS = nowMS + su.nextExclusionMS
	su.nextExclusionMS = min(2*su.nextExclusionMS, maxExclusionMS)
	return true
}

// Forgive takes back the failures of a job that turned out to fail everywhere.
func (su *Suspicion) Forgive(job string) { delete(su.failedJobs, job) }

// RecordSuccess records that a run succeeded on the VM; it resets the failures and the length of the next exclusion.
func (su *Suspicion) RecordSuccess() {
	clear(su.failedJobs)
	su.nextExclusionMS = minExclusionMS
}

// Usable reports whether new work may be placed on the VM.
func (su *Suspicion) Usable(nowMS int64) bool { return nowMS >= su.excludedUntilMS }
