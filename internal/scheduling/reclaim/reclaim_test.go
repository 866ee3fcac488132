package reclaim_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/reclaim"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/size"
)

const stepMS = 3000

var capacity = size.New(32000, 65536, 0)

// A run beyond its reservation on a worker over capacity must be throttled, checkpointed and stopped in this order and within the bound; a run within its reservation is left alone.
func TestF4ThrottleCheckpointStopInOrder(t *testing.T) {
	ck := clock.NewFake(1000000)
	ld := reclaim.New(ck, stepMS)
	ld.Observe("w", "within", false, true, size.New(20000, 8192, 0), size.New(20000, 8192, 0))
	ld.Observe("w", "over", false, true, size.New(4000, 8192, 0), size.New(40000, 8192, 0))
	var verbs []string
	first := ck.Now()
	for len(verbs) < 3 {
		got := ld.Decide("w", capacity)
		qt.Assert(t, got["within"], qt.Equals, "")
		if verb := got["over"]; verb != "" {
			verbs = append(verbs, verb)
		}
		qt.Assert(t, ck.Now()-first <= ld.MaxEscalationMS(), qt.IsTrue, qt.Commentf("only %v after %d ms", verbs, ck.Now()-first))
		ck.Advance(500)
	}
	qt.Assert(t, verbs, qt.DeepEquals, []string{"throttle", "checkpoint", "stop"})
	ld.Drop("w", "over")
	qt.Assert(t, ld.Decide("w", capacity), qt.HasLen, 0)
}

// A non-idempotent run is stopped only if the worker is still over capacity after its idempotent neighbour was checkpointed.
func TestF4NonIdempotentIsStoppedLast(t *testing.T) {
	ck := clock.NewFake(1000000)
	ld := reclaim.New(ck, stepMS)
	ld.Observe("w", "neighbour", false, true, size.New(10000, 1, 0), size.New(10000, 1, 0))
	ld.Observe("w", "once", false, false, size.New(4000, 1, 0), size.New(40000, 1, 0))
	var verbs []string
	first := ck.Now()
	for len(verbs) < 4 && ck.Now()-first <= ld.MaxEscalationMS() {
		got := ld.Decide("w", capacity)
		for _, id := range []string{"neighbour", "once"} {
			if got[id] != "" {
				verbs = append(verbs, id+" "+got[id])
			}
		}
		ck.Advance(500)
	}
	qt.Assert(t, verbs, qt.DeepEquals, []string{"once throttle", "neighbour throttle", "neighbour checkpoint", "once stop"})
}

func TestDecide(t *testing.T) {
	type use struct {
		id             string
		urgent         bool
		reserved, used size.Size
	}
	cases := []struct {
		name string
		runs []use
		want map[string]string
	}{
		{"within capacity", []use{{"a", false, size.New(1000, 1, 0), size.New(9000, 1, 0)}}, nil},
		{"only as many as needed", []use{
			{"a", false, size.New(10000, 1, 0), size.New(20000, 1, 0)},
			{"b", false, size.New(10000, 1, 0), size.New(15000, 1, 0)},
		}, map[string]string{"a": "throttle"}},
		{"memory alone", []use{
			{"a", false, size.New(1000, 40000, 0), size.New(1000, 40000, 0)},
			{"b", false, size.New(1000, 1000, 0), size.New(1000, 30000, 0)},
		}, map[string]string{"b": "throttle"}},
		{"all within their reservations, normal before urgent", []use{
			{"a", true, size.New(20000, 1, 0), size.New(20000, 1, 0)},
			{"b", false, size.New(20000, 1, 0), size.New(20000, 1, 0)},
		}, map[string]string{"b": "throttle"}},
		{"several victims at once", []use{
			{"a", false, size.New(1000, 1, 0), size.New(30000, 1, 0)},
			{"b", false, size.New(1000, 1, 0), size.New(30000, 1, 0)},
			{"c", false, size.New(1000, 1, 0), size.New(30000, 1, 0)},
		}, map[string]string{"a": "throttle", "b": "throttle"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			ld := reclaim.New(clock.NewFake(1000000), stepMS)
			for _, us := range tc.runs {
				ld.Observe("w", us.id, us.urgent, true, us.reserved, us.used)
			}
			qt.Assert(t, ld.Decide("w", capacity), qt.DeepEquals, tc.want)
		})
	}
}
