package retention_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/scheduling/retention"
)

func TestTakeDue(t *testing.T) {
	rt := retention.New(1000)
	rt.RecordEnded("p1", "a", 100)
	rt.RecordEnded("p2", "b", 150)
	rt.RecordEnded("p2", "c", 200)
	rt.RecordEnded("p2", "d", 900)
	for _, tc := range []struct {
		nowMS     int64
		maxIDs    int
		partition string
		ids       []string
	}{
		{1099, 9, "", nil},
		{1100, 9, "p1", []string{"a"}},
		{1100, 9, "", nil},
		{1300, 1, "p2", []string{"b"}},
		{1300, 9, "p2", []string{"c"}},
		{1899, 9, "", nil},
		{5000, 9, "p2", []string{"d"}},
	} {
		partition, ids := rt.TakeDue(tc.nowMS, tc.maxIDs)
		qt.Check(t, partition, qt.Equals, tc.partition, qt.Commentf("at %d", tc.nowMS))
		qt.Check(t, ids, qt.DeepEquals, tc.ids, qt.Commentf("at %d", tc.nowMS))
	}
}

func TestRequeuedIDsAreDue(t *testing.T) {
	rt := retention.New(1000)
	rt.RecordEnded("p1", "a", 100)
	rt.RecordEnded("p1", "b", 900)
	partition, ids := rt.TakeDue(1200, 9)
	rt.Requeue(partition, ids, 1300)
	_, ids = rt.TakeDue(1300, 9)
	qt.Assert(t, ids, qt.DeepEquals, []string{"a"})
	_, ids = rt.TakeDue(1900, 9)
	qt.Assert(t, ids, qt.DeepEquals, []string{"b"})
}

func TestZeroPeriodKeepsAllRows(t *testing.T) {
	rt := retention.New(0)
	rt.RecordEnded("p1", "a", 100)
	_, ids := rt.TakeDue(1_000_000_000, 9)
	qt.Assert(t, len(ids), qt.Equals, 0)
}
