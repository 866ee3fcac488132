package rowfeed_test

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/rowfeed"
	"github.com/fulmarloft/fulmarloft/internal/rowstore"
	"github.com/fulmarloft/fulmarloft/internal/rowstoretest"
)

const (
	waitMS = 1000
	// overdueMS is after what time a call that waits for changes is known to be unanswered.
	overdueMS = waitMS + 300
)

type rig struct {
	ck   *clock.Clock
	st   *rowstoretest.Store
	log  string
	seen map[string]bool
	// heardMS is when the newest call was sent that was answered.
	heardMS int64
}

// follow runs a feed of table "t" in a bubble of virtual time.
func follow(t *testing.T, play func(rg *rig)) {
	synctest.Test(t, func(t *testing.T) {
		ck := clock.New()
		rg := &rig{ck: ck, st: rowstoretest.New(ck), seen: map[string]bool{}}
		st := rg.st.Rowstore()
		fd := rowfeed.New(st, ck, "t", waitMS, func(ctx context.Context) ([]rowstore.Row, int64, error) { return st.ReadAll(ctx, "t", "") })
		fd.OnOutage = func(error) { rg.log += "lost " }
		fd.OnRecovery = func(int64) { rg.log += "regained " }
		fd.OnHistoryLost = func(int64) { rg.log += "gap " }
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			fd.Run(ctx, rg.take)
			close(done)
		}()
		synctest.Wait()
		play(rg)
		cancel()
		<-done
	})
}

func (rg *rig) take(ch rowfeed.Change) {
	rg.heardMS = ch.SentMS()
	for _, rw := range ch.Rows() {
		rg.seen[rw.Key()] = !rw.Deleted()
	}
}

func (rg *rig) put(t *testing.T, key string) {
	_, _, err := rg.st.Rowstore().Commit(context.Background(), rowstore.NewTx("").Put("t", key, nil))
	qt.Assert(t, err, qt.IsNil)
	synctest.Wait()
}

func pause(ms int64) {
	time.Sleep(time.Duration(ms) * time.Millisecond)
	synctest.Wait()
}

func TestNothingIsMissedOverAnOutage(t *testing.T) {
	for outageMS := int64(100); outageMS < 4000; outageMS += 230 {
		follow(t, func(rg *rig) {
			rg.put(t, "before")
			rg.st.SetUnresponsive(true)
			pause(outageMS)
			rg.st.SetUnresponsive(false)
			rg.put(t, "after")
			boundMS := int64(400)
			if outageMS < overdueMS {
				boundMS = overdueMS
			}
			pause(boundMS)
			comment := qt.Commentf("outage of %d ms, %s", outageMS, rg.log)
			qt.Check(t, rg.seen, qt.DeepEquals, map[string]bool{"before": true, "after": true}, comment)
			qt.Check(t, rg.ck.Now()-rg.heardMS <= boundMS, qt.IsTrue, comment)
			qt.Check(t, rg.log == "" || rg.log == "lost regained ", qt.IsTrue, comment)
		})
	}
}

func TestRefusingStore(t *testing.T) {
	follow(t, func(rg *rig) {
		rg.put(t, "before")
		rg.st.SetDown(true)
		pause(3000)
		qt.Check(t, rg.log, qt.Equals, "lost ")
		rg.st.SetDown(false)
		rg.put(t, "after")
		pause(200)
		qt.Check(t, rg.log, qt.Equals, "lost regained ")
		qt.Check(t, rg.seen["after"], qt.IsTrue)
	})
}

func TestDroppedHistoryIsReadAnew(t *testing.T) {
	follow(t, func(rg *rig) {
		rg.st.SetUnresponsive(true)
		pause(100)
		rg.st.SetUnresponsive(false)
		for at := range 3 {
			rg.put(t, strconv.Itoa(at))
		}
		rg.st.DropHistory()
		pause(2 * waitMS)
		qt.Check(t, rg.log, qt.Equals, "gap ")
		rg.put(t, "after")
		pause(waitMS)
		qt.Check(t, rg.seen, qt.DeepEquals, map[string]bool{"0": true, "1": true, "2": true, "after": true})
	})
}
