package endpoint

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/testbed/blackhole"
	"github.com/fulmarloft/fulmarloft/internal/testbed/recorder"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Server is one endpoint; it responds to each request with the request's body after its run time.
type Server struct {
	ck         *clock.Clock
	name       string
	rec        *recorder.Recorder
	runMS      func() int64
	ls         net.Listener
	conns      *blackhole.Group
	srv        *http.Server
	busy       atomic.Int64
	slots      int64
	mu         sync.Mutex
	mode       string
	slowFactor int64
}

const (
	idHeader      = "fulmarloft-request-id"
	teamHeader    = "fulmarloft-team"
	serviceHeader = "fulmarloft-service"
	refusedHeader = "fulmarloft-not-started"
	maxBodyBytes  = 16 << 20
)

// Modes of SetMode; the empty mode is without faults.
const (
	modeFail     = "fail"
	modeTruncate = "half"
	modeWrongID  = "wrong-id"
	modeNoAnswer = "drop"
)

// New starts an endpoint on the given address with a number of slots; runMS returns the run time of the next request.
func New(ck *clock.Clock, name, address string, slots int, runMS func() int64, rec *recorder.Recorder) (*Server, error) {
	ls, err := net.Listen("tcp", address)
	if err != nil {
		return nil, code.Internal.Wrap(err)
	}
	sv := &Server{ck: ck, name: name, rec: rec, runMS: runMS, ls: ls, conns: blackhole.New(), slots: int64(slots), slowFactor: 1}
	sv.srv = &http.Server{Handler: http.HandlerFunc(sv.serve)}
	go func() { _ = sv.srv.Serve(sv.conns.Listen(ls)) }()
	return sv, nil
}

// Address returns the ip:port that the endpoint listens on.
func (sv *Server) Address() string { return sv.ls.Addr().String() }

// Name returns the name of the endpoint's VM.
func (sv *Server) Name() string { return sv.name }

// Busy returns how many slots are in use.
func (sv *Server) Busy() int { return int(sv.busy.Load()) }

// SetMode makes the endpoint respond with status 500 without running requests ("fail"), close the connection before the end of the response ("half"),
// respond with another request id ("wrong-id"), close the connection without a response after running ("drop") or work without faults ("").
func (sv *Server) SetMode(mode string) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.mode = mode
}

// SetSlow multiplies the run times of requests by a factor.
func (sv *Server) SetSlow(factor int64) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.slowFactor = factor
}

// DropData makes the connections that are open now drop all data, and returns their number; new connections work.
func (sv *Server) DropData() int { return sv.conns.DropData() }

// Close closes the listener and all open connections.
func (sv *Server) Close() { _ = sv.srv.Close() }

func (sv *Server) serve(wr http.ResponseWriter, rq *http.Request) {
	id := rq.Header.Get(idHeader)
	body, err := io.ReadAll(io.LimitReader(rq.Body, maxBodyBytes))
	if err != nil {
		return
	}
	mode, slow := sv.faults()
	if mode == modeFail {
		wr.Header().Set(idHeader, id)
		wr.WriteHeader(http.StatusInternalServerError)
		return
	}
	if sv.busy.Add(1) > sv.slots {
		sv.busy.Add(-1)
		sv.refuse(wr, id)
		return
	}
	sv.run(rq, id, slow)
	sv.answer(wr, id, mode, body)
}

func (sv *Server) run(rq *http.Request, id string, slow int64) {
	defer sv.busy.Add(-1)
	end := sv.rec.Start(rq.Header.Get(serviceHeader)+"/"+id, "team:"+rq.Header.Get(teamHeader), "vm:"+sv.name)
	defer end()
	_ = sv.ck.Sleep(rq.Context(), sv.runMS()*slow)
}

// refuse responds that the request was not started because all slots are in use.
func (sv *Server) refuse(wr http.ResponseWriter, id string) {
	wr.Header().Set(idHeader, id)
	wr.Header().Set(refusedHeader, "1")
	wr.WriteHeader(http.StatusServiceUnavailable)
}

func (sv *Server) answer(wr http.ResponseWriter, id, mode string, body []byte) {
	switch mode {
	case modeNoAnswer:
		panic(http.ErrAbortHandler)
	case modeTruncate:
		wr.Header().Set(idHeader, id)
		wr.Header().Set("Content-Length", strconv.Itoa(len(body)+1))
		_, _ = io.Copy(wr, bytes.NewReader(body))
		_ = http.NewResponseController(wr).Flush()
		panic(http.ErrAbortHandler)
	case modeWrongID:
		id += "-other"
	}
	wr.Header().Set(idHeader, id)
	_, _ = wr.Write(body)
}

func (sv *Server) faults() (string, int64) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.mode, sv.slowFactor
}
