package reclaim

import (
	"sort"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/size"
)

// Ladder escalates the measures against runs of a worker over capacity from throttle to checkpoint to stop; it isn't safe for concurrent use.
type Ladder struct {
	ck     *clock.Clock
	stepMS int64
	// runs holds the runs of each worker by id.
	runs map[string]map[string]*run
}

// Verbs of the worker protocol, in the order of escalation.
const (
	Throttle   = "throttle"
	Checkpoint = "checkpoint"
	Stop       = "stop"
)

// A non-idempotent run is never checkpointed: an empty verb means that it waits, while idempotent runs on the same worker are checkpointed instead.
var (
	idempotentVerbs    = []string{Throttle, Checkpoint, Stop}
	nonIdempotentVerbs = []string{Throttle, "", "", Stop}
)

type run struct {
	id       string
	verbs    []string
	urgent   bool
	reserved size.Size
	used     size.Size
	// stage is the index of the next verb, and sinceMS when the last one was given.
	stage   int
	sinceMS int64
}

// New returns a ladder that waits for stepMS after each verb before it gives the run the next one.
func New(ck *clock.Clock, stepMS int64) *Ladder {
	return &Ladder{ck: ck, stepMS: stepMS, runs: map[string]map[string]*run{}}
}

// MaxEscalationMS returns the longest time from the detection of a worker over capacity until the runs that cause it are told to stop, in milliseconds.
func (ld *Ladder) MaxEscalationMS() int64 { return int64(len(nonIdempotentVerbs)-1) * ld.stepMS }

// Observe records the resource use of a run on a worker.
func (ld *Ladder) Observe(worker, id string, urgent, idempotent bool, reserved, used size.Size) {
	runs, ok := ld.runs[worker]
	if !ok {
		runs = map[string]*run{}
		ld.runs[worker] = runs
	}
	rn, ok := runs[id]
	if !ok {
		rn = &run{id: id, urgent: urgent, verbs: nonIdempotentVerbs}
		if idempotent {
			rn.verbs = idempotentVerbs
		}
		runs[id] = rn
	}
	rn.reserved, rn.used = reserved, used
}

// Drop removes a run that has ended.
func (ld *Ladder) Drop(worker, id string) {
	delete(ld.runs[worker], id)
	if len(ld.runs[worker]) == 0 {
		delete(ld.runs, worker)
	}
}

// Used returns the observed resource use of all runs on the worker.
func (ld *Ladder) Used(worker string) size.Size {
	var sum size.Size
	for _, rn := range ld.runs[worker] {
		sum = sum.Plus(rn.used)
	}
	return sum
}

// Decide returns the verbs to give now, by run id; while the worker is within its capacity it returns none and resets the escalation.
func (ld *Ladder) Decide(worker string, capacity size.Size) map[string]string {
	over := ld.Used(worker).Minus(capacity)
	if !anyPositive(over) {
		ld.reset(worker)
		return nil
	}
	verbs := map[string]string{}
	for _, rn := range ld.victims(worker, capacity) {
		if !anyPositive(over) {
			break
		}
		over = over.Minus(rn.expectedRelief())
		if verb := ld.escalate(rn); verb != "" {
			verbs[rn.id] = verb
		}
	}
	return verbs
}

// escalate returns the run's next verb, empty while the last one still has time to take effect; after a stop it returns stop again.
func (ld *Ladder) escalate(rn *run) string {
	now := ld.ck.Now()
	if rn.stage > 0 && now-rn.sinceMS < ld.stepMS {
		return ""
	}
	verb := rn.verbs[min(rn.stage, len(rn.verbs)-1)]
	rn.stage++
	rn.sinceMS = now
	return verb
}

// expectedRelief returns what the run's next verb is expected to free: the excess over its reservation for the first throttle, nothing while it waits, else all that it uses.
func (rn *run) expectedRelief() size.Size {
	excess := rn.used.Minus(rn.reserved)
	switch {
	case rn.stage == 0 && anyPositive(excess):
		return excess.Max(size.Size{})
	case rn.stage > 0 && rn.stage < len(rn.verbs) && rn.verbs[rn.stage] == "":
		return size.Size{}
	}
	return rn.used
}

// victims returns the runs in the order in which they are escalated: by excess over their reservation, then normal before urgent, then by use.
func (ld *Ladder) victims(worker string, capacity size.Size) []*run {
	list := make([]*run, 0, len(ld.runs[worker]))
	for _, rn := range ld.runs[worker] {
		list = append(list, rn)
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i], list[j]
		if x, y := relativeExcess(a, capacity), relativeExcess(b, capacity); x != y {
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

// reset restarts the escalation of all runs on the worker.
func (ld *Ladder) reset(worker string) {
	for _, rn := range ld.runs[worker] {
		rn.stage = 0
	}
}

// relativeExcess returns the run's largest use over its reservation in any resource, as a fraction of the capacity.
func relativeExcess(rn *run, capacity size.Size) float64 {
	return rn.used.Minus(rn.reserved).Dominant(capacity)
}

func anyPositive(over size.Size) bool {
	return over.CoresMilli() > 0 || over.MemoryMB() > 0 || over.Accelerators() > 0
}
