package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/request/drain"
)

// A draining entry that issues no request ids any more must say so with its code and when to come back.
func TestRequestIDsRefusedWhileDraining(t *testing.T) {
	ck := clock.NewFake(1000)
	en := &Entry{ck: ck}
	en.dataPath.drain = drain.New(ck)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	qt.Assert(t, en.dataPath.drain.Run(ctx, 1000), qt.Equals, context.Canceled)
	wr := httptest.NewRecorder()
	en.issueRequestIDs(wr, httptest.NewRequest(http.MethodPost, "/v1/request-ids", nil))
	qt.Check(t, wr.Code, qt.Equals, http.StatusServiceUnavailable)
	qt.Check(t, wr.Header().Get("Fulmarloft-Code"), qt.Equals, "110")
	qt.Check(t, wr.Header().Get("Retry-After"), qt.Equals, "1")
}
