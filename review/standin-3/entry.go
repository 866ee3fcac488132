package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// entryProcess is one entry of the system, as the deploy file starts it.
type entryProcess struct {
	name     string
	frontend string
	ready    string
	settings string
	logPath  string
	program  string
	// trouble decides what becomes of the entry's calls to the store.
	trouble atomic.Pointer[gate]

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	stopped bool
}

const settingsText = `node_name: %q
role: "entry"
machine_class: "edge"
ip: "127.0.0.1"
zone: "a"
region: "r"
listen_addrs:
  frontend: %q
  ready: %q
internal_ports:
  - %d
  - %d
limits:
  cpu_share: 0.4
  cpu_cores: 1
  memory_mb: 284
  max_fds: 4100
  link_mbps: 1000.0
bounds:
  grace_s: 6
  revoke_fail_closed: true
  revoke_ms: 5000
  max_hold_ms: 10000
  status_s: 120
  lease_ms: 3000
  require_fencing: true
orders: "push"
advice: %q
platform:
  address: %q
  form: "table"
  max_row_bytes: 65536
cloud_api:
  address: %q
`

// serve serves a handler on a free loopback port until the program ends.
func serve(handler http.Handler) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: handler}).Serve(ln) }()
	return ln.Addr().String(), nil
}

// freePort returns a loopback port that is free now.
func freePort() (int, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().(*net.TCPAddr).Port, nil
}

// newEntry prepares an entry with its settings and its own way to the store.
func newEntry(dir, program, name string, st *store, fl *fleet) (*entryProcess, error) {
	ep := &entryProcess{name: name, program: program, settings: filepath.Join(dir, name+".yaml"), logPath: filepath.Join(dir, name+".log")}
	storeAddress, err := serve(st.handler(func(wr http.ResponseWriter, rq *http.Request) bool {
		ga := ep.trouble.Load()
		return ga == nil || (*ga)(wr, rq)
	}))
	if err != nil {
		return nil, err
	}
	var ports [3]int
	for at := range ports {
		if ports[at], err = freePort(); err != nil {
			return nil, err
		}
	}
	ep.frontend = fmt.Sprintf("127.0.0.1:%d", ports[0])
	ep.ready = fmt.Sprintf("127.0.0.1:%d", ports[1])
	text := fmt.Sprintf(settingsText, name, ep.frontend, ep.ready, ports[2], ports[2], fl.advice, storeAddress, fl.cloud)
	return ep, os.WriteFile(ep.settings, []byte(text), 0o600)
}

// start starts the process.
func (ep *entryProcess) start() error {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	out, err := os.OpenFile(ep.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	ep.cmd = exec.Command(ep.program, "platform-entry")
	ep.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FULMARLOFT_SETTINGS=" + ep.settings}
	ep.cmd.Stdout, ep.cmd.Stderr = out, out
	if err := ep.cmd.Start(); err != nil {
		return err
	}
	ep.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(ep.cmd, ep.exited)
	return nil
}

// signal sends a signal to the process.
func (ep *entryProcess) signal(sig syscall.Signal) {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	_ = ep.cmd.Process.Signal(sig)
}

// pid returns the id of the process.
func (ep *entryProcess) pid() int {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	return ep.cmd.Process.Pid
}

// kill ends the process at once.
func (ep *entryProcess) kill() {
	ep.signal(syscall.SIGCONT)
	ep.signal(syscall.SIGKILL)
	<-ep.exited
}

// running reports whether the process hasn't ended.
func (ep *entryProcess) running() bool {
	select {
	case <-ep.exited:
		return false
	default:
		return true
	}
}

// restart kills the process and starts it again after a pause.
func (ep *entryProcess) restart(pause time.Duration) error {
	ep.kill()
	time.Sleep(pause)
	return ep.start()
}

// owns reports whether the entry's log says that it owns scheduling.
func (ep *entryProcess) owns() bool {
	raw, err := os.ReadFile(ep.logPath)
	if err != nil {
		return false
	}
	text := string(raw)
	last := func(words ...string) int {
		at := -1
		for _, word := range words {
			at = max(at, strings.LastIndex(text, word))
		}
		return at
	}
	return ep.running() && last("scheduling-started") > last("ownership-released", "scheduling-ended", "entry-started")
}

// call makes a client's call to the entry and returns the status, 0 for none.
func (ep *entryProcess) call(method, path string, body string, timeout time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, method, "http://"+ep.frontend+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	rq.Host = queueHost
	rq.Header.Set("X-Key", clientKey)
	if body != "" {
		rq.Header.Set("Content-Type", "application/json")
	}
	rsp, err := http.DefaultClient.Do(rq)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = rsp.Body.Close() }()
	raw, err := io.ReadAll(rsp.Body)
	if err != nil {
		return 0, ""
	}
	return rsp.StatusCode, string(raw)
}
