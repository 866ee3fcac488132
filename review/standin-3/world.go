package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// world is a small deployment: the platform's stand-ins and the entries.
type world struct {
	st      *store
	fl      *fleet
	entries []*entryProcess
	dir     string
	stop    chan struct{}
	// trouble is set unless the run is the one without the disruption.
	trouble bool

	mu       sync.Mutex
	accepted map[string]time.Time
	// killed is how often processes were killed for their memory.
	killed int
	// watchers are the goroutines that may start processes.
	watchers sync.WaitGroup
}

const (
	serviceName = "service"
	// prefixPlain and prefixAdvised are the paths of the queues without and with advice.
	prefixPlain   = "/plain/"
	prefixAdvised = "/advised/"
	maxAttempts   = 4
	callTimeout   = 3 * time.Second
	// maxRecorded is the number of runs that a record lists.
	maxRecorded = 400
)

// route returns a queue of the configuration.
func route(name, prefix string) map[string]any {
	return map[string]any{"name": name, "host": queueHost, "prefix": prefix, "service": serviceName, "priority": 0, "max_attempts": maxAttempts, "stretch": 1.6, "target_duration_ms": 600}
}

// configuration returns the operator's configuration.
func configuration(validityMS int64) map[string]any {
	advised := route("advised", prefixAdvised)
	advised["advice"] = map[string]any{"decision_ms": decisionMS, "period_ms": periodMS, "validity_ms": validityMS}
	return map[string]any{
		"version":  1,
		"routes":   []map[string]any{route("plain", prefixPlain), advised},
		"services": []map[string]any{{"name": serviceName, "admission_control": false}},
		"limits":   map[string]any{"max_body_bytes": 262_144},
		"tenants":  []map[string]any{{"name": tenant, "api_keys": []string{clientKey}, "weight": 1, "cap": map[string]int64{"cpu": 0, "mem_mb": 0, "gpu": 0}}},
	}
}

// newWorld starts the platform with some minions, two a rack, and some entries.
func newWorld(program string, seed int64, pl play) (*world, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	wd := &world{st: newStore(), dir: dir, stop: make(chan struct{}), trouble: os.Getenv("TROUBLE") != "0", accepted: map[string]time.Time{}}
	wd.fl = newFleet(wd.st, seed)
	wd.st.put("op", "config", configuration(wd.fl.validityMS))
	if wd.fl.cloud, err = serve(wd.fl.cloudHandler()); err != nil {
		return nil, err
	}
	if wd.fl.advice, err = serve(wd.fl.adviceHandler()); err != nil {
		return nil, err
	}
	for at := range pl.minions {
		if _, err := wd.fl.add(serviceName, fmt.Sprintf("r%d", at/2), "a", pl.cpu); err != nil {
			return nil, err
		}
	}
	go wd.fl.tick(wd.stop)
	for at := range pl.entries {
		ep, err := newEntry(dir, program, fmt.Sprintf("edge-a-%d", at+1), wd.st, wd.fl)
		if err != nil {
			return nil, err
		}
		if err := ep.start(); err != nil {
			return nil, err
		}
		wd.entries = append(wd.entries, ep)
	}
	return wd, wd.awaitOwner(15 * time.Second)
}

// awaitOwner waits until an entry schedules.
func (wd *world) awaitOwner(limit time.Duration) error {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if wd.owner() != nil {
			return nil
		}
	}
	return fmt.Errorf("no entry owns scheduling after %v", limit)
}

// owner returns the entry that schedules, as far as its log says, nil if none does.
func (wd *world) owner() *entryProcess {
	for _, ep := range wd.entries {
		if ep.owns() {
			return ep
		}
	}
	return nil
}

// submit hands a job in, at one entry after the other until one accepts it.
func (wd *world) submit(jb *job) bool {
	wd.fl.mu.Lock()
	wd.fl.jobs[jb.id] = jb
	wd.fl.mu.Unlock()
	for attempt := range 4 {
		ep := wd.entries[attempt%len(wd.entries)]
		status, _ := ep.call(http.MethodPost, jb.prefix+jb.id, jb.body(), callTimeout)
		wd.fl.note("client: POST %s at %s: %d", jb.id, ep.name, status)
		if status >= 200 && status < 300 {
			wd.mu.Lock()
			wd.accepted[jb.id] = time.Now()
			wd.mu.Unlock()
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// cancel cancels a job and reports whether that was acknowledged.
func (wd *world) cancel(jb *job, ep *entryProcess) bool {
	status, _ := ep.call(http.MethodDelete, jb.prefix+jb.id, "", callTimeout)
	wd.fl.note("client: DELETE %s at %s: %d", jb.id, ep.name, status)
	return (status >= 200 && status < 300) || status == http.StatusGone
}

// state asks an entry for a job's state, which is empty if there is no answer with one.
func (wd *world) state(jb *job, ep *entryProcess) (int, string) {
	status, raw := ep.call(http.MethodGet, jb.prefix+jb.id, "", callTimeout)
	var body struct {
		State string `json:"state"`
	}
	if json.Unmarshal([]byte(raw), &body) != nil && status == http.StatusOK {
		return 0, ""
	}
	wd.fl.note("client: GET %s at %s: %d %s", jb.id, ep.name, status, body.State)
	return status, body.State
}

// close ends all processes.
func (wd *world) close() {
	close(wd.stop)
	wd.watchers.Wait()
	for _, ep := range wd.entries {
		if ep.cmd != nil {
			ep.kill()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(wd.dir)
	}
}

// record writes what was sent, answered and run.
func (wd *world) record(path, verdict string) error {
	wd.fl.mu.Lock()
	defer wd.fl.mu.Unlock()
	var text strings.Builder
	fmt.Fprintf(&text, "%s\n\nEvents, in seconds:\n%s\n\nRuns (task, run, minion, from, to, end, end acknowledged):\n", verdict, strings.Join(wd.fl.notes, "\n"))
	for at, sr := range wd.fl.seen {
		if at == maxRecorded {
			fmt.Fprintf(&text, "and %d more runs\n", len(wd.fl.seen)-at)
			break
		}
		to := "-"
		if !sr.to.IsZero() {
			to = fmt.Sprintf("%.3f", sr.to.Sub(wd.fl.began).Seconds())
		}
		fmt.Fprintf(&text, "%s %d %s %.3f %s %s %v\n", sr.task, sr.run, sr.minion, sr.from.Sub(wd.fl.began).Seconds(), to, sr.how, sr.noted)
	}
	return os.WriteFile(filepath.Clean(path), []byte(text.String()), 0o644)
}
