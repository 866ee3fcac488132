package zonemodel

import "container/heap"

// event is a function to run at a simulated time; events of the same time run in the order of seq.
type event struct {
	atMS float64
	seq  int
	fn   func()
}

// eventQueue holds the simulated time and the pending events as a heap.
type eventQueue struct {
	nowMS  float64
	seq    int
	events []event
}

func (eq *eventQueue) Len() int { return len(eq.events) }

func (eq *eventQueue) Less(i, j int) bool {
	if eq.events[i].atMS != eq.events[j].atMS {
		return eq.events[i].atMS < eq.events[j].atMS
	}
	return eq.events[i].seq < eq.events[j].seq
}

func (eq *eventQueue) Swap(i, j int) { eq.events[i], eq.events[j] = eq.events[j], eq.events[i] }

func (eq *eventQueue) Push(x any) {
	if ev, ok := x.(event); ok {
		eq.events = append(eq.events, ev)
	}
}

func (eq *eventQueue) Pop() any {
	last := len(eq.events) - 1
	ev := eq.events[last]
	eq.events = eq.events[:last]
	return ev
}

// after schedules fn to run ms milliseconds from now.
func (eq *eventQueue) after(ms float64, fn func()) {
	eq.seq++
	heap.Push(eq, event{eq.nowMS + ms, eq.seq, fn})
}

// run executes the events due by untilMS and sets the time to it.
func (eq *eventQueue) run(untilMS float64) {
	for len(eq.events) > 0 && eq.events[0].atMS <= untilMS {
		ev, ok := heap.Pop(eq).(event)
		if !ok {
			return
		}
		eq.nowMS = ev.atMS
		ev.fn()
	}
	eq.nowMS = untilMS
}
