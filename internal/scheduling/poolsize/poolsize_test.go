package poolsize_test

import (
	"fmt"
	"sort"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/scheduling/poolsize"
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

// Guards against a long-running task that waits for as long as all pools lack machines: the pool with the largest shortage of work that ends got every one.
func TestLongRunningTasksGetMachinesBeforeLargerShortages(t *testing.T) {
	busy := poolsize.NewDemand("busy", 2_000_000, 0, 1, false)
	waiting := poolsize.NewDemand("few", 200_000, 0, 3, false).WithLastingVMs(3)
	pinned := poolsize.NewHost("m-pinned", "busy", "v-pinned", cores, 0, true)
	for _, tc := range []struct {
		name     string
		demands  []poolsize.Demand
		hosts    []poolsize.Host
		want     []string
		cordoned []string
	}{
		{
			name:    "a powered-off machine, though another pool lacks more",
			demands: []poolsize.Demand{busy, waiting, poolsize.NewStandby("z")},
			hosts:   append(append(hosts("busy", 5, 5, 5), hosts("few", 2, 2)...), hosts("z", 0)...),
			want:    []string{"m-z0"},
		},
		{
			name:    "an idle machine of a pool that lacks machines itself",
			demands: []poolsize.Demand{busy, waiting},
			hosts:   append(hosts("busy", 5, 0, 5, 5, 5, 5, 5, 5, 5, 5, 5, 5, 5, 5), hosts("few", 2, 2)...),
			want:    []string{"m-busy1"},
		},
		{
			name:     "the least loaded machine, once its work has ended",
			demands:  []poolsize.Demand{busy, waiting},
			hosts:    append(hosts("busy", 5, 4, 3, 6), hosts("few", 2, 2)...),
			cordoned: []string{"v-busy2"},
		},
		{
			name:     "the pool that can best spare a machine gives it",
			demands:  []poolsize.Demand{busy, poolsize.NewDemand("other", 320_000, 0, 1, false), waiting},
			hosts:    append(append(hosts("busy", 2, 2, 2, 2), hosts("other", 3, 4, 5, 6, 7, 8)...), hosts("few", 2, 2)...),
			cordoned: []string{"v-other0"},
		},
		{
			name:    "no machine with long-running tasks, and not the last one",
			demands: []poolsize.Demand{busy, poolsize.NewDemand("last", 320_000, 0, 1, false), waiting},
			hosts:   append(append([]poolsize.Host{pinned}, hosts("last", 3)...), hosts("few", 2, 2)...),
		},
		{
			name:    "no machine of a pool whose long-running tasks wait as well",
			demands: []poolsize.Demand{busy.WithLastingVMs(6), waiting},
			hosts:   append(hosts("busy", 5, 5, 5, 5, 5), hosts("few", 2, 2)...),
		},
		{
			name:    "no more than they need",
			demands: []poolsize.Demand{busy, waiting},
			hosts:   append(hosts("busy", 5, 5, 5, 5, 5), hosts("few", 2, 2, 2)...),
		},
	} {
		pl := poolsize.New().Plan(1000, tc.demands, tc.hosts)
		var cordoned []string
		for vm := range pl.Cordoned() {
			cordoned = append(cordoned, vm)
		}
		qt.Check(t, moved(pl, "few"), qt.DeepEquals, tc.want, qt.Commentf(tc.name))
		qt.Check(t, cordoned, qt.DeepEquals, tc.cordoned, qt.Commentf(tc.name))
		qt.Check(t, len(moved(pl, "busy")), qt.Equals, 0, qt.Commentf(tc.name))
	}
}

// Guards against cordoning one VM after another, so that none becomes idle.
func TestCordonedVMStaysTheOneToMove(t *testing.T) {
	sz := poolsize.New()
	demands := []poolsize.Demand{poolsize.NewDemand("busy", 2_000_000, 0, 1, false), poolsize.NewDemand("few", 200_000, 0, 3, false).WithLastingVMs(3)}
	qt.Assert(t, sz.Plan(1000, demands, append(hosts("busy", 5, 4, 6), hosts("few", 2, 2)...)).Cordoned()["v-busy1"], qt.IsTrue)
	qt.Assert(t, sz.Plan(1200, demands, append(hosts("busy", 5, 3, 2), hosts("few", 2, 2)...)).Cordoned()["v-busy1"], qt.IsTrue)
	qt.Assert(t, moved(sz.Plan(1400, demands, append(hosts("busy", 5, 0, 2), hosts("few", 2, 2)...)), "few"), qt.DeepEquals, []string{"m-busy1"})
}

func TestSummaryShowsWhatLongRunningTasksWaitFor(t *testing.T) {
	demands := []poolsize.Demand{poolsize.NewDemand("a", 20_000, 0, 1, false), poolsize.NewDemand("b", 0, 0, 0, false).WithLastingVMs(3)}
	qt.Assert(t, poolsize.Summary(demands, hosts("b", 0, 0)), qt.Equals, "a:0/20000,b:2/0/3")
}

// Guards against an owner that is busy for minutes, and each successor after it, because a job asks for more cores than any fleet has.
func TestDemandBeyondAnyFleetIsPlannedAtOnce(t *testing.T) {
	demands := []poolsize.Demand{poolsize.NewDemand("a", 1<<53, 0, 1, false), poolsize.NewStandby("z")}
	pl := poolsize.New().Plan(1000, demands, append(hosts("a", 1), hosts("z", 0)...))
	qt.Assert(t, moved(pl, "a"), qt.DeepEquals, []string{"m-z0"})
}
