package slowlink

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/fulmarloft/fulmarloft/internal/clock"
)

// Link is a listener whose connections share one rate for all that the server sends; what clients send isn't limited.
type Link struct {
	ck        *clock.Clock
	bytesPerS int64
	conns     chan net.Conn
	done      chan struct{}
	carried   atomic.Int64

	mu sync.Mutex
	// freeUS is when the link has carried all segments that were sent, in microseconds.
	freeUS int64
	// blocked is closed when the link carries data again; it is nil while it does.
	blocked chan struct{}
}

const (
	// segmentBytes is how much of a connection's data is carried before it is another one's turn.
	segmentBytes = 1460
	usPerS       = 1_000_000
	usPerMS      = 1000
)

// New returns a link that carries the given number of bytes a second.
func New(ck *clock.Clock, bytesPerS int64) *Link {
	return &Link{ck: ck, bytesPerS: bytesPerS, conns: make(chan net.Conn), done: make(chan struct{})}
}

// Dial opens a connection to the server that accepts from the link.
func (li *Link) Dial(ctx context.Context, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case li.conns <- &serverConn{Conn: far, li: li, closed: make(chan struct{})}:
		return near, nil
	case <-li.done:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept returns the server's end of the next connection.
func (li *Link) Accept() (net.Conn, error) {
	select {
	case cn := <-li.conns:
		return cn, nil
	case <-li.done:
		return nil, net.ErrClosed
	}
}

// Close ends Accept and Dial.
func (li *Link) Close() error {
	close(li.done)
	return nil
}

// Addr returns an address that nothing listens at.
func (li *Link) Addr() net.Addr { return &net.TCPAddr{} }

// CarriedBytes returns how much the server has sent so far.
func (li *Link) CarriedBytes() int64 { return li.carried.Load() }

// SetBlocked makes the link hold back what the server sends, until it is called with false.
func (li *Link) SetBlocked(blocked bool) {
	li.mu.Lock()
	defer li.mu.Unlock()
	switch {
	case blocked && li.blocked == nil:
		li.blocked = make(chan struct{})
	case !blocked && li.blocked != nil:
		close(li.blocked)
		li.blocked = nil
	}
}

// serverConn is the server's end of a connection.
type serverConn struct {
	net.Conn
	li     *Link
	once   sync.Once
	closed chan struct{}
}

// Write sends the data in segments, each in its turn.
func (sc *serverConn) Write(buf []byte) (int, error) {
	written := 0
	for written < len(buf) {
		segment := buf[written:min(written+segmentBytes, len(buf))]
		if err := sc.waitForTurn(len(segment)); err != nil {
			return written, err
		}
		count, err := sc.Conn.Write(segment)
		written += count
		sc.li.carried.Add(int64(count))
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Close closes the connection and ends a Write that waits for its turn.
func (sc *serverConn) Close() error {
	sc.once.Do(func() { close(sc.closed) })
	return sc.Conn.Close()
}

// waitForTurn waits until the link has carried the segments before and this one.
func (sc *serverConn) waitForTurn(bytes int) error {
	for {
		blocked, delayMS := sc.li.reserve(bytes)
		if blocked == nil {
			return sc.sleep(delayMS)
		}
		select {
		case <-blocked:
		case <-sc.closed:
			return net.ErrClosed
		}
	}
}

func (sc *serverConn) sleep(delayMS int64) error {
	elapsed := make(chan struct{})
	stop := sc.li.ck.AfterFunc(delayMS, func() { close(elapsed) })
	defer stop()
	select {
	case <-elapsed:
		return nil
	case <-sc.closed:
		return net.ErrClosed
	}
}

// reserve takes the link for a number of bytes and returns after how many milliseconds it has carried them, or the channel to wait for if it is blocked.
func (li *Link) reserve(bytes int) (blocked chan struct{}, delayMS int64) {
	li.mu.Lock()
	defer li.mu.Unlock()
	if li.blocked != nil {
		return li.blocked, 0
	}
	nowUS := li.ck.Now() * usPerMS
	li.freeUS = max(li.freeUS, nowUS) + int64(bytes)*usPerS/li.bytesPerS
	return nil, (li.freeUS - nowUS) / usPerMS
}
