package entry_test

import (
	"bytes"
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
	"github.com/fulmarloft/fulmarloft/internal/entry"
	"github.com/fulmarloft/fulmarloft/internal/membership/identity"
	"github.com/fulmarloft/fulmarloft/internal/observability/event"
	"github.com/fulmarloft/fulmarloft/internal/settings"
	"github.com/fulmarloft/fulmarloft/internal/testbed/bundletest"
	"github.com/fulmarloft/fulmarloft/internal/testbed/identitytest"
	"github.com/fulmarloft/fulmarloft/internal/testbed/standin/platform"
)

const loopback = "127.0.0.1:0"

// logBuffer collects the log output of an entry; it is safe for concurrent use.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (lb *logBuffer) Write(raw []byte) (int, error) {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	return lb.buf.Write(raw)
}

func (lb *logBuffer) String() string {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	return lb.buf.String()
}

type fixture struct {
	en   *entry.Entry
	logs *logBuffer
	au   *identitytest.Authority
}

func start(t *testing.T) *fixture {
	ck := clock.New()
	pf, err := platform.New(ck, loopback, 0, 0)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(pf.Close)
	fx := &fixture{logs: &logBuffer{}, au: identitytest.New(t.TempDir())}
	cert, key := fx.au.Issue("entry-1", identity.EntryUnit)
	st, err := settings.Parse([]byte(fmt.Sprintf("name: entry-1\nzone: a\ncaller-address: %s\nadmin-address: %s\npeer-address: %s\nplatform-address: %s\ntls: {certificate: %s, key: %s, authority: %s}\n",
		loopback, loopback, loopback, pf.Address(), cert, key, fx.au.File())))
	qt.Assert(t, err, qt.IsNil)
	fx.en = entry.New(st, ck, event.New(fx.logs))
	qt.Assert(t, fx.en.Start(), qt.IsNil)
	t.Cleanup(fx.en.Kill)
	return fx
}

func (fx *fixture) client(t *testing.T, name, unit string) *http.Client {
	cert, key := fx.au.Issue(name, unit)
	id, err := identity.Load(cert, key, fx.au.File())
	qt.Assert(t, err, qt.IsNil)
	hc := &http.Client{Transport: &http.Transport{TLSClientConfig: id.ClientConfig()}}
	t.Cleanup(hc.CloseIdleConnections)
	return hc
}

func (fx *fixture) publish(t *testing.T, hc *http.Client, operation, text string, operators ...int) (int, string) {
	rq, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "https://"+fx.en.AdminAddress()+"/v1/bundle", strings.NewReader(text))
	qt.Assert(t, err, qt.IsNil)
	rq.Header.Set("fulmarloft-operation", operation)
	for _, so := range bundletest.Sign(text, operators...) {
		rq.Header.Add("fulmarloft-sign-off", so.String())
	}
	res, err := hc.Do(rq)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(res.Body)
	qt.Assert(t, err, qt.IsNil)
	return res.StatusCode, string(raw)
}

// Every route of the operator API must refuse clients without an operator's certificate, and a publication must be signed off, applied once per operation id and never replayed.
func TestS9OperatorAPI(t *testing.T) {
	fx := start(t)
	for _, path := range []string{"/metrics", "/v1/bundle", "/v1/bundle/status", "/v1/waves"} {
		_, err := (&http.Client{}).Get("http://" + fx.en.AdminAddress() + path)
		if err == nil {
			res, _ := http.Get("http://" + fx.en.AdminAddress() + path)
			qt.Check(t, res.StatusCode, qt.Equals, http.StatusBadRequest)
		}
		_, err = fx.client(t, "mallory", "").Get("https://" + fx.en.AdminAddress() + path)
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%s", path))
	}
	op := fx.client(t, "op-0", identity.OperatorUnit)
	first := bundletest.Text(1, 1, 2, 1, 4)
	status, body := fx.publish(t, op, "op-1", first, 0)
	qt.Assert(t, status == http.StatusOK || status == http.StatusAccepted, qt.IsTrue, qt.Commentf("%d %s", status, body))
	for _, tc := range []struct {
		name, operation, text string
		operators             []int
		want                  int
	}{
		{"replayed under its id", "op-1", first, []int{0}, 0},
		{"replayed under another id", "op-2", first, []int{0}, http.StatusConflict},
		{"id used for another bundle", "op-1", bundletest.Next(first), []int{0}, http.StatusConflict},
		{"unknown operator", "op-3", bundletest.Next(first), []int{2}, http.StatusForbidden},
		{"no sign-off", "op-4", bundletest.Next(first), nil, http.StatusForbidden},
		{"next version", "op-5", bundletest.Next(first), []int{1}, 0},
		{"replayed later", "op-6", first, []int{0}, http.StatusConflict},
	} {
		status, body := fx.publish(t, op, tc.operation, tc.text, tc.operators...)
		ok := status == http.StatusOK || status == http.StatusAccepted
		qt.Check(t, (tc.want == 0 && ok) || status == tc.want, qt.IsTrue, qt.Commentf("%s: %d %s", tc.name, status, body))
	}
	qt.Check(t, fx.en.Bundle().Version(), qt.Equals, uint64(2))
	status, body = fx.publish(t, fx.client(t, "op-7", identity.OperatorUnit), "op-8", bundletest.Next(bundletest.Next(first)), 0)
	qt.Check(t, status, qt.Equals, http.StatusForbidden, qt.Commentf("%s", body))
	fx.publish(t, fx.client(t, "entry-2", identity.EntryUnit), "op-7", bundletest.Next(bundletest.Next(first)), 0)
	qt.Check(t, fx.en.Bundle().Version(), qt.Equals, uint64(2))
	qt.Check(t, fx.logs.String(), qt.Matches, `(?s).*event="bundle-publish" operator="op-0" operation="op-1" outcome="ok".*`)
	qt.Check(t, fx.logs.String(), qt.Matches, `(?s).*event="bundle-publish" code=300 .*operation="op-2" outcome="conflict".*`)
}

// When a stop is cut short, the log must say so with what was still in flight; callers then miss answers.
func TestStopThatIsCutShortIsLogged(t *testing.T) {
	fx := start(t)
	nc, err := net.Dial("tcp", fx.en.CallerAddress())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = nc.Close() }()
	_, err = nc.Write([]byte("GET /healthz HTTP/1.1\r\n"))
	qt.Assert(t, err, qt.IsNil)
	_, err = http.Get("http://" + fx.en.CallerAddress() + "/healthz")
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	fx.en.Stop(ctx)
	qt.Check(t, fx.logs.String(), qt.Matches, `(?s).*event="drain-cut-short" .*in-flight=0.*`)
	qt.Check(t, fx.logs.String(), qt.Matches, `(?s).*event="callers-cut-off" .*`)
}
