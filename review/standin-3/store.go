package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store, or its removal.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"row_version"`
	Deleted bool   `json:"tombstone,omitempty"`
}

type rowKey struct{ table, part, key string }

func (rw row) id() rowKey { return rowKey{rw.Table, rw.Part, rw.Key} }

// transaction is the body of a write call.
type transaction struct {
	Conditions []row `json:"precondition"`
	Puts       []row `json:"put"`
	Removes    []row `json:"remove"`
}

// store is the platform's store in its table form.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	history []row
	version int64
	changed chan struct{}
	began   time.Time
}

const (
	// readMS is how long the store takes for an answer, txMS for a transaction.
	readMS = 4
	txMS   = 8
	// maxPageRows is the number of rows that one answer holds at most.
	maxPageRows = 500
)

func newStore() *store {
	return &store{rows: map[rowKey]row{}, changed: make(chan struct{}), began: time.Now()}
}

// put writes a row of the operator or of a minion; a nil value removes it.
func (st *store) put(table, key string, value any) {
	st.mu.Lock()
	defer st.mu.Unlock()
	rw := row{Table: table, Key: key}
	if value == nil {
		st.apply(transaction{Removes: []row{rw}})
		return
	}
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	rw.Value = raw
	st.apply(transaction{Puts: []row{rw}})
}

// apply applies a transaction; the caller holds the lock.
func (st *store) apply(tx transaction) {
	st.version++
	for _, rw := range tx.Puts {
		rw.Version, rw.Deleted = st.version, false
		st.rows[rw.id()] = rw
		st.history = append(st.history, rw)
	}
	for _, rw := range tx.Removes {
		delete(st.rows, rw.id())
		st.history = append(st.history, row{Table: rw.Table, Part: rw.Part, Key: rw.Key, Version: st.version, Deleted: true})
	}
	close(st.changed)
	st.changed = make(chan struct{})
}

// commit applies a transaction if its conditions hold; otherwise it returns the rows that they name.
func (st *store) commit(tx transaction) (int64, []row, bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	holds := true
	current := []row{}
	for _, cond := range tx.Conditions {
		now, ok := st.rows[cond.id()]
		if !ok {
			now = row{Table: cond.Table, Part: cond.Part, Key: cond.Key}
		}
		holds = holds && now.Version == cond.Version
		current = append(current, now)
	}
	if !holds {
		return st.version, current, false
	}
	st.apply(tx)
	return st.version, nil, true
}

// gate decides what becomes of a call before the store handles it; it reports whether the call goes on.
type gate func(wr http.ResponseWriter, rq *http.Request) bool

// handler serves the store's calls behind a gate.
func (st *store) handler(ga gate) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", st.serveTx)
	mux.HandleFunc("GET /rows-get", st.serveGet)
	mux.HandleFunc("GET /rows-parts", st.serveParts)
	mux.HandleFunc("GET /rows-feed", st.serveFeed)
	return http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		if ga == nil || ga(wr, rq) {
			mux.ServeHTTP(wr, rq)
		}
	})
}

func (st *store) serveTx(wr http.ResponseWriter, rq *http.Request) {
	var tx transaction
	if json.NewDecoder(rq.Body).Decode(&tx) != nil {
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(txMS * time.Millisecond)
	version, current, ok := st.commit(tx)
	status := http.StatusOK
	if !ok {
		status = http.StatusPreconditionFailed
	}
	st.answer(wr, status, map[string]any{"rows": current, "row_version": version})
}

func (st *store) answer(wr http.ResponseWriter, status int, body map[string]any) {
	body["now_ms"] = time.Since(st.began).Milliseconds()
	writeJSON(wr, status, body)
}

func (st *store) serveGet(wr http.ResponseWriter, rq *http.Request) {
	time.Sleep(readMS * time.Millisecond)
	query := rq.URL.Query()
	limit := maxPageRows
	if val, err := strconv.Atoi(query.Get("limit")); err == nil {
		limit = min(limit, val)
	}
	st.mu.Lock()
	list := []row{}
	for at, rw := range st.rows {
		if at.table == query.Get("table") && at.part == query.Get("part") && at.key >= query.Get("from") && (query.Get("target") == "" || at.key < query.Get("target")) {
			list = append(list, rw)
		}
	}
	version := st.version
	st.mu.Unlock()
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	more := len(list) > limit
	st.answer(wr, http.StatusOK, map[string]any{"rows": list[:min(limit, len(list))], "has_more": more, "row_version": version})
}

func (st *store) serveParts(wr http.ResponseWriter, rq *http.Request) {
	time.Sleep(readMS * time.Millisecond)
	st.mu.Lock()
	seen := map[string]bool{}
	parts := []string{}
	for at := range st.rows {
		if at.table == rq.URL.Query().Get("table") && !seen[at.part] && at.part > rq.URL.Query().Get("after") {
			seen[at.part] = true
			parts = append(parts, at.part)
		}
	}
	version := st.version
	st.mu.Unlock()
	slices.Sort(parts)
	st.answer(wr, http.StatusOK, map[string]any{"parts": parts, "has_more": false, "row_version": version})
}

func (st *store) serveFeed(wr http.ResponseWriter, rq *http.Request) {
	time.Sleep(readMS * time.Millisecond)
	query := rq.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	waitMS, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	deadline := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		list, version, changed := st.changes(query.Get("table"), after)
		if len(list) > 0 {
			st.answer(wr, http.StatusOK, map[string]any{"rows": list, "row_version": version})
			return
		}
		select {
		case <-changed:
		case <-rq.Context().Done():
			return
		case <-deadline:
			st.answer(wr, http.StatusOK, map[string]any{"rows": list, "row_version": version})
			return
		}
	}
}

// changes returns the changes of a table after a version.
func (st *store) changes(table string, after int64) ([]row, int64, chan struct{}) {
	st.mu.Lock()
	defer st.mu.Unlock()
	list := []row{}
	at := sort.Search(len(st.history), func(i int) bool { return st.history[i].Version > after })
	for _, rw := range st.history[at:] {
		if rw.Table == table {
			list = append(list, rw)
		}
	}
	return list, st.version, st.changed
}

func writeJSON(wr http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	wr.Header().Set("Content-Type", "application/json")
	wr.WriteHeader(status)
	_, _ = wr.Write(raw)
}
