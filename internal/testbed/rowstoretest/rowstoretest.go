package rowstoretest

import (
	"context"
	"sort"
	"strings"
	"sync"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/store/rowstore"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Outcome determines what the store does with one commit.
type Outcome int

// Outcomes of commits.
const (
	// Served commits are applied if their conditions hold, and answered.
	Served Outcome = iota
	// Refused commits are certainly not applied.
	Refused
	// AnswerLost commits are applied if their conditions hold, but get no answer.
	AnswerLost
	// NeverTaken commits are refused for their content.
	NeverTaken
	// Late commits get no answer and are applied by ApplyLate, if their conditions still hold.
	Late
)

// Store keeps rows in memory; it is safe for concurrent use.
type Store struct {
	ck *clock.Clock

	mu           sync.Mutex
	rows         map[rowAddress]rowstore.Row
	history      []rowstore.Row
	droppedUpTo  int64
	version      int64
	late         []*rowstore.Tx
	changed      chan struct{}
	outcome      func(*rowstore.Tx) Outcome
	down         bool
	unresponsive bool
	// latencyMS is how long a commit takes; it is applied even if its caller gives up in the meantime.
	latencyMS int64
	// limits are those beyond which commits are refused.
	limits rowstore.Limits
	// scanLatencyMS holds how long a read of an open-ended range of a table takes.
	scanLatencyMS map[string]int64
}

type rowAddress struct{ table, partition, key string }

// New returns an empty store.
func New(ck *clock.Clock) *Store {
	return &Store{ck: ck, rows: map[rowAddress]rowstore.Row{}, changed: make(chan struct{}), scanLatencyMS: map[string]int64{}, outcome: func(*rowstore.Tx) Outcome { return Served }}
}

// Rowstore returns the store's interface.
func (st *Store) Rowstore() *rowstore.Store {
	return &rowstore.Store{Limits: st.limits, Read: st.read, Partitions: st.partitions, Commit: st.commit, Feed: st.feed}
}

// SetLimits sets the sizes beyond which commits are refused; stores that Rowstore returned before don't report them.
func (st *Store) SetLimits(limits rowstore.Limits) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.limits = limits
}

// Put writes a row at once, whatever faults the store has.
func (st *Store) Put(table, partition, key string, value []byte) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.apply(rowstore.NewTx(partition).Put(table, key, value))
}

// SetCommitOutcome sets the function that determines the outcome of each commit from now on.
func (st *Store) SetCommitOutcome(outcome func(*rowstore.Tx) Outcome) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.outcome = outcome
}

// SetDown makes all calls fail, until it is called with false.
func (st *Store) SetDown(down bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.down = down
}

// SetUnresponsive makes the store answer no call, not even those in flight, until it is called with false.
func (st *Store) SetUnresponsive(unresponsive bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.unresponsive = unresponsive
	st.notify()
}

// blockIfUnresponsive blocks until the caller gives up if the store is unresponsive, and reports whether it was.
func (st *Store) blockIfUnresponsive(ctx context.Context) bool {
	st.mu.Lock()
	unresponsive := st.unresponsive
	st.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
	}
	return unresponsive
}

// SetLatency sets the duration of each commit in milliseconds.
func (st *Store) SetLatency(ms int64) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.latencyMS = ms
}

// SetScanLatency sets the duration of each read of an open-ended range of a table in milliseconds.
func (st *Store) SetScanLatency(table string, ms int64) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.scanLatencyMS[table] = ms
}

// simulateScanLatency waits for the duration of a read, or until its caller gives up.
func (st *Store) simulateScanLatency(ctx context.Context, table, to string) error {
	st.mu.Lock()
	latencyMS := st.scanLatencyMS[table]
	st.mu.Unlock()
	if to != "" || latencyMS == 0 {
		return nil
	}
	return st.ck.Sleep(ctx, latencyMS)
}

// simulateLatency waits for the duration of a commit, or until its caller gives up.
func (st *Store) simulateLatency(ctx context.Context) {
	st.mu.Lock()
	latencyMS := st.latencyMS
	st.mu.Unlock()
	if latencyMS > 0 {
		_ = st.ck.Sleep(ctx, latencyMS)
	}
}

// DropHistory drops the change history up to now, so that feeds from earlier versions fail.
func (st *Store) DropHistory() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.droppedUpTo = st.version
	st.history = nil
	st.notify()
}

// ApplyLate applies the late commits whose conditions still hold and returns their number.
func (st *Store) ApplyLate() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	applied := 0
	for _, tx := range st.late {
		if len(st.conflicts(tx)) == 0 {
			st.apply(tx)
			applied++
		}
	}
	st.late = nil
	return applied
}

func (st *Store) read(ctx context.Context, table, partition, from, to string) (rowstore.Page, error) {
	if st.blockIfUnresponsive(ctx) {
		return rowstore.Page{}, code.TableUnavailable.Wrap(ctx.Err())
	}
	if err := st.simulateScanLatency(ctx, table, to); err != nil {
		return rowstore.Page{}, code.TableUnavailable.Wrap(err)
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.down {
		return rowstore.Page{}, code.TableUnavailable.New("store is down")
	}
	var list []rowstore.Row
	for at, rw := range st.rows {
		if at.table == table && at.partition == partition && at.key >= from && (to == "" || at.key < to) {
			list = append(list, rw)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key() < list[j].Key() })
	return rowstore.NewPage(list, false, st.version), nil
}

func (st *Store) partitions(ctx context.Context, table string) ([]string, error) {
	if st.blockIfUnresponsive(ctx) {
		return nil, code.TableUnavailable.Wrap(ctx.Err())
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.down {
		return nil, code.TableUnavailable.New("store is down")
	}
	seen := map[string]bool{}
	var list []string
	for at := range st.rows {
		if at.table == table && !seen[at.partition] {
			seen[at.partition] = true
			list = append(list, at.partition)
		}
	}
	sort.Strings(list)
	return list, nil
}

func (st *Store) commit(ctx context.Context, tx *rowstore.Tx) (int64, []rowstore.Row, error) {
	if st.blockIfUnresponsive(ctx) {
		return 0, nil, code.TableInDoubt.Wrap(ctx.Err())
	}
	st.simulateLatency(ctx)
	version, current, err := st.commitNow(tx)
	if ctx.Err() != nil {
		return 0, nil, code.TableInDoubt.Wrap(ctx.Err())
	}
	return version, current, err
}

func (st *Store) commitNow(tx *rowstore.Tx) (int64, []rowstore.Row, error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.down {
		return 0, nil, code.TableUnavailable.New("store is down")
	}
	outcome := st.outcome(tx)
	switch outcome {
	case Refused:
		return 0, nil, code.TableUnavailable.New("commit refused")
	case Late:
		st.late = append(st.late, tx)
		return 0, nil, code.TableInDoubt.New("commit got no answer")
	case NeverTaken:
		return 0, nil, code.TableRefused.New("commit refused for its content")
	default:
	}
	if err := st.limits.Check(tx); err != nil {
		return 0, nil, err
	}
	if current := st.conflicts(tx); len(current) > 0 {
		if outcome == AnswerLost {
			return 0, nil, code.TableInDoubt.New("commit got no answer")
		}
		return 0, current, code.Conflict.New("precondition failed: a row has another version")
	}
	st.apply(tx)
	if outcome == AnswerLost {
		return 0, nil, code.TableInDoubt.New("commit got no answer")
	}
	return st.version, nil, nil
}

// conflicts returns the current rows of all conditions if one of them fails, and nil otherwise.
func (st *Store) conflicts(tx *rowstore.Tx) []rowstore.Row {
	var current []rowstore.Row
	failed := false
	for _, rw := range tx.Requires() {
		now, ok := st.rows[addressOf(rw)]
		if !ok {
			now = rowstore.NewRow(rw.Table(), rw.Partition(), rw.Key(), nil, 0)
		}
		current = append(current, now)
		failed = failed || now.Version() != rw.Version()
	}
	if !failed {
		return nil
	}
	return current
}

func addressOf(rw rowstore.Row) rowAddress { return rowAddress{rw.Table(), rw.Partition(), rw.Key()} }

func (st *Store) apply(tx *rowstore.Tx) {
	st.version++
	for _, rw := range tx.Puts() {
		now := rowstore.NewRow(rw.Table(), rw.Partition(), rw.Key(), append([]byte{}, rw.Value()...), st.version)
		st.rows[addressOf(rw)] = now
		st.history = append(st.history, now)
	}
	for _, rw := range tx.Removes() {
		delete(st.rows, addressOf(rw))
		st.history = append(st.history, rowstore.NewTombstone(rw.Table(), rw.Partition(), rw.Key(), st.version))
	}
	st.notify()
}

// notify wakes the feed calls that wait for changes.
func (st *Store) notify() {
	close(st.changed)
	st.changed = make(chan struct{})
}

func (st *Store) feed(ctx context.Context, table string, after, waitMS int64) (rowstore.Page, error) {
	waited, cancel := st.ck.WithTimeout(ctx, waitMS)
	defer cancel()
	for {
		if st.blockIfUnresponsive(ctx) {
			return rowstore.Page{}, code.TableUnavailable.Wrap(ctx.Err())
		}
		pg, changed, err := st.changesAfter(table, after)
		if err != nil || len(pg.Rows()) > 0 {
			return pg, err
		}
		select {
		case <-changed:
		case <-waited.Done():
			if st.blockIfUnresponsive(ctx) {
				return rowstore.Page{}, code.TableUnavailable.Wrap(ctx.Err())
			}
			return pg, nil
		}
	}
}

// changesAfter returns the changes of a table after a version, and a channel that is closed at the next notification.
func (st *Store) changesAfter(table string, after int64) (rowstore.Page, chan struct{}, error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.down {
		return rowstore.Page{}, nil, code.TableUnavailable.New("store is down")
	}
	if after < st.droppedUpTo {
		return rowstore.Page{}, nil, code.HistoryLost.New("dropped")
	}
	var list []rowstore.Row
	for _, rw := range st.history {
		if rw.Version() > after && rw.Table() == table {
			list = append(list, rw)
		}
	}
	return rowstore.NewPage(list, false, st.version), st.changed, nil
}

// Keys returns the keys of a table in all partitions, sorted and separated by spaces.
func (st *Store) Keys(table string) string {
	st.mu.Lock()
	defer st.mu.Unlock()
	var list []string
	for at := range st.rows {
		if at.table == table {
			list = append(list, at.key)
		}
	}
	sort.Strings(list)
	return strings.Join(list, " ")
}
