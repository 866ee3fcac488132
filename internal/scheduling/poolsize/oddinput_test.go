package poolsize_test

import (
	"math"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/scheduling/poolsize"
)

// Machines and demands of any size must neither end the owner's process nor keep it busy: the sizes come from the machine API and from jobs.
func TestOddSizesDoNotStopThePlan(t *testing.T) {
	numbers := []int64{math.MinInt64, -1, 0, 1, 2, 32_000, math.MaxInt64 - 1, math.MaxInt64}
	for seed := range uint64(400) {
		rd := rand.New(rand.NewPCG(seed, 2))
		number := func() int64 { return numbers[rd.IntN(len(numbers))] }
		name := func() string { return []string{"", "a", "b", "z", "odd"}[rd.IntN(5)] }
		sz := poolsize.New()
		for nowMS := int64(1); nowMS < 4000; nowMS += 200 {
			demands := []poolsize.Demand{poolsize.NewStandby("z")}
			for range rd.IntN(4) {
				dm := poolsize.NewDemand(name(), number(), number(), rd.IntN(5)-1, rd.IntN(2) == 0)
				demands = append(demands, dm.WithForecast(number()).WithLastingVMs(rd.IntN(5)-1))
			}
			var list []poolsize.Host
			for range rd.IntN(6) {
				list = append(list, poolsize.NewHost(name(), name(), name(), number(), rd.IntN(3)-1, rd.IntN(2) == 0))
			}
			pl := sz.Plan(nowMS, demands, list)
			qt.Assert(t, len(pl.Moves()) <= len(list), qt.IsTrue, qt.Commentf("seed %d", seed))
			qt.Assert(t, len(poolsize.Spare(demands, list)) <= len(list), qt.IsTrue, qt.Commentf("seed %d", seed))
		}
	}
}
