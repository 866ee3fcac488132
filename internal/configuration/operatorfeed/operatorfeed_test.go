package operatorfeed_test

import (
	"context"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/configuration/operatorfeed"
	"github.com/fulmarloft/fulmarloft/internal/observability/event"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/request/admission"
	"github.com/fulmarloft/fulmarloft/internal/store/rowstore"
	"github.com/fulmarloft/fulmarloft/internal/testbed/rowstoretest"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

func schema() operatorfeed.Schema {
	return operatorfeed.Schema{
		Table: "o", RulesKey: "rules", IsWave: func(key string) bool { return strings.HasPrefix(key, "w") },
		EvacuatedZone: func(key string) (string, bool) { return strings.CutPrefix(key, "zone-") },
		DecodeRules: func(raw []byte) (*workpb.Rules, error) {
			version, err := strconv.ParseInt(string(raw), 10, 64)
			if err != nil {
				return nil, code.BodyBroken.Wrap(err)
			}
			return &workpb.Rules{Version: version}, nil
		},
		DecodeWave: func([]byte) (*workpb.Wave, error) { return &workpb.Wave{Number: 1}, nil },
	}
}

type fixture struct {
	st *rowstoretest.Store
	ad *admission.Admission
	fd *operatorfeed.Feed
}

// runFeed runs a test against a feed in a synctest bubble.
func runFeed(t *testing.T, test func(fx *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		ck := clock.New()
		fx := &fixture{st: rowstoretest.New(ck), ad: admission.New(ck, 5000)}
		fx.fd = operatorfeed.New(fx.st.Rowstore(), ck, event.Discard(), schema(), fx.ad)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			fx.fd.Run(ctx)
			close(done)
		}()
		test(fx)
		cancel()
		<-done
	})
}

func (fx *fixture) publish(t *testing.T, key, value string) {
	_, _, err := fx.st.Rowstore().Commit(context.Background(), rowstore.NewTx("").Put("o", key, []byte(value)))
	qt.Assert(t, err, qt.IsNil)
	time.Sleep(10 * time.Millisecond)
	synctest.Wait()
}

func TestChangesAreAppliedImmediately(t *testing.T) {
	runFeed(t, func(fx *fixture) {
		fx.publish(t, "rules", "3")
		qt.Assert(t, fx.ad.Rules().Rules().GetVersion(), qt.Equals, int64(3))
		fx.publish(t, "rules", "unreadable")
		fx.publish(t, "rules", "7")
		qt.Assert(t, fx.ad.Rules().Rules().GetVersion(), qt.Equals, int64(7))
		fx.publish(t, "w1", "")
		qt.Assert(t, len(fx.fd.Waves()), qt.Equals, 1)
	})
}

// Changes whose history the store has dropped during an outage must be found by reading the whole table.
func TestLostHistoryIsReadInFull(t *testing.T) {
	runFeed(t, func(fx *fixture) {
		fx.publish(t, "rules", "3")
		fx.st.SetDown(true)
		time.Sleep(2 * time.Second)
		fx.st.SetDown(false)
		_, _, err := fx.st.Rowstore().Commit(context.Background(), rowstore.NewTx("").Put("o", "rules", []byte("4")))
		qt.Assert(t, err, qt.IsNil)
		fx.st.DropHistory()
		time.Sleep(300 * time.Millisecond)
		qt.Assert(t, fx.ad.Rules().Rules().GetVersion(), qt.Equals, int64(4))
	})
}

// The age of the rules must stay small while the store answers, and grow while it is down.
func TestRulesAgeGrowsWithoutStore(t *testing.T) {
	runFeed(t, func(fx *fixture) {
		fx.publish(t, "rules", "3")
		time.Sleep(10 * time.Second)
		qt.Assert(t, fx.ad.AgeMS() <= 2100, qt.IsTrue, qt.Commentf("rules confirmed %d ms ago, expected at most 2100", fx.ad.AgeMS()))
		fx.st.SetDown(true)
		time.Sleep(6 * time.Second)
		qt.Assert(t, fx.ad.AgeMS() >= 5000, qt.IsTrue, qt.Commentf("rules confirmed %d ms ago, expected at least 5000", fx.ad.AgeMS()))
	})
}

// A feed whose calls the store accepted without answering must not wait for their whole timeout once the store answers again.
func TestFeedResumesSoonAfterUnresponsiveStore(t *testing.T) {
	const recoveryMS = 400
	for outageMS := 1000; outageMS <= 5000; outageMS += 170 {
		runFeed(t, func(fx *fixture) {
			fx.publish(t, "rules", "3")
			fx.st.SetUnresponsive(true)
			time.Sleep(time.Duration(outageMS) * time.Millisecond)
			fx.st.SetUnresponsive(false)
			time.Sleep(recoveryMS * time.Millisecond)
			synctest.Wait()
			qt.Check(t, fx.ad.AgeMS() <= recoveryMS, qt.IsTrue, qt.Commentf("outage of %d ms: rules confirmed %d ms ago", outageMS, fx.ad.AgeMS()))
		})
	}
}

func TestZonesAreEvacuatedUntilTheirRowsAreRemoved(t *testing.T) {
	runFeed(t, func(fx *fixture) {
		fx.publish(t, "zone-a", "{}")
		fx.publish(t, "zone-b", "{}")
		qt.Assert(t, fx.fd.EvacuatedZones(), qt.DeepEquals, map[string]bool{"a": true, "b": true})
		_, _, err := fx.st.Rowstore().Commit(context.Background(), rowstore.NewTx("").Remove("o", "zone-a"))
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(10 * time.Millisecond)
		synctest.Wait()
		qt.Assert(t, fx.fd.EvacuatedZones(), qt.DeepEquals, map[string]bool{"b": true})
	})
}

// A wave that the operators removed while this entry's feed had a gap must not be driven by it as a later owner.
func TestWaveRemovedDuringAGapIsDropped(t *testing.T) {
	runFeed(t, func(fx *fixture) {
		fx.publish(t, "w1", "")
		qt.Assert(t, fx.fd.Waves(), qt.HasLen, 1)
		fx.st.SetDown(true)
		time.Sleep(2 * time.Second)
		fx.st.SetDown(false)
		_, _, err := fx.st.Rowstore().Commit(context.Background(), rowstore.NewTx("").Remove("o", "w1"))
		qt.Assert(t, err, qt.IsNil)
		fx.st.DropHistory()
		time.Sleep(300 * time.Millisecond)
		qt.Check(t, fx.fd.Waves(), qt.HasLen, 0)
	})
}

// An entry that has just restarted must take no keyed call before it has read the rules, nor by rules that were replaced while it was away.
func TestRestartedEntryTakesOnlyTheRulesInTheStore(t *testing.T) {
	runFeed(t, func(fx *fixture) {
		fx.publish(t, "rules", "3")
		fx.publish(t, "rules", "4")
		fx.st.SetDown(true)
		ck := clock.New()
		ad := admission.New(ck, 5000)
		restarted := operatorfeed.New(fx.st.Rowstore(), ck, event.Discard(), schema(), ad)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			restarted.Run(ctx)
			close(done)
		}()
		time.Sleep(2 * time.Second)
		_, err := ad.Admit("h", "/q/x", "key")
		qt.Check(t, code.Of(err), qt.Equals, code.KeyedWorkPaused)
		fx.st.SetDown(false)
		time.Sleep(2 * time.Second)
		qt.Check(t, ad.Rules().Rules().GetVersion(), qt.Equals, int64(4))
		cancel()
		<-done
	})
}
