package intake_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/intake"
	"github.com/fulmarloft/fulmarloft/internal/store/rowstore"
	"github.com/fulmarloft/fulmarloft/internal/testbed/rowstoretest"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// unansweredSubmission submits the test job through an entry of its own that hears nothing from the store, so that its commits may be applied late.
func unansweredSubmission(t *testing.T, st *rowstoretest.Store) {
	rs := st.Rowstore()
	rs.Read = func(context.Context, string, string, string, string) (rowstore.Page, error) {
		return rowstore.Page{}, code.TableUnavailable.New("no answer")
	}
	st.SetCommitOutcome(func(*rowstore.Tx) rowstoretest.Outcome { return rowstoretest.Late })
	qt.Assert(t, code.Of(intake.New(rs).Submit(context.Background(), triedAt(5000))), qt.Equals, code.TableInDoubt)
	st.SetCommitOutcome(outcomes())
}

// Review case 13: a cancellation was answered with "no such job" while commits of the submission were under way, and the job was stored after that. Once a cancellation is answered so, no commit that was sent before may store the job, whatever became of the cancellation's own commits.
func TestCancellationOfAnUnknownJobHoldsAgainstLateCommits(t *testing.T) {
	const served, late, lost, down = rowstoretest.Served, rowstoretest.Late, rowstoretest.AnswerLost, rowstoretest.Refused
	for _, tc := range []struct {
		name string
		// refusedMS is when the job was refused before, 0 for never.
		refusedMS   int64
		submissions int
		outcomes    []rowstoretest.Outcome
		want        code.Code
	}{
		{"one submission", 0, 1, nil, code.JobUnknown},
		{"two submissions", 0, 2, nil, code.JobUnknown},
		{"refused before", 1000, 1, nil, code.JobUnknown},
		{"refused before, two submissions", 1000, 2, nil, code.JobUnknown},
		{"cancellation's answer lost", 0, 1, []rowstoretest.Outcome{lost}, code.JobUnknown},
		{"cancellation's answer lost twice", 1000, 1, []rowstoretest.Outcome{lost, lost}, code.JobUnknown},
		{"cancellation late, then served", 0, 1, []rowstoretest.Outcome{late}, code.JobUnknown},
		{"cancellation late, then refused", 1000, 1, []rowstoretest.Outcome{late, down, served}, code.JobUnknown},
		{"cancellation refused, then served", 0, 1, []rowstoretest.Outcome{down}, code.JobUnknown},
		{"cancellation without an answer", 0, 1, []rowstoretest.Outcome{late, late, late}, code.TableInDoubt},
		{"store takes nothing", 0, 1, []rowstoretest.Outcome{down, down, down}, code.TableUnavailable},
	} {
		synctest.Test(t, func(t *testing.T) {
			st := rowstoretest.New(clock.NewFake(0))
			in := intake.New(st.Rowstore())
			if tc.refusedMS > 0 {
				_, err := in.Refuse(context.Background(), triedAt(tc.refusedMS))
				qt.Assert(t, err, qt.IsNil)
			}
			for range tc.submissions {
				unansweredSubmission(t, st)
			}
			st.SetCommitOutcome(outcomes(tc.outcomes...))
			qt.Check(t, code.Of(in.Cancel(context.Background(), jobID)), qt.Equals, tc.want, qt.Commentf(tc.name))
			st.SetCommitOutcome(outcomes())
			st.ApplyLate()
			if tc.want != code.JobUnknown {
				return
			}
			qt.Check(t, storedRow(t, st).GetRefused(), qt.IsTrue, qt.Commentf(tc.name))
			qt.Check(t, storedRow(t, st).GetFirstTriedMs(), qt.Equals, tc.refusedMS, qt.Commentf(tc.name))
			_, err := in.State(context.Background(), jobID)
			qt.Check(t, code.Of(err), qt.Equals, code.JobUnknown, qt.Commentf(tc.name))
		})
	}
}

// A submission whose commits are under way while its job is cancelled must be answered as not run, and not replace the row that the cancellation wrote.
func TestSubmissionUnderWayEndsWithItsCancellation(t *testing.T) {
	const late = rowstoretest.Late
	for _, tc := range []struct {
		name string
		// before is the commit of the submission during which the job is cancelled, from 0.
		before   int
		outcomes []rowstoretest.Outcome
	}{
		{"before the first commit", 0, nil},
		{"during the first commit", 0, []rowstoretest.Outcome{late}},
		{"during the second commit", 1, []rowstoretest.Outcome{late, late}},
		{"during the withdrawal", 2, []rowstoretest.Outcome{late, late}},
	} {
		synctest.Test(t, func(t *testing.T) {
			st := rowstoretest.New(clock.NewFake(0))
			rs, other := st.Rowstore(), intake.New(st.Rowstore())
			commits, commit, own := 0, rs.Commit, outcomes(tc.outcomes...)
			rs.Commit = func(ctx context.Context, tx *rowstore.Tx) (int64, []rowstore.Row, error) {
				if commits == tc.before {
					st.SetCommitOutcome(outcomes())
					qt.Check(t, code.Of(other.Cancel(context.Background(), jobID)), qt.Equals, code.JobUnknown, qt.Commentf(tc.name))
				}
				commits++
				st.SetCommitOutcome(own)
				return commit(ctx, tx)
			}
			err := intake.New(rs).Submit(context.Background(), triedAt(6990))
			qt.Check(t, code.Of(err), qt.Equals, code.TableUnavailable, qt.Commentf(tc.name))
			st.ApplyLate()
			qt.Check(t, storedRow(t, st).GetRefused(), qt.IsTrue, qt.Commentf(tc.name))
		})
	}
}

// A job that is submitted again after its cancellation must be stored at once by each entry that has heard from the store since, with its first attempt counted from now; any other one asks its caller to come back once.
func TestJobIsTakenAgainAfterItsCancellation(t *testing.T) {
	for _, tc := range []struct {
		name  string
		heard bool
		want  code.Code
	}{
		{"same entry", true, code.OK},
		{"other entry", false, code.TableUnavailable},
	} {
		st := rowstoretest.New(clock.NewFake(0))
		first, second := intake.New(st.Rowstore()), intake.New(st.Rowstore())
		qt.Assert(t, code.Of(first.Cancel(context.Background(), jobID)), qt.Equals, code.JobUnknown)
		in := second
		if tc.heard {
			in = first
		}
		qt.Check(t, code.Of(in.Submit(context.Background(), triedAt(7000))), qt.Equals, tc.want, qt.Commentf(tc.name))
		qt.Check(t, in.Submit(context.Background(), triedAt(8000)), qt.IsNil, qt.Commentf(tc.name))
		row := storedRow(t, st)
		qt.Check(t, row.GetRefused(), qt.IsFalse, qt.Commentf(tc.name))
		qt.Check(t, row.GetFirstTriedMs(), qt.Equals, int64(0), qt.Commentf(tc.name))
		qt.Check(t, first.Cancel(context.Background(), jobID), qt.IsNil, qt.Commentf(tc.name))
	}
}

// A job that changes between the read and the commit of its cancellation must be cancelled all the same, or be answered by what it is now.
func TestCancellationOfAJobThatChangesMeanwhile(t *testing.T) {
	for _, tc := range []struct {
		name string
		// stored is set if the job is stored before, change what happens to it after the cancellation has read it.
		stored bool
		change func(t *testing.T, st *rowstoretest.Store)
		keys   string
	}{
		{"accepted", false, func(t *testing.T, st *rowstoretest.Store) {
			qt.Assert(t, intake.New(st.Rowstore()).Submit(context.Background(), triedAt(1000)), qt.IsNil)
		}, jobID + " " + intake.CancelKey(jobID)},
		{"ended", true, endedJob, ""},
		{"ended before it was known", false, endedJob, ""},
	} {
		st := rowstoretest.New(clock.NewFake(0))
		rs := st.Rowstore()
		if tc.stored {
			qt.Assert(t, intake.New(rs).Submit(context.Background(), triedAt(1000)), qt.IsNil)
		}
		changed, commit := false, rs.Commit
		rs.Commit = func(ctx context.Context, tx *rowstore.Tx) (int64, []rowstore.Row, error) {
			if !changed {
				changed = true
				tc.change(t, st)
			}
			return commit(ctx, tx)
		}
		qt.Check(t, intake.New(rs).Cancel(context.Background(), jobID), qt.IsNil, qt.Commentf(tc.name))
		qt.Check(t, changed, qt.IsTrue, qt.Commentf(tc.name))
		qt.Check(t, st.Keys(intake.JobsTable), qt.Equals, tc.keys, qt.Commentf(tc.name))
	}
}

// With the store away, a cancellation must say that its outcome isn't known, and not that the job doesn't exist.
func TestCancellationWithoutTheStore(t *testing.T) {
	for _, tc := range []struct {
		name string
		away func(st *rowstoretest.Store)
	}{
		{"down", func(st *rowstoretest.Store) { st.SetDown(true) }},
		{"unresponsive", func(st *rowstoretest.Store) { st.SetUnresponsive(true) }},
	} {
		synctest.Test(t, func(t *testing.T) {
			st := rowstoretest.New(clock.NewFake(0))
			in := intake.New(st.Rowstore())
			tc.away(st)
			qt.Check(t, code.Of(in.Cancel(context.Background(), jobID)), qt.Equals, code.TableUnavailable, qt.Commentf(tc.name))
		})
	}
}

// cancel cancels the job through any entry and checks the answer.
func (il *interleaving) cancel() {
	il.step++
	il.depth++
	id := il.step
	err := il.entries[il.rnd.IntN(len(il.entries))].Cancel(context.WithValue(context.Background(), submissionKey{}, id), jobID)
	il.depth--
	switch code.Of(err) {
	case code.JobUnknown:
		il.unknown++
		il.refusedStep = max(il.refusedStep, il.committed[id])
	case code.OK:
		qt.Assert(il.t, il.acceptedBy > 0, qt.IsTrue, qt.Commentf("cancellation %d of a job that isn't stored", id))
	}
	il.checkReports()
}

// Whatever submissions and cancellations of a job meet each other's commits, and whichever of these are lost or late: once a cancellation was answered with "no such job", the job may be stored only by a submission that began after the cancellation's commit.
func TestInterleavedCancellations(t *testing.T) {
	accepted, unknown := 0, 0
	for seed := range uint64(1000) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				il := newInterleaving(t, seed)
				il.cancels = true
				for range submissionsAtOnce {
					il.submit()
				}
				il.st.ApplyLate()
				il.check()
				if il.acceptedBy > 0 {
					accepted++
				}
				unknown += il.unknown
			})
		})
	}
	qt.Check(t, accepted > 250 && unknown > 250, qt.IsTrue, qt.Commentf("%d accepted, %d cancelled as unknown", accepted, unknown))
}

// A row that can't be decoded may be a job of a later version, so that a cancellation must neither deny nor replace it.
func TestCancellationOfAnUnreadableJob(t *testing.T) {
	st := rowstoretest.New(clock.NewFake(0))
	st.Put(intake.JobsTable, intake.Partition(jobID), jobID, []byte{0xff})
	qt.Check(t, proto.Unmarshal([]byte{0xff}, &workpb.Job{}) != nil, qt.IsTrue)
	qt.Check(t, code.Of(intake.New(st.Rowstore()).Cancel(context.Background(), jobID)), qt.Equals, code.TableInDoubt)
	rw, _, err := st.Rowstore().Get(context.Background(), intake.JobsTable, intake.Partition(jobID), jobID)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, rw.Value(), qt.DeepEquals, []byte{0xff})
}

// The mark of a cancellation whose commits are applied late must not cancel a job that was submitted anew after the first one's rows were deleted.
func TestLateCancellationSparesALaterJob(t *testing.T) {
	st := rowstoretest.New(clock.NewFake(0))
	in := intake.New(st.Rowstore())
	qt.Assert(t, in.Submit(context.Background(), triedAt(1000)), qt.IsNil)
	st.SetCommitOutcome(outcomes(rowstoretest.Late, rowstoretest.Late, rowstoretest.Late))
	qt.Assert(t, code.Of(in.Cancel(context.Background(), jobID)), qt.Equals, code.TableInDoubt)
	_, _, err := st.Rowstore().Commit(context.Background(), rowstore.NewTx(intake.Partition(jobID)).Remove(intake.JobsTable, jobID))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, in.Submit(context.Background(), triedAt(9000)), qt.IsNil)
	qt.Check(t, st.ApplyLate(), qt.Equals, 0)
	qt.Check(t, st.Keys(intake.JobsTable), qt.Equals, jobID)
}

// A flood of cancellations of jobs that never were may write rows at a small part of the store's rate only; the others must be told to come back, and cancellations of stored jobs must not be held up.
func TestFloodOfCancellationsOfUnknownJobs(t *testing.T) {
	const writesPerS, calls, seconds = 600, 200, 20
	ck := clock.NewFake(0)
	st := rowstoretest.New(ck)
	in := intake.New(st.Rowstore()).WithStoreRate(ck, writesPerS)
	qt.Assert(t, in.Submit(context.Background(), triedAt(1000)), qt.IsNil)
	writes := 0
	st.SetCommitOutcome(func(*rowstore.Tx) rowstoretest.Outcome {
		writes++
		return rowstoretest.Served
	})
	answered := map[code.Code]int{}
	for second := range seconds {
		for at := range calls {
			err := in.Cancel(context.Background(), fmt.Sprintf("%08x%08x", second, at))
			answered[code.Of(err)]++
		}
		ck.Advance(1000)
	}
	qt.Check(t, in.Cancel(context.Background(), jobID), qt.IsNil)
	qt.Check(t, answered[code.JobUnknown], qt.Equals, writes-1)
	qt.Check(t, answered[code.JobUnknown]+answered[code.TableBudget], qt.Equals, calls*seconds)
	qt.Check(t, writes >= seconds*writesPerS/100 && writes <= (seconds+11)*writesPerS/100, qt.IsTrue, qt.Commentf("%d writes", writes))
}

// A refused row that doesn't name its job, written by another program, must not end the call: the row that replaces it does.
func TestCancellationReplacesAnOddRefusal(t *testing.T) {
	st := rowstoretest.New(clock.NewFake(0))
	raw, err := proto.Marshal(&workpb.Job{Refused: true, FirstTriedMs: 700})
	qt.Assert(t, err, qt.IsNil)
	st.Put(intake.JobsTable, intake.Partition(jobID), jobID, raw)
	qt.Check(t, code.Of(intake.New(st.Rowstore()).Cancel(context.Background(), jobID)), qt.Equals, code.JobUnknown)
	row := storedRow(t, st)
	qt.Check(t, row.GetId(), qt.Equals, jobID)
	qt.Check(t, row.GetFirstTriedMs(), qt.Equals, int64(700))
}
