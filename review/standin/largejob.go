//go:build review

package main

import (
	"fmt"
	"time"
)

// largeJob submits small jobs all the while and, as the trouble, one job of many tasks among them. Each accepted small job must have something running, and in the end be completed, though half of the service is free.
func largeJob(rc *recorder, program, dir string, trouble bool) ([]string, error) {
	const (
		minions     = 9
		troubleAt   = 5 * time.Second
		trafficFor  = 45 * time.Second
		interval    = 500 * time.Millisecond
		finishAfter = 14 * time.Second
		idleLimit   = 3 * time.Second
		largeTasks  = 8000
		largeID     = "ffff000000000001"
	)
	dp, err := newDeployment(rc, program, dir, minions, 3, trouble)
	if err != nil {
		return nil, err
	}
	defer dp.close()
	dp.fl.quiet = largeID
	large := &jobJSON{Spec: "work-ms=100 cpu=100", Steps: []stepJSON{{Count: largeTasks, CPU: 100, Memory: 10, EstimatedMS: 100}}}
	var accepted []string
	begin := time.Now()
	largeSent := false
	for number := 0; time.Since(begin) < trafficFor; number++ {
		if trouble && !largeSent && time.Since(begin) >= troubleAt {
			largeSent = true
			rc.say("large job of %d tasks accepted: %v", largeTasks, dp.cl.submit(dp.entries, largeID, large))
		}
		id := smallJobID(number)
		if dp.cl.submit(dp.entries, id, smallJob) {
			accepted = append(accepted, id)
		}
		time.Sleep(interval)
	}
	time.Sleep(finishAfter)
	// The last seconds are calm: what waits now has capacity many times over.
	inUse, capacity := dp.fl.cpuInUse(), int64(minions*minionCPU)
	rc.say("%d small jobs accepted; in use %d of %d thousandths of a core; %d runs of the large job begun; %d transactions beyond the store's limits refused",
		len(accepted), inUse, capacity, dp.fl.starts[largeID], dp.st.rejected)
	if inUse*2 >= capacity {
		return nil, fmt.Errorf("half of the service is in use")
	}
	return dp.idleJobs(accepted, idleLimit), nil
}

// idleJobs returns the jobs that aren't completed and have had nothing running for some time, the first ones by name.
func (dp *deployment) idleJobs(accepted []string, idleLimit time.Duration) []string {
	const named = 5
	var broken []string
	idle := 0
	for _, id := range accepted {
		state := dp.cl.state(dp.entries, id)
		dp.fl.mu.Lock()
		last, began := dp.fl.lastRun[id]
		dp.fl.mu.Unlock()
		if state == "completed" || dp.fl.runningOf(id) > 0 || (began && time.Since(last) < idleLimit) {
			continue
		}
		idle++
		if idle <= named {
			broken = append(broken, fmt.Sprintf("LOST: accepted job %s is %q and has had nothing running for over %v", id, state, idleLimit))
		}
	}
	if idle > 0 {
		broken = append(broken, fmt.Sprintf("LOST: %d of %d accepted jobs have nothing running", idle, len(accepted)))
	}
	return broken
}
