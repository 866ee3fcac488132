package caller_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/gorilla/mux"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/observability/event"
	"github.com/fulmarloft/fulmarloft/internal/observability/logsample"
	"github.com/fulmarloft/fulmarloft/internal/observability/metric"
	"github.com/fulmarloft/fulmarloft/internal/pb/callpb"
	"github.com/fulmarloft/fulmarloft/internal/request/caller"
	"github.com/fulmarloft/fulmarloft/internal/request/drain"
	"github.com/fulmarloft/fulmarloft/pkg/bundle"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// FuzzHeaders checks that every response has a known code, and that a refusal before the call has the outcome not-run.
func FuzzHeaders(f *testing.F) {
	f.Add("open", "", "", "", "")
	f.Add("teams", "k1.x", "id", "100", "")
	f.Add("teams", "k1.x", "id", "-1", "key")
	f.Add("teams", "", "", "99999999999999999999", "\x00")
	f.Add("other/..", "a.b.c", "s-x-1", "1e3", "")
	f.Fuzz(func(t *testing.T, path, key, id, deadline, idempotencyKey string) {
		ck := clock.NewFake(1)
		dr := drain.New(ck)
		bd := parse(t)
		called := false
		sv := &caller.Server{
			Clock: ck, Log: event.Discard(), Metric: metric.New(), Sample: logsample.New(ck, 1),
			Bundle:       func() *bundle.Bundle { return bd },
			Authenticate: func(string) (string, error) { return "team", nil },
			CheckKeyed:   func() error { return nil },
			Enter:        dr.Enter, Leave: dr.Leave, Closing: dr.Closing,
			Call: func(_ context.Context, req *callpb.Request) *callpb.Answer {
				called = true
				return &callpb.Answer{Id: req.GetId(), Outcome: "answered", Status: http.StatusOK}
			},
			NewID: func() string { return "issued" },
		}
		rt := mux.NewRouter()
		sv.Routes(rt)
		rq := httptest.NewRequest(http.MethodPost, "/call/open", nil)
		rq.URL.Path = "/call/" + path
		for name, val := range map[string]string{"Fulmarloft-Key": key, "Fulmarloft-Request-Id": id, "Fulmarloft-Deadline-Ms": deadline, "Idempotency-Key": idempotencyKey} {
			if val != "" {
				rq.Header.Set(name, val)
			}
		}
		rec := httptest.NewRecorder()
		rt.ServeHTTP(rec, rq)
		if rec.Code == http.StatusMovedPermanently {
			return
		}
		num, err := strconv.Atoi(rec.Header().Get("fulmarloft-code"))
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, slices.Contains(code.All(), code.Code(num)), qt.IsTrue)
		if !called {
			qt.Check(t, rec.Header().Get("fulmarloft-outcome"), qt.Equals, "not-run")
		}
	})
}
