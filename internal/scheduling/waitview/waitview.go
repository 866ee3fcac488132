package waitview

import (
	"context"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/membership/ownership"
	"github.com/fulmarloft/fulmarloft/internal/observability/event"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/waitestimate"
	"github.com/fulmarloft/fulmarloft/internal/store/rowfeed"
	"github.com/fulmarloft/fulmarloft/internal/store/rowstore"
)

// View follows the estimate; its methods are safe for concurrent use.
type View struct {
	st *rowstore.Store
	ck *clock.Clock
	lg *event.Log
	// OnEstimate is called with each estimate and the time at which it was the newest one.
	OnEstimate func(ws *workpb.Waits, readMS int64)

	newest atomic.Pointer[reading]
	// answeredMS is when the last answer of the store came.
	answeredMS int64
}

// reading is an estimate and when it was the newest one.
type reading struct {
	ws     *workpb.Waits
	readMS int64
}

const (
	// idleWaitMS is how long a call waits for a change while nothing waits, activeWaitMS while the owner writes an estimate every 300 ms, so that a connection without answers is noticed.
	idleWaitMS   = 30_000
	activeWaitMS = 1000
	// heldMS is the time from which an answer was held back by the store until a change. A change in an earlier answer may have happened at any time since the answer before.
	heldMS = 50
)

// New returns a view that has read nothing.
func New(st *rowstore.Store, ck *clock.Clock, lg *event.Log) *View {
	return &View{st: st, ck: ck, lg: lg, OnEstimate: func(*workpb.Waits, int64) {}}
}

// Run follows the estimate until the context ends. An estimate that is there already is passed over, since its age isn't known.
func (vw *View) Run(ctx context.Context) {
	vw.answeredMS = vw.ck.Now()
	fd := rowfeed.New(vw.st, vw.ck, waitestimate.Table, idleWaitMS, func(ctx context.Context) ([]rowstore.Row, int64, error) {
		return vw.st.ReadAll(ctx, waitestimate.Table, ownership.Partition)
	})
	fd.OnOutage = func(err error) { vw.lg.Fail("estimate-feed-lost", err, "table", waitestimate.Table) }
	fd.OnRecovery = func(version int64) {
		vw.lg.Info("estimate-feed-regained", "table", waitestimate.Table, "version", version)
	}
	fd.Run(ctx, func(ch rowfeed.Change) {
		nowMS := vw.ck.Now()
		readMS := nowMS
		if ch.SentMS() == 0 || nowMS-ch.SentMS() < heldMS {
			readMS = vw.answeredMS
		}
		if ch.SentMS() != 0 {
			vw.answeredMS = nowMS
		}
		if !ch.Complete() {
			fd.SetWait(vw.apply(ch.Rows(), readMS))
		}
	})
}

// apply takes up the newest of the rows and returns how long the next call may wait.
func (vw *View) apply(list []rowstore.Row, readMS int64) int64 {
	for _, rw := range list {
		if rw.Key() != waitestimate.Key {
			continue
		}
		ws := &workpb.Waits{}
		if err := proto.Unmarshal(rw.Value(), ws); err != nil {
			vw.lg.Fail("estimate-unreadable", err, "version", rw.Version())
			ws = &workpb.Waits{}
		}
		vw.newest.Store(&reading{ws, readMS})
		vw.OnEstimate(ws, readMS)
	}
	if len(list) > 0 && len(vw.Estimate().GetServices()) > 0 {
		return activeWaitMS
	}
	return idleWaitMS
}

// Estimate returns the newest estimate, empty if there is none.
func (vw *View) Estimate() *workpb.Waits {
	if rd := vw.newest.Load(); rd != nil {
		return rd.ws
	}
	return &workpb.Waits{}
}

// AgeMS returns the time since the newest estimate was read, 0 if there is none.
func (vw *View) AgeMS() int64 {
	if rd := vw.newest.Load(); rd != nil {
		return vw.ck.Now() - rd.readMS
	}
	return 0
}
