package waitstatus_test

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/observability/metric"
	"github.com/fulmarloft/fulmarloft/internal/observability/waitstatus"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

// Guards against gauges and a status that go on showing a wait after it, or the ownership, has ended.
func TestWaitsAreShownUntilTheyEnd(t *testing.T) {
	ck := clock.NewFake(1000)
	rg := metric.New()
	st := waitstatus.New(ck, rg)
	qt.Assert(t, st.Values(), qt.DeepEquals, map[string]any{})
	st.Follow(&workpb.Waits{Services: []*workpb.ServiceWait{{Service: "s", RoomMilli: 1000, BegunCoreMs: 500, Teams: []*workpb.TeamWait{
		{WaitingCoreMs: 100}, {Team: "t", WaitingCoreMs: 400, ShareLevel: 2, CapMilli: 7, UsedMilli: 6},
	}}}})
	ck.Advance(50)
	qt.Assert(t, st.Values(), qt.DeepEquals, map[string]any{"s": map[string]any{
		"wait-ms": int64(1000), "room-milli": int64(1000), "begun-core-ms": int64(500), "age-ms": int64(50),
		"teams": map[string]any{
			"public": map[string]int64{"waiting-core-ms": 100, "share-level": 0, "cap-milli": 0, "used-milli": 0},
			"t":      map[string]int64{"waiting-core-ms": 400, "share-level": 2, "cap-milli": 7, "used-milli": 6},
		},
	}})
	qt.Check(t, text(rg), qt.Contains, "gauge wait.s.team.t.share-level\n  value:               2\n")
	qt.Check(t, text(rg), qt.Contains, "gauge wait.s.ms\n  value:            1000\n")
	st.Follow(nil)
	qt.Check(t, st.Values(), qt.DeepEquals, map[string]any{})
	for _, name := range rg.Names() {
		qt.Check(t, text(rg), qt.Contains, "gauge "+name+"\n  value:               0\n")
	}
}

func text(rg *metric.Registry) string {
	out := &bytes.Buffer{}
	rg.WriteText(out)
	return out.String()
}
