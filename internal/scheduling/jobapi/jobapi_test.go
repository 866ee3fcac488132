package jobapi_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/gorilla/mux"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/observability/event"
	"github.com/fulmarloft/fulmarloft/internal/observability/metric"
	"github.com/fulmarloft/fulmarloft/internal/request/refusal"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/jobapi"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/size"
	"github.com/fulmarloft/fulmarloft/internal/testbed/memtable"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

const retentionMS = 600000

type fixture struct {
	t     *testing.T
	ck    *clock.Clock
	tb    *memtable.Table
	rt    *mux.Router
	seq   int
	keyed error
	enter error
}

func newFixture(t *testing.T) *fixture {
	fx := &fixture{t: t, ck: clock.NewFake(10_000_000), tb: memtable.New(), rt: mux.NewRouter()}
	ap := &jobapi.API{
		Clock: fx.ck, Table: fx.tb.Client("entry"), Log: event.Discard(), Metric: metric.New(),
		Authenticate: func(secret string) (string, error) {
			name, ok := strings.CutPrefix(secret, "key-of-")
			if !ok {
				return "", code.KeyUnknown
			}
			return name, nil
		},
		CheckKeyed: func() error { return fx.keyed },
		Enter:      func() error { return fx.enter }, Leave: func() {}, Closing: func() bool { return false },
		Impossible:  func(need size.Size) bool { return need.CoresMilli() > 32000 },
		RetentionMS: func() int64 { return retentionMS },
		NewID: func() string {
			fx.seq++
			return fmt.Sprint(fx.seq)
		},
	}
	ap.Routes(fx.rt)
	return fx
}

func (fx *fixture) call(team, method, path, body string) (int, string, string, map[string]any) {
	rq := httptest.NewRequest(method, path, strings.NewReader(body))
	if team != "" {
		rq.Header.Set("fulmarloft-key", "key-of-"+team)
	}
	wr := httptest.NewRecorder()
	fx.rt.ServeHTTP(wr, rq)
	got := map[string]any{}
	_ = json.Unmarshal(wr.Body.Bytes(), &got)
	return wr.Code, wr.Header().Get("fulmarloft-code"), wr.Header().Get("fulmarloft-outcome"), got
}

func (fx *fixture) spec(id, more string) string {
	return fmt.Sprintf(`{"id":%q,"cores":1,"memory-mb":100,"run-ms":1000,"issued-ms":%d%s}`, id, fx.ck.Now(), more)
}

// Malformed submissions, those that no VM can run and those that couldn't be recognized when repeated must be refused.
func TestSubmit(t *testing.T) {
	cases := []struct {
		name   string
		team   string
		body   func(fx *fixture) string
		status int
		code   string
	}{
		{"accepted", "a", func(fx *fixture) string { return fx.spec("x", "") }, http.StatusAccepted, "0"},
		{"urgent and idempotent without a time", "a", func(*fixture) string {
			return `{"id":"x","class":"urgent","cores":1,"memory-mb":1,"run-ms":1,"idempotent":true}`
		}, http.StatusAccepted, "0"},
		{"no key", "", func(fx *fixture) string { return fx.spec("x", "") }, http.StatusUnauthorized, "100"},
		{"impossible", "a", func(*fixture) string {
			return `{"id":"x","cores":33,"memory-mb":1,"run-ms":1,"idempotent":true}`
		}, http.StatusUnprocessableEntity, "117"},
		{"malformed id", "a", func(fx *fixture) string { return fx.spec("x/y", "") }, http.StatusBadRequest, "105"},
		{"unknown field", "a", func(fx *fixture) string { return fx.spec("x", `,"speed":1`) }, http.StatusBadRequest, "116"},
		{"unknown class", "a", func(fx *fixture) string { return fx.spec("x", `,"class":"slow"`) }, http.StatusBadRequest, "105"},
		{"non-idempotent without a time", "a", func(*fixture) string {
			return `{"id":"x","cores":1,"memory-mb":1,"run-ms":1}`
		}, http.StatusBadRequest, "105"},
		{"too old to recognize a repeat", "a", func(fx *fixture) string {
			body := fx.spec("x", "")
			fx.ck.Advance(retentionMS/2 + 1)
			return body
		}, http.StatusConflict, "114"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			fx := newFixture(t)
			status, cd, outcome, _ := fx.call(tc.team, http.MethodPost, "/jobs", tc.body(fx))
			qt.Check(t, status, qt.Equals, tc.status)
			qt.Check(t, cd, qt.Equals, tc.code)
			qt.Check(t, outcome, qt.Equals, "not-run")
		})
	}
}

// A repeated submission must find the stored job and write nothing; one with the same id and different content must be refused.
func TestRepeatedSubmission(t *testing.T) {
	fx := newFixture(t)
	body := fx.spec("x", "")
	for range 3 {
		status, _, _, got := fx.call("a", http.MethodPost, "/jobs", body)
		qt.Assert(t, status, qt.Equals, http.StatusAccepted)
		qt.Assert(t, got["state"], qt.Equals, "queued")
	}
	writes, _ := fx.tb.Counts()
	qt.Check(t, writes, qt.Equals, int64(1))
	_, cd, _, _ := fx.call("a", http.MethodPost, "/jobs", strings.Replace(body, `"cores":1`, `"cores":2`, 1))
	qt.Check(t, cd, qt.Equals, "316")
	_, cd, _, _ = fx.call("b", http.MethodPost, "/jobs", body)
	qt.Check(t, cd, qt.Equals, "0")
}

// A submission must be refused as not run if the table is down, as unknown if its commit stays in doubt, and accepted if the row is found afterwards.
func TestTableFaults(t *testing.T) {
	fx := newFixture(t)
	fx.tb.SetFaults(func(string, bool) error { return code.TableUnavailable }, nil)
	_, cd, outcome, _ := fx.call("a", http.MethodPost, "/jobs", fx.spec("x", ""))
	qt.Check(t, cd, qt.Equals, "305")
	qt.Check(t, outcome, qt.Equals, "not-run")
	fx.tb.SetFaults(nil, func(_ string, write bool) error {
		if write {
			return context.DeadlineExceeded
		}
		return nil
	})
	status, _, _, _ := fx.call("a", http.MethodPost, "/jobs", fx.spec("x", ""))
	qt.Check(t, status, qt.Equals, http.StatusAccepted)
	fx.tb.SetFaults(nil, func(string, bool) error { return context.DeadlineExceeded })
	_, cd, outcome, _ = fx.call("a", http.MethodPost, "/jobs", fx.spec("y", ""))
	qt.Check(t, cd, qt.Equals, "308")
	qt.Check(t, outcome, qt.Equals, "unknown")
}

// Cancelling 1,000 jobs must take one transaction per 128 jobs.
func TestCancel(t *testing.T) {
	fx := newFixture(t)
	var ids []string
	for n := range 1000 {
		id := fmt.Sprintf("x-%d", n)
		ids = append(ids, fmt.Sprintf("%q", id))
		fx.call("a", http.MethodPost, "/jobs", fx.spec(id, ""))
	}
	before, _ := fx.tb.Counts()
	status, _, _, _ := fx.call("b", http.MethodPost, "/jobs/cancel", `{"ids":[`+strings.Join(ids, ",")+`]}`)
	qt.Check(t, status, qt.Equals, http.StatusOK)
	_, _, _, got := fx.call("a", http.MethodGet, "/jobs/x-7", "")
	qt.Check(t, got["state"], qt.Equals, "queued")
	status, _, _, _ = fx.call("a", http.MethodPost, "/jobs/cancel", `{"ids":[`+strings.Join(ids, ",")+`]}`)
	qt.Check(t, status, qt.Equals, http.StatusOK)
	after, _ := fx.tb.Counts()
	qt.Check(t, after-before, qt.Equals, int64(8))
	_, cd, outcome, got := fx.call("a", http.MethodGet, "/jobs/x-7", "")
	qt.Check(t, got["state"], qt.Equals, "cancelled")
	qt.Check(t, cd, qt.Equals, "113")
	qt.Check(t, outcome, qt.Equals, "not-run")
	status, cd, _, _ = fx.call("a", http.MethodDelete, "/jobs/unknown", "")
	qt.Check(t, status, qt.Equals, http.StatusNotFound)
	qt.Check(t, cd, qt.Equals, "118")
	fx.keyed = code.KeyedWorkPaused
	_, cd, _, _ = fx.call("a", http.MethodGet, "/jobs/x-7", "")
	qt.Check(t, cd, qt.Equals, "109")
}

// A body above the limit must be refused as such; a caller can't tell from a broken body that it is too large.
func TestBodyTooLarge(t *testing.T) {
	fx := newFixture(t)
	for _, path := range []string{"/jobs", "/jobs/cancel"} {
		status, _, _, body := fx.call("bratislava", http.MethodPost, path, `{"id":"`+strings.Repeat("x", 256<<10)+`"}`)
		qt.Check(t, status, qt.Equals, code.BodyTooLarge.Status(), qt.Commentf("%s: %v", path, body["detail"]))
		qt.Check(t, body["code"], qt.Equals, float64(code.BodyTooLarge), qt.Commentf("%s", path))
	}
}

// A draining entry must tell callers of its job API when to come back, as it tells those of services.
func TestRefusedCallsNameATimeToComeBack(t *testing.T) {
	fx := newFixture(t)
	fx.enter = refusal.New(code.Draining, 1200)
	wr := httptest.NewRecorder()
	fx.rt.ServeHTTP(wr, httptest.NewRequest(http.MethodPost, "/jobs", strings.NewReader(fx.spec("x", ""))))
	qt.Check(t, wr.Code, qt.Equals, http.StatusServiceUnavailable)
	qt.Check(t, wr.Header().Get("Retry-After"), qt.Equals, "2")
	qt.Check(t, wr.Header().Get("Fulmarloft-Retry-After-Ms"), qt.Equals, "1200")
}
