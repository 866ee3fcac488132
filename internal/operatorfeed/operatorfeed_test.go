package operatorfeed_test

import (
	"context"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/admission"
	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/event"
	"github.com/fulmarloft/fulmarloft/internal/operatorfeed"
	"github.com/fulmarloft/fulmarloft/internal/rowstore"
	"github.com/fulmarloft/fulmarloft/internal/rowstoretest"
	"github.com/fulmarloft/fulmarloft/internal/workpb"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

func names() operatorfeed.Names {
	return operatorfeed.Names{
		Table: "o", RulesKey: "rules", IsWave: func(key string) bool { return strings.HasPrefix(key, "w") },
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

type rig struct {
	st *rowstoretest.Store
	ad *admission.Admission
	fd *operatorfeed.Feed
}

// follow runs a feed in a bubble of virtual time.
func follow(t *testing.T, play func(rg *rig)) {
	synctest.Test(t, func(t *testing.T) {
		ck := clock.New()
		rg := &rig{st: rowstoretest.New(ck), ad: admission.New(ck, 5000)}
		rg.fd = operatorfeed.New(rg.st.Rowstore(), ck, event.Discard(), names(), rg.ad)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			rg.fd.Run(ctx)
			close(done)
		}()
		play(rg)
		cancel()
		<-done
	})
}

func (rg *rig) publish(t *testing.T, key, value string) {
	_, _, err := rg.st.Rowstore().Commit(context.Background(), rowstore.NewTx("").Put("o", key, []byte(value)))
	qt.Assert(t, err, qt.IsNil)
	time.Sleep(10 * time.Millisecond)
	synctest.Wait()
}

func TestChangesAreTakenUpAtOnce(t *testing.T) {
	follow(t, func(rg *rig) {
		rg.publish(t, "rules", "3")
		qt.Assert(t, rg.ad.Rules().Rules().GetVersion(), qt.Equals, int64(3))
		rg.publish(t, "rules", "unreadable")
		rg.publish(t, "rules", "7")
		qt.Assert(t, rg.ad.Rules().Rules().GetVersion(), qt.Equals, int64(7))
		rg.publish(t, "w1", "")
		qt.Assert(t, len(rg.fd.Waves()), qt.Equals, 1)
	})
}

func TestDroppedHistoryIsReadAnew(t *testing.T) {
	follow(t, func(rg *rig) {
		rg.publish(t, "rules", "3")
		rg.st.SetDown(true)
		time.Sleep(2 * time.Second)
		rg.st.SetDown(false)
		_, _, err := rg.st.Rowstore().Commit(context.Background(), rowstore.NewTx("").Put("o", "rules", []byte("4")))
		qt.Assert(t, err, qt.IsNil)
		rg.st.DropHistory()
		time.Sleep(300 * time.Millisecond)
		qt.Assert(t, rg.ad.Rules().Rules().GetVersion(), qt.Equals, int64(4))
	})
}

func TestFreshnessEndsWithTheStore(t *testing.T) {
	follow(t, func(rg *rig) {
		rg.publish(t, "rules", "3")
		time.Sleep(10 * time.Second)
		qt.Assert(t, rg.ad.AgeMS() <= 2100, qt.IsTrue, qt.Commentf("%d", rg.ad.AgeMS()))
		rg.st.SetDown(true)
		time.Sleep(6 * time.Second)
		qt.Assert(t, rg.ad.AgeMS() >= 5000, qt.IsTrue)
	})
}

// An outage in which the store accepts calls and never answers must not outlast the store's return by a whole time-out.
func TestSilentStoreIsHeardSoonAfterItsReturn(t *testing.T) {
	const regainedMS = 400
	for outageMS := 1000; outageMS <= 5000; outageMS += 170 {
		follow(t, func(rg *rig) {
			rg.publish(t, "rules", "3")
			rg.st.SetUnresponsive(true)
			time.Sleep(time.Duration(outageMS) * time.Millisecond)
			rg.st.SetUnresponsive(false)
			time.Sleep(regainedMS * time.Millisecond)
			synctest.Wait()
			qt.Check(t, rg.ad.AgeMS() <= regainedMS, qt.IsTrue, qt.Commentf("outage of %d ms: proof of %d ms ago", outageMS, rg.ad.AgeMS()))
		})
	}
}
