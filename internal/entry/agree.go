package entry

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"

	"storj.io/drpc"

	"github.com/fulmarloft/fulmarloft/internal/agree"
	"github.com/fulmarloft/fulmarloft/internal/configpb"
	"github.com/fulmarloft/fulmarloft/internal/identity"
	"github.com/fulmarloft/fulmarloft/internal/leavingpb"
	"github.com/fulmarloft/fulmarloft/internal/operatorapi"
	"github.com/fulmarloft/fulmarloft/internal/peer"
	"github.com/fulmarloft/fulmarloft/pkg/bundle"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

const (
	gonePollMS    = 1000
	configProofMS = 30_000
)

// agreePart is the entry's part in what the entries agree on.
type agreePart struct {
	ag     *agree.Agent
	id     *identity.Identity
	pr     *peer.Peer
	checks []func(old, next *bundle.Bundle) error
}

func (ap *agreePart) current() *bundle.Bundle { return ap.ag.Bundle() }

// wireAgree makes the parts that the others build on; startAgree lets them speak once all are wired.
func (en *Entry) wireAgree() error {
	id, err := identity.New(en.st)
	if err != nil {
		return err
	}
	ap := &en.agree
	ap.id = id
	ap.pr = peer.New(en.ck, id.Server(identity.EntryUnit), id.Client(), en.mt)
	if en.srv.peerDial != nil {
		ap.pr.SetDial(en.srv.peerDial)
	}
	self := &configpb.Member{
		Name: en.st.Name(), Incarnation: en.incarnation, Zone: en.st.Zone(),
		PeerAddress: en.PeerAddress(), CallerAddress: en.CallerAddress(), AdminAddress: en.AdminAddress(),
	}
	dial := func(mb *configpb.Member) configpb.DRPCConfigClient {
		return configpb.NewDRPCConfigClient(ap.pr.ConnProved(mb.GetPeerAddress(), configProofMS))
	}
	ap.ag = agree.New(en.ck, self, en.tab, en.link.PutObject, en.link.Object, dial, en.checkBundle)
	ap.ag.SetForEach(agree.Parallel)
	ap.ag.SetLog(en.lg, en.mt)
	ap.ag.OnIncarnationEvents(func(inc string) { en.MarkLeaving(inc) }, func(string) {})
	en.fleet.operator = en.provedOperator
	operatorapi.New(ap.ag, en.provedOperator, en.lg).Routes(en.admin)
	if err := configpb.DRPCRegisterConfig(ap.pr.Mux(), ap.ag); err != nil {
		return code.Internal.Wrap(err)
	}
	return nil
}

func (en *Entry) startAgree() error {
	en.background(func(ctx context.Context) error { return en.agree.pr.Serve(ctx, en.srv.peerLs) })
	en.background(func(ctx context.Context) error { return en.agree.ag.Run(ctx, en.st.Peers()) })
	en.every(gonePollMS, "entries-gone", en.noteGone)
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

// provedOperator names the operator who sent a request; with certificates it must stand in the bundle, so that taking an operator out of it shuts out a leaked certificate too.
func (en *Entry) provedOperator(rq *http.Request) (string, error) {
	name, err := en.agree.id.Operator(rq)
	bd := en.Bundle()
	if err != nil || bd == nil || en.agree.id.Plain() {
		return name, err
	}
	for _, op := range bd.Operators() {
		if op.Name() == name {
			return name, nil
		}
	}
	return name, code.Forbidden.New("operator %q isn't in version %d", name, bd.Version())
}

// noteGone tells the other entries which of their former number the platform lists as ended for good.
func (en *Entry) noteGone(context.Context) error {
	for _, group := range en.agree.ag.Voter().Roster().Groups() {
		for _, inc := range group {
			if en.gone(inc) {
				en.agree.ag.AnnounceGone(inc)
			}
		}
	}
	return nil
}

// AddCheck adds a check of each proposed bundle against the running fleet; old is nil for the first.
func (en *Entry) AddCheck(check func(old, next *bundle.Bundle) error) {
	en.agree.checks = append(en.agree.checks, check)
}

func (en *Entry) checkBundle(old, next *bundle.Bundle) error {
	for _, check := range en.agree.checks {
		if err := check(old, next); err != nil {
			return err
		}
	}
	return nil
}

// tellLeaving passes on to the other entries which VMs are leaving.
func (en *Entry) tellLeaving(news []*leavingpb.Leaving) {
	for _, lv := range news {
		en.agree.ag.AnnounceLeaving(lv.GetIncarnation())
	}
}

// keyed returns an error while this entry can't know that its version is the newest.
func (en *Entry) keyed() error {
	if !en.agree.ag.AllowsKeyedWork() {
		return code.KeyedWorkPaused.New("the configuration lease has lapsed")
	}
	return nil
}

// authenticate returns the team of a secret.
func (en *Entry) authenticate(secret string) (string, error) {
	return en.agree.ag.Authenticate(secret)
}

// peerConn returns the drpc connection to the entry at an address.
func (en *Entry) peerConn(address string) drpc.Conn { return en.agree.pr.Conn(address) }

// provedListener lets in operators and entries with their certificates only, or anyone in plain mode on loopback.
func (en *Entry) provedListener(ls net.Listener) net.Listener {
	conf := en.agree.id.Server(identity.OperatorUnit, identity.EntryUnit)
	if conf == nil {
		return ls
	}
	return tls.NewListener(ls, conf)
}
