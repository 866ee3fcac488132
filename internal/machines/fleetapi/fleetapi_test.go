package fleetapi_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/gorilla/mux"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/machines/fleet"
	"github.com/fulmarloft/fulmarloft/internal/machines/fleetapi"
	"github.com/fulmarloft/fulmarloft/internal/machines/fleettable"
	"github.com/fulmarloft/fulmarloft/internal/testbed/memtable"
	"github.com/fulmarloft/fulmarloft/pkg/bundle"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Each route must refuse clients without an operator's name, answer a repeated operation id as before, and refuse the same step by another operator.
func TestRoutes(t *testing.T) {
	ck := clock.NewFake(1000)
	fl := fleet.New("a", ck, fleettable.New(memtable.New().Client("a")), nil, nil,
		func() *bundle.Bundle { return &bundle.Bundle{} }, func(string) bool { return true })
	rt := mux.NewRouter()
	fleetapi.New(fl, func(rq *http.Request) (string, error) {
		if rq.Header.Get("who") == "" {
			return "", code.OperatorUnknown
		}
		return rq.Header.Get("who"), nil
	}).Routes(rt)
	for _, tc := range []struct {
		name, method, path, who, operation, body string
		status                                   int
		text                                     string
	}{
		{"unauthenticated", "GET", "/v1/waves", "", "", "", 403, "operator-unknown"},
		{"no operation", "POST", "/v1/waves", "jana", "", `{"name":"w"}`, 400, "operation id"},
		{"malformed", "POST", "/v1/waves", "jana", "op", `{"nam":"w"}`, 400, "header-malformed"},
		{"too large", "POST", "/v1/waves", "jana", "op", `{"name":"` + strings.Repeat("x", 64<<10) + `"}`, 413, "body-too-large"},
		{"unknown pool", "POST", "/v1/waves", "jana", "op", `{"name":"w","pools":["x"]}`, 409, "isn't in the bundle"},
		{"create", "POST", "/v1/waves", "jana", "op-1", `{"name":"w"}`, 200, "name=w state=running"},
		{"repeat", "POST", "/v1/waves", "jana", "op-1", `{"name":"w"}`, 200, "epoch=1"},
		{"other operator creates", "POST", "/v1/waves", "peter", "op-2", `{"name":"w"}`, 409, "code=300"},
		{"pause", "POST", "/v1/waves/w/pause", "jana", "op-3", "", 200, `reason="paused by jana"`},
		{"other operator pauses", "POST", "/v1/waves/w/pause", "peter", "op-4", "", 409, "code=300"},
		{"status", "GET", "/v1/waves", "peter", "", "", 200, "state=paused"},
		{"unknown wave", "POST", "/v1/waves/x/cancel", "jana", "op-5", "", 404, "wave-unknown"},
		{"unknown vm", "POST", "/v1/vms/x/hold", "jana", "op-6", `{"reason":"noisy"}`, 404, "vm-unknown"},
		{"vms", "GET", "/v1/vms", "jana", "", "", 200, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			rq := httptest.NewRequest(tc.method, tc.path, strings.NewReader(tc.body))
			rq.Header.Set("who", tc.who)
			rq.Header.Set("Accept", "text/plain")
			rq.Header.Set("fulmarloft-operation", tc.operation)
			wr := httptest.NewRecorder()
			rt.ServeHTTP(wr, rq)
			qt.Check(t, wr.Code, qt.Equals, tc.status)
			qt.Check(t, strings.Contains(wr.Body.String(), tc.text), qt.IsTrue, qt.Commentf("%s", wr.Body))
		})
	}
}
