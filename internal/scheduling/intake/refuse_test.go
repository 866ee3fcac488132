package intake_test

import (
	"context"
	"slices"
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

// triedAt returns a submission of the test job at a time.
func triedAt(atMS int64) *workpb.Job {
	jb := job()
	jb.Team, jb.AcceptedMs = "t", atMS
	jb.Steps = []*workpb.Step{{Count: 2, CpuMilli: 500, EstimateMs: 1000}}
	return jb
}

// storedRow returns the stored row of the test job.
func storedRow(t *testing.T, st *rowstoretest.Store) *workpb.Job {
	rw, ok, err := st.Rowstore().Get(context.Background(), intake.JobsTable, intake.Partition(jobID), jobID)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, ok, qt.IsTrue)
	jb := &workpb.Job{}
	qt.Assert(t, proto.Unmarshal(rw.Value(), jb), qt.IsNil)
	return jb
}

// The refused row must hold what the owner counts as arrived, the job must stay unknown, and an accepted job must not be refused.
func TestRefusedRow(t *testing.T) {
	st := rowstoretest.New(clock.NewFake(0))
	in := intake.New(st.Rowstore())
	refused, err := in.Refuse(context.Background(), triedAt(7000))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, refused, qt.IsTrue)
	row := storedRow(t, st)
	want := &workpb.Job{Id: jobID, Refused: true, Queue: "q", Team: "t", WorkCoreMs: 1000, FirstTriedMs: 7000}
	qt.Check(t, proto.Equal(row, want), qt.IsTrue, qt.Commentf("%v", row))
	_, err = in.State(context.Background(), jobID)
	qt.Check(t, code.Of(err), qt.Equals, code.JobUnknown)
	qt.Check(t, code.Of(in.Cancel(context.Background(), jobID)), qt.Equals, code.JobUnknown)
	qt.Assert(t, in.Submit(context.Background(), triedAt(9000)), qt.IsNil)
	refused, err = in.Refuse(context.Background(), triedAt(9500))
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, refused, qt.IsFalse)
	endedJob(t, st)
	refused, err = in.Refuse(context.Background(), triedAt(9900))
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, refused, qt.IsFalse)
}

// However often a job is refused or withdrawn, it must keep the time of its first attempt, also if another entry's clock is behind; without a refusal it must have none.
func TestFirstAttemptIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := rowstoretest.New(clock.NewFake(0))
		in := intake.New(st.Rowstore())
		for _, ms := range []int64{7000, 9000, 11_000} {
			_, err := in.Refuse(context.Background(), triedAt(ms))
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, storedRow(t, st).GetFirstTriedMs(), qt.Equals, int64(7000))
		}
		st.SetCommitOutcome(outcomes(rowstoretest.Late, rowstoretest.Late))
		qt.Assert(t, code.Of(in.Submit(context.Background(), triedAt(12_000))), qt.Equals, code.TableUnavailable)
		qt.Check(t, storedRow(t, st).GetFirstTriedMs(), qt.Equals, int64(7000))
		qt.Assert(t, in.Submit(context.Background(), triedAt(13_000)), qt.IsNil)
		row := storedRow(t, st)
		qt.Check(t, row.GetRefused(), qt.IsFalse)
		qt.Check(t, row.GetFirstTriedMs(), qt.Equals, int64(7000))
		qt.Check(t, row.GetAcceptedMs(), qt.Equals, int64(13_000))

		behind := rowstoretest.New(clock.NewFake(0))
		in = intake.New(behind.Rowstore())
		_, err := in.Refuse(context.Background(), triedAt(7000))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, in.Submit(context.Background(), triedAt(6900)), qt.IsNil)
		qt.Check(t, storedRow(t, behind).GetFirstTriedMs(), qt.Equals, int64(6900))

		plain := rowstoretest.New(clock.NewFake(0))
		in = intake.New(plain.Rowstore())
		qt.Assert(t, in.Submit(context.Background(), triedAt(7000)), qt.IsNil)
		qt.Check(t, storedRow(t, plain).GetFirstTriedMs(), qt.Equals, int64(0))
	})
}

// A refusal that is reported must hold against every commit that the store applies late, and one without a certain outcome must not be reported as stored. A later submission must succeed in every case.
func TestRefuseWithoutAnswers(t *testing.T) {
	const late, lost, refused = rowstoretest.Late, rowstoretest.AnswerLost, rowstoretest.Refused
	for _, tc := range []struct {
		name     string
		outcomes []rowstoretest.Outcome
		want     code.Code
	}{
		{"served", nil, code.OK},
		{"refused once", []rowstoretest.Outcome{refused}, code.OK},
		{"refused always", []rowstoretest.Outcome{refused, refused, refused}, code.TableUnavailable},
		{"answer lost", []rowstoretest.Outcome{lost}, code.OK},
		{"answers lost", []rowstoretest.Outcome{lost, lost, lost}, code.TableInDoubt},
		{"late, then served", []rowstoretest.Outcome{late}, code.OK},
		{"late, then refused", []rowstoretest.Outcome{late, refused, refused}, code.TableInDoubt},
		{"late always", []rowstoretest.Outcome{late, late, late}, code.TableInDoubt},
	} {
		st := rowstoretest.New(clock.NewFake(0))
		in := intake.New(st.Rowstore())
		st.SetCommitOutcome(outcomes(tc.outcomes...))
		done, err := in.Refuse(context.Background(), triedAt(7000))
		qt.Check(t, code.Of(err), qt.Equals, tc.want, qt.Commentf(tc.name))
		qt.Check(t, done, qt.Equals, tc.want == code.OK, qt.Commentf(tc.name))
		st.ApplyLate()
		st.SetCommitOutcome(outcomes())
		_, err = in.State(context.Background(), jobID)
		qt.Check(t, code.Of(err), qt.Equals, code.JobUnknown, qt.Commentf(tc.name))
		// The late refusal is the first that this process hears of the row.
		if err := in.Submit(context.Background(), triedAt(9000)); code.Of(err) == code.TableUnavailable {
			qt.Check(t, in.Submit(context.Background(), triedAt(10_000)), qt.IsNil, qt.Commentf(tc.name))
		} else {
			qt.Check(t, err, qt.IsNil, qt.Commentf(tc.name))
		}
		qt.Check(t, storedRow(t, st).GetRefused(), qt.IsFalse, qt.Commentf(tc.name))
	}
}

// A first copy of a submission is under way to the store while a second one is refused through another entry. The job was reported as not run, so the first copy must neither be stored late nor replace the refusal, whatever happens to its commits; a later submission must be stored.
func TestRefusalHoldsAgainstACopyUnderWay(t *testing.T) {
	const served, late, lost, down = rowstoretest.Served, rowstoretest.Late, rowstoretest.AnswerLost, rowstoretest.Refused
	for _, tc := range []struct {
		name string
		// earlier is set if the job was refused once before both copies.
		earlier bool
		// before is the commit of the first copy during which the refusal of the second one is stored, from 0.
		before   int
		outcomes []rowstoretest.Outcome
	}{
		{"first commit finds the refusal", false, 0, nil},
		{"first commit late", false, 0, []rowstoretest.Outcome{late}},
		{"both commits late", false, 0, []rowstoretest.Outcome{late, late}},
		{"refusal between the commits", false, 1, []rowstoretest.Outcome{late}},
		{"refusal after a commit that the store didn't take", false, 1, []rowstoretest.Outcome{down}},
		{"refusal between the commits, second one late", false, 1, []rowstoretest.Outcome{late, late}},
		{"refusal before the first copy is withdrawn", false, 2, []rowstoretest.Outcome{late, late}},
		{"refusal before the withdrawal, whose answer is lost", false, 2, []rowstoretest.Outcome{late, late, lost}},
		{"refused before", true, 0, nil},
		{"refused before, first commit late", true, 0, []rowstoretest.Outcome{late}},
		{"refused before, refusal between the commits", true, 1, nil},
		{"refused before, second commit late", true, 1, []rowstoretest.Outcome{served, late}},
		{"refused before, refusal after both commits", true, 2, []rowstoretest.Outcome{served, late}},
	} {
		synctest.Test(t, func(t *testing.T) {
			st := rowstoretest.New(clock.NewFake(0))
			rs := st.Rowstore()
			first, second := intake.New(rs), intake.New(st.Rowstore())
			if tc.earlier {
				_, err := second.Refuse(context.Background(), triedAt(1000))
				qt.Assert(t, err, qt.IsNil)
				// An answer to any other call shows the first entry that the row is older than its submission.
				_, err = first.State(context.Background(), jobID)
				qt.Assert(t, code.Of(err), qt.Equals, code.JobUnknown)
			}
			commits, own := 0, outcomes(tc.outcomes...)
			refuse := func() {
				st.SetCommitOutcome(outcomes())
				done, err := second.Refuse(context.Background(), triedAt(7000))
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, done, qt.IsTrue, qt.Commentf(tc.name))
			}
			commit := rs.Commit
			rs.Commit = func(ctx context.Context, tx *rowstore.Tx) (int64, []rowstore.Row, error) {
				if commits == tc.before {
					refuse()
				}
				commits++
				st.SetCommitOutcome(own)
				return commit(ctx, tx)
			}
			err := first.Submit(context.Background(), triedAt(6990))
			if commits <= tc.before {
				refuse()
			}
			st.SetCommitOutcome(outcomes())
			qt.Check(t, err == nil, qt.IsFalse, qt.Commentf(tc.name))
			st.ApplyLate()
			qt.Check(t, storedRow(t, st).GetRefused(), qt.IsTrue, qt.Commentf(tc.name))
			_, err = first.State(context.Background(), jobID)
			qt.Check(t, code.Of(err), qt.Equals, code.JobUnknown, qt.Commentf(tc.name))
			for _, in := range []*intake.Intake{first, second} {
				qt.Check(t, in.Submit(context.Background(), triedAt(9000)), qt.IsNil, qt.Commentf(tc.name))
			}
			qt.Check(t, storedRow(t, st).GetRefused(), qt.IsFalse, qt.Commentf(tc.name))
		})
	}
}

// A first copy of a submission is to be refused, but the store takes nothing of its refusal, so that it is submitted after all, while a second copy is refused through another entry. The job was reported as not run, so the first copy must not replace that refusal, although it has seen the row by the time it is submitted.
func TestRefusalHoldsAgainstACopyWhoseOwnRefusalFails(t *testing.T) {
	const served, down = rowstoretest.Served, rowstoretest.Refused
	for _, tc := range []struct {
		name string
		// earlier is set if the job was refused once before both copies; a job that comes back is then decided by its first attempt.
		earlier bool
		limitMS int64
		// before is the commit of the first copy during which the refusal of the second one is stored, from 0.
		before   int
		outcomes []rowstoretest.Outcome
	}{
		{"refusal before the first commit", false, 9000, 0, []rowstoretest.Outcome{served, down, down}},
		{"refusal between the commits", false, 9000, 1, []rowstoretest.Outcome{down, served, down}},
		{"refused before, refusal between the commits", true, 5000, 1, []rowstoretest.Outcome{served, served, down, down}},
	} {
		synctest.Test(t, func(t *testing.T) {
			st := rowstoretest.New(clock.NewFake(0))
			rs := st.Rowstore()
			first, second := intake.New(rs), intake.New(st.Rowstore())
			if tc.earlier {
				_, err := second.Refuse(context.Background(), triedAt(1000))
				qt.Assert(t, err, qt.IsNil)
				// An answer to any other call shows the first entry that the row is older than its submission.
				_, err = first.State(context.Background(), jobID)
				qt.Assert(t, code.Of(err), qt.Equals, code.JobUnknown)
			}
			commits, own := 0, outcomes(tc.outcomes...)
			commit := rs.Commit
			rs.Commit = func(ctx context.Context, tx *rowstore.Tx) (int64, []rowstore.Row, error) {
				if commits == tc.before {
					st.SetCommitOutcome(outcomes())
					done, err := second.Refuse(context.Background(), triedAt(7000))
					qt.Assert(t, err, qt.IsNil)
					qt.Assert(t, done, qt.IsTrue, qt.Commentf(tc.name))
				}
				commits++
				st.SetCommitOutcome(own)
				return commit(ctx, tx)
			}
			refused, err := first.SubmitUnless(context.Background(), triedAt(6990), func(firstMS int64) bool { return firstMS < tc.limitMS })
			qt.Check(t, refused, qt.IsFalse, qt.Commentf(tc.name))
			qt.Check(t, code.Of(err), qt.Equals, code.TableUnavailable, qt.Commentf(tc.name))
			qt.Check(t, storedRow(t, st).GetRefused(), qt.IsTrue, qt.Commentf(tc.name))
			st.SetCommitOutcome(outcomes())
			qt.Check(t, first.Submit(context.Background(), triedAt(9000)), qt.IsNil, qt.Commentf(tc.name))
		})
	}
}

// The owner deletes the refused row of a job while its caller comes back: the submission must be stored and not be reported as in doubt, since each of its commits certainly failed or took effect.
func TestSubmissionBesideTheDeletionOfItsRefusal(t *testing.T) {
	st := rowstoretest.New(clock.NewFake(0))
	rs := st.Rowstore()
	in := intake.New(rs)
	_, err := in.Refuse(context.Background(), triedAt(1000))
	qt.Assert(t, err, qt.IsNil)
	commits, commit := 0, rs.Commit
	rs.Commit = func(ctx context.Context, tx *rowstore.Tx) (int64, []rowstore.Row, error) {
		commits++
		if commits == 2 {
			_, _, err := commit(ctx, rowstore.NewTx(tx.Partition()).Remove(intake.JobsTable, jobID))
			qt.Assert(t, err, qt.IsNil)
		}
		return commit(ctx, tx)
	}
	qt.Assert(t, in.Submit(context.Background(), triedAt(9000)), qt.IsNil)
	row := storedRow(t, st)
	qt.Check(t, row.GetRefused(), qt.IsFalse)
	qt.Check(t, row.GetFirstTriedMs(), qt.Equals, int64(1000))
}

// A submission that was decided to be hopeless must be refused, or stored if the store took nothing of the refusal; one that proves to be hopeless by the first attempt in a refused row must be refused as well.
func TestSubmitUnless(t *testing.T) {
	const late, down = rowstoretest.Late, rowstoretest.Refused
	for _, tc := range []struct {
		name string
		// firstMS is the attempt that was refused before, 0 for none; attempts from before limitMS are hopeless.
		firstMS, limitMS int64
		outcomes         []rowstoretest.Outcome
		want             code.Code
		refused          bool
		row              bool
	}{
		{"hopeful", 0, 0, nil, code.OK, false, false},
		{"hopeless", 0, 9000, nil, code.OK, true, true},
		{"hopeless, store took nothing", 0, 9000, []rowstoretest.Outcome{down, down, down}, code.OK, false, false},
		{"hopeless, in doubt", 0, 9000, []rowstoretest.Outcome{late, down, down}, code.TableInDoubt, false, true},
		{"hopeful when it comes back", 1000, 900, nil, code.OK, false, false},
		{"hopeless when it comes back", 1000, 5000, nil, code.OK, true, true},
		{"hopeless when it comes back, store took nothing", 1000, 5000, []rowstoretest.Outcome{rowstoretest.Served, down, down, down}, code.OK, false, false},
		{"hopeless when it comes back, in doubt", 1000, 5000, []rowstoretest.Outcome{rowstoretest.Served, late, late, late}, code.TableInDoubt, false, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			st := rowstoretest.New(clock.NewFake(0))
			in := intake.New(st.Rowstore())
			if tc.firstMS > 0 {
				_, err := in.Refuse(context.Background(), triedAt(tc.firstMS))
				qt.Assert(t, err, qt.IsNil)
			}
			st.SetCommitOutcome(outcomes(slices.Clone(tc.outcomes)...))
			refused, err := in.SubmitUnless(context.Background(), triedAt(8000), func(firstMS int64) bool { return firstMS < tc.limitMS })
			qt.Check(t, code.Of(err), qt.Equals, tc.want, qt.Commentf(tc.name))
			qt.Check(t, refused, qt.Equals, tc.refused, qt.Commentf(tc.name))
			st.ApplyLate()
			qt.Check(t, storedRow(t, st).GetRefused(), qt.Equals, tc.row, qt.Commentf(tc.name))
		})
	}
}

// While the store is down, a refusal must neither be reported as stored nor keep its caller waiting for longer than a submission.
func TestRefusalWhileTheStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ck := clock.New()
		for _, tc := range []struct {
			name         string
			unresponsive bool
			want         code.Code
		}{{"refuses connections", false, code.TableUnavailable}, {"doesn't answer", true, code.TableInDoubt}} {
			st := rowstoretest.New(ck)
			st.SetDown(!tc.unresponsive)
			st.SetUnresponsive(tc.unresponsive)
			startMS := ck.Now()
			refused, err := intake.New(st.Rowstore()).SubmitUnless(context.Background(), triedAt(8000), func(int64) bool { return true })
			qt.Check(t, code.Of(err), qt.Equals, tc.want, qt.Commentf(tc.name))
			qt.Check(t, refused, qt.IsFalse, qt.Commentf(tc.name))
			qt.Check(t, ck.Now()-startMS <= 2400, qt.IsTrue, qt.Commentf("%s: %d ms", tc.name, ck.Now()-startMS))
		}
	})
}

// An entry that was frozen may find a call whose caller has long sent another copy, which was refused. As that caller has disconnected, its call must not replace the refusal, but a job without any row must still be stored.
func TestCallerThatHasGoneReplacesNoRefusal(t *testing.T) {
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	st := rowstoretest.New(clock.NewFake(0))
	in := intake.New(st.Rowstore())
	_, err := in.Refuse(context.Background(), triedAt(7000))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, code.Of(in.Submit(gone, triedAt(6000))), qt.Equals, code.TableUnavailable)
	qt.Check(t, storedRow(t, st).GetRefused(), qt.IsTrue)
	qt.Check(t, in.Submit(context.Background(), triedAt(9000)), qt.IsNil)
	st = rowstoretest.New(clock.NewFake(0))
	qt.Check(t, intake.New(st.Rowstore()).Submit(gone, triedAt(6000)), qt.IsNil)
	qt.Check(t, storedRow(t, st).GetRefused(), qt.IsFalse)
}

// A submission whose own refusal the store doesn't take goes on as usual, but must not replace the refusal of another copy that it found meanwhile.
func TestFailedRefusalReplacesNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := rowstoretest.New(clock.NewFake(0))
		rs := st.Rowstore()
		commit, commits := rs.Commit, 0
		rs.Commit = func(ctx context.Context, tx *rowstore.Tx) (int64, []rowstore.Row, error) {
			commits++
			if commits == 1 {
				_, err := intake.New(st.Rowstore()).Refuse(context.Background(), triedAt(7000))
				qt.Assert(t, err, qt.IsNil)
				st.SetCommitOutcome(outcomes(rowstoretest.Served, rowstoretest.Refused, rowstoretest.Refused))
			}
			return commit(ctx, tx)
		}
		refused, err := intake.New(rs).SubmitUnless(context.Background(), triedAt(6990), func(int64) bool { return true })
		qt.Check(t, code.Of(err), qt.Equals, code.TableUnavailable)
		qt.Check(t, refused, qt.IsFalse)
		qt.Check(t, commits, qt.Equals, 4)
		qt.Check(t, storedRow(t, st).GetRefused(), qt.IsTrue)
	})
}
