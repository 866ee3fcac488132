package sizefairness

import (
	"math"
	"slices"
)

// History holds which of a queue's last jobs began in time, by size. It isn't safe for concurrent use.
type History struct {
	// jobs is a ring; next is the position of the oldest job once it is full.
	jobs []outcome
	next int
	// shortfalls is nil until it is computed from jobs.
	shortfalls *shortfalls
}

type outcome struct {
	workCoreMS int64
	inTime     bool
}

// shortfalls holds for the two classes of large jobs from which size they begin and how many more of them had to be in time.
type shortfalls struct {
	nextMS, largestMS int64
	next, largest     int
}

const (
	// historyJobs is the number of jobs that are remembered: 20 of the largest tenth, a few seconds of a busy queue.
	historyJobs = 200
	// minJobs is the number of jobs before which nothing is said on sizes.
	minJobs = 20
	// The largest tenth and the fifth below it should begin in time as often as all jobs: fewer of the large jobs that begin in time also end in time.
	largestPercent = 90
	nextPercent    = 70
	percent        = 100
)

// New returns a history without jobs.
func New() *History { return &History{} }

// Record adds a job that began in time or can no longer be in time.
func (hi *History) Record(workCoreMS int64, inTime bool) {
	hi.shortfalls = nil
	oc := outcome{workCoreMS, inTime}
	if len(hi.jobs) < historyJobs {
		hi.jobs = append(hi.jobs, oc)
		return
	}
	hi.jobs[hi.next] = oc
	hi.next = (hi.next + 1) % historyJobs
}

// Kept returns which of some waiting jobs, given by their work in order of preference, are to keep their places before others: as many large ones as have been in time too rarely.
func (hi *History) Kept(workCoreMS []int64) []bool {
	out := make([]bool, len(workCoreMS))
	if len(hi.jobs) < minJobs {
		return out
	}
	if hi.shortfalls == nil {
		hi.shortfalls = hi.compute()
	}
	next, largest := hi.shortfalls.next, hi.shortfalls.largest
	for at, work := range workCoreMS {
		switch {
		case work >= hi.shortfalls.largestMS:
			out[at] = largest > 0
			largest--
		case work >= hi.shortfalls.nextMS:
			out[at] = next > 0
			next--
		}
	}
	return out
}

func (hi *History) compute() *shortfalls {
	sorted := slices.Clone(hi.jobs)
	slices.SortStableFunc(sorted, func(aa, bb outcome) int { return int(aa.workCoreMS - bb.workCoreMS) })
	sf := &shortfalls{
		nextMS: sorted[len(sorted)*nextPercent/percent].workCoreMS, largestMS: sorted[len(sorted)*largestPercent/percent].workCoreMS,
	}
	// Jobs of equal size are of one class.
	next := slices.IndexFunc(sorted, func(oc outcome) bool { return oc.workCoreMS >= sf.nextMS })
	largest := slices.IndexFunc(sorted, func(oc outcome) bool { return oc.workCoreMS >= sf.largestMS })
	all := float64(inTime(sorted)) / float64(len(sorted))
	sf.next, sf.largest = shortfall(sorted[next:largest], all), shortfall(sorted[largest:], all)
	return sf
}

// shortfall returns how many more of the jobs had to be in time, given the part of all jobs that were.
func shortfall(jobs []outcome, all float64) int {
	return max(int(math.Ceil(all*float64(len(jobs))))-inTime(jobs), 0)
}

func inTime(jobs []outcome) int {
	count := 0
	for _, oc := range jobs {
		if oc.inTime {
			count++
		}
	}
	return count
}
