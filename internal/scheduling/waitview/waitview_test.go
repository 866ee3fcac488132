package waitview_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/membership/ownership"
	"github.com/fulmarloft/fulmarloft/internal/observability/event"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/waitestimate"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/waitview"
	"github.com/fulmarloft/fulmarloft/internal/store/rowstore"
	"github.com/fulmarloft/fulmarloft/internal/testbed/rowstoretest"
)

// fixture is a view of a store, with the number of calls that it made and what it was told last.
type fixture struct {
	t     *testing.T
	ck    *clock.Clock
	st    *rowstoretest.Store
	vw    *waitview.View
	calls atomic.Int64
	// taken counts the estimates taken up; readMS is the time of the last one.
	taken  int
	readMS int64
}

func run(t *testing.T, prepare, scenario func(fx *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		fx := &fixture{t: t, ck: clock.New()}
		fx.st = rowstoretest.New(fx.ck)
		prepare(fx)
		st := fx.st.Rowstore()
		feed := st.Feed
		st.Feed = func(ctx context.Context, table string, after, waitMS int64) (rowstore.Page, error) {
			fx.calls.Add(1)
			return feed(ctx, table, after, waitMS)
		}
		fx.vw = waitview.New(st, fx.ck, event.Discard())
		fx.vw.OnEstimate = func(_ *workpb.Waits, readMS int64) { fx.taken, fx.readMS = fx.taken+1, readMS }
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			fx.vw.Run(ctx)
			close(done)
		}()
		synctest.Wait()
		scenario(fx)
		cancel()
		<-done
	})
}

func nothing(*fixture) {}

// write stores an estimate as the owner does.
func (fx *fixture) write(ws *workpb.Waits) {
	raw, err := proto.Marshal(ws)
	qt.Assert(fx.t, err, qt.IsNil)
	fx.put(raw)
}

func (fx *fixture) put(raw []byte) {
	_, _, err := fx.st.Rowstore().Commit(context.Background(), rowstore.NewTx(ownership.Partition).Put(waitestimate.Table, waitestimate.Key, raw))
	qt.Assert(fx.t, err, qt.IsNil)
	synctest.Wait()
}

func (fx *fixture) wait(ms int64) {
	time.Sleep(time.Duration(ms) * time.Millisecond)
	synctest.Wait()
}

func estimate() *workpb.Waits {
	return &workpb.Waits{Services: []*workpb.ServiceWait{{Service: "s", RoomMilli: 1000}}}
}

// While nothing waits, the view must make no more than about one call in 30 s, and it must see the first estimate at once.
func TestIdleViewMakesFewCalls(t *testing.T) {
	run(t, nothing, func(fx *fixture) {
		fx.wait(120_000)
		qt.Check(t, fx.calls.Load() <= 5, qt.IsTrue, qt.Commentf("%d calls", fx.calls.Load()))
		fx.wait(7000)
		fx.write(estimate())
		qt.Check(t, fx.taken, qt.Equals, 1)
		qt.Check(t, fx.vw.AgeMS(), qt.Equals, int64(0))
		fx.wait(300)
		qt.Check(t, fx.vw.AgeMS(), qt.Equals, int64(300))
		fx.write(&workpb.Waits{})
		qt.Check(t, len(fx.vw.Estimate().GetServices()), qt.Equals, 0)
		calls := fx.calls.Load()
		fx.wait(90_000)
		qt.Check(t, fx.calls.Load()-calls <= 5, qt.IsTrue, qt.Commentf("%d calls", fx.calls.Load()-calls))
	})
}

// An estimate that an earlier owner left in the store may be of any age and must not be taken for a new one, neither at the start nor after the store has dropped its history.
func TestStoredEstimateIsPassedOver(t *testing.T) {
	run(t, func(fx *fixture) { fx.write(estimate()) }, func(fx *fixture) {
		fx.wait(1000)
		qt.Check(t, fx.taken, qt.Equals, 0)
		fx.st.DropHistory()
		fx.wait(40_000)
		qt.Check(t, fx.taken, qt.Equals, 0)
		fx.write(estimate())
		qt.Check(t, fx.taken, qt.Equals, 1)
	})
}

// An estimate that was written while the store didn't answer must not count as read now, since the owner may have been lost since.
func TestEstimateOfAnOutageIsOld(t *testing.T) {
	for _, tc := range []struct {
		name string
		set  func(st *rowstoretest.Store, away bool)
	}{
		{"refuses connections", (*rowstoretest.Store).SetDown},
		{"doesn't answer", (*rowstoretest.Store).SetUnresponsive},
	} {
		run(t, nothing, func(fx *fixture) {
			fx.write(estimate())
			fx.wait(300)
			fx.write(estimate())
			tc.set(fx.st, true)
			fx.wait(6000)
			qt.Check(t, fx.vw.AgeMS() >= 6000, qt.IsTrue, qt.Commentf("%s: %d", tc.name, fx.vw.AgeMS()))
			tc.set(fx.st, false)
			fx.write(estimate())
			fx.wait(1500)
			qt.Check(t, fx.vw.AgeMS() >= 1500, qt.IsTrue, qt.Commentf("%s: %d", tc.name, fx.vw.AgeMS()))
			qt.Check(t, fx.taken, qt.Equals, 3, qt.Commentf(tc.name))
			fx.write(estimate())
			qt.Check(t, fx.vw.AgeMS(), qt.Equals, int64(0), qt.Commentf(tc.name))
		})
	}
}

// An estimate that can't be decoded must count as none.
func TestUnreadableEstimateCountsAsNone(t *testing.T) {
	run(t, nothing, func(fx *fixture) {
		fx.write(estimate())
		fx.put([]byte{0xff})
		qt.Check(t, fx.taken, qt.Equals, 2)
		qt.Check(t, len(fx.vw.Estimate().GetServices()), qt.Equals, 0)
	})
}

// After an owner that wrote estimates was lost, the estimate must age, and the first one of the next owner must be taken up.
func TestEstimateAgesWhenItsOwnerIsLost(t *testing.T) {
	run(t, nothing, func(fx *fixture) {
		fx.write(estimate())
		fx.wait(4000)
		qt.Check(t, fx.vw.AgeMS(), qt.Equals, int64(4000))
		fx.write(estimate())
		qt.Check(t, fx.vw.AgeMS(), qt.Equals, int64(0))
	})
}
