package capacity_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/fulmarloft/fulmarloft/internal/pb/fleetpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/capacity"
)

const (
	seed         = 1
	testLengthMS = 300_000
	hourMS       = 3_600_000
)

var peakLengthsMS = []int64{5_000, 30_000, 120_000}

// row formats one line of the tables in docs/measurements/capacity-moves.md, in which turn-ms is the length of a peak and way the strategy.
func row(peakMS int64, strategy string, md *model) string {
	return fmt.Sprintf("turn-ms=%d way=%s idle-vms=%.1f moves-per-hour=%.0f wait-p99-ms=%d refused=%.4f share-error=%.4f",
		peakMS, strategy, md.idleVMs(), md.movesPerHour(), md.waitP99(), md.refused(), md.shareError())
}

// TestF6LendingBeatsMoving checks that lending slots needs no moves and has less than half the share error of every other strategy.
func TestF6LendingBeatsMoving(t *testing.T) {
	for _, peakMS := range peakLengthsMS[:2] {
		lent := newModel(capacity.Lend, peakMS, 8, 0, seed)
		lent.run(testLengthMS)
		qt.Check(t, lent.moves, qt.Equals, 0)
		t.Log(row(peakMS, capacity.Lend, lent))
		for _, strategy := range []string{capacity.None, capacity.Reactive, capacity.Hysteresis, capacity.Predictive} {
			md := newModel(strategy, peakMS, 8, 0, seed)
			md.run(testLengthMS)
			qt.Check(t, lent.shareError() < md.shareError()/2, qt.IsTrue, qt.Commentf("share error %.4f when lending, %.4f with strategy %s", lent.shareError(), md.shareError(), strategy))
			t.Log(row(peakMS, strategy, md))
		}
	}
}

// BenchmarkF6Ways prints the tables of docs/measurements/capacity-moves.md.
func BenchmarkF6Ways(b *testing.B) {
	var sb strings.Builder
	for b.Loop() {
		sb.Reset()
		for _, peakMS := range peakLengthsMS {
			for _, strategy := range capacity.Strategies() {
				md := newModel(strategy, peakMS, 8, 0, seed)
				md.run(hourMS)
				fmt.Fprintln(&sb, row(peakMS, strategy, md))
			}
		}
		for extra := range 7 {
			md := newModel(capacity.None, peakLengthsMS[1], 0, extra, seed)
			md.run(hourMS)
			fmt.Fprintf(&sb, "added-vms=%d %s\n", extra*services, row(peakLengthsMS[1], capacity.None, md))
		}
		for spare := range 9 {
			md := newModel(capacity.Lend, peakLengthsMS[1], spare, 0, seed)
			md.run(hourMS)
			fmt.Fprintf(&sb, "added-vms=%d %s\n", spare, row(peakLengthsMS[1], capacity.Lend, md))
		}
	}
	fmt.Print(sb.String())
}

// TestF6NoVMThrashes runs each strategy under arbitrary demand: no VM may move twice within MinMoveIntervalMS.
func TestF6NoVMThrashes(t *testing.T) {
	qt.Assert(t, flag.Set("rapid.seed", "1"), qt.IsNil)
	qt.Assert(t, flag.Set("rapid.checks", "3"), qt.IsNil)
	for _, strategy := range capacity.Strategies() {
		t.Run(strategy, func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				md := newModel(strategy, rapid.Int64Range(1_000, 300_000).Draw(rt, "peak-ms"), 8, 0, rapid.Uint64().Draw(rt, "seed"))
				md.run(rapid.Int64Range(2, 3).Draw(rt, "intervals") * capacity.MinMoveIntervalMS)
				for vm, times := range md.moveTimes {
					for i := 1; i < len(times); i++ {
						if times[i]-times[i-1] < capacity.MinMoveIntervalMS {
							rt.Fatalf("%s started moves at %v ms, two of them within MinMoveIntervalMS", vm, times)
						}
					}
				}
			})
		})
	}
}

func TestLentVMServesOnePool(t *testing.T) {
	pn, err := capacity.New(capacity.Lend, slotsPerVM, moveMS)
	qt.Assert(t, err, qt.IsNil)
	spare := &fleetpb.PoolDemand{Pool: spareName, Spare: true, Vms: []string{"s1", "s2", "s3"}}
	ask := func(pool string, want, slots uint32) *fleetpb.PoolDemand {
		return &fleetpb.PoolDemand{Pool: pool, Queued: want, Slots: slots}
	}
	first := pn.Plan(0, []*fleetpb.PoolDemand{spare, ask("a", 96, 80), ask("b", 96, 80)}).GetLoans()
	qt.Assert(t, loans(first), qt.Equals, "s1=a s2=b s3=a")
	second := pn.Plan(1000, []*fleetpb.PoolDemand{spare, ask("a", 40, 96), ask("b", 88, 88)}).GetLoans()
	qt.Assert(t, loans(second), qt.Equals, "s2=b")
	drained := &fleetpb.PoolDemand{Pool: spareName, Spare: true, Vms: []string{"s1"}}
	third := pn.Plan(2000, []*fleetpb.PoolDemand{drained, ask("a", 40, 80), ask("b", 88, 80)}).GetLoans()
	qt.Assert(t, loans(third), qt.Equals, "s1=b")
}

func loans(list []*fleetpb.VMLoan) string {
	var parts []string
	for _, ln := range list {
		parts = append(parts, ln.GetVm()+"="+ln.GetPool())
	}
	return strings.Join(parts, " ")
}

func TestUnknownStrategy(t *testing.T) {
	_, err := capacity.New("guess", slotsPerVM, moveMS)
	qt.Assert(t, err, qt.ErrorMatches, "(?s).*guess.*")
}
