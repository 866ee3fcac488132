package reclaim

import (
	"sort"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/size"
)

// Ladder takes runs of an overrun worker through throttle, checkpoint and stop, in that order; it isn't safe for concurrent use.
type Ladder struct {
	ck   *clock.Clock
	step int64
	runs map[string]map[string]*run
}

// Verbs of the worker protocol, in the order in which a run meets them.
const (
	Throttle   = "throttle"
	Checkpoint = "checkpoint"
	Stop       = "stop"
)

// A run that can't be repeated is never checkpointed: while it waits between throttle and stop, repeatable neighbours are checkpointed in its stead.
var (
	repeatable = []string{Throttle, Checkpoint, Stop}
	once       = []string{Throttle, "", "", Stop}
)

type run struct {
	id       string
	verbs    []string
	urgent   bool
	reserved size.Size
	used     size.Size
	stage    int
	sinceMS  int64
}

// New returns a ladder that waits the given milliseconds after each verb before a run meets the next.
func New(ck *clock.Clock, stepMS int64) *Ladder {
	return &Ladder{ck: ck, step: stepMS, runs: map[string]map[string]*run{}}
}

// MaxEscalationMS returns the longest time from the first sight of an overrun until the runs that cause it were told to stop, in milliseconds.
func (ld *Ladder) MaxEscalationMS() int64 { return int64(len(once)-1) * ld.step }

// Observe notes the use of a run on a worker.
func (ld *Ladder) Observe(worker, id string, urgent, idempotent bool, reserved, used size.Size) {
	runs, ok := ld.runs[worker]
	if !ok {
		runs = map[string]*run{}
		ld.runs[worker] = runs
	}
	rn, ok := runs[id]
	if !ok {
		rn = &run{id: id, urgent: urgent, verbs: once}
		if idempotent {
			rn.verbs = repeatable
		}
		runs[id] = rn
	}
	rn.reserved, rn.used = reserved, used
}

// Drop forgets a run that has ended.
func (ld *Ladder) Drop(worker, id string) {
	delete(ld.runs[worker], id)
	if len(ld.runs[worker]) == 0 {
		delete(ld.runs, worker)
	}
}

// Used returns the observed use of all runs on the worker.
func (ld *Ladder) Used(worker string) size.Size {
	var sum size.Size
	for _, rn := range ld.runs[worker] {
		sum = sum.Plus(rn.used)
	}
	return sum
}

// Decide returns which run of the worker meets which verb now, run by run; it returns nothing while the worker is within its capacity.
func (ld *Ladder) Decide(worker string, capacity size.Size) map[string]string {
	over := ld.Used(worker).Minus(capacity)
	if !exceeds(over) {
		ld.reset(worker)
		return nil
	}
	told := map[string]string{}
	for _, rn := range ld.offenders(worker, capacity) {
		if !exceeds(over) {
			break
		}
		over = over.Minus(rn.frees())
		if verb := ld.climb(rn); verb != "" {
			told[rn.id] = verb
		}
	}
	return told
}

// climb returns the run's next verb, or nothing while the last one has time to act; a run that was told to stop is told again.
func (ld *Ladder) climb(rn *run) string {
	now := ld.ck.Now()
	if rn.stage > 0 && now-rn.sinceMS < ld.step {
		return ""
	}
	verb := rn.verbs[min(rn.stage, len(rn.verbs)-1)]
	rn.stage++
	rn.sinceMS = now
	return verb
}

// frees returns what the run's next verb is counted to free: its excess when it is throttled first, nothing while it waits, else all that it uses.
func (rn *run) frees() size.Size {
	excess := rn.used.Minus(rn.reserved)
	switch {
	case rn.stage == 0 && exceeds(excess):
		return excess.Max(size.Size{})
	case rn.stage > 0 && rn.stage < len(rn.verbs) && rn.verbs[rn.stage] == "":
		return size.Size{}
	}
	return rn.used
}

// offenders lists the runs by their excess over what is reserved for them, then normal before urgent, then by use.
func (ld *Ladder) offenders(worker string, capacity size.Size) []*run {
	list := make([]*run, 0, len(ld.runs[worker]))
	for _, rn := range ld.runs[worker] {
		list = append(list, rn)
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i], list[j]
		if x, y := excess(a, capacity), excess(b, capacity); x != y {
			return x > y
		}
		if a.urgent != b.urgent {
			return b.urgent
		}
		if x, y := a.used.Dominant(capacity), b.used.Dominant(capacity); x != y {
			return x > y
		}
		return a.id < b.id
	})
	return list
}

func (ld *Ladder) reset(worker string) {
	for _, rn := range ld.runs[worker] {
		rn.stage = 0
	}
}

func excess(rn *run, capacity size.Size) float64 {
	return rn.used.Minus(rn.reserved).Dominant(capacity)
}

func exceeds(over size.Size) bool {
	return over.CoresMilli() > 0 || over.MemoryMB() > 0 || over.Accelerators() > 0
}
