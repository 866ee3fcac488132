package poolsize_test

import (
	"fmt"
	"sort"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/poolsize"
)

const cores = 32_000

// hosts returns machines of a pool with the given numbers of runs.
func hosts(pool string, loads ...int) []poolsize.Host {
	var out []poolsize.Host
	for at, load := range loads {
		name := fmt.Sprintf("%s%d", pool, at)
		out = append(out, poolsize.NewHost("m-"+name, pool, "v-"+name, cores, load, false))
	}
	return out
}

func moved(pl poolsize.Plan, to string) []string {
	var out []string
	for machine, pool := range pl.Moves() {
		if pool == to {
			out = append(out, machine)
		}
	}
	sort.Strings(out)
	return out
}

func TestPlan(t *testing.T) {
	for _, tc := range []struct {
		name     string
		demands  []poolsize.Demand
		hosts    []poolsize.Host
		to       string
		want     []string
		cordoned int
	}{
		{
			name: "powered-off machines first",
			demands: []poolsize.Demand{
				poolsize.NewDemand("a", 80_000, 0, 1, false), poolsize.NewDemand("b", 0, 0, 0, false), poolsize.NewStandby("z"),
			},
			hosts: append(append(hosts("a", 1), hosts("b", 0, 0)...), hosts("z", 0, 0)...),
			to:    "a", want: []string{"m-z0", "m-z1"},
		},
		{
			name: "then idle ones of a stable pool, not of one with a pending peak",
			demands: []poolsize.Demand{
				poolsize.NewDemand("a", 50_000, 0, 1, false), poolsize.NewDemand("b", 0, 0, 0, true), poolsize.NewDemand("c", 0, 0, 0, false),
			},
			hosts: append(append(hosts("a", 1), hosts("b", 0, 0)...), hosts("c", 0)...),
			to:    "a", want: []string{"m-c0"},
		},
		{
			name: "busy ones are cordoned first",
			demands: []poolsize.Demand{
				poolsize.NewDemand("a", 50_000, 0, 1, false), poolsize.NewDemand("b", 10_000, 0, 1, false),
			},
			hosts: append(hosts("a", 1), hosts("b", 2, 5)...),
			to:    "a", want: nil, cordoned: 1,
		},
		{
			name: "no machine below the minimum that tasks must be spread over",
			demands: []poolsize.Demand{
				poolsize.NewDemand("a", 50_000, 0, 1, false), poolsize.NewDemand("b", 10_000, 0, 3, false),
			},
			hosts: append(hosts("a", 1), hosts("b", 0, 0, 0)...),
			to:    "a", want: nil,
		},
		{
			name: "on-time jobs before late ones of another pool",
			demands: []poolsize.Demand{
				poolsize.NewDemand("a", 20_000, 500_000, 1, false), poolsize.NewDemand("b", 50_000, 0, 1, false), poolsize.NewStandby("z"),
			},
			hosts: append(append(hosts("a", 1), hosts("b", 1)...), hosts("z", 0)...),
			to:    "b", want: []string{"m-z0"},
		},
		{
			name: "late ones get the remaining machines",
			demands: []poolsize.Demand{
				poolsize.NewDemand("a", 20_000, 500_000, 1, false), poolsize.NewDemand("b", 20_000, 0, 1, false), poolsize.NewStandby("z"),
			},
			hosts: append(append(hosts("a", 1), hosts("b", 1)...), hosts("z", 0)...),
			to:    "a", want: []string{"m-z0"},
		},
	} {
		pl := poolsize.New().Plan(1000, tc.demands, tc.hosts)
		qt.Check(t, moved(pl, tc.to), qt.DeepEquals, tc.want, qt.Commentf(tc.name))
		qt.Check(t, len(pl.Cordoned()), qt.Equals, tc.cordoned, qt.Commentf(tc.name))
	}
}

// A short dip in demand must not move machines to the standby pool.
func TestSurplusMachinesArePoweredOffAfterDelay(t *testing.T) {
	sz := poolsize.New()
	demands := []poolsize.Demand{poolsize.NewDemand("a", 20_000, 0, 1, false), poolsize.NewStandby("z")}
	list := hosts("a", 1, 0, 0)
	qt.Assert(t, len(sz.Plan(1000, demands, list).Moves()), qt.Equals, 0)
	qt.Assert(t, len(sz.Plan(1500, demands, list).Moves()), qt.Equals, 0)
	qt.Assert(t, moved(sz.Plan(3000, demands, list), "z"), qt.DeepEquals, []string{"m-a1", "m-a2"})
}

// A move that the platform refused must not be ordered again.
func TestRefusedMoveIsNotRepeated(t *testing.T) {
	sz := poolsize.New()
	sz.RecordRefused("m-z0", "a")
	demands := []poolsize.Demand{poolsize.NewDemand("a", 50_000, 0, 1, false), poolsize.NewStandby("z")}
	pl := sz.Plan(1000, demands, append(hosts("a", 1), hosts("z", 0)...))
	qt.Assert(t, len(pl.Moves()), qt.Equals, 0)
}

func TestMachinesKeptForForecastAreReleasedWhenItEnds(t *testing.T) {
	sz := poolsize.New()
	list := hosts("a", 1, 0, 0)
	current := poolsize.NewDemand("a", 20_000, 0, 1, false)
	for nowMS := int64(1000); nowMS <= 3000; nowMS += 200 {
		pl := sz.Plan(nowMS, []poolsize.Demand{current.WithForecast(80_000), poolsize.NewStandby("z")}, list)
		qt.Assert(t, len(pl.Moves()), qt.Equals, 0)
	}
	pl := sz.Plan(3200, []poolsize.Demand{current, poolsize.NewStandby("z")}, list)
	qt.Assert(t, moved(pl, "z"), qt.DeepEquals, []string{"m-a1", "m-a2"})
}

func TestForecastCapacityIsFilledLikeCurrentDemand(t *testing.T) {
	demands := []poolsize.Demand{poolsize.NewDemand("a", 10_000, 0, 1, false).WithForecast(80_000), poolsize.NewStandby("z")}
	pl := poolsize.New().Plan(1000, demands, append(hosts("a", 1), hosts("z", 0, 0, 0)...))
	qt.Assert(t, len(moved(pl, "a")), qt.Equals, 2)
}
