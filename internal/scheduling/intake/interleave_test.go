package intake_test

import (
	"context"
	"fmt"
	"math/rand/v2"
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

// interleaving submits copies of one job through several entries, each of which may begin during any store call of another one, while commits are lost, late or refused.
type interleaving struct {
	t       *testing.T
	rnd     *rand.Rand
	st      *rowstoretest.Store
	entries []*intake.Intake
	// step counts the beginnings of submissions and the commits; the step at which a submission began is its AcceptedMs. depth is the number of submissions under way.
	step, depth int64
	// committed holds the step of each submission's last commit, notRun the submissions that were reported as not run.
	committed map[int64]int64
	notRun    map[int64]bool
	// refusedStep is that of the newest commit that stored a refusal which was reported; acceptedBy is the submission that the job was accepted from, 0 for none.
	refusedStep, acceptedBy int64
	// cancels is set if cancellations begin as well, unknown counts those that were answered with "no such job".
	cancels bool
	unknown int
}

type submissionKey struct{}

const (
	interleavedEntries = 3
	maxDepth           = 3
	// submissionsAtOnce is the number of submissions that begin while no other one is under way.
	submissionsAtOnce = 4
)

func newInterleaving(t *testing.T, seed uint64) *interleaving {
	il := &interleaving{t: t, rnd: rand.New(rand.NewPCG(seed, 1)), st: rowstoretest.New(clock.NewFake(0)), committed: map[int64]int64{}, notRun: map[int64]bool{}}
	il.st.SetCommitOutcome(func(*rowstore.Tx) rowstoretest.Outcome {
		outcomes := []rowstoretest.Outcome{rowstoretest.Refused, rowstoretest.AnswerLost, rowstoretest.Late}
		return append(outcomes, make([]rowstoretest.Outcome, 5)...)[il.rnd.IntN(8)]
	})
	for range interleavedEntries {
		rs := il.st.Rowstore()
		commit, read := rs.Commit, rs.Read
		rs.Commit = func(ctx context.Context, tx *rowstore.Tx) (int64, []rowstore.Row, error) {
			il.interrupt()
			version, current, err := commit(ctx, tx)
			il.step++
			il.committed[ctx.Value(submissionKey{}).(int64)] = il.step
			il.check()
			il.interrupt()
			return version, current, err
		}
		rs.Read = func(ctx context.Context, table, partition, from, to string) (rowstore.Page, error) {
			il.interrupt()
			return read(ctx, table, partition, from, to)
		}
		il.entries = append(il.entries, intake.New(rs))
	}
	return il
}

// interrupt lets late commits take effect or another submission begin, at random.
func (il *interleaving) interrupt() {
	switch il.rnd.IntN(6) {
	case 0:
		il.st.ApplyLate()
		il.check()
	case 1:
		if il.depth >= maxDepth {
			return
		}
		if il.cancels && il.rnd.IntN(3) == 0 {
			il.cancel()
			return
		}
		il.submit()
	}
}

// submit submits a copy of the job through any entry and checks the answer.
func (il *interleaving) submit() {
	il.step++
	il.depth++
	id := il.step
	hopeless, hopelessWhenBack := il.rnd.IntN(2) == 0, il.rnd.IntN(2) == 0
	ctx := context.WithValue(context.Background(), submissionKey{}, id)
	refused, err := il.entries[il.rnd.IntN(len(il.entries))].SubmitUnless(ctx, triedAt(id), func(firstMS int64) bool {
		return hopeless || (hopelessWhenBack && firstMS < id)
	})
	il.depth--
	if refused {
		il.refusedStep = max(il.refusedStep, il.committed[id])
	}
	il.notRun[id] = refused || code.Of(err) == code.TableUnavailable
	if err == nil && !refused {
		qt.Assert(il.t, il.acceptedBy > 0, qt.IsTrue, qt.Commentf("submission %d was reported as accepted and isn't", id))
	}
	il.checkReports()
}

// check reads the job's row: an accepted job must not be replaced.
func (il *interleaving) check() {
	rw, ok, err := il.st.Rowstore().Get(context.Background(), intake.JobsTable, intake.Partition(jobID), jobID)
	qt.Assert(il.t, err, qt.IsNil)
	jb := &workpb.Job{}
	qt.Assert(il.t, proto.Unmarshal(rw.Value(), jb), qt.IsNil)
	by := int64(0)
	if ok && !jb.GetRefused() {
		by = jb.GetAcceptedMs()
	}
	qt.Assert(il.t, il.acceptedBy == 0 || il.acceptedBy == by, qt.IsTrue, qt.Commentf("the job accepted from submission %d was replaced", il.acceptedBy))
	il.acceptedBy = by
	il.checkReports()
}

// checkReports checks an accepted job against what was reported: it must not come from a submission that was reported as not run, nor from one that began before a reported refusal was stored.
func (il *interleaving) checkReports() {
	if il.acceptedBy == 0 {
		return
	}
	qt.Assert(il.t, il.notRun[il.acceptedBy], qt.IsFalse, qt.Commentf("submission %d was reported as not run", il.acceptedBy))
	qt.Assert(il.t, il.acceptedBy > il.refusedStep, qt.IsTrue, qt.Commentf("accepted from submission %d, refused at %d", il.acceptedBy, il.refusedStep))
}

// Whatever copies of a submission meet each other's commits, and whichever of these are lost or late: a submission that was reported as not run must not run, a job that was reported as refused may run only by a submission that began after its refusal was stored, and an accepted job must stay accepted.
func TestInterleavedSubmissions(t *testing.T) {
	accepted := 0
	for seed := range uint64(1000) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				il := newInterleaving(t, seed)
				for range submissionsAtOnce {
					il.submit()
				}
				il.st.ApplyLate()
				il.check()
				if il.acceptedBy > 0 {
					accepted++
				}
			})
		})
	}
	qt.Check(t, accepted > 250, qt.IsTrue, qt.Commentf("%d accepted", accepted))
}
