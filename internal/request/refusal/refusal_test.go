package refusal_test

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/request/refusal"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// A caller that comes back sooner than a call takes would only spend its time on calls.
func TestRetryTimeCoversACall(t *testing.T) {
	for _, tc := range []struct{ estimateMS, want int64 }{{-5, 20}, {0, 20}, {1, 20}, {20, 20}, {21, 21}, {800, 800}} {
		err := refusal.New(code.QueueFull, tc.estimateMS)
		qt.Check(t, refusal.RetryAfterMS(err), qt.Equals, tc.want)
		hd := http.Header{}
		refusal.SetRetryAfter(hd, refusal.RetryAfterMS(err))
		qt.Check(t, hd.Get("Retry-After"), qt.Equals, "1")
	}
}
