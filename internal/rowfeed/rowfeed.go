package rowfeed

import (
	"context"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/hedge"
	"github.com/fulmarloft/fulmarloft/internal/rowstore"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Feed follows one table.
type Feed struct {
	st     *rowstore.Store
	ck     *clock.Clock
	table  string
	waitMS int64
	// calm says when a call is repeated that waits for changes, probing when one is that asks a store that failed.
	calm    *hedge.Policy
	probing *hedge.Policy
	// read returns all rows of the table and the version from which to follow.
	read func(context.Context) ([]rowstore.Row, int64, error)
	// OnOutage is told of the first failure of an outage, OnRecovery of its end, OnHistoryLost of a dropped history.
	OnOutage      func(error)
	OnRecovery    func(version int64)
	OnHistoryLost func(after int64)

	gapMS   int64
	after   int64
	known   bool
	failing bool
}

// Change is what one answer of the store brought.
type Change struct {
	rows   []rowstore.Row
	whole  bool
	sentMS int64
}

// Rows returns the changed rows, or all rows of the table.
func (ch Change) Rows() []rowstore.Row { return ch.rows }

// Complete reports whether the rows are all that there are.
func (ch Change) Complete() bool { return ch.whole }

// SentMS returns when the call was sent whose answer this is.
func (ch Change) SentMS() int64 { return ch.sentMS }

const (
	// retryMS is the pause after a call that failed.
	retryMS = 100
	// answerMS is how long an answer may take beside the wait that was asked for: one of 4 ms slowed down fifty times, and the way.
	answerMS = 300
	// probeGapMS is how often a store that doesn't answer is asked again beside the calls under way.
	probeGapMS = 250
	// lostMS is for how long a call that isn't answered is repeated before the store counts as lost.
	lostMS = 1000
)

// New returns a feed of a table; read reads all of it, and the store waits up to waitMS for a change.
func New(st *rowstore.Store, ck *clock.Clock, table string, waitMS int64, read func(context.Context) ([]rowstore.Row, int64, error)) *Feed {
	return &Feed{
		st: st, ck: ck, table: table, waitMS: waitMS, read: read,
		calm:     hedge.New(ck, waitMS+answerMS, probeGapMS, historyLost),
		probing:  hedge.New(ck, probeGapMS, probeGapMS, historyLost),
		OnOutage: func(error) {}, OnRecovery: func(int64) {}, OnHistoryLost: func(int64) {},
	}
}

func historyLost(err error) bool { return code.Of(err) == code.HistoryLost }

// StartAfter lets the feed begin after a version instead of reading the whole table first.
func (fd *Feed) StartAfter(version int64) *Feed {
	fd.after, fd.known = version, true
	return fd
}

// WithMinInterval lets at least gapMS pass between calls, so that changes that come together share an answer.
func (fd *Feed) WithMinInterval(gapMS int64) *Feed {
	fd.gapMS = gapMS
	return fd
}

// Run hands over each answer until the context ends.
func (fd *Feed) Run(ctx context.Context, take func(Change)) {
	for ctx.Err() == nil {
		ch, version, err := fd.next(ctx)
		if historyLost(err) {
			fd.OnHistoryLost(fd.after)
			fd.known = false
			continue
		}
		if ctx.Err() != nil {
			return
		}
		fd.note(version, err)
		if err != nil {
			_ = fd.ck.Sleep(ctx, retryMS)
			continue
		}
		fd.after, fd.known = max(fd.after, version), true
		take(ch)
		if restMS := ch.SentMS() + fd.gapMS - fd.ck.Now(); restMS > 0 {
			_ = fd.ck.Sleep(ctx, restMS)
		}
	}
}

// next reads the whole table, or waits for a change.
func (fd *Feed) next(ctx context.Context) (Change, int64, error) {
	if !fd.known {
		sentMS := fd.ck.Now()
		list, version, err := fd.read(ctx)
		return Change{rows: list, whole: true, sentMS: sentMS}, version, err
	}
	policy, waitMS := fd.calm, fd.waitMS
	if fd.failing {
		policy, waitMS = fd.probing, 0
	}
	after := fd.after
	ctx, cancel := fd.ck.WithTimeout(ctx, waitMS+lostMS)
	defer cancel()
	as, err := hedge.Do(ctx, policy, func(ctx context.Context, try int) (answer, error) {
		if try > 0 {
			return fd.ask(ctx, after, 0)
		}
		return fd.ask(ctx, after, waitMS)
	})
	if err != nil && !historyLost(err) {
		err = code.TableUnavailable.Wrap(err)
	}
	return Change{rows: as.pg.Rows(), sentMS: as.sentMS}, as.pg.Version(), err
}

type answer struct {
	pg     rowstore.Page
	sentMS int64
}

func (fd *Feed) ask(ctx context.Context, after, waitMS int64) (answer, error) {
	sentMS := fd.ck.Now()
	pg, err := fd.st.Feed(ctx, fd.table, after, waitMS)
	return answer{pg, sentMS}, err
}

func (fd *Feed) note(version int64, err error) {
	switch {
	case err != nil && !fd.failing:
		fd.OnOutage(err)
	case err == nil && fd.failing:
		fd.OnRecovery(version)
	}
	fd.failing = err != nil
}
