package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"
)

// minion is one worker machine of the platform with the minion that it hosts. Its fields belong to the fleet's lock.
type minion struct {
	fl      *fleet
	id      string
	machine string
	rack    string
	zone    string
	service string
	address string
	cpu     int64
	memory  int64
	server  *http.Server

	up       bool
	draining bool
	// mute is set while calls get no answer and aren't executed: the path to the minion is cut.
	mute bool
	// lateShare is the share of start and stop orders that get no answer and are carried out late.
	lateShare float64
	// interferenceMS is by how much runs that fill lengthen the tail of those that serve, at full pace.
	interferenceMS int64
	born           int64
	startedAt      time.Time
	token          int64
	leaseMS        int64
	// lapsedAt is when the minion's lease was seen to have lapsed last.
	lapsedAt time.Time
	runs     map[runKey]*run
	highest  map[string]int64
	ends     []end
	lastEnd  int64
	acked    int64
	changed  chan struct{}
}

type runKey struct {
	task string
	run  int64
}

// run is one execution of a task on a minion.
type run struct {
	runKey
	host    *minion
	started time.Time
	workMS  int64
	fails   bool
	lasting bool
	gang    *gang
	// st is the run's step, pace the share in percent at which a run that fills works.
	st     *step
	pace   int64
	stopAt time.Time
	seen   *seenRun
}

// end is an ended run as a minion lists it.
type end struct {
	number int64
	runKey
	how  string
	seen *seenRun
}

// gang is the members of one gang's run that are present.
type gang struct {
	count   int
	members map[string]*run
	// wholeAt is when all members were present.
	wholeAt time.Time
}

const (
	stopMS      = 100
	maxHoldMS   = 10_000
	gangMS      = 3000
	maxEnds     = 500
	fullPercent = 100
	lateMinMS   = 2000
	lateMaxMS   = 12_000
)

// orderBody is the body of an order or of a hold.
type orderBody struct {
	Task     string `json:"task"`
	Run      int64  `json:"run_id"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Token    int64  `json:"fencing_token"`
	LastSeen int64  `json:"last_seen"`
	WaitMS   int64  `json:"wait_ms"`
	Percent  int64  `json:"percent"`
	Ticket   string `json:"ticket"`
}

// start makes a minion serve as a new incarnation; the caller holds the lock.
func (mn *minion) start() error {
	ln, err := net.Listen("tcp", mn.address)
	if err != nil {
		return err
	}
	mn.address = ln.Addr().String()
	mn.up, mn.startedAt, mn.born = true, time.Now(), time.Now().UnixMilli()
	mn.token, mn.leaseMS, mn.lastEnd, mn.acked = 0, 0, 0, 0
	mn.runs, mn.highest, mn.ends, mn.changed = map[runKey]*run{}, map[string]int64{}, nil, make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", mn.serveOrder)
	mux.HandleFunc("POST /run-stop", mn.serveOrder)
	mux.HandleFunc("POST /pace", mn.serveOrder)
	mux.HandleFunc("POST /hold", mn.serveHold)
	mn.server = &http.Server{Handler: mux}
	go func() { _ = mn.server.Serve(ln) }()
	return nil
}

// registration returns the minion's entry in the store.
func (mn *minion) registration() map[string]any {
	state := "ready"
	if mn.draining {
		state = "draining"
	}
	return map[string]any{
		"service": mn.service, "address": mn.address, "zone": mn.zone, "version": "v1", "slots": 8, "state": state,
		"cold_remaining_ms": 0, "sequence": 1, "born": mn.born, "machine": mn.machine,
		"capacity": map[string]int64{"cpu": mn.cpu, "mem_mb": mn.memory, "gpu": 0}, "labels": []string{"a", mn.rack},
	}
}

// clock returns the minion's clock in milliseconds.
func (mn *minion) clock() int64 { return max(time.Since(mn.startedAt).Milliseconds(), 1) }

// blocked waits until the caller gives up if the minion's path is cut, and reports whether it was.
func (mn *minion) blocked(rq *http.Request) bool {
	mn.fl.mu.Lock()
	cut := mn.mute || !mn.up
	mn.fl.mu.Unlock()
	if cut {
		<-rq.Context().Done()
	}
	return cut
}

func (mn *minion) serveOrder(wr http.ResponseWriter, rq *http.Request) {
	var od orderBody
	if json.NewDecoder(rq.Body).Decode(&od) != nil {
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	if mn.blocked(rq) {
		return
	}
	if rq.Header.Get("X-Expected-Instance") != mn.id {
		writeJSON(wr, http.StatusMisdirectedRequest, map[string]any{})
		return
	}
	fl := mn.fl
	fl.mu.Lock()
	if fl.onOrder != nil && fl.onOrder(mn, rq.URL.Path, od) {
		fl.mu.Unlock()
		<-rq.Context().Done()
		return
	}
	late := fl.random.Float64() < mn.lateShare
	delay := time.Duration(lateMinMS+fl.random.Int63n(lateMaxMS-lateMinMS)) * time.Millisecond
	fl.mu.Unlock()
	if late {
		fl.note("late %s %s run %d on %s in %d ms", rq.URL.Path, od.Task, od.Run, mn.id, delay.Milliseconds())
		time.AfterFunc(delay, func() {
			fl.mu.Lock()
			defer fl.mu.Unlock()
			if mn.up {
				mn.execute(rq.URL.Path, od)
			}
		})
		<-rq.Context().Done()
		return
	}
	fl.mu.Lock()
	status, reason := mn.execute(rq.URL.Path, od)
	clock := mn.clock()
	fl.mu.Unlock()
	body := map[string]any{"clock_ms": clock}
	if reason != "" {
		body["reason"] = reason
	}
	writeJSON(wr, status, body)
}

// execute carries out an order; the caller holds the lock.
func (mn *minion) execute(path string, od orderBody) (int, string) {
	mn.fl.advance()
	if od.Token < mn.token {
		return http.StatusConflict, "fence"
	}
	mn.token = od.Token
	key := runKey{od.Task, od.Run}
	switch path {
	case "/run-start":
		return mn.startRun(key, od)
	case "/run-stop":
		mn.highest[od.Task] = max(mn.highest[od.Task], od.Run)
		if rn, ok := mn.runs[key]; ok && rn.stopAt.IsZero() {
			rn.stopAt = time.Now().Add(stopMS * time.Millisecond)
		}
	case "/pace":
		if rn, ok := mn.runs[key]; ok {
			rn.pace = od.Percent
		}
	}
	return http.StatusOK, ""
}

func (mn *minion) extendLease(deadline int64) {
	mn.leaseMS = max(mn.leaseMS, min(deadline, mn.clock()+maxHoldMS))
}

func (mn *minion) startRun(key runKey, od orderBody) (int, string) {
	if _, ok := mn.runs[key]; ok {
		mn.extendLease(od.Deadline)
		return http.StatusOK, ""
	}
	if key.run <= mn.highest[key.task] {
		mn.extendLease(od.Deadline)
		return http.StatusConflict, "old"
	}
	if od.Deadline <= mn.clock() {
		return http.StatusConflict, "late"
	}
	if !mn.fl.ticketValid(mn, od) {
		return http.StatusConflict, "ticket"
	}
	mn.extendLease(od.Deadline)
	mn.runs[key] = mn.fl.begin(mn, key, od)
	if hook := mn.fl.onStart; hook != nil {
		hook(mn, key)
	}
	return http.StatusOK, ""
}

func (mn *minion) serveHold(wr http.ResponseWriter, rq *http.Request) {
	var od orderBody
	if json.NewDecoder(rq.Body).Decode(&od) != nil {
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	if mn.blocked(rq) {
		return
	}
	if rq.Header.Get("X-Expected-Instance") != mn.id {
		writeJSON(wr, http.StatusMisdirectedRequest, map[string]any{})
		return
	}
	fl := mn.fl
	deadline := time.After(time.Duration(od.WaitMS) * time.Millisecond)
	for {
		fl.mu.Lock()
		status, body, ended := mn.hold(od)
		changed := mn.changed
		fl.mu.Unlock()
		if ended || od.WaitMS == 0 {
			writeJSON(wr, status, body)
			return
		}
		select {
		case <-changed:
		case <-rq.Context().Done():
			return
		case <-deadline:
			od.WaitMS = 0
		}
	}
}

// hold answers a poll and reports whether it lists ends or is refused; the caller holds the lock.
func (mn *minion) hold(od orderBody) (int, map[string]any, bool) {
	mn.fl.advance()
	if od.Token < mn.token {
		return http.StatusConflict, map[string]any{"clock_ms": mn.clock(), "reason": "fence"}, true
	}
	mn.token = od.Token
	mn.extendLease(od.Deadline)
	if od.LastSeen > mn.acked {
		mn.acked = od.LastSeen
		for len(mn.ends) > 0 && mn.ends[0].number <= mn.acked {
			mn.ends[0].seen.noted = mn.lapsedAt.Before(mn.ends[0].seen.to)
			mn.ends = mn.ends[1:]
		}
	}
	running, finished := [][]any{}, [][]any{}
	for _, rn := range mn.runs {
		running = append(running, []any{rn.task, rn.run, "", rn.percent(), rn.gauge()})
	}
	for _, en := range mn.ends[:min(len(mn.ends), maxEnds)] {
		finished = append(finished, []any{en.number, en.task, en.run, en.how, ""})
	}
	body := map[string]any{"clock_ms": mn.clock(), "born": mn.born, "running": running, "finished": finished}
	return http.StatusOK, body, len(finished) > 0
}

// crash ends the minion and all that runs there; the caller holds the lock.
func (mn *minion) crash() {
	for key, rn := range mn.runs {
		rn.seen.close("lost")
		mn.fl.leaveGang(rn)
		delete(mn.runs, key)
	}
	mn.up = false
	server := mn.server
	go func() { _ = server.Close() }()
}

// finish ends a run; the caller holds the lock.
func (mn *minion) finish(rn *run, how string) {
	mn.lastEnd++
	rn.seen.close(how)
	mn.highest[rn.task] = max(mn.highest[rn.task], rn.run)
	mn.ends = append(mn.ends, end{mn.lastEnd, rn.runKey, how, rn.seen})
	delete(mn.runs, rn.runKey)
	close(mn.changed)
	mn.changed = make(chan struct{})
	mn.fl.leaveGang(rn)
}

func (rn *run) percent() int64 {
	if rn.gang != nil && rn.gang.wholeAt.IsZero() {
		return 0
	}
	if rn.lasting {
		return min(time.Since(rn.started).Milliseconds()/5, fullPercent)
	}
	began := rn.started
	if rn.gang != nil {
		began = rn.gang.wholeAt
	}
	return min(time.Since(began).Milliseconds()*fullPercent/max(rn.workMS, 1), fullPercent-1)
}

// gauge returns the tail of a run that serves in milliseconds, or else the processor time that a run uses.
func (rn *run) gauge() int64 {
	if rn.st == nil || rn.st.TargetMS == 0 {
		return 0
	}
	return rn.host.fl.calmTailMS + rn.host.interferenceMS*rn.host.fillPace()/fullPercent
}

// fillPace returns the sum of the shares at which the runs that fill work on a minion.
func (mn *minion) fillPace() int64 {
	sum := int64(0)
	for _, rn := range mn.runs {
		if rn.st != nil && rn.st.Fills {
			sum += rn.pace
		}
	}
	return sum
}

// due returns how a run that is over has ended, empty while it goes on.
func (rn *run) due(now time.Time) string {
	mn := rn.host
	switch {
	case !rn.stopAt.IsZero() && !now.Before(rn.stopAt):
		return "stopped"
	case mn.clock() >= mn.leaseMS:
		return "lapsed"
	case rn.lasting:
		return ""
	case rn.gang != nil && rn.gang.wholeAt.IsZero():
		if now.Sub(rn.started) >= gangMS*time.Millisecond {
			return "alone"
		}
		return ""
	}
	began := rn.started
	if rn.gang != nil {
		began = rn.gang.wholeAt
	}
	if now.Sub(began) < time.Duration(rn.workMS)*time.Millisecond {
		return ""
	}
	if rn.fails {
		return "failed"
	}
	return "done"
}

func (rk runKey) String() string { return fmt.Sprintf("%s run %d", rk.task, rk.run) }
