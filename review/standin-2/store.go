package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the store as the platform's pages spell it.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Version   int64  `json:"row_version"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type rowID struct{ table, part, key string }

func (rw row) id() rowID { return rowID{rw.Table, rw.Part, rw.Key} }

type transaction struct {
	Precondition []row `json:"precondition"`
	Put          []row `json:"put"`
	Remove       []row `json:"remove"`
}

// Limits and times of the store, as in the pages' settings.
const (
	maxRows  = 500
	maxBytes = 1_000_000
	callTime = 4 * time.Millisecond
	txTime   = 8 * time.Millisecond
)

// store is the platform's metadata store: linearizable, with a change history that it keeps whole.
type store struct {
	mu      sync.Mutex
	start   time.Time
	rows    map[rowID]row
	history []row
	version int64
	changed chan struct{}
}

func newStore() *store {
	return &store{start: time.Now(), rows: map[rowID]row{}, changed: make(chan struct{})}
}

func (st *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", st.handleTx)
	mux.HandleFunc("GET /rows-get", st.handleGet)
	mux.HandleFunc("GET /rows-parts", st.handleParts)
	mux.HandleFunc("GET /rows-feed", st.handleFeed)
	return mux
}

// answer writes a response with the store's version and clock; the caller holds the lock.
func (st *store) answer(wr http.ResponseWriter, status int, fields map[string]any) {
	fields["row_version"] = st.version
	fields["now_ms"] = time.Since(st.start).Milliseconds()
	writeJSON(wr, status, fields)
}

func writeJSON(wr http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	wr.Header().Set("Content-Type", "application/json")
	wr.WriteHeader(status)
	_, _ = wr.Write(raw)
}

func (st *store) handleTx(wr http.ResponseWriter, rq *http.Request) {
	var tx transaction
	if err := json.NewDecoder(rq.Body).Decode(&tx); err != nil {
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, rw := range slices.Concat(tx.Put, tx.Remove) {
		if rw.Table == "op" || rw.Table == "servers" {
			wr.WriteHeader(http.StatusForbidden)
			return
		}
	}
	time.Sleep(callTime + txTime)
	st.mu.Lock()
	defer st.mu.Unlock()
	current := []row{}
	failed := false
	for _, rw := range tx.Precondition {
		now, ok := st.rows[rw.id()]
		if ok {
			current = append(current, now)
		}
		failed = failed || now.Version != rw.Version
	}
	if failed {
		st.answer(wr, http.StatusPreconditionFailed, map[string]any{"rows": current})
		return
	}
	st.apply(tx)
	st.answer(wr, http.StatusOK, map[string]any{})
}

// apply carries out a transaction; the caller holds the lock.
func (st *store) apply(tx transaction) {
	st.version++
	for _, rw := range tx.Put {
		rw.Version = st.version
		st.rows[rw.id()] = rw
		st.history = append(st.history, rw)
	}
	for _, rw := range tx.Remove {
		if _, ok := st.rows[rw.id()]; !ok {
			continue
		}
		delete(st.rows, rw.id())
		st.history = append(st.history, row{Table: rw.Table, Part: rw.Part, Key: rw.Key, Version: st.version, Tombstone: true})
	}
	close(st.changed)
	st.changed = make(chan struct{})
}

// put writes a row of the operators or of a minion.
func (st *store) put(table, key string, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.apply(transaction{Put: []row{{Table: table, Key: key, Value: raw}}})
}

func (st *store) remove(table, key string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.apply(transaction{Remove: []row{{Table: table, Key: key}}})
}

// page cuts a list to what one response may hold.
func page(list []row) (cut []row, more bool) {
	bytes := 0
	for at, rw := range list {
		bytes += len(rw.Value)*4/3 + 100
		if at == maxRows || bytes > maxBytes {
			return list[:at], true
		}
	}
	return list, false
}

func (st *store) handleGet(wr http.ResponseWriter, rq *http.Request) {
	time.Sleep(callTime)
	qu := rq.URL.Query()
	st.mu.Lock()
	defer st.mu.Unlock()
	list := []row{}
	for id, rw := range st.rows {
		if id.table == qu.Get("table") && id.part == qu.Get("part") && id.key >= qu.Get("from") && (qu.Get("target") == "" || id.key < qu.Get("target")) {
			list = append(list, rw)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	limit, err := strconv.Atoi(qu.Get("limit"))
	limited := err == nil && limit > 0 && len(list) > limit
	if limited {
		list = list[:limit]
	}
	list, more := page(list)
	st.answer(wr, http.StatusOK, map[string]any{"rows": list, "has_more": more || limited})
}

func (st *store) handleParts(wr http.ResponseWriter, rq *http.Request) {
	time.Sleep(callTime)
	st.mu.Lock()
	defer st.mu.Unlock()
	parts := []string{}
	for id := range st.rows {
		if id.table == rq.URL.Query().Get("table") && strings.Compare(id.part, rq.URL.Query().Get("after")) > 0 && !slices.Contains(parts, id.part) {
			parts = append(parts, id.part)
		}
	}
	slices.Sort(parts)
	st.answer(wr, http.StatusOK, map[string]any{"parts": parts, "has_more": false})
}

func (st *store) handleFeed(wr http.ResponseWriter, rq *http.Request) {
	time.Sleep(callTime)
	qu := rq.URL.Query()
	after, _ := strconv.ParseInt(qu.Get("after"), 10, 64)
	waitMS, _ := strconv.ParseInt(qu.Get("wait_ms"), 10, 64)
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		st.mu.Lock()
		list := st.changes(qu.Get("table"), after)
		changed := st.changed
		if len(list) > 0 || waitMS == 0 {
			list, more := page(list)
			st.answer(wr, http.StatusOK, map[string]any{"rows": list, "has_more": more})
			st.mu.Unlock()
			return
		}
		st.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waitMS = 0
		case <-rq.Context().Done():
			return
		}
	}
}

// changes returns what changed in a table after a version, oldest first; the caller holds the lock.
func (st *store) changes(table string, after int64) []row {
	at := sort.Search(len(st.history), func(at int) bool { return st.history[at].Version > after })
	list := []row{}
	for _, rw := range st.history[at:] {
		if rw.Table == table {
			list = append(list, rw)
		}
	}
	return list
}
