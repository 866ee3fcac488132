package endpoint

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/pb/callpb"
	"github.com/fulmarloft/fulmarloft/internal/request/connpool"
	"github.com/fulmarloft/fulmarloft/internal/request/endtoend"
	"github.com/fulmarloft/fulmarloft/internal/request/outcome"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Exchanger sends requests to endpoints, each at most once; it is safe for concurrent use.
type Exchanger struct {
	ck       *clock.Clock
	maxConns func() int
	dial     func(ctx context.Context, address string) (net.Conn, error)
	mu       sync.RWMutex
	pools    map[string]*connpool.Pool
}

const (
	idHeader         = "Fulmarloft-Request-Id"
	teamHeader       = "Fulmarloft-Team"
	serviceHeader    = "Fulmarloft-Service"
	deadlineHeader   = "Fulmarloft-Deadline-Ms"
	notStartedHeader = "Fulmarloft-Not-Started"
	notStartedValue  = "1"
	addedHeaders     = 5

	// A request that is not idempotent is only sent on a connection that worked within this time.
	maxIdleNonIdempotentMS = 1_000
	// An idempotent request can be sent again to another endpoint, so an older connection is acceptable.
	maxIdleIdempotentMS = 10_000
)

// New returns an exchanger that keeps at most maxConns() connections to each endpoint.
func New(ck *clock.Clock, maxConns func() int) *Exchanger {
	return &Exchanger{ck: ck, maxConns: maxConns, dial: dialTCP, pools: map[string]*connpool.Pool{}}
}

// Do sends the request to the endpoint at ip:port and records the outcome in the attempt; the answer is nil unless it is complete. It calls beforeSend right before the first byte; if that returns an error, the request is not sent.
func (ex *Exchanger) Do(ctx context.Context, address string, req *callpb.Request, maxAnswer int64, at *outcome.Attempt, beforeSend func() error) *callpb.Answer {
	pl := ex.pool(address)
	msg, err := newRequest(address, req)
	if err != nil {
		at.Fail(code.HeaderMalformed, code.MayHaveRun)
		return nil
	}
	cn, err := pl.Get(ctx, maxIdleMS(req))
	if err != nil {
		at.Fail(code.NoEndpoint, code.MayHaveRun)
		return nil
	}
	if err := beforeSend(); err != nil {
		pl.Put(cn)
		at.Refuse(err)
		return nil
	}
	start := ex.ck.Now()
	res, body, err := cn.Exchange(ctx, msg, maxAnswer, at)
	if err != nil || res.Header.Get(idHeader) != req.GetId() {
		pl.Drop(cn)
		pl.CloseIdleSince(start)
		at.Fail(code.HeaderMalformed, failureCode(err))
		return nil
	}
	pl.Put(cn)
	return newAnswer(req, res, body, at)
}

// ReportUnresponsive handles an exchange with the endpoint that began at sinceMS and is still unanswered: it closes the idle connections that have not worked since then and returns their number.
func (ex *Exchanger) ReportUnresponsive(address string, sinceMS int64) int {
	ex.mu.RLock()
	pl, ok := ex.pools[address]
	ex.mu.RUnlock()
	if !ok {
		return 0
	}
	return pl.CloseIdleSince(sinceMS)
}

// Sweep closes connections that have reached the idle timeout and removes the pools of endpoints that have no connection left.
func (ex *Exchanger) Sweep() {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	for address, pl := range ex.pools {
		if pl.Sweep() {
			delete(ex.pools, address)
		}
	}
}

// Close closes the idle connections now and the others after their exchange.
func (ex *Exchanger) Close() {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	for _, pl := range ex.pools {
		pl.Close()
	}
}

// OpenConns returns the number of open connections to the endpoint.
func (ex *Exchanger) OpenConns(address string) int {
	ex.mu.RLock()
	defer ex.mu.RUnlock()
	if pl, ok := ex.pools[address]; ok {
		return pl.OpenConns()
	}
	return 0
}

func (ex *Exchanger) pool(address string) *connpool.Pool {
	ex.mu.RLock()
	pl, ok := ex.pools[address]
	ex.mu.RUnlock()
	if ok {
		return pl
	}
	ex.mu.Lock()
	defer ex.mu.Unlock()
	if pl, ok := ex.pools[address]; ok {
		return pl
	}
	pl = connpool.New(ex.ck, ex.maxConns, func(ctx context.Context) (net.Conn, error) { return ex.dial(ctx, address) })
	ex.pools[address] = pl
	return pl
}

func maxIdleMS(req *callpb.Request) int64 {
	if req.GetIdempotent() {
		return maxIdleIdempotentMS
	}
	return maxIdleNonIdempotentMS
}

// newRequest builds the HTTP request and keeps path and query as the caller escaped them.
func newRequest(address string, req *callpb.Request) (*http.Request, error) {
	target, err := url.ParseRequestURI("/" + req.GetPath())
	if err != nil {
		return nil, code.HeaderMalformed.Wrap(err)
	}
	hd := make(http.Header, len(req.GetHeaders())+addedHeaders)
	for _, line := range req.GetHeaders() {
		hd[line.GetName()] = append(hd[line.GetName()], line.GetValue())
	}
	if _, ok := hd["User-Agent"]; !ok {
		hd["User-Agent"] = nil
	}
	hd[idHeader] = []string{req.GetId()}
	hd[teamHeader] = []string{req.GetTeam()}
	hd[serviceHeader] = []string{req.GetService()}
	hd[deadlineHeader] = []string{strconv.FormatInt(req.GetLeftMs(), 10)}
	msg := &http.Request{
		Method: req.GetMethod(), URL: target, Host: address, Header: hd,
		ContentLength: int64(len(req.GetBody())),
	}
	if len(req.GetBody()) > 0 {
		msg.Body = io.NopCloser(bytes.NewReader(req.GetBody()))
	}
	return msg, nil
}

// newAnswer converts the complete response to the request, and returns nil if the endpoint states that it did not start the request.
func newAnswer(req *callpb.Request, res *http.Response, body []byte, at *outcome.Attempt) *callpb.Answer {
	if res.StatusCode == http.StatusServiceUnavailable && res.Header.Get(notStartedHeader) == notStartedValue {
		at.MarkNotStarted(code.EndpointRefused)
		return nil
	}
	cd := code.OK
	if res.StatusCode >= http.StatusInternalServerError {
		cd = code.EndpointStatus
	}
	at.Answer(cd)
	return &callpb.Answer{
		Id: req.GetId(), Outcome: at.String(), Status: int32(res.StatusCode), Code: int32(cd),
		Body: body, Headers: endtoend.Headers(res.Header),
	}
}

func failureCode(err error) code.Code {
	if err == nil {
		return code.AnswerBroken
	}
	return code.Of(err)
}
