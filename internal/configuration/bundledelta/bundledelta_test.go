package bundledelta_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/configuration/bundledelta"
	"github.com/fulmarloft/fulmarloft/internal/testbed/bundletest"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// A delta applied to its base must give the target byte for byte, and a delta for another base must be refused.
func TestDeltaGivesTarget(t *testing.T) {
	base := bundletest.New(3, 4, 5)
	for _, tc := range []struct {
		name   string
		change func(string) string
	}{
		{"nothing", func(s string) string { return s }},
		{"a share", func(s string) string { return strings.Replace(s, "share: 1", "share: 7", 1) }},
		{"a pool removed", func(s string) string {
			at := strings.Index(s, "- name: pool-2\n")
			end := at + strings.Index(s[at+1:], "- name:") + 1
			return s[:at] + s[end:]
		}},
		{"two items swapped", func(s string) string {
			return strings.NewReplacer("name: team-0", "name: team-1", "name: team-1", "name: team-0").Replace(s)
		}},
		{"all new", func(string) string { return "a: 1\nb:\n- c\n" }},
		{"empty", func(string) string { return "" }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			target := []byte(tc.change(string(base)))
			dl := bundledelta.Between(base, target)
			got, err := bundledelta.Apply(base, dl)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, string(got), qt.Equals, string(target))
		})
	}
	_, err := bundledelta.Apply([]byte("x"), bundledelta.Between(base, base))
	qt.Assert(t, code.Of(err), qt.Equals, code.EpochStale)
}

// TestS8DeltaStaysSmall bounds the size of the delta for one changed value in a bundle of the size expected in two years.
func TestS8DeltaStaysSmall(t *testing.T) {
	base := bundletest.New(79, 306, 500)
	target := []byte(strings.Replace(string(base), "share: 1", "share: 7", 1))
	size := proto.Size(bundledelta.Between(base, target))
	qt.Assert(t, size < 400, qt.IsTrue, qt.Commentf("%d bytes of %d", size, len(base)))
}

func BenchmarkBetween(b *testing.B) {
	for _, keys := range []int{125, 250, 500} {
		b.Run(fmt.Sprintf("teams=79/pools=306/keys=%d", keys), func(b *testing.B) {
			base := bundletest.New(79, 306, keys)
			target := []byte(strings.Replace(string(base), "share: 1", "share: 7", 1))
			size := 0
			for b.Loop() {
				size = proto.Size(bundledelta.Between(base, target))
			}
			b.ReportMetric(float64(len(base)), "bundle-bytes")
			b.ReportMetric(float64(size), "delta-bytes")
		})
	}
}
