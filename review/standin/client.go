//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// Names of the only queue and its key.
const (
	queueHost   = "pule25.example"
	queuePrefix = "/puxa400/"
	tenantKey   = "key-of-tenant-1"
	// clientDeadline is how long clients wait for an answer.
	clientDeadline = 3 * time.Second
)

type stepJSON struct {
	Count         int   `json:"count"`
	CPU           int   `json:"cpu"`
	Memory        int   `json:"mem_mb"`
	EstimatedMS   int   `json:"estimated_ms"`
	After         []int `json:"after,omitempty"`
	LongRunning   bool  `json:"long_running,omitempty"`
	Checkpoints   bool  `json:"checkpointing,omitempty"`
	MissAllowance int   `json:"miss_allowance,omitempty"`
	Gang          bool  `json:"gang,omitempty"`
	AntiAffinity  int   `json:"anti_affinity,omitempty"`
}

type jobJSON struct {
	Spec        string     `json:"spec"`
	Steps       []stepJSON `json:"steps"`
	RepeatCount int        `json:"repeat_count,omitempty"`
	StartAtMS   int64      `json:"start_at_ms,omitempty"`
	IntervalMS  int64      `json:"interval_ms,omitempty"`
}

// client makes calls to entries over connections that it keeps.
type client struct {
	rc *recorder
	hc *http.Client
}

func newClient(rc *recorder) *client {
	return &client{rc: rc, hc: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}}
}

// call makes a call and returns its status, 0 if there is no answer.
func (cl *client) call(ctx context.Context, method, address, id string, body any) (int, []byte) {
	var rd io.Reader
	if body != nil {
		raw, _ := json.Marshal(body)
		rd = bytes.NewReader(raw)
	}
	ctx, cancel := context.WithTimeout(ctx, clientDeadline)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, method, "http://"+address+queuePrefix+id, rd)
	if err != nil {
		return 0, nil
	}
	rq.Host = queueHost
	rq.Header.Set("X-Key", tenantKey)
	rq.Header.Set("X-Request-Deadline", "3000")
	rq.Header.Set("Content-Type", "application/json")
	sent := time.Now()
	rsp, err := cl.hc.Do(rq)
	if err != nil {
		cl.rc.line("client: %s %s at %s: no answer after %d ms", method, id, address, time.Since(sent).Milliseconds())
		return 0, nil
	}
	defer func() { _ = rsp.Body.Close() }()
	raw, err := io.ReadAll(rsp.Body)
	if err != nil {
		return 0, nil
	}
	cl.rc.line("client: %s %s at %s: %d %s after %d ms", method, id, address, rsp.StatusCode, raw, time.Since(sent).Milliseconds())
	return rsp.StatusCode, raw
}

// submit submits a job, at another entry again while it gets no answer, 502 or 504, and reports whether it was accepted.
func (cl *client) submit(entries []*entry, id string, jb *jobJSON) bool {
	for try := range 5 {
		switch status, _ := cl.call(context.Background(), http.MethodPost, entries[(int(id[len(id)-1])+try)%len(entries)].callers, id, jb); status {
		case http.StatusOK:
			return true
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
		default:
			return false
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// state returns a job's state, "410" if it is unknown and an empty text without an answer.
func (cl *client) state(entries []*entry, id string) string {
	for _, en := range entries {
		status, raw := cl.call(context.Background(), http.MethodGet, en.callers, id, nil)
		var body struct {
			State string `json:"state"`
		}
		switch {
		case status == http.StatusGone:
			return "410"
		case status == http.StatusOK && json.Unmarshal(raw, &body) == nil:
			return body.State
		}
	}
	return ""
}
