package connpool

import (
	"context"
	"net"
	"sync"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/request/httpconn"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Pool holds the connections to one endpoint; it is safe for concurrent use.
type Pool struct {
	mu       sync.Mutex
	ck       *clock.Clock
	maxConns func() int
	dial     func(ctx context.Context) (net.Conn, error)
	open     int
	idle     []*httpconn.Conn
	closed   bool
}

const (
	dialTimeoutMS = 1_000
	idleTimeoutMS = 10_000
)

// New returns a pool of at most maxConns() connections, which it opens with dial.
func New(ck *clock.Clock, maxConns func() int, dial func(ctx context.Context) (net.Conn, error)) *Pool {
	return &Pool{ck: ck, maxConns: maxConns, dial: dial}
}

// Get returns the live idle connection that worked last, if that was within maxIdleMS, or else a new one.
func (pl *Pool) Get(ctx context.Context, maxIdleMS int64) (*httpconn.Conn, error) {
	if cn := pl.takeIdle(pl.ck.Now() - min(maxIdleMS, idleTimeoutMS)); cn != nil {
		return cn, nil
	}
	if err := pl.reserve(); err != nil {
		return nil, err
	}
	ctx, cancel := pl.ck.WithTimeout(ctx, dialTimeoutMS)
	defer cancel()
	nc, err := pl.dial(ctx)
	if err != nil {
		pl.decOpen()
		return nil, code.NoEndpoint.Wrap(err)
	}
	return httpconn.New(pl.ck, nc), nil
}

// Put returns a connection to the pool after an exchange, or closes it if it can't be reused.
func (pl *Pool) Put(cn *httpconn.Conn) {
	if cn.Reusable() && pl.putIdle(cn) {
		return
	}
	pl.Drop(cn)
}

// Drop closes a connection that must not be reused.
func (pl *Pool) Drop(cn *httpconn.Conn) {
	cn.Close()
	pl.decOpen()
}

// CloseIdleSince closes the idle connections that have not worked after the given time and returns their number.
func (pl *Pool) CloseIdleSince(sinceMS int64) int {
	pl.mu.Lock()
	var old []*httpconn.Conn
	kept := pl.idle[:0]
	for _, cn := range pl.idle {
		if cn.LastSuccessMS() <= sinceMS {
			old = append(old, cn)
		} else {
			kept = append(kept, cn)
		}
	}
	clear(pl.idle[len(kept):])
	pl.idle = kept
	pl.open -= len(old)
	pl.mu.Unlock()
	for _, cn := range old {
		cn.Close()
	}
	return len(old)
}

// Sweep closes connections that have reached the idle timeout and reports whether no connection is open.
func (pl *Pool) Sweep() bool {
	pl.CloseIdleSince(pl.ck.Now() - idleTimeoutMS)
	return pl.OpenConns() == 0
}

// Close closes the idle connections now and the others when they are put back.
func (pl *Pool) Close() {
	pl.mu.Lock()
	pl.closed = true
	pl.mu.Unlock()
	pl.CloseIdleSince(pl.ck.Now())
}

// OpenConns returns the number of open connections, in use or idle.
func (pl *Pool) OpenConns() int {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return pl.open
}

// takeIdle returns an idle connection that worked at the given time or later. It tries the newest first; if that one is older, all others are too.
func (pl *Pool) takeIdle(sinceMS int64) *httpconn.Conn {
	for {
		cn := pl.popNewest(sinceMS)
		if cn == nil || cn.Alive() {
			return cn
		}
		pl.Drop(cn)
	}
}

func (pl *Pool) popNewest(sinceMS int64) *httpconn.Conn {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	last := len(pl.idle) - 1
	if last < 0 || pl.idle[last].LastSuccessMS() < sinceMS {
		return nil
	}
	cn := pl.idle[last]
	pl.idle[last] = nil
	pl.idle = pl.idle[:last]
	return cn
}

func (pl *Pool) putIdle(cn *httpconn.Conn) bool {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if pl.closed {
		return false
	}
	pl.idle = append(pl.idle, cn)
	return true
}

// reserve counts one more open connection; if the pool is full, it closes the oldest idle connection or returns an error.
func (pl *Pool) reserve() error {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if pl.open >= pl.maxConns() {
		if len(pl.idle) == 0 {
			return code.NoEndpoint.New("all %d connections are in use", pl.open)
		}
		pl.idle[0].Close()
		pl.idle = pl.idle[1:]
		pl.open--
	}
	pl.open++
	return nil
}

func (pl *Pool) decOpen() {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.open--
}
