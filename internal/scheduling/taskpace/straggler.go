package taskpace

const (
	// marginPercent is by how much what is left of a run must exceed the alternative: siblings differ by about a quarter, and progress is known in whole percent that are up to 0.7 s old.
	marginPercent = 130
	// restartMS is what a restart takes beside the work: the stop, the poll that tells of its end, the commit and the start.
	restartMS = 300
	// maxLastTasksDivisor divides the number of a step's tasks into the most that count as its last ones.
	maxLastTasksDivisor = 4
)

// MovePays reports whether what is left of a run on its VM takes clearly longer than a fresh run elsewhere and what the run loses, that is, its progress since it last saved any. A run on a sound VM stays: its task is long anywhere. On a VM of which nothing is known the task may be as long elsewhere, so the lost work counts by the time that it took there.
func (pc *Pace) MovePays(vm string, expectedMS, ageMS, restMS, percent, savedPercent, nowMS int64) bool {
	if pc.VMSound(vm, nowMS) {
		return false
	}
	lostMS := expectedMS * (percent - savedPercent) / fullPercent
	if !pc.VMSlow(vm) {
		lostMS = ageMS * (percent - savedPercent) / max(percent, 1)
	}
	return restMS > (freshMS(expectedMS, savedPercent)+lostMS)*marginPercent/fullPercent+restartMS
}

// SecondRunPays reports whether a second run elsewhere, beside the first, would clearly end sooner. A task on a sound VM is long anywhere.
func (pc *Pace) SecondRunPays(vm string, expectedMS, restMS, savedPercent, nowMS int64) bool {
	if pc.VMSound(vm, nowMS) {
		return false
	}
	return restMS > freshMS(expectedMS, savedPercent)*marginPercent/fullPercent+restartMS
}

// LastTasks reports whether so few of a step's tasks are open that they are its last ones, for which the job waits.
func (pc *Pace) LastTasks(open, all int) bool { return open <= max(all/maxLastTasksDivisor, 1) }

// freshMS returns how long a fresh run takes that continues from what was saved.
func freshMS(expectedMS, savedPercent int64) int64 {
	return expectedMS * (fullPercent - min(savedPercent, fullPercent)) / fullPercent
}
