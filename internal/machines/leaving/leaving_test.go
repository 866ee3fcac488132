package leaving_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/machines/leaving"
	"github.com/fulmarloft/fulmarloft/internal/pb/leavingpb"
)

const retentionMS = 60_000

// A leaving incarnation must be announced once by each entry, must stay in the set while a lagging list holds it, and must not be kept alive forever by merges between the entries.
func TestEntriesAnnounceOnceAndExpireTogether(t *testing.T) {
	ck := clock.NewFake(0)
	announced := 0
	var one, two *leaving.Set
	one = leaving.New(ck, retentionMS, func(added []*leavingpb.Leaving) {
		announced++
		two.Merge(added)
	})
	two = leaving.New(ck, retentionMS, func(added []*leavingpb.Leaving) {
		announced++
		one.Merge(added)
	})
	one.Mark("inc-1")
	qt.Assert(t, two.Has("inc-1"), qt.IsTrue)
	qt.Assert(t, announced, qt.Equals, 2)
	// While a lagging list still holds the incarnation, it stays in the set.
	for range 3 {
		ck.Advance(retentionMS)
		one.RefreshListed("inc-1", "inc-2")
		qt.Assert(t, one.Has("inc-1"), qt.IsTrue)
		qt.Assert(t, one.Has("inc-2"), qt.IsFalse)
	}
	for range 4 {
		ck.Advance(retentionMS / 3)
		one.Merge(two.All())
		two.Merge(one.All())
		one.RefreshListed()
		two.RefreshListed()
	}
	qt.Assert(t, one.Has("inc-1"), qt.IsFalse)
	qt.Assert(t, two.Has("inc-1"), qt.IsFalse)
}

func TestNewEntryMergesOthersSet(t *testing.T) {
	ck := clock.NewFake(0)
	quiet := func([]*leavingpb.Leaving) {}
	old := leaving.New(ck, retentionMS, quiet)
	old.Mark("inc-2", "inc-1")
	ck.Advance(10)
	fresh := leaving.New(ck, retentionMS, quiet)
	fresh.Merge(old.All())
	qt.Assert(t, fresh.All(), qt.HasLen, 2)
	qt.Assert(t, fresh.All()[0].GetIncarnation(), qt.Equals, "inc-1")
	qt.Assert(t, fresh.All()[0].GetAgeMs(), qt.Equals, int64(10))
}
