package bundle_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/testbed/bundletest"
	"github.com/fulmarloft/fulmarloft/pkg/bundle"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Guards against reusing a list element of the earlier bundle that has changed: Restore must give the same bundle as Parse and refuse the same texts.
func TestRestoreEqualsParse(t *testing.T) {
	first := bundletest.Text(1, 1, 3, 4, 7)
	earlier, err := bundle.Restore(bundletest.Canonical(first), nil)
	qt.Assert(t, err, qt.IsNil)
	for _, tc := range []struct{ name, text string }{
		{"same", first},
		{"next", bundletest.Next(first)},
		{"key withdrawn", bundletest.Withdraw(bundletest.Withdraw(first, 1), 4)},
		{"changed pool", strings.Replace(first, "size: 10", "size: 11", 1)},
		{"team renamed", strings.Replace(first, "team-1", "team-9", 1)},
		{"no teams", bundletest.Text(1, 1, 0, 1, 0)},
		{"sample of TestParse", sample},
	} {
		t.Run(tc.name, func(t *testing.T) {
			raw := bundletest.Canonical(tc.text)
			got, err := bundle.Restore(raw, earlier)
			qt.Assert(t, err, qt.IsNil)
			want, err := bundle.Parse(raw)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, got.Hash(), qt.Equals, want.Hash())
			again, err := got.Bytes()
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, string(again), qt.Equals, string(raw))
		})
	}
	for _, raw := range []string{"", "teams:\n- x\n", strings.Replace(first, "share: 1", "shares: 1", 1), strings.Replace(first, "size: 10", "size: 1", 1)} {
		_, err := bundle.Restore([]byte(raw), earlier)
		qt.Check(t, code.Of(err) == code.BundleMalformed || code.Of(err) == code.BundleInvalid, qt.IsTrue, qt.Commentf("%v", err))
	}
}

// A list element that decodes to nothing must be named, without a hole in the text where there is no other error.
func TestEmptyListElementIsNamed(t *testing.T) {
	raw := strings.Replace(string(bundletest.Canonical(bundletest.Text(1, 1, 3, 4, 7))), "teams:\n", "teams:\n  []\n", 1)
	_, err := bundle.Restore([]byte(raw), nil)
	qt.Assert(t, code.Of(err), qt.Equals, code.BundleMalformed)
	qt.Check(t, err.Error(), qt.Contains, "expected one list element, got 0")
	qt.Check(t, err.Error(), qt.Not(qt.Contains), "%!w")
}

func BenchmarkRestore(b *testing.B) {
	raw := bundletest.New(79, 306, 500)
	next := bundletest.Canonical(bundletest.Withdraw(bundletest.Next(bundletest.Text(1, 1, 79, 306, 500)), 3))
	earlier, err := bundle.Restore(raw, nil)
	qt.Assert(b, err, qt.IsNil)
	b.Run("parse", func(b *testing.B) {
		for b.Loop() {
			_, _ = bundle.Parse(next)
		}
	})
	b.Run("restore", func(b *testing.B) {
		for b.Loop() {
			_, _ = bundle.Restore(next, earlier)
		}
	})
}
