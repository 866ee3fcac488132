package orderedpace_test

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/scheduling/orderedpace"
)

const (
	lateMS = 13_000
	// correctedMS is how long an order that is executed late may count, with a poll each pollMS.
	correctedMS = 1600
	pollMS      = 400
)

// A new run and one whose order was accepted need no order.
func TestCertainPaceIsNotOrderedAgain(t *testing.T) {
	pc := orderedpace.New(100)
	qt.Check(t, pc.Due(100, 0), qt.IsFalse)
	qt.Check(t, pc.Due(33, 0), qt.IsTrue)
	pc.Ordered(33, 0)
	qt.Check(t, pc.Due(33, 60_000), qt.IsFalse, qt.Commentf("under way"))
	pc.Accepted()
	qt.Check(t, pc.Due(33, 60_000), qt.IsFalse)
	pc.Forget()
	qt.Check(t, pc.Due(33, 60_000), qt.IsTrue)
}

// An order that was sent before the pace was forgotten, to a VM that has restarted since, proves nothing when it is accepted.
func TestOrderFromBeforeProvesNothing(t *testing.T) {
	pc := orderedpace.New(100)
	pc.Ordered(33, 0)
	pc.Forget()
	pc.Accepted()
	qt.Check(t, pc.Due(33, 2000), qt.IsTrue)
}

// An unanswered order must be followed by others until one was accepted after the last moment at which it may be executed, and by none after that.
func TestOrdersInDoubtAreRepeated(t *testing.T) {
	for _, tc := range []struct {
		name   string
		answer func(pc *orderedpace.Pace, nowMS int64)
		// minOrders and maxOrders bound the repeated orders, all of which are accepted.
		minOrders, maxOrders int
	}{
		{"accepted", func(pc *orderedpace.Pace, _ int64) { pc.Accepted() }, 0, 0},
		{"in doubt", func(pc *orderedpace.Pace, nowMS int64) { pc.InDoubt(nowMS + lateMS) }, 9, 14},
		{"not executed", func(pc *orderedpace.Pace, _ int64) { pc.NotExecuted() }, 1, 1},
		{"answered in any order", func(pc *orderedpace.Pace, nowMS int64) {
			pc.Ordered(11, nowMS)
			pc.Accepted()
			pc.Accepted()
		}, 1, 1},
	} {
		pc := orderedpace.New(100)
		pc.Ordered(11, 0)
		tc.answer(&pc, 300)
		orders, lastMS := 0, int64(0)
		for nowMS := int64(400); nowMS < 60_000; nowMS += pollMS {
			if pc.Due(11, nowMS) {
				pc.Ordered(11, nowMS)
				pc.Accepted()
				orders, lastMS = orders+1, nowMS
			}
		}
		qt.Check(t, orders >= tc.minOrders && orders <= tc.maxOrders, qt.IsTrue, qt.Commentf("%s: %d orders", tc.name, orders))
		qt.Check(t, lastMS < 300+lateMS+correctedMS, qt.IsTrue, qt.Commentf("%s: last one after %d ms", tc.name, lastMS))
	}
}

// Whatever becomes of orders, and whenever they are executed late: once orders are answered again, a run must never be without the wanted pace for long.
func TestPaceIsCorrected(t *testing.T) {
	const untilMS, calmMS, stepMS = 60_000, 30_000, 20
	type order struct{ percent, atMS int64 }
	for seed := range uint64(300) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		pc, actual, wanted := orderedpace.New(100), int64(100), int64(100)
		var late []order
		var wrongSinceMS, orders int64
		for nowMS := int64(0); nowMS < untilMS; nowMS += stepMS {
			for at := 0; at < len(late); at++ {
				if late[at].atMS == nowMS {
					actual = late[at].percent
				}
			}
			if nowMS%pollMS == 0 {
				if nowMS < calmMS && rnd.IntN(10) == 0 {
					wanted = rnd.Int64N(11) * 10
				}
				if pc.Due(wanted, nowMS) {
					orders++
					pc.Ordered(wanted, nowMS)
					switch kind := rnd.IntN(10); {
					case nowMS < calmMS && kind < 2:
						late = append(late, order{wanted, nowMS + stepMS*(1+rnd.Int64N(600))})
						pc.InDoubt(nowMS + lateMS)
					case nowMS < calmMS && kind == 2:
						actual = wanted
						pc.InDoubt(nowMS + lateMS)
					case nowMS < calmMS && kind == 3:
						pc.NotExecuted()
					default:
						actual = wanted
						pc.Accepted()
					}
				}
			}
			if actual == wanted || nowMS < calmMS {
				wrongSinceMS = nowMS
			}
			if nowMS-wrongSinceMS > correctedMS {
				t.Fatalf("seed %d: %d ms: the run has had pace %d for %d ms, wanted %d", seed, nowMS, actual, nowMS-wrongSinceMS, wanted)
			}
		}
		qt.Assert(t, orders < 2*untilMS/1000, qt.IsTrue, qt.Commentf("seed %d: %d orders", seed, orders))
	}
}
