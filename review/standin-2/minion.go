package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// minion is one machine's minion, as the pages describe it. It keeps its id, its address and its machine over crashes.
type minion struct {
	id, machine, rack, service string
	cpu, memory                int64
	maxHoldMS                  int64
	rec                        *record
	st                         *store
	// work says how long a task takes and how it ends; no end stands for a task that lasts.
	work func(task string) (time.Duration, string)
	// late returns how much later an order without an answer is carried out, or 0 for one that is answered at once.
	late func(path string, od order) time.Duration

	address string
	// cut is set while the minion is partitioned from the system's machines, but not from the store.
	cut atomic.Bool

	mu       sync.Mutex
	up       bool
	server   *http.Server
	born     time.Time
	token    int64
	deadline int64
	running  map[string]*run
	highest  map[string]int64
	ended    []end
	ends     int64
	ended1   chan struct{}
	life     int
	sequence int64
}

type run struct {
	task     string
	number   int64
	began    time.Time
	takes    time.Duration
	how      string
	stopping bool
}

type end struct {
	number int64
	task   string
	run    int64
	how    string
}

type order struct {
	Task     string `json:"task"`
	Run      int64  `json:"run_id"`
	Deadline int64  `json:"deadline_ms"`
	Token    int64  `json:"fencing_token"`
	LastSeen int64  `json:"last_seen"`
	WaitMS   int64  `json:"wait_ms"`
	Percent  int64  `json:"percent"`
}

const (
	heartbeat = 1500 * time.Millisecond
	stopTime  = 100 * time.Millisecond
	tick      = 5 * time.Millisecond
	maxWaitMS = 2000
	maxEnds   = 500
)

// begin starts a new life of the minion.
func (mn *minion) begin() error {
	ln, err := net.Listen("tcp", mn.address)
	for try := 0; err != nil && try < 100; try++ {
		time.Sleep(20 * time.Millisecond)
		ln, err = net.Listen("tcp", mn.address)
	}
	if err != nil {
		return err
	}
	mn.mu.Lock()
	defer mn.mu.Unlock()
	mn.up, mn.born, mn.life = true, time.Now(), mn.life+1
	mn.token, mn.deadline, mn.ends, mn.sequence = 0, 0, 0, 0
	mn.running, mn.highest, mn.ended, mn.ended1 = map[string]*run{}, map[string]int64{}, nil, make(chan struct{})
	mn.server = &http.Server{Handler: mn.handler()}
	go func(srv *http.Server) { _ = srv.Serve(ln) }(mn.server)
	go mn.live(mn.life)
	mn.rec.log("minion %s begins life %d", mn.id, mn.life)
	return nil
}

// crash ends the minion at once: it sends nothing, and all that ran there is gone. Its registration is removed after three heartbeats unless it is back.
func (mn *minion) crash() {
	mn.mu.Lock()
	var lost []string
	for _, rn := range mn.running {
		mn.rec.lost(mn, rn)
		lost = append(lost, fmt.Sprintf("%s run %d", rn.task, rn.number))
	}
	sort.Strings(lost)
	mn.up, mn.running = false, map[string]*run{}
	srv, life := mn.server, mn.life
	mn.mu.Unlock()
	mn.rec.log("minion %s crashes; lost with it: %s", mn.id, cmp.Or(strings.Join(lost, ", "), "nothing"))
	_ = srv.Close()
	time.AfterFunc(3*heartbeat, func() {
		mn.mu.Lock()
		gone := !mn.up && mn.life == life
		mn.mu.Unlock()
		if gone {
			mn.st.remove("servers", mn.id)
		}
	})
}

// live registers the minion and ends its runs when they are due.
func (mn *minion) live(life int) {
	next := time.Time{}
	for {
		mn.mu.Lock()
		if !mn.up || mn.life != life {
			mn.mu.Unlock()
			return
		}
		mn.advance()
		due := time.Now().After(next)
		var entry map[string]any
		if due {
			next = time.Now().Add(heartbeat)
			mn.sequence++
			entry = mn.entry()
		}
		mn.mu.Unlock()
		if due {
			mn.st.put("servers", mn.id, entry)
		}
		time.Sleep(tick)
	}
}

func (mn *minion) entry() map[string]any {
	return map[string]any{
		"service": mn.service, "address": mn.address, "zone": "zone-a", "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0, "sequence": mn.sequence,
		"born": mn.born.UnixMilli(), "machine": mn.machine, "capacity": map[string]int64{"cpu": mn.cpu, "mem_mb": mn.memory, "gpu": 0}, "labels": []string{"kind-a", mn.rack},
	}
}

// clockMS is the minion's clock, which begins with its life.
func (mn *minion) clockMS() int64 { return time.Since(mn.born).Milliseconds() }

func (mn *minion) advance() {
	for _, rn := range mn.running {
		switch {
		case mn.clockMS() >= mn.deadline:
			mn.finish(rn, "lapsed")
		case !rn.stopping && rn.how != "" && time.Since(rn.began) >= rn.takes:
			mn.finish(rn, rn.how)
		}
	}
}

func (mn *minion) finish(rn *run, how string) {
	mn.ends++
	mn.ended = append(mn.ended, end{mn.ends, rn.task, rn.number, how})
	mn.highest[rn.task] = max(mn.highest[rn.task], rn.number)
	delete(mn.running, rn.task)
	close(mn.ended1)
	mn.ended1 = make(chan struct{})
	mn.rec.ended(mn, rn, how)
}

func (mn *minion) handler() http.Handler {
	mux := http.NewServeMux()
	for _, path := range []string{"/run-start", "/run-stop", "/hold", "/pace"} {
		mux.HandleFunc("POST "+path, func(wr http.ResponseWriter, rq *http.Request) {
			var od order
			if err := json.NewDecoder(rq.Body).Decode(&od); err != nil {
				wr.WriteHeader(http.StatusBadRequest)
				return
			}
			if named := rq.Header.Get("X-Expected-Instance"); named != "" && named != mn.id {
				wr.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			if mn.cut.Load() {
				mn.silent(rq)
			}
			if mn.late != nil {
				if delay := mn.late(path, od); delay > 0 {
					time.AfterFunc(delay, func() { mn.carryOut(path, od, "late ") })
					mn.silent(rq)
				}
			}
			if path == "/hold" {
				mn.hold(wr, rq, od)
				return
			}
			status, reason := mn.carryOut(path, od, "")
			mn.mu.Lock()
			body := map[string]any{"clock_ms": mn.clockMS(), "born": mn.born.UnixMilli()}
			mn.mu.Unlock()
			if reason != "" {
				body["reason"] = reason
			}
			writeJSON(wr, status, body)
		})
	}
	return mux
}

// silent lets a call go unanswered until the caller gives up or the minion crashes.
func (mn *minion) silent(rq *http.Request) {
	<-rq.Context().Done()
	panic(http.ErrAbortHandler)
}

// carryOut executes an order.
func (mn *minion) carryOut(path string, od order, note string) (status int, reason string) {
	mn.mu.Lock()
	defer mn.mu.Unlock()
	if !mn.up {
		return http.StatusServiceUnavailable, ""
	}
	mn.advance()
	if od.Token < mn.token {
		if path != "/hold" {
			mn.rec.log("minion %s refuses %s%s of %s run %d: fence", mn.id, note, path, od.Task, od.Run)
		}
		return http.StatusConflict, "fence"
	}
	mn.token = od.Token
	switch path {
	case "/run-start":
		return mn.start(od, note)
	case "/run-stop":
		mn.highest[od.Task] = max(mn.highest[od.Task], od.Run)
		mn.rec.log("minion %s is told to stop %s run %d", mn.id, od.Task, od.Run)
		if rn, ok := mn.running[od.Task]; ok && rn.number <= od.Run && !rn.stopping {
			rn.stopping = true
			life := mn.life
			time.AfterFunc(stopTime, func() {
				mn.mu.Lock()
				defer mn.mu.Unlock()
				if mn.up && mn.life == life && mn.running[od.Task] == rn {
					mn.finish(rn, "stopped")
				}
			})
		}
	case "/hold":
		mn.extend(od.Deadline)
	}
	return http.StatusOK, ""
}

// extend lengthens the lease of all that runs here, to max_hold_ms at most.
func (mn *minion) extend(deadline int64) {
	mn.deadline = max(mn.deadline, min(deadline, mn.clockMS()+mn.maxHoldMS))
}

func (mn *minion) start(od order, note string) (int, string) {
	if rn, ok := mn.running[od.Task]; ok && rn.number == od.Run {
		return http.StatusOK, ""
	}
	if od.Run <= mn.highest[od.Task] {
		mn.extend(od.Deadline)
		return http.StatusConflict, "old"
	}
	if od.Deadline <= mn.clockMS() {
		return http.StatusConflict, "late"
	}
	mn.extend(od.Deadline)
	takes, how := mn.work(od.Task)
	rn := &run{task: od.Task, number: od.Run, began: time.Now(), takes: takes, how: how}
	mn.running[od.Task] = rn
	mn.rec.started(mn, rn, note)
	return http.StatusOK, ""
}

// hold answers a look with both lists, after wait_ms or as soon as a run has ended.
func (mn *minion) hold(wr http.ResponseWriter, rq *http.Request, od order) {
	if status, reason := mn.carryOut("/hold", od, ""); status != http.StatusOK {
		mn.mu.Lock()
		body := map[string]any{"clock_ms": mn.clockMS(), "born": mn.born.UnixMilli(), "reason": reason}
		mn.mu.Unlock()
		writeJSON(wr, status, body)
		return
	}
	mn.mu.Lock()
	kept := mn.ended[:0]
	for _, en := range mn.ended {
		if en.number > od.LastSeen {
			kept = append(kept, en)
		} else {
			mn.rec.noted(mn, en)
		}
	}
	mn.ended = kept
	changed, wait := mn.ended1, min(od.WaitMS, maxWaitMS)
	if len(mn.ended) > 0 {
		wait = 0
	}
	mn.mu.Unlock()
	if wait > 0 {
		select {
		case <-changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-rq.Context().Done():
			return
		}
	}
	mn.mu.Lock()
	defer mn.mu.Unlock()
	if !mn.up {
		panic(http.ErrAbortHandler)
	}
	mn.advance()
	running, finished := [][]any{}, [][]any{}
	for _, rn := range mn.running {
		percent := int64(100)
		if rn.how != "" && rn.takes > 0 {
			percent = min(int64(time.Since(rn.began)*100/rn.takes), 99)
		}
		running = append(running, []any{rn.task, rn.number, "", percent, 1000})
	}
	for at, en := range mn.ended {
		if at == maxEnds {
			break
		}
		finished = append(finished, []any{en.number, en.task, en.run, en.how, ""})
	}
	writeJSON(wr, http.StatusOK, map[string]any{"clock_ms": mn.clockMS(), "born": mn.born.UnixMilli(), "running": running, "finished": finished})
}
