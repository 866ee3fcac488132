package rowfeed_test

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/request/progress"
	"github.com/fulmarloft/fulmarloft/internal/store/rowfeed"
	"github.com/fulmarloft/fulmarloft/internal/store/rowstore"
	"github.com/fulmarloft/fulmarloft/internal/testbed/rowstoretest"
)

const (
	waitMS = 1000
	// overdueMS is the time after which a call that waits for changes is overdue.
	overdueMS = waitMS + 300
)

type fixture struct {
	ck   *clock.Clock
	st   *rowstoretest.Store
	log  string
	seen map[string]bool
	// lastAnsweredMS is when the last answered call was sent.
	lastAnsweredMS int64
}

// runFeed runs a scenario with a feed of table "t" in virtual time.
func runFeed(t *testing.T, scenario func(fx *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		ck := clock.New()
		fx := &fixture{ck: ck, st: rowstoretest.New(ck), seen: map[string]bool{}}
		st := fx.st.Rowstore()
		fd := rowfeed.New(st, ck, "t", waitMS, func(ctx context.Context) ([]rowstore.Row, int64, error) { return st.ReadAll(ctx, "t", "") })
		fd.OnOutage = func(error) { fx.log += "outage " }
		fd.OnRecovery = func(int64) { fx.log += "recovered " }
		fd.OnHistoryLost = func(int64) { fx.log += "history-lost " }
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			fd.Run(ctx, fx.record)
			close(done)
		}()
		synctest.Wait()
		scenario(fx)
		cancel()
		<-done
	})
}

func (fx *fixture) record(ch rowfeed.Change) {
	fx.lastAnsweredMS = ch.SentMS()
	for _, rw := range ch.Rows() {
		fx.seen[rw.Key()] = !rw.Deleted()
	}
}

func (fx *fixture) put(t *testing.T, key string) {
	_, _, err := fx.st.Rowstore().Commit(context.Background(), rowstore.NewTx("").Put("t", key, nil))
	qt.Assert(t, err, qt.IsNil)
	synctest.Wait()
}

func pause(ms int64) {
	time.Sleep(time.Duration(ms) * time.Millisecond)
	synctest.Wait()
}

// No change may be lost over an outage of any length, and the feed must be up to date again within a bounded time after it.
func TestNoChangeIsLostOverOutage(t *testing.T) {
	for outageMS := int64(100); outageMS < 4000; outageMS += 230 {
		runFeed(t, func(fx *fixture) {
			fx.put(t, "before")
			fx.st.SetUnresponsive(true)
			pause(outageMS)
			fx.st.SetUnresponsive(false)
			fx.put(t, "after")
			boundMS := int64(400)
			if outageMS < overdueMS {
				boundMS = overdueMS
			}
			pause(boundMS)
			comment := qt.Commentf("outage of %d ms, %s", outageMS, fx.log)
			qt.Check(t, fx.seen, qt.DeepEquals, map[string]bool{"before": true, "after": true}, comment)
			qt.Check(t, fx.ck.Now()-fx.lastAnsweredMS <= boundMS, qt.IsTrue, comment)
			qt.Check(t, fx.log == "" || fx.log == "outage recovered ", qt.IsTrue, comment)
		})
	}
}

// An outage's error must tell a silent store from one whose answers take too long: by its calls and what they received.
func TestOutageSaysWhatItsCallsReceived(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ck := clock.New()
		st := &rowstore.Store{Feed: func(ctx context.Context, _ string, _, _ int64) (rowstore.Page, error) {
			progress.Report(ctx, 700)
			<-ctx.Done()
			return rowstore.Page{}, ctx.Err()
		}}
		fd := rowfeed.New(st, ck, "t", waitMS, nil).StartAfter(0)
		var outage error
		ctx, cancel := context.WithCancel(t.Context())
		fd.OnOutage = func(err error) {
			outage = err
			cancel()
		}
		fd.Run(ctx, func(rowfeed.Change) {})
		qt.Assert(t, outage, qt.ErrorMatches, `.*\b[1-9]\d* calls received [1-9]\d*00 bytes.*`)
	})
}

// The outage of a store that fails all calls is reported once, and so is its end.
func TestFailingStore(t *testing.T) {
	runFeed(t, func(fx *fixture) {
		fx.put(t, "before")
		fx.st.SetDown(true)
		pause(3000)
		qt.Check(t, fx.log, qt.Equals, "outage ")
		fx.st.SetDown(false)
		fx.put(t, "after")
		pause(200)
		qt.Check(t, fx.log, qt.Equals, "outage recovered ")
		qt.Check(t, fx.seen["after"], qt.IsTrue)
	})
}

// After the store has dropped its change history, the feed must read the whole table again.
func TestTableIsReadAgainAfterLostHistory(t *testing.T) {
	runFeed(t, func(fx *fixture) {
		fx.st.SetUnresponsive(true)
		pause(100)
		fx.st.SetUnresponsive(false)
		for at := range 3 {
			fx.put(t, strconv.Itoa(at))
		}
		fx.st.DropHistory()
		pause(2 * waitMS)
		qt.Check(t, fx.log, qt.Equals, "history-lost ")
		fx.put(t, "after")
		pause(waitMS)
		qt.Check(t, fx.seen, qt.DeepEquals, map[string]bool{"0": true, "1": true, "2": true, "after": true})
	})
}

// An answer that leaves out changes must neither make the feed skip them, such as the withdrawal of a key or the end of a VM, nor count as proof that nothing newer exists.
func TestChangesOfAnIncompleteAnswerAreNotSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ck := clock.New()
		st := rowstoretest.New(ck)
		inner := st.Rowstore()
		paged := *inner
		paged.Feed = func(ctx context.Context, table string, after, wait int64) (rowstore.Page, error) {
			pg, err := inner.Feed(ctx, table, after, wait)
			if err != nil || len(pg.Rows()) <= 2 {
				return pg, err
			}
			return rowstore.NewPage(pg.Rows()[:2], true, pg.Version()), nil
		}
		for at := range 7 {
			_, _, err := inner.Commit(t.Context(), rowstore.NewTx("").Put("t", strconv.Itoa(at), nil))
			qt.Assert(t, err, qt.IsNil)
		}
		seen := map[string]bool{}
		ctx, cancel := context.WithCancel(t.Context())
		fd := rowfeed.New(&paged, ck, "t", waitMS, nil).StartAfter(0)
		done := make(chan struct{})
		go func() {
			fd.Run(ctx, func(ch rowfeed.Change) {
				for _, rw := range ch.Rows() {
					seen[rw.Key()] = true
				}
				qt.Check(t, ch.SentMS() == 0 || len(seen) == 7, qt.IsTrue)
			})
			close(done)
		}()
		time.Sleep(5 * time.Second)
		cancel()
		<-done
		qt.Check(t, seen, qt.HasLen, 7)
	})
}
