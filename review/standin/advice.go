//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// maxAdviceWaiting is how many calls of all machines may wait for advice.
const maxAdviceWaiting = 32

// adviser simulates the advice service, which handles one call at a time for each calling machine, in turn. Calls whose callers have gone when their turn comes take no time.
type adviser struct {
	rc         *recorder
	decision   time.Duration
	perWorker  time.Duration
	validityMS int64

	mu       sync.Mutex
	waiting  int
	turns    map[string]*sync.Mutex
	answered int
	refused  int
	gone     int
	slowest  time.Duration
}

func (ad *adviser) turnOf(rq *http.Request) *sync.Mutex {
	host, _, _ := net.SplitHostPort(rq.RemoteAddr)
	ad.mu.Lock()
	defer ad.mu.Unlock()
	if ad.turns[host] == nil {
		ad.turns[host] = &sync.Mutex{}
	}
	return ad.turns[host]
}

// enter counts a waiting call, and reports whether it may wait.
func (ad *adviser) enter() bool {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	if ad.waiting >= maxAdviceWaiting {
		ad.refused++
		return false
	}
	ad.waiting++
	return true
}

func (ad *adviser) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	var body struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(rq.Body).Decode(&body) != nil || len(body.Workers) > 100 {
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	if !ad.enter() {
		wr.WriteHeader(http.StatusTooManyRequests)
		return
	}
	sent := time.Now()
	turn := ad.turnOf(rq)
	turn.Lock()
	ad.mu.Lock()
	ad.waiting--
	ad.mu.Unlock()
	if rq.Context().Err() != nil {
		turn.Unlock()
		ad.mu.Lock()
		ad.gone++
		ad.mu.Unlock()
		return
	}
	time.Sleep(ad.decision + ad.perWorker*time.Duration(len(body.Workers)))
	turn.Unlock()
	ad.mu.Lock()
	ad.answered++
	ad.slowest = max(ad.slowest, time.Since(sent))
	ad.mu.Unlock()
	good := [][2]string{}
	for _, id := range body.Workers {
		good = append(good, [2]string{id, "ticket-" + id})
	}
	raw, _ := json.Marshal(map[string]any{"good": good, "validity_ms": ad.validityMS})
	wr.Header().Set("Content-Type", "application/json")
	_, _ = wr.Write(raw)
	ad.rc.line("advice: %s on %d minions after %d ms", body.Step, len(body.Workers), time.Since(sent).Milliseconds())
}

// adviceBurst submits jobs on a queue that needs advice and, as the trouble, more of them for some seconds. Long after the traffic, each accepted job must be completed or have something running, as all of the service is free.
func adviceBurst(rc *recorder, program, dir string, trouble bool) ([]string, error) {
	const (
		minions     = 9
		jobsPerS    = 5.0
		burstFactor = 2.6
		burstFor    = 4 * time.Second
		before      = 8 * time.Second
		after       = 10 * time.Second
		finishAfter = 30 * time.Second
		idleLimit   = 3 * time.Second
		decision    = 100 * time.Millisecond
		perWorker   = 5 * time.Millisecond
		validityMS  = 3000
	)
	ad := &adviser{rc: rc, decision: decision, perWorker: perWorker, validityMS: validityMS, turns: map[string]*sync.Mutex{}}
	dp, err := newAdvisedDeployment(rc, program, dir, minions, 3, trouble, ad)
	if err != nil {
		return nil, err
	}
	defer dp.close()
	begin := time.Now()
	var mu sync.Mutex
	var accepted []string
	var calls sync.WaitGroup
	for number := 0; time.Since(begin) < before+burstFor+after; number++ {
		calls.Go(func() {
			if id := smallJobID(number); dp.cl.submit(dp.entries, id, smallJob) {
				mu.Lock()
				accepted = append(accepted, id)
				mu.Unlock()
			}
		})
		rate := jobsPerS
		if since := time.Since(begin); trouble && since >= before && since < before+burstFor {
			rate *= burstFactor
		}
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
	calls.Wait()
	ad.say("at the end of the traffic")
	time.Sleep(finishAfter)
	ad.say(fmt.Sprintf("%v later", finishAfter))
	rc.say("%d jobs accepted; %d thousandths of a core in use of %d", len(accepted), dp.fl.cpuInUse(), minions*minionCPU)
	return dp.idleJobs(accepted, idleLimit), nil
}

// say tells how many calls were made so far.
func (ad *adviser) say(when string) {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	ad.rc.say("advice, %s: %d calls answered, %d refused with 429, %d gone before their turn; the slowest answer took %d ms", when, ad.answered, ad.refused, ad.gone, ad.slowest.Milliseconds())
}
