package limit

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/limits/unit"
	"github.com/fulmarloft/fulmarloft/internal/pb/limitpb"
	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/store/table"
	"github.com/fulmarloft/fulmarloft/internal/testbed/memtable"
)

var seedCount = flag.Int64("limit-seeds", modelSeeds, "seeds of TestLimitHoldsOverSeeds")

func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

const (
	modelTeam     = "bratislava"
	modelLoanMS   = 2000
	modelMaxRunMS = 5000
	modelEntries  = 4
)

var errLost = errors.New("lost")

// run is work that runs on an endpoint, independent of the entries' state.
type run struct {
	endMS  int64
	un     *unit.Unit
	node   *node
	sentMS int64
}

type node struct {
	name   string
	hd     *Holder
	ck     *clock.Clock
	rate   int64
	paused bool
	gone   bool
	// listedGone is set when the platform lists the node as gone.
	listedGone     bool
	bundleVersion  uint64
	units          []*unit.Unit
	clockRemainder int64
}

// model drives several holders over one table and records the work that runs on the endpoints.
type model struct {
	draw         func(n int) int
	disabledRule string
	now          int64
	tb           *memtable.Table
	nodes        []*node
	partitioned  map[string]bool
	// tableFaults holds the fault of each node's table calls: 0 none, 1 no call arrives, 2 commits lose their replies or arrive late.
	tableFaults map[string]int
	runs        []*run
	limits      []int64
	delayed     []func()
	booted      int
	failure     string
	starts      int
}

func newModel(draw func(n int) int, disabledRule string) *model {
	md := &model{
		draw: draw, disabledRule: disabledRule, now: 1_000_000, tb: memtable.New(),
		partitioned: map[string]bool{}, tableFaults: map[string]int{}, limits: []int64{0, 7},
	}
	for range modelEntries {
		md.boot()
	}
	return md
}

func (md *model) boot() *node {
	md.booted++
	nd := &node{name: fmt.Sprintf("e%d", md.booted), ck: clock.NewFake(md.now * int64(md.booted%3+1)), rate: int64(995 + 5*(md.booted%3))}
	nd.hd = New(nd.ck, md.client(nd), "requests", nd.name)
	nd.hd.disabledRule = md.disabledRule
	nd.hd.Connect(
		func() []string { return md.peersOf(nd) },
		func(ctx context.Context, to string, req *limitpb.LendRequest) (*limitpb.LendReply, error) {
			return md.lend(ctx, nd, to, req)
		},
		func(ctx context.Context, to string, req *limitpb.ReturnRequest) error {
			return md.giveBack(ctx, nd, to, req)
		},
		md.isListedGone,
	)
	md.nodes = append(md.nodes, nd)
	md.adopt(nd)
	return nd
}

func (md *model) client(nd *node) *table.Client {
	return table.New(
		func(ctx context.Context, req *platformpb.CommitRequest) (*platformpb.CommitReply, error) {
			switch md.tableFaults[nd.name] {
			case 1:
				return nil, errLost
			case 2:
				if md.draw(2) == 0 {
					md.delayed = append(md.delayed, func() { _, _ = md.tb.Commit(context.Background(), "late", req) })
					return nil, errLost
				}
				_, _ = md.tb.Commit(ctx, nd.name, req)
				return nil, errLost
			}
			return md.slowCommit(ctx, nd, req)
		},
		func(ctx context.Context, req *platformpb.ReadRequest) (*platformpb.ReadReply, error) {
			if md.tableFaults[nd.name] == 1 {
				return nil, errLost
			}
			return md.tb.Read(ctx, nd.name, req)
		},
	)
}

// slowCommit commits, with a new bundle arriving before or after the commit or time passing after it.
func (md *model) slowCommit(ctx context.Context, nd *node, req *platformpb.CommitRequest) (*platformpb.CommitReply, error) {
	when := md.draw(12)
	if when == 0 {
		md.adopt(nd)
	}
	rep, err := md.tb.Commit(ctx, nd.name, req)
	switch when {
	case 1:
		md.adopt(nd)
	case 2:
		md.advance(int64(md.draw(300)))
	}
	return rep, err
}

func (md *model) peersOf(self *node) []string {
	var list []string
	for _, nd := range md.nodes {
		if nd != self && !nd.listedGone {
			list = append(list, nd.name)
		}
	}
	return list
}

func (md *model) isListedGone(name string) bool {
	for _, nd := range md.nodes {
		if nd.name == name {
			return nd.listedGone
		}
	}
	return false
}

func (md *model) lend(ctx context.Context, from *node, to string, req *limitpb.LendRequest) (*limitpb.LendReply, error) {
	nd := md.reachable(from, to)
	if nd == nil {
		return nil, errLost
	}
	switch md.draw(8) {
	case 0:
		md.delayed = append(md.delayed, func() {
			if !nd.gone && !nd.paused {
				_, _ = nd.hd.Lend(context.Background(), req)
			}
		})
		return nil, errLost
	case 1:
		_, _ = nd.hd.Lend(ctx, req)
		return nil, errLost
	case 2:
		rep, err := nd.hd.Lend(ctx, req)
		md.advance(int64(md.draw(6000)))
		return rep, err
	}
	return nd.hd.Lend(ctx, req)
}

func (md *model) giveBack(ctx context.Context, from *node, to string, req *limitpb.ReturnRequest) error {
	nd := md.reachable(from, to)
	if nd == nil {
		return errLost
	}
	if md.draw(8) == 0 {
		md.delayed = append(md.delayed, func() { _, _ = nd.hd.Return(context.Background(), req) })
		return errLost
	}
	_, err := nd.hd.Return(ctx, req)
	return err
}

func (md *model) reachable(from *node, to string) *node {
	for _, nd := range md.nodes {
		if nd.name == to && !nd.gone && !nd.paused && !md.partitioned[from.name+to] && !md.partitioned[to+from.name] {
			return nd
		}
	}
	return nil
}

// advance advances the true time; each node's clock follows at its own rate, and runs whose time is over end.
func (md *model) advance(ms int64) {
	md.now += ms
	for _, nd := range md.nodes {
		nd.clockRemainder += ms * nd.rate
		nd.ck.Advance(nd.clockRemainder / 1000)
		nd.clockRemainder %= 1000
	}
	left := md.runs[:0]
	for _, rn := range md.runs {
		if rn.endMS > md.now {
			left = append(left, rn)
			continue
		}
		if rn.un != nil && !rn.node.gone {
			rn.un.Release()
		}
	}
	md.runs = left
}

// maxLimit returns the highest limit that some running entry may still apply.
func (md *model) maxLimit() int64 {
	oldest := uint64(len(md.limits) - 1)
	for _, nd := range md.nodes {
		if !nd.gone {
			oldest = min(oldest, nd.bundleVersion)
		}
	}
	var highest int64
	for _, limit := range md.limits[oldest:] {
		highest = max(highest, limit)
	}
	return highest
}

func (md *model) adopt(nd *node) {
	version := uint64(len(md.limits) - 1)
	nd.bundleVersion = version
	nd.hd.Adopt(version, map[string]int64{modelTeam: md.limits[version]}, modelLoanMS, modelMaxRunMS)
}

func (md *model) acquire(nd *node) {
	un, err := nd.hd.Acquire(context.Background(), modelTeam, modelMaxRunMS)
	if err == nil {
		nd.units = append(nd.units, un)
	}
}

// send starts a run under the oldest unit, right after checking it.
func (md *model) send(nd *node) {
	if len(nd.units) == 0 {
		return
	}
	un := nd.units[0]
	nd.units = nd.units[1:]
	if un.Check() != nil {
		un.Release()
		return
	}
	rn := &run{endMS: md.now + modelMaxRunMS, un: un, node: nd, sentMS: nd.ck.Now()}
	if md.draw(2) == 0 {
		rn.endMS = md.now + int64(md.draw(modelMaxRunMS)) + 1
	}
	if md.draw(4) == 0 {
		un.ReleaseUnknown(rn.sentMS)
		rn.un = nil
	}
	md.runs = append(md.runs, rn)
	md.starts++
	if got, limit := int64(len(md.runs)), md.maxLimit(); got > limit && md.failure == "" {
		md.failure = fmt.Sprintf("%d runs at once, the limit is %d", got, limit)
	}
}

func (md *model) pick() *node {
	nd := md.nodes[md.draw(len(md.nodes))]
	if nd.gone || nd.paused {
		return nil
	}
	return nd
}

func (md *model) step() {
	nd := md.pick()
	act := md.draw(100)
	switch {
	case act < 16:
		md.advance(int64(md.draw(300)))
	case act < 17:
		md.advance(int64(md.draw(12_000)))
	case act < 19:
		md.changeFleet()
	case act < 21:
		md.changeNetwork()
	case act < 24:
		md.deliverDelayed()
	case nd == nil:
	case act < 55:
		md.acquire(nd)
	case act < 75:
		md.send(nd)
	case act < 79:
		md.adopt(nd)
	default:
		nd.hd.Tick(context.Background())
	}
}

// changeFleet pauses, resumes, ends, drains or replaces entries, or publishes a limit.
func (md *model) changeFleet() {
	nd := md.nodes[md.draw(len(md.nodes))]
	switch md.draw(10) {
	case 0:
		nd.paused = true
	case 1, 2, 3:
		for _, other := range md.nodes {
			other.paused = false
		}
	case 4:
		if !nd.gone && md.live() > 2 {
			nd.gone = true
			nd.listedGone = md.draw(2) == 0
			md.boot()
		}
	case 6:
		if md.draw(4) == 0 && !nd.gone && md.live() > 2 {
			nd.hd.Drain()
			md.boot()
		}
	case 5:
		for _, other := range md.nodes {
			other.listedGone = other.gone
		}
	default:
		md.limits = append(md.limits, int64(md.draw(12)))
	}
}

func (md *model) live() int {
	count := 0
	for _, nd := range md.nodes {
		if !nd.gone {
			count++
		}
	}
	return count
}

func (md *model) changeNetwork() {
	one := md.nodes[md.draw(len(md.nodes))]
	two := md.nodes[md.draw(len(md.nodes))]
	switch md.draw(6) {
	case 0:
		md.partitioned[one.name+two.name] = true
	case 1:
		md.tableFaults[one.name] = md.draw(3)
	case 2, 3:
		clear(md.partitioned)
	case 4:
		clear(md.tableFaults)
	default:
		fault := md.draw(3)
		for _, nd := range md.nodes {
			md.tableFaults[nd.name] = fault
		}
	}
}

func (md *model) deliverDelayed() {
	if len(md.delayed) == 0 {
		return
	}
	at := md.draw(len(md.delayed))
	fn := md.delayed[at]
	md.delayed = append(md.delayed[:at:at], md.delayed[at+1:]...)
	fn()
}

// checkRecovery ends all faults and all work, lets every holder return its units, and describes the units that are lost, if any.
func (md *model) checkRecovery() string {
	clear(md.partitioned)
	clear(md.tableFaults)
	for len(md.delayed) > 0 {
		md.deliverDelayed()
	}
	for _, nd := range md.nodes {
		nd.paused = false
		nd.listedGone = nd.gone
		if nd.gone {
			continue
		}
		for _, un := range nd.units {
			un.Release()
		}
		md.adopt(nd)
	}
	for range 120 {
		md.advance(500)
		for _, nd := range md.nodes {
			if !nd.gone {
				nd.hd.Tick(context.Background())
			}
		}
	}
	return md.checkDrained()
}

func (md *model) checkDrained() string {
	limit := md.limits[len(md.limits)-1]
	for _, nd := range md.nodes {
		if !nd.gone {
			nd.hd.Drain()
		}
	}
	fresh := md.boot()
	for range 60 {
		md.advance(500)
		for _, nd := range md.nodes {
			if !nd.gone {
				nd.hd.Tick(context.Background())
			}
		}
	}
	got := int64(0)
	for range 3 * limit {
		if _, err := fresh.hd.Acquire(context.Background(), modelTeam, modelMaxRunMS); err == nil {
			got++
		} else {
			md.advance(1000)
		}
	}
	if got != limit {
		return fmt.Sprintf("%d units of the limit %d can be acquired at the end", got, limit)
	}
	return ""
}

// Under random faults of table, network and entries, no more runs than the highest limit that an entry may still apply must be in progress, and no unit may be lost in the end.
func TestLimitHolds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		md := newModel(func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "n") }, "")
		steps := rapid.IntRange(50, 600).Draw(rt, "steps")
		for range steps {
			md.step()
			if md.failure != "" {
				rt.Fatal(md.failure)
			}
		}
		if lost := md.checkRecovery(); lost != "" {
			rt.Fatal(lost)
		}
	})
}

const (
	modelSeeds    = 300
	modelSteps    = 1500
	mutationSeeds = 100
)

func runModel(seed int64, disabledRule string) *model {
	md := newModel(rand.New(rand.NewSource(seed)).Intn, disabledRule)
	for range modelSteps {
		md.step()
		if md.failure != "" {
			break
		}
	}
	return md
}

// Like TestLimitHolds, with longer runs from fixed seeds; the number of starts shows that the model does not only refuse.
func TestLimitHoldsOverSeeds(t *testing.T) {
	starts := 0
	for seed := range *seedCount {
		md := runModel(seed, "")
		qt.Assert(t, md.failure, qt.Equals, "", qt.Commentf("seed %d", seed))
		qt.Assert(t, md.checkRecovery(), qt.Equals, "", qt.Commentf("seed %d", seed))
		starts += md.starts
	}
	qt.Assert(t, int64(starts) > 50**seedCount, qt.IsTrue, qt.Commentf("%d starts over %d seeds, expected more than 50 each", starts, *seedCount))
}

// Shows that the model's checks can fail: it detects each disabled rule within mutationSeeds seeds from the given one.
func TestLimitModelDetectsDisabledRules(t *testing.T) {
	for _, tc := range []struct {
		disabledRule string
		seed         int64
	}{
		{"settle-cut", 0},
		{"check-loan", 0},
		{"asked-before", 120},
		{"stop-before-lending", 0},
		{"credit-longest-run", 40},
		{"outwait-gone", 200},
	} {
		t.Run(tc.disabledRule, func(t *testing.T) {
			for seed := tc.seed; seed < tc.seed+mutationSeeds; seed++ {
				if runModel(seed, tc.disabledRule).failure != "" {
					t.Logf("detected by seed %d", seed)
					return
				}
			}
			t.Fatalf("none of the %d seeds from %d detects the disabled rule", mutationSeeds, tc.seed)
		})
	}
}
