package entry

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"

	"storj.io/drpc"

	"github.com/fulmarloft/fulmarloft/internal/configuration/operatorapi"
	"github.com/fulmarloft/fulmarloft/internal/membership/cluster"
	"github.com/fulmarloft/fulmarloft/internal/membership/identity"
	"github.com/fulmarloft/fulmarloft/internal/membership/peer"
	"github.com/fulmarloft/fulmarloft/internal/pb/configpb"
	"github.com/fulmarloft/fulmarloft/internal/pb/leavingpb"
	"github.com/fulmarloft/fulmarloft/pkg/bundle"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

const (
	goneIntervalMS      = 1000
	configIdleTimeoutMS = 30_000
)

// clusterPart holds the entry's configuration agent, its identity and its connections to other entries.
type clusterPart struct {
	ag *cluster.Agent
	id *identity.Identity
	pr *peer.Peer
	// checks must all accept a bundle before it is published.
	checks []func(old, next *bundle.Bundle) error
}

func (cp *clusterPart) current() *bundle.Bundle { return cp.ag.Bundle() }

// wireCluster creates the agent and the peer connections, on which the other components depend; startCluster starts them once everything is wired.
func (en *Entry) wireCluster() error {
	id, err := identity.New(en.st)
	if err != nil {
		return err
	}
	cp := &en.cluster
	cp.id = id
	cp.pr = peer.New(en.ck, id.ServerConfig(identity.EntryUnit), id.ClientConfig(), en.mt)
	if en.srv.peerDial != nil {
		cp.pr.SetDial(en.srv.peerDial)
	}
	self := &configpb.Member{
		Name: en.st.Name(), Incarnation: en.incarnation, Zone: en.st.Zone(),
		PeerAddress: en.PeerAddress(), CallerAddress: en.CallerAddress(), AdminAddress: en.AdminAddress(),
	}
	dial := func(mb *configpb.Member) configpb.DRPCConfigClient {
		return configpb.NewDRPCConfigClient(cp.pr.ConnWithIdleTimeout(mb.GetPeerAddress(), configIdleTimeoutMS))
	}
	cp.ag = cluster.New(en.ck, self, en.tab, en.platform.PutObject, en.platform.Object, dial, en.checkBundle)
	cp.ag.SetForEach(cluster.Parallel)
	cp.ag.SetLog(en.lg, en.mt)
	cp.ag.OnIncarnationEvents(func(inc string) { en.MarkLeaving(inc) }, func(string) {})
	en.fleet.authenticate = en.authenticateOperator
	operatorapi.New(cp.ag, en.authenticateOperator, en.lg).Routes(en.admin)
	if err := configpb.DRPCRegisterConfig(cp.pr.Mux(), cp.ag); err != nil {
		return code.Internal.Wrap(err)
	}
	return nil
}

func (en *Entry) startCluster() error {
	en.background(func(ctx context.Context) error { return en.cluster.pr.Serve(ctx, en.srv.peerLs) })
	en.background(func(ctx context.Context) error { return en.cluster.ag.Run(ctx, en.st.Peers()) })
	en.every(goneIntervalMS, "entries-gone", en.reportGone)
	return nil
}

// background runs fn until the entry stops.
func (en *Entry) background(fn func(ctx context.Context) error) {
	en.loops.Add(1)
	go func() {
		defer en.loops.Done()
		if err := fn(en.ctx); err != nil && en.ctx.Err() == nil {
			en.lg.Fail("background-ended", err, "name", en.st.Name())
		}
	}()
}

// authenticateOperator returns the name of the operator who sent a request. With certificates, the operator must also be listed in the bundle if there is one, so that removing one from the bundle also blocks a leaked certificate.
func (en *Entry) authenticateOperator(rq *http.Request) (string, error) {
	name, err := en.cluster.id.Operator(rq)
	bd := en.Bundle()
	if err != nil || bd == nil || en.cluster.id.Plain() {
		return name, err
	}
	for _, op := range bd.Operators() {
		if op.Name() == name {
			return name, nil
		}
	}
	return name, code.Forbidden.New("operator %q is not in bundle version %d", name, bd.Version())
}

// reportGone tells the other entries which registered incarnations the platform lists as permanently ended.
func (en *Entry) reportGone(context.Context) error {
	for _, group := range en.cluster.ag.Voter().Roster().Groups() {
		for _, inc := range group {
			if en.vmGone(inc) {
				en.cluster.ag.AnnounceGone(inc)
			}
		}
	}
	return nil
}

// AddCheck adds a check that every proposed bundle must pass against the running fleet; old is nil for the first bundle.
func (en *Entry) AddCheck(check func(old, next *bundle.Bundle) error) {
	en.cluster.checks = append(en.cluster.checks, check)
}

func (en *Entry) checkBundle(old, next *bundle.Bundle) error {
	for _, check := range en.cluster.checks {
		if err := check(old, next); err != nil {
			return err
		}
	}
	return nil
}

// announceLeaving tells the other entries which VMs are leaving.
func (en *Entry) announceLeaving(added []*leavingpb.Leaving) {
	for _, lv := range added {
		en.cluster.ag.AnnounceLeaving(lv.GetIncarnation())
	}
}

// checkKeyed returns an error while this entry must not accept work under a team's key, because it can't confirm that its bundle is the newest.
func (en *Entry) checkKeyed() error {
	if !en.cluster.ag.AllowsKeyedWork() {
		return code.KeyedWorkPaused.New("the configuration lease has expired")
	}
	return nil
}

// authenticate returns the team that a secret belongs to.
func (en *Entry) authenticate(secret string) (string, error) {
	return en.cluster.ag.Authenticate(secret)
}

// peerConn returns a DRPC connection to the entry at an address.
func (en *Entry) peerConn(address string) drpc.Conn { return en.cluster.pr.Conn(address) }

// mutualTLSListener accepts only operators and entries that present a valid certificate; in plain mode, which is limited to loopback, it accepts anyone.
func (en *Entry) mutualTLSListener(ls net.Listener) net.Listener {
	conf := en.cluster.id.ServerConfig(identity.OperatorUnit, identity.EntryUnit)
	if conf == nil {
		return ls
	}
	return tls.NewListener(ls, conf)
}
