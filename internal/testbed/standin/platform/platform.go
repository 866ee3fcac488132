package platform

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"

	"github.com/gorilla/mux"
	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/testbed/memtable"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Server serves the platform's API from memory; faults can be set at run time.
type Server struct {
	ck            *clock.Clock
	tab           *memtable.Table
	srv           *http.Server
	ls            net.Listener
	mu            sync.Mutex
	objects       map[string][]byte
	fleet         *fleet
	cut           map[string]bool
	down          bool
	answersToLose int
}

const (
	maxBodyBytes = 64 << 20
	callerHeader = "fulmarloft-caller"
	asOfHeader   = "fulmarloft-as-of-ms"
)

// New starts a server on the given address whose VM list lags by lagMS and whose reboots take rebootMS; port 0 lets the system choose the port.
func New(ck *clock.Clock, address string, lagMS, rebootMS int64) (*Server, error) {
	ls, err := net.Listen("tcp", address)
	if err != nil {
		return nil, code.Internal.Wrap(err)
	}
	sv := &Server{
		ck:      ck,
		tab:     memtable.New(),
		ls:      ls,
		objects: map[string][]byte{},
		fleet:   newFleet(ck, lagMS, rebootMS),
		cut:     map[string]bool{},
	}
	sv.tab.SetFaults(sv.checkReachable, sv.loseAnswer)
	sv.srv = &http.Server{Handler: sv.routes()}
	go func() { _ = sv.srv.Serve(ls) }()
	return sv, nil
}

// Address returns the ip:port that the server listens on.
func (sv *Server) Address() string { return sv.ls.Addr().String() }

// Table returns the table behind the server.
func (sv *Server) Table() *memtable.Table { return sv.tab }

// Close closes the listener and all open connections.
func (sv *Server) Close() { _ = sv.srv.Close() }

// SetDown makes every call fail, or ends that fault.
func (sv *Server) SetDown(down bool) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.down = down
}

// SetCut makes all calls of the named caller fail, or ends that fault.
func (sv *Server) SetCut(caller string, cut bool) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.cut[caller] = cut
}

// LoseAnswers makes the next n table writes take effect but respond with a gateway timeout, so that they are in doubt for the caller.
func (sv *Server) LoseAnswers(n int) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.answersToLose = n
}

// PutVM adds or replaces a VM in the list.
func (sv *Server) PutVM(vm *platformpb.VM) { sv.fleet.put(vm) }

// PutVMs adds or replaces several VMs in one snapshot of the list.
func (sv *Server) PutVMs(vms []*platformpb.VM) { sv.fleet.put(vms...) }

// RemoveVM removes a VM and lists its incarnation as gone.
func (sv *Server) RemoveVM(name string) { sv.fleet.remove(name) }

// OnReboot sets a function that is called at the end of each reboot with the VM, which has its new incarnation.
func (sv *Server) OnReboot(fn func(vm *platformpb.VM)) { sv.fleet.onReboot(fn) }

// Reboots returns how many reboots have finished.
func (sv *Server) Reboots() int { return sv.fleet.reboots() }

func (sv *Server) routes() http.Handler {
	rt := mux.NewRouter()
	rt.HandleFunc("/table/commit", sv.commit).Methods(http.MethodPost)
	rt.HandleFunc("/table/read", sv.read).Methods(http.MethodPost)
	rt.HandleFunc("/vms/list", sv.list).Methods(http.MethodPost)
	rt.HandleFunc("/vms/act", sv.act).Methods(http.MethodPost)
	rt.HandleFunc("/objects/{name:.+}", sv.put).Methods(http.MethodPut)
	rt.HandleFunc("/objects/{name:.+}", sv.get).Methods(http.MethodGet)
	return rt
}

func (sv *Server) commit(wr http.ResponseWriter, rq *http.Request) {
	req := &platformpb.CommitRequest{}
	if !decode(wr, rq, req) {
		return
	}
	rep, err := sv.tab.Commit(rq.Context(), rq.Header.Get(callerHeader), req)
	reply(wr, rep, err)
}

func (sv *Server) read(wr http.ResponseWriter, rq *http.Request) {
	req := &platformpb.ReadRequest{}
	if !decode(wr, rq, req) {
		return
	}
	rep, err := sv.tab.Read(rq.Context(), rq.Header.Get(callerHeader), req)
	reply(wr, rep, err)
}

func (sv *Server) list(wr http.ResponseWriter, rq *http.Request) {
	if err := sv.checkReachable(rq.Header.Get(callerHeader), false); err != nil {
		reply(wr, nil, err)
		return
	}
	list, etag, asOf := sv.fleet.list()
	wr.Header().Set("ETag", etag)
	wr.Header().Set(asOfHeader, strconv.FormatInt(asOf, 10))
	if rq.Header.Get("If-None-Match") == etag {
		wr.WriteHeader(http.StatusNotModified)
		return
	}
	list.AsOfMs = asOf
	reply(wr, list, nil)
}

func (sv *Server) act(wr http.ResponseWriter, rq *http.Request) {
	req := &platformpb.VMAction{}
	if !decode(wr, rq, req) {
		return
	}
	if err := sv.checkReachable(rq.Header.Get(callerHeader), true); err != nil {
		reply(wr, nil, err)
		return
	}
	reply(wr, &platformpb.VMActionReply{State: sv.fleet.act(req)}, nil)
}

func (sv *Server) put(wr http.ResponseWriter, rq *http.Request) {
	raw, err := io.ReadAll(io.LimitReader(rq.Body, maxBodyBytes))
	if err == nil {
		err = sv.checkReachable(rq.Header.Get(callerHeader), true)
	}
	if err != nil {
		reply(wr, nil, err)
		return
	}
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.objects[mux.Vars(rq)["name"]] = raw
}

func (sv *Server) get(wr http.ResponseWriter, rq *http.Request) {
	if err := sv.checkReachable(rq.Header.Get(callerHeader), false); err != nil {
		reply(wr, nil, err)
		return
	}
	sv.mu.Lock()
	raw, ok := sv.objects[mux.Vars(rq)["name"]]
	sv.mu.Unlock()
	if !ok {
		wr.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = wr.Write(raw)
}

// checkReachable is called before each call takes effect; it fails while the platform is down or the caller is cut off.
func (sv *Server) checkReachable(caller string, _ bool) error {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if sv.down || sv.cut[caller] {
		return code.TableUnavailable
	}
	return nil
}

// loseAnswer is called after each table call took effect; it returns an error if the answer is to be lost.
func (sv *Server) loseAnswer(_ string, write bool) error {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if write && sv.answersToLose > 0 {
		sv.answersToLose--
		return code.TableInDoubt
	}
	return nil
}

func decode(wr http.ResponseWriter, rq *http.Request, msg proto.Message) bool {
	raw, err := io.ReadAll(io.LimitReader(rq.Body, maxBodyBytes))
	if err == nil {
		err = proto.Unmarshal(raw, msg)
	}
	if err != nil {
		wr.WriteHeader(http.StatusBadRequest)
		return false
	}
	return true
}

func reply(wr http.ResponseWriter, msg proto.Message, err error) {
	switch code.Of(err) {
	case code.OK:
	case code.TableInDoubt:
		wr.WriteHeader(http.StatusGatewayTimeout)
		return
	default:
		wr.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	raw, err := proto.Marshal(msg)
	if err != nil {
		wr.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = wr.Write(raw)
}
