package idempotencykey

import (
	"context"
	"slices"
	"sync"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/store/table"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// batcher writes rows of the table. Writes that arrive while others are under way are put into one commit, so that a burst of requests needs few calls; it is safe for concurrent use.
type batcher struct {
	ck *clock.Clock
	tc *table.Client
	// operation returns a new operation id.
	operation func() string

	mu       sync.Mutex
	waiting  []*rowWrite
	inFlight int
}

// rowWrite is one write on condition of the row's version, and its result.
type rowWrite struct {
	write   *platformpb.Write
	version uint64
	sinceMS int64

	// row is the row after the write, or the row as it is if it has another version.
	row       *platformpb.Row
	committed bool
	err       error
	done      chan struct{}
}

const (
	maxCommits      = 2
	maxRowsOfCommit = 32
	// maxWaitMS is how long a write may wait for the budget of table calls, during which it joins later commits.
	maxWaitMS       = 1000
	maxBytesOfBatch = 64 << 10
)

// put writes one row if it has the given version. Without an error it reports whether it was written and returns the row after it. A context that ends withdraws a write that is still waiting, with an error of code Cancelled, and leaves another in doubt.
func (bt *batcher) put(ctx context.Context, write *platformpb.Write, version uint64) (*platformpb.Row, bool, error) {
	rw := &rowWrite{write: write, version: version, sinceMS: bt.ck.Now(), done: make(chan struct{})}
	bt.mu.Lock()
	bt.waiting = append(bt.waiting, rw)
	begin := bt.inFlight < maxCommits
	if begin {
		bt.inFlight++
	}
	bt.mu.Unlock()
	if begin {
		go bt.run(context.WithoutCancel(ctx))
	}
	select {
	case <-rw.done:
		return rw.row, rw.committed, rw.err
	case <-ctx.Done():
	}
	if bt.withdraw(rw) {
		return nil, false, code.Cancelled.Wrap(ctx.Err())
	}
	return nil, false, code.TableInDoubt.New("the caller gave up during the commit: %w", ctx.Err())
}

// withdraw removes a write that is still waiting and reports whether it was.
func (bt *batcher) withdraw(rw *rowWrite) bool {
	bt.mu.Lock()
	defer bt.mu.Unlock()
	at := slices.Index(bt.waiting, rw)
	if at < 0 {
		return false
	}
	bt.waiting = slices.Delete(bt.waiting, at, at+1)
	return true
}

// run commits waiting writes until none is left.
func (bt *batcher) run(ctx context.Context) {
	for {
		batch := bt.take()
		if len(batch) == 0 {
			return
		}
		for len(batch) > 0 {
			batch = bt.commit(ctx, batch)
		}
	}
}

// take removes and returns writes for one commit, each of another row; without any it ends the run.
func (bt *batcher) take() []*rowWrite {
	bt.mu.Lock()
	defer bt.mu.Unlock()
	var batch, rest []*rowWrite
	keys := map[string]bool{}
	size := 0
	for _, rw := range bt.waiting {
		size += len(rw.write.GetValue())
		if keys[rw.write.GetKey()] || len(batch) == maxRowsOfCommit || (size > maxBytesOfBatch && len(batch) > 0) {
			rest = append(rest, rw)
			continue
		}
		keys[rw.write.GetKey()] = true
		batch = append(batch, rw)
	}
	bt.waiting = rest
	if len(batch) == 0 {
		bt.inFlight--
	}
	return batch
}

// putBack lets writes that the budget refused wait for the next commit, and returns those that have waited for too long.
func (bt *batcher) putBack(batch []*rowWrite) (late []*rowWrite) {
	bt.mu.Lock()
	defer bt.mu.Unlock()
	var again []*rowWrite
	for _, rw := range batch {
		if bt.ck.Now()-rw.sinceMS < maxWaitMS {
			again = append(again, rw)
		} else {
			late = append(late, rw)
		}
	}
	bt.waiting = append(again, bt.waiting...)
	return late
}

// commit commits the writes together. If rows have other versions nothing was written: their writes end, and the others are returned to be committed without them.
func (bt *batcher) commit(ctx context.Context, batch []*rowWrite) []*rowWrite {
	req := &platformpb.CommitRequest{Operation: bt.operation()}
	for _, rw := range batch {
		req.Conditions = append(req.Conditions, &platformpb.Condition{Key: rw.write.GetKey(), Version: rw.version})
		req.Writes = append(req.Writes, rw.write)
	}
	rep, err := bt.tc.Commit(ctx, req)
	rows := map[string]*platformpb.Row{}
	for _, row := range rep.GetRows() {
		rows[row.GetKey()] = row
	}
	if err == nil && !rep.GetCommitted() && len(rows) == 0 {
		err = code.TableInDoubt.New("the reply to a commit that conflicts lacks the rows")
	}
	if code.Of(err) == code.TableBudget {
		batch = bt.putBack(batch)
	}
	var rest []*rowWrite
	for _, rw := range batch {
		row := rows[rw.write.GetKey()]
		if err == nil && !rep.GetCommitted() && row == nil {
			rest = append(rest, rw)
			continue
		}
		rw.row, rw.committed, rw.err = row, rep.GetCommitted(), err
		close(rw.done)
	}
	return rest
}
