package cluster

import (
	"context"
	"sync"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/configuration/acceptance"
	"github.com/fulmarloft/fulmarloft/internal/configuration/config"
	"github.com/fulmarloft/fulmarloft/internal/configuration/configlease"
	"github.com/fulmarloft/fulmarloft/internal/configuration/publish"
	"github.com/fulmarloft/fulmarloft/internal/membership/gossip"
	"github.com/fulmarloft/fulmarloft/internal/membership/leasevote"
	"github.com/fulmarloft/fulmarloft/internal/membership/liveness"
	"github.com/fulmarloft/fulmarloft/internal/observability/event"
	"github.com/fulmarloft/fulmarloft/internal/observability/metric"
	"github.com/fulmarloft/fulmarloft/internal/pb/configpb"
	"github.com/fulmarloft/fulmarloft/internal/store/table"
	"github.com/fulmarloft/fulmarloft/pkg/bundle"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Agent keeps the roster, configuration and configuration lease of one incarnation of an entry; it serves the Config service to the other entries and is safe for concurrent use.
type Agent struct {
	ck   *clock.Clock
	self *configpb.Member
	tbl  *table.Client
	get  func(ctx context.Context, name string) ([]byte, error)
	dial func(mb *configpb.Member) configpb.DRPCConfigClient

	forEach   func(count int, fn func(i int))
	onChange  func(bd *bundle.Bundle)
	onLeaving func(incarnation string)
	onGone    func(incarnation string)
	lg        *event.Log
	rg        *metric.Registry

	cf *config.Config
	vt *leasevote.Voter
	ls *configlease.Lease
	tr *acceptance.Tracker
	vw *liveness.View
	gs *gossip.Gossip
	pb *publish.Publisher

	adoptMu sync.Mutex // serializes adopt

	mu              sync.Mutex
	wasRegistered   bool
	deregistering   bool
	drivenVersion   uint64
	watchedVersion  uint64
	epochRowVersion uint64
	headSinceMS     int64
	loggedAccepted  uint64
	farRotation     int
	positions       map[string]gossipPositions // by incarnation
	parts           []heartbeatPart
}

// gossipPositions are the last position received from another entry and the last one sent to it.
type gossipPositions struct {
	received, sent uint64
}

type heartbeatPart struct {
	name    string
	encode  func() []byte
	receive func(incarnation string, value []byte)
}

const (
	gossipRetentionMS   = 24 * 3600 * 1000
	heartbeatIntervalMS = 1000
	callTimeoutMS       = 500
	tableTimeoutMS      = 800
	coordinatorDelayMS  = 3000
	maxRosterAttempts   = 8
	nearSources         = 3
	renewDivisor        = 3

	leavingPrefix = "leaving/"
	gonePrefix    = "gone/"
)

// New returns an agent without a configuration or roster; put and get access the object store, dial returns a client of another entry, and check validates a proposed bundle against the running fleet.
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
		forEach:   sequential,
		onChange:  func(*bundle.Bundle) {},
		onLeaving: func(string) {},
		onGone:    func(string) {},
		lg:        event.Discard(),
		rg:        metric.New(),
		cf:        config.New(ck),
		vt:        leasevote.New(ck, self.GetIncarnation()),
		ls:        configlease.New(ck),
		tr:        acceptance.New(ck),
		vw:        liveness.New(self),
		gs:        gossip.New(ck, gossipRetentionMS),
		positions: map[string]gossipPositions{},
	}
	ag.pb = publish.New(tbl, put, get, check, ag.tr.Accepted)
	ag.pb.SetHeld(ag.cf.Bundle)
	return ag
}

// SetForEach replaces the function that runs the calls to several entries; by default the calls are made one after another.
func (ag *Agent) SetForEach(each func(count int, fn func(i int))) { ag.forEach = each }

// SetLog sets the event log and the metrics registry.
func (ag *Agent) SetLog(lg *event.Log, rg *metric.Registry) {
	ag.lg = lg
	ag.rg = rg
}

// OnChange sets the callback for each bundle that this entry adopts.
func (ag *Agent) OnChange(changed func(bd *bundle.Bundle)) { ag.onChange = changed }

// OnIncarnationEvents sets the callbacks for incarnations that become known as leaving, reported by other entries, or as ended permanently.
func (ag *Agent) OnIncarnationEvents(leaving, gone func(incarnation string)) {
	ag.onLeaving = leaving
	ag.onGone = gone
}

// Bundle returns the bundle in use, or nil before the first one is adopted.
func (ag *Agent) Bundle() *bundle.Bundle { return ag.cf.Bundle() }

// Members returns the registered entries that this entry knows of.
func (ag *Agent) Members() []*configpb.Member { return ag.vt.Roster().Members() }

// View returns the liveness view of the other entries.
func (ag *Agent) View() *liveness.View { return ag.vw }

// Ready reports whether the configuration lease was ever granted, which confirms that the configuration was the newest; the entry serves nothing before.
func (ag *Agent) Ready() bool { return ag.ls.EverGranted() }

// AllowsKeyedWork reports whether the configuration lease allows work that is authenticated by a key; call it right before each effect.
func (ag *Agent) AllowsKeyedWork() bool {
	_, version := ag.cf.Keyring()
	return version > 0 && ag.ls.Allows(version)
}

// Authenticate returns the team that a secret belongs to, or an error of code KeyedWorkPaused while the configuration lease has expired; it retries if the keyring changes during the check.
func (ag *Agent) Authenticate(secret string) (string, error) {
	for {
		kr, version := ag.cf.Keyring()
		if kr == nil {
			return "", code.KeyedWorkPaused.New("no configuration is in force yet")
		}
		team, err := kr.Team(secret)
		if ag.ls.Allows(version) {
			return team, err
		}
		if _, latest := ag.cf.Keyring(); latest == version {
			return "", code.KeyedWorkPaused.New("the configuration lease has expired")
		}
	}
}

// Accepted returns the newest accepted version: no entry takes keyed work under an older one any more.
func (ag *Agent) Accepted() uint64 { return ag.tr.Accepted() }

// Voter returns the voter that answers the lease requests of other entries.
func (ag *Agent) Voter() *leasevote.Voter { return ag.vt }

// AnnounceLeaving gossips to the other entries that a VM's incarnation is leaving.
func (ag *Agent) AnnounceLeaving(incarnation string) { ag.gs.Add(leavingPrefix + incarnation) }

// AnnounceGone records that the platform lists an incarnation as permanently ended and gossips it to the other entries.
func (ag *Agent) AnnounceGone(incarnation string) {
	if len(ag.gs.Add(gonePrefix+incarnation)) > 0 {
		ag.markGone(incarnation)
	}
}

func (ag *Agent) markGone(incarnation string) {
	ag.vw.MarkGone(incarnation)
	ag.tr.MarkGone(incarnation)
	ag.forgetPositions()
	ag.onGone(incarnation)
}

func (ag *Agent) leaseMS() int64 {
	if bd := ag.cf.Bundle(); bd != nil {
		return bd.ConfigLeaseMS()
	}
	return 0
}

// observeCommitted records that a version is committed, in the voter and in this entry's own lease.
func (ag *Agent) observeCommitted(version uint64, hash string) {
	ag.vt.ObserveCommitted(version, hash)
	ag.ls.ObserveCommitted(version)
}

// ack builds this entry's acknowledgement; it reads the newest version heard of before the outstanding promises, so that no promise for an older version can be missing.
func (ag *Agent) ack() *configpb.Ack {
	heard := ag.vt.Version()
	ag.ls.ObserveCommitted(heard)
	held := ag.ls.Held()
	return &configpb.Ack{
		Incarnation: ag.self.GetIncarnation(),
		Heard:       heard,
		Held:        held,
		Epoch:       ag.vt.Epoch(),
		PromisedMs:  ag.vt.PromisedMS(),
		AgeMs:       ag.cf.AgeMS(),
		Accepted:    ag.tr.Accepted(),
	}
}

// recordAck records the acknowledgement of another entry; its versions carry no hash, so a newer one is fetched but not vouched for yet.
func (ag *Agent) recordAck(ack *configpb.Ack) {
	if ack.GetIncarnation() == "" {
		return
	}
	ag.tr.RecordAck(ack)
	ag.vt.ObserveEpoch(ack.GetEpoch())
	ag.vt.ObserveCommitted(ack.GetHeard(), "")
}

// adopt puts a newer version in use and calls the change callback; keyed work continues under the running lease.
func (ag *Agent) adopt(head *configpb.Head, raw []byte) error {
	ag.adoptMu.Lock()
	defer ag.adoptMu.Unlock()
	fresh, err := ag.cf.Adopt(head, raw)
	if err != nil {
		ag.lg.Fail("bundle-refused", err, "version", head.GetVersion())
		return err
	}
	if fresh {
		bd := ag.cf.Bundle()
		ag.ls.Adopt(bd.Version(), bd.ConfigLeaseMS())
		ag.observeCommitted(head.GetVersion(), head.GetHash())
		ag.lg.Info("bundle-adopted", "version", head.GetVersion(), "hash", head.GetHash())
		ag.rg.Set(int64(head.GetVersion()), "config", "version")
		ag.onChange(bd)
	}
	return nil
}

func sequential(count int, fn func(i int)) {
	for i := range count {
		fn(i)
	}
}
