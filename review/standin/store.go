//go:build review

package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits and times of the store, as in the settings of a small deployment.
const (
	maxEntries     = 100
	maxCallBytes   = 1_000_000
	maxRowBytes    = 65_536
	maxTextBytes   = 200
	maxPageRows    = 500
	maxPageBytes   = 1_000_000
	answerTime     = 4 * time.Millisecond
	txTime         = 8 * time.Millisecond
	partTxPerS     = 150
	maxPartBacklog = time.Second
	maxFeedWaitMS  = 30_000
	maxPartitions  = 1000
	maxTables      = 100
)

type rowJSON struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Version   int64  `json:"row_version"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type txJSON struct {
	Precondition []rowJSON `json:"precondition"`
	Put          []rowJSON `json:"put"`
	Remove       []rowJSON `json:"remove"`
	CrossShard   bool      `json:"cross_shard"`
}

type rowKey struct{ table, part, key string }

// fate is what becomes of one call to the store.
type fate struct {
	// silent calls get no answer; they are not performed unless late is set.
	silent bool
	// lost transactions are performed at once and get no answer.
	lost bool
	// late transactions are performed after this time if their conditions still hold, and get no answer.
	late time.Duration
	// status, if not 0, is answered without anything being done.
	status int
	// slow multiplies the time of an answer.
	slow int
}

// store simulates the platform's metadata store.
type store struct {
	rc *recorder

	mu       sync.Mutex
	rows     map[rowKey]rowJSON
	history  []rowJSON
	version  int64
	changed  chan struct{}
	partFree map[string]time.Time
	rejected int
	// judge decides the fate of a call by its caller's address, path and transaction; nil serves all.
	judge func(caller, path string, tx *txJSON) fate
	start time.Time
}

func newStore(rc *recorder) *store {
	return &store{rc: rc, rows: map[rowKey]rowJSON{}, changed: make(chan struct{}), partFree: map[string]time.Time{}, start: time.Now()}
}

// setJudge sets the function that decides the fate of calls; nil serves all.
func (st *store) setJudge(judge func(caller, path string, tx *txJSON) fate) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.judge = judge
}

func (st *store) fateOf(rq *http.Request, tx *txJSON) fate {
	st.mu.Lock()
	judge := st.judge
	st.mu.Unlock()
	if judge == nil {
		return fate{}
	}
	host, _, _ := net.SplitHostPort(rq.RemoteAddr)
	return judge(host, rq.URL.Path, tx)
}

func (st *store) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	switch rq.URL.Path {
	case "/rows-get":
		st.serveGet(wr, rq)
	case "/rows-parts":
		st.serveParts(wr, rq)
	case "/rows-feed":
		st.serveFeed(wr, rq)
	case "/rows-tx":
		st.serveTx(wr, rq)
	default:
		wr.WriteHeader(http.StatusNotFound)
	}
}

// applyFate carries out what the fate of a call says before its answer, and reports whether the call goes on.
func applyFate(wr http.ResponseWriter, rq *http.Request, ft fate) bool {
	switch {
	case ft.silent:
		<-rq.Context().Done()
		panic(http.ErrAbortHandler)
	case ft.status != 0:
		time.Sleep(answerTime)
		wr.WriteHeader(ft.status)
		return false
	}
	time.Sleep(answerTime * time.Duration(max(ft.slow, 1)))
	return true
}

func (st *store) answer(wr http.ResponseWriter, status int, fields map[string]any) {
	st.mu.Lock()
	fields["row_version"] = st.version
	st.mu.Unlock()
	fields["now_ms"] = time.Since(st.start).Milliseconds()
	raw, _ := json.Marshal(fields)
	wr.Header().Set("Content-Type", "application/json")
	wr.WriteHeader(status)
	_, _ = wr.Write(raw)
}

func (st *store) serveGet(wr http.ResponseWriter, rq *http.Request) {
	if !applyFate(wr, rq, st.fateOf(rq, nil)) {
		return
	}
	query := rq.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	st.mu.Lock()
	var list []rowJSON
	for at, rw := range st.rows {
		if at.table == query.Get("table") && at.part == query.Get("part") && at.key >= query.Get("from") && (query.Get("target") == "" || at.key < query.Get("target")) {
			list = append(list, rw)
		}
	}
	version := st.version
	st.mu.Unlock()
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	page, bytes := []rowJSON{}, 0
	for _, rw := range list {
		bytes += len(rw.Value)*4/3 + 100
		if len(page) == limit || (bytes > maxPageBytes && len(page) > 0) {
			break
		}
		page = append(page, rw)
	}
	raw, _ := json.Marshal(map[string]any{"rows": page, "has_more": len(page) < len(list), "row_version": version, "now_ms": time.Since(st.start).Milliseconds()})
	wr.Header().Set("Content-Type", "application/json")
	_, _ = wr.Write(raw)
}

func (st *store) serveParts(wr http.ResponseWriter, rq *http.Request) {
	if !applyFate(wr, rq, st.fateOf(rq, nil)) {
		return
	}
	query := rq.URL.Query()
	seen := map[string]bool{}
	parts := []string{}
	st.mu.Lock()
	for at := range st.rows {
		if at.table == query.Get("table") && at.part > query.Get("after") && !seen[at.part] {
			seen[at.part] = true
			parts = append(parts, at.part)
		}
	}
	st.mu.Unlock()
	sort.Strings(parts)
	more := len(parts) > maxPartitions
	st.answer(wr, http.StatusOK, map[string]any{"parts": parts[:min(len(parts), maxPartitions)], "has_more": more})
}

func (st *store) serveFeed(wr http.ResponseWriter, rq *http.Request) {
	ft := st.fateOf(rq, nil)
	if !applyFate(wr, rq, ft) {
		return
	}
	query := rq.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	waitMS, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	timeout := time.After(time.Duration(min(waitMS, maxFeedWaitMS)) * time.Millisecond)
	for {
		st.mu.Lock()
		changed, version := st.changed, st.version
		list := []rowJSON{}
		from := sort.Search(len(st.history), func(i int) bool { return st.history[i].Version > after })
		for _, rw := range st.history[from:] {
			if rw.Table == query.Get("table") {
				list = append(list, rw)
			}
		}
		st.mu.Unlock()
		write := func() {
			raw, _ := json.Marshal(map[string]any{"rows": list, "row_version": version, "now_ms": time.Since(st.start).Milliseconds()})
			wr.Header().Set("Content-Type", "application/json")
			_, _ = wr.Write(raw)
		}
		if len(list) > 0 {
			write()
			return
		}
		select {
		case <-changed:
		case <-timeout:
			write()
			return
		case <-rq.Context().Done():
			return
		}
	}
}

// invalid returns why a transaction is not accepted, or an empty text.
func (tx *txJSON) invalid(bytes int) string {
	all := append(append(append([]rowJSON{}, tx.Precondition...), tx.Put...), tx.Remove...)
	if len(all) > maxEntries {
		return strconv.Itoa(len(all)) + " entries"
	}
	if bytes > maxCallBytes {
		return strconv.Itoa(bytes) + " bytes"
	}
	for _, rw := range all {
		if len(rw.Table) > maxTextBytes || len(rw.Part) > maxTextBytes || len(rw.Key) > maxTextBytes {
			return "text too long"
		}
		if rw.Part != all[0].Part && !tx.CrossShard {
			return "several parts"
		}
	}
	for _, rw := range tx.Put {
		if len(rw.Value) > maxRowBytes {
			return "row " + rw.Table + "/" + rw.Key + " of " + strconv.Itoa(len(rw.Value)) + " bytes"
		}
	}
	return ""
}

func (tx *txJSON) part() string {
	for _, list := range [][]rowJSON{tx.Precondition, tx.Put, tx.Remove} {
		if len(list) > 0 {
			return list[0].Part
		}
	}
	return ""
}

func (tx *txJSON) forbidden() bool {
	for _, list := range [][]rowJSON{tx.Put, tx.Remove} {
		for _, rw := range list {
			if rw.Table == "op" || rw.Table == "servers" {
				return true
			}
		}
	}
	return false
}

func (st *store) serveTx(wr http.ResponseWriter, rq *http.Request) {
	raw, err := io.ReadAll(rq.Body)
	if err != nil {
		return
	}
	tx := &txJSON{}
	if err := json.Unmarshal(raw, tx); err != nil {
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	ft := st.fateOf(rq, tx)
	if ft.late > 0 {
		time.AfterFunc(ft.late, func() {
			current := st.commit(tx)
			st.rc.line("store: a late transaction was performed, conflict=%v: %s", current != nil, tx.summary())
		})
		<-rq.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if !ft.lost && !applyFate(wr, rq, ft) {
		return
	}
	if tx.forbidden() {
		st.answer(wr, http.StatusForbidden, map[string]any{})
		return
	}
	if why := tx.invalid(len(raw)); why != "" {
		st.mu.Lock()
		st.rejected++
		rejected := st.rejected
		st.mu.Unlock()
		if rejected <= 20 || rejected%100 == 0 {
			st.rc.line("store: refuses transaction no. %d beyond its limits: %s", rejected, why)
		}
		st.answer(wr, http.StatusBadRequest, map[string]any{"error": why})
		return
	}
	if !st.waitForPart(tx.part(), max(ft.slow, 1)) {
		st.answer(wr, http.StatusTooManyRequests, map[string]any{})
		return
	}
	current := st.commit(tx)
	if ft.lost {
		<-rq.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if current != nil {
		st.answer(wr, http.StatusPreconditionFailed, map[string]any{"rows": current})
		return
	}
	st.answer(wr, http.StatusOK, map[string]any{})
}

func (tx *txJSON) summary() string {
	text := ""
	for _, rw := range tx.Put {
		text += " " + rw.Table + "/" + rw.Key
	}
	return "put" + text
}

// waitForPart waits for a transaction's turn on its part, and reports whether it gets one.
func (st *store) waitForPart(part string, slow int) bool {
	st.mu.Lock()
	now := time.Now()
	free := st.partFree[part]
	if free.Before(now) {
		free = now
	}
	if free.Sub(now) > maxPartBacklog {
		st.mu.Unlock()
		return false
	}
	st.partFree[part] = free.Add(time.Second / partTxPerS)
	st.mu.Unlock()
	time.Sleep(free.Sub(now) + txTime*time.Duration(slow))
	return true
}

// commit performs a transaction and returns nil, or the current rows of its conditions if one doesn't hold.
func (st *store) commit(tx *txJSON) []rowJSON {
	st.mu.Lock()
	defer st.mu.Unlock()
	current := []rowJSON{}
	failed := false
	for _, rw := range tx.Precondition {
		now, ok := st.rows[rowKey{rw.Table, rw.Part, rw.Key}]
		if !ok {
			now = rowJSON{Table: rw.Table, Part: rw.Part, Key: rw.Key}
		}
		current = append(current, now)
		failed = failed || now.Version != rw.Version
	}
	if failed {
		return current
	}
	st.version++
	for _, rw := range tx.Put {
		rw.Version = st.version
		st.rows[rowKey{rw.Table, rw.Part, rw.Key}] = rw
		st.history = append(st.history, rw)
	}
	for _, rw := range tx.Remove {
		if _, ok := st.rows[rowKey{rw.Table, rw.Part, rw.Key}]; !ok {
			continue
		}
		delete(st.rows, rowKey{rw.Table, rw.Part, rw.Key})
		st.history = append(st.history, rowJSON{Table: rw.Table, Part: rw.Part, Key: rw.Key, Version: st.version, Tombstone: true})
	}
	close(st.changed)
	st.changed = make(chan struct{})
	return nil
}

// put writes a row on behalf of an operator or a machine.
func (st *store) put(table, key string, value any) {
	raw, _ := json.Marshal(value)
	st.commit(&txJSON{Put: []rowJSON{{Table: table, Key: key, Value: raw}}})
}

// drop removes a row on behalf of an operator or a machine.
func (st *store) drop(table, key string) {
	st.commit(&txJSON{Remove: []rowJSON{{Table: table, Key: key}}})
}

// get returns the value of a row, nil if there is none.
func (st *store) get(table, part, key string) []byte {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.rows[rowKey{table, part, key}].Value
}
