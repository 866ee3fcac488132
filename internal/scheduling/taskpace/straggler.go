package taskpace

const (
	// marginPercent is by how much what is left of a run must exceed the alternative: siblings differ by about a quarter, and progress is known in whole percent that are up to 0.7 s old.
	marginPercent = 130
	// restartMS is what a restart takes beside the work: the stop, the poll that tells of its end, the commit and the start.
	restartMS = 300
	// maxRetryLead is by how much the retries of long tasks that didn't help may outnumber those that did before no more are made.
	maxRetryLead = 1
	// retryMemory is the number of such runs after which earlier ones count half.
	retryMemory = 16
	// retryTrialMS is after how long without any one is tried again, since work changes.
	retryTrialMS = 30_000
	// maxLastTasksDivisor divides the number of a step's tasks into the most that count as its last ones.
	maxLastTasksDivisor = 4
)

// MovePays reports whether what is left of a run on its VM takes clearly longer than a fresh run elsewhere and what the run loses, that is, its progress since it last saved any. A run on a sound VM stays, as its task is mostly long anywhere, unless further runs of its queue's long tasks are shorter often enough. There, and on a VM of which nothing is known, the task may be as long elsewhere, so the lost work counts by the time that it took there.
func (pc *Pace) MovePays(queue, vm string, expectedMS, restMS, percent, savedPercent, nowMS int64) bool {
	if restMS <= restartMS || (pc.VMSound(vm, nowMS) && !pc.retriesWin(queue, nowMS)) {
		return false
	}
	lostMS := expectedMS * (percent - savedPercent) / fullPercent
	if !pc.VMSlow(vm) {
		lostMS = restMS * (percent - savedPercent) / max(fullPercent-percent, 1)
	}
	return restMS > (freshMS(expectedMS, savedPercent)+lostMS)*marginPercent/fullPercent+restartMS
}

// SecondRunPays reports whether a second run elsewhere, beside the first, would clearly end sooner. A task on a sound VM is mostly long anywhere, so it gets one only as long as further runs of its queue's long tasks are shorter often enough.
func (pc *Pace) SecondRunPays(queue, vm string, expectedMS, restMS, savedPercent, nowMS int64) bool {
	if pc.VMSound(vm, nowMS) && !pc.retriesWin(queue, nowMS) {
		return false
	}
	return restMS > freshMS(expectedMS, savedPercent)*marginPercent/fullPercent+restartMS
}

// RetryBegun records that a task that is long on a sound VM gets a further run, which counts as in vain until it proves to be much shorter.
func (pc *Pace) RetryBegun(queue string, nowMS int64) {
	if pc.retries[queue] == nil {
		pc.retries[queue] = &retries{}
	}
	pc.retries[queue].begin(nowMS)
}

// RetryHelped records that such a further run was much shorter.
func (pc *Pace) RetryHelped(queue string) {
	if rt, ok := pc.retries[queue]; ok {
		rt.won++
		rt.lost = max(rt.lost-1, 0)
	}
}

// retriesWin reports whether further runs of tasks that are long on sound VMs are worth trying in a queue.
func (pc *Pace) retriesWin(queue string, nowMS int64) bool {
	rt, ok := pc.retries[queue]
	return !ok || rt.lost < rt.won+maxRetryLead || nowMS-rt.lastMS >= retryTrialMS
}

// retries counts the further runs of a queue's tasks that were long on sound VMs by whether they were much shorter.
type retries struct {
	won, lost int
	lastMS    int64
}

func (rt *retries) begin(nowMS int64) {
	if rt.won+rt.lost >= retryMemory {
		rt.won, rt.lost = rt.won/2, rt.lost/2
	}
	rt.lost++
	rt.lastMS = nowMS
}

// LastTasks reports whether so few of a step's tasks are open that they are its last ones, for which the job waits.
func (pc *Pace) LastTasks(open, all int) bool { return open <= max(all/maxLastTasksDivisor, 1) }

// freshMS returns how long a fresh run takes that continues from what was saved.
func freshMS(expectedMS, savedPercent int64) int64 {
	return expectedMS * (fullPercent - min(savedPercent, fullPercent)) / fullPercent
}
