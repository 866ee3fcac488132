package queue

import "math"

const (
	// observedLimitTTLMS is how long an observed limit applies.
	observedLimitTTLMS = 500
	// minChargeMS is charged at least, so that requests with a measured time of 0 ms still advance their team's tag.
	minChargeMS = 0.05
	// maxIdleFlows is how many flows are kept before those of idle teams are deleted with their tags and estimates.
	maxIdleFlows = 1024
	// meanGain and deviationGain are the weights of a new sample in the moving averages.
	meanGain       = 1.0 / 16
	deviationGain  = 1.0 / 8
	tailDeviations = 4
)

// flow is the FIFO queue of one team with its scheduling state.
type flow[T any] struct {
	team string
	// startTag is the virtual start time of the team's next request.
	startTag float64
	// backlogTag is the virtual time at which the team last became backlogged; refunds don't lower startTag below it while the team is backlogged.
	backlogTag float64
	head       *item[T]
	tail       *item[T]
	length     int
	running    int
	index      int
	est        estimate
	// observedLimit is how many requests of the team were running, but at least 1, when its limit last kept one waiting.
	observedLimit   int
	observedLimitMS int64
}

// item is one request, waiting or started.
type item[T any] struct {
	id         int64
	fl         *flow[T]
	prev       *item[T]
	next       *item[T]
	index      int
	deadlineMS int64
	waitMS     int64
	err        error
	val        T
}

// estimate holds exponential moving averages of run times and of their absolute deviation from the mean, in milliseconds.
type estimate struct {
	known     bool
	mean      float64
	deviation float64
}

// add updates the averages with one run time; the first sets the deviation to half of itself.
func (es *estimate) add(ms float64) {
	if !es.known {
		*es = estimate{known: true, mean: ms, deviation: ms / 2}
		return
	}
	diff := ms - es.mean
	es.mean += meanGain * diff
	es.deviation += deviationGain * (max(diff, -diff) - es.deviation)
}

// tail returns a run time that few requests exceed: the mean plus four mean deviations, and at least twice the mean.
func (es *estimate) tail() float64 { return es.mean + max(tailDeviations*es.deviation, es.mean) }

// mean returns the team's mean run time, or that of all requests if none of the team has ended yet.
func (fl *flow[T]) mean(overall *estimate) float64 {
	if fl.est.known {
		return fl.est.mean
	}
	return overall.mean
}

// tailRunMS returns a run time that few of the team's requests exceed, from all requests if none of the team has ended yet.
func (fl *flow[T]) tailRunMS(overall *estimate) int64 {
	if fl.est.known {
		return int64(math.Ceil(fl.est.tail()))
	}
	return int64(math.Ceil(overall.tail()))
}

func (fl *flow[T]) push(it *item[T]) {
	it.prev = fl.tail
	if fl.tail == nil {
		fl.head = it
	} else {
		fl.tail.next = it
	}
	fl.tail = it
	fl.length++
}

func (fl *flow[T]) pushFront(it *item[T]) {
	it.next = fl.head
	if fl.head == nil {
		fl.tail = it
	} else {
		fl.head.prev = it
	}
	fl.head = it
	fl.length++
}

func (fl *flow[T]) unlink(it *item[T]) {
	if it.prev == nil {
		fl.head = it.next
	} else {
		it.prev.next = it.next
	}
	if it.next == nil {
		fl.tail = it.prev
	} else {
		it.next.prev = it.prev
	}
	it.prev, it.next = nil, nil
	fl.length--
}

// deadlineHeap is a min-heap of waiting requests by deadline; it maintains each item's index for removal.
type deadlineHeap[T any] []*item[T]

func (dl deadlineHeap[T]) Len() int           { return len(dl) }
func (dl deadlineHeap[T]) Less(i, j int) bool { return dl[i].deadlineMS < dl[j].deadlineMS }

func (dl deadlineHeap[T]) Swap(i, j int) {
	dl[i], dl[j] = dl[j], dl[i]
	dl[i].index = i
	dl[j].index = j
}

func (dl *deadlineHeap[T]) Push(val any) {
	it, _ := val.(*item[T])
	it.index = len(*dl)
	*dl = append(*dl, it)
}

func (dl *deadlineHeap[T]) Pop() any {
	old := *dl
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*dl = old[:len(old)-1]
	return it
}
