package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// fleet holds the machines with their minions, the jobs that were submitted and what was seen of their runs.
type fleet struct {
	mu      sync.Mutex
	st      *store
	random  *rand.Rand
	minions []*minion
	jobs    map[string]*job
	gangs   map[string]*gang
	seen    []*seenRun
	notes   []string
	began   time.Time
	// onStart is called with each start, with the lock held.
	onStart func(mn *minion, key runKey)
	// onOrder is called with each order before it is executed, with the lock held; it reports whether the order gets no answer and is left to it.
	onOrder func(mn *minion, path string, od orderBody) bool
	// calmTailMS is the tail of runs that serve without those that fill.
	calmTailMS int64
	// tickets holds the tickets of steps by their text.
	tickets map[string]ticket
	// good reports whether a minion may run a step of a queue with advice.
	good       func(step, id string) bool
	advice     string
	cloud      string
	validityMS int64
	nextID     int
}

type ticket struct {
	step, id string
	born     int64
	until    time.Time
}

// seenRun is a run as the minions saw it.
type seenRun struct {
	runKey
	minion   string
	born     int64
	from, to time.Time
	how      string
	// noted is set once the owner has acknowledged the end.
	noted bool
}

func (sr *seenRun) close(how string) { sr.to, sr.how = time.Now(), how }

func newFleet(st *store, seed int64) *fleet {
	return &fleet{st: st, random: rand.New(rand.NewSource(seed)), jobs: map[string]*job{}, gangs: map[string]*gang{}, tickets: map[string]ticket{}, began: time.Now(), validityMS: 3000}
}

// note records a line of what happened.
func (fl *fleet) note(format string, args ...any) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.noteLocked(format, args...)
}

func (fl *fleet) noteLocked(format string, args ...any) {
	fl.notes = append(fl.notes, fmt.Sprintf("%8.3f ", time.Since(fl.began).Seconds())+fmt.Sprintf(format, args...))
}

// add starts a minion on a new machine.
func (fl *fleet) add(service, rack, zone string, cpu int64) (*minion, error) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.nextID++
	mn := &minion{fl: fl, id: fmt.Sprintf("i-%08x", fl.nextID*0x10000001), machine: fmt.Sprintf("m-%d", fl.nextID), rack: rack, zone: zone, service: service, address: "127.0.0.1:0", cpu: cpu, memory: 65_536}
	if err := mn.start(); err != nil {
		return nil, err
	}
	fl.minions = append(fl.minions, mn)
	fl.st.put("servers", mn.id, mn.registration())
	return mn, nil
}

// crash kills a minion; it starts again under its id after a time, 0 for never.
func (fl *fleet) crash(mn *minion, forTime time.Duration) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if !mn.up {
		return
	}
	fl.advance()
	fl.noteLocked("%s crashes for %v", mn.id, forTime)
	mn.crash()
	if forTime <= 0 {
		time.AfterFunc(4500*time.Millisecond, func() { fl.st.put("servers", mn.id, nil) })
		return
	}
	time.AfterFunc(forTime, func() { fl.restart(mn) })
}

func (fl *fleet) restart(mn *minion) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if err := mn.start(); err != nil {
		fl.noteLocked("%s cannot start again: %v", mn.id, err)
		time.AfterFunc(100*time.Millisecond, func() { fl.restart(mn) })
		return
	}
	fl.noteLocked("%s is up again", mn.id)
	fl.st.put("servers", mn.id, mn.registration())
}

// setMute cuts the path to a minion, which runs on, or restores it.
func (fl *fleet) setMute(mn *minion, mute bool) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	mn.mute = mute
	fl.noteLocked("%s mute %v", mn.id, mute)
}

// begin records a run that a minion starts; the caller holds the lock.
func (fl *fleet) begin(mn *minion, key runKey, od orderBody) *run {
	sr := &seenRun{runKey: key, minion: mn.id, born: mn.born, from: time.Now()}
	fl.seen = append(fl.seen, sr)
	rn := &run{runKey: key, host: mn, started: sr.from, workMS: 500, seen: sr}
	jb, st, ok := fl.stepOf(key.task)
	if !ok || jb.spec != od.Spec {
		fl.noteLocked("UNASKED start of %s with spec %q", key, od.Spec)
		return rn
	}
	rn.lasting, rn.st, rn.pace = st.LongRunning, st, fullPercent
	rn.workMS, rn.fails = jb.behave(key)
	if st.Gang {
		rn.gang = fl.joinGang(rn, st.Count)
	}
	return rn
}

// stepOf returns the job and the step of a task's name.
func (fl *fleet) stepOf(task string) (*job, *step, bool) {
	parts := strings.Split(task, ".")
	jb, ok := fl.jobs[parts[0]]
	if !ok || len(parts) != 4 {
		return nil, nil, false
	}
	number, err := strconv.Atoi(parts[2])
	if err != nil || number < 0 || number >= len(jb.steps) {
		return nil, nil, false
	}
	return jb, &jb.steps[number], true
}

func gangName(rk runKey) string {
	return rk.task[:strings.LastIndexByte(rk.task, '.')] + "/" + strconv.FormatInt(rk.run, 10)
}

func (fl *fleet) joinGang(rn *run, count int) *gang {
	name := gangName(rn.runKey)
	gg, ok := fl.gangs[name]
	if !ok {
		gg = &gang{count: count, members: map[string]*run{}}
		fl.gangs[name] = gg
	}
	gg.members[rn.task] = rn
	if len(gg.members) == gg.count {
		gg.wholeAt = time.Now()
	}
	return gg
}

// leaveGang takes a run out of its gang; the others break unless they are done.
func (fl *fleet) leaveGang(rn *run) {
	if rn.gang == nil || rn.gang.members[rn.task] != rn {
		return
	}
	gg := rn.gang
	delete(gg.members, rn.task)
	delete(fl.gangs, gangName(rn.runKey))
	if rn.seen.how == "done" {
		return
	}
	for _, other := range gg.members {
		if other.host.runs[other.runKey] == other {
			other.gang = nil
			other.host.finish(other, "broken")
		}
	}
}

// advance ends the runs that are over; the caller holds the lock.
func (fl *fleet) advance() {
	now := time.Now()
	for _, mn := range fl.minions {
		if !mn.up {
			continue
		}
		if mn.clock() >= mn.leaseMS {
			mn.lapsedAt = now
		}
		for _, rn := range mn.runs {
			if how := rn.due(now); how != "" && mn.runs[rn.runKey] == rn {
				mn.finish(rn, how)
			}
		}
	}
}

// tick ends runs as time goes on, so that polls that are held open are answered.
func (fl *fleet) tick(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
			fl.mu.Lock()
			fl.advance()
			fl.mu.Unlock()
		}
	}
}

// cloudHandler serves the machine API, which takes no orders.
func (fl *fleet) cloudHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", func(wr http.ResponseWriter, _ *http.Request) {
		fl.mu.Lock()
		list := []map[string]any{}
		for _, mn := range fl.minions {
			state, id := "up", mn.id
			if !mn.up {
				state, id = "down", ""
			}
			list = append(list, map[string]any{
				"machine": mn.machine, "pool": mn.service, "state": state, "zone": mn.zone, "id": id,
				"labels": []string{"a", mn.rack}, "capacity": map[string]int64{"cpu": mn.cpu, "mem_mb": mn.memory, "gpu": 0},
			})
		}
		fl.mu.Unlock()
		writeJSON(wr, http.StatusOK, map[string]any{"machines": list, "next_token": ""})
	})
	return mux
}
