package connguard

import (
	"net"
	"time"
)

// phase says what a connection is used for.
type phase int

const (
	// receiving: a request is awaited on a new connection, or isn't whole yet.
	receiving phase = iota
	// working: a request is whole and isn't answered yet.
	working
	// answering: the answer is being sent, and the rest of the request discarded.
	answering
	// idle: the last request was answered, and the next hasn't begun.
	idle
)

// conn is a connection that counts what it receives; its fields belong to the guard's lock.
type conn struct {
	net.Conn
	gd    *Guard
	phase phase
	// sinceMS is when the phase began; without HTTP, when bytes came last.
	sinceMS int64
	// receivedBytes is what came of the present request, heldBytes what it holds besides.
	receivedBytes, heldBytes int64
	// deliveredBytes is what the handler has read of the body, overheadBytes what was received besides, beyond the free bytes.
	deliveredBytes, overheadBytes int64
	// wait is how long the next read waits; it belongs to the reader.
	wait time.Duration
}

// begin begins a phase, unless it is under way.
func (cn *conn) begin(ph phase, nowMS int64) {
	if cn.phase != ph {
		cn.phase, cn.sinceMS = ph, nowMS
	}
}

// awaitsClient reports whether the client is to go on: to send the rest of its request or to read the answer.
func (cn *conn) awaitsClient() bool { return cn.phase == receiving || cn.phase == answering }

// counted returns the received bytes beyond the free ones.
func (cn *conn) counted() int64 { return max(cn.receivedBytes-cn.gd.limits.FreeBytes, 0) }

// newOverhead returns by how much the bytes that were received besides the body have grown since the last call.
func (cn *conn) newOverhead() int64 {
	before := cn.overheadBytes
	cn.overheadBytes = max(before, cn.counted()-cn.deliveredBytes)
	return cn.overheadBytes - before
}

// cost returns what the connection has cost so far: what it holds, an empty one included, times how long it has held it.
func (cn *conn) cost(nowMS int64) int64 {
	return (cn.receivedBytes + cn.gd.limits.FreeBytes + 1) * (nowMS - cn.sinceMS + 1)
}

func (cn *conn) Read(buf []byte) (int, error) {
	time.Sleep(cn.wait)
	count, err := cn.Conn.Read(buf)
	cn.wait = 0
	if count > 0 {
		cn.wait = cn.gd.count(cn, int64(count))
	}
	return count, err
}

// Close closes the connection and takes it out of the count.
func (cn *conn) Close() error {
	cn.gd.remove(cn)
	return cn.Conn.Close()
}

// listener accepts connections as far as there is room.
type listener struct {
	net.Listener
	gd *Guard
}

func (ls *listener) Accept() (net.Conn, error) {
	for {
		raw, err := ls.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if cn := ls.gd.add(raw); cn != nil {
			return cn, nil
		}
	}
}
