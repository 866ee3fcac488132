package startchoice

import (
	"cmp"
	"container/heap"
	"slices"
)

// Choice holds the jobs that wait for one pool and chooses those that fit until their objectives. The others would only displace chosen ones and miss their objectives as well.
type Choice struct {
	nowMS int64
	// roomMilli is the pool's capacity in thousandths of a core, begunCoreMS the rest of the work that goes on in any case.
	roomMilli   int64
	begunCoreMS int64
	jobs        []job
}

// job is a job that hasn't started.
type job struct {
	number int
	// latestMS is the latest start with which the job is in time.
	latestMS   int64
	workCoreMS int64
	level      int32
	// kept is set for a job that gives up its place only when no other of its level is left.
	kept bool
}

const (
	milli = 1000
	// marginMS is how much later than its latest start a job may seem to start and still be chosen, since part of the begun work runs after it or beside it.
	marginMS = 150
)

// New returns a choice without jobs.
func New(nowMS, roomMilli, begunCoreMS int64) *Choice {
	return &Choice{nowMS: nowMS, roomMilli: roomMilli, begunCoreMS: begunCoreMS}
}

// Add adds a job under a number of the caller's; the level is that of its team.
func (ch *Choice) Add(number int, latestMS, workCoreMS int64, level int32, kept bool) {
	ch.jobs = append(ch.jobs, job{number: number, latestMS: latestMS, workCoreMS: workCoreMS, level: level, kept: kept})
}

// Deferred returns the numbers of the jobs that aren't chosen. Jobs are taken by least slack; where one would start too late for its objective behind the work begun and chosen before it, those of the team with the highest level give up their places first, and among them the one with the most work.
func (ch *Choice) Deferred() []int {
	slices.SortStableFunc(ch.jobs, func(aa, bb job) int { return cmp.Compare(aa.latestMS, bb.latestMS) })
	var out []int
	chosen := &places{}
	sum := ch.begunCoreMS
	for _, jb := range ch.jobs {
		heap.Push(chosen, jb)
		before := sum
		sum += jb.workCoreMS
		for chosen.Len() > 0 && before*milli > ch.roomMilli*(jb.latestMS+marginMS-ch.nowMS) {
			left := heap.Pop(chosen).(job)
			sum -= left.workCoreMS
			out = append(out, left.number)
			if left.number == jb.number {
				break
			}
			before -= left.workCoreMS
		}
	}
	return out
}

// places is a heap of chosen jobs with the one that gives up its place first on top.
type places []job

func (pl places) Len() int { return len(pl) }

func (pl places) Less(i, j int) bool {
	one, other := pl[i], pl[j]
	switch {
	case one.level != other.level:
		return one.level > other.level
	case one.kept != other.kept:
		return other.kept
	case one.workCoreMS != other.workCoreMS:
		return one.workCoreMS > other.workCoreMS
	default:
		return one.latestMS > other.latestMS
	}
}

func (pl places) Swap(i, j int) { pl[i], pl[j] = pl[j], pl[i] }

// Push adds a job, for package heap.
func (pl *places) Push(jb any) { *pl = append(*pl, jb.(job)) }

// Pop removes the last job, for package heap.
func (pl *places) Pop() any {
	last := (*pl)[len(*pl)-1]
	*pl = (*pl)[:len(*pl)-1]
	return last
}
