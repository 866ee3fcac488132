package loadplan_test

import (
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/testbed/loadplan"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// The example plan must be valid, and an invalid one must be refused with an error that names what was expected.
func TestExample(t *testing.T) {
	raw, err := os.ReadFile("../../../examples/load.yaml")
	qt.Assert(t, err, qt.IsNil)
	pl, err := loadplan.Parse(raw)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, pl.DurationMS(), qt.Equals, int64(10_000))
	for _, tc := range []struct{ old, new, text string }{
		{"per-second: 200", "per-second: 0", "per-second above 0"},
		{"index: 0", "index: 2", "index below count"},
		{"seed:", "sead:", "unknown field"},
		{"127.0.0.1:8080", "entry-1", "expected ip:port"},
	} {
		_, err := loadplan.Parse([]byte(strings.Replace(string(raw), tc.old, tc.new, 1)))
		qt.Check(t, code.Of(err), qt.Equals, code.SettingsInvalid)
		qt.Check(t, err, qt.ErrorMatches, "(?s).*"+tc.text+".*")
	}
}
