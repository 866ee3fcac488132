package pendingview

import (
	"context"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/jobrunner"
	"github.com/fulmarloft/fulmarloft/internal/store/rowstore"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// View reads and caches the counts; it is safe for concurrent use.
type View struct {
	st *rowstore.Store
	ck *clock.Clock

	mu     sync.Mutex
	counts *workpb.Pending
	readMS int64
}

// maxAgeMS is how long counts that were read are cached.
const maxAgeMS = 300

// New returns a view of the counts in a store.
func New(st *rowstore.Store, ck *clock.Clock) *View {
	return &View{st: st, ck: ck}
}

// Pending returns the number of accepted jobs of a queue of which no task has started.
func (vw *View) Pending(ctx context.Context, queue string) (int, error) {
	vw.mu.Lock()
	defer vw.mu.Unlock()
	if vw.counts != nil && vw.ck.Now()-vw.readMS <= maxAgeMS {
		return int(vw.counts.GetWaiting()[queue]), nil
	}
	startMS := vw.ck.Now()
	rw, _, err := vw.st.Get(ctx, jobrunner.PendingTable, jobrunner.PendingPartition, jobrunner.PendingKey)
	if err != nil {
		return 0, err
	}
	counts := &workpb.Pending{}
	if err := proto.Unmarshal(rw.Value(), counts); err != nil {
		return 0, code.Internal.New("cannot decode row %s: %w", rw.Key(), err)
	}
	vw.counts, vw.readMS = counts, startMS
	return int(counts.GetWaiting()[queue]), nil
}
