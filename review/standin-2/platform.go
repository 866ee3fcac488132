package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Names and sizes of the small deployment.
const (
	service   = "service-a"
	host      = "queue-a.example"
	prefix    = "/queue-a/"
	tenant    = "tenant-a"
	key       = "key-of-tenant-a"
	attempts  = 4
	maxHoldMS = 10_000
	entries   = 3

	// readyWithin bounds the start of the entries, settleFor is how long they run before the clients begin.
	readyWithin = 20 * time.Second
	settleFor   = 3 * time.Second
)

// platform is the platform with its store, machine API, minions and entries.
type platform struct {
	dir     string
	program string
	rec     *record
	st      *store
	minions []*minion
	entries []*entry
	servers []*http.Server
	store   string
	cloud   string
}

// entry is one process of the system, which the platform starts again when it has ended.
type entry struct {
	pl       *platform
	name     string
	frontend string
	ready    string
	settings string

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool
	exited  chan struct{}
}

func newPlatform(program, dir string, rec *record) (*platform, error) {
	pl := &platform{dir: dir, program: program, rec: rec, st: newStore()}
	var err error
	if pl.store, err = pl.listen(pl.st.handler()); err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", pl.handleMachines)
	mux.HandleFunc("POST /machine-move", func(wr http.ResponseWriter, _ *http.Request) { wr.WriteHeader(http.StatusBadRequest) })
	if pl.cloud, err = pl.listen(mux); err != nil {
		return nil, err
	}
	return pl, nil
}

func (pl *platform) listen(handler http.Handler) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: handler}
	pl.servers = append(pl.servers, srv)
	go func() { _ = srv.Serve(ln) }()
	return ln.Addr().String(), nil
}

// configure writes the operator's configuration.
func (pl *platform) configure() {
	pl.st.put("op", "config", map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "queue-a", "host": host, "prefix": prefix, "service": service, "priority": 0,
			"max_attempts": attempts, "stretch": 1.6, "target_duration_ms": 600,
		}},
		"services": []map[string]any{{"name": service, "admission_control": false, "standby": false}},
		"limits":   map[string]any{"max_body_bytes": 262144},
		"tenants":  []map[string]any{{"name": tenant, "api_keys": []string{key}, "weight": 1, "cap": map[string]int64{"cpu": 0, "mem_mb": 0, "gpu": 0}}},
	})
}

func (pl *platform) addMinion(rack string, work func(string) (time.Duration, string)) (*minion, error) {
	number := len(pl.minions) + 1
	port, err := freePorts(1)
	if err != nil {
		return nil, err
	}
	mn := &minion{
		address: fmt.Sprintf("127.0.0.1:%d", port),
		id:      fmt.Sprintf("i-%08x", number*0x01234567), machine: fmt.Sprintf("machine-%d", number), rack: rack, service: service,
		cpu: 32_000, memory: 65_536, maxHoldMS: maxHoldMS, rec: pl.rec, st: pl.st, work: work,
	}
	pl.minions = append(pl.minions, mn)
	return mn, mn.begin()
}

func (pl *platform) handleMachines(wr http.ResponseWriter, _ *http.Request) {
	list := []map[string]any{}
	for _, mn := range pl.minions {
		mn.mu.Lock()
		state, id := "down", ""
		if mn.up {
			state, id = "up", mn.id
		}
		mn.mu.Unlock()
		list = append(list, map[string]any{
			"machine": mn.machine, "pool": mn.service, "state": state, "zone": "zone-a", "labels": []string{"kind-a", mn.rack},
			"capacity": map[string]int64{"cpu": mn.cpu, "mem_mb": mn.memory, "gpu": 0}, "id": id,
		})
	}
	writeJSON(wr, http.StatusOK, map[string]any{"machines": list, "next_token": ""})
}

const settings = `node_name: %q
role: "entry"
machine_class: "edge"
serves:
  - "edge"
ip: "127.0.0.1"
zone: "zone-a"
region: "region-a"
zones:
  zone-a: "region-a"
listen_addrs:
  frontend: %q
  ready: %q
internal_ports:
  - %d
  - %d
bootstrap: true
limits:
  cpu_share: 0.4
  cpu_cores: 1
  memory_mb: 284
  max_fds: 4100
  link_mbps: 1000.0
  disk_mb: 0
data_dir: null
discovery: "platform"
entry_mode: "vip"
heartbeat_ms: 1500
bounds:
  contact_ms: 3000
  ack_timeout_ms: 4000
  drain_ms: 2000
  grace_s: 6
  config_apply_ms: 2000
  revoke_fail_closed: true
  revoke_ms: 5000
  max_hold_ms: %d
  stop_timeout_ms: 200
  gang_timeout_ms: 3000
  cancel_ms: 3000
  visible_ms: 3000
  finish_s: 14
  status_s: 120
  require_fencing: true
  lease_ms: 3000
orders: "push"
platform:
  address: %q
  form: "table"
  writes_per_s: 600
  reads_per_s: 2000
  txn_timeout_ms: 8.0
  part_writes_per_s: 150
  max_row_bytes: 65536
  cross_shard: false
  history_s: 20
cloud_api:
  address: %q
  rate_per_s: 64.0
  duties: []
  duty_per_s: 64.0
`

// freePorts returns the first of some free ports in a row, below those that the kernel gives to outgoing connections.
func freePorts(count int) (int, error) {
	for range 200 {
		first := 20_000 + rand.IntN(12_000)
		free := true
		for at := range count {
			ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first+at))
			if err != nil {
				free = false
				break
			}
			_ = ln.Close()
		}
		if free {
			return first, nil
		}
	}
	return 0, errors.New("no free ports")
}

// startEntries starts the system's processes.
func (pl *platform) startEntries() error {
	for at := range entries {
		port, err := freePorts(6)
		if err != nil {
			return err
		}
		en := &entry{
			pl: pl, name: fmt.Sprintf("edge-zone-a-%d", at+1),
			frontend: fmt.Sprintf("127.0.0.1:%d", port), ready: fmt.Sprintf("127.0.0.1:%d", port+1),
		}
		en.settings = filepath.Join(pl.dir, en.name+".yaml")
		text := fmt.Sprintf(settings, en.name, en.frontend, en.ready, port+2, port+5, maxHoldMS, pl.store, pl.cloud)
		if err := os.WriteFile(en.settings, []byte(text), 0o600); err != nil {
			return err
		}
		pl.entries = append(pl.entries, en)
		if err := en.start(); err != nil {
			return err
		}
	}
	return nil
}

// begin writes the configuration, starts the entries and waits until they serve.
func (pl *platform) begin() error {
	pl.configure()
	if err := pl.startEntries(); err != nil {
		return err
	}
	if err := pl.waitReady(readyWithin); err != nil {
		return err
	}
	time.Sleep(settleFor)
	return nil
}

func (en *entry) start() error {
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.stopped {
		return nil
	}
	out, err := os.OpenFile(filepath.Join(en.pl.dir, en.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	en.cmd = exec.Command(en.pl.program, "platform-entry")
	en.cmd.Env = []string{"FULMARLOFT_SETTINGS=" + en.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	en.cmd.Stdout, en.cmd.Stderr = out, out
	en.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := en.cmd.Start(); err != nil {
		return err
	}
	en.pl.rec.log("process %s begins", en.name)
	en.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		err := cmd.Wait()
		close(exited)
		en.mu.Lock()
		stopped := en.stopped
		en.mu.Unlock()
		if stopped {
			return
		}
		en.pl.rec.log("process %s ends: %v", en.name, err)
		time.Sleep(200 * time.Millisecond)
		_ = en.start()
	}(en.cmd, en.exited)
	return nil
}

func (en *entry) signal(sig syscall.Signal) {
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.cmd != nil {
		_ = en.cmd.Process.Signal(sig)
	}
}

func (en *entry) stop() {
	en.mu.Lock()
	en.stopped = true
	exited := en.exited
	en.mu.Unlock()
	en.signal(syscall.SIGCONT)
	en.signal(syscall.SIGKILL)
	if exited != nil {
		<-exited
	}
}

func (pl *platform) close() {
	for _, en := range pl.entries {
		en.stop()
	}
	for _, srv := range pl.servers {
		_ = srv.Close()
	}
	for _, mn := range pl.minions {
		mn.mu.Lock()
		mn.up = false
		_ = mn.server.Close()
		mn.mu.Unlock()
	}
}

// waitReady waits until all entries take callers.
func (pl *platform) waitReady(limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, en := range pl.entries {
		for {
			rsp, err := http.Get("http://" + en.ready + "/readyz")
			if err == nil {
				_ = rsp.Body.Close()
				if rsp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return errors.New(en.name + " isn't ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// call makes a client's call at an entry and returns the status, 0 without an answer, and the body.
func (pl *platform) call(en *entry, method, path string, body any) (int, string) {
	raw, _ := json.Marshal(body)
	rq, err := http.NewRequest(method, "http://"+en.frontend+path, bytes.NewReader(raw))
	if err != nil {
		panic(err)
	}
	rq.Host = host
	rq.Header.Set("Content-Type", "application/json")
	rq.Header.Set("X-Key", key)
	cl := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	rsp, err := cl.Do(rq)
	if err != nil {
		pl.rec.log("client: %s %s at %s: no answer", method, path, en.name)
		return 0, ""
	}
	defer func() { _ = rsp.Body.Close() }()
	text, _ := io.ReadAll(rsp.Body)
	pl.rec.log("client: %s %s at %s: %d %s", method, path, en.name, rsp.StatusCode, text)
	return rsp.StatusCode, string(text)
}

// state asks an entry for a job's state, empty if it doesn't say one.
func (pl *platform) state(en *entry, id string) (int, string) {
	status, text := pl.call(en, http.MethodGet, prefix+id, nil)
	var body struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(text), &body)
	return status, body.State
}

// submit hands a job in until it is accepted.
func (pl *platform) submit(id string, steps []map[string]any) error {
	for try := range 20 {
		status, _ := pl.call(pl.entries[try%len(pl.entries)], http.MethodPost, prefix+id, map[string]any{"spec": "work of " + id, "steps": steps})
		if status >= 200 && status < 300 {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return errors.New("job " + id + " isn't accepted")
}
