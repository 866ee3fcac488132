package endtoend_test

import (
	"net/http"
	"sort"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/request/endtoend"
)

func TestHeaders(t *testing.T) {
	hd := http.Header{
		"Accept": {"a", "b"}, "Connection": {"close, x-one", "X-Two"}, "X-One": {"1"}, "X-Two": {"2"}, "X-Three": {"3"},
		"Transfer-Encoding": {"chunked"}, "Content-Length": {"5"}, "Fulmarloft-Key": {"secret"}, "Idempotency-Key": {"i"},
	}
	var got []string
	for _, ln := range endtoend.Headers(hd) {
		got = append(got, ln.GetName()+"="+ln.GetValue())
	}
	sort.Strings(got)
	qt.Assert(t, got, qt.DeepEquals, []string{"Accept=a", "Accept=b", "Idempotency-Key=i", "X-Three=3"})
}
