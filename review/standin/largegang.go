//go:build review

package main

import (
	"fmt"
	"time"
)

// largeGang submits small jobs all the while and one gang of tasks, of which a minion can hold some hundreds. As the trouble, the gang has many members. Each accepted job must have something running, and in the end be completed, though half of the service is free.
func largeGang(rc *recorder, program, dir string, trouble bool) ([]string, error) {
	const (
		minions     = 9
		troubleAt   = 5 * time.Second
		trafficFor  = 30 * time.Second
		interval    = 500 * time.Millisecond
		finishAfter = 14 * time.Second
		idleLimit   = 3 * time.Second
		watchFor    = 25 * time.Second
		members     = 150
		manyMembers = 600
		cpu         = 50
		id          = "bbbb000000000001"
	)
	dp, err := newZonedDeployment(rc, program, dir, minions, 3, trouble)
	if err != nil {
		return nil, err
	}
	defer dp.close()
	count := members
	if trouble {
		count = manyMembers
	}
	dp.fl.quiet = id
	jb := &jobJSON{Spec: fmt.Sprintf("work-ms=2000 cpu=%d gang=%d", cpu, count), Steps: []stepJSON{{Count: count, CPU: cpu, Memory: 20, EstimatedMS: 2000, Gang: true}}}
	var accepted []string
	begin := time.Now()
	sent := false
	for number := 0; time.Since(begin) < trafficFor; number++ {
		if !sent && time.Since(begin) >= troubleAt {
			sent = true
			if !dp.cl.submit(dp.entries, id, jb) {
				return nil, fmt.Errorf("the gang wasn't accepted")
			}
			rc.say("gang of %d members accepted", count)
		}
		small := smallJobID(number)
		if dp.cl.submit(dp.entries, small, smallJob) {
			accepted = append(accepted, small)
		}
		time.Sleep(interval)
	}
	time.Sleep(finishAfter)
	// The gang may fail to start again and again; what counts is a span in which nothing of it runs.
	longest := time.Duration(0)
	for begin := time.Now(); time.Since(begin) < watchFor && dp.cl.state(dp.entries, id) != "completed"; time.Sleep(100 * time.Millisecond) {
		dp.fl.mu.Lock()
		if last := dp.fl.lastRun[id]; dp.fl.runningLocked(id) == 0 {
			longest = max(longest, time.Since(last))
		}
		dp.fl.mu.Unlock()
	}
	inUse, capacity := dp.fl.cpuInUse(), int64(minions*minionCPU)
	dp.fl.mu.Lock()
	starts := dp.fl.starts[id]
	dp.fl.mu.Unlock()
	rc.say("%d small jobs accepted; in use %d of %d thousandths of a core; %d starts of the gang's members carried out; it is %q, and had nothing running for %d ms at most later than %v after the traffic",
		len(accepted), inUse, capacity, starts, dp.cl.state(dp.entries, id), longest.Milliseconds(), finishAfter)
	if inUse*2 >= capacity {
		return nil, fmt.Errorf("half of the service is in use")
	}
	broken := dp.idleJobs(accepted, idleLimit)
	if longest > idleLimit {
		broken = append(broken, fmt.Sprintf("LOST: accepted job %s has had nothing running for %d ms, while nearly all of the service was free", id, longest.Milliseconds()))
	}
	return broken, nil
}
