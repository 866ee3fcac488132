package entry

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/gorilla/mux"

	"github.com/fulmarloft/fulmarloft/pkg/code"
)

const (
	vmListIntervalMS    = 500
	readHeaderTimeoutMS = 5000
	idleTimeoutMS       = 120_000
	writeTimeoutMS      = 600_000
	maxHeaderBytes      = 32 << 10
	kindEndpoint        = "endpoint"
	kindEntry           = "entry"
	contentTypeJSON     = "application/json"
)

// servers holds the listeners and HTTP servers, and optional hooks into the connections between entries.
type servers struct {
	callerLs, adminLs, peerLs net.Listener
	caller, admin             *http.Server
	wrapPeerListener          func(net.Listener) net.Listener
	peerDial                  func(ctx context.Context, address string) (net.Conn, error)
}

// CallerAddress returns the ip:port of the callers' API.
func (en *Entry) CallerAddress() string { return en.srv.callerLs.Addr().String() }

// AdminAddress returns the ip:port of the operator API and the metrics.
func (en *Entry) AdminAddress() string { return en.srv.adminLs.Addr().String() }

// PeerAddress returns the ip:port on which other entries are served.
func (en *Entry) PeerAddress() string { return en.srv.peerLs.Addr().String() }

func (en *Entry) listen() error {
	for _, lc := range []struct {
		addr string
		ls   *net.Listener
	}{
		{en.st.Caller(), &en.srv.callerLs},
		{en.st.Admin(), &en.srv.adminLs},
		{en.st.Peer(), &en.srv.peerLs},
	} {
		ls, err := net.Listen("tcp", lc.addr)
		if err != nil {
			return code.SettingsInvalid.Wrap(err)
		}
		*lc.ls = ls
	}
	if en.srv.wrapPeerListener != nil {
		en.srv.peerLs = en.srv.wrapPeerListener(en.srv.peerLs)
	}
	return nil
}

// WrapPeerListener sets a function that wraps the listener for other entries; it must be called before Start.
func (en *Entry) WrapPeerListener(wrap func(net.Listener) net.Listener) {
	en.srv.wrapPeerListener = wrap
}

// SetPeerDial sets the function that opens connections to other entries; it must be called before Start.
func (en *Entry) SetPeerDial(dial func(ctx context.Context, address string) (net.Conn, error)) {
	en.srv.peerDial = dial
}

func (en *Entry) serve() {
	for _, rt := range []*mux.Router{en.admin, en.callers} {
		rt.HandleFunc("/healthz", en.healthz)
		rt.HandleFunc("/readyz", en.readyz)
	}
	en.admin.HandleFunc("/metrics", en.metrics)
	en.srv.caller = newServer(en.callers)
	en.srv.admin = newServer(en.admin)
	go en.serveHTTP("callers", en.srv.caller, en.srv.callerLs)
	go en.serveHTTP("admin", en.srv.admin, en.mutualTLSListener(en.srv.adminLs))
}

// serveHTTP serves until the server is closed; any other end is a fault that an operator must see.
func (en *Entry) serveHTTP(name string, sv *http.Server, ls net.Listener) {
	if err := sv.Serve(ls); err != nil && !errors.Is(err, http.ErrServerClosed) {
		en.lg.Fail("listener-failed", err, "listener", name)
	}
}

func newServer(hd http.Handler) *http.Server {
	return &http.Server{Handler: hd, ReadHeaderTimeout: milliseconds(readHeaderTimeoutMS), IdleTimeout: milliseconds(idleTimeoutMS), WriteTimeout: milliseconds(writeTimeoutMS), MaxHeaderBytes: maxHeaderBytes}
}

func (en *Entry) closeServers() {
	if en.srv.caller != nil {
		_ = en.srv.caller.Close()
		_ = en.srv.admin.Close()
	}
	_ = en.srv.peerLs.Close()
}

func (en *Entry) healthz(wr http.ResponseWriter, _ *http.Request) {
	wr.WriteHeader(http.StatusOK)
}

func (en *Entry) readyz(wr http.ResponseWriter, _ *http.Request) {
	if !en.cluster.ag.Ready() || en.dataPath.closing() {
		wr.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	wr.WriteHeader(http.StatusOK)
}

func (en *Entry) metrics(wr http.ResponseWriter, _ *http.Request) {
	wr.Header().Set("Content-Type", contentTypeJSON)
	en.mt.WriteJSON(wr)
}

// Ready reports whether the entry has confirmed its bundle as the newest at least once, knows the VM list and isn't shutting down.
func (en *Entry) Ready() bool {
	return en.cluster.ag.Ready() && len(en.vms.List().GetVms()) > 0 && !en.dataPath.closing()
}
