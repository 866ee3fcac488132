package caller

import (
	"context"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	"github.com/fulmarloft/fulmarloft/internal/callpb"
	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/endtoend"
	"github.com/fulmarloft/fulmarloft/internal/event"
	"github.com/fulmarloft/fulmarloft/internal/metric"
	"github.com/fulmarloft/fulmarloft/internal/refusal"
	"github.com/fulmarloft/fulmarloft/internal/sample"
	"github.com/fulmarloft/fulmarloft/pkg/bundle"
	"github.com/fulmarloft/fulmarloft/pkg/code"
	"github.com/fulmarloft/fulmarloft/pkg/service"
)

// Server turns HTTP requests into calls of the entry; its fields are the seams to the rest of the entry and must all be set before use.
type Server struct {
	Clock  *clock.Clock
	Log    *event.Log
	Metric *metric.Registry
	// Bundle returns the configuration in force on this entry, nil before the first.
	Bundle func() *bundle.Bundle
	// Authenticate returns the team of a secret, or a refusal.
	Authenticate func(secret string) (string, error)
	// Keyed returns an error while this entry must not take keyed work.
	Keyed func() error
	// Enter counts a request in, or returns an error while this entry takes no new work; Leave counts it out.
	Enter func() error
	Leave func()
	// Closing reports whether answers are to ask the caller for a new connection.
	Closing func() bool
	// Call carries out one request, remembers its outcome and returns the whole answer.
	Call func(ctx context.Context, req *callpb.Request) *callpb.Answer
	// NewID issues a request id.
	NewID func() string
	// Sample keeps refusals and failures from flooding the log.
	Sample *sample.Sample
}

const (
	keyHeader        = "Fulmarloft-Key"
	idHeader         = "Fulmarloft-Request-Id"
	claimHeader      = "Idempotency-Key"
	deadlineHeader   = "Fulmarloft-Deadline-Ms"
	codeHeader       = "Fulmarloft-Code"
	outcomeHeader    = "Fulmarloft-Outcome"
	retryAfterHeader = "Fulmarloft-Retry-After-Ms"

	maxIDLength    = 128
	msPerSecond    = 1000
	bufferedBytes  = 2 << 10
	outcomeNotRun  = "not-run"
	servicePattern = "/call/{service}"
)

// Routes registers the callers' paths on a router and makes it keep paths as the callers escaped them.
func (sv *Server) Routes(rt *mux.Router) {
	rt.SkipClean(true).UseEncodedPath()
	rt.HandleFunc(servicePattern, sv.serve)
	rt.HandleFunc(servicePattern+"/{rest:.*}", sv.serve)
	rt.NotFoundHandler = http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		sv.refuse(wr, rq, "", code.ServiceUnknown.New("path %q", rq.URL.Path))
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
	req, err := sv.read(wr, rq)
	if err != nil {
		sv.refuse(wr, rq, req.GetId(), err)
		return
	}
	ans := sv.Call(rq.Context(), req)
	sv.observe(req, ans)
	sv.write(wr, rq, ans)
}

func (sv *Server) read(wr http.ResponseWriter, rq *http.Request) (*callpb.Request, error) {
	vars := mux.Vars(rq)
	req := &callpb.Request{Method: rq.Method, Path: vars["rest"], Service: vars["service"]}
	if rq.URL.RawQuery != "" {
		req.Path += "?" + rq.URL.RawQuery
	}
	svc, err := sv.service(req.GetService())
	if err != nil {
		return req, err
	}
	req.Idempotent = svc.Idempotent()
	if err := sv.identify(rq, req, svc); err != nil {
		return req, err
	}
	if req.Team, err = sv.team(rq, svc); err != nil {
		return req, err
	}
	if req.Body, err = readBody(sv.Clock, wr, rq, svc.MaxBody()); err != nil {
		wr.Header().Set("Connection", "close")
		return req, err
	}
	req.Headers = endtoend.Headers(rq.Header)
	return req, nil
}

func (sv *Server) service(name string) (service.Service, error) {
	bd := sv.Bundle()
	if bd == nil {
		return service.Service{}, code.KeyedWorkPaused.New("no configuration yet")
	}
	for _, svc := range bd.Services() {
		if svc.Name() == name {
			return svc, nil
		}
	}
	return service.Service{}, code.ServiceUnknown.New("service %q", name)
}

func (sv *Server) identify(rq *http.Request, req *callpb.Request, svc service.Service) error {
	req.Id = rq.Header.Get(idHeader)
	if len(req.GetId()) > maxIDLength {
		req.Id = ""
		return code.HeaderMalformed.New("%s: expected at most %d bytes", idHeader, maxIDLength)
	}
	if req.GetId() == "" {
		req.Id = sv.NewID()
		req.Fresh = true
	}
	req.Claim = rq.Header.Get(claimHeader)
	if len(req.GetClaim()) > maxIDLength {
		return code.HeaderMalformed.New("%s: expected at most %d bytes", claimHeader, maxIDLength)
	}
	req.LeftMs = svc.DeadlineMS()
	text := rq.Header.Get(deadlineHeader)
	if text == "" {
		return nil
	}
	left, err := strconv.ParseInt(text, 10, 64)
	if err != nil || left <= 0 {
		return code.HeaderMalformed.New("%s: expected milliseconds above 0", deadlineHeader)
	}
	req.LeftMs = min(left, svc.DeadlineMS())
	return nil
}

func (sv *Server) team(rq *http.Request, svc service.Service) (string, error) {
	secret := rq.Header.Get(keyHeader)
	if secret == "" && svc.Open() {
		return "", nil
	}
	if secret == "" {
		return "", code.KeyMissing
	}
	if err := sv.Keyed(); err != nil {
		return "", err
	}
	return sv.Authenticate(secret)
}

func (sv *Server) refuse(wr http.ResponseWriter, rq *http.Request, id string, err error) {
	cd := code.Of(err)
	if left, ok := sv.Sample.Allow(cd.String()); ok {
		sv.Log.Fail("request-refused", err, "path", rq.URL.Path, "request-id", id, "left-out", left)
	}
	sv.Metric.Count(1, "refused", cd.String())
	sv.write(wr, rq, &callpb.Answer{Id: id, Outcome: outcomeNotRun, Code: int32(cd), Status: int32(cd.Status()), RetryAfterMs: refusal.RetryAfterMS(err), Detail: err.Error()})
}

func (sv *Server) observe(req *callpb.Request, ans *callpb.Answer) {
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
	if left, ok := sv.Sample.Allow(cd.String()); ok {
		sv.Log.Fail("request-failed", cd, "request-id", ans.GetId(), "service", req.GetService(), "team", team, "outcome", ans.GetOutcome(), "detail", ans.GetDetail(), "left-out", left)
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
	if ms := ans.GetRetryAfterMs(); ms > 0 {
		hd["Retry-After"] = []string{strconv.FormatInt((ms+msPerSecond-1)/msPerSecond, 10)}
		hd[retryAfterHeader] = []string{strconv.FormatInt(ms, 10)}
	}
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

// send writes the answer and waits at most answerMS for a caller that reads a large one slowly; a small one fits the connection's buffer, and the server's own time limit is behind it.
func (sv *Server) send(wr http.ResponseWriter, status int, body []byte) {
	wr.WriteHeader(status)
	if len(body) <= bufferedBytes {
		_, _ = wr.Write(body)
		return
	}
	rc := http.NewResponseController(wr)
	stop := limit(sv.Clock, answerMS, rc.SetWriteDeadline)
	defer stop()
	_, _ = wr.Write(body)
	_ = rc.Flush()
}

// bodyAllowed reports whether an answer of that status has a body.
func bodyAllowed(status int32) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}
