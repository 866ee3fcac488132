package limit

import (
	"context"
	"fmt"
	"math/rand"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/limits/unit"
	"github.com/fulmarloft/fulmarloft/internal/pb/limitpb"
	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/store/table"
	"github.com/fulmarloft/fulmarloft/internal/testbed/memtable"
)

// fleet runs several holders on one fake clock and counts their messages.
type fleet struct {
	ck        *clock.Clock
	tb        *memtable.Table
	tableDown bool
	holders   map[string]*Holder
	names     []string
	calls     int64
	bytes     int64
	writes    int64
	reads     int64
	rowBytes  int64
}

func newFleet(entries, teams int, limit int64) *fleet {
	fl := &fleet{ck: clock.NewFake(1_000_000), tb: memtable.New(), holders: map[string]*Holder{}}
	limits := map[string]int64{}
	for at := range teams {
		limits[fmt.Sprintf("t%d", at)] = limit
	}
	for at := range entries {
		name := fmt.Sprintf("e%d", at)
		hd := New(fl.ck, fl.client(), "requests", name)
		hd.Connect(func() []string { return fl.names }, fl.lend, fl.giveBack, func(string) bool { return false })
		hd.Adopt(1, limits, modelLoanMS, modelMaxRunMS)
		fl.holders[name] = hd
		fl.names = append(fl.names, name)
	}
	return fl
}

func (fl *fleet) client() *table.Client {
	return table.New(
		func(ctx context.Context, req *platformpb.CommitRequest) (*platformpb.CommitReply, error) {
			if fl.tableDown {
				return nil, errLost
			}
			fl.writes++
			fl.rowBytes += int64(proto.Size(req))
			return fl.tb.Commit(ctx, "", req)
		},
		func(ctx context.Context, req *platformpb.ReadRequest) (*platformpb.ReadReply, error) {
			if fl.tableDown {
				return nil, errLost
			}
			fl.reads++
			rep, err := fl.tb.Read(ctx, "", req)
			fl.rowBytes += int64(proto.Size(rep))
			return rep, err
		},
	)
}

func (fl *fleet) lend(ctx context.Context, to string, req *limitpb.LendRequest) (*limitpb.LendReply, error) {
	rep, err := fl.holders[to].Lend(ctx, req)
	fl.calls++
	fl.bytes += int64(proto.Size(req) + proto.Size(rep))
	return rep, err
}

func (fl *fleet) giveBack(ctx context.Context, to string, req *limitpb.ReturnRequest) error {
	_, err := fl.holders[to].Return(ctx, req)
	fl.calls++
	fl.bytes += int64(proto.Size(req))
	return err
}

func (fl *fleet) tick(times int) {
	for range times {
		fl.ck.Advance(500)
		for _, name := range fl.names {
			fl.holders[name].Tick(context.Background())
		}
	}
}

// resetCounts starts a new interval of counting.
func (fl *fleet) resetCounts() { fl.calls, fl.bytes, fl.writes, fl.reads, fl.rowBytes = 0, 0, 0, 0, 0 }

// acquireUpTo acquires up to count units of a team at an entry.
func (fl *fleet) acquireUpTo(name, team string, count int) []*unit.Unit {
	var list []*unit.Unit
	for len(list) < count {
		un, err := fl.holders[name].Acquire(context.Background(), team, modelMaxRunMS)
		if err != nil {
			break
		}
		list = append(list, un)
	}
	return list
}

// BenchmarkFleetMessages reports, for each fleet size, the messages of a simultaneous start, of an idle fleet and of demand that moves between entries.
func BenchmarkFleetMessages(b *testing.B) {
	for _, size := range []struct{ entries, teams int }{{8, 5}, {28, 20}, {84, 79}, {8, 79}, {84, 5}} {
		b.Run(fmt.Sprintf("entries=%d/teams=%d", size.entries, size.teams), func(b *testing.B) {
			for b.Loop() {
				fl := newFleet(size.entries, size.teams, 100)
				fl.tick(40)
				b.ReportMetric(float64(fl.writes), "start-writes")
				fl.tick(40)
				fl.resetCounts()
				fl.tick(60)
				fl.report(b, size.entries, 30, "idle-")
				fl.runMovingDemand(size.teams, 120)
				fl.report(b, size.entries, 60, "moving-")
			}
		})
	}
}

// runMovingDemand keeps a fifth of the teams busy at a tenth of the entries, which change every 20 seconds.
func (fl *fleet) runMovingDemand(teams, ticks int) {
	rd := rand.New(rand.NewSource(1))
	fl.resetCounts()
	var held []*unit.Unit
	type place struct{ name, team string }
	var busy []place
	for at := range ticks {
		if at%40 == 0 {
			busy = nil
			for team := range max(1, teams/5) {
				for range max(1, len(fl.names)/10) {
					busy = append(busy, place{fl.names[rd.Intn(len(fl.names))], fmt.Sprintf("t%d", team)})
				}
			}
		}
		for _, un := range held {
			un.Release()
		}
		held = nil
		for _, pl := range busy {
			for range 5 {
				if un, err := fl.holders[pl.name].Acquire(context.Background(), pl.team, modelMaxRunMS); err == nil {
					held = append(held, un)
				}
			}
		}
		fl.tick(1)
	}
	for _, un := range held {
		un.Release()
	}
}

func (fl *fleet) report(b *testing.B, entries int, seconds float64, phase string) {
	b.ReportMetric(float64(fl.writes)/seconds, phase+"writes/s")
	b.ReportMetric(float64(fl.reads)/seconds, phase+"reads/s")
	b.ReportMetric(float64(fl.calls)/seconds/float64(entries), phase+"calls/s/entry")
	b.ReportMetric(float64(fl.bytes)/seconds/float64(entries), phase+"peer-B/s/entry")
	b.ReportMetric(float64(fl.rowBytes)/seconds/float64(entries), phase+"table-B/s/entry")
}

// BenchmarkIdleUnitsReachStarvedEntry reports how long one entry needs to hold nine tenths of a limit when all work moves to it; calls between entries take no time.
func BenchmarkIdleUnitsReachStarvedEntry(b *testing.B) {
	for _, tc := range []struct {
		entries int
		down    bool
	}{{8, false}, {8, true}, {28, true}, {84, true}} {
		b.Run(fmt.Sprintf("entries=%d/table-down=%v", tc.entries, tc.down), func(b *testing.B) {
			for b.Loop() {
				fl := newFleet(tc.entries, 1, 200)
				fl.tick(60)
				fl.tableDown = tc.down
				start := fl.ck.Now()
				var held []*unit.Unit
				reached := int64(-1)
				for fl.ck.Now()-start < 10_000 {
					held = append(held, fl.acquireUpTo("e0", "t0", 200-len(held))...)
					if reached < 0 && len(held) >= 180 {
						reached = fl.ck.Now() - start
					}
					fl.ck.Advance(1)
					if (fl.ck.Now()-start)%500 == 0 {
						fl.tick(1)
					}
				}
				b.ReportMetric(float64(reached), "ms-to-90%")
				b.ReportMetric(float64(len(held))/200, "share-after-10s")
			}
		})
	}
}
