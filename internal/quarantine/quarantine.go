package quarantine

import "github.com/fulmarloft/fulmarloft/internal/clock"

// Ledger weighs each failure against its worker and its job at once; it isn't safe for concurrent use.
type Ledger struct {
	ck      *clock.Clock
	fleet   int
	out     int
	workers map[string]*worker
	jobs    map[string]*job
}

const (
	suspicionLimit   = 2.5
	leastFailureRate = 0.5
	failureMemoryMS  = 10 * 60 * 1000
	firstTrialMS     = 30 * 1000
	longestTrialMS   = 10 * 60 * 1000
	trialsToRelease  = 2
	maxOutPercent    = 20
	minOut           = 1
)

type worker struct {
	events      map[int64][]string
	successes   int
	out         bool
	trialAtMS   int64
	trialWaitMS int64
	trialing    bool
	passed      int
}

type job struct {
	failedOn  map[string]bool
	succeeded int
	poisonous bool
}

// New returns a ledger without records.
func New(ck *clock.Clock) *Ledger {
	return &Ledger{ck: ck, workers: map[string]*worker{}, jobs: map[string]*job{}}
}

// SetFleet sets the number of workers, of which a fifth may be quarantined at once.
func (lg *Ledger) SetFleet(workers int) { lg.fleet = workers }

// Succeed records that a job ended well on a worker.
func (lg *Ledger) Succeed(workerName, id string) {
	wk := lg.worker(workerName)
	if len(wk.events) > 0 {
		wk.successes++
	}
	if jb, ok := lg.jobs[id]; ok {
		jb.succeeded++
		lg.review(jb)
	}
	if wk.out {
		lg.passTrial(wk)
	}
}

// Fail records that jobs failed on a worker in one event, as when the worker died under them.
func (lg *Ledger) Fail(workerName string, ids ...string) {
	wk := lg.worker(workerName)
	lg.expire(wk)
	wk.events[lg.key(wk)] = ids
	for _, id := range ids {
		jb := lg.job(id)
		jb.failedOn[workerName] = true
	}
	if wk.out {
		lg.failTrial(wk)
	}
	for _, id := range ids {
		lg.judge(id)
	}
	lg.judgeWorker(workerName)
}

// RestoreFailures records failures of a job that another process saw; no worker is judged by it.
func (lg *Ledger) RestoreFailures(id string, workerNames []string) {
	for _, name := range workerNames {
		lg.job(id).failedOn[name] = true
	}
}

// Forget drops what is known of a job that has ended.
func (lg *Ledger) Forget(id string) { delete(lg.jobs, id) }

// Poisonous reports whether the job failed on enough workers that serve others well.
func (lg *Ledger) Poisonous(id string) bool {
	jb, ok := lg.jobs[id]
	return ok && jb.poisonous
}

// Quarantined reports whether the worker gets no work but trial runs.
func (lg *Ledger) Quarantined(workerName string) bool {
	wk, ok := lg.workers[workerName]
	return ok && wk.out
}

// QuarantinedWorkers returns the quarantined workers, in no particular order.
func (lg *Ledger) QuarantinedWorkers() []string {
	var names []string
	for name, wk := range lg.workers {
		if wk.out {
			names = append(names, name)
		}
	}
	return names
}

// TrialDue reports whether a quarantined worker may get one trial run now.
func (lg *Ledger) TrialDue(workerName string) bool {
	wk, ok := lg.workers[workerName]
	return ok && wk.out && !wk.trialing && lg.ck.Now() >= wk.trialAtMS
}

// BeginTrial marks that a trial run was given to the worker.
func (lg *Ledger) BeginTrial(workerName string) { lg.worker(workerName).trialing = true }

// EndTrial marks that the trial run ended without a verdict on the worker.
func (lg *Ledger) EndTrial(workerName string) {
	if wk, ok := lg.workers[workerName]; ok {
		wk.trialing = false
	}
}

func (lg *Ledger) judge(id string) {
	jb := lg.job(id)
	if jb.poisonous || jb.succeeded > 0 || lg.jobSuspicion(id, jb) < suspicionLimit {
		return
	}
	jb.poisonous = true
	for name := range jb.failedOn {
		lg.release(lg.worker(name), lg.suspicion(name))
	}
}

func (lg *Ledger) judgeWorker(name string) {
	wk := lg.worker(name)
	sum := lg.suspicion(name)
	if wk.out || sum < suspicionLimit || sum < leastFailureRate*(sum+float64(wk.successes)) {
		return
	}
	if lg.out >= max(minOut, lg.fleet*maxOutPercent/100) {
		return
	}
	lg.out++
	wk.out, wk.passed, wk.trialing = true, 0, false
	wk.trialWaitMS = firstTrialMS
	wk.trialAtMS = lg.ck.Now() + wk.trialWaitMS
}

// review judges again the workers on which a job failed that has now succeeded elsewhere.
func (lg *Ledger) review(jb *job) {
	for name := range jb.failedOn {
		lg.judgeWorker(name)
	}
}

// release returns a worker that was quarantined for failures which a job alone explains.
func (lg *Ledger) release(wk *worker, sum float64) {
	if wk.out && sum < suspicionLimit {
		lg.restore(wk)
	}
}

func (lg *Ledger) passTrial(wk *worker) {
	wk.trialing = false
	wk.passed++
	if wk.passed >= trialsToRelease {
		lg.restore(wk)
	}
}

func (lg *Ledger) failTrial(wk *worker) {
	wk.trialing, wk.passed = false, 0
	wk.trialWaitMS = min(2*wk.trialWaitMS, longestTrialMS)
	wk.trialAtMS = lg.ck.Now() + wk.trialWaitMS
}

func (lg *Ledger) restore(wk *worker) {
	lg.out--
	*wk = worker{events: map[int64][]string{}}
}

// suspicion sums over the worker's failure events how little the job that explains each best is to blame.
func (lg *Ledger) suspicion(name string) float64 {
	sum := 0.0
	for _, ids := range lg.worker(name).events {
		least := 1.0
		for _, id := range ids {
			least = min(least, 1-lg.jobBlame(id, name))
		}
		sum += least
	}
	return sum
}

func (lg *Ledger) jobSuspicion(id string, jb *job) float64 {
	sum := 0.0
	for name := range jb.failedOn {
		sum += 1 - lg.workerBlame(name, id)
	}
	return sum
}

// jobBlame estimates from other workers how likely the job fails anywhere.
func (lg *Ledger) jobBlame(id, except string) float64 {
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
	return rate(others, jb.succeeded)
}

// workerBlame estimates from other jobs how likely the worker fails anything.
func (lg *Ledger) workerBlame(name, except string) float64 {
	wk := lg.worker(name)
	others := 0
	for _, ids := range wk.events {
		if !explained(lg, ids, except) {
			others++
		}
	}
	return rate(others, wk.successes)
}

func explained(lg *Ledger, ids []string, except string) bool {
	for _, id := range ids {
		if id == except || lg.Poisonous(id) {
			return true
		}
	}
	return false
}

func rate(failures, successes int) float64 {
	return float64(failures) / float64(failures+successes+1)
}

func (lg *Ledger) expire(wk *worker) {
	for at := range wk.events {
		if at < lg.ck.Now()-failureMemoryMS {
			delete(wk.events, at)
		}
	}
	if len(wk.events) == 0 {
		wk.successes = 0
	}
}

// key returns a free key for an event of this millisecond.
func (lg *Ledger) key(wk *worker) int64 {
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
