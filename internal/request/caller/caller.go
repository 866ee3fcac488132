package caller

import (
	"context"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/observability/event"
	"github.com/fulmarloft/fulmarloft/internal/observability/logsample"
	"github.com/fulmarloft/fulmarloft/internal/observability/metric"
	"github.com/fulmarloft/fulmarloft/internal/pb/callpb"
	"github.com/fulmarloft/fulmarloft/internal/request/endtoend"
	"github.com/fulmarloft/fulmarloft/internal/request/refusal"
	"github.com/fulmarloft/fulmarloft/pkg/bundle"
	"github.com/fulmarloft/fulmarloft/pkg/code"
	"github.com/fulmarloft/fulmarloft/pkg/service"
)

// Server turns HTTP requests into calls of the entry; its fields connect it to the rest of the entry and must all be set before use.
type Server struct {
	Clock  *clock.Clock
	Log    *event.Log
	Metric *metric.Registry
	// Bundle returns the configuration in force on this entry, or nil before the first.
	Bundle func() *bundle.Bundle
	// Authenticate returns the team that a secret belongs to, or a refusal.
	Authenticate func(secret string) (string, error)
	// CheckKeyed returns an error while this entry must not accept work under a team's key.
	CheckKeyed func() error
	// Enter counts a request as in flight, or returns an error while this entry takes no new work; Leave is called when a counted request has ended.
	Enter func() error
	Leave func()
	// Closing reports whether responses must ask the caller to open a new connection.
	Closing func() bool
	// Call carries out one request, stores its outcome and returns the complete answer.
	Call func(ctx context.Context, req *callpb.Request) *callpb.Answer
	// NewID issues a request id.
	NewID func() string
	// Sample limits how many refusals and failures are logged.
	Sample *logsample.Sampler
}

const (
	keyHeader            = "Fulmarloft-Key"
	idHeader             = "Fulmarloft-Request-Id"
	idempotencyKeyHeader = "Idempotency-Key"
	deadlineHeader       = "Fulmarloft-Deadline-Ms"
	codeHeader           = "Fulmarloft-Code"
	outcomeHeader        = "Fulmarloft-Outcome"

	maxIDLength      = 128
	maxBufferedBytes = 2 << 10
	outcomeNotRun    = "not-run"
	servicePattern   = "/call/{service}"
)

// Routes registers the paths of callers on a router, which is set up to keep paths as the callers escaped them.
func (sv *Server) Routes(rt *mux.Router) {
	rt.SkipClean(true).UseEncodedPath()
	rt.HandleFunc(servicePattern, sv.serve)
	rt.HandleFunc(servicePattern+"/{rest:.*}", sv.serve)
	rt.NotFoundHandler = http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		sv.refuse(wr, rq, "", code.ServiceUnknown.New("no route for path %q", rq.URL.Path))
	})
}

func (sv *Server) serve(wr http.ResponseWriter, rq *http.Request) {
	if sv.Closing() {
		wr.Header().Set("Connection", "close")
	}
	if err := sv.Enter(); err != nil {
		sv.refuse(wr, rq, "", err)
		return
	}
	defer sv.Leave()
	req, err := sv.readRequest(wr, rq)
	if err != nil {
		sv.refuse(wr, rq, req.GetId(), err)
		return
	}
	ans := sv.Call(rq.Context(), req)
	sv.recordResult(req, ans)
	sv.write(wr, rq, ans)
}

func (sv *Server) readRequest(wr http.ResponseWriter, rq *http.Request) (*callpb.Request, error) {
	vars := mux.Vars(rq)
	req := &callpb.Request{Method: rq.Method, Path: vars["rest"], Service: vars["service"]}
	if rq.URL.RawQuery != "" {
		req.Path += "?" + rq.URL.RawQuery
	}
	svc, err := sv.findService(req.GetService())
	if err != nil {
		return req, err
	}
	req.Idempotent = svc.Idempotent()
	if err := sv.readHeaders(rq, req, svc); err != nil {
		return req, err
	}
	if req.Team, err = sv.authenticate(rq, svc); err != nil {
		return req, err
	}
	if req.Body, err = readBody(sv.Clock, wr, rq, svc.MaxBody()); err != nil {
		wr.Header().Set("Connection", "close")
		return req, err
	}
	req.Headers = endtoend.Headers(rq.Header)
	return req, nil
}

func (sv *Server) findService(name string) (service.Service, error) {
	bd := sv.Bundle()
	if bd == nil {
		return service.Service{}, code.KeyedWorkPaused.New("no configuration is in force yet")
	}
	for _, svc := range bd.Services() {
		if svc.Name() == name {
			return svc, nil
		}
	}
	return service.Service{}, code.ServiceUnknown.New("service %q is not in the bundle", name)
}

func (sv *Server) readHeaders(rq *http.Request, req *callpb.Request, svc service.Service) error {
	req.Id = rq.Header.Get(idHeader)
	if len(req.GetId()) > maxIDLength {
		req.Id = ""
		return code.HeaderMalformed.New("%s: expected at most %d bytes", idHeader, maxIDLength)
	}
	if req.GetId() == "" {
		req.Id = sv.NewID()
		req.Fresh = true
	}
	req.Claim = rq.Header.Get(idempotencyKeyHeader)
	if len(req.GetClaim()) > maxIDLength {
		return code.HeaderMalformed.New("%s: expected at most %d bytes", idempotencyKeyHeader, maxIDLength)
	}
	req.LeftMs = svc.DeadlineMS()
	text := rq.Header.Get(deadlineHeader)
	if text == "" {
		return nil
	}
	left, err := strconv.ParseInt(text, 10, 64)
	if err != nil || left <= 0 {
		return code.HeaderMalformed.New("%s: expected a number of milliseconds above 0, got %q", deadlineHeader, text)
	}
	req.LeftMs = min(left, svc.DeadlineMS())
	return nil
}

func (sv *Server) authenticate(rq *http.Request, svc service.Service) (string, error) {
	secret := rq.Header.Get(keyHeader)
	if secret == "" && svc.Open() {
		return "", nil
	}
	if secret == "" {
		return "", code.KeyMissing.New("header %s is missing", keyHeader)
	}
	if err := sv.CheckKeyed(); err != nil {
		return "", err
	}
	return sv.Authenticate(secret)
}

// refuse answers a request that certainly didn't run. Without an id of the request yet, it takes the caller's or issues one, so that caller and log name the same.
func (sv *Server) refuse(wr http.ResponseWriter, rq *http.Request, id string, err error) {
	if id == "" {
		id = rq.Header.Get(idHeader)
	}
	if id == "" || len(id) > maxIDLength {
		id = sv.NewID()
	}
	cd := code.Of(err)
	if suppressed, ok := sv.Sample.Allow(cd.String()); ok {
		sv.Log.Fail("request-refused", err, "path", rq.URL.Path, "request-id", id, "left-out", suppressed)
	}
	sv.Metric.Count(1, "refused", cd.String())
	sv.write(wr, rq, &callpb.Answer{Id: id, Outcome: outcomeNotRun, Code: int32(cd), Status: int32(cd.Status()), RetryAfterMs: refusal.RetryAfterMS(err), Detail: err.Error()})
}

func (sv *Server) recordResult(req *callpb.Request, ans *callpb.Answer) {
	team := req.GetTeam()
	if team == "" {
		team = "open"
	}
	for _, group := range [][2]string{{"team", team}, {"service", req.GetService()}} {
		sv.Metric.Count(1, group[0], group[1], ans.GetOutcome())
		sv.Metric.Observe(ans.GetWaitMs(), group[0], group[1], "wait-ms")
		sv.Metric.Observe(ans.GetRunMs(), group[0], group[1], "run-ms")
		sv.Metric.Observe(ans.GetWaitMs()+ans.GetRunMs(), group[0], group[1], "whole-ms")
	}
	cd := code.Code(ans.GetCode())
	if cd < code.KeyMissing {
		return
	}
	sv.Metric.Count(1, "service", req.GetService(), "code", cd.String())
	if suppressed, ok := sv.Sample.Allow(cd.String()); ok {
		sv.Log.Fail("request-failed", cd, "request-id", ans.GetId(), "service", req.GetService(), "team", team, "outcome", ans.GetOutcome(), "detail", ans.GetDetail(), "left-out", suppressed)
	}
}

func (sv *Server) write(wr http.ResponseWriter, rq *http.Request, ans *callpb.Answer) {
	hd := wr.Header()
	for _, line := range ans.GetHeaders() {
		hd[line.GetName()] = append(hd[line.GetName()], line.GetValue())
	}
	hd[idHeader] = []string{ans.GetId()}
	hd[codeHeader] = []string{strconv.Itoa(int(ans.GetCode()))}
	hd[outcomeHeader] = []string{ans.GetOutcome()}
	refusal.SetRetryAfter(hd, ans.GetRetryAfterMs())
	body := ans.GetBody()
	if ans.GetCode() >= int32(code.KeyMissing) && len(body) == 0 {
		hd["Content-Type"] = []string{"text/plain; charset=utf-8"}
		body = []byte(code.Code(ans.GetCode()).String() + "\n")
	}
	if rq.Method != http.MethodHead && bodyAllowed(ans.GetStatus()) {
		hd["Content-Length"] = []string{strconv.Itoa(len(body))}
	}
	sv.send(wr, int(ans.GetStatus()), body)
}

// send writes the response, and cuts off a caller that takes longer than writeTimeoutMS to read a large one. A small one fits the buffer of the connection and is only subject to the timeout of the HTTP server.
func (sv *Server) send(wr http.ResponseWriter, status int, body []byte) {
	wr.WriteHeader(status)
	if len(body) <= maxBufferedBytes {
		_, _ = wr.Write(body)
		return
	}
	rc := http.NewResponseController(wr)
	stop := interruptAfter(sv.Clock, writeTimeoutMS, rc.SetWriteDeadline)
	defer stop()
	_, _ = wr.Write(body)
	_ = rc.Flush()
}

// bodyAllowed reports whether a response with the status has a body.
func bodyAllowed(status int32) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}
