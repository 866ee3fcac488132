package peer_test

import (
	"context"
	"crypto/tls"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/membership/identity"
	"github.com/fulmarloft/fulmarloft/internal/membership/peer"
	"github.com/fulmarloft/fulmarloft/internal/observability/metric"
	"github.com/fulmarloft/fulmarloft/internal/pb/configpb"
	"github.com/fulmarloft/fulmarloft/internal/request/progress"
	"github.com/fulmarloft/fulmarloft/internal/testbed/identitytest"
	"github.com/fulmarloft/fulmarloft/internal/testbed/slowlink"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// vouchServer answers every Vouch call with true.
type vouchServer struct {
	configpb.DRPCConfigUnimplementedServer
}

func (vs *vouchServer) Vouch(context.Context, *configpb.VouchRequest) (*configpb.VouchReply, error) {
	return &configpb.VouchReply{Vouched: true}, nil
}

// lossyConn silently discards written bytes while drop is set, like a middlebox that has lost the connection's state.
type lossyConn struct {
	net.Conn
	drop *atomic.Bool
}

func (lc *lossyConn) Write(buf []byte) (int, error) {
	if lc.drop.Load() {
		return len(buf), nil
	}
	return lc.Conn.Write(buf)
}

// Fetch answers with a long reply.
func (vs *vouchServer) Fetch(context.Context, *configpb.FetchRequest) (*configpb.FetchReply, error) {
	return &configpb.FetchReply{Whole: make([]byte, longReplyBytes)}, nil
}

const (
	longReplyBytes = 1_000_000
	// replyBytesPerS lets a long reply take four times the time limit.
	replyBytesPerS = 500_000
	replyTimeoutMS = 500
)

// A reply that takes long must be reported as it arrives, so that a time limit can tell it from an entry that is gone.
func TestLongReplyOverASlowLinkIsNoTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ck := clock.New()
		li := slowlink.New(ck, replyBytesPerS)
		srv := peer.New(ck, nil, nil, metric.New())
		qt.Assert(t, configpb.DRPCRegisterConfig(srv.Mux(), &vouchServer{}), qt.IsNil)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- srv.Serve(ctx, li) }()
		pr := peer.New(ck, nil, nil, metric.New())
		pr.SetDial(li.Dial)
		limited, stop := progress.WithSilenceTimeout(ctx, ck, replyTimeoutMS, replyTimeoutMS)
		rep, err := configpb.NewDRPCConfigClient(pr.Conn("entry")).Fetch(limited, &configpb.FetchRequest{})
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, len(rep.GetWhole()), qt.Equals, longReplyBytes)
		stop()
		pr.CloseIdle("entry")
		cancel()
		<-done
	})
}

func serve(t *testing.T, conf *tls.Config) string { return serveAt(t, clock.New(), conf, metric.New()) }

func serveAt(t *testing.T, ck *clock.Clock, conf *tls.Config, rg *metric.Registry) string {
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	pr := peer.New(ck, conf, nil, rg)
	qt.Assert(t, configpb.DRPCRegisterConfig(pr.Mux(), &vouchServer{}), qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- pr.Serve(ctx, ls) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return ls.Addr().String()
}

// A connection that stops answering must be replaced after one failed call, and an idle one once its idle timeout has passed, before a call is lost on it.
func TestR4UnresponsiveConnectionIsReplaced(t *testing.T) {
	addr := serve(t, nil)
	ck := clock.NewFake(0)
	rg := metric.New()
	pr := peer.New(ck, nil, nil, rg)
	drops := []*atomic.Bool{}
	pr.SetDial(func(_ context.Context, address string) (net.Conn, error) {
		cn, err := net.Dial("tcp", address)
		drops = append(drops, &atomic.Bool{})
		return &lossyConn{Conn: cn, drop: drops[len(drops)-1]}, err
	})
	cl := configpb.NewDRPCConfigClient(pr.Conn(addr))
	call := func(ctx context.Context) error {
		_, err := cl.Vouch(ctx, &configpb.VouchRequest{})
		return err
	}
	ctx := context.Background()
	qt.Assert(t, call(ctx), qt.IsNil)
	qt.Assert(t, call(ctx), qt.IsNil)
	qt.Assert(t, drops, qt.HasLen, 1)
	drops[0].Store(true)
	short, cancel := context.WithCancel(ctx)
	go cancel()
	qt.Assert(t, code.Of(call(short)), qt.Equals, code.PeerUnreachable)
	qt.Assert(t, call(ctx), qt.IsNil)
	qt.Assert(t, drops, qt.HasLen, 2)
	drops[1].Store(true)
	ck.Advance(3000)
	qt.Assert(t, call(ctx), qt.IsNil)
	qt.Assert(t, drops, qt.HasLen, 3)
	qt.Assert(t, rg.Counter("peer", "dials"), qt.Equals, int64(3))
}

// A client that connects and never starts the TLS handshake must be disconnected after the handshake timeout.
func TestS9HandshakeTimeout(t *testing.T) {
	entry := load(t, identitytest.New(t.TempDir()), identity.EntryUnit)
	ck := clock.NewFake(0)
	rg := metric.New()
	addr := serveAt(t, ck, entry.ServerConfig(identity.EntryUnit), rg)
	cn, err := net.Dial("tcp", addr)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = cn.Close() }()
	for rg.Counter("peer", "strangers-refused") == 0 {
		ck.Advance(1000)
		runtime.Gosched()
	}
	_, err = cn.Read(make([]byte, 1))
	qt.Assert(t, err, qt.IsNotNil)
}

// The peer port must accept only clients with an entry's certificate.
func TestS9PeerPortRequiresEntryCertificate(t *testing.T) {
	au := identitytest.New(t.TempDir())
	entry := load(t, au, identity.EntryUnit)
	addr := serve(t, entry.ServerConfig(identity.EntryUnit))
	for _, tc := range []struct {
		name   string
		client *tls.Config
		ok     bool
	}{
		{"entry", entry.ClientConfig(), true},
		{"operator", load(t, au, identity.OperatorUnit).ClientConfig(), false},
		{"without certificate", &tls.Config{InsecureSkipVerify: true}, false},
		{"without tls", nil, false},
	} {
		pr := peer.New(clock.New(), nil, tc.client, metric.New())
		_, err := configpb.NewDRPCConfigClient(pr.Conn(addr)).Vouch(context.Background(), &configpb.VouchRequest{})
		qt.Check(t, err == nil, qt.Equals, tc.ok, qt.Commentf("%s: %v", tc.name, err))
	}
}

func load(t *testing.T, au *identitytest.Authority, unit string) *identity.Identity {
	cert, key := au.Issue("one", unit)
	id, err := identity.Load(cert, key, au.File())
	qt.Assert(t, err, qt.IsNil)
	return id
}
