package quarantine

import (
	"slices"

	"github.com/fulmarloft/fulmarloft/internal/clock"
)

// Ledger attributes each failed run to its worker or its job, depending on how often the worker fails other jobs and the job fails on other workers; it isn't safe for concurrent use.
type Ledger struct {
	ck               *clock.Clock
	fleetSize        int
	quarantinedCount int
	workers          map[string]*worker
	jobs             map[string]*job
}

const (
	// suspicionThreshold is the number of failures, weighted by how likely the suspect caused them, from which a worker is quarantined or a job is poisonous.
	suspicionThreshold = 2.5
	// minFailureRate is the minimum ratio of a worker's weighted failures to those plus its successes for quarantine.
	minFailureRate  = 0.5
	failureMemoryMS = 10 * 60 * 1000
	// firstTrialWaitMS is the wait before the first trial run; each failed trial doubles it up to maxTrialWaitMS.
	firstTrialWaitMS = 30 * 1000
	maxTrialWaitMS   = 10 * 60 * 1000
	trialsToRelease  = 2
	// maxQuarantinedPercent and minQuarantineCap bound how many workers are quarantined at a time.
	maxQuarantinedPercent = 20
	minQuarantineCap      = 1
)

// worker is the failure history and the quarantine of one worker.
type worker struct {
	// events holds the jobs that failed in each event, by its time.
	events map[int64][]string
	// successes counts the successful runs since the first of the events.
	successes   int
	quarantined bool
	trialAtMS   int64
	trialWaitMS int64
	inTrial     bool
	// trialJob is the job of the last trial, until its result is recorded.
	trialJob     string
	trialsPassed int
}

// job is the outcome of one job's runs so far.
type job struct {
	failedOn  map[string]bool
	successes int
	poisonous bool
}

// New returns an empty ledger.
func New(ck *clock.Clock) *Ledger {
	return &Ledger{ck: ck, workers: map[string]*worker{}, jobs: map[string]*job{}}
}

// SetFleet sets the number of workers in the fleet, of which a fifth may be quarantined at a time.
func (lg *Ledger) SetFleet(workers int) { lg.fleetSize = workers }

// RecordSuccess records that a run of a job succeeded on a worker.
func (lg *Ledger) RecordSuccess(workerName, id string) {
	wk := lg.unexpired(workerName)
	if len(wk.events) > 0 {
		wk.successes++
	}
	if jb, ok := lg.jobs[id]; ok {
		jb.successes++
		lg.reevaluateWorkers(jb)
	}
	if wk.quarantined && wk.trialJob == id {
		lg.passTrial(wk)
	}
}

// RecordFailure records that jobs failed on a worker in one event, such as a crash of the worker.
func (lg *Ledger) RecordFailure(workerName string, ids ...string) {
	wk := lg.worker(workerName)
	lg.expireEvents(wk)
	wk.events[lg.eventKey(wk)] = ids
	for _, id := range ids {
		jb := lg.job(id)
		jb.failedOn[workerName] = true
	}
	if wk.quarantined && slices.Contains(ids, wk.trialJob) {
		lg.failTrial(wk)
	}
	for _, id := range ids {
		lg.evaluateJob(id)
	}
	lg.evaluateWorker(workerName)
}

// RestoreFailures records failures of a job that another process observed; they don't count against the workers.
func (lg *Ledger) RestoreFailures(id string, workerNames []string) {
	for _, name := range workerNames {
		lg.job(id).failedOn[name] = true
	}
}

// Forget removes a job that has ended.
func (lg *Ledger) Forget(id string) { delete(lg.jobs, id) }

// Poisonous reports whether the job has failed on enough workers that run other jobs without failures.
func (lg *Ledger) Poisonous(id string) bool {
	jb, ok := lg.jobs[id]
	return ok && jb.poisonous
}

// Quarantined reports whether the worker is in quarantine, in which it gets only trial runs.
func (lg *Ledger) Quarantined(workerName string) bool {
	wk, ok := lg.workers[workerName]
	return ok && wk.quarantined
}

// QuarantinedWorkers returns the quarantined workers, in no particular order.
func (lg *Ledger) QuarantinedWorkers() []string {
	var names []string
	for name, wk := range lg.workers {
		if wk.quarantined {
			names = append(names, name)
		}
	}
	return names
}

// TrialDue reports whether a quarantined worker may get one trial run now.
func (lg *Ledger) TrialDue(workerName string) bool {
	wk, ok := lg.workers[workerName]
	return ok && wk.quarantined && !wk.inTrial && lg.ck.Now() >= wk.trialAtMS
}

// BeginTrial records that a run of the job was given to the worker as a trial.
func (lg *Ledger) BeginTrial(workerName, id string) {
	wk := lg.worker(workerName)
	wk.inTrial, wk.trialJob = true, id
}

// EndTrial records that the trial run ended, without counting it for or against the worker.
func (lg *Ledger) EndTrial(workerName string) {
	if wk, ok := lg.workers[workerName]; ok {
		wk.inTrial = false
	}
}

// evaluateJob marks a job as poisonous if it never succeeded and is suspicious enough, and releases the workers that were quarantined because of it.
func (lg *Ledger) evaluateJob(id string) {
	jb := lg.job(id)
	if jb.poisonous || jb.successes > 0 || lg.jobSuspicion(id, jb) < suspicionThreshold {
		return
	}
	jb.poisonous = true
	for name := range jb.failedOn {
		lg.releaseIfCleared(lg.worker(name), lg.workerSuspicion(name))
	}
}

// evaluateWorker quarantines a worker if it is suspicious enough and the cap allows it.
func (lg *Ledger) evaluateWorker(name string) {
	wk := lg.worker(name)
	suspicion := lg.workerSuspicion(name)
	if wk.quarantined || suspicion < suspicionThreshold || suspicion < minFailureRate*(suspicion+float64(wk.successes)) {
		return
	}
	if lg.quarantinedCount >= max(minQuarantineCap, lg.fleetSize*maxQuarantinedPercent/100) {
		return
	}
	lg.quarantinedCount++
	wk.quarantined, wk.trialsPassed, wk.inTrial, wk.trialJob = true, 0, false, ""
	wk.trialWaitMS = firstTrialWaitMS
	wk.trialAtMS = lg.ck.Now() + wk.trialWaitMS
}

// reevaluateWorkers evaluates again the workers on which a job failed that has now succeeded on one, since the job is less likely to blame.
func (lg *Ledger) reevaluateWorkers(jb *job) {
	for name := range jb.failedOn {
		lg.evaluateWorker(name)
	}
}

// releaseIfCleared releases a quarantined worker whose failures are explained by a job.
func (lg *Ledger) releaseIfCleared(wk *worker, suspicion float64) {
	if wk.quarantined && suspicion < suspicionThreshold {
		lg.endQuarantine(wk)
	}
}

func (lg *Ledger) passTrial(wk *worker) {
	wk.inTrial, wk.trialJob = false, ""
	wk.trialsPassed++
	if wk.trialsPassed >= trialsToRelease {
		lg.endQuarantine(wk)
	}
}

func (lg *Ledger) failTrial(wk *worker) {
	wk.inTrial, wk.trialJob, wk.trialsPassed = false, "", 0
	wk.trialWaitMS = min(2*wk.trialWaitMS, maxTrialWaitMS)
	wk.trialAtMS = lg.ck.Now() + wk.trialWaitMS
}

// endQuarantine releases a worker and clears its history.
func (lg *Ledger) endQuarantine(wk *worker) {
	lg.quarantinedCount--
	*wk = worker{events: map[int64][]string{}}
}

// workerSuspicion sums over the worker's failure events the probability that none of the jobs in the event caused it, by the job with the highest failure rate elsewhere.
func (lg *Ledger) workerSuspicion(name string) float64 {
	sum := 0.0
	for _, ids := range lg.unexpired(name).events {
		lowest := 1.0
		for _, id := range ids {
			lowest = min(lowest, 1-lg.jobFailureRate(id, name))
		}
		sum += lowest
	}
	return sum
}

// jobSuspicion sums over the workers on which the job failed the probability that the worker didn't cause it, by its failure rate with other jobs.
func (lg *Ledger) jobSuspicion(id string, jb *job) float64 {
	sum := 0.0
	for name := range jb.failedOn {
		sum += 1 - lg.workerFailureRate(name, id)
	}
	return sum
}

// jobFailureRate estimates from other workers that aren't quarantined how likely the job is to fail on any worker.
func (lg *Ledger) jobFailureRate(id, except string) float64 {
	jb, ok := lg.jobs[id]
	if !ok {
		return 0
	}
	if jb.poisonous {
		return 1
	}
	others := 0
	for name := range jb.failedOn {
		if name != except && !lg.Quarantined(name) {
			others++
		}
	}
	return failureRate(others, jb.successes)
}

// workerFailureRate estimates from other jobs how likely the worker is to fail any job.
func (lg *Ledger) workerFailureRate(name, except string) float64 {
	wk := lg.unexpired(name)
	others := 0
	for _, ids := range wk.events {
		if !attributedToJob(lg, ids, except) {
			others++
		}
	}
	return failureRate(others, wk.successes)
}

// attributedToJob reports whether a failure event includes the excepted job or a poisonous one.
func attributedToJob(lg *Ledger, ids []string, except string) bool {
	for _, id := range ids {
		if id == except || lg.Poisonous(id) {
			return true
		}
	}
	return false
}

// failureRate estimates a failure rate; the extra run in the denominator keeps it below 1 and low while there are few runs.
func failureRate(failures, successes int) float64 {
	return float64(failures) / float64(failures+successes+1)
}

// unexpired returns a worker after dropping its old failure events. A worker in quarantine keeps them, since only trials or a poisonous job release it.
func (lg *Ledger) unexpired(name string) *worker {
	wk := lg.worker(name)
	if !wk.quarantined {
		lg.expireEvents(wk)
	}
	return wk
}

// expireEvents drops the failure events older than failureMemoryMS, and with the last of them the count of successes.
func (lg *Ledger) expireEvents(wk *worker) {
	for at := range wk.events {
		if at < lg.ck.Now()-failureMemoryMS {
			delete(wk.events, at)
		}
	}
	if len(wk.events) == 0 {
		wk.successes = 0
	}
}

// eventKey returns the current time, or the next free millisecond if another event of the worker has that key.
func (lg *Ledger) eventKey(wk *worker) int64 {
	at := lg.ck.Now()
	for wk.events[at] != nil {
		at++
	}
	return at
}

func (lg *Ledger) worker(name string) *worker {
	wk, ok := lg.workers[name]
	if !ok {
		wk = &worker{events: map[int64][]string{}}
		lg.workers[name] = wk
	}
	return wk
}

func (lg *Ledger) job(id string) *job {
	jb, ok := lg.jobs[id]
	if !ok {
		jb = &job{failedOn: map[string]bool{}}
		lg.jobs[id] = jb
	}
	return jb
}
