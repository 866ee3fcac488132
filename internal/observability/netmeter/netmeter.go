package netmeter

import (
	"net"
	"sync/atomic"
)

// Listener adds the bytes that its connections receive to a counter.
type Listener struct {
	net.Listener
	receivedBytes *atomic.Int64
}

type conn struct {
	net.Conn
	receivedBytes *atomic.Int64
}

// New returns a listener that wraps another one and adds the bytes that its connections receive to receivedBytes.
func New(inner net.Listener, receivedBytes *atomic.Int64) *Listener {
	return &Listener{Listener: inner, receivedBytes: receivedBytes}
}

// Accept returns the next connection, with its received bytes counted.
func (ls *Listener) Accept() (net.Conn, error) {
	inner, err := ls.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: inner, receivedBytes: ls.receivedBytes}, nil
}

// Read counts the bytes that it returns.
func (cn *conn) Read(buf []byte) (int, error) {
	cnt, err := cn.Conn.Read(buf)
	cn.receivedBytes.Add(int64(cnt))
	return cnt, err
}
