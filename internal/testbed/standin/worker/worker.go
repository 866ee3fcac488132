package worker

import (
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/gorilla/mux"
	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/testbed/recorder"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Server is one worker; it stops a run when the run's lease expires.
type Server struct {
	ck    *clock.Clock
	rec   *recorder.Recorder
	lagMS int64
	ls    net.Listener
	srv   *http.Server
	mu    sync.Mutex
	runs  map[string]*run
	fail  bool
}

// run is the run of a task; changedMS is the time of its last change from prevState to state.
type run struct {
	task            *platformpb.Task
	state           string
	changedMS       int64
	prevState       string
	stopLeaseTimer  func() bool
	stopFinishTimer func() bool
	recordEnd       func()
}

const (
	stateRunning      = "running"
	stateDone         = "done"
	stateFailed       = "failed"
	stateStopped      = "stopped"
	stateCheckpointed = "checkpointed"
	stateUnknown      = "unknown"
	maxBodyBytes      = 1 << 20
)

// New starts a worker on the given address whose reports lag by lagMS.
func New(ck *clock.Clock, address string, lagMS int64, rec *recorder.Recorder) (*Server, error) {
	ls, err := net.Listen("tcp", address)
	if err != nil {
		return nil, code.Internal.Wrap(err)
	}
	sv := &Server{ck: ck, rec: rec, lagMS: lagMS, ls: ls, runs: map[string]*run{}}
	rt := mux.NewRouter()
	rt.HandleFunc("/worker/task", sv.task).Methods(http.MethodPost)
	rt.HandleFunc("/worker/reports", sv.reports).Methods(http.MethodPost)
	sv.srv = &http.Server{Handler: rt}
	go func() { _ = sv.srv.Serve(ls) }()
	return sv, nil
}

// Address returns the ip:port that the worker listens on.
func (sv *Server) Address() string { return sv.ls.Addr().String() }

// Close closes the listener and all open connections.
func (sv *Server) Close() { _ = sv.srv.Close() }

// SetFail makes the worker fail every task that it starts from now on, or ends that fault.
func (sv *Server) SetFail(fail bool) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.fail = fail
}

func (sv *Server) task(wr http.ResponseWriter, rq *http.Request) {
	raw, err := io.ReadAll(io.LimitReader(rq.Body, maxBodyBytes))
	tk := &platformpb.Task{}
	if err == nil {
		err = proto.Unmarshal(raw, tk)
	}
	if err != nil {
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	write(wr, sv.Do(tk))
}

// Do executes one command and returns the run's state; a repeated command has no second effect.
func (sv *Server) Do(tk *platformpb.Task) *platformpb.TaskReport {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	rn, ok := sv.runs[tk.GetRun()]
	if !ok && tk.GetVerb() == "start" {
		rn = sv.start(tk)
		ok = true
	}
	if !ok {
		return &platformpb.TaskReport{Run: tk.GetRun(), Epoch: tk.GetEpoch(), State: stateUnknown, AsOfMs: sv.ck.Now()}
	}
	switch tk.GetVerb() {
	case "renew":
		sv.renew(rn, tk.GetLeaseMs())
	case "checkpoint":
		sv.end(rn, stateCheckpointed)
	case "stop":
		sv.end(rn, stateStopped)
	}
	return sv.report(rn, sv.ck.Now())
}

// Reports returns the states of the runs as of lagMS ago.
func (sv *Server) Reports() *platformpb.TaskReports {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	rep := &platformpb.TaskReports{}
	for _, rn := range sv.runs {
		rep.Reports = append(rep.Reports, sv.report(rn, sv.ck.Now()-sv.lagMS))
	}
	return rep
}

func (sv *Server) reports(wr http.ResponseWriter, _ *http.Request) { write(wr, sv.Reports()) }

func (sv *Server) start(tk *platformpb.Task) *run {
	rn := &run{task: tk, state: stateRunning, changedMS: sv.ck.Now(), prevState: stateUnknown}
	rn.recordEnd = sv.rec.Start(tk.GetRun(), "job-team:"+tk.GetTeam())
	sv.runs[tk.GetRun()] = rn
	result := stateDone
	after := tk.GetRunMs()
	if sv.fail {
		result, after = stateFailed, 1
	}
	rn.stopFinishTimer = sv.ck.AfterFunc(after, func() { sv.onTimer(rn, result) })
	sv.renew(rn, tk.GetLeaseMs())
	return rn
}

// renew restarts the timer that stops the run when its lease expires.
func (sv *Server) renew(rn *run, leaseMS int64) {
	if rn.state != stateRunning {
		return
	}
	if rn.stopLeaseTimer != nil {
		rn.stopLeaseTimer()
	}
	rn.stopLeaseTimer = sv.ck.AfterFunc(leaseMS, func() { sv.onTimer(rn, stateStopped) })
}

// onTimer ends a run from a timer, which doesn't hold the mutex.
func (sv *Server) onTimer(rn *run, state string) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.end(rn, state)
}

func (sv *Server) end(rn *run, state string) {
	if rn.state != stateRunning {
		return
	}
	rn.prevState, rn.state, rn.changedMS = rn.state, state, sv.ck.Now()
	rn.stopLeaseTimer()
	rn.stopFinishTimer()
	rn.recordEnd()
}

func (sv *Server) report(rn *run, asOf int64) *platformpb.TaskReport {
	state := rn.state
	if rn.changedMS > asOf {
		state = rn.prevState
	}
	return &platformpb.TaskReport{
		Run: rn.task.GetRun(), Epoch: rn.task.GetEpoch(), State: state, AsOfMs: asOf,
		UsedCores: rn.task.GetCores(), UsedMemoryMb: rn.task.GetMemoryMb(),
	}
}

func write(wr http.ResponseWriter, msg proto.Message) {
	raw, err := proto.Marshal(msg)
	if err != nil {
		wr.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = wr.Write(raw)
}
