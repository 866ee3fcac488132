package bundle_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/pkg/bundle"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

const sample = `format: 1
version: 1
timing:
  config-lease-ms: 4000
  loan-lease-ms: 2000
  job-lease-ms: 3000
  request-memory-ms: 600000
  balancer-wait-ms: 3000
sign-offs-needed: 1
operators:
  - name: jana
    public-key: AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=
teams:
  - name: bratislava
    share: 3
    limit: 10
    job-limit: 4
    keys:
      - id: k1
        hash: e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855
services:
  - name: replies
    queue: teams
    idempotent: false
    pool: replies-pool
    deadline-ms: 2000
    longest-run-ms: 5000
    max-body-bytes: 65536
    max-answer-bytes: 65536
    max-queued: 100
pools:
  - name: replies-pool
    size: 10
    max-unavailable: 2
    kind: endpoint
weights: {share: 1, roll-out-time: 1, buffer-cost: 1, moves: 1}
`

func TestParse(t *testing.T) {
	bd, err := bundle.Parse([]byte(sample))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, bd.Teams()[0].Keys()[0].ID(), qt.Equals, "k1")
	qt.Assert(t, bd.MaxRunMS(), qt.Equals, int64(5000))
	raw, err := bd.Bytes()
	qt.Assert(t, err, qt.IsNil)
	again, err := bundle.Parse(raw)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, again.Hash(), qt.Equals, bd.Hash())
}

func TestParseRefuses(t *testing.T) {
	for _, tc := range []struct {
		name, old, new string
		want           code.Code
		text           string
	}{
		{"unknown key", "share: 3", "shares: 3", code.BundleMalformed, "shares"},
		{"format", "format: 1", "format: 2", code.BundleInvalid, "format"},
		{"pool missing", "pool: replies-pool", "pool: other", code.BundleInvalid, "other"},
		{"max-unavailable above size", "max-unavailable: 2", "max-unavailable: 11", code.BundleInvalid, "max-unavailable"},
		{"id of a withdrawn key used again", "sign-offs-needed: 1", "withdrawn-keys: [k1]\nsign-offs-needed: 1", code.BundleInvalid, "k1"},
		{"deadline above maximum run time", "deadline-ms: 2000", "deadline-ms: 9000", code.BundleInvalid, "longest-run-ms"},
		{"too many sign-offs", "sign-offs-needed: 1", "sign-offs-needed: 2", code.BundleInvalid, "sign-offs-needed"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			raw := strings.Replace(sample, tc.old, tc.new, 1)
			qt.Assert(t, raw, qt.Not(qt.Equals), sample)
			_, err := bundle.Parse([]byte(raw))
			qt.Check(t, code.Of(err), qt.Equals, tc.want)
			qt.Check(t, err, qt.ErrorMatches, "(?s).*"+tc.text+".*")
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(sample))
	f.Add([]byte("format: 1\nteams: [{}]\n"))
	f.Add([]byte("&a [*a]"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		bd, err := bundle.Parse(raw)
		if err != nil {
			cd := code.Of(err)
			qt.Check(t, cd == code.BundleMalformed || cd == code.BundleInvalid, qt.IsTrue, qt.Commentf("%v", err))
			return
		}
		canon, err := bd.Bytes()
		qt.Assert(t, err, qt.IsNil)
		again, err := bundle.Parse(canon)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, again.Hash(), qt.Equals, bd.Hash())
	})
}
