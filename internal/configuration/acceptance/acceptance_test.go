package acceptance_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/configuration/acceptance"
	"github.com/fulmarloft/fulmarloft/internal/pb/configpb"
)

// step is an acknowledgement or, with gone set, the platform's report that the incarnation ended, at a time after the commit.
type step struct {
	at       int64
	inc      string
	heard    uint64
	held     uint64
	promised int64
	gone     bool
}

// A version must not be reported as accepted while an entry may still do keyed work under an earlier one: it is accepted once all members hold it and the leases they promised to others have expired, or one lease time after a blocking set of each group heard of it.
func TestAcceptedAt(t *testing.T) {
	const lease, lengthened = 1000, 1011
	abc := []string{"a", "b", "c"}
	for _, tc := range []struct {
		name   string
		groups [][]string
		steps  []step
		want   int64
	}{
		{"nobody", [][]string{abc}, nil, 0},
		{"all hold it", [][]string{abc}, []step{{10, "a", 2, 2, 0, false}, {20, "b", 2, 2, 0, false}, {30, "c", 3, 3, 0, false}}, 30},
		{"all hold it, one has a promise to a holder outside the roster", [][]string{abc}, []step{{10, "a", 2, 2, 100, false}, {20, "b", 2, 2, 0, false}, {30, "c", 2, 2, 0, false}}, 112},
		{"no blocking set", [][]string{abc}, []step{{10, "a", 2, 2, 0, false}}, 0},
		{"a blocking set", [][]string{abc}, []step{{10, "a", 2, 2, 0, false}, {20, "b", 2, 1, 0, false}}, 20 + lengthened},
		{"old acknowledgements don't count", [][]string{abc}, []step{{10, "a", 2, 2, 0, false}, {20, "b", 1, 1, 0, false}}, 0},
		{"gone counts as heard", [][]string{abc}, []step{{10, "a", 2, 2, 0, false}, {20, "b", 2, 2, 0, false}, {30, "c", 0, 0, 0, true}}, 20 + lengthened},
		{"a group of an unsettled roster has no blocking set", [][]string{{"a"}, abc}, []step{{10, "a", 2, 2, 0, false}}, 0},
		{"each group of an unsettled roster has a blocking set", [][]string{{"a"}, abc}, []step{{10, "a", 2, 2, 0, false}, {50, "b", 2, 2, 0, false}}, 50 + lengthened},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ck := clock.NewFake(0)
			tr := acceptance.New(ck)
			tr.Watch(2, lease, tc.groups)
			for _, st := range tc.steps {
				ck.Advance(st.at - ck.Now())
				if st.gone {
					tr.MarkGone(st.inc)
					continue
				}
				tr.RecordAck(&configpb.Ack{Incarnation: st.inc, Heard: st.heard, Held: st.held, PromisedMs: st.promised})
			}
			if tc.want == 0 {
				ck.Advance(100 * lease)
				qt.Assert(t, tr.Accepted(), qt.Equals, uint64(0))
				return
			}
			ck.Advance(max(0, tc.want-1-ck.Now()))
			if tc.want > ck.Now() {
				qt.Assert(t, tr.Accepted(), qt.Equals, uint64(0))
			}
			ck.Advance(tc.want - ck.Now())
			qt.Assert(t, tr.Accepted(), qt.Equals, uint64(2))
		})
	}
}
