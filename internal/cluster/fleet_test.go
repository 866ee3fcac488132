package cluster_test

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"github.com/fulmarloft/fulmarloft/internal/bundletest"
	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/cluster"
	"github.com/fulmarloft/fulmarloft/internal/configpb"
	"github.com/fulmarloft/fulmarloft/internal/memtable"
	"github.com/fulmarloft/fulmarloft/internal/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/publish"
	"github.com/fulmarloft/fulmarloft/pkg/bundle"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// fleet is several agents over one in-memory table; each has a clock that runs at its own rate.
type fleet struct {
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

func newFleet(zones ...string) *fleet {
	fl := &fleet{
		ctx: context.Background(), tb: memtable.New(), objects: map[string][]byte{}, texts: map[string]string{},
		entries: map[string]*entry{}, cuts: map[string]bool{}, tableDown: map[string]bool{}, now: startMS,
		loseReply: func(string) bool { return false }, duringCall: func() {},
	}
	fl.tb.SetFaults(
		func(caller string, _ bool) error {
			if fl.tableDown[caller] || fl.tableDown[platform] {
				return code.TableUnavailable
			}
			return nil
		},
		func(caller string, _ bool) error {
			fl.duringCall()
			if fl.loseReply(caller) {
				return code.TableInDoubt
			}
			return nil
		},
	)
	for i, zone := range zones {
		fl.add(fmt.Sprintf("entry-%d", i), zone, int64(perMille+5*(i%3-1)))
	}
	return fl
}

func (fl *fleet) add(name, zone string, rate int64) *entry {
	fl.started++
	inc := fmt.Sprintf("%s.%d", name, fl.started)
	en := &entry{
		ck: clock.NewFake(startMS), rate: rate, startedMS: fl.now,
		mb: &configpb.Member{Name: name, Incarnation: inc, Zone: zone, PeerAddress: name},
	}
	store := func(_ context.Context, object string, content []byte) error {
		if fl.tableDown[inc] || fl.tableDown[platform] {
			return code.StoreUnavailable
		}
		fl.objects[object] = content
		return nil
	}
	load := func(_ context.Context, object string) ([]byte, error) {
		if raw, ok := fl.objects[object]; ok && !fl.tableDown[inc] && !fl.tableDown[platform] {
			return raw, nil
		}
		return nil, code.StoreUnavailable
	}
	dial := func(mb *configpb.Member) configpb.DRPCConfigClient {
		return &link{fl: fl, from: en, to: mb.GetPeerAddress()}
	}
	en.ag = cluster.New(en.ck, en.mb, fl.tb.Client(inc), store, load, dial, func(_, _ *bundle.Bundle) error { return nil })
	if fl.bypass != nil {
		en.ag.Voter().SetBypass(fl.bypass)
	}
	fl.entries[name] = en
	return en
}

func (fl *fleet) names() []string { return slices.Sorted(maps.Keys(fl.entries)) }

func (fl *fleet) advance(ms int64) {
	fl.now += ms
	for _, name := range fl.names() {
		en := fl.entries[name]
		local := startMS + (fl.now-en.startedMS)*en.rate/perMille
		en.ck.Advance(local - en.ck.Now())
	}
}

// rounds runs the periodic work of each running entry, and advances the time after each round.
func (fl *fleet) rounds(count int, stepMS int64) {
	for range count {
		for _, name := range fl.names() {
			fl.round(fl.entries[name])
		}
		fl.advance(stepMS)
	}
}

func (fl *fleet) round(en *entry) {
	if en.paused {
		return
	}
	if en.ag.Bundle() == nil || len(en.ag.Members()) == 0 {
		en.ag.Boot(fl.ctx, fl.names())
	}
	en.ag.SendHeartbeats(fl.ctx)
	if en.ag.RenewDue() {
		en.ag.Renew(fl.ctx)
	}
	en.ag.CatchUp(fl.ctx)
	_ = en.ag.MaintainRoster(fl.ctx)
	en.ag.PushHeld(fl.ctx)
}

// replace ends an entry and starts a new incarnation with its name and address.
func (fl *fleet) replace(name string) *entry {
	old := fl.entries[name]
	fl.ended = append(fl.ended, old.mb.GetIncarnation())
	return fl.add(name, old.mb.GetZone(), old.rate)
}

func (fl *fleet) headText() string {
	row, err := fl.tb.Client(platform+"-reader").Read(fl.ctx, &platformpb.ReadRequest{Keys: []string{publish.HeadKey}})
	if err != nil || len(row.GetRows()) == 0 {
		return ""
	}
	head := &configpb.Head{}
	if err := proto.Unmarshal(row.GetRows()[0].GetValue(), head); err != nil {
		return ""
	}
	return fl.texts[head.GetHash()]
}

// withdraw publishes a bundle that withdraws a key from the given one, or the first bundle if text is empty; it returns the proposed version.
func (fl *fleet) withdraw(en *entry, text string, withdrawn int, operation string) (uint64, error) {
	if text == "" {
		text = bundletest.Text(1, 1, 2, 1, keys)
	} else {
		text = bundletest.Withdraw(bundletest.Next(text), withdrawn)
	}
	bd, err := bundle.Parse([]byte(text))
	if err != nil {
		return 0, err
	}
	fl.texts[bd.Hash()] = text
	_, err = en.ag.Publish(fl.ctx, operation, []byte(text), bundletest.Sign(text, 0))
	return bd.Version(), err
}

// accepted returns the newest version that any running entry reports as accepted.
func (fl *fleet) accepted() uint64 {
	var newest uint64
	for _, en := range fl.entries {
		if !en.paused {
			newest = max(newest, en.ag.Accepted())
		}
	}
	return newest
}

func (fl *fleet) cut(a, b string) {
	fl.cuts[a+"/"+b] = true
	fl.cuts[b+"/"+a] = true
}

func (fl *fleet) isolate(zone string) {
	for a, from := range fl.entries {
		for b, to := range fl.entries {
			if from.mb.GetZone() == zone && to.mb.GetZone() != zone {
				fl.cut(a, b)
			}
		}
		if from.mb.GetZone() == zone {
			fl.tableDown[from.mb.GetIncarnation()] = true
		}
	}
}

func (fl *fleet) heal() {
	fl.cuts = map[string]bool{}
	fl.tableDown = map[string]bool{}
}

// link calls another entry in the same process unless the connection is cut; before the reply is delivered it runs duringCall, so that other events can interleave.
type link struct {
	fl   *fleet
	from *entry
	to   string
}

func (ln *link) DRPCConn() drpc.Conn { return nil }

func (ln *link) Beat(ctx context.Context, in *configpb.BeatRequest) (*configpb.BeatReply, error) {
	return exchange(ctx, ln, in, func(en *entry) (*configpb.BeatReply, error) { return en.ag.Beat(ctx, in) })
}

func (ln *link) Vouch(ctx context.Context, in *configpb.VouchRequest) (*configpb.VouchReply, error) {
	return exchange(ctx, ln, in, func(en *entry) (*configpb.VouchReply, error) { return en.ag.Vouch(ctx, in) })
}

func (ln *link) Adopt(ctx context.Context, in *configpb.AdoptRequest) (*configpb.AdoptReply, error) {
	return exchange(ctx, ln, in, func(en *entry) (*configpb.AdoptReply, error) { return en.ag.Adopt(ctx, in) })
}

func (ln *link) Fetch(ctx context.Context, in *configpb.FetchRequest) (*configpb.FetchReply, error) {
	return exchange(ctx, ln, in, func(en *entry) (*configpb.FetchReply, error) { return en.ag.Fetch(ctx, in) })
}

func exchange[R any](ctx context.Context, ln *link, _ proto.Message, call func(*entry) (R, error)) (R, error) {
	var none R
	fl := ln.fl
	fl.calls++
	to := fl.entries[ln.to]
	if to == nil || to.paused || ln.from.paused || fl.cuts[ln.from.mb.GetName()+"/"+ln.to] {
		return none, code.PeerUnreachable
	}
	rep, err := call(to)
	fl.duringCall()
	if ctx.Err() != nil || fl.cuts[ln.from.mb.GetName()+"/"+ln.to] {
		return none, code.PeerUnreachable
	}
	return rep, err
}
