package intake_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/intake"
	"github.com/fulmarloft/fulmarloft/internal/store/rowstore"
	"github.com/fulmarloft/fulmarloft/internal/testbed/rowstoretest"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// copies sends copies of one submission through several entries, over links that delay commits and lose them or their answers.
type copies struct {
	t    *testing.T
	seed uint64
	ck   *clock.Clock
	st   *rowstoretest.Store

	mu  sync.Mutex
	rnd *rand.Rand
	// acceptedMS and refusedMS are when the store applied the acceptance and the last refusal, 0 for never.
	acceptedMS, refusedMS int64
	refusals              int
	// reportedMS is when the last call began that was answered as refused.
	reportedMS int64
}

// begunKey is the key under which a context holds when its call began.
type begunKey struct{}

func (cs *copies) random(below int64) int64 {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.rnd.Int64N(below)
}

// link returns the store as one entry reaches it. A commit goes on after its caller has given up.
func (cs *copies) link() *rowstore.Store {
	rs := cs.st.Rowstore()
	commit := rs.Commit
	rs.Commit = func(ctx context.Context, tx *rowstore.Tx) (int64, []rowstore.Row, error) {
		type answer struct {
			version int64
			rows    []rowstore.Row
			err     error
		}
		kind, outMS, backMS := cs.random(10), cs.random(300), cs.random(200)
		if kind == 0 {
			return 0, nil, code.TableUnavailable.New("no connection")
		}
		if kind == 1 {
			outMS += cs.random(4000)
		}
		answers := make(chan answer, 1)
		go func() {
			time.Sleep(time.Duration(outMS) * time.Millisecond)
			version, rows, err := commit(context.Background(), tx)
			if err == nil {
				cs.applied(ctx, tx)
			}
			time.Sleep(time.Duration(backMS) * time.Millisecond)
			if kind != 2 {
				answers <- answer{version, rows, err}
			}
		}()
		select {
		case an := <-answers:
			return an.version, an.rows, an.err
		case <-ctx.Done():
			return 0, nil, code.TableInDoubt.Wrap(ctx.Err())
		}
	}
	return rs
}

// applied checks each write of the job's row.
func (cs *copies) applied(ctx context.Context, tx *rowstore.Tx) {
	row := &workpb.Job{}
	qt.Assert(cs.t, proto.Unmarshal(tx.Puts()[0].Value(), row), qt.IsNil)
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.acceptedMS > 0 {
		cs.t.Errorf("seed %d: the accepted job was written over", cs.seed)
	}
	if row.GetRefused() {
		cs.refusedMS = cs.ck.Now()
		cs.refusals++
		return
	}
	cs.acceptedMS = cs.ck.Now()
	if begunMS := ctx.Value(begunKey{}).(int64); begunMS < max(cs.refusedMS, cs.reportedMS) {
		cs.t.Errorf("seed %d: a copy that began at %d was accepted at %d after a refusal stored at %d and one reported to a call of %d", cs.seed, begunMS, cs.acceptedMS, cs.refusedMS, cs.reportedMS)
	}
}

// Whatever happens to the commits of copies of a submission that overlap, a copy that began before a refusal was stored must not be accepted after it, an accepted job must not be refused, and each answer must be true.
func TestOverlappingCopies(t *testing.T) {
	const histories, entries, calls, periodMS = 400, 3, 6, 4000
	accepted, refusals := 0, 0
	for seed := range uint64(histories) {
		synctest.Test(t, func(t *testing.T) {
			ck := clock.New()
			cs := &copies{t: t, seed: seed, ck: ck, st: rowstoretest.New(ck), rnd: rand.New(rand.NewPCG(seed, 2))}
			var list []*intake.Intake
			for range entries {
				list = append(list, intake.New(cs.link()))
			}
			var wg sync.WaitGroup
			for range calls {
				in, startMS, hopeless := list[cs.random(entries)], cs.random(periodMS), cs.random(2) == 0
				wg.Go(func() {
					time.Sleep(time.Duration(startMS) * time.Millisecond)
					cs.call(in, hopeless)
				})
			}
			wg.Wait()
			time.Sleep(10 * time.Second)
			cs.mu.Lock()
			defer cs.mu.Unlock()
			if cs.acceptedMS > 0 {
				accepted++
			}
			refusals += cs.refusals
		})
	}
	t.Logf("%d of %d jobs accepted, %d refusals stored", accepted, histories, refusals)
	qt.Check(t, accepted > histories/4 && refusals > histories/2, qt.IsTrue)
}

// call submits one copy and checks its answer against what the store has applied.
func (cs *copies) call(in *intake.Intake, hopeless bool) {
	begunMS := cs.ck.Now()
	refused, err := in.SubmitUnless(context.WithValue(context.Background(), begunKey{}, begunMS), triedAt(begunMS), func(int64) bool { return hopeless })
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if refused {
		cs.reportedMS = max(cs.reportedMS, begunMS)
	}
	switch {
	case refused && (err != nil || cs.refusedMS < begunMS):
		cs.t.Errorf("seed %d: reported as refused without a refusal", cs.seed)
	case !refused && err == nil && cs.acceptedMS == 0:
		cs.t.Errorf("seed %d: reported as accepted but not stored", cs.seed)
	}
}
