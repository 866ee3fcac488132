package blackhole

import (
	"net"
	"sync"
	"sync/atomic"
)

// Group is a set of connections that can be made to drop all data together.
type Group struct {
	mu    sync.Mutex
	conns map[*conn]bool
}

type listener struct {
	net.Listener
	gr *Group
}

type conn struct {
	net.Conn
	gr       *Group
	dropping atomic.Bool
}

// New returns an empty group.
func New() *Group {
	return &Group{conns: map[*conn]bool{}}
}

// Listen returns a listener whose connections belong to the group.
func (gr *Group) Listen(inner net.Listener) net.Listener { return &listener{inner, gr} }

// Wrap adds a connection to the group until it is closed.
func (gr *Group) Wrap(inner net.Conn) net.Conn {
	cn := &conn{Conn: inner, gr: gr}
	gr.mu.Lock()
	defer gr.mu.Unlock()
	gr.conns[cn] = true
	return cn
}

// DropData makes all open connections drop the data of both directions from now on, and returns their number.
func (gr *Group) DropData() int {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	for cn := range gr.conns {
		cn.dropping.Store(true)
	}
	return len(gr.conns)
}

func (ls *listener) Accept() (net.Conn, error) {
	inner, err := ls.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return ls.gr.Wrap(inner), nil
}

// Read discards incoming data once the connection drops data.
func (cn *conn) Read(buf []byte) (int, error) {
	for {
		cnt, err := cn.Conn.Read(buf)
		if err != nil || !cn.dropping.Load() {
			return cnt, err
		}
	}
}

// Write discards data and reports success once the connection drops data.
func (cn *conn) Write(buf []byte) (int, error) {
	if cn.dropping.Load() {
		return len(buf), nil
	}
	return cn.Conn.Write(buf)
}

// Close closes the connection and removes it from the group.
func (cn *conn) Close() error {
	cn.gr.mu.Lock()
	delete(cn.gr.conns, cn)
	cn.gr.mu.Unlock()
	return cn.Conn.Close()
}
