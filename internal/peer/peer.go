package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/metric"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Peer keeps connections to other entries and serves theirs; it is safe for concurrent use.
type Peer struct {
	ck     *clock.Clock
	server *tls.Config
	client *tls.Config
	rg     *metric.Registry
	mux    *drpcmux.Mux
	dial   func(ctx context.Context, address string) (net.Conn, error)

	mu   sync.Mutex
	idle map[string][]*conn
}

type conn struct {
	cn     *drpcconn.Conn
	proved int64
	born   int64
}

const (
	proofMS  = 3000
	maxAgeMS = 300_000
	maxIdle  = 4
	dialMS   = 1000
	proveMS  = 2000

	acceptPauseMS = 50
)

// New returns a peer side that demands certificates as the two configurations say, or none where they are nil.
func New(ck *clock.Clock, server, client *tls.Config, rg *metric.Registry) *Peer {
	pr := &Peer{ck: ck, server: server, client: client, rg: rg, mux: drpcmux.New(), idle: map[string][]*conn{}}
	pr.dial = func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}
	return pr
}

// SetDial replaces the function that opens connections.
func (pr *Peer) SetDial(dial func(ctx context.Context, address string) (net.Conn, error)) {
	pr.dial = dial
}

// Mux returns where services for other entries are registered; do so before Serve.
func (pr *Peer) Mux() *drpcmux.Mux { return pr.mux }

// Serve answers other entries on the listener until the context ends; a connection that doesn't prove itself in time is closed.
func (pr *Peer) Serve(ctx context.Context, ls net.Listener) error {
	var conns sync.WaitGroup
	defer conns.Wait()
	stop := context.AfterFunc(ctx, func() { _ = ls.Close() })
	defer stop()
	sv := drpcserver.New(pr.mux)
	for {
		raw, err := ls.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			if pr.ck.Sleep(ctx, acceptPauseMS) != nil {
				return nil
			}
			continue
		}
		conns.Go(func() { pr.serveOne(ctx, sv, &counted{Conn: raw, rg: pr.rg}) })
	}
}

func (pr *Peer) serveOne(ctx context.Context, sv *drpcserver.Server, raw net.Conn) {
	defer func() { _ = raw.Close() }()
	if pr.server != nil {
		tc := tls.Server(raw, pr.server)
		proof, cancel := pr.ck.WithTimeout(ctx, proveMS)
		err := tc.HandshakeContext(proof)
		cancel()
		if err != nil {
			pr.rg.Count(1, "peer", "strangers-refused")
			return
		}
		raw = tc
	}
	_ = sv.ServeOne(ctx, raw)
}

// Conn returns the way to the entry at an address; it dials on first use and whenever no connection has lately proved itself.
func (pr *Peer) Conn(address string) drpc.Conn { return pr.ConnWithIdleTimeout(address, proofMS) }

// ConnWithIdleTimeout is like Conn, but reuses any connection that answered within idleTimeoutMS; a long timeout suits only calls that may be lost, since an older connection is more likely to be dead.
func (pr *Peer) ConnWithIdleTimeout(address string, withinMS int64) drpc.Conn {
	return &route{pr: pr, address: address, withinMS: withinMS, done: make(chan struct{})}
}

// Retire closes the idle connections to an address.
func (pr *Peer) Retire(address string) {
	pr.mu.Lock()
	list := pr.idle[address]
	delete(pr.idle, address)
	pr.mu.Unlock()
	for _, cn := range list {
		_ = cn.cn.Close()
	}
}

// take returns a connection that answered lately, or a fresh one.
func (pr *Peer) take(ctx context.Context, address string, withinMS int64) (*conn, error) {
	now := pr.ck.Now()
	pr.mu.Lock()
	list := pr.idle[address]
	for len(list) > 0 {
		cn := list[len(list)-1]
		list = list[:len(list)-1]
		pr.idle[address] = list
		if now-cn.proved < withinMS && now-cn.born < maxAgeMS && !cn.closed() {
			pr.mu.Unlock()
			return cn, nil
		}
		go func() { _ = cn.cn.Close() }()
	}
	pr.mu.Unlock()
	return pr.open(ctx, address)
}

func (pr *Peer) open(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := pr.ck.WithTimeout(ctx, dialMS)
	defer cancel()
	raw, err := pr.dial(ctx, address)
	if err != nil {
		return nil, code.PeerUnreachable.Wrap(err)
	}
	pr.rg.Count(1, "peer", "dials")
	raw = &counted{Conn: raw, rg: pr.rg}
	if pr.client != nil {
		tc := tls.Client(raw, pr.client)
		if err := tc.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, code.PeerUnreachable.Wrap(err)
		}
		raw = tc
	}
	now := pr.ck.Now()
	return &conn{cn: drpcconn.New(raw), proved: now, born: now}, nil
}

// release keeps a connection that just answered; one that didn't takes its idle sisters with it.
func (pr *Peer) release(address string, cn *conn, answered bool) {
	if !answered {
		_ = cn.cn.Close()
		pr.Retire(address)
		pr.rg.Count(1, "peer", "retired")
		return
	}
	cn.proved = pr.ck.Now()
	pr.mu.Lock()
	if len(pr.idle[address]) < maxIdle {
		pr.idle[address] = append(pr.idle[address], cn)
		pr.mu.Unlock()
		return
	}
	pr.mu.Unlock()
	_ = cn.cn.Close()
}

func (cn *conn) closed() bool {
	select {
	case <-cn.cn.Closed():
		return true
	default:
		return false
	}
}

// route is the drpc connection to one address over the connections kept.
type route struct {
	pr       *Peer
	address  string
	withinMS int64
	done     chan struct{}
}

// Close does nothing; the connections belong to the Peer.
func (rt *route) Close() error { return nil }

// Closed returns a channel that is never closed, since a route outlives its connections.
func (rt *route) Closed() <-chan struct{} { return rt.done }

// Unblocked returns a closed channel, since each call has a connection of its own.
func (rt *route) Unblocked() <-chan struct{} {
	ch := make(chan struct{})
	close(ch)
	return ch
}

// Invoke makes one call; a call without an answer retires the connection and its sisters, and the other side's own error comes back as it is.
func (rt *route) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	cn, err := rt.pr.take(ctx, rt.address, rt.withinMS)
	if err != nil {
		return err
	}
	err = cn.cn.Invoke(ctx, rpc, enc, in, out)
	answered := err == nil || (ctx.Err() == nil && !cn.closed())
	rt.pr.release(rt.address, cn, answered)
	if !answered {
		return code.PeerUnreachable.Wrap(err)
	}
	return err
}

// NewStream opens a stream over a connection of its own, which closes with the stream's context.
func (rt *route) NewStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	cn, err := rt.pr.open(ctx, rt.address)
	if err != nil {
		return nil, err
	}
	sm, err := cn.cn.NewStream(ctx, rpc, enc)
	if err != nil {
		_ = cn.cn.Close()
		return nil, code.PeerUnreachable.Wrap(err)
	}
	context.AfterFunc(sm.Context(), func() { _ = cn.cn.Close() })
	return sm, nil
}

type counted struct {
	net.Conn
	rg *metric.Registry
}

// Read counts what it reads.
func (cc *counted) Read(buf []byte) (int, error) {
	cnt, err := cc.Conn.Read(buf)
	cc.rg.Count(int64(cnt), "peer", "bytes-received")
	return cnt, err
}

// Write counts what it writes.
func (cc *counted) Write(buf []byte) (int, error) {
	cnt, err := cc.Conn.Write(buf)
	cc.rg.Count(int64(cnt), "peer", "bytes-sent")
	return cnt, err
}
