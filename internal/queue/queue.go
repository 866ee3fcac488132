package queue

import (
	"container/heap"
	"math"
	"sync"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/refusal"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Queue holds the waiting requests of one service and orders them by start-time fair queueing over the slot time used; it is safe for concurrent use.
type Queue[T any] struct {
	mu      sync.Mutex
	ck      *clock.Clock
	max     int
	share   func(team string) int
	slots   func() int
	limit   func(team string) int
	leave   func(val T, err error)
	flows   map[string]*flow[T]
	busy    []*flow[T]
	waiting map[int64]*item[T]
	running map[int64]running[T]
	due     deadlines[T]
	virtual float64
	highest float64
	all     estimate
	lastID  int64
	armedMS int64
}

type running[T any] struct {
	it     *item[T]
	charge float64
}

// New returns an empty queue for at most max waiting requests; leave is told about each request that leaves without being started.
func New[T any](ck *clock.Clock, most int, leave func(val T, err error)) *Queue[T] {
	return &Queue[T]{
		ck:      ck,
		max:     most,
		share:   func(string) int { return 1 },
		slots:   func() int { return 1 },
		limit:   func(string) int { return math.MaxInt32 },
		leave:   leave,
		flows:   map[string]*flow[T]{},
		waiting: map[int64]*item[T]{},
		running: map[int64]running[T]{},
	}
}

// SetShare installs the function that gives a team's weight; 0 means that the team runs only on what others leave idle.
func (qu *Queue[T]) SetShare(share func(team string) int) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	qu.share = share
}

// SetSlots installs the function that gives how many requests may run at once, from which waits are estimated.
func (qu *Queue[T]) SetSlots(slots func() int) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	qu.slots = slots
}

// SetLimit installs the function that gives how many requests of a team may run at once, whatever its share, from which waits are estimated.
func (qu *Queue[T]) SetLimit(limit func(team string) int) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	qu.limit = limit
}

// SetMax changes how many requests may wait; requests that wait already stay.
func (qu *Queue[T]) SetMax(most int) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	qu.max = most
}

// Push adds a request and returns its ticket, or a refusal when it can't start before its deadline or the team's part of the places is taken.
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
	out, err := qu.makeRoom(fl)
	if err != nil {
		qu.mu.Unlock()
		return 0, err
	}
	qu.lastID++
	it := &item[T]{id: qu.lastID, fl: fl, deadlineMS: deadlineMS, val: val}
	qu.enter(it)
	fl.push(it)
	qu.arm(deadlineMS)
	qu.mu.Unlock()
	if out != nil {
		qu.leave(out.val, refusal.New(code.QueueFull, out.waitMS))
	}
	return it.id, nil
}

// Cancel removes a waiting request and reports whether it was still waiting; its cost is logarithmic in the length of the queue.
func (qu *Queue[T]) Cancel(id int64) bool {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	it, ok := qu.waiting[id]
	if ok {
		qu.remove(it)
	}
	return ok
}

// Next takes the request whose team is furthest behind its share among the teams for which may returns true; every ticket taken must be given to Done or Undo. It calls may at most once for a team and under its lock.
func (qu *Queue[T]) Next(may func(team string) bool) (id int64, val T, ok bool) {
	var late []*item[T]
	now := qu.ck.Now()
	qu.mu.Lock()
	it := qu.pick(now, may, &late)
	if it != nil {
		qu.start(it)
	}
	qu.mu.Unlock()
	for _, old := range late {
		qu.leave(old.val, old.err)
	}
	if it == nil {
		return 0, val, false
	}
	return it.id, it.val, true
}

// Done charges the team of a ticket with the slot time that its request really used.
func (qu *Queue[T]) Done(id, usedMS int64) { qu.end(id, usedMS, true) }

// Failed charges like Done, but leaves the time out of the estimate of run times.
func (qu *Queue[T]) Failed(id, usedMS int64) { qu.end(id, usedMS, false) }

// Undo takes back a ticket of Next that was never started, without charge.
func (qu *Queue[T]) Undo(id int64) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	qu.undo(id)
}

// Requeue puts a request that was proven not started back at the head of its team's line, under the same ticket and without charge.
func (qu *Queue[T]) Requeue(id int64) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	it := qu.undo(id)
	if it == nil {
		return
	}
	qu.enter(it)
	it.fl.pushFront(it)
	qu.arm(it.deadlineMS)
}

// Charge charges a team with slot time that one of its requests used besides its own slot.
func (qu *Queue[T]) Charge(team string, usedMS int64) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	qu.charge(qu.flow(team), float64(usedMS))
}

// Len returns how many requests wait.
func (qu *Queue[T]) Len() int {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	return len(qu.waiting)
}

// WaitMS returns the estimated wait of a new request of the team.
func (qu *Queue[T]) WaitMS(team string) int64 {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	return qu.waitMS(qu.flow(team))
}

// TailRunMS returns a run time that few requests exceed, 0 before any was observed.
func (qu *Queue[T]) TailRunMS() int64 {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	return int64(qu.all.long())
}

func (qu *Queue[T]) end(id, usedMS int64, typical bool) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	rn, ok := qu.running[id]
	if !ok {
		return
	}
	fl := rn.it.fl
	delete(qu.running, id)
	fl.running--
	used := max(float64(usedMS), leastChargeMS)
	if typical {
		fl.est.add(used)
		qu.all.add(used)
	}
	qu.charge(fl, used-rn.charge)
	if fl.head == nil && fl.running == 0 && len(qu.flows) > maxIdleFlows {
		delete(qu.flows, fl.team)
	}
}

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

// enter counts a request among those that wait; its place in the team's line is the caller's to choose.
func (qu *Queue[T]) enter(it *item[T]) {
	if len(qu.waiting) == 0 {
		qu.virtual = max(qu.virtual, qu.highest)
	}
	if it.fl.head == nil {
		it.fl.tag = max(it.fl.tag, qu.virtual)
		it.fl.index = len(qu.busy)
		qu.busy = append(qu.busy, it.fl)
	}
	qu.waiting[it.id] = it
	heap.Push(&qu.due, it)
}

func (qu *Queue[T]) remove(it *item[T]) {
	delete(qu.waiting, it.id)
	heap.Remove(&qu.due, it.index)
	fl := it.fl
	fl.unlink(it)
	if fl.head != nil {
		return
	}
	last := qu.busy[len(qu.busy)-1]
	qu.busy[fl.index] = last
	last.index = fl.index
	qu.busy = qu.busy[:len(qu.busy)-1]
}

func (qu *Queue[T]) start(it *item[T]) {
	charge := max(it.fl.mean(&qu.all), leastChargeMS)
	qu.virtual = max(qu.virtual, it.fl.tag)
	qu.running[it.id] = running[T]{it: it, charge: charge}
	it.fl.running++
	qu.charge(it.fl, charge)
}

func (qu *Queue[T]) charge(fl *flow[T], ms float64) {
	fl.tag += ms / float64(max(qu.share(fl.team), 1))
	qu.highest = max(qu.highest, fl.tag)
}

func (qu *Queue[T]) flow(team string) *flow[T] {
	fl, ok := qu.flows[team]
	if !ok {
		fl = &flow[T]{team: team}
		qu.flows[team] = fl
	}
	return fl
}

func (qu *Queue[T]) pick(now int64, may func(team string) bool, late *[]*item[T]) *item[T] {
	var skipped map[*flow[T]]bool
	for {
		fl := qu.least(skipped)
		if fl == nil {
			return nil
		}
		it := fl.head
		if it.err = qu.tooLate(it, now); it.err != nil {
			qu.remove(it)
			*late = append(*late, it)
			continue
		}
		if may(fl.team) {
			qu.remove(it)
			return it
		}
		fl.limited, fl.limitedMS = max(fl.running, 1), now
		if skipped == nil {
			skipped = map[*flow[T]]bool{}
		}
		skipped[fl] = true
	}
}

func (qu *Queue[T]) least(skipped map[*flow[T]]bool) *flow[T] {
	var best *flow[T]
	bestIdle := false
	for _, fl := range qu.busy {
		if skipped[fl] {
			continue
		}
		idle := qu.share(fl.team) == 0
		if best == nil || (bestIdle && !idle) || (bestIdle == idle && fl.tag < best.tag) {
			best, bestIdle = fl, idle
		}
	}
	return best
}

// makeRoom takes out the newest request of the team that holds the most places for its share, or refuses when that is the pushing team.
func (qu *Queue[T]) makeRoom(fl *flow[T]) (*item[T], error) {
	if len(qu.waiting) < qu.max {
		return nil, nil
	}
	worst := qu.longest(fl)
	if worst == fl {
		return nil, refusal.New(code.QueueFull, qu.waitMS(fl))
	}
	out := worst.tail
	qu.remove(out)
	out.waitMS = qu.waitMS(worst)
	return out, nil
}

func (qu *Queue[T]) longest(own *flow[T]) *flow[T] {
	worst := own
	most := qu.excess(own, own.length+1)
	for _, fl := range qu.busy {
		if fl == own {
			continue
		}
		if part := qu.excess(fl, fl.length); part > most {
			worst, most = fl, part
		}
	}
	return worst
}

func (qu *Queue[T]) excess(fl *flow[T], length int) float64 {
	share := qu.share(fl.team)
	if share == 0 {
		return float64(length) * float64(qu.max+1)
	}
	return float64(length) / float64(share)
}
