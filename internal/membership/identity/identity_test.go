package identity_test

import (
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/membership/identity"
	"github.com/fulmarloft/fulmarloft/internal/testbed/identitytest"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// TestS9StrangersAreRefused checks that a listener for operators accepts only operator certificates of its own CA.
func TestS9StrangersAreRefused(t *testing.T) {
	own := identitytest.New(t.TempDir())
	other := identitytest.New(t.TempDir())
	server := load(t, own, "entry-1", identity.EntryUnit)
	for _, tc := range []struct {
		name   string
		client *tls.Config
		ok     bool
	}{
		{"operator", load(t, own, "jana", identity.OperatorUnit).ClientConfig(), true},
		{"entry where operators are expected", load(t, own, "entry-2", identity.EntryUnit).ClientConfig(), false},
		{"no unit", load(t, own, "jana", "").ClientConfig(), false},
		{"other authority", acceptAnyServer(load(t, other, "jana", identity.OperatorUnit).ClientConfig()), false},
		{"no certificate", &tls.Config{InsecureSkipVerify: true}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got, err := exchange(t, server.ServerConfig(identity.OperatorUnit), tc.client)
			qt.Check(t, err == nil, qt.Equals, tc.ok, qt.Commentf("%v", err))
			if tc.ok {
				qt.Check(t, got, qt.Equals, "jana")
			}
		})
	}
}

// TestS9ClientRefusesFalseEntry checks that an entry doesn't connect to a server without an entry certificate of its own CA.
func TestS9ClientRefusesFalseEntry(t *testing.T) {
	own := identitytest.New(t.TempDir())
	other := identitytest.New(t.TempDir())
	client := load(t, own, "entry-2", identity.EntryUnit).ClientConfig()
	for _, tc := range []struct {
		name   string
		server *identity.Identity
	}{
		{"an operator as server", load(t, own, "jana", identity.OperatorUnit)},
		{"other authority", load(t, other, "entry-1", identity.EntryUnit)},
	} {
		_, err := exchange(t, tc.server.ServerConfig(identity.EntryUnit), client)
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%s", tc.name))
	}
}

func TestOperatorNeedsCertificate(t *testing.T) {
	id := &identity.Identity{}
	rq, err := http.NewRequest(http.MethodGet, "http://127.0.0.1/", nil)
	qt.Assert(t, err, qt.IsNil)
	_, err = id.Operator(rq)
	qt.Assert(t, code.Of(err), qt.Equals, code.Forbidden)
}

func load(t *testing.T, au *identitytest.Authority, name, unit string) *identity.Identity {
	cert, key := au.Issue(name, unit)
	id, err := identity.Load(cert, key, au.File())
	qt.Assert(t, err, qt.IsNil)
	return id
}

// acceptAnyServer disables the client's check of the server certificate, so that only the server's check of the client can fail.
func acceptAnyServer(conf *tls.Config) *tls.Config {
	conf.VerifyConnection = nil
	return conf
}

func exchange(t *testing.T, server, client *tls.Config) (string, error) {
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	id := &identity.Identity{}
	hs := &http.Server{Handler: http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		name, _ := id.Operator(rq)
		_, _ = io.WriteString(wr, name)
	})}
	defer func() { _ = hs.Close() }()
	go func() { _ = hs.Serve(tls.NewListener(ls, server)) }()
	hc := &http.Client{Transport: &http.Transport{TLSClientConfig: client}}
	defer hc.CloseIdleConnections()
	res, err := hc.Get("https://" + ls.Addr().String())
	if err != nil {
		return "", err
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(res.Body)
	return string(raw), err
}
