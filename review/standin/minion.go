//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxHold         = 10 * time.Second
	stopTime        = 150 * time.Millisecond
	minionStep      = 5 * time.Millisecond
	maxHoldWaitMS   = 2000
	maxListedEnds   = 500
	heartbeat       = 1500 * time.Millisecond
	lastingStartup  = 300 * time.Millisecond
	minionCPU       = 32_000
	minionMemoryMB  = 65_536
	minionsInARack  = 4
	checkpointEvery = time.Second
	gangTimeout     = 3 * time.Second
)

type minionRun struct {
	task    string
	run     int64
	begun   time.Time
	work    time.Duration
	lasting bool
	stopAt  time.Time
	cpu     int64
	fails   bool
	// failsAfter is how long after its start the run fails, 0 if it doesn't.
	failsAfter time.Duration
	// saved is what the start's checkpoint saved of the work.
	saved time.Duration
	// checkpoints is set for a task that saves its progress.
	checkpoints bool
	// gangSize is the number of tasks that work only together, 0 for a task that works alone.
	gangSize int
	gang     *gang
}

// gang is one run of the tasks that work only together.
type gang struct {
	members  map[string]bool
	complete time.Time
	broken   bool
}

// worked returns the work that the run has done, with what was saved before.
func (rn *minionRun) worked() time.Duration {
	switch {
	case rn.gang == nil:
		return rn.saved + time.Since(rn.begun)
	case rn.gang.complete.IsZero():
		return rn.saved
	default:
		return rn.saved + time.Since(rn.gang.complete)
	}
}

// checkpoint returns the value that holds the progress; the last one is made at the end of the run.
func (rn *minionRun) checkpoint(last bool) string {
	worked := rn.worked()
	if !last {
		worked = worked / checkpointEvery * checkpointEvery
	}
	if !rn.checkpoints || worked <= 0 {
		return ""
	}
	return fmt.Sprintf("%016x", worked.Milliseconds())
}

type minionEnd struct {
	number int64
	task   string
	run    int64
	how    string
	saved  string
	// at is when the run ended, on the clock of its life, and wall the time of day then.
	at   time.Duration
	wall time.Time
}

// startedAgain is a start of a task after one of its runs had ended as done.
type startedAgain struct {
	run    int64
	minion string
	at     time.Time
	atMS   int64
}

// life is one incarnation of a minion.
type life struct {
	born     time.Time
	bornMS   int64
	token    int64
	deadline time.Duration
	running  map[string]*minionRun
	ends     []minionEnd
	lastEnd  int64
	highest  map[string]int64
	changed  chan struct{}
	// lapsedAt is when a lease was last found expired, on the clock of the life.
	lapsedAt time.Duration
}

// minion is one machine with its minion.
type minion struct {
	fl      *fleet
	id      string
	machine string
	service string
	zone    string
	rack    string
	address string

	mu       sync.Mutex
	lf       *life
	down     bool
	draining bool
	sequence int64
	// judge decides the fate of a call; nil serves all.
	judge func(path string, rq *orderJSON) fate
	// roundTrip delays each answer.
	roundTrip time.Duration
}

type orderJSON struct {
	Task       string `json:"task"`
	Run        int64  `json:"run_id"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Token      int64  `json:"fencing_token"`
	Checkpoint string `json:"checkpoint"`
	LastSeen   int64  `json:"last_seen"`
	WaitMS     int64  `json:"wait_ms"`
	Percent    *int64 `json:"percent"`
}

func newLife() *life {
	now := time.Now()
	return &life{born: now, bornMS: now.UnixMilli(), running: map[string]*minionRun{}, highest: map[string]int64{}, changed: make(chan struct{})}
}

func (lf *life) clock() time.Duration { return time.Since(lf.born) }

func runName(task string, run int64) string { return task + "#" + strconv.FormatInt(run, 10) }

func (lf *life) notify() {
	close(lf.changed)
	lf.changed = make(chan struct{})
}

// start serves the minion's calls at a free port of the address and registers it.
func (mn *minion) start(ip string) error {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return err
	}
	mn.address = ln.Addr().String()
	mn.lf = newLife()
	go func() { _ = http.Serve(ln, mn) }()
	mn.register()
	go mn.beat()
	go mn.work()
	return nil
}

func (mn *minion) register() {
	mn.mu.Lock()
	mn.sequence++
	state := "ready"
	if mn.draining {
		state = "draining"
	}
	value := map[string]any{
		"service": mn.service, "address": mn.address, "zone": mn.zone, "version": "1", "slots": 8, "state": state, "cold_remaining_ms": 0,
		"sequence": mn.sequence, "born": mn.lf.bornMS, "machine": mn.machine,
		"capacity": map[string]int64{"cpu": minionCPU, "mem_mb": minionMemoryMB, "gpu": 0}, "labels": []string{"a", mn.rack},
	}
	mn.mu.Unlock()
	mn.fl.st.put("servers", mn.id, value)
}

func (mn *minion) beat() {
	for {
		time.Sleep(heartbeat)
		mn.mu.Lock()
		down := mn.down
		mn.mu.Unlock()
		if !down {
			mn.register()
		}
	}
}

// crash ends the minion's life; it answers nothing until restart.
func (mn *minion) crash() {
	mn.mu.Lock()
	defer mn.mu.Unlock()
	mn.down = true
	for name, rn := range mn.lf.running {
		delete(mn.lf.running, name)
		mn.fl.runEnded(mn, rn, "lost", mn.lf.lastEnd)
	}
	mn.lf.notify()
	mn.fl.rc.line("minion %s crashed", mn.id)
}

// restart begins a new life under the same id.
func (mn *minion) restart() {
	mn.mu.Lock()
	mn.lf, mn.down = newLife(), false
	mn.mu.Unlock()
	mn.fl.rc.line("minion %s started again", mn.id)
	mn.register()
}

// work ends what is due.
func (mn *minion) work() {
	for {
		time.Sleep(minionStep)
		mn.mu.Lock()
		mn.advance()
		mn.mu.Unlock()
	}
}

func (mn *minion) advance() {
	lf, now := mn.lf, time.Now()
	if mn.down {
		return
	}
	lapsed := lf.clock() >= lf.deadline
	if lapsed {
		lf.lapsedAt = lf.clock()
	}
	names := make([]string, 0, len(lf.running))
	for name := range lf.running {
		names = append(names, name)
	}
	sort.Strings(names)
	ended := false
	for _, name := range names {
		rn := lf.running[name]
		how := ""
		switch {
		case lapsed:
			how = "lapsed"
		case !rn.stopAt.IsZero() && now.After(rn.stopAt):
			how = "stopped"
		case rn.gang != nil && mn.fl.gangBroken(rn):
			how = "broken"
		case rn.gang != nil && rn.gang.complete.IsZero():
			if now.Sub(rn.begun) < gangTimeout {
				continue
			}
			how = "alone"
		case rn.failsAfter > 0 && now.Sub(rn.begun) >= rn.failsAfter:
			how = "failed"
		case !rn.lasting && rn.worked() >= rn.work && rn.stopAt.IsZero():
			how = "done"
			if rn.fails {
				how = "failed"
			}
		default:
			continue
		}
		delete(lf.running, name)
		lf.lastEnd++
		lf.highest[rn.task] = max(lf.highest[rn.task], rn.run)
		lf.ends = append(lf.ends, minionEnd{lf.lastEnd, rn.task, rn.run, how, rn.checkpoint(true), lf.clock(), now})
		mn.fl.runEnded(mn, rn, how, lf.lastEnd)
		ended = true
	}
	if ended {
		lf.notify()
	}
}

func (mn *minion) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	raw, err := io.ReadAll(rq.Body)
	if err != nil {
		return
	}
	od := &orderJSON{}
	if err := json.Unmarshal(raw, od); err != nil {
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	mn.mu.Lock()
	judge, down, lf, roundTrip := mn.judge, mn.down, mn.lf, mn.roundTrip
	mn.mu.Unlock()
	time.Sleep(roundTrip)
	if down {
		<-rq.Context().Done()
		panic(http.ErrAbortHandler)
	}
	ft := fate{}
	if judge != nil {
		ft = judge(rq.URL.Path, od)
	}
	if ft.late > 0 {
		time.AfterFunc(ft.late, func() {
			status, _ := mn.execute(rq.URL.Path, rq.Header.Get("X-Expected-Instance"), od)
			mn.fl.rc.line("minion %s: %s is carried out %d ms late, last_seen %d: %d", mn.id, rq.URL.Path, ft.late.Milliseconds(), od.LastSeen, status)
		})
		<-rq.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if ft.silent {
		<-rq.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if rq.URL.Path == "/hold" && od.WaitMS > 0 {
		mn.awaitEnd(lf, od)
	}
	status, body := mn.execute(rq.URL.Path, rq.Header.Get("X-Expected-Instance"), od)
	if ft.lost || status == 0 {
		<-rq.Context().Done()
		panic(http.ErrAbortHandler)
	}
	out, _ := json.Marshal(body)
	wr.Header().Set("Content-Type", "application/json")
	wr.WriteHeader(status)
	_, _ = wr.Write(out)
}

// awaitEnd waits until an end beyond those that a poll acknowledges can be listed, or for the time that the poll may wait. The poll renews the leases at once.
func (mn *minion) awaitEnd(lf *life, od *orderJSON) {
	mn.execute("/hold", mn.id, od)
	timeout := time.After(time.Duration(min(od.WaitMS, maxHoldWaitMS)) * time.Millisecond)
	for {
		mn.mu.Lock()
		pending, changed := lf.lastEnd > od.LastSeen && len(lf.ends) > 0, lf.changed
		mn.mu.Unlock()
		if pending {
			return
		}
		select {
		case <-changed:
		case <-timeout:
			return
		}
	}
}

// execute carries out a call and returns its answer; status 0 is no answer.
func (mn *minion) execute(path, expected string, od *orderJSON) (int, map[string]any) {
	mn.mu.Lock()
	defer mn.mu.Unlock()
	if mn.down {
		return 0, nil
	}
	mn.advance()
	lf := mn.lf
	body := map[string]any{"clock_ms": lf.clock().Milliseconds(), "born": lf.bornMS}
	refuse := func(reason string) (int, map[string]any) {
		body["reason"] = reason
		return http.StatusConflict, body
	}
	if expected != "" && expected != mn.id {
		return http.StatusMisdirectedRequest, body
	}
	if od.Token < lf.token {
		return refuse("fence")
	}
	lf.token = od.Token
	switch path {
	case "/hold":
		lf.extend(od.DeadlineMS)
		mn.acknowledge(od.LastSeen)
		body["running"], body["finished"] = lf.lists()
		mn.fl.countEnds(len(lf.ends))
		return http.StatusOK, body
	case "/run-stop":
		lf.highest[od.Task] = max(lf.highest[od.Task], od.Run)
		if rn, ok := lf.running[runName(od.Task, od.Run)]; ok && rn.stopAt.IsZero() {
			rn.stopAt = time.Now().Add(stopTime)
			mn.fl.recordStop(rn)
		}
		return http.StatusOK, body
	case "/pace":
		return http.StatusOK, body
	case "/run-start":
		if _, ok := lf.running[runName(od.Task, od.Run)]; ok {
			return http.StatusOK, body
		}
		if od.Run <= lf.highest[od.Task] {
			lf.extend(od.DeadlineMS)
			return refuse("old")
		}
		if time.Duration(od.DeadlineMS)*time.Millisecond <= lf.clock() {
			return refuse("late")
		}
		lf.extend(od.DeadlineMS)
		rn := mn.fl.newRun(od)
		lf.running[runName(od.Task, od.Run)] = rn
		mn.fl.runBegun(mn, rn, od)
		return http.StatusOK, body
	}
	return http.StatusBadRequest, body
}

func (lf *life) extend(deadlineMS int64) {
	deadline := min(time.Duration(deadlineMS)*time.Millisecond, lf.clock()+maxHold)
	lf.deadline = max(lf.deadline, deadline)
}

func (mn *minion) acknowledge(number int64) {
	lf := mn.lf
	at := sort.Search(len(lf.ends), func(i int) bool { return lf.ends[i].number > number })
	for _, end := range lf.ends[:at] {
		mn.fl.endNoted(mn, end, lf.lapsedAt >= end.at)
	}
	lf.ends = lf.ends[at:]
}

func (lf *life) lists() (running, finished [][]any) {
	running, finished = [][]any{}, [][]any{}
	for _, rn := range lf.running {
		percent := int64(100)
		age := time.Since(rn.begun)
		if rn.lasting && age < lastingStartup {
			percent = 0
		}
		if !rn.lasting {
			percent = min(int64(rn.worked()*100/max(rn.work, 1)), 99)
		}
		running = append(running, []any{rn.task, rn.run, rn.checkpoint(false), percent, rn.cpu})
	}
	for _, end := range lf.ends[:min(len(lf.ends), maxListedEnds)] {
		finished = append(finished, []any{end.number, end.task, end.run, end.how, end.saved})
	}
	return running, finished
}

// fleet is all minions, and what the checks know of their runs.
type fleet struct {
	rc      *recorder
	st      *store
	minions []*minion

	mu sync.Mutex
	// runningOn holds for each task the runs that go on, by minion.
	runningOn map[string]map[string]string
	// noted holds the tasks whose end as done was acknowledged, with the time.
	noted map[string]time.Time
	// ended holds the tasks that have ended as done on a minion.
	ended map[string]bool
	// again holds the starts of tasks after such an end that wasn't taken note of yet.
	again map[string][]startedAgain
	// lastRun is when each job last had something running.
	lastRun map[string]time.Time
	starts  map[string]int
	// lastEnd is when a run of each task last ended.
	lastEnd map[string]time.Time
	// stops holds the stops of lasting tasks that were at work.
	stops []stopped
	// failed counts the runs of each job that ended as failed.
	failed map[string]int
	gangs  map[string]*gang
	// orders holds the starts that were carried out, in order.
	orders []orderJSON
	// quiet keeps the runs of jobs whose ids begin so out of the record.
	quiet string
	// mostEnds is the largest number of ends that waited on a minion when it was asked for them.
	mostEnds   int
	violations []string
	cpu        int64
}

func newFleet(rc *recorder, st *store) *fleet {
	return &fleet{rc: rc, st: st, runningOn: map[string]map[string]string{}, noted: map[string]time.Time{}, ended: map[string]bool{}, again: map[string][]startedAgain{}, lastRun: map[string]time.Time{}, starts: map[string]int{}, lastEnd: map[string]time.Time{}, failed: map[string]int{}, gangs: map[string]*gang{}, quiet: "-"}
}

// add starts minions of a service, spread over zones.
func (fl *fleet) add(service string, count int, zones []string) error {
	for number := range count {
		at := len(fl.minions)
		mn := &minion{
			fl: fl, id: fmt.Sprintf("i-%08x", 0x5c0e7a21+at*7919), machine: fmt.Sprintf("m-%d", at), service: service,
			zone: zones[number%len(zones)], rack: fmt.Sprintf("r%d", at/minionsInARack),
		}
		fl.minions = append(fl.minions, mn)
		if err := mn.start(loopbackAddress(2, at+1)); err != nil {
			return err
		}
	}
	return nil
}

// newRun reads from a start's spec how the run behaves: words like work-ms=300, lasts, cpu=100.
func (fl *fleet) newRun(od *orderJSON) *minionRun {
	rn := &minionRun{task: od.Task, run: od.Run, begun: time.Now(), work: 300 * time.Millisecond, failsAfter: failsAfter(od.Spec)}
	for _, word := range strings.Fields(od.Spec) {
		name, value, _ := strings.Cut(word, "=")
		number, _ := strconv.ParseInt(value, 10, 64)
		switch name {
		case "work-ms":
			rn.work = time.Duration(number) * time.Millisecond
		case "lasts":
			rn.lasting = true
		case "cpu":
			rn.cpu = number
		case "checkpoints":
			rn.checkpoints = true
		case "gang":
			rn.gangSize = int(number)
		}
	}
	if ms, err := strconv.ParseInt(od.Checkpoint, 16, 64); err == nil {
		rn.saved = time.Duration(ms) * time.Millisecond
	}
	if rn.gangSize > 0 {
		fl.joinGang(rn)
	}
	return rn
}

// gangName names one run of a step, without the task's index.
func gangName(task string, run int64) string {
	return runName(task[:strings.LastIndexByte(task, '.')], run)
}

// joinGang adds a run to its gang, which works from the moment when all of its members are present.
func (fl *fleet) joinGang(rn *minionRun) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	name := gangName(rn.task, rn.run)
	if fl.gangs[name] == nil {
		fl.gangs[name] = &gang{members: map[string]bool{}}
	}
	rn.gang = fl.gangs[name]
	rn.gang.members[rn.task] = true
	if len(rn.gang.members) == rn.gangSize && !rn.gang.broken {
		rn.gang.complete = time.Now()
	}
}

// gangBroken reports whether another member of the run's gang has ended in another way than done.
func (fl *fleet) gangBroken(rn *minionRun) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return rn.gang.broken
}

func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

func (fl *fleet) violation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	fl.violations = append(fl.violations, text)
	fl.rc.line("BROKEN: %s", text)
}

func (fl *fleet) runBegun(mn *minion, rn *minionRun, od *orderJSON) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if !strings.HasPrefix(rn.task, fl.quiet) {
		fl.rc.line("run begins: %s run %d on %s under token %d, checkpoint %q", rn.task, rn.run, mn.id, od.Token, od.Checkpoint)
		fl.orders = append(fl.orders, *od)
	}
	for where, other := range fl.runningOn[rn.task] {
		fl.violation("TWICE: %s run %d begins on %s while %s goes on on %s", rn.task, rn.run, mn.id, other, where)
	}
	if at, ok := fl.noted[rn.task]; ok && !rn.lasting {
		fl.violation("TWICE: %s run %d begins on %s, %d ms after its end was taken note of", rn.task, rn.run, mn.id, time.Since(at).Milliseconds())
	}
	if _, ok := fl.noted[rn.task]; !ok && fl.ended[rn.task] && !rn.lasting {
		fl.again[rn.task] = append(fl.again[rn.task], startedAgain{rn.run, mn.id, time.Now(), fl.rc.sinceMS()})
	}
	if fl.runningOn[rn.task] == nil {
		fl.runningOn[rn.task] = map[string]string{}
	}
	fl.runningOn[rn.task][mn.id] = runName(rn.task, rn.run)
	fl.starts[jobOf(rn.task)]++
	fl.stops = slices.DeleteFunc(fl.stops, func(st stopped) bool { return st.task == rn.task && len(st.away) == 0 })
	fl.cpu += rn.cpu
	fl.lastRun[jobOf(rn.task)] = time.Now()
}

func (fl *fleet) runEnded(mn *minion, rn *minionRun, how string, number int64) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if !strings.HasPrefix(rn.task, fl.quiet) {
		fl.rc.line("run ends: %s run %d on %s: %s, end no. %d", rn.task, rn.run, mn.id, how, number)
	}
	delete(fl.runningOn[rn.task], mn.id)
	if rn.gang != nil && how != "done" {
		rn.gang.broken = true
	}
	if how == "done" {
		fl.ended[rn.task] = true
	}
	if how == "failed" {
		fl.failed[jobOf(rn.task)]++
	}
	fl.cpu -= rn.cpu
	fl.lastEnd[rn.task] = time.Now()
	fl.lastRun[jobOf(rn.task)] = time.Now()
}

// endNoted records that an end was taken note of; an end as done before which the minion's lease lapsed counts for nothing.
func (fl *fleet) endNoted(mn *minion, end minionEnd, lapsed bool) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if _, ok := fl.noted[end.task]; ok || end.how != "done" || lapsed {
		return
	}
	fl.noted[end.task] = time.Now()
	for _, st := range fl.again[end.task] {
		if st.at.After(end.wall) {
			fl.violation("TWICE: %s ended as done in run %d on %s, run %d begins on %s at %d ms, and that end is taken note of now", end.task, end.run, mn.id, st.run, st.minion, st.atMS)
		}
	}
}

func (fl *fleet) countEnds(count int) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.mostEnds = max(fl.mostEnds, count)
}

// runningOf counts the runs of a job that go on.
func (fl *fleet) runningOf(job string) int {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.runningLocked(job)
}

// runningLocked counts the runs of a job that go on; the caller holds the lock.
func (fl *fleet) runningLocked(job string) int {
	count := 0
	for task, where := range fl.runningOn {
		if jobOf(task) == job {
			count += len(where)
		}
	}
	return count
}

// cpuInUse returns the CPU that runs take, in thousandths of a core.
func (fl *fleet) cpuInUse() int64 {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.cpu
}

// ServeHTTP serves the list of machines; moves are refused as busy.
func (fl *fleet) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	time.Sleep(answerTime)
	wr.Header().Set("Content-Type", "application/json")
	if rq.URL.Path != "/machines" {
		wr.WriteHeader(http.StatusConflict)
		_, _ = wr.Write([]byte(`{"reason":"busy"}`))
		return
	}
	list := []map[string]any{}
	for _, mn := range fl.minions {
		mn.mu.Lock()
		state, id := "up", mn.id
		if mn.down {
			state, id = "down", ""
		}
		list = append(list, map[string]any{
			"machine": mn.machine, "pool": mn.service, "state": state, "zone": mn.zone, "labels": []string{"a", mn.rack},
			"capacity": map[string]int64{"cpu": minionCPU, "mem_mb": minionMemoryMB, "gpu": 0}, "id": id,
		})
		mn.mu.Unlock()
	}
	raw, _ := json.Marshal(map[string]any{"machines": list, "next_token": nil})
	_, _ = wr.Write(raw)
}
