package intake_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/intake"
	"github.com/fulmarloft/fulmarloft/internal/ownership"
	"github.com/fulmarloft/fulmarloft/internal/rowstore"
	"github.com/fulmarloft/fulmarloft/internal/rowstoretest"
	"github.com/fulmarloft/fulmarloft/internal/workpb"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

const jobID = "5c0e7a21d94b36f8"

func job() *workpb.Job { return &workpb.Job{Id: jobID, Queue: "q"} }

// fates answers commits with the fates given in turn, and serves the rest.
func fates(list ...rowstoretest.Fate) func(*rowstore.Tx) rowstoretest.Fate {
	return func(*rowstore.Tx) rowstoretest.Fate {
		if len(list) == 0 {
			return rowstoretest.Served
		}
		next := list[0]
		list = list[1:]
		return next
	}
}

func TestSubmitWithoutAnswers(t *testing.T) {
	for _, tc := range []struct {
		name   string
		fates  []rowstoretest.Fate
		want   code.Code
		state  code.Code
		stored bool
	}{
		{"served", nil, code.OK, code.OK, true},
		{"refused once", []rowstoretest.Fate{rowstoretest.Refused}, code.OK, code.OK, true},
		{"refused always", []rowstoretest.Fate{rowstoretest.Refused, rowstoretest.Refused}, code.TableUnavailable, code.JobUnknown, false},
		{"applied and lost", []rowstoretest.Fate{rowstoretest.Lost}, code.OK, code.OK, true},
		{"late, then served", []rowstoretest.Fate{rowstoretest.Late}, code.OK, code.OK, true},
		{"late, then refused", []rowstoretest.Fate{rowstoretest.Late, rowstoretest.Refused}, code.TableUnavailable, code.JobUnknown, false},
		{"late twice, refused for certain", []rowstoretest.Fate{rowstoretest.Late, rowstoretest.Late}, code.TableUnavailable, code.JobUnknown, false},
		{"late twice, and the refusal's answer lost", []rowstoretest.Fate{rowstoretest.Late, rowstoretest.Late, rowstoretest.Lost}, code.TableInDoubt, code.JobUnknown, false},
		{"late three times, the refusal as well", []rowstoretest.Fate{rowstoretest.Late, rowstoretest.Late, rowstoretest.Late}, code.TableInDoubt, code.OK, true},
	} {
		st := rowstoretest.New(clock.NewFake(0))
		in := intake.New(st.Rowstore())
		st.SetFate(fates(tc.fates...))
		qt.Check(t, code.Of(in.Submit(context.Background(), job())), qt.Equals, tc.want, qt.Commentf(tc.name))
		st.ApplyLate()
		_, err := in.State(context.Background(), jobID)
		qt.Check(t, code.Of(err), qt.Equals, tc.state, qt.Commentf(tc.name))
		qt.Check(t, in.Submit(context.Background(), job()), qt.IsNil, qt.Commentf(tc.name))
		got, err := in.State(context.Background(), jobID)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, got, qt.Equals, workpb.State_QUEUED)
		qt.Check(t, st.Keys(intake.JobsTable), qt.Equals, jobID)
	}
}

func TestSubmitWhileTheStoreCannotBeRead(t *testing.T) {
	st := rowstoretest.New(clock.NewFake(0))
	rs := st.Rowstore()
	rs.Read = func(context.Context, string, string, string, string) (rowstore.Page, error) {
		return rowstore.Page{}, code.TableUnavailable.New("down")
	}
	in := intake.New(rs)
	st.SetFate(fates(rowstoretest.Late, rowstoretest.Late))
	qt.Assert(t, code.Of(in.Submit(context.Background(), job())), qt.Equals, code.TableInDoubt)
	qt.Assert(t, st.ApplyLate(), qt.Equals, 1)
	qt.Assert(t, in.Submit(context.Background(), job()), qt.IsNil)
	qt.Assert(t, st.Keys(intake.JobsTable), qt.Equals, jobID)
}

func TestCancel(t *testing.T) {
	st := rowstoretest.New(clock.NewFake(0))
	in := intake.New(st.Rowstore())
	qt.Assert(t, code.Of(in.Cancel(context.Background(), jobID)), qt.Equals, code.JobUnknown)
	qt.Assert(t, in.Submit(context.Background(), job()), qt.IsNil)
	st.SetFate(fates(rowstoretest.Lost))
	qt.Assert(t, in.Cancel(context.Background(), jobID), qt.IsNil)
	qt.Assert(t, st.Keys(intake.JobsTable), qt.Equals, jobID+" "+intake.CancelKey(jobID))
	id, ok := intake.CancelledID(intake.CancelKey(jobID))
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, id, qt.Equals, jobID)
}

func TestFinalStateNeedsNoStore(t *testing.T) {
	st := rowstoretest.New(clock.NewFake(0))
	in := intake.New(st.Rowstore())
	raw, err := proto.Marshal(&workpb.Progress{Id: jobID, State: workpb.State_COMPLETED})
	qt.Assert(t, err, qt.IsNil)
	_, _, err = st.Rowstore().Commit(context.Background(), rowstore.NewTx(ownership.Part).Put(intake.ProgressTable, jobID, raw))
	qt.Assert(t, err, qt.IsNil)
	for range 2 {
		got, err := in.State(context.Background(), jobID)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got, qt.Equals, workpb.State_COMPLETED)
		st.SetDown(true)
	}
}
