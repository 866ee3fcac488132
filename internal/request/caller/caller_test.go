package caller_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/goccy/go-yaml"
	"github.com/gorilla/mux"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/observability/event"
	"github.com/fulmarloft/fulmarloft/internal/observability/logsample"
	"github.com/fulmarloft/fulmarloft/internal/observability/metric"
	"github.com/fulmarloft/fulmarloft/internal/pb/callpb"
	"github.com/fulmarloft/fulmarloft/internal/request/caller"
	"github.com/fulmarloft/fulmarloft/internal/request/drain"
	"github.com/fulmarloft/fulmarloft/pkg/bundle"
	"github.com/fulmarloft/fulmarloft/pkg/code"
	"github.com/fulmarloft/fulmarloft/pkg/key"
	"github.com/fulmarloft/fulmarloft/pkg/operator"
)

// testServer serves callers over HTTP; each call is recorded and ends with the answer that the test sets.
type testServer struct {
	ck      *clock.Clock
	dr      *drain.Drain
	address string
	calls   chan *callpb.Request
	answer  *callpb.Answer
	logs    *bytes.Buffer
}

func newTestServer(t *testing.T) *testServer {
	ck := clock.NewFake(1)
	ts := &testServer{ck: ck, dr: drain.New(ck), calls: make(chan *callpb.Request, 10), logs: &bytes.Buffer{}, answer: &callpb.Answer{Outcome: "answered", Status: 200, Body: []byte("whole")}}
	bd := parse(t)
	sv := &caller.Server{
		Clock: ck, Log: event.New(ts.logs), Metric: metric.New(), Sample: logsample.New(ck, 1),
		Bundle:       func() *bundle.Bundle { return bd },
		Authenticate: func(string) (string, error) { return "", code.KeyUnknown },
		CheckKeyed:   func() error { return nil },
		Enter:        ts.dr.Enter, Leave: ts.dr.Leave, Closing: ts.dr.Closing,
		Call: func(_ context.Context, req *callpb.Request) *callpb.Answer {
			ts.calls <- req
			ts.answer.Id = req.GetId()
			return ts.answer
		},
		NewID: func() string { return "issued" },
	}
	rt := mux.NewRouter()
	sv.Routes(rt)
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	srv := &http.Server{Handler: rt}
	go func() { _ = srv.Serve(ls) }()
	t.Cleanup(func() { _ = srv.Close() })
	ts.address = ls.Addr().String()
	return ts
}

func parse(t *testing.T) *bundle.Bundle {
	op, err := yaml.Marshal(operator.New("op", make([]byte, 32)))
	qt.Assert(t, err, qt.IsNil)
	ky, _ := key.New("k1")
	kt, err := yaml.Marshal(ky)
	qt.Assert(t, err, qt.IsNil)
	text := "format: 1\nversion: 1\ntiming: {config-lease-ms: 1, loan-lease-ms: 1, job-lease-ms: 1, request-memory-ms: 1, balancer-wait-ms: 1}\n" +
		"sign-offs-needed: 1\noperators:\n- " + strings.ReplaceAll(string(op), "\n", "\n  ") +
		"\nteams:\n- name: team\n  share: 1\n  limit: 1\n  job-limit: 1\n  keys:\n  - " + strings.ReplaceAll(string(kt), "\n", "\n    ") +
		"\nservices:\n- {name: open, queue: open, pool: p, idempotent: false, deadline-ms: 1000, longest-run-ms: 2000, max-body-bytes: 10, max-answer-bytes: 10, max-queued: 10}\n" +
		"- {name: teams, queue: teams, pool: p, idempotent: false, deadline-ms: 1000, longest-run-ms: 2000, max-body-bytes: 10, max-answer-bytes: 10, max-queued: 10}\n" +
		"pools:\n- {name: p, size: 1, max-unavailable: 0, kind: endpoint}\nweights: {share: 1, roll-out-time: 1, buffer-cost: 1, moves: 1}\n"
	bd, err := bundle.Parse([]byte(text))
	qt.Assert(t, err, qt.IsNil)
	return bd
}

// exchange writes raw bytes and reads one response.
func (ts *testServer) exchange(t *testing.T, method, raw string) (*http.Response, string) {
	nc, err := net.Dial("tcp", ts.address)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = nc.Close() }()
	_, err = io.WriteString(nc, raw)
	qt.Assert(t, err, qt.IsNil)
	return receive(t, nc, method)
}

func receive(t *testing.T, nc net.Conn, method string) (*http.Response, string) {
	res, err := http.ReadResponse(bufio.NewReader(nc), &http.Request{Method: method})
	qt.Assert(t, err, qt.IsNil)
	body, err := io.ReadAll(res.Body)
	qt.Assert(t, err, qt.IsNil)
	return res, string(body)
}

// A request that is refused before the call must get the outcome not-run, must not reach the call and must not stay counted as in flight.
func TestRefusalsBeforeTheCall(t *testing.T) {
	for _, tc := range []struct {
		name, raw string
		cd        code.Code
	}{
		{"unknown path", "GET /x HTTP/1.1\r\nHost: h\r\n\r\n", code.ServiceUnknown},
		{"unknown service", "GET /call/x HTTP/1.1\r\nHost: h\r\n\r\n", code.ServiceUnknown},
		{"no key", "GET /call/teams HTTP/1.1\r\nHost: h\r\n\r\n", code.KeyMissing},
		{"wrong key", "GET /call/teams HTTP/1.1\r\nHost: h\r\nFulmarloft-Key: a.b\r\n\r\n", code.KeyUnknown},
		{"wrong key on an open queue", "GET /call/open HTTP/1.1\r\nHost: h\r\nFulmarloft-Key: a.b\r\n\r\n", code.KeyUnknown},
		{"deadline is not a number", "GET /call/open HTTP/1.1\r\nHost: h\r\nFulmarloft-Deadline-Ms: x\r\n\r\n", code.HeaderMalformed},
		{"id too long", "GET /call/open HTTP/1.1\r\nHost: h\r\nFulmarloft-Request-Id: " + strings.Repeat("x", 129) + "\r\n\r\n", code.HeaderMalformed},
		{"body too large by length", "POST /call/open HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n", code.BodyTooLarge},
		{"body too large by chunks", "POST /call/open HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nB\r\n01234567890\r\n0\r\n\r\n", code.BodyTooLarge},
		{"broken chunk", "POST /call/open HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nZ\r\n", code.BodyBroken},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ts := newTestServer(t)
			res, body := ts.exchange(t, "GET", tc.raw)
			qt.Assert(t, res.StatusCode, qt.Equals, tc.cd.Status())
			qt.Assert(t, res.Header.Get("fulmarloft-code"), qt.Equals, fmt.Sprint(int(tc.cd)))
			qt.Assert(t, res.Header.Get("fulmarloft-outcome"), qt.Equals, "not-run")
			qt.Assert(t, body, qt.Equals, tc.cd.String()+"\n")
			qt.Assert(t, ts.calls, qt.HasLen, 0)
			qt.Assert(t, ts.dr.InFlight(), qt.Equals, 0)
			qt.Check(t, res.Header.Get("fulmarloft-request-id"), qt.Equals, "issued")
			qt.Check(t, ts.logs.String(), qt.Contains, `request-id="issued"`)
		})
	}
}

// A refusal before the headers are read must name the caller's own id, so that it can be found in the logs.
func TestRefusalNamesTheCallersID(t *testing.T) {
	ts := newTestServer(t)
	res, _ := ts.exchange(t, "GET", "GET /call/x HTTP/1.1\r\nHost: h\r\nFulmarloft-Request-Id: own-1\r\n\r\n")
	qt.Check(t, res.Header.Get("fulmarloft-request-id"), qt.Equals, "own-1")
	qt.Check(t, ts.logs.String(), qt.Contains, `request-id="own-1"`)
}

// Path and query must reach the call unchanged and headers with several values the caller; hop-by-hop headers must be dropped.
func TestCompleteRequestReachesTheCall(t *testing.T) {
	ts := newTestServer(t)
	ts.answer.Headers = []*callpb.Header{{Name: "X-Two", Value: "1"}, {Name: "X-Two", Value: "2"}}
	res, body := ts.exchange(t, "POST", "POST /call/open//a%2Fb/../c?d=e%20f HTTP/1.1\r\nHost: h\r\nFulmarloft-Deadline-Ms: 500\r\nConnection: x-hop\r\nX-Hop: 1\r\nX-End: 2\r\nContent-Length: 4\r\n\r\nbody")
	qt.Assert(t, res.StatusCode, qt.Equals, 200)
	qt.Assert(t, body, qt.Equals, "whole")
	qt.Assert(t, res.Header["X-Two"], qt.DeepEquals, []string{"1", "2"})
	qt.Assert(t, res.Header.Get("fulmarloft-request-id"), qt.Equals, "issued")
	req := <-ts.calls
	qt.Assert(t, req.GetPath(), qt.Equals, "/a%2Fb/../c?d=e%20f")
	qt.Assert(t, string(req.GetBody()), qt.Equals, "body")
	qt.Assert(t, req.GetLeftMs(), qt.Equals, int64(500))
	qt.Assert(t, req.GetHeaders(), qt.HasLen, 1)
	qt.Assert(t, req.GetHeaders()[0].GetName(), qt.Equals, "X-End")
}

func TestAnswers(t *testing.T) {
	for _, tc := range []struct {
		name, method string
		answer       *callpb.Answer
		status       int
		body         string
		retryAfter   string
	}{
		{"HEAD", "HEAD", &callpb.Answer{Outcome: "answered", Status: 200}, 200, "", ""},
		{"no content", "GET", &callpb.Answer{Outcome: "answered", Status: 204}, 204, "", ""},
		{"retry later", "GET", &callpb.Answer{Outcome: "not-run", Code: int32(code.DeadlineHopeless), Status: 503, RetryAfterMs: 1200}, 503, "deadline-hopeless\n", "2"},
		{"large", "GET", &callpb.Answer{Outcome: "answered", Status: 200, Body: []byte(strings.Repeat("x", 1<<20))}, 200, strings.Repeat("x", 1<<20), ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ts := newTestServer(t)
			ts.answer = tc.answer
			res, body := ts.exchange(t, tc.method, tc.method+" /call/open HTTP/1.1\r\nHost: h\r\n\r\n")
			qt.Assert(t, res.StatusCode, qt.Equals, tc.status)
			qt.Assert(t, body, qt.Equals, tc.body)
			qt.Assert(t, res.Header.Get("Retry-After"), qt.Equals, tc.retryAfter)
		})
	}
}

func TestSlowBodyIsCutOffBeforeTheCall(t *testing.T) {
	ts := newTestServer(t)
	nc, err := net.Dial("tcp", ts.address)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = nc.Close() }()
	_, err = io.WriteString(nc, "POST /call/open HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo")
	qt.Assert(t, err, qt.IsNil)
	for !ts.ck.Pending() {
		runtime.Gosched()
	}
	ts.ck.Advance(10_000)
	res, body := receive(t, nc, "POST")
	qt.Assert(t, res.StatusCode, qt.Equals, 400)
	qt.Assert(t, body, qt.Equals, "body-broken\n")
	qt.Assert(t, res.Header.Get("fulmarloft-outcome"), qt.Equals, "not-run")
	qt.Assert(t, res.Close, qt.IsTrue)
	qt.Assert(t, ts.calls, qt.HasLen, 0)
}

// While the entry drains, requests are still answered until the wait is over, with a response that asks the caller to close the connection; later ones are refused as not run.
func TestDraining(t *testing.T) {
	ts := newTestServer(t)
	ended := make(chan error, 1)
	go func() { ended <- ts.dr.Run(context.Background(), 100) }()
	for !ts.dr.Closing() || !ts.ck.Pending() {
		runtime.Gosched()
	}
	raw := "GET /call/open HTTP/1.1\r\nHost: h\r\n\r\n"
	res, body := ts.exchange(t, "GET", raw)
	qt.Assert(t, body, qt.Equals, "whole")
	qt.Assert(t, res.Close, qt.IsTrue)
	for ts.dr.InFlight() > 0 {
		runtime.Gosched()
	}
	ts.ck.Advance(100)
	qt.Assert(t, <-ended, qt.IsNil)
	res, body = ts.exchange(t, "GET", raw)
	qt.Assert(t, body, qt.Equals, "draining\n")
	qt.Assert(t, res.Header.Get("fulmarloft-outcome"), qt.Equals, "not-run")
	qt.Assert(t, res.Close, qt.IsTrue)
}

// A caller that stops reading a large response must not keep its request in flight forever.
func TestSlowReaderIsCutOff(t *testing.T) {
	ts := newTestServer(t)
	ts.answer.Body = make([]byte, 64<<20)
	nc, err := net.Dial("tcp", ts.address)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = nc.Close() }()
	_, err = io.WriteString(nc, "GET /call/open HTTP/1.1\r\nHost: h\r\n\r\n")
	qt.Assert(t, err, qt.IsNil)
	for !ts.ck.Pending() {
		runtime.Gosched()
	}
	ts.ck.Advance(30_000)
	for ts.dr.InFlight() > 0 {
		runtime.Gosched()
	}
	got, err := io.Copy(io.Discard, nc)
	qt.Assert(t, got < 64<<20, qt.IsTrue, qt.Commentf("%d bytes, %v", got, err))
}
