package cluster_test

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/configuration/publish"
	"github.com/fulmarloft/fulmarloft/internal/membership/cluster"
	"github.com/fulmarloft/fulmarloft/internal/pb/configpb"
	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/request/progress"
	"github.com/fulmarloft/fulmarloft/internal/testbed/bundletest"
	"github.com/fulmarloft/fulmarloft/internal/testbed/memtable"
	"github.com/fulmarloft/fulmarloft/pkg/bundle"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// testCluster is several agents over one in-memory table; each has a clock that runs at its own rate.
type testCluster struct {
	// fetchParts is the number of parts, fetchPartMS apart, in which the reply to a fetch arrives.
	fetchParts int
	ctx        context.Context
	tb         *memtable.Table
	objects    map[string][]byte
	texts      map[string]string
	entries    map[string]*entry
	ended      []string
	now        int64
	started    int
	cuts       map[string]bool
	tableDown  map[string]bool
	loseReply  func(caller string) bool
	duringCall func()
	calls      int
	bypass     func(version uint64) bool
}

type entry struct {
	ag        *cluster.Agent
	ck        *clock.Clock
	mb        *configpb.Member
	rate      int64
	startedMS int64
	paused    bool
	most      uint64
}

const (
	keys      = 6
	startMS   = 1000000
	perMille  = 1000
	platform  = "platform"
	firstText = "first"
)

func newTestCluster(zones ...string) *testCluster {
	cl := &testCluster{
		ctx: context.Background(), tb: memtable.New(), objects: map[string][]byte{}, texts: map[string]string{},
		entries: map[string]*entry{}, cuts: map[string]bool{}, tableDown: map[string]bool{}, now: startMS,
		loseReply: func(string) bool { return false }, duringCall: func() {},
	}
	cl.tb.SetFaults(
		func(caller string, _ bool) error {
			if cl.tableDown[caller] || cl.tableDown[platform] {
				return code.TableUnavailable
			}
			return nil
		},
		func(caller string, _ bool) error {
			cl.duringCall()
			if cl.loseReply(caller) {
				return code.TableInDoubt
			}
			return nil
		},
	)
	for i, zone := range zones {
		cl.add(fmt.Sprintf("entry-%d", i), zone, int64(perMille+5*(i%3-1)))
	}
	return cl
}

func (cl *testCluster) add(name, zone string, rate int64) *entry {
	cl.started++
	inc := fmt.Sprintf("%s.%d", name, cl.started)
	en := &entry{
		ck: clock.NewFake(startMS), rate: rate, startedMS: cl.now,
		mb: &configpb.Member{Name: name, Incarnation: inc, Zone: zone, PeerAddress: name},
	}
	store := func(_ context.Context, object string, content []byte) error {
		if cl.tableDown[inc] || cl.tableDown[platform] {
			return code.StoreUnavailable
		}
		cl.objects[object] = content
		return nil
	}
	load := func(_ context.Context, object string) ([]byte, error) {
		if raw, ok := cl.objects[object]; ok && !cl.tableDown[inc] && !cl.tableDown[platform] {
			return raw, nil
		}
		return nil, code.StoreUnavailable
	}
	dial := func(mb *configpb.Member) configpb.DRPCConfigClient {
		return &localClient{cl: cl, from: en, to: mb.GetPeerAddress()}
	}
	en.ag = cluster.New(en.ck, en.mb, cl.tb.Client(inc), store, load, dial, func(_, _ *bundle.Bundle) error { return nil })
	if cl.bypass != nil {
		en.ag.Voter().SetBypass(cl.bypass)
	}
	cl.entries[name] = en
	return en
}

func (cl *testCluster) names() []string { return slices.Sorted(maps.Keys(cl.entries)) }

func (cl *testCluster) advance(ms int64) {
	cl.now += ms
	for _, name := range cl.names() {
		en := cl.entries[name]
		local := startMS + (cl.now-en.startedMS)*en.rate/perMille
		en.ck.Advance(local - en.ck.Now())
	}
}

// rounds runs the periodic work of each running entry, and advances the time after each round.
func (cl *testCluster) rounds(count int, stepMS int64) {
	for range count {
		for _, name := range cl.names() {
			cl.round(cl.entries[name])
		}
		cl.advance(stepMS)
	}
}

func (cl *testCluster) round(en *entry) {
	if en.paused {
		return
	}
	if en.ag.Bundle() == nil || len(en.ag.Members()) == 0 {
		en.ag.Boot(cl.ctx, cl.names())
	}
	en.ag.SendHeartbeats(cl.ctx)
	if en.ag.RenewDue() {
		en.ag.Renew(cl.ctx)
	}
	en.ag.CatchUp(cl.ctx)
	_ = en.ag.MaintainRoster(cl.ctx)
	en.ag.PushHeld(cl.ctx)
}

// replace ends an entry and starts a new incarnation with its name and address.
func (cl *testCluster) replace(name string) *entry {
	old := cl.entries[name]
	cl.ended = append(cl.ended, old.mb.GetIncarnation())
	return cl.add(name, old.mb.GetZone(), old.rate)
}

func (cl *testCluster) headText() string {
	row, err := cl.tb.Client(platform+"-reader").Read(cl.ctx, &platformpb.ReadRequest{Keys: []string{publish.HeadKey}})
	if err != nil || len(row.GetRows()) == 0 {
		return ""
	}
	head := &configpb.Head{}
	if err := proto.Unmarshal(row.GetRows()[0].GetValue(), head); err != nil {
		return ""
	}
	return cl.texts[head.GetHash()]
}

// withdraw publishes a bundle that withdraws a key from the given one, or the first bundle if text is empty; it returns the proposed version.
func (cl *testCluster) withdraw(en *entry, text string, withdrawn int, operation string) (uint64, error) {
	if text == "" {
		text = bundletest.Text(1, 1, 2, 1, keys)
	} else {
		text = bundletest.Withdraw(bundletest.Next(text), withdrawn)
	}
	bd, err := bundle.Parse([]byte(text))
	if err != nil {
		return 0, err
	}
	cl.texts[bd.Hash()] = text
	_, err = en.ag.Publish(cl.ctx, operation, []byte(text), bundletest.Sign(text, 0))
	return bd.Version(), err
}

// accepted returns the newest version that any running entry reports as accepted.
func (cl *testCluster) accepted() uint64 {
	var newest uint64
	for _, en := range cl.entries {
		if !en.paused {
			newest = max(newest, en.ag.Accepted())
		}
	}
	return newest
}

func (cl *testCluster) cut(a, b string) {
	cl.cuts[a+"/"+b] = true
	cl.cuts[b+"/"+a] = true
}

func (cl *testCluster) isolate(zone string) {
	for a, from := range cl.entries {
		for b, to := range cl.entries {
			if from.mb.GetZone() == zone && to.mb.GetZone() != zone {
				cl.cut(a, b)
			}
		}
		if from.mb.GetZone() == zone {
			cl.tableDown[from.mb.GetIncarnation()] = true
		}
	}
}

func (cl *testCluster) heal() {
	cl.cuts = map[string]bool{}
	cl.tableDown = map[string]bool{}
}

// fetchPartMS is the time between two parts of a reply.
const fetchPartMS = 200

// localClient calls another entry in the same process unless the connection is cut; before the reply is delivered it runs duringCall, so that other events can interleave.
type localClient struct {
	cl   *testCluster
	from *entry
	to   string
}

func (lc *localClient) DRPCConn() drpc.Conn { return nil }

func (lc *localClient) Beat(ctx context.Context, in *configpb.BeatRequest) (*configpb.BeatReply, error) {
	return exchange(ctx, lc, in, func(en *entry) (*configpb.BeatReply, error) { return en.ag.Beat(ctx, in) })
}

func (lc *localClient) Vouch(ctx context.Context, in *configpb.VouchRequest) (*configpb.VouchReply, error) {
	return exchange(ctx, lc, in, func(en *entry) (*configpb.VouchReply, error) { return en.ag.Vouch(ctx, in) })
}

func (lc *localClient) Adopt(ctx context.Context, in *configpb.AdoptRequest) (*configpb.AdoptReply, error) {
	return exchange(ctx, lc, in, func(en *entry) (*configpb.AdoptReply, error) { return en.ag.Adopt(ctx, in) })
}

func (lc *localClient) Fetch(ctx context.Context, in *configpb.FetchRequest) (*configpb.FetchReply, error) {
	rep, err := exchange(ctx, lc, in, func(en *entry) (*configpb.FetchReply, error) { return en.ag.Fetch(ctx, in) })
	for range lc.cl.fetchParts {
		lc.from.ck.Advance(fetchPartMS)
		progress.Report(ctx, 1)
	}
	if ctx.Err() != nil {
		return nil, code.PeerUnreachable
	}
	return rep, err
}

func exchange[R any](ctx context.Context, lc *localClient, _ proto.Message, call func(*entry) (R, error)) (R, error) {
	var none R
	cl := lc.cl
	cl.calls++
	to := cl.entries[lc.to]
	if to == nil || to.paused || lc.from.paused || cl.cuts[lc.from.mb.GetName()+"/"+lc.to] {
		return none, code.PeerUnreachable
	}
	rep, err := call(to)
	cl.duringCall()
	if ctx.Err() != nil || cl.cuts[lc.from.mb.GetName()+"/"+lc.to] {
		return none, code.PeerUnreachable
	}
	return rep, err
}
