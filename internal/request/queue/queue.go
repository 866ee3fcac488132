package queue

import (
	"container/heap"
	"math"
	"sync"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/request/refusal"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Queue holds the waiting requests of one service and orders them by start-time fair queueing, with slot time as the cost; it is safe for concurrent use.
type Queue[T any] struct {
	mu          sync.Mutex
	ck          *clock.Clock
	maxWaiting  int
	share       func(team string) int
	slots       func() int
	limit       func(team string) int
	onDrop      func(val T, err error)
	flows       map[string]*flow[T]
	backlogged  []*flow[T]
	waiting     map[int64]*item[T]
	running     map[int64]runningItem[T]
	byDeadline  deadlineHeap[T]
	virtualTime float64
	maxTag      float64
	overall     estimate
	lastID      int64
	timerMS     int64
}

// runningItem is a started request with the estimated cost that its team was charged at the start.
type runningItem[T any] struct {
	it     *item[T]
	charge float64
}

// New returns an empty queue for at most maxWaiting requests. It calls onDrop for each request that it drops without starting it, except those removed by Cancel.
func New[T any](ck *clock.Clock, maxWaiting int, onDrop func(val T, err error)) *Queue[T] {
	return &Queue[T]{
		ck:         ck,
		maxWaiting: maxWaiting,
		share:      func(string) int { return 1 },
		slots:      func() int { return 1 },
		limit:      func(string) int { return math.MaxInt32 },
		onDrop:     onDrop,
		flows:      map[string]*flow[T]{},
		waiting:    map[int64]*item[T]{},
		running:    map[int64]runningItem[T]{},
	}
}

// SetShare sets the function that returns a team's weight; a team of weight 0 runs only on slots that others leave idle.
func (qu *Queue[T]) SetShare(share func(team string) int) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	qu.share = share
}

// SetSlots sets the function that returns how many requests may run at once; it is used to estimate waits.
func (qu *Queue[T]) SetSlots(slots func() int) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	qu.slots = slots
}

// SetLimit sets the function that returns how many requests of a team may run at once, whatever its share; it is used to estimate waits.
func (qu *Queue[T]) SetLimit(limit func(team string) int) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	qu.limit = limit
}

// SetMax sets how many requests may wait; requests that are waiting already stay.
func (qu *Queue[T]) SetMax(maxWaiting int) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	qu.maxWaiting = maxWaiting
}

// Push adds a request and returns its ticket, or a refusal if it would probably miss its deadline or the queue is full and no other team has more waiting requests relative to its share.
func (qu *Queue[T]) Push(team string, deadlineMS int64, val T) (int64, error) {
	now := qu.ck.Now()
	qu.mu.Lock()
	if now >= deadlineMS {
		qu.mu.Unlock()
		return 0, code.DeadlinePassed
	}
	fl := qu.flow(team)
	if err := qu.admit(fl, deadlineMS-now); err != nil {
		qu.mu.Unlock()
		return 0, err
	}
	evicted, err := qu.evictIfFull(fl)
	if err != nil {
		qu.mu.Unlock()
		return 0, err
	}
	qu.lastID++
	it := &item[T]{id: qu.lastID, fl: fl, deadlineMS: deadlineMS, val: val}
	qu.enqueue(it)
	fl.push(it)
	qu.armTimer(deadlineMS)
	qu.mu.Unlock()
	if evicted != nil {
		qu.onDrop(evicted.val, refusal.New(code.QueueFull, evicted.waitMS))
	}
	return it.id, nil
}

// Cancel removes a waiting request and reports whether it was still waiting, in time logarithmic in the length of the queue.
func (qu *Queue[T]) Cancel(id int64) bool {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	it, ok := qu.waiting[id]
	if ok {
		qu.remove(it)
	}
	return ok
}

// Next starts the next request of the team that is furthest behind its share among those for which acquire returns true. It calls acquire at most once per team, with the queue locked. Every returned ticket must be passed to Done, Failed, Undo or Requeue.
func (qu *Queue[T]) Next(acquire func(team string) bool) (id int64, val T, ok bool) {
	var expired []*item[T]
	now := qu.ck.Now()
	qu.mu.Lock()
	it := qu.pick(now, acquire, &expired)
	if it != nil {
		qu.start(it)
	}
	qu.mu.Unlock()
	for _, dropped := range expired {
		qu.onDrop(dropped.val, dropped.err)
	}
	if it == nil {
		return 0, val, false
	}
	return it.id, it.val, true
}

// Done ends a started request and charges its team for the slot time used.
func (qu *Queue[T]) Done(id, usedMS int64) { qu.finish(id, usedMS, true) }

// Failed ends a started request like Done, but excludes its time from the run time estimates.
func (qu *Queue[T]) Failed(id, usedMS int64) { qu.finish(id, usedMS, false) }

// Undo removes a request that Next returned but that was never started, and refunds its charge.
func (qu *Queue[T]) Undo(id int64) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	qu.undo(id)
}

// Requeue puts a request that is known not to have started back at the head of its team's queue, under the same ticket, and refunds its charge.
func (qu *Queue[T]) Requeue(id int64) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	it := qu.undo(id)
	if it == nil {
		return
	}
	qu.enqueue(it)
	it.fl.pushFront(it)
	qu.armTimer(it.deadlineMS)
}

// Charge charges a team for slot time that one of its requests used in addition to its own slot.
func (qu *Queue[T]) Charge(team string, usedMS int64) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	qu.charge(qu.flow(team), float64(usedMS))
}

// Len returns the number of waiting requests.
func (qu *Queue[T]) Len() int {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	return len(qu.waiting)
}

// WaitMS returns the estimated wait of a new request of the team, in milliseconds.
func (qu *Queue[T]) WaitMS(team string) int64 {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	return qu.waitMS(qu.flow(team))
}

// TailRunMS returns a run time in milliseconds that few requests exceed, or 0 before the first sample.
func (qu *Queue[T]) TailRunMS() int64 {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	return int64(qu.overall.tail())
}

// finish replaces the estimated charge of a started request by the slot time used. Idle flows beyond maxIdleFlows are deleted.
func (qu *Queue[T]) finish(id, usedMS int64, sample bool) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	rn, ok := qu.running[id]
	if !ok {
		return
	}
	fl := rn.it.fl
	delete(qu.running, id)
	fl.running--
	used := max(float64(usedMS), minChargeMS)
	if sample {
		fl.est.add(used)
		qu.overall.add(used)
	}
	qu.charge(fl, used-rn.charge)
	if fl.head == nil && fl.running == 0 && len(qu.flows) > maxIdleFlows {
		delete(qu.flows, fl.team)
	}
}

// undo removes a started request and refunds its charge; it returns nil if the ticket is unknown.
func (qu *Queue[T]) undo(id int64) *item[T] {
	rn, ok := qu.running[id]
	if !ok {
		return nil
	}
	delete(qu.running, id)
	rn.it.fl.running--
	qu.charge(rn.it.fl, -rn.charge)
	return rn.it
}

// enqueue registers a request as waiting and marks its team as backlogged. The caller then links it into the team's flow. When the queue was empty, virtual time advances to the largest tag, so that all teams start the new busy period with the same tag.
func (qu *Queue[T]) enqueue(it *item[T]) {
	if len(qu.waiting) == 0 {
		qu.virtualTime = max(qu.virtualTime, qu.maxTag)
	}
	if it.fl.head == nil {
		it.fl.startTag = max(it.fl.startTag, qu.virtualTime)
		it.fl.backlogTag = qu.virtualTime
		it.fl.index = len(qu.backlogged)
		qu.backlogged = append(qu.backlogged, it.fl)
	}
	qu.waiting[it.id] = it
	heap.Push(&qu.byDeadline, it)
}

// remove removes a waiting request, and also its team from the backlogged teams if it has no other waiting request.
func (qu *Queue[T]) remove(it *item[T]) {
	delete(qu.waiting, it.id)
	heap.Remove(&qu.byDeadline, it.index)
	fl := it.fl
	fl.unlink(it)
	if fl.head != nil {
		return
	}
	last := qu.backlogged[len(qu.backlogged)-1]
	qu.backlogged[fl.index] = last
	last.index = fl.index
	qu.backlogged = qu.backlogged[:len(qu.backlogged)-1]
}

// start charges the team for the estimated run time in advance and advances virtual time to the team's start tag.
func (qu *Queue[T]) start(it *item[T]) {
	charge := max(it.fl.mean(&qu.overall), minChargeMS)
	qu.virtualTime = max(qu.virtualTime, it.fl.startTag)
	qu.running[it.id] = runningItem[T]{it: it, charge: charge}
	it.fl.running++
	qu.charge(it.fl, charge)
}

// charge advances the team's start tag by the slot time divided by its share, or by 1 for a share of 0. A refund, which has a negative time, stops at the tag with which the team became backlogged, since the other teams started there too.
func (qu *Queue[T]) charge(fl *flow[T], ms float64) {
	fl.startTag += ms / float64(max(qu.share(fl.team), 1))
	if fl.head != nil {
		fl.startTag = max(fl.startTag, fl.backlogTag)
	}
	qu.maxTag = max(qu.maxTag, fl.startTag)
}

// flow returns the team's flow and creates it if needed.
func (qu *Queue[T]) flow(team string) *flow[T] {
	fl, ok := qu.flows[team]
	if !ok {
		fl = &flow[T]{team: team}
		qu.flows[team] = fl
	}
	return fl
}

// pick removes and returns the request to start next. Requests that would miss their deadline are removed and appended to expired. Where acquire returns false, the number of running requests becomes the observed limit of the team.
func (qu *Queue[T]) pick(now int64, acquire func(team string) bool, expired *[]*item[T]) *item[T] {
	var skipped map[*flow[T]]bool
	for {
		fl := qu.nextFlow(skipped)
		if fl == nil {
			return nil
		}
		it := fl.head
		if it.err = qu.checkDeadline(it, now); it.err != nil {
			qu.remove(it)
			*expired = append(*expired, it)
			continue
		}
		if acquire(fl.team) {
			qu.remove(it)
			return it
		}
		fl.observedLimit, fl.observedLimitMS = max(fl.running, 1), now
		if skipped == nil {
			skipped = map[*flow[T]]bool{}
		}
		skipped[fl] = true
	}
}

// nextFlow returns the backlogged flow with the smallest start tag; flows of weight 0 come after all others.
func (qu *Queue[T]) nextFlow(skipped map[*flow[T]]bool) *flow[T] {
	var best *flow[T]
	bestZeroShare := false
	for _, fl := range qu.backlogged {
		if skipped[fl] {
			continue
		}
		zeroShare := qu.share(fl.team) == 0
		if best == nil || (bestZeroShare && !zeroShare) || (bestZeroShare == zeroShare && fl.startTag < best.startTag) {
			best, bestZeroShare = fl, zeroShare
		}
	}
	return best
}

// evictIfFull removes and returns the newest request of the team with the most waiting requests relative to its share, or returns a refusal if that is the pushing team. It returns nil while the queue isn't full.
func (qu *Queue[T]) evictIfFull(fl *flow[T]) (*item[T], error) {
	if len(qu.waiting) < qu.maxWaiting {
		return nil, nil
	}
	worst := qu.mostOverShare(fl)
	if worst == fl {
		return nil, refusal.New(code.QueueFull, qu.waitMS(fl))
	}
	evicted := worst.tail
	qu.remove(evicted)
	evicted.waitMS = qu.waitMS(worst)
	return evicted, nil
}

// mostOverShare returns the flow with the most waiting requests relative to its share. The pushing flow counts with its new request and wins ties.
func (qu *Queue[T]) mostOverShare(pushing *flow[T]) *flow[T] {
	worst := pushing
	most := qu.lengthPerShare(pushing, pushing.length+1)
	for _, fl := range qu.backlogged {
		if fl == pushing {
			continue
		}
		if ratio := qu.lengthPerShare(fl, fl.length); ratio > most {
			worst, most = fl, ratio
		}
	}
	return worst
}

// lengthPerShare divides a number of waiting requests by the share of the flow. A share of 0 ranks above every other, so that its requests are evicted first.
func (qu *Queue[T]) lengthPerShare(fl *flow[T], length int) float64 {
	share := qu.share(fl.team)
	if share == 0 {
		return float64(length) * float64(qu.maxWaiting+1)
	}
	return float64(length) / float64(share)
}
