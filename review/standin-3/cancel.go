package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	// lateTime is how long after it was sent an unanswered write is performed, leaveAfter when the client gives its submission up.
	lateTime   = 5 * time.Second
	leaveAfter = 900 * time.Millisecond
	// cancelTime is the bound cancel_ms.
	cancelTime = 3 * time.Second
	// firstStepMS is how long the first step works, after which the second one begins.
	firstStepMS = 4000
)

// loseWritesOf leaves an entry's writes of a job's row unanswered; the store performs them late if their conditions still hold.
func (wd *world) loseWritesOf(ep *entryProcess, jb *job) {
	var ga gate = func(_ http.ResponseWriter, rq *http.Request) bool {
		if rq.URL.Path != "/rows-tx" {
			return true
		}
		raw, err := io.ReadAll(rq.Body)
		if err != nil {
			return false
		}
		rq.Body = io.NopCloser(bytes.NewReader(raw))
		var tx transaction
		if json.Unmarshal(raw, &tx) != nil || !slices.ContainsFunc(tx.Puts, func(rw row) bool { return rw.Key == jb.id }) {
			return true
		}
		wd.fl.note("store: a write of %s by %s gets no answer", jb.id, ep.name)
		time.AfterFunc(lateTime, func() {
			_, _, ok := wd.st.commit(tx)
			wd.fl.note("store: that write is performed late, its condition holds: %v", ok)
		})
		<-rq.Context().Done()
		return false
	}
	ep.trouble.Store(&ga)
}

// playCancel hands a job in at an entry whose writes of it get no answer, gives the call up and cancels the job at another entry. No task may start later than cancelTime after the answer to that.
func playCancel(wd *world) (string, error) {
	jb := &job{id: "00000000000000c1", prefix: prefixPlain, spec: "spec-c1", behave: worksFor(firstStepMS), steps: []step{{Count: 1, CPU: 1000, Memory: 100, EstimateMS: firstStepMS}, {Count: 1, CPU: 1000, Memory: 100, EstimateMS: firstStepMS, After: []int{0}}}}
	owner := wd.owner()
	others := slices.DeleteFunc(slices.Clone(wd.entries), func(ep *entryProcess) bool { return ep == owner })
	if len(others) < 2 {
		return "", errors.New("expected two entries that don't own scheduling")
	}
	first, second := others[0], others[1]
	wd.fl.mu.Lock()
	wd.fl.jobs[jb.id] = jb
	wd.fl.mu.Unlock()
	if wd.trouble {
		wd.loseWritesOf(first, jb)
	}
	status, _ := first.call(http.MethodPost, jb.prefix+jb.id, jb.body(), leaveAfter)
	wd.fl.note("client: POST %s at %s: %d (0: the client has left after %v)", jb.id, first.name, status, leaveAfter)
	if !wd.cancel(jb, second) {
		return "", errors.New("the cancellation wasn't acknowledged")
	}
	acknowledged := time.Now()
	time.Sleep(cancelTime + lateTime + 2*firstStepMS*time.Millisecond)
	wd.state(jb, second)
	return wd.startedAfter(jb, acknowledged), nil
}

// startedAfter returns which task of a cancelled job was started too late after the answer to its cancellation, empty if none was.
func (wd *world) startedAfter(jb *job, acknowledged time.Time) string {
	wd.fl.mu.Lock()
	defer wd.fl.mu.Unlock()
	for _, sr := range wd.fl.seen {
		after := sr.from.Sub(acknowledged)
		if strings.HasPrefix(sr.task, jb.id+".") && after > cancelTime {
			return fmt.Sprintf("task %s was started %v after the answer to the job's cancellation", sr.task, after.Round(time.Millisecond))
		}
	}
	return ""
}
