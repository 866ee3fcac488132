package intake_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/membership/ownership"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/intake"
	"github.com/fulmarloft/fulmarloft/internal/store/rowstore"
	"github.com/fulmarloft/fulmarloft/internal/testbed/rowstoretest"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

const jobID = "5c0e7a21d94b36f8"

func job() *workpb.Job { return &workpb.Job{Id: jobID, Queue: "q"} }

// outcomes returns a function that gives the listed outcomes to successive commits and serves all later ones.
func outcomes(list ...rowstoretest.Outcome) func(*rowstore.Tx) rowstoretest.Outcome {
	return func(*rowstore.Tx) rowstoretest.Outcome {
		if len(list) == 0 {
			return rowstoretest.Served
		}
		next := list[0]
		list = list[1:]
		return next
	}
}

// A submission reported as TableUnavailable must not take effect through a commit that the store applies late, and a repeated submission must succeed in every case. The outcomes apply to the two commits of Submit and then to the one that marks the job as refused.
func TestSubmitWithoutAnswers(t *testing.T) {
	for _, tc := range []struct {
		name     string
		outcomes []rowstoretest.Outcome
		want     code.Code
		state    code.Code
		stored   bool
	}{
		{"served", nil, code.OK, code.OK, true},
		{"refused once", []rowstoretest.Outcome{rowstoretest.Refused}, code.OK, code.OK, true},
		{"refused always", []rowstoretest.Outcome{rowstoretest.Refused, rowstoretest.Refused}, code.TableUnavailable, code.JobUnknown, false},
		{"refused for its content", []rowstoretest.Outcome{rowstoretest.NeverTaken}, code.JobImpossible, code.JobUnknown, false},
		{"late, then refused for its content", []rowstoretest.Outcome{rowstoretest.Late, rowstoretest.NeverTaken}, code.TableUnavailable, code.JobUnknown, false},
		{"applied, answer lost", []rowstoretest.Outcome{rowstoretest.AnswerLost}, code.OK, code.OK, true},
		{"late, then served", []rowstoretest.Outcome{rowstoretest.Late}, code.OK, code.OK, true},
		{"late, then refused", []rowstoretest.Outcome{rowstoretest.Late, rowstoretest.Refused}, code.TableUnavailable, code.JobUnknown, false},
		{"late twice, then marked refused", []rowstoretest.Outcome{rowstoretest.Late, rowstoretest.Late}, code.TableUnavailable, code.JobUnknown, false},
		{"late twice, answer to the refused row lost", []rowstoretest.Outcome{rowstoretest.Late, rowstoretest.Late, rowstoretest.AnswerLost}, code.TableUnavailable, code.JobUnknown, false},
		{"late three times, including the refused row", []rowstoretest.Outcome{rowstoretest.Late, rowstoretest.Late, rowstoretest.Late}, code.TableUnavailable, code.JobUnknown, false},
		{"late as long as the submission may take", slices.Repeat([]rowstoretest.Outcome{rowstoretest.Late}, 100), code.TableInDoubt, code.OK, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			st := rowstoretest.New(clock.NewFake(0))
			in := intake.New(st.Rowstore())
			st.SetCommitOutcome(outcomes(tc.outcomes...))
			qt.Check(t, code.Of(in.Submit(context.Background(), job())), qt.Equals, tc.want, qt.Commentf(tc.name))
			st.SetCommitOutcome(outcomes())
			st.ApplyLate()
			_, err := in.State(context.Background(), jobID)
			qt.Check(t, code.Of(err), qt.Equals, tc.state, qt.Commentf(tc.name))
			qt.Check(t, in.Submit(context.Background(), job()), qt.IsNil, qt.Commentf(tc.name))
			got, err := in.State(context.Background(), jobID)
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, got, qt.Equals, workpb.State_QUEUED)
			qt.Check(t, st.Keys(intake.JobsTable), qt.Equals, jobID)
		})
	}
}

// A store that resets connections in an outage leaves submissions in doubt. Their callers must get a certain answer if the store is back within the time that they wait.
func TestSubmissionInDoubtIsResolvedWhenTheStoreIsBack(t *testing.T) {
	for _, tc := range []struct {
		name      string
		outageMS  int64
		want      code.Code
		wantLate  int
		maxTookMS int64
	}{
		{"short outage", 1200, code.TableUnavailable, 0, 1500},
		{"long outage", 10_000, code.TableInDoubt, 1, 2500},
	} {
		synctest.Test(t, func(t *testing.T) {
			st := rowstoretest.New(clock.New())
			rs := st.Rowstore()
			begun := time.Now()
			sinceMS := func() int64 { return time.Since(begun).Milliseconds() }
			read := rs.Read
			rs.Read = func(ctx context.Context, table, partition, from, to string) (rowstore.Page, error) {
				if sinceMS() < tc.outageMS {
					return rowstore.Page{}, code.TableUnavailable.New("connection reset")
				}
				return read(ctx, table, partition, from, to)
			}
			first := true
			st.SetCommitOutcome(func(*rowstore.Tx) rowstoretest.Outcome {
				if sinceMS() >= tc.outageMS {
					return rowstoretest.Served
				}
				if first {
					first = false
					return rowstoretest.Late
				}
				return rowstoretest.Refused
			})
			in := intake.New(rs)
			qt.Check(t, code.Of(in.Submit(context.Background(), job())), qt.Equals, tc.want, qt.Commentf(tc.name))
			qt.Check(t, sinceMS() <= tc.maxTookMS, qt.IsTrue, qt.Commentf("%s: %d ms", tc.name, sinceMS()))
			qt.Check(t, st.ApplyLate(), qt.Equals, tc.wantLate, qt.Commentf(tc.name))
		})
	}
}

// While the row cannot be read, the outcome of late commits stays in doubt and must not be reported as unavailable.
func TestSubmitWhileTheStoreCannotBeRead(t *testing.T) {
	synctest.Test(t, testSubmitWhileTheStoreCannotBeRead)
}

func testSubmitWhileTheStoreCannotBeRead(t *testing.T) {
	st := rowstoretest.New(clock.NewFake(0))
	rs := st.Rowstore()
	rs.Read = func(context.Context, string, string, string, string) (rowstore.Page, error) {
		return rowstore.Page{}, code.TableUnavailable.New("down")
	}
	in := intake.New(rs)
	st.SetCommitOutcome(outcomes(rowstoretest.Late, rowstoretest.Late))
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
	st.SetCommitOutcome(outcomes(rowstoretest.AnswerLost))
	qt.Assert(t, in.Cancel(context.Background(), jobID), qt.IsNil)
	qt.Assert(t, st.Keys(intake.JobsTable), qt.Equals, jobID+" "+intake.CancelKey(jobID))
	id, ok := intake.CancelledID(intake.CancelKey(jobID))
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, id, qt.Equals, jobID)
}

// A final state that was read once must be returned from the cache while the store is down.
func TestFinalStateNeedsNoStore(t *testing.T) {
	st := rowstoretest.New(clock.NewFake(0))
	in := intake.New(st.Rowstore())
	raw, err := proto.Marshal(&workpb.Progress{Id: jobID, State: workpb.State_COMPLETED})
	qt.Assert(t, err, qt.IsNil)
	_, _, err = st.Rowstore().Commit(context.Background(), rowstore.NewTx(ownership.Partition).Put(intake.ProgressTable, jobID, raw))
	qt.Assert(t, err, qt.IsNil)
	for range 2 {
		got, err := in.State(context.Background(), jobID)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got, qt.Equals, workpb.State_COMPLETED)
		st.SetDown(true)
	}
}

// A submission that follows a refused one writes under the refused row's version. While that commit may still be applied, reading the refused row back proves nothing: a submission reported as not stored must not be stored later.
func TestSubmissionAfterARefusedOneIsNotStoredLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := rowstoretest.New(clock.NewFake(0))
		in := intake.New(st.Rowstore())
		st.SetCommitOutcome(outcomes(rowstoretest.Late, rowstoretest.Late))
		qt.Assert(t, code.Of(in.Submit(context.Background(), job())), qt.Equals, code.TableUnavailable)
		st.ApplyLate()
		st.SetCommitOutcome(outcomes(rowstoretest.Served, rowstoretest.Late))
		qt.Assert(t, code.Of(in.Submit(context.Background(), job())), qt.Equals, code.TableUnavailable)
		qt.Check(t, st.ApplyLate(), qt.Equals, 0)
		_, err := in.State(context.Background(), jobID)
		qt.Check(t, code.Of(err), qt.Equals, code.JobUnknown)
	})
}

// endedJob stores what is kept of a completed job in place of its row.
func endedJob(t *testing.T, st *rowstoretest.Store) {
	raw, err := proto.Marshal(&workpb.Job{Id: jobID, Queue: "q", Ended: workpb.State_COMPLETED})
	qt.Assert(t, err, qt.IsNil)
	tx := rowstore.NewTx(intake.Partition(jobID)).Put(intake.EndedTable, jobID, raw).Remove(intake.JobsTable, jobID)
	_, _, err = st.Rowstore().Commit(context.Background(), tx)
	qt.Assert(t, err, qt.IsNil)
}

// A commit of a submission that is applied seconds later must not store a job anew that has ended meanwhile, nor must a repeated submission.
func TestEndedJobIsNotStoredAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := rowstoretest.New(clock.NewFake(0))
		in := intake.New(st.Rowstore())
		st.SetCommitOutcome(outcomes(rowstoretest.Late))
		qt.Assert(t, in.Submit(context.Background(), job()), qt.IsNil)
		endedJob(t, st)
		qt.Check(t, st.ApplyLate(), qt.Equals, 0)
		qt.Check(t, in.Submit(context.Background(), job()), qt.IsNil)
		qt.Check(t, st.Keys(intake.JobsTable), qt.Equals, "")
	})
}

// The state of a job whose row was replaced after its end must stay readable, and a cancellation of it must be answered and change nothing.
func TestEndedJobStaysKnown(t *testing.T) {
	st := rowstoretest.New(clock.NewFake(0))
	in := intake.New(st.Rowstore())
	qt.Assert(t, in.Submit(context.Background(), job()), qt.IsNil)
	endedJob(t, st)
	qt.Check(t, in.Cancel(context.Background(), jobID), qt.IsNil)
	got, err := in.State(context.Background(), jobID)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, got, qt.Equals, workpb.State_COMPLETED)
	qt.Check(t, st.Keys(intake.JobsTable), qt.Equals, "")
}
