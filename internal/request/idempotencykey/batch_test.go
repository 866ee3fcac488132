package idempotencykey

import (
	"context"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/testbed/memtable"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

func put(ctx context.Context, bt *batcher, key string, version uint64) (*platformpb.Row, bool, error) {
	return bt.put(ctx, &platformpb.Write{Key: key, Value: []byte(key)}, version)
}

// A conflict of one row must neither end nor hold back the writes that share its commit, and two writes of one row must not share a commit.
func TestConflictInABatchLeavesTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := memtable.New()
		ck := clock.New()
		release := make(chan struct{})
		tb.SetFaults(func(_ string, _ bool) error { <-release; return nil }, nil)
		bt := &batcher{ck: ck, tc: tb.Client("a"), operation: operations()}
		type result struct {
			key       string
			committed bool
			version   uint64
		}
		results := make(chan result, 10)
		begin := func(key string) {
			go func() {
				row, committed, err := put(t.Context(), bt, key, 0)
				qt.Check(t, err, qt.IsNil)
				results <- result{key, committed, row.GetVersion()}
			}()
			synctest.Wait()
		}
		for _, key := range []string{"x", "y", "x", "y", "z", "z", "u"} {
			begin(key)
		}
		close(release)
		committed, refused := map[string]int{}, map[string]int{}
		for range 7 {
			rs := <-results
			qt.Check(t, rs.version > 0, qt.IsTrue, qt.Commentf("%v", rs))
			if rs.committed {
				committed[rs.key]++
			} else {
				refused[rs.key]++
			}
		}
		qt.Check(t, committed, qt.DeepEquals, map[string]int{"x": 1, "y": 1, "z": 1, "u": 1})
		qt.Check(t, refused, qt.DeepEquals, map[string]int{"x": 1, "y": 1, "z": 1})
	})
}

// A write whose caller gives up while it waits must not be made later: its claim would stay without an outcome.
func TestWaitingWriteOfACallerThatGivesUpIsNotMade(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := memtable.New()
		release := make(chan struct{})
		tb.SetFaults(func(_ string, write bool) error {
			if write {
				<-release
			}
			return nil
		}, nil)
		bt := &batcher{ck: clock.New(), tc: tb.Client("a"), operation: operations()}
		for _, key := range []string{"x", "y"} {
			go func() { _, _, _ = put(t.Context(), bt, key, 0) }()
			synctest.Wait()
		}
		ctx, cancel := context.WithCancel(t.Context())
		errs := make(chan error, 1)
		go func() {
			_, _, err := put(ctx, bt, "z", 0)
			errs <- err
		}()
		synctest.Wait()
		cancel()
		qt.Check(t, code.Of(<-errs), qt.Equals, code.Cancelled)
		close(release)
		synctest.Wait()
		rep, err := tb.Client("b").Read(t.Context(), &platformpb.ReadRequest{Keys: []string{"x", "y", "z"}})
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, rep.GetRows(), qt.HasLen, 2)
	})
}

func operations() func() string {
	cm := &Claims{incarnation: "a"}
	return cm.operation
}
