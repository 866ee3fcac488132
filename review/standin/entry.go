//go:build review

package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// entry is one entry process of the project, which is started again whenever it ends.
type entry struct {
	rc       *recorder
	name     string
	ip       string
	zone     string
	callers  string
	ready    string
	settings string
	log      string

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool
	// downFor is how long the process stays away after its next end, 0 for the usual time.
	downFor time.Duration
	done    chan struct{}
}

const restartDelay = 500 * time.Millisecond

const settingsText = `node_name: %q
role: "entry"
machine_class: "edge"
serves:
  - "edge"
ip: %q
zone: %q
region: "nz-south"
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
heartbeat_ms: 1500
bounds:
  contact_ms: 3000
  ack_timeout_ms: 4000
  drain_ms: 2000
  grace_s: 6
  loss_slack_ms: 200
  config_apply_ms: 2000
  revoke_fail_closed: true
  revoke_ms: 5000
  max_hold_ms: 10000
  stop_timeout_ms: 200
  cancel_ms: 3000
  visible_ms: 3000
  early_ms: 250
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
  duty_per_s: 64.0
`

// freePort returns a port that is free at an address now, and the next one with it.
func freePort(ip string) (int, error) {
	for {
		ln, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return 0, err
		}
		port := ln.Addr().(*net.TCPAddr).Port
		next, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port+1))
		_ = ln.Close()
		if err == nil {
			return port, next.Close()
		}
	}
}

func newEntry(rc *recorder, dir, name, ip, zone, storeAddress, machinesAddress, adviceAddress string) (*entry, error) {
	var ports [3]int
	for at := range ports {
		port, err := freePort(ip)
		if err != nil {
			return nil, err
		}
		ports[at] = port
	}
	en := &entry{rc: rc, name: name, ip: ip, zone: zone, settings: filepath.Join(dir, name+".yaml"), log: filepath.Join(dir, name+".log"), done: make(chan struct{})}
	en.callers, en.ready = fmt.Sprintf("%s:%d", ip, ports[0]), fmt.Sprintf("%s:%d", ip, ports[1])
	text := fmt.Sprintf(settingsText, name, ip, zone, en.callers, en.ready, ports[2], ports[2]+15, storeAddress, machinesAddress)
	if adviceAddress != "" {
		text += fmt.Sprintf("advice: %q\n", adviceAddress)
	}
	return en, os.WriteFile(en.settings, []byte(text), 0o600)
}

// run starts the process with the command of the deploy file and starts it again when it ends, until stop.
func (en *entry) run(program string) error {
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.stopped {
		return nil
	}
	out, err := os.OpenFile(en.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	en.cmd = exec.Command(program, "platform-entry")
	en.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FULMARLOFT_SETTINGS=" + en.settings}
	en.cmd.Stdout, en.cmd.Stderr = out, out
	en.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := en.cmd.Start(); err != nil {
		return err
	}
	en.rc.line("process: %s started", en.name)
	cmd := en.cmd
	go func() {
		err := cmd.Wait()
		en.rc.line("process: %s ended: %v", en.name, err)
		en.mu.Lock()
		stopped, delay := en.stopped, max(en.downFor, restartDelay)
		en.downFor = 0
		en.mu.Unlock()
		if stopped {
			close(en.done)
			return
		}
		time.Sleep(delay)
		if err := en.run(program); err != nil {
			en.rc.line("process: cannot start %s again: %v", en.name, err)
		}
	}()
	return nil
}

// signal sends a signal to the process.
func (en *entry) signal(sig syscall.Signal) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.rc.line("process: %s gets %v", en.name, sig)
	_ = en.cmd.Process.Signal(sig)
}

// kill kills the process and starts it again after some time.
func (en *entry) kill(downFor time.Duration) {
	en.mu.Lock()
	en.downFor = downFor
	en.mu.Unlock()
	en.signal(syscall.SIGKILL)
}

// stop ends the process for good.
func (en *entry) stop() {
	en.mu.Lock()
	en.stopped = true
	_ = en.cmd.Process.Signal(syscall.SIGCONT)
	_ = en.cmd.Process.Kill()
	en.mu.Unlock()
	select {
	case <-en.done:
	case <-time.After(2 * time.Second):
	}
}
