package intake_test

import (
	"context"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/membership/sendcheck"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/intake"
	"github.com/fulmarloft/fulmarloft/internal/store/rowstore"
	"github.com/fulmarloft/fulmarloft/internal/testbed/rowstoretest"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// checkedStore is a store that, like the product's client, sends only what the checks of a call allow, and calls onCall before each call, with its number from 0.
func checkedStore(st *rowstoretest.Store, onCall func(call int)) *rowstore.Store {
	rs := st.Rowstore()
	read, commit, calls := rs.Read, rs.Commit, 0
	notSent := func(ctx context.Context) error {
		onCall(calls)
		calls++
		if !sendcheck.Allowed(ctx) {
			return code.TableUnavailable.New("not sent")
		}
		return nil
	}
	rs.Read = func(ctx context.Context, table, partition, from, to string) (rowstore.Page, error) {
		if err := notSent(ctx); err != nil {
			return rowstore.Page{}, err
		}
		return read(ctx, table, partition, from, to)
	}
	rs.Commit = func(ctx context.Context, tx *rowstore.Tx) (int64, []rowstore.Row, error) {
		if err := notSent(ctx); err != nil {
			return 0, nil, err
		}
		return commit(ctx, tx)
	}
	return rs
}

// A submission whose caller leaves while commits of it got no answer must be carried through like any other: stored, or withdrawn so that it isn't stored seconds later.
func TestSubmissionWhoseCallerHasLeft(t *testing.T) {
	const late = rowstoretest.Late
	for _, tc := range []struct {
		name string
		// leavesAt is the call to the store at which the caller leaves, from 0.
		leavesAt int
		outcomes []rowstoretest.Outcome
		want     code.Code
		refused  bool
	}{
		{"first commit served", 0, nil, code.OK, false},
		{"second commit served", 0, []rowstoretest.Outcome{late}, code.OK, false},
		{"during the first commit", 0, []rowstoretest.Outcome{late, late}, code.TableUnavailable, true},
		{"during the second commit", 1, []rowstoretest.Outcome{late, late}, code.TableUnavailable, true},
		{"during the read of the withdrawal", 2, []rowstoretest.Outcome{late, late}, code.TableUnavailable, true},
		{"during the commit of the withdrawal", 3, []rowstoretest.Outcome{late, late}, code.TableUnavailable, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			st := rowstoretest.New(clock.NewFake(0))
			caller, leave := context.WithCancel(context.Background())
			defer leave()
			rs := checkedStore(st, func(call int) {
				if call == tc.leavesAt {
					leave()
				}
			})
			st.SetCommitOutcome(outcomes(tc.outcomes...))
			ctx := sendcheck.With(caller, func() bool { return true })
			qt.Check(t, code.Of(intake.New(rs).Submit(ctx, triedAt(1000))), qt.Equals, tc.want, qt.Commentf(tc.name))
			qt.Check(t, st.ApplyLate(), qt.Equals, 0, qt.Commentf(tc.name))
			qt.Check(t, storedRow(t, st).GetRefused(), qt.Equals, tc.refused, qt.Commentf(tc.name))
		})
	}
}

// A cancellation must be carried through although its caller leaves, but not without the permission that it needs.
func TestCancellationWhoseCallerHasLeft(t *testing.T) {
	for _, tc := range []struct {
		name    string
		allowed bool
		want    code.Code
		keys    string
	}{
		{"allowed", true, code.OK, jobID + " " + intake.CancelKey(jobID)},
		{"key withdrawn", false, code.TableUnavailable, jobID},
	} {
		st := rowstoretest.New(clock.NewFake(0))
		qt.Assert(t, intake.New(st.Rowstore()).Submit(context.Background(), triedAt(1000)), qt.IsNil)
		caller, leave := context.WithCancel(context.Background())
		rs := checkedStore(st, func(int) { leave() })
		err := intake.New(rs).Cancel(sendcheck.With(caller, func() bool { return tc.allowed }), jobID)
		qt.Check(t, code.Of(err), qt.Equals, tc.want, qt.Commentf(tc.name))
		qt.Check(t, st.Keys(intake.JobsTable), qt.Equals, tc.keys, qt.Commentf(tc.name))
	}
}
