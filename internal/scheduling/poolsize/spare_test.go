package poolsize_test

import (
	"sort"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/scheduling/poolsize"
)

// Guards against counting a machine as capacity of another pool that its own pool needs, that is kept for a peak, or that can't move.
func TestSpareMachinesAreThoseThatNoPoolNeeds(t *testing.T) {
	pinned := poolsize.NewHost("m-pinned", "a", "v-pinned", cores, 0, true)
	list := append(append(hosts("a", 2, 0, 1), pinned), hosts("z", 0)...)
	for _, tc := range []struct {
		name   string
		demand poolsize.Demand
		want   []string
	}{
		{"no demand", poolsize.NewDemand("a", 0, 0, 0, false), []string{"m-a0", "m-a1", "m-a2", "m-z0"}},
		{"the least loaded first", poolsize.NewDemand("a", 50_000, 0, 1, false), []string{"m-a1", "m-a2", "m-z0"}},
		{"demand of late jobs", poolsize.NewDemand("a", 0, 80_000, 1, false), []string{"m-a1", "m-z0"}},
		{"forecast", poolsize.NewDemand("a", 0, 0, 1, false).WithForecast(200_000), []string{"m-z0"}},
	} {
		var got []string
		for _, ho := range poolsize.Spare([]poolsize.Demand{tc.demand, poolsize.NewStandby("z")}, list) {
			got = append(got, ho.Machine())
		}
		sort.Strings(got)
		qt.Check(t, got, qt.DeepEquals, tc.want, qt.Commentf(tc.name))
	}
}

func TestRefusedMoveIsKnown(t *testing.T) {
	sz := poolsize.New()
	sz.RecordRefused("m", "a")
	qt.Check(t, sz.MayMove("m", "a"), qt.IsFalse)
	qt.Check(t, sz.MayMove("m", "b"), qt.IsTrue)
}
