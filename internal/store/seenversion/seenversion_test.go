package seenversion_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/store/rowstore"
	"github.com/fulmarloft/fulmarloft/internal/store/seenversion"
	"github.com/fulmarloft/fulmarloft/internal/testbed/rowstoretest"
)

// Each kind of answer must show the version that it holds, and a call without an answer none: a row counts as older than a submission by this version alone.
func TestAnswersShowVersions(t *testing.T) {
	ctx := context.Background()
	st := rowstoretest.New(clock.New())
	other := st.Rowstore()
	put := func(rs *rowstore.Store) { _, _, _ = rs.Commit(ctx, rowstore.NewTx("p").Put("t", "k", []byte{1})) }
	tr := seenversion.New()
	rs := tr.Store(st.Rowstore())
	put(rs)
	qt.Check(t, tr.Newest(), qt.Equals, int64(1))
	put(other)
	qt.Check(t, tr.Newest(), qt.Equals, int64(1))
	_, _, err := rs.Get(ctx, "t", "p", "k")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, tr.Newest(), qt.Equals, int64(2))
	put(other)
	_, err = rs.Feed(ctx, "other", 0, 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, tr.Newest(), qt.Equals, int64(3))
	put(other)
	_, _, err = rs.Commit(ctx, rowstore.NewTx("p").Require("t", "k", 0).Put("t", "k", nil))
	qt.Assert(t, err, qt.IsNotNil)
	qt.Check(t, tr.Newest(), qt.Equals, int64(4))
	st.SetCommitOutcome(func(*rowstore.Tx) rowstoretest.Outcome { return rowstoretest.AnswerLost })
	put(rs)
	qt.Check(t, tr.Newest(), qt.Equals, int64(4))
}
