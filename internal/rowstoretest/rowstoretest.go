package rowstoretest

import (
	"context"
	"sort"
	"strings"
	"sync"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/rowstore"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Outcome is what becomes of one commit.
type Outcome int

// Fates of commits.
const (
	// Served commits are applied and answered.
	Served Outcome = iota
	// Refused commits are certainly not applied.
	Refused
	// AnswerLost commits are applied, but their answer doesn't arrive.
	AnswerLost
	// Late commits get no answer and are applied by ApplyLate, if their conditions still hold.
	Late
)

// Store keeps rows in memory; it is safe for concurrent use.
type Store struct {
	ck *clock.Clock

	mu      sync.Mutex
	rows    map[address]rowstore.Row
	log     []rowstore.Row
	dropped int64
	version int64
	late    []*rowstore.Tx
	changed chan struct{}
	fate    func(*rowstore.Tx) Outcome
	down    bool
	silent  bool
	// latencyMS is how long a commit takes; it is applied even if its caller gives up meanwhile.
	latencyMS int64
}

type address struct{ table, part, key string }

// New returns an empty store.
func New(ck *clock.Clock) *Store {
	return &Store{ck: ck, rows: map[address]rowstore.Row{}, changed: make(chan struct{}), fate: func(*rowstore.Tx) Outcome { return Served }}
}

// Rowstore returns the calls of the store.
func (st *Store) Rowstore() *rowstore.Store {
	return &rowstore.Store{Read: st.read, Partitions: st.parts, Commit: st.commit, Feed: st.feed}
}

// SetCommitOutcome sets what becomes of commits from now on.
func (st *Store) SetCommitOutcome(fate func(*rowstore.Tx) Outcome) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.fate = fate
}

// SetDown makes all calls fail, or serves them again.
func (st *Store) SetDown(down bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.down = down
}

// SetUnresponsive keeps all answers back, also those of calls under way, until calls are answered again.
func (st *Store) SetUnresponsive(silent bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.silent = silent
	st.notify()
}

// unanswered waits for the caller to give up if the store is silent.
func (st *Store) unanswered(ctx context.Context) bool {
	st.mu.Lock()
	silent := st.silent
	st.mu.Unlock()
	if silent {
		<-ctx.Done()
	}
	return silent
}

// SetLatency sets how long commits take.
func (st *Store) SetLatency(ms int64) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.latencyMS = ms
}

// wait lets a commit take its time, or less if its caller gives up.
func (st *Store) wait(ctx context.Context) {
	st.mu.Lock()
	latencyMS := st.latencyMS
	st.mu.Unlock()
	if latencyMS > 0 {
		_ = st.ck.Sleep(ctx, latencyMS)
	}
}

// DropHistory forgets the changes up to now.
func (st *Store) DropHistory() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.dropped = st.version
	st.log = nil
	st.notify()
}

// ApplyLate applies the late commits whose conditions still hold and returns how many did.
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

func (st *Store) read(ctx context.Context, table, part, from, to string) (rowstore.Page, error) {
	if st.unanswered(ctx) {
		return rowstore.Page{}, code.TableUnavailable.Wrap(ctx.Err())
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.down {
		return rowstore.Page{}, code.TableUnavailable.New("down")
	}
	var list []rowstore.Row
	for at, rw := range st.rows {
		if at.table == table && at.part == part && at.key >= from && (to == "" || at.key < to) {
			list = append(list, rw)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key() < list[j].Key() })
	return rowstore.NewPage(list, false, st.version), nil
}

func (st *Store) parts(ctx context.Context, table string) ([]string, error) {
	if st.unanswered(ctx) {
		return nil, code.TableUnavailable.Wrap(ctx.Err())
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.down {
		return nil, code.TableUnavailable.New("down")
	}
	seen := map[string]bool{}
	var list []string
	for at := range st.rows {
		if at.table == table && !seen[at.part] {
			seen[at.part] = true
			list = append(list, at.part)
		}
	}
	sort.Strings(list)
	return list, nil
}

func (st *Store) commit(ctx context.Context, tx *rowstore.Tx) (int64, []rowstore.Row, error) {
	if st.unanswered(ctx) {
		return 0, nil, code.TableInDoubt.Wrap(ctx.Err())
	}
	st.wait(ctx)
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
		return 0, nil, code.TableUnavailable.New("down")
	}
	fate := st.fate(tx)
	switch fate {
	case Refused:
		return 0, nil, code.TableUnavailable.New("refused")
	case Late:
		st.late = append(st.late, tx)
		return 0, nil, code.TableInDoubt.New("no answer")
	default:
	}
	if current := st.conflicts(tx); len(current) > 0 {
		if fate == AnswerLost {
			return 0, nil, code.TableInDoubt.New("no answer")
		}
		return 0, current, code.Conflict.New("a row has another version")
	}
	st.apply(tx)
	if fate == AnswerLost {
		return 0, nil, code.TableInDoubt.New("no answer")
	}
	return st.version, nil, nil
}

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

func addressOf(rw rowstore.Row) address { return address{rw.Table(), rw.Partition(), rw.Key()} }

func (st *Store) apply(tx *rowstore.Tx) {
	st.version++
	for _, rw := range tx.Puts() {
		now := rowstore.NewRow(rw.Table(), rw.Partition(), rw.Key(), append([]byte{}, rw.Value()...), st.version)
		st.rows[addressOf(rw)] = now
		st.log = append(st.log, now)
	}
	for _, rw := range tx.Removes() {
		delete(st.rows, addressOf(rw))
		st.log = append(st.log, rowstore.NewTombstone(rw.Table(), rw.Partition(), rw.Key(), st.version))
	}
	st.notify()
}

func (st *Store) notify() {
	close(st.changed)
	st.changed = make(chan struct{})
}

func (st *Store) feed(ctx context.Context, table string, after, waitMS int64) (rowstore.Page, error) {
	waited, cancel := st.ck.WithTimeout(ctx, waitMS)
	defer cancel()
	for {
		if st.unanswered(ctx) {
			return rowstore.Page{}, code.TableUnavailable.Wrap(ctx.Err())
		}
		pg, changed, err := st.news(table, after)
		if err != nil || len(pg.Rows()) > 0 {
			return pg, err
		}
		select {
		case <-changed:
		case <-waited.Done():
			if st.unanswered(ctx) {
				return rowstore.Page{}, code.TableUnavailable.Wrap(ctx.Err())
			}
			return pg, nil
		}
	}
}

func (st *Store) news(table string, after int64) (rowstore.Page, chan struct{}, error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.down {
		return rowstore.Page{}, nil, code.TableUnavailable.New("down")
	}
	if after < st.dropped {
		return rowstore.Page{}, nil, code.HistoryLost.New("dropped")
	}
	var list []rowstore.Row
	for _, rw := range st.log {
		if rw.Version() > after && rw.Table() == table {
			list = append(list, rw)
		}
	}
	return rowstore.NewPage(list, false, st.version), st.changed, nil
}

// Keys returns the keys of a table over all partitions, for checks.
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
