package placement_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/fulmarloft/fulmarloft/internal/scheduling/placement"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/size"
	"github.com/fulmarloft/fulmarloft/internal/testbed/property"
)

const workersPerRack = 4

// fleetWorker describes one worker of a test fleet.
type fleetWorker struct {
	name, zone, rack string
	total            size.Size
}

// fleet returns workers in racks of workersPerRack, with the racks distributed over the zones; every fourth rack has accelerators.
func fleet(workers, zones int) []fleetWorker {
	list := make([]fleetWorker, workers)
	for i := range list {
		rack := i / workersPerRack
		acc := int64(0)
		if rack%4 == 3 {
			acc = 8
		}
		list[i] = fleetWorker{
			name:  fmt.Sprintf("worker-%05d", i),
			zone:  fmt.Sprintf("zone-%02d", rack%zones),
			rack:  fmt.Sprintf("rack-%04d", rack),
			total: size.New(32000, 65536, acc),
		}
	}
	return list
}

// fill returns an index of the workers with a random reservation on each.
func fill(list []fleetWorker, seed uint64) *placement.Index {
	ix := placement.New(seed)
	rnd := rand.New(rand.NewPCG(seed, seed))
	for _, wk := range list {
		ix.Put(wk.name, wk.zone, wk.rack, wk.total)
		ix.Reserve(wk.name, "others", size.New(rnd.Int64N(32000), rnd.Int64N(65536), 0))
	}
	return ix
}

func TestPlaceSpreadsOverZonesAndRacks(t *testing.T) {
	ix := placement.New(7)
	list := fleet(48, 3)
	zoneOf, rackOf := map[string]string{}, map[string]string{}
	for _, wk := range list {
		ix.Put(wk.name, wk.zone, wk.rack, wk.total)
		zoneOf[wk.name], rackOf[wk.name] = wk.zone, wk.rack
	}
	zones, racks := map[string]int{}, map[string]int{}
	need := size.New(1000, 1024, 0)
	for range 30 {
		name, ok := ix.Place("team-a", need, nil)
		qt.Assert(t, ok, qt.IsTrue)
		ix.Reserve(name, "team-a", need)
		zones[zoneOf[name]]++
		racks[rackOf[name]]++
	}
	qt.Assert(t, zones, qt.DeepEquals, map[string]int{"zone-00": 10, "zone-01": 10, "zone-02": 10})
	for rack, count := range racks {
		qt.Check(t, count >= 3 && count <= 4, qt.IsTrue, qt.Commentf("%s: %d runs, expected 3 or 4", rack, count))
	}
}

func TestPlaceSkipsUnusableWorkers(t *testing.T) {
	need := size.New(1000, 1024, 0)
	cases := []struct {
		name  string
		apply func(ix *placement.Index)
		avoid []string
	}{
		{"blocked", func(ix *placement.Index) { ix.Block("b", placement.Unavailable, true) }, nil},
		{"avoided", func(*placement.Index) {}, []string{"b"}},
		{"held", func(ix *placement.Index) {
			ix.Reserve("a", "x", size.New(500, 500, 0))
			_, _ = ix.Hold("job", size.New(4000, 4096, 0))
		}, nil},
		{"removed", func(ix *placement.Index) { ix.Remove("b") }, nil},
		{"full", func(ix *placement.Index) { ix.Reserve("b", "x", size.New(4000, 0, 0)) }, nil},
		{"moved to another rack", func(ix *placement.Index) {
			ix.Reserve("b", "x", size.New(4000, 0, 0))
			ix.Put("b", "zone-2", "rack-9", size.New(4000, 4096, 0))
		}, nil},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			ix := placement.New(1)
			ix.Put("a", "zone-1", "rack-1", size.New(4000, 4096, 0))
			ix.Put("b", "zone-2", "rack-2", size.New(4000, 4096, 0))
			tc.apply(ix)
			for range 10 {
				name, ok := ix.Place("team", need, tc.avoid)
				qt.Assert(t, ok, qt.IsTrue)
				qt.Assert(t, name, qt.Equals, "a")
			}
		})
	}
}

// The reservations of a worker that moves to another zone must count there, and those of a removed one nowhere, or its team would avoid the old zone for good.
func TestTeamCountsFollowTheWorker(t *testing.T) {
	need := size.New(1000, 1024, 0)
	for _, tc := range []struct {
		name  string
		apply func(ix *placement.Index)
		want  string
	}{
		{"moved", func(ix *placement.Index) { ix.Put("a", "zone-2", "rack-9", size.New(4000, 4096, 0)) }, "zone-1"},
		{"moved and back", func(ix *placement.Index) {
			ix.Put("a", "zone-2", "rack-9", size.New(4000, 4096, 0))
			ix.Put("a", "zone-1", "rack-1", size.New(4000, 4096, 0))
		}, "zone-2"},
		{"moved and released", func(ix *placement.Index) {
			ix.Put("a", "zone-2", "rack-9", size.New(4000, 4096, 0))
			for range 2 {
				ix.Release("a", "team", need)
			}
			ix.Reserve("c", "team", need)
		}, "zone-1"},
		{"removed", func(ix *placement.Index) {
			ix.Remove("a")
			ix.Reserve("c", "team", need)
		}, "zone-1"},
	} {
		ix := placement.New(1)
		zoneOf := map[string]string{"b": "zone-1", "c": "zone-2"}
		ix.Put("a", "zone-1", "rack-1", size.New(4000, 4096, 0))
		ix.Put("b", "zone-1", "rack-2", size.New(4000, 4096, 0))
		ix.Put("c", "zone-2", "rack-3", size.New(4000, 4096, 0))
		for range 2 {
			ix.Reserve("a", "team", need)
		}
		tc.apply(ix)
		for range 10 {
			name, ok := ix.Place("team", need, []string{"a"})
			qt.Assert(t, ok, qt.IsTrue)
			qt.Check(t, zoneOf[name], qt.Equals, tc.want, qt.Commentf(tc.name))
		}
	}
}

// A full or blocked fleet must be recognized at the roots of the trees, without visiting racks or workers.
func TestFullFleetNeedsNoVisits(t *testing.T) {
	cases := []struct {
		name  string
		apply func(ix *placement.Index, vm string)
	}{
		{"full", func(ix *placement.Index, vm string) { ix.Reserve(vm, "x", size.New(32000, 0, 0)) }},
		{"blocked", func(ix *placement.Index, vm string) { ix.Block(vm, placement.Unavailable, true) }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			ix := placement.New(1)
			for _, wk := range fleet(200, 3) {
				ix.Put(wk.name, wk.zone, wk.rack, wk.total)
				tc.apply(ix, wk.name)
			}
			_, ok := ix.Place("team", size.New(1000, 1024, 0), nil)
			qt.Assert(t, ok, qt.IsFalse)
			qt.Assert(t, ix.Visits(), qt.Equals, 0)
		})
	}
}

// Workers with accelerators must stay free for the jobs that need them until all other workers are full.
func TestAcceleratorWorkersAreUsedLast(t *testing.T) {
	ix := placement.New(3)
	for _, wk := range fleet(64, 2) {
		ix.Put(wk.name, wk.zone, wk.rack, wk.total)
	}
	need := size.New(8000, 1024, 0)
	for range 4 * 48 {
		name, ok := ix.Place("team", need, nil)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, ix.Capacity(name).Accelerators(), qt.Equals, int64(0))
		ix.Reserve(name, "team", need)
	}
	name, ok := ix.Place("team", need, nil)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, ix.Capacity(name).Accelerators(), qt.Equals, int64(8))
}

// Place must find a worker if and only if a scan of all workers finds one that fits, and must never return one that does not fit. The draws are the same on every run unless the flag rapid.seed is set.
func TestPlaceAgreesWithFullScan(t *testing.T) {
	property.Check(t, func(rt *rapid.T) {
		list := fleet(rapid.IntRange(1, 120).Draw(rt, "workers"), rapid.IntRange(1, 5).Draw(rt, "zones"))
		ix := fill(list, rapid.Uint64Range(1, 1<<40).Draw(rt, "seed"))
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			need := size.New(rapid.Int64Range(0, 32000).Draw(rt, "cores"), rapid.Int64Range(0, 65536).Draw(rt, "memory"), rapid.Int64Range(0, 8).Draw(rt, "accelerators"))
			want := false
			for _, wk := range list {
				want = want || need.Fits(ix.Free(wk.name))
			}
			name, ok := ix.Place("team", need, nil)
			if ok != want {
				rt.Fatalf("Place found a worker: %v, scan found one: %v", ok, want)
			}
			if ok && !need.Fits(ix.Free(name)) {
				rt.Fatalf("need %v does not fit on %s, which has %v free", need, name, ix.Free(name))
			}
			if ok {
				ix.Reserve(name, "team", need)
			}
		}
	})
}

// scan returns the best fit by comparing all workers; BenchmarkFullScan measures it as the baseline for BenchmarkPlace.
func scan(list []fleetWorker, free []size.Size, need size.Size) string {
	best, left := "", 0.0
	for i, wk := range list {
		if !need.Fits(free[i]) {
			continue
		}
		if rest := free[i].Minus(need).Dominant(wk.total); best == "" || rest < left {
			best, left = wk.name, rest
		}
	}
	return best
}

var benchSizes = []struct{ workers, zones int }{{50, 3}, {2000, 6}, {22000, 28}, {22000, 3}}

func needs() []size.Size {
	rnd := rand.New(rand.NewPCG(11, 11))
	list := make([]size.Size, 1024)
	for i := range list {
		list[i] = size.New(500+rnd.Int64N(8000), 256+rnd.Int64N(16384), 0)
		if i%8 == 0 {
			list[i] = list[i].Plus(size.New(0, 0, 1+rnd.Int64N(4)))
		}
	}
	return list
}

func BenchmarkPlace(b *testing.B) {
	for _, sz := range benchSizes {
		b.Run(fmt.Sprintf("workers=%d/zones=%d", sz.workers, sz.zones), func(b *testing.B) {
			ix := fill(fleet(sz.workers, sz.zones), 5)
			list := needs()
			visits := 0
			for i := 0; b.Loop(); i++ {
				need := list[i%len(list)]
				if name, ok := ix.Place("team", need, nil); ok {
					ix.Reserve(name, "team", need)
					ix.Release(name, "team", need)
				}
				visits += ix.Visits()
			}
			b.ReportMetric(float64(visits)/float64(b.N), "visits/op")
		})
	}
}

// Half of the workers have only free cores and the other half only free memory. Since the trees hold maxima per rack, every rack looks usable although no worker is.
func BenchmarkPlaceMisled(b *testing.B) {
	for _, sz := range benchSizes {
		b.Run(fmt.Sprintf("workers=%d/zones=%d", sz.workers, sz.zones), func(b *testing.B) {
			ix := placement.New(5)
			for i, wk := range fleet(sz.workers, sz.zones) {
				ix.Put(wk.name, wk.zone, wk.rack, wk.total)
				ix.Reserve(wk.name, "others", size.New(int64(i%2)*32000, int64((i+1)%2)*65536, 0))
			}
			for b.Loop() {
				ix.Place("team", size.New(1000, 1024, 0), nil)
			}
		})
	}
}

func BenchmarkFullScan(b *testing.B) {
	for _, sz := range benchSizes {
		b.Run(fmt.Sprintf("workers=%d/zones=%d", sz.workers, sz.zones), func(b *testing.B) {
			list := fleet(sz.workers, sz.zones)
			ix := fill(list, 5)
			free := make([]size.Size, len(list))
			for i, wk := range list {
				free[i] = ix.Free(wk.name)
			}
			all := needs()
			for i := 0; b.Loop(); i++ {
				scan(list, free, all[i%len(all)])
			}
		})
	}
}

func BenchmarkIndexMemory(b *testing.B) {
	for _, sz := range benchSizes {
		b.Run(fmt.Sprintf("workers=%d/zones=%d", sz.workers, sz.zones), func(b *testing.B) {
			list := fleet(sz.workers, sz.zones)
			for b.Loop() {
				before := heap()
				ix := fill(list, 5)
				b.ReportMetric(float64(heap()-before)/float64(sz.workers), "bytes/worker")
				runtime.KeepAlive(ix)
			}
		})
	}
}

func heap() int64 {
	runtime.GC()
	var st runtime.MemStats
	runtime.ReadMemStats(&st)
	return int64(st.HeapAlloc)
}
