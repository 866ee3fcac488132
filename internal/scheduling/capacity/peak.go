package capacity

import "slices"

// peakHistory learns from a pool's peaks when the next one is due and how many VMs the pool will lack then.
type peakHistory struct {
	peaking bool
	// startsMS holds the start times of the last peaks.
	startsMS       []int64
	lastShortageMS int64
	// currentMax is the largest shortage of the current peak, lastMax that of the last completed one.
	currentMax int
	lastMax    int
}

const (
	// rememberedPeaks is how many peaks must have been seen before a period is derived from them.
	rememberedPeaks = 4
	// peakEndMS is how long no shortage must be seen for a peak to count as ended.
	peakEndMS = 2_000
	// maxIntervalSpreadPercent bounds the difference of the longest and the shortest interval between peaks, in percent of their median.
	maxIntervalSpreadPercent = 20
)

func (ph *peakHistory) observe(nowMS int64, shortage int) {
	switch {
	case shortage > 0 && !ph.peaking:
		ph.peaking = true
		ph.startsMS = lastPeaks(append(ph.startsMS, nowMS))
		ph.lastShortageMS = nowMS
		ph.currentMax = shortage
	case shortage > 0:
		ph.lastShortageMS = nowMS
		ph.currentMax = max(ph.currentMax, shortage)
	case ph.peaking && nowMS-ph.lastShortageMS >= peakEndMS:
		ph.peaking = false
		ph.lastMax = ph.currentMax
	}
}

// periodMS returns the time between peaks, 0 if it isn't known yet or the peaks are irregular.
func (ph *peakHistory) periodMS() int64 {
	if len(ph.startsMS) < rememberedPeaks {
		return 0
	}
	var intervals []int64
	for i := 1; i < len(ph.startsMS); i++ {
		intervals = append(intervals, ph.startsMS[i]-ph.startsMS[i-1])
	}
	slices.Sort(intervals)
	median := intervals[len(intervals)/2]
	if (intervals[len(intervals)-1]-intervals[0])*100 > median*maxIntervalSpreadPercent {
		return 0
	}
	return median
}

// movesAhead returns how many VMs should start to move now so that by the next peak the pool has as many more as it lacked in the last one; present counts the spare VMs that it already has. Periods shorter than two moves yield none, since such moves don't pay off.
func (ph *peakHistory) movesAhead(nowMS, moveMS int64, present int) int {
	if !ph.expected(nowMS, moveMS) {
		return 0
	}
	return max(ph.lastMax-present, 0)
}

// expected reports whether a periodic peak is in progress or due within one move time.
func (ph *peakHistory) expected(nowMS, moveMS int64) bool {
	periodMS := ph.periodMS()
	if periodMS < 2*moveMS {
		return false
	}
	if ph.peaking {
		return true
	}
	nextMS := ph.startsMS[len(ph.startsMS)-1] + periodMS
	return nowMS >= nextMS-moveMS && nowMS < nextMS+moveMS
}

func lastPeaks(list []int64) []int64 {
	if len(list) > rememberedPeaks {
		return list[len(list)-rememberedPeaks:]
	}
	return list
}
