package connguard

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/fulmarloft/fulmarloft/internal/clock"
)

// Guard bounds the connections of one listener and what their requests hold; it is safe for concurrent use.
type Guard struct {
	ck     *clock.Clock
	limits Limits
	// OnClose is called after a connection was closed for want of room; it must be set before the first connection and must not block.
	OnClose func(Reason)

	mu        sync.Mutex
	conns     map[*conn]bool
	heldBytes int64
	pace      pace
}

// Limits holds the limits of a Guard.
type Limits struct {
	// Conns is the number of open connections.
	Conns int
	// HeldBytes is what all requests together may hold beyond FreeBytes each, 0 for connections that don't carry HTTP and whose bytes aren't counted.
	HeldBytes int64
	// BytesPerS is the rate at which all requests together are read beyond FreeBytes each, 0 for no limit.
	BytesPerS int64
	// FreeBytes is what a connection may receive of a request without being counted.
	FreeBytes int64
}

// Reason says for want of what a connection was closed.
type Reason string

const (
	// ConnsExhausted means that there were too many connections.
	ConnsExhausted Reason = "connections"
	// BytesExhausted means that the requests held too many bytes.
	BytesExhausted Reason = "bytes"
)

// youngMS is the age up to which an unfinished request is spared, as long as there are idle connections to close.
const youngMS = 1000

// New returns a guard without connections.
func New(ck *clock.Clock, limits Limits) *Guard {
	return &Guard{ck: ck, limits: limits, OnClose: func(Reason) {}, conns: map[*conn]bool{}, pace: pace{bytesPerS: limits.BytesPerS}}
}

// readBufferBytes is the size of the kernel's buffer for what a connection has received and the process hasn't read, which counts as its memory.
const readBufferBytes = 16 << 10

// ListenTCP listens on an address; the connections are bounded, and so is what the kernel holds for each, also before it is accepted.
func (gd *Guard) ListenTCP(ctx context.Context, address string) (net.Listener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, readBufferBytes)
		})
		return errors.Join(err, failed)
	}}
	ls, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return gd.Listen(ls), nil
}

// Listen returns a listener whose connections are bounded.
func (gd *Guard) Listen(ls net.Listener) net.Listener { return &listener{ls, gd} }

// Attach makes a server report the states of the connections that it accepts from Listen, and of their requests; it must be called before the server serves.
func (gd *Guard) Attach(sv *http.Server) {
	sv.Handler = follow(sv.Handler)
	sv.ConnState = gd.setState
	sv.ConnContext = func(ctx context.Context, cn net.Conn) context.Context {
		return context.WithValue(ctx, contextKey{}, cn)
	}
}

type contextKey struct{}

// follow returns a handler that records when the inner handler has read a request to its end, and when it has answered it.
func follow(inner http.Handler) http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		if rq.ContentLength == 0 {
			RequestReceived(rq.Context())
		}
		rq.Body = body{rq.Body, rq.Context()}
		inner.ServeHTTP(wr, rq)
		setPhase(rq.Context(), answering)
	})
}

// body is the body of a request, whose progress and end are recorded.
type body struct {
	io.ReadCloser
	ctx context.Context
}

func (bd body) Read(buf []byte) (int, error) {
	count, err := bd.ReadCloser.Read(buf)
	if cn, ok := bd.ctx.Value(contextKey{}).(*conn); ok && count > 0 {
		cn.gd.deliver(cn, int64(count))
	}
	if errors.Is(err, io.EOF) {
		RequestReceived(bd.ctx)
	}
	return count, err
}

// RequestReceived records that the request with this context was received whole, so that its connection isn't closed for want of room; reading a body to its end does so as well.
func RequestReceived(ctx context.Context) { setPhase(ctx, working) }

func setPhase(ctx context.Context, ph phase) {
	if cn, ok := ctx.Value(contextKey{}).(*conn); ok {
		cn.gd.begin(cn, ph)
	}
}

// Hold counts bytes that the request with this context holds besides those received, until its answer, and reports whether there is room for them; there is none once its connection is closed.
func Hold(ctx context.Context, bytes int64) bool {
	cn, ok := ctx.Value(contextKey{}).(*conn)
	return !ok || cn.gd.hold(cn, bytes)
}

// Conns returns the number of open connections.
func (gd *Guard) Conns() int {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	return len(gd.conns)
}

// HeldBytes returns what all requests hold beyond the free bytes.
func (gd *Guard) HeldBytes() int64 {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	return gd.heldBytes
}

// add makes room for an accepted connection and returns it as a bounded one, nil if there is no room.
func (gd *Guard) add(raw net.Conn) *conn {
	cn := &conn{Conn: raw, gd: gd, sinceMS: gd.ck.Now()}
	gd.mu.Lock()
	var victim *conn
	full := len(gd.conns) >= gd.limits.Conns
	if full {
		victim = gd.dispensable()
	}
	if victim != nil {
		gd.forget(victim)
	}
	refused := full && victim == nil
	if !refused {
		gd.conns[cn] = true
	}
	gd.mu.Unlock()
	if victim != nil {
		gd.close(victim.Conn, ConnsExhausted)
	}
	if refused {
		gd.close(raw, ConnsExhausted)
		return nil
	}
	return cn
}

// dispensable returns the connection that is closed first for want of connections: the most costly one whose client has kept the process waiting for youngMS, then the one that has been idle for the longest, then the most costly of those that wait for their clients; nil if all requests are being worked on. The caller holds the lock.
func (gd *Guard) dispensable() *conn {
	nowMS := gd.ck.Now()
	best := gd.largest(func(cn *conn) bool { return cn.awaitsClient() && nowMS-cn.sinceMS >= youngMS })
	if best == nil {
		best = gd.largest(func(cn *conn) bool { return cn.phase == idle })
	}
	if best == nil {
		best = gd.largest((*conn).awaitsClient)
	}
	return best
}

// largest returns the connection, among those that match, that has held the most for the longest; the caller holds the lock.
func (gd *Guard) largest(match func(*conn) bool) *conn {
	nowMS := gd.ck.Now()
	var best *conn
	var bestCost int64
	for cn := range gd.conns {
		if !match(cn) {
			continue
		}
		if cost := cn.cost(nowMS); best == nil || cost > bestCost {
			best, bestCost = cn, cost
		}
	}
	return best
}

// count adds received bytes of a request and closes connections until the held bytes are within their limit again: those with unfinished requests, which may include this one. It returns how long to wait before more is read.
func (gd *Guard) count(cn *conn, bytes int64) time.Duration {
	gd.mu.Lock()
	if !gd.conns[cn] {
		gd.mu.Unlock()
		return 0
	}
	if gd.limits.HeldBytes == 0 {
		cn.sinceMS = gd.ck.Now()
		gd.mu.Unlock()
		return 0
	}
	if cn.phase == idle {
		cn.begin(receiving, gd.ck.Now())
	}
	before := cn.counted()
	cn.receivedBytes += bytes
	added := cn.counted() - before
	gd.heldBytes += added
	victims := gd.makeRoom()
	wait := gd.pace.take(gd.ck.Now(), added+overheadCost*cn.newOverhead())
	gd.mu.Unlock()
	for _, victim := range victims {
		gd.close(victim.Conn, BytesExhausted)
	}
	if added == 0 {
		return 0
	}
	return wait
}

// deliver counts bytes of a body that its handler has read.
func (gd *Guard) deliver(cn *conn, bytes int64) {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	cn.deliveredBytes += bytes
}

// hold counts bytes besides the received ones if there is room for them, closing connections with unfinished requests if need be.
func (gd *Guard) hold(cn *conn, bytes int64) bool {
	gd.mu.Lock()
	if !gd.conns[cn] {
		gd.mu.Unlock()
		return false
	}
	cn.heldBytes += bytes
	gd.heldBytes += bytes
	victims := gd.makeRoom()
	fits := gd.heldBytes <= gd.limits.HeldBytes || gd.limits.HeldBytes == 0
	if !fits {
		cn.heldBytes -= bytes
		gd.heldBytes -= bytes
	}
	gd.mu.Unlock()
	for _, victim := range victims {
		gd.close(victim.Conn, BytesExhausted)
	}
	return fits
}

// makeRoom forgets connections with unfinished requests until the held bytes are within their limit, and returns them; the caller holds the lock.
func (gd *Guard) makeRoom() []*conn {
	var victims []*conn
	for gd.limits.HeldBytes > 0 && gd.heldBytes > gd.limits.HeldBytes {
		victim := gd.largest(func(cn *conn) bool { return cn.awaitsClient() && cn.counted() > 0 })
		if victim == nil {
			break
		}
		gd.forget(victim)
		victims = append(victims, victim)
	}
	return victims
}

// forget takes a connection and what it holds out of the count; the caller holds the lock.
func (gd *Guard) forget(cn *conn) {
	if !gd.conns[cn] {
		return
	}
	delete(gd.conns, cn)
	gd.heldBytes -= cn.counted() + cn.heldBytes
}

// close closes a connection for want of room; what it holds is freed once its handler notices.
func (gd *Guard) close(raw net.Conn, why Reason) {
	_ = raw.Close()
	gd.OnClose(why)
}

func (gd *Guard) begin(cn *conn, ph phase) {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	cn.begin(ph, gd.ck.Now())
}

// setState follows the state of an HTTP connection.
func (gd *Guard) setState(raw net.Conn, st http.ConnState) {
	cn, ok := raw.(*conn)
	if !ok {
		return
	}
	gd.mu.Lock()
	defer gd.mu.Unlock()
	switch st {
	case http.StateActive:
		cn.begin(receiving, gd.ck.Now())
	case http.StateIdle:
		if gd.conns[cn] {
			gd.heldBytes -= cn.counted() + cn.heldBytes
		}
		cn.receivedBytes, cn.heldBytes, cn.deliveredBytes, cn.overheadBytes = 0, 0, 0, 0
		cn.begin(idle, gd.ck.Now())
	case http.StateClosed, http.StateHijacked:
		gd.forget(cn)
	case http.StateNew:
	}
}

func (gd *Guard) remove(cn *conn) {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	gd.forget(cn)
}
