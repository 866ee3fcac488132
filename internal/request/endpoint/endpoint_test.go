package endpoint_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/pb/callpb"
	"github.com/fulmarloft/fulmarloft/internal/request/endpoint"
	"github.com/fulmarloft/fulmarloft/internal/request/outcome"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

const (
	maxAnswer        = 1000
	connCount        = 8
	completeResponse = "HTTP/1.1 200 OK\r\nFulmarloft-Request-Id: %s\r\nContent-Length: 2\r\n\r\nok"
)

// peer is a TCP server; the drive function of the test handles each of its connections.
type peer struct {
	ls    net.Listener
	mu    sync.Mutex
	seen  map[string]int
	conns int
}

func newPeer(t *testing.T, drive func(pr *peer, conn int, nc net.Conn, br *bufio.Reader)) *peer {
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = ls.Close() })
	pr := &peer{ls: ls, seen: map[string]int{}}
	go func() {
		for {
			nc, err := ls.Accept()
			if err != nil {
				return
			}
			pr.mu.Lock()
			pr.conns++
			conn := pr.conns
			pr.mu.Unlock()
			go drive(pr, conn, nc, bufio.NewReader(nc))
		}
	}()
	return pr
}

func (pr *peer) address() string { return pr.ls.Addr().String() }

// read returns the next request and counts it by id, or returns nil when the connection has ended.
func (pr *peer) read(br *bufio.Reader) *http.Request {
	rq, err := http.ReadRequest(br)
	if err != nil {
		return nil
	}
	_, _ = io.Copy(io.Discard, rq.Body)
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.seen[rq.Header.Get("fulmarloft-request-id")]++
	return rq
}

func (pr *peer) count(id string) (runs, conns int) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.seen[id], pr.conns
}

func request(id string) *callpb.Request {
	return &callpb.Request{Id: id, Method: http.MethodPost, Path: "a%2Fb?c=d", Body: []byte("body"), LeftMs: 5000, Service: "svc", Team: "team"}
}

func always() error { return nil }

func do(ex *endpoint.Exchanger, pr *peer, req *callpb.Request) (*callpb.Answer, *outcome.Attempt) {
	at := outcome.New()
	return ex.Do(context.Background(), pr.address(), req, maxAnswer, at, always), at
}

func newExchanger(ck *clock.Clock) *endpoint.Exchanger {
	return endpoint.New(ck, func() int { return connCount })
}

// A response that is cut short, malformed, too large or meant for another request must leave the outcome unknown, its connection must not be reused, and the request must be sent only once.
func TestOnlyCompleteResponsesAreAccepted(t *testing.T) {
	for _, tc := range []struct {
		name, answer string
		outcome      string
		cd           code.Code
		reused       bool
	}{
		{"complete by length", completeResponse, "answered", code.OK, true},
		{"complete by chunks", "HTTP/1.1 200 OK\r\nFulmarloft-Request-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "answered", code.OK, true},
		{"after an informational response", "HTTP/1.1 103 Early Hints\r\n\r\n" + completeResponse, "answered", code.OK, true},
		{"error status", "HTTP/1.1 500 No\r\nFulmarloft-Request-Id: %s\r\nContent-Length: 2\r\n\r\nno", "answered", code.EndpointStatus, true},
		{"asks to close", "HTTP/1.1 200 OK\r\nFulmarloft-Request-Id: %s\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", "answered", code.OK, false},
		{"extra bytes after the response", completeResponse + "HTTP/1.1 200 OK\r\n", "answered", code.OK, false},
		{"says that it was not started", "HTTP/1.1 503 Busy\r\nFulmarloft-Request-Id: %s\r\nFulmarloft-Not-Started: 1\r\nContent-Length: 0\r\n\r\n", "not-run", code.EndpointRefused, true},
		{"not started, with the id of another request", "HTTP/1.1 503 Busy\r\nFulmarloft-Request-Id: x%s\r\nFulmarloft-Not-Started: 1\r\nContent-Length: 0\r\n\r\n", "unknown", code.AnswerBroken, false},
		{"503 without the not-started header", "HTTP/1.1 503 Busy\r\nFulmarloft-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", "answered", code.EndpointStatus, true},
		{"ends inside the header", "HTTP/1.1 200 OK\r\nFulmarloft-Request-Id: %s\r\nCont", "unknown", code.AnswerBroken, false},
		{"ends before the first byte", "", "unknown", code.MayHaveRun, false},
		{"ends before its length", "HTTP/1.1 200 OK\r\nFulmarloft-Request-Id: %s\r\nContent-Length: 3\r\n\r\nok", "unknown", code.AnswerBroken, false},
		{"ends inside a chunk", "HTTP/1.1 200 OK\r\nFulmarloft-Request-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nok", "unknown", code.AnswerBroken, false},
		{"ends before the final chunk", "HTTP/1.1 200 OK\r\nFulmarloft-Request-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", "unknown", code.AnswerBroken, false},
		{"neither length nor chunks", "HTTP/1.1 200 OK\r\nFulmarloft-Request-Id: %s\r\n\r\nok", "unknown", code.AnswerBroken, false},
		{"id of another request", "HTTP/1.1 200 OK\r\nFulmarloft-Request-Id: x%s\r\nContent-Length: 2\r\n\r\nok", "unknown", code.AnswerBroken, false},
		{"no request id", "HTTP/1.1 200 OK\r\nX: %s\r\nContent-Length: 2\r\n\r\nok", "unknown", code.AnswerBroken, false},
		{"not HTTP", "hello %s\r\n\r\n", "unknown", code.AnswerBroken, false},
		{"switches the protocol", "HTTP/1.1 101 Other\r\nFulmarloft-Request-Id: %s\r\n\r\n", "unknown", code.AnswerBroken, false},
		{"too large by length", "HTTP/1.1 200 OK\r\nFulmarloft-Request-Id: %s\r\nContent-Length: 1001\r\n\r\n", "unknown", code.AnswerTooLarge, false},
		{"too large by chunks", "HTTP/1.1 200 OK\r\nFulmarloft-Request-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n3E9\r\n" + strings.Repeat("x", 1001) + "\r\n0\r\n\r\n", "unknown", code.AnswerTooLarge, false},
		{"header too large", "HTTP/1.1 200 OK\r\nFulmarloft-Request-Id: %s\r\nX: " + strings.Repeat("x", 70<<10), "unknown", code.AnswerTooLarge, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ck := clock.NewFake(0)
			pr := newPeer(t, func(pr *peer, conn int, nc net.Conn, br *bufio.Reader) {
				defer func() { _ = nc.Close() }()
				for rq := pr.read(br); rq != nil; rq = pr.read(br) {
					id := rq.Header.Get("fulmarloft-request-id")
					if id == "2" {
						_, _ = fmt.Fprintf(nc, completeResponse, id)
						continue
					}
					if tc.answer != "" {
						_, _ = fmt.Fprintf(nc, tc.answer, id)
					}
					if conn == 1 && tc.outcome == "unknown" {
						return
					}
				}
			})
			ex := newExchanger(ck)
			ans, at := do(ex, pr, request("1"))
			qt.Assert(t, at.String(), qt.Equals, tc.outcome)
			qt.Assert(t, at.Code(), qt.Equals, tc.cd)
			qt.Assert(t, ans != nil, qt.Equals, tc.outcome == "answered")
			ans, _ = do(ex, pr, request("2"))
			qt.Assert(t, string(ans.GetBody()), qt.Equals, "ok")
			runs, conns := pr.count("1")
			qt.Assert(t, runs, qt.Equals, 1)
			qt.Assert(t, conns == 1, qt.Equals, tc.reused)
		})
	}
}

// Guards against a silent retry by the HTTP library when a reused connection breaks: the request may have run, also if its method or headers count as idempotent in HTTP.
func TestSentOnceOnAConnectionThatBreaks(t *testing.T) {
	for _, tc := range []struct {
		name string
		req  *callpb.Request
	}{
		{"POST", request("2")},
		{"GET without a body", &callpb.Request{Id: "2", Method: http.MethodGet, LeftMs: 5000}},
		{"with an idempotency key", &callpb.Request{Id: "2", Method: http.MethodPost, LeftMs: 5000, Headers: []*callpb.Header{{Name: "Idempotency-Key", Value: "k"}}}},
		{"idempotent service", &callpb.Request{Id: "2", Method: http.MethodGet, LeftMs: 5000, Idempotent: true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			pr := newPeer(t, func(pr *peer, _ int, nc net.Conn, br *bufio.Reader) {
				defer func() { _ = nc.Close() }()
				for rq := pr.read(br); rq != nil; rq = pr.read(br) {
					if rq.Header.Get("fulmarloft-request-id") == "2" {
						return
					}
					_, _ = fmt.Fprintf(nc, completeResponse, "1")
				}
			})
			ex := newExchanger(clock.NewFake(0))
			_, at := do(ex, pr, request("1"))
			qt.Assert(t, at.Answered(), qt.IsTrue)
			_, at = do(ex, pr, tc.req)
			qt.Assert(t, at.Unknown(), qt.IsTrue)
			qt.Assert(t, at.Code(), qt.Equals, code.MayHaveRun)
			runs, conns := pr.count("2")
			qt.Assert(t, runs, qt.Equals, 1)
			qt.Assert(t, conns, qt.Equals, 1)
		})
	}
}

// An attempt must count as possibly run before the endpoint can read any of it.
func TestMarkedAsSentBeforeTheFirstByteLeaves(t *testing.T) {
	at := outcome.New()
	marked := make(chan bool, 1)
	pr := newPeer(t, func(_ *peer, _ int, nc net.Conn, br *bufio.Reader) {
		_, _ = br.Peek(1)
		marked <- at.Unknown()
		_ = nc.Close()
	})
	newExchanger(clock.NewFake(0)).Do(context.Background(), pr.address(), request("1"), maxAnswer, at, always)
	qt.Assert(t, <-marked, qt.IsTrue)
	qt.Assert(t, at.Unknown(), qt.IsTrue)
}

// If no connection opens or the request can't be written, the outcome must be not-run, which allows a retry.
func TestNothingSentIsNotRun(t *testing.T) {
	ex := newExchanger(clock.NewFake(0))
	pr := newPeer(t, func(*peer, int, net.Conn, *bufio.Reader) {})
	_ = pr.ls.Close()
	_, at := do(ex, pr, request("1"))
	qt.Assert(t, at.NotRun(), qt.IsTrue)
	qt.Assert(t, at.Code(), qt.Equals, code.NoEndpoint)
	for _, path := range []string{"a b\r\nX: y", "%zz", "\x00"} {
		_, at = do(ex, newPeer(t, func(*peer, int, net.Conn, *bufio.Reader) {}), &callpb.Request{Id: "1", Method: http.MethodGet, Path: path})
		qt.Check(t, at.NotRun(), qt.IsTrue, qt.Commentf("%q", path))
		qt.Check(t, at.Code(), qt.Equals, code.HeaderMalformed, qt.Commentf("%q", path))
	}
}

// Path, query and repeated headers must reach the endpoint unchanged, with the deadline and the team, and without headers added by the HTTP library.
func TestRequestOnTheWire(t *testing.T) {
	got := make(chan *http.Request, 1)
	pr := newPeer(t, func(pr *peer, _ int, nc net.Conn, br *bufio.Reader) {
		got <- pr.read(br)
		_, _ = fmt.Fprintf(nc, "HTTP/1.1 204 No Content\r\nFulmarloft-Request-Id: 1\r\nConnection: x-gone\r\nX-Gone: 1\r\nX-Kept: 2\r\n\r\n")
	})
	req := request("1")
	req.Path = "/double//a%2Fb?c=d%20e"
	req.Headers = []*callpb.Header{{Name: "X-Two", Value: "1"}, {Name: "X-Two", Value: "2"}}
	ans, at := do(newExchanger(clock.NewFake(0)), pr, req)
	qt.Assert(t, at.Answered(), qt.IsTrue)
	qt.Assert(t, ans.GetHeaders(), qt.HasLen, 1)
	qt.Assert(t, ans.GetHeaders()[0].GetName(), qt.Equals, "X-Kept")
	rq := <-got
	qt.Assert(t, rq.RequestURI, qt.Equals, "//double//a%2Fb?c=d%20e")
	qt.Assert(t, rq.Header["X-Two"], qt.DeepEquals, []string{"1", "2"})
	qt.Assert(t, rq.Header.Get("fulmarloft-deadline-ms"), qt.Equals, "5000")
	qt.Assert(t, rq.Header.Get("fulmarloft-team"), qt.Equals, "team")
	qt.Assert(t, rq.ContentLength, qt.Equals, int64(4))
	qt.Assert(t, rq.Header["User-Agent"], qt.HasLen, 0)
}

// An answer that arrives before the whole body was sent must be used, and its connection, which still carries the body, must not be reused.
func TestLargeBodyWhileTheEndpointAnswersEarly(t *testing.T) {
	pr := newPeer(t, func(pr *peer, conn int, nc net.Conn, br *bufio.Reader) {
		if conn > 1 {
			for rq := pr.read(br); rq != nil; rq = pr.read(br) {
				_, _ = fmt.Fprintf(nc, completeResponse, rq.Header.Get("fulmarloft-request-id"))
			}
			return
		}
		_, _ = br.ReadString('\n')
		_, _ = fmt.Fprint(nc, "HTTP/1.1 413 Large\r\nFulmarloft-Request-Id: 1\r\nContent-Length: 0\r\n\r\n")
	})
	ex := newExchanger(clock.NewFake(0))
	req := request("1")
	req.Body = make([]byte, 32<<20)
	ans, at := do(ex, pr, req)
	qt.Assert(t, at.Answered(), qt.IsTrue)
	qt.Assert(t, ans.GetStatus(), qt.Equals, int32(http.StatusRequestEntityTooLarge))
	req = request("2")
	req.Body = make([]byte, 1<<20)
	_, at = do(ex, pr, req)
	qt.Assert(t, at.Answered(), qt.IsTrue)
	_, conns := pr.count("2")
	qt.Assert(t, conns, qt.Equals, 2)
}

// A request that the check before the first byte refuses must end as not run with the check's code and reason, so that the log says why.
func TestRefusalBeforeSendingKeepsItsReason(t *testing.T) {
	pr := newPeer(t, func(pr *peer, _ int, _ net.Conn, br *bufio.Reader) { pr.read(br) })
	at := outcome.New()
	newExchanger(clock.NewFake(0)).Do(context.Background(), pr.address(), request("1"), maxAnswer, at, func() error {
		return code.KeyedWorkPaused.New("the configuration lease has expired")
	})
	qt.Check(t, at.NotRun(), qt.IsTrue)
	qt.Check(t, at.Code(), qt.Equals, code.KeyedWorkPaused)
	qt.Check(t, at.Detail(), qt.Contains, "the configuration lease has expired")
}
