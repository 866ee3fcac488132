package admission_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/configuration/rulesindex"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/request/admission"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

const withdrawalMS = 5000

func rules(version int64, keys ...string) *rulesindex.Index {
	return rulesindex.New(&workpb.Rules{
		Version: version,
		Queues: []*workpb.Queue{
			{Name: "wide", Host: "h.example", Prefix: "/a/"},
			{Name: "narrow", Host: "H.example", Prefix: "/a/b/"},
			{Name: "open", Host: "h.example", Prefix: "/o/", Public: true},
		},
		Teams: []*workpb.Team{{Name: "t", Keys: keys}},
	})
}

// A call must be admitted to the queue with the longest matching prefix, and one that needs a key must be refused unless the rules are confirmed as current within withdrawalMS.
func TestAdmit(t *testing.T) {
	for _, tc := range []struct {
		name   string
		host   string
		path   string
		key    string
		ageMS  int64
		queue  string
		suffix string
		want   code.Code
	}{
		{"longest prefix", "h.example", "/a/b/1", "k", 0, "narrow", "1", code.OK},
		{"shorter prefix, host with port", "h.EXAMPLE:80", "/a/c", "k", 0, "wide", "c", code.OK},
		{"other host", "x.example", "/a/c", "k", 0, "", "", code.ServiceUnknown},
		{"other path", "h.example", "/c", "k", 0, "", "", code.ServiceUnknown},
		{"no key", "h.example", "/a/c", "", 0, "", "", code.KeyMissing},
		{"unknown key", "h.example", "/a/c", "z", 0, "", "", code.KeyUnknown},
		{"rules not confirmed in time", "h.example", "/a/c", "z", withdrawalMS, "", "", code.KeyedWorkPaused},
		{"public queue, rules not confirmed in time", "h.example", "/o/1", "", withdrawalMS, "open", "1", code.OK},
	} {
		ck := clock.NewFake(100_000)
		ad := admission.New(ck, withdrawalMS)
		_, err := ad.Admit(tc.host, tc.path, tc.key)
		qt.Check(t, code.Of(err), qt.Equals, code.KeyedWorkPaused, qt.Commentf("%s: before any rules", tc.name))
		ad.SetRules(rules(1, "k"))
		ad.ConfirmCurrent(ck.Now())
		ck.Advance(tc.ageMS)
		ac, err := ad.Admit(tc.host, tc.path, tc.key)
		qt.Check(t, code.Of(err), qt.Equals, tc.want, qt.Commentf(tc.name))
		qt.Check(t, ac.Queue().GetName(), qt.Equals, tc.queue, qt.Commentf(tc.name))
		qt.Check(t, ac.PathSuffix(), qt.Equals, tc.suffix, qt.Commentf(tc.name))
	}
}

// A late read of older rules must not put a withdrawn key in force again.
func TestRulesNeverGoBack(t *testing.T) {
	ad := admission.New(clock.NewFake(100_000), withdrawalMS)
	qt.Assert(t, ad.SetRules(rules(2)), qt.IsTrue)
	qt.Assert(t, ad.SetRules(rules(1, "k")), qt.IsFalse)
	qt.Assert(t, ad.Rules().Rules().GetVersion(), qt.Equals, int64(2))
}

// The age counts from the latest confirmed read start, also when answers arrive out of order.
func TestAgeCountsFromTheStartOfTheRead(t *testing.T) {
	ck := clock.NewFake(100_000)
	ad := admission.New(ck, withdrawalMS)
	ad.ConfirmCurrent(99_000)
	ad.ConfirmCurrent(98_000)
	qt.Assert(t, ad.AgeMS(), qt.Equals, int64(1000))
}
