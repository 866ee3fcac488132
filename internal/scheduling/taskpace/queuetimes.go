package taskpace

import "slices"

const (
	// minQueueTasks is the number of ended tasks from which a queue's durations are known.
	minQueueTasks = 8
	// recentQueueTasks is how many of the most recent ones count: enough for the tenth that takes longest, and few enough to follow a change within seconds.
	recentQueueTasks = 40
	// usualTenths is the part of a queue's tasks, in tenths, that takes no longer than usual.
	usualTenths = 9
)

// queueTimes holds the estimates and durations of a queue's most recent tasks.
type queueTimes struct {
	recent []taskTime
	next   int
	// usualRatio is the ratio of duration to estimate that tasks on VMs of normal speed rarely exceed, 0 if too few have ended; usualKnown is set once it was computed from the most recent ones.
	usualRatio float64
	usualKnown bool
}

type taskTime struct {
	estimateMS, tookMS int64
	onSlowVM           bool
}

func (qt *queueTimes) record(estimateMS, tookMS int64, onSlowVM bool) {
	tt := taskTime{max(estimateMS, 1), tookMS, onSlowVM}
	if len(qt.recent) < recentQueueTasks {
		qt.recent = append(qt.recent, tt)
	} else {
		qt.recent[qt.next] = tt
		qt.next = (qt.next + 1) % recentQueueTasks
	}
	qt.usualKnown = false
}

func (qt *queueTimes) factor() float64 {
	if len(qt.recent) < minQueueTasks {
		return 1
	}
	estimated, took := int64(0), int64(0)
	for _, tt := range qt.recent {
		estimated += tt.estimateMS
		took += tt.tookMS
	}
	return float64(took) / float64(estimated)
}

// usualMS returns the duration that tasks of an estimate rarely exceed on VMs of normal speed. Where estimates are rough, that is much longer than the average, so that single tasks aren't taken for slow.
func (qt *queueTimes) usualMS(estimateMS int64) (int64, bool) {
	if !qt.usualKnown {
		qt.usualRatio, qt.usualKnown = qt.findUsualRatio(), true
	}
	return int64(qt.usualRatio * float64(estimateMS)), qt.usualRatio > 0
}

func (qt *queueTimes) findUsualRatio() float64 {
	ratios := make([]float64, 0, len(qt.recent))
	for _, tt := range qt.recent {
		if !tt.onSlowVM {
			ratios = append(ratios, float64(tt.tookMS)/float64(tt.estimateMS))
		}
	}
	if len(ratios) < minQueueTasks {
		return 0
	}
	slices.Sort(ratios)
	return ratios[(len(ratios)-1)*usualTenths/10]
}
