//go:build review

package main

import (
	"fmt"
	"time"
)

// scheduledJob submits small jobs all the while beside one job whose steps run many times. As the trouble, that job has many more occurrences. Each accepted small job must have something running, and in the end be completed, though half of the service is free.
func scheduledJob(rc *recorder, program, dir string, trouble bool) ([]string, error) {
	const (
		minions          = 9
		troubleAt        = 5 * time.Second
		trafficFor       = 50 * time.Second
		interval         = 500 * time.Millisecond
		finishAfter      = 14 * time.Second
		idleLimit        = 3 * time.Second
		tasks            = 6
		occurrences      = 300
		manyOccurrences  = 1500
		occurrenceEvery  = 20
		occurrenceWorkMS = 100
		id               = "ffff000000000002"
	)
	dp, err := newDeployment(rc, program, dir, minions, 3, trouble)
	if err != nil {
		return nil, err
	}
	defer dp.close()
	dp.fl.quiet = id
	scheduled := &jobJSON{
		Spec:        fmt.Sprintf("work-ms=%d cpu=500", occurrenceWorkMS),
		Steps:       []stepJSON{{Count: tasks, CPU: 500, Memory: 10, EstimatedMS: occurrenceWorkMS}},
		RepeatCount: occurrences, IntervalMS: occurrenceEvery,
	}
	if trouble {
		scheduled.RepeatCount = manyOccurrences
	}
	var accepted []string
	begin := time.Now()
	sent := false
	for number := 0; time.Since(begin) < trafficFor; number++ {
		if !sent && time.Since(begin) >= troubleAt {
			sent = true
			scheduled.StartAtMS = time.Now().UnixMilli()
			rc.say("job of %d occurrences of %d tasks accepted: %v", scheduled.RepeatCount, tasks, dp.cl.submit(dp.entries, id, scheduled))
		}
		small := smallJobID(number)
		if dp.cl.submit(dp.entries, small, smallJob) {
			accepted = append(accepted, small)
		}
		time.Sleep(interval)
	}
	time.Sleep(finishAfter)
	inUse, capacity := dp.fl.cpuInUse(), int64(minions*minionCPU)
	rc.say("%d small jobs accepted; in use %d of %d thousandths of a core; %d of %d runs of the scheduled job begun, it is %q; %d transactions beyond the store's limits refused",
		len(accepted), inUse, capacity, dp.fl.starts[id], tasks*scheduled.RepeatCount, dp.cl.state(dp.entries, id), dp.st.rejected)
	if inUse*2 >= capacity {
		return nil, fmt.Errorf("half of the service is in use")
	}
	return dp.idleJobs(append(accepted, id), idleLimit), nil
}
