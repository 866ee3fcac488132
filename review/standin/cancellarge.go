//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// cancelLarge submits a job of many small tasks, which one minion can hold, and waits until most of them run. As the trouble, the job is cancelled. Each of its tasks must then be gone in time; the minions answer as from their zones.
func cancelLarge(rc *recorder, program, dir string, trouble bool) ([]string, error) {
	const (
		minions     = 9
		tasks       = 1500
		cpu         = 20
		cancelTime  = 3000 * time.Millisecond
		stopTimeout = 200 * time.Millisecond
		watchFor    = 12 * time.Second
		id          = "cccc000000000001"
	)
	dp, err := newZonedDeployment(rc, program, dir, minions, 3, trouble)
	if err != nil {
		return nil, err
	}
	defer dp.close()
	stop := dp.sendSmallJobs(500 * time.Millisecond)
	defer stop()
	time.Sleep(3 * time.Second)
	jb := &jobJSON{Spec: fmt.Sprintf("work-ms=60000 cpu=%d", cpu), Steps: []stepJSON{{Count: tasks, CPU: cpu, Memory: 20, EstimatedMS: 60000}}}
	if !dp.cl.submit(dp.entries, id, jb) {
		return nil, fmt.Errorf("the job wasn't accepted")
	}
	for begin := time.Now(); dp.fl.runningOf(id) < tasks; time.Sleep(20 * time.Millisecond) {
		if time.Since(begin) > 40*time.Second {
			return nil, fmt.Errorf("%d of %d tasks run", dp.fl.runningOf(id), tasks)
		}
	}
	for _, mn := range dp.fl.minions {
		mn.mu.Lock()
		if len(mn.lf.running) > 0 {
			rc.say("minion %s holds %d runs", mn.id, len(mn.lf.running))
		}
		mn.mu.Unlock()
	}
	time.Sleep(2 * time.Second)
	if !trouble {
		time.Sleep(watchFor)
		return nil, nil
	}
	status, _ := dp.cl.call(context.Background(), http.MethodDelete, dp.entries[0].callers, id, nil)
	if status != http.StatusOK {
		return nil, fmt.Errorf("the cancellation was answered with %d", status)
	}
	acknowledged := time.Now()
	late, gone := 0, time.Duration(0)
	for time.Since(acknowledged) < watchFor {
		running := dp.fl.runningOf(id)
		if since := time.Since(acknowledged); running == 0 && gone == 0 {
			gone = since
		} else if running > 0 && since > cancelTime+stopTimeout && late == 0 {
			late = running
			rc.say("%d tasks run %d ms after the acknowledgement of the cancellation", running, since.Milliseconds())
		}
		time.Sleep(10 * time.Millisecond)
	}
	rc.say("the last task was gone %d ms after the acknowledgement of the cancellation", gone.Milliseconds())
	if late > 0 {
		return []string{fmt.Sprintf("UNASKED: %d tasks of a cancelled job run on over %v after its cancellation was acknowledged; the last one was gone after %d ms", late, cancelTime+stopTimeout, gone.Milliseconds())}, nil
	}
	return nil, nil
}
