package connguard_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/request/connguard"
)

// rawConn is a connection whose client sends whatever is read.
type rawConn struct {
	net.Conn
	closed bool
}

func (rc *rawConn) Read(buf []byte) (int, error) {
	if rc.closed {
		return 0, net.ErrClosed
	}
	return len(buf), nil
}

func (rc *rawConn) Close() error {
	rc.closed = true
	return nil
}

// rawListener accepts the connections put into it.
type rawListener struct {
	net.Listener
	conns []net.Conn
}

func (rl *rawListener) Accept() (net.Conn, error) {
	if len(rl.conns) == 0 {
		return nil, errors.New("no connection left")
	}
	cn := rl.conns[0]
	rl.conns = rl.conns[1:]
	return cn, nil
}

// bench drives a guard without a network.
type bench struct {
	t       *testing.T
	ck      *clock.Clock
	gd      *connguard.Guard
	sv      *http.Server
	rl      *rawListener
	reasons []connguard.Reason
}

const (
	maxConns  = 3
	maxBytes  = 1000
	freeBytes = 100
)

func newBench(t *testing.T, limits connguard.Limits) *bench {
	bn := &bench{t: t, ck: clock.NewFake(1000), rl: &rawListener{}, sv: &http.Server{Handler: http.NotFoundHandler()}}
	bn.gd = connguard.New(bn.ck, limits)
	bn.gd.OnClose = func(why connguard.Reason) { bn.reasons = append(bn.reasons, why) }
	bn.gd.Attach(bn.sv)
	return bn
}

func httpLimits() connguard.Limits {
	return connguard.Limits{Conns: maxConns, HeldBytes: maxBytes, FreeBytes: freeBytes}
}

// accept opens a connection, which the guard may refuse.
func (bn *bench) accept() (raw *rawConn, cn net.Conn) {
	raw = &rawConn{}
	bn.rl.conns = append(bn.rl.conns, raw)
	cn, err := bn.gd.Listen(bn.rl).Accept()
	if err != nil {
		return raw, nil
	}
	bn.sv.ConnState(cn, http.StateNew)
	return raw, cn
}

// receive lets a connection receive bytes of a request.
func (bn *bench) receive(cn net.Conn, bytes int) error {
	_, err := cn.Read(make([]byte, bytes))
	return err
}

func (bn *bench) contextOf(cn net.Conn) context.Context {
	return bn.sv.ConnContext(context.Background(), cn)
}

// work lets the request on a connection be received whole.
func (bn *bench) work(cn net.Conn) {
	bn.sv.ConnState(cn, http.StateActive)
	connguard.RequestReceived(bn.contextOf(cn))
}

func TestConnectionThatWaitsForItsClientGivesWayToANewOne(t *testing.T) {
	bn := newBench(t, httpLimits())
	stalled, cn := bn.accept()
	qt.Assert(t, bn.receive(cn, 10), qt.IsNil)
	bn.ck.Advance(2000)
	idle, cn := bn.accept()
	bn.work(cn)
	bn.sv.ConnState(cn, http.StateIdle)
	busy, cn := bn.accept()
	bn.work(cn)
	_, cn = bn.accept()
	qt.Check(t, stalled.closed, qt.IsTrue)
	bn.work(cn)
	_, cn = bn.accept()
	qt.Check(t, idle.closed, qt.IsTrue)
	bn.work(cn)
	refused, cn := bn.accept()
	qt.Check(t, cn, qt.IsNil)
	qt.Check(t, refused.closed, qt.IsTrue)
	qt.Check(t, busy.closed, qt.IsFalse)
	qt.Check(t, bn.gd.Conns(), qt.Equals, maxConns)
	qt.Check(t, bn.reasons, qt.DeepEquals, []connguard.Reason{connguard.ConnsExhausted, connguard.ConnsExhausted, connguard.ConnsExhausted})
}

func TestConnectionWhoseAnswerIsNotReadGivesWayToANewOne(t *testing.T) {
	bn := newBench(t, httpLimits())
	unread, cn := bn.accept()
	rq := httptest.NewRequestWithContext(bn.contextOf(cn), http.MethodGet, "/", http.NoBody)
	bn.sv.Handler.ServeHTTP(httptest.NewRecorder(), rq)
	bn.ck.Advance(2000)
	for range maxConns {
		_, cn = bn.accept()
		bn.work(cn)
	}
	qt.Check(t, unread.closed, qt.IsTrue)
}

func TestRequestThatHoldsTheMostForTheLongestIsClosedFirst(t *testing.T) {
	for _, tc := range []struct {
		name                  string
		oldBytes, recentBytes int
		// pauseMS is how much later the recent request begins.
		pauseMS   int64
		oldCloses bool
	}{
		{"both large, one stalled", 700, 700, 5000, true},
		{"one stalled with less", 400, 900, 5000, true},
		{"one larger at the same time", 400, 900, 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			bn := newBench(t, httpLimits())
			old, oldConn := bn.accept()
			qt.Assert(t, bn.receive(oldConn, tc.oldBytes), qt.IsNil)
			bn.ck.Advance(tc.pauseMS)
			recent, recentConn := bn.accept()
			_ = bn.receive(recentConn, tc.recentBytes)
			qt.Check(t, old.closed, qt.Equals, tc.oldCloses)
			qt.Check(t, recent.closed, qt.Equals, !tc.oldCloses)
			qt.Check(t, bn.gd.HeldBytes() <= maxBytes, qt.IsTrue)
			qt.Check(t, bn.reasons, qt.DeepEquals, []connguard.Reason{connguard.BytesExhausted})
		})
	}
}

func TestSmallRequestIsServedWhileOthersHoldAllBytes(t *testing.T) {
	bn := newBench(t, httpLimits())
	_, large := bn.accept()
	qt.Assert(t, bn.receive(large, maxBytes+freeBytes), qt.IsNil)
	bn.work(large)
	small, cn := bn.accept()
	qt.Check(t, bn.receive(cn, freeBytes), qt.IsNil)
	qt.Check(t, small.closed, qt.IsFalse)
	qt.Check(t, connguard.Hold(bn.contextOf(cn), 1), qt.IsFalse)
	bn.sv.ConnState(large, http.StateIdle)
	qt.Check(t, connguard.Hold(bn.contextOf(cn), maxBytes), qt.IsTrue)
	qt.Check(t, bn.gd.HeldBytes(), qt.Equals, int64(maxBytes))
	bn.sv.ConnState(cn, http.StateClosed)
	qt.Check(t, bn.gd.HeldBytes(), qt.Equals, int64(0))
}

// Unfinished requests give way to what a whole one holds once it is decoded.
func TestUnfinishedRequestGivesWayToADecodedOne(t *testing.T) {
	bn := newBench(t, httpLimits())
	stalled, cn := bn.accept()
	qt.Assert(t, bn.receive(cn, maxBytes), qt.IsNil)
	_, cn = bn.accept()
	bn.work(cn)
	qt.Check(t, connguard.Hold(bn.contextOf(cn), maxBytes), qt.IsTrue)
	qt.Check(t, stalled.closed, qt.IsTrue)
	qt.Check(t, bn.gd.HeldBytes(), qt.Equals, int64(maxBytes))
}

// A next request on a connection that was idle counts from its first byte, not from the end of its head.
func TestNextRequestOfAnIdleConnectionIsCounted(t *testing.T) {
	bn := newBench(t, httpLimits())
	raw, cn := bn.accept()
	bn.work(cn)
	bn.sv.ConnState(cn, http.StateIdle)
	_ = bn.receive(cn, maxBytes+freeBytes+1)
	qt.Check(t, raw.closed, qt.IsTrue)
	qt.Check(t, bn.gd.HeldBytes(), qt.Equals, int64(0))
	qt.Check(t, bn.gd.Conns(), qt.Equals, 0)
}

func TestSilentConnectionWithoutHTTPGivesWayToANewOne(t *testing.T) {
	bn := newBench(t, connguard.Limits{Conns: maxConns})
	var raws []*rawConn
	var conns []net.Conn
	for range maxConns {
		raw, cn := bn.accept()
		raws, conns = append(raws, raw), append(conns, cn)
	}
	bn.ck.Advance(2000)
	qt.Assert(t, bn.receive(conns[0], 10*maxBytes), qt.IsNil)
	qt.Assert(t, bn.receive(conns[2], 1), qt.IsNil)
	bn.accept()
	qt.Check(t, raws[0].closed, qt.IsFalse)
	qt.Check(t, raws[1].closed, qt.IsTrue)
	qt.Check(t, raws[2].closed, qt.IsFalse)
}

// Guards against a count that a connection leaves behind when it is closed in any of its states.
func TestClosedConnectionLeavesNothingInTheCount(t *testing.T) {
	for _, tc := range []struct {
		name  string
		until func(bn *bench, cn net.Conn)
	}{
		{"new", func(*bench, net.Conn) {}},
		{"receiving", func(bn *bench, cn net.Conn) { _ = bn.receive(cn, 500) }},
		{"working", func(bn *bench, cn net.Conn) {
			_ = bn.receive(cn, 500)
			bn.work(cn)
			connguard.Hold(bn.contextOf(cn), 300)
		}},
		{"idle", func(bn *bench, cn net.Conn) {
			_ = bn.receive(cn, 500)
			bn.work(cn)
			bn.sv.ConnState(cn, http.StateIdle)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			bn := newBench(t, httpLimits())
			_, cn := bn.accept()
			tc.until(bn, cn)
			qt.Assert(t, cn.Close(), qt.IsNil)
			bn.sv.ConnState(cn, http.StateClosed)
			qt.Check(t, bn.gd.Conns(), qt.Equals, 0)
			qt.Check(t, bn.gd.HeldBytes(), qt.Equals, int64(0))
		})
	}
}
