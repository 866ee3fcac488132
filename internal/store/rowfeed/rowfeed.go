package rowfeed

import (
	"context"
	"sync/atomic"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/request/hedge"
	"github.com/fulmarloft/fulmarloft/internal/request/progress"
	"github.com/fulmarloft/fulmarloft/internal/store/rowstore"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Feed delivers the changes of one table.
type Feed struct {
	st     *rowstore.Store
	ck     *clock.Clock
	table  string
	waitMS int64
	// longPollPolicy hedges the calls that wait for changes, probePolicy those to a store whose last call failed.
	longPollPolicy *hedge.Policy
	probePolicy    *hedge.Policy
	// readTable returns all rows of the table and the version after which the feed continues.
	readTable func(context.Context) ([]rowstore.Row, int64, error)
	// OnOutage is called at the first failure of an outage, OnRecovery at its end, OnHistoryLost when the store has dropped the changes after a version.
	OnOutage      func(error)
	OnRecovery    func(version int64)
	OnHistoryLost func(after int64)

	minIntervalMS int64
	// after is the version up to which changes have been delivered; it is used only if afterValid is set.
	after      int64
	afterValid bool
	failing    bool
}

// Change holds the rows of one answer of the store.
type Change struct {
	rows     []rowstore.Row
	complete bool
	sentMS   int64
	bytes    int64
}

// Rows returns the changed rows, or all rows of the table.
func (ch Change) Rows() []rowstore.Row { return ch.rows }

// Complete reports whether the rows are all rows of the table.
func (ch Change) Complete() bool { return ch.complete }

// SentMS returns when the answered call was sent, 0 if further changes follow, so that the rows aren't known to be the newest.
func (ch Change) SentMS() int64 { return ch.sentMS }

// Bytes returns how much was received for this answer, in all calls that were made for it.
func (ch Change) Bytes() int64 { return ch.bytes }

const (
	// retryMS is the pause after a call that failed.
	retryMS = 100
	// answerAllowanceMS is how long an answer may take to begin in addition to the requested wait: it allows for a call of 4 ms that is slowed down fifty times, and the network round trip.
	answerAllowanceMS = 300
	// probeIntervalMS is how often a call is repeated while nothing of an answer to earlier ones arrives.
	probeIntervalMS = 250
	// outageAfterMS is the time without any part of an answer, in addition to the requested wait, after which a call has failed and the store counts as unavailable.
	outageAfterMS = 1000
)

// New returns a feed of a table; readTable reads all of it, and the store waits up to waitMS for a change.
func New(st *rowstore.Store, ck *clock.Clock, table string, waitMS int64, readTable func(context.Context) ([]rowstore.Row, int64, error)) *Feed {
	return &Feed{
		st: st, ck: ck, table: table, waitMS: waitMS, readTable: readTable,
		longPollPolicy: longPollPolicy(ck, waitMS),
		probePolicy:    hedge.New(ck, probeIntervalMS, probeIntervalMS, isHistoryLost),
		OnOutage:       func(error) {}, OnRecovery: func(int64) {}, OnHistoryLost: func(int64) {},
	}
}

func longPollPolicy(ck *clock.Clock, waitMS int64) *hedge.Policy {
	return hedge.New(ck, waitMS+answerAllowanceMS, probeIntervalMS, isHistoryLost)
}

// SetWait changes how long the store waits for a change, from the next call on; only the function that handles the answers may call it.
func (fd *Feed) SetWait(waitMS int64) {
	if waitMS != fd.waitMS {
		fd.waitMS, fd.longPollPolicy = waitMS, longPollPolicy(fd.ck, waitMS)
	}
}

func isHistoryLost(err error) bool { return code.Of(err) == code.HistoryLost }

// StartAfter makes the feed start after a version instead of reading the whole table first.
func (fd *Feed) StartAfter(version int64) *Feed {
	fd.after, fd.afterValid = version, true
	return fd
}

// WithMinInterval sets the minimum time between two calls, so that changes in quick succession share an answer.
func (fd *Feed) WithMinInterval(minIntervalMS int64) *Feed {
	fd.minIntervalMS = minIntervalMS
	return fd
}

// Run passes each answer to handle until the context ends.
func (fd *Feed) Run(ctx context.Context, handle func(Change)) {
	for ctx.Err() == nil {
		ch, version, err := fd.next(ctx)
		if isHistoryLost(err) {
			fd.OnHistoryLost(fd.after)
			fd.afterValid = false
			continue
		}
		if ctx.Err() != nil {
			return
		}
		fd.recordResult(version, err)
		if err != nil {
			_ = fd.ck.Sleep(ctx, retryMS)
			continue
		}
		fd.after, fd.afterValid = max(fd.after, version), true
		handle(ch)
		if remainingMS := ch.SentMS() + fd.minIntervalMS - fd.ck.Now(); remainingMS > 0 {
			_ = fd.ck.Sleep(ctx, remainingMS)
		}
	}
}

// next reads the whole table if no version to continue from is known, and otherwise waits for changes. Only the first try of a call waits; hedged tries return at once, as do all tries after a failure.
func (fd *Feed) next(ctx context.Context) (Change, int64, error) {
	var calls, bytes atomic.Int64
	count := func(received int) { bytes.Add(int64(received)) }
	if !fd.afterValid {
		sentMS := fd.ck.Now()
		list, version, err := fd.readTable(progress.With(ctx, count))
		return Change{rows: list, complete: true, sentMS: sentMS, bytes: bytes.Load()}, version, err
	}
	policy, waitMS := fd.longPollPolicy, fd.waitMS
	if fd.failing {
		policy, waitMS = fd.probePolicy, 0
	}
	after := fd.after
	ctx, cancel := progress.WithSilenceTimeout(ctx, fd.ck, waitMS+outageAfterMS, outageAfterMS)
	defer cancel()
	an, err := hedge.Do(ctx, policy, func(ctx context.Context, try int) (answer, error) {
		calls.Add(1)
		ctx = progress.With(ctx, count)
		if try > 0 {
			return fd.call(ctx, after, 0)
		}
		return fd.call(ctx, after, waitMS)
	})
	if err != nil && !isHistoryLost(err) {
		err = code.TableUnavailable.New("%d calls received %d bytes: %w", calls.Load(), bytes.Load(), err)
	}
	// The store's version covers the changes that the answer leaves out. The last row's transaction may have changed further rows.
	if list := an.pg.Rows(); an.pg.More() && len(list) > 0 {
		return Change{rows: list, bytes: bytes.Load()}, max(list[len(list)-1].Version()-1, after+1), err
	}
	return Change{rows: an.pg.Rows(), sentMS: an.sentMS, bytes: bytes.Load()}, an.pg.Version(), err
}

type answer struct {
	pg     rowstore.Page
	sentMS int64
}

func (fd *Feed) call(ctx context.Context, after, waitMS int64) (answer, error) {
	sentMS := fd.ck.Now()
	pg, err := fd.st.Feed(ctx, fd.table, after, waitMS)
	return answer{pg, sentMS}, err
}

// recordResult reports the start and the end of an outage.
func (fd *Feed) recordResult(version int64, err error) {
	switch {
	case err != nil && !fd.failing:
		fd.OnOutage(err)
	case err == nil && fd.failing:
		fd.OnRecovery(version)
	}
	fd.failing = err != nil
}
