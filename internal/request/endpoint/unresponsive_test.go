package endpoint_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/request/endpoint"
	"github.com/fulmarloft/fulmarloft/internal/request/outcome"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// blackhole makes the connections up to the number upTo unresponsive: they accept requests and never answer.
type blackhole struct {
	upTo      atomic.Int64
	swallowed chan struct{}
}

func newBlackholePeer(t *testing.T) (*peer, *blackhole) {
	bh := &blackhole{swallowed: make(chan struct{}, 100)}
	pr := newPeer(t, func(pr *peer, conn int, nc net.Conn, br *bufio.Reader) {
		for rq := pr.read(br); rq != nil; rq = pr.read(br) {
			if int64(conn) <= bh.upTo.Load() {
				bh.swallowed <- struct{}{}
				continue
			}
			_, _ = fmt.Fprintf(nc, completeResponse, rq.Header.Get("fulmarloft-request-id"))
		}
	})
	return pr, bh
}

// warm opens up to count connections by starting that many exchanges at the same time.
func warm(t *testing.T, ck *clock.Clock, ex *endpoint.Exchanger, pr *peer, count int) {
	hold := make(chan struct{})
	ready := make(chan struct{}, count)
	done := make(chan bool, count)
	for i := range count {
		go func() {
			req := request(fmt.Sprint("warm-", i))
			ready <- struct{}{}
			<-hold
			_, at := do(ex, pr, req)
			done <- at.Answered()
		}()
	}
	for range count {
		<-ready
	}
	close(hold)
	for range count {
		qt.Assert(t, <-done, qt.IsTrue)
	}
	qt.Assert(t, ck.Now(), qt.Equals, int64(0))
}

// A non-idempotent request can't be repeated when its connection turns out dead, so it must not use a connection whose last success is more than a second ago.
func TestNonIdempotentRequestAvoidsStaleConnections(t *testing.T) {
	ck := clock.NewFake(0)
	pr, bh := newBlackholePeer(t)
	ex := newExchanger(ck)
	warm(t, ck, ex, pr, 1)
	bh.upTo.Store(1)
	ck.Advance(1001)
	_, at := do(ex, pr, request("2"))
	qt.Assert(t, at.Answered(), qt.IsTrue)
	qt.Assert(t, bh.swallowed, qt.HasLen, 0)
	_, conns := pr.count("2")
	qt.Assert(t, conns, qt.Equals, 2)
}

// When one connection to an endpoint is unresponsive, the idle ones to it must be closed, so that the next request opens a new one.
func TestUnresponsiveConnectionClosesIdleOnes(t *testing.T) {
	ck := clock.NewFake(0)
	pr, bh := newBlackholePeer(t)
	ex := newExchanger(ck)
	warm(t, ck, ex, pr, connCount)
	_, before := pr.count("")
	bh.upTo.Store(int64(before))
	open := ex.OpenConns(pr.address())
	req := request("2")
	req.Idempotent = true
	at := outcome.New()
	ctx, cancel := ck.WithTimeout(context.Background(), 500)
	defer cancel()
	done := make(chan struct{})
	go func() {
		ex.Do(ctx, pr.address(), req, maxAnswer, at, always)
		close(done)
	}()
	<-bh.swallowed
	qt.Assert(t, ex.ReportUnresponsive(pr.address(), 0), qt.Equals, open-1)
	ck.Advance(500)
	<-done
	qt.Assert(t, at.Code(), qt.Equals, code.AnswerTimeout)
	qt.Assert(t, at.Unknown(), qt.IsTrue)
	qt.Assert(t, ex.OpenConns(pr.address()), qt.Equals, 0)
	_, at = do(ex, pr, request("3"))
	qt.Assert(t, at.Answered(), qt.IsTrue)
}

func TestIdleConnectionsAreClosedAndBounded(t *testing.T) {
	ck := clock.NewFake(0)
	pr, _ := newBlackholePeer(t)
	ex := newExchanger(ck)
	warm(t, ck, ex, pr, connCount)
	qt.Assert(t, ex.OpenConns(pr.address()) <= connCount, qt.IsTrue, qt.Commentf("%d open connections, at most %d allowed", ex.OpenConns(pr.address()), connCount))
	ck.Advance(9_999)
	ex.Sweep()
	qt.Assert(t, ex.OpenConns(pr.address()) > 0, qt.IsTrue)
	ck.Advance(1)
	ex.Sweep()
	qt.Assert(t, ex.OpenConns(pr.address()), qt.Equals, 0)
}

func TestConnectionClosedWhileIdleIsNotUsed(t *testing.T) {
	closed := make(chan struct{})
	pr := newPeer(t, func(pr *peer, conn int, nc net.Conn, br *bufio.Reader) {
		for rq := pr.read(br); rq != nil; rq = pr.read(br) {
			_, _ = fmt.Fprintf(nc, completeResponse, rq.Header.Get("fulmarloft-request-id"))
			if conn == 1 {
				_ = nc.Close()
				close(closed)
				return
			}
		}
	})
	ex := newExchanger(clock.NewFake(0))
	_, at := do(ex, pr, request("1"))
	qt.Assert(t, at.Answered(), qt.IsTrue)
	<-closed
	_, at = do(ex, pr, request("2"))
	qt.Assert(t, at.Answered(), qt.IsTrue)
	runs, conns := pr.count("2")
	qt.Assert(t, runs, qt.Equals, 1)
	qt.Assert(t, conns, qt.Equals, 2)
}
