package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/observability/metric"
	"github.com/fulmarloft/fulmarloft/internal/request/progress"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Peer pools connections to other entries and serves connections from them; it is safe for concurrent use.
type Peer struct {
	ck     *clock.Clock
	server *tls.Config
	client *tls.Config
	rg     *metric.Registry
	mux    *drpcmux.Mux
	// maxMessageBytes bounds the messages that are received, 0 for the default of drpc.
	maxMessageBytes int
	dial            func(ctx context.Context, address string) (net.Conn, error)

	mu   sync.Mutex
	idle map[string][]*conn
}

// conn is a pooled connection with the times at which it last answered and was opened.
type conn struct {
	cn         *drpcconn.Conn
	counting   *countingConn
	answeredMS int64
	openedMS   int64
}

const (
	defaultIdleTimeoutMS = 3000
	maxConnAgeMS         = 300_000
	maxIdleConns         = 4
	dialTimeoutMS        = 1000
	handshakeTimeoutMS   = 2000

	acceptRetryMS = 50
)

// New returns a Peer that serves and dials with the two TLS configurations, which demand certificates, or without TLS where they are nil.
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

// SetMaxMessageBytes bounds the messages that Serve receives; it must be called before Serve.
func (pr *Peer) SetMaxMessageBytes(bytes int) { pr.maxMessageBytes = bytes }

// Mux returns the mux on which services for other entries must be registered before Serve is called.
func (pr *Peer) Mux() *drpcmux.Mux { return pr.mux }

// Serve serves other entries on the listener until the context ends; a connection without a TLS handshake within handshakeTimeoutMS is closed.
func (pr *Peer) Serve(ctx context.Context, ls net.Listener) error {
	var conns sync.WaitGroup
	defer conns.Wait()
	stop := context.AfterFunc(ctx, func() { _ = ls.Close() })
	defer stop()
	reader := drpcwire.ReaderOptions{MaximumBufferSize: pr.maxMessageBytes}
	sv := drpcserver.NewWithOptions(pr.mux, drpcserver.Options{Manager: drpcmanager.Options{Reader: reader}})
	for {
		raw, err := ls.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			pr.rg.Count(1, "peer", "accepts-failed")
			if pr.ck.Sleep(ctx, acceptRetryMS) != nil {
				return nil
			}
			continue
		}
		conns.Go(func() { pr.serveOne(ctx, sv, &countingConn{Conn: raw, rg: pr.rg}) })
	}
}

func (pr *Peer) serveOne(ctx context.Context, sv *drpcserver.Server, raw net.Conn) {
	defer func() { _ = raw.Close() }()
	if pr.server != nil {
		tc := tls.Server(raw, pr.server)
		hctx, cancel := pr.ck.WithTimeout(ctx, handshakeTimeoutMS)
		err := tc.HandshakeContext(hctx)
		cancel()
		if err != nil {
			pr.rg.Count(1, "peer", "strangers-refused")
			return
		}
		raw = tc
	}
	_ = sv.ServeOne(ctx, raw)
}

// Conn returns a connection to the entry at an address; each call reuses an idle connection that answered recently, or dials a new one.
func (pr *Peer) Conn(address string) drpc.Conn {
	return pr.ConnWithIdleTimeout(address, defaultIdleTimeoutMS)
}

// ConnWithIdleTimeout is like Conn, but reuses any connection that answered within idleTimeoutMS; a long timeout suits only calls that may be lost, since an older connection is more likely to be dead.
func (pr *Peer) ConnWithIdleTimeout(address string, idleTimeoutMS int64) drpc.Conn {
	return &pooledConn{pr: pr, address: address, idleTimeoutMS: idleTimeoutMS, done: make(chan struct{})}
}

// CloseIdle closes the idle connections to an address.
func (pr *Peer) CloseIdle(address string) {
	pr.mu.Lock()
	list := pr.idle[address]
	delete(pr.idle, address)
	pr.mu.Unlock()
	for _, cn := range list {
		_ = cn.cn.Close()
	}
}

// acquire returns an idle connection that answered within idleTimeoutMS, or a new one.
func (pr *Peer) acquire(ctx context.Context, address string, idleTimeoutMS int64) (*conn, error) {
	now := pr.ck.Now()
	pr.mu.Lock()
	list := pr.idle[address]
	for len(list) > 0 {
		cn := list[len(list)-1]
		list = list[:len(list)-1]
		pr.idle[address] = list
		if now-cn.answeredMS < idleTimeoutMS && now-cn.openedMS < maxConnAgeMS && !cn.closed() {
			pr.mu.Unlock()
			return cn, nil
		}
		go func() { _ = cn.cn.Close() }()
	}
	pr.mu.Unlock()
	return pr.open(ctx, address)
}

func (pr *Peer) open(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := pr.ck.WithTimeout(ctx, dialTimeoutMS)
	defer cancel()
	raw, err := pr.dial(ctx, address)
	if err != nil {
		return nil, code.PeerUnreachable.Wrap(err)
	}
	pr.rg.Count(1, "peer", "dials")
	counting := &countingConn{Conn: raw, rg: pr.rg}
	raw = counting
	if pr.client != nil {
		tc := tls.Client(raw, pr.client)
		if err := tc.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, code.PeerUnreachable.New("TLS handshake with %s: %w", address, err)
		}
		raw = tc
	}
	now := pr.ck.Now()
	return &conn{cn: drpcconn.New(raw), counting: counting, answeredMS: now, openedMS: now}, nil
}

// release returns a connection that answered to the pool; after a call without an answer, it closes the connection and all idle ones to the address, which are probably dead too.
func (pr *Peer) release(address string, cn *conn, answered bool) {
	if !answered {
		_ = cn.cn.Close()
		pr.CloseIdle(address)
		pr.rg.Count(1, "peer", "retired")
		return
	}
	cn.answeredMS = pr.ck.Now()
	pr.mu.Lock()
	if len(pr.idle[address]) < maxIdleConns {
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

// pooledConn is a drpc.Conn to one address that takes a pooled connection for each call.
type pooledConn struct {
	pr            *Peer
	address       string
	idleTimeoutMS int64
	done          chan struct{}
}

// Close does nothing; the connections belong to the Peer.
func (pc *pooledConn) Close() error { return nil }

// Closed returns a channel that is never closed, since a pooledConn outlives its connections.
func (pc *pooledConn) Closed() <-chan struct{} { return pc.done }

// Unblocked returns a closed channel, since each call has its own connection.
func (pc *pooledConn) Unblocked() <-chan struct{} {
	ch := make(chan struct{})
	close(ch)
	return ch
}

// Invoke makes one call, whose transferred bytes are reported through progress. A call without an answer closes the connection and all idle ones to the address, and returns PeerUnreachable; an error returned by the other entry is passed on unchanged.
func (pc *pooledConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	cn, err := pc.pr.acquire(ctx, pc.address, pc.idleTimeoutMS)
	if err != nil {
		return err
	}
	cn.counting.call.Store(&ctx)
	err = cn.cn.Invoke(ctx, rpc, enc, in, out)
	cn.counting.call.Store(nil)
	answered := err == nil || (ctx.Err() == nil && !cn.closed())
	pc.pr.release(pc.address, cn, answered)
	if !answered {
		return code.PeerUnreachable.New("call %s to %s: %w", rpc, pc.address, err)
	}
	return err
}

// NewStream opens a stream over a new connection, which is closed when the stream's context ends.
func (pc *pooledConn) NewStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	cn, err := pc.pr.open(ctx, pc.address)
	if err != nil {
		return nil, err
	}
	sm, err := cn.cn.NewStream(ctx, rpc, enc)
	if err != nil {
		_ = cn.cn.Close()
		return nil, code.PeerUnreachable.New("call %s to %s: %w", rpc, pc.address, err)
	}
	context.AfterFunc(sm.Context(), func() { _ = cn.cn.Close() })
	return sm, nil
}

// countingConn counts the bytes sent and received, and reports them to those who follow the call under way.
type countingConn struct {
	net.Conn
	rg *metric.Registry
	// call is the context of the call under way, nil if there is none.
	call atomic.Pointer[context.Context]
}

func (cc *countingConn) report(bytes int) {
	if ctx := cc.call.Load(); ctx != nil && bytes > 0 {
		progress.Report(*ctx, bytes)
	}
}

// Read reads and counts the bytes read.
func (cc *countingConn) Read(buf []byte) (int, error) {
	cnt, err := cc.Conn.Read(buf)
	cc.rg.Count(int64(cnt), "peer", "bytes-received")
	cc.report(cnt)
	return cnt, err
}

// Write writes and counts the bytes written.
func (cc *countingConn) Write(buf []byte) (int, error) {
	cnt, err := cc.Conn.Write(buf)
	cc.rg.Count(int64(cnt), "peer", "bytes-sent")
	cc.report(cnt)
	return cnt, err
}
