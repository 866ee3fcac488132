package hedge

import (
	"context"
	"sync"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/request/progress"
)

// tries are the tries of one call, of which at most one receives an answer at a time.
type tries struct {
	ck *clock.Clock
	// begun is closed when the first part of an answer arrives.
	begun chan struct{}

	mu sync.Mutex
	// cancels holds, by number, the functions that cancel the tries that haven't lost, received what these have received.
	cancels  map[int]context.CancelFunc
	received map[int]int
	// longest is the most that any try has received.
	longest int
	// progressMS is when a part of an answer last arrived, 0 if none has.
	progressMS int64
}

func newTries(ck *clock.Clock) *tries {
	return &tries{ck: ck, begun: make(chan struct{}), cancels: map[int]context.CancelFunc{}, received: map[int]int{}}
}

// start returns the context of a try, which is cancelled when another try receives a part of an answer.
func (ts *tries) start(ctx context.Context, try int) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	ts.mu.Lock()
	defer ts.mu.Unlock()
	ts.cancels[try] = cancel
	return progress.Through(ctx, func(bytes int) int { return ts.receive(try, bytes) })
}

// receive records that a try has received a part of an answer, cancels the others and returns by how much it has received more than any try before: what comes once more is no progress of the call.
func (ts *tries) receive(try, bytes int) int {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	if _, ok := ts.cancels[try]; !ok {
		return 0
	}
	if ts.progressMS == 0 {
		close(ts.begun)
	}
	ts.progressMS = ts.ck.Now()
	for other, cancel := range ts.cancels {
		if other != try {
			cancel()
			delete(ts.cancels, other)
		}
	}
	ts.received[try] += bytes
	gained := max(ts.received[try]-ts.longest, 0)
	ts.longest += gained
	return gained
}

// lost reports whether a try was cancelled since another one received a part of an answer.
func (ts *tries) lost(try int) bool {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	_, ok := ts.cancels[try]
	return !ok
}

// silentSinceMS returns when a part of an answer last arrived, 0 if none has.
func (ts *tries) silentSinceMS() int64 {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	return ts.progressMS
}
