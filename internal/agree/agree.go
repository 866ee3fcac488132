package agree

import (
	"context"
	"sync"

	"github.com/fulmarloft/fulmarloft/internal/acceptance"
	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/config"
	"github.com/fulmarloft/fulmarloft/internal/configlease"
	"github.com/fulmarloft/fulmarloft/internal/configpb"
	"github.com/fulmarloft/fulmarloft/internal/event"
	"github.com/fulmarloft/fulmarloft/internal/gossip"
	"github.com/fulmarloft/fulmarloft/internal/member"
	"github.com/fulmarloft/fulmarloft/internal/metric"
	"github.com/fulmarloft/fulmarloft/internal/publish"
	"github.com/fulmarloft/fulmarloft/internal/table"
	"github.com/fulmarloft/fulmarloft/internal/voucher"
	"github.com/fulmarloft/fulmarloft/pkg/bundle"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Agent is the agent of one incarnation of an entry; it serves the peers' Config service and is safe for concurrent use.
type Agent struct {
	ck   *clock.Clock
	self *configpb.Member
	tbl  *table.Client
	get  func(ctx context.Context, name string) ([]byte, error)
	dial func(mb *configpb.Member) configpb.DRPCConfigClient

	each    func(count int, fn func(i int))
	changed func(bd *bundle.Bundle)
	leaving func(incarnation string)
	gone    func(incarnation string)
	lg      *event.Log
	rg      *metric.Registry

	cf *config.Config
	vc *voucher.Voucher
	ls *configlease.Lease
	ac *acceptance.Tracker
	mv *member.Member
	gs *gossip.Gossip
	pb *publish.Publisher

	adopting sync.Mutex

	mu         sync.Mutex
	registered bool
	leavingNow bool
	driving    uint64
	watched    uint64
	epochRow   uint64
	headSince  int64
	logged     uint64
	turn       int
	seen       map[string]uint64
	parts      []part
}

type part struct {
	name string
	fill func() []byte
	hear func(incarnation string, value []byte)
}

const (
	gossipKeepMS  = 24 * 3600 * 1000
	beatMS        = 1000
	callMS        = 500
	tableMS       = 800
	driveAfterMS  = 3000
	joinAttempts  = 8
	fetchSources  = 3
	renewFraction = 3

	kindLeaving = "leaving/"
	kindGone    = "gone/"
)

// New returns an agent that holds nothing; put and get reach the object store, dial reaches another entry, and check compares a proposed bundle with the running fleet.
func New(
	ck *clock.Clock,
	self *configpb.Member,
	tbl *table.Client,
	put func(ctx context.Context, name string, content []byte) error,
	get func(ctx context.Context, name string) ([]byte, error),
	dial func(mb *configpb.Member) configpb.DRPCConfigClient,
	check func(old, next *bundle.Bundle) error,
) *Agent {
	ag := &Agent{
		ck: ck, self: self, tbl: tbl, get: get, dial: dial,
		each:    inTurn,
		changed: func(*bundle.Bundle) {},
		leaving: func(string) {},
		gone:    func(string) {},
		lg:      event.Discard(),
		rg:      metric.New(),
		cf:      config.New(ck),
		vc:      voucher.New(ck, self.GetIncarnation()),
		ls:      configlease.New(ck),
		ac:      acceptance.New(ck),
		mv:      member.New(self),
		gs:      gossip.New(ck, gossipKeepMS),
		seen:    map[string]uint64{},
	}
	ag.pb = publish.New(tbl, put, get, check, ag.ac.Accepted)
	ag.pb.SetHeld(ag.cf.Bundle)
	return ag
}

// SetForEach replaces the function that runs calls to several entries, which takes them in turn at first.
func (ag *Agent) SetForEach(each func(count int, fn func(i int))) { ag.each = each }

// SetLog sets where events and metrics go.
func (ag *Agent) SetLog(lg *event.Log, rg *metric.Registry) {
	ag.lg = lg
	ag.rg = rg
}

// OnChange sets the function that is told each bundle that this entry adopts.
func (ag *Agent) OnChange(changed func(bd *bundle.Bundle)) { ag.changed = changed }

// OnIncarnationEvents sets the functions that are told incarnations of VMs which other entries report as leaving or as ended for good.
func (ag *Agent) OnIncarnationEvents(leaving, gone func(incarnation string)) {
	ag.leaving = leaving
	ag.gone = gone
}

// AddHeartbeatPart adds a service's own bytes to each heartbeat and its reply; call it before Run.
func (ag *Agent) AddHeartbeatPart(name string, fill func() []byte, hear func(incarnation string, value []byte)) {
	ag.parts = append(ag.parts, part{name: name, fill: fill, hear: hear})
}

// Bundle returns the bundle in use, or nil before the first.
func (ag *Agent) Bundle() *bundle.Bundle { return ag.cf.Bundle() }

// Members returns the registered entries that this entry knows of.
func (ag *Agent) Members() []*configpb.Member { return ag.vc.Roster().Members() }

// View returns who is alive.
func (ag *Agent) View() *member.Member { return ag.mv }

// Ready reports whether the entry's configuration was ever proved to be the newest, before which it serves nothing.
func (ag *Agent) Ready() bool { return ag.ls.EverGranted() }

// AllowsKeyedWork reports whether keyed work may be taken now; ask right before each effect.
func (ag *Agent) AllowsKeyedWork() bool {
	_, version := ag.cf.Keyring()
	return version > 0 && ag.ls.Allows(version)
}

// Authenticate returns the team of a secret, or an error of code KeyedWorkPaused while the configuration lease has lapsed.
func (ag *Agent) Authenticate(secret string) (string, error) {
	for {
		kr, version := ag.cf.Keyring()
		if kr == nil {
			return "", code.KeyedWorkPaused
		}
		team, err := kr.Team(secret)
		if ag.ls.Allows(version) {
			return team, err
		}
		if _, now := ag.cf.Keyring(); now == version {
			return "", code.KeyedWorkPaused
		}
	}
}

// Accepted returns the newest version that is in force everywhere.
func (ag *Agent) Accepted() uint64 { return ag.ac.Accepted() }

// Voter returns the side of the entry that vouches for others.
func (ag *Agent) Voter() *voucher.Voucher { return ag.vc }

// AnnounceLeaving passes on to the other entries that a VM's incarnation is leaving.
func (ag *Agent) AnnounceLeaving(incarnation string) { ag.gs.Add(kindLeaving + incarnation) }

// AnnounceGone records and passes on that the platform lists an incarnation as ended for good.
func (ag *Agent) AnnounceGone(incarnation string) {
	if len(ag.gs.Add(kindGone+incarnation)) > 0 {
		ag.noteGone(incarnation)
	}
}

func (ag *Agent) noteGone(incarnation string) {
	ag.mv.Gone(incarnation)
	ag.ac.MarkGone(incarnation)
	ag.gone(incarnation)
}

func (ag *Agent) leaseMS() int64 {
	if bd := ag.cf.Bundle(); bd != nil {
		return bd.ConfigLeaseMS()
	}
	return 0
}

// hear records a version that is known committed.
func (ag *Agent) hear(version uint64, hash string) {
	ag.vc.Hear(version, hash)
	ag.ls.ObserveCommitted(version)
}

// ack reads what was heard before what was promised, so that no promise for an older version can be missing.
func (ag *Agent) ack() *configpb.Ack {
	heard := ag.vc.Version()
	ag.ls.ObserveCommitted(heard)
	held := ag.ls.Held()
	return &configpb.Ack{
		Incarnation: ag.self.GetIncarnation(),
		Heard:       heard,
		Held:        held,
		Epoch:       ag.vc.Epoch(),
		PromisedMs:  ag.vc.PromisedMS(),
		AgeMs:       ag.cf.AgeMS(),
		Accepted:    ag.ac.Accepted(),
	}
}

// hearAck takes over what another entry tells of itself; its version carries no hash, so it is only fetched, not vouched on.
func (ag *Agent) hearAck(ack *configpb.Ack) {
	if ack.GetIncarnation() == "" {
		return
	}
	ag.ac.RecordAck(ack)
	ag.vc.HearEpoch(ack.GetEpoch())
	ag.vc.Hear(ack.GetHeard(), "")
}

// adopt makes a version the one in use and passes it to the parts of the system; keyed work goes on under the running lease.
func (ag *Agent) adopt(head *configpb.Head, raw []byte) error {
	ag.adopting.Lock()
	defer ag.adopting.Unlock()
	fresh, err := ag.cf.Adopt(head, raw)
	if err != nil {
		ag.lg.Fail("bundle-refused", err, "version", head.GetVersion())
		return err
	}
	if fresh {
		bd := ag.cf.Bundle()
		ag.ls.Adopt(bd.Version(), bd.ConfigLeaseMS())
		ag.hear(head.GetVersion(), head.GetHash())
		ag.lg.Info("bundle-adopted", "version", head.GetVersion(), "hash", head.GetHash())
		ag.rg.Set(int64(head.GetVersion()), "config", "version")
		ag.changed(bd)
	}
	return nil
}

func inTurn(count int, fn func(i int)) {
	for i := range count {
		fn(i)
	}
}
