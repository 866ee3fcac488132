//go:build review

package main

import (
	"fmt"
	"strings"
	"time"
)

// crashLoop submits a sound job whose tasks last, and three others whose tasks last and leave no room on a minion for a second one of their step. As the trouble, the tasks of these three fail some time after each of their starts. Later each task of the sound job fails once, one after the other: it must be started again, since nearly all of the service is free.
func crashLoop(rc *recorder, program, dir string, trouble bool) ([]string, error) {
	const (
		minions  = 9
		faulty   = 3
		failAt   = 25 * time.Second
		failEach = 2 * time.Second
		watchFor = 40 * time.Second
		cpu      = 1000
		// restartLimit and idleLimit are the rule's: a lasting task must have something running later than restartLimit after its last run, and may not lack it for idleLimit then.
		restartLimit = 6 * time.Second
		idleLimit    = 3 * time.Second
		sound        = "eeee000000000010"
	)
	dp, err := newDeployment(rc, program, dir, minions, 3, trouble)
	if err != nil {
		return nil, err
	}
	defer dp.close()
	lasting := func(spec string) *jobJSON {
		return &jobJSON{Spec: spec, Steps: []stepJSON{{Count: minions, CPU: cpu, Memory: 100, EstimatedMS: 700, LongRunning: true, MissAllowance: 1, AntiAffinity: 1}}}
	}
	if !dp.cl.submit(dp.entries, sound, lasting("lasts cpu=1000")) {
		return nil, fmt.Errorf("the sound job wasn't accepted")
	}
	time.Sleep(3 * time.Second)
	spec := "lasts cpu=1000"
	if trouble {
		spec += " fails-after-ms=800"
	}
	for number := range faulty {
		if !dp.cl.submit(dp.entries, fmt.Sprintf("eeee0000000000%d", 20+number), lasting(spec)) {
			return nil, fmt.Errorf("a job wasn't accepted")
		}
	}
	begin := time.Now()
	for index := range minions {
		dp.fl.failLater(fmt.Sprintf("%s.0.0.%d", sound, index), begin.Add(failAt+time.Duration(index)*failEach))
	}
	longest, mostCPU := map[string]time.Duration{}, int64(0)
	for time.Since(begin) < failAt+watchFor {
		time.Sleep(20 * time.Millisecond)
		dp.fl.mu.Lock()
		mostCPU = max(mostCPU, dp.fl.cpu)
		for index := range minions {
			task := fmt.Sprintf("%s.0.0.%d", sound, index)
			if since, ok := dp.fl.lastEnd[task]; ok && len(dp.fl.runningOn[task]) == 0 {
				longest[task] = max(longest[task], time.Since(since))
			}
		}
		dp.fl.mu.Unlock()
	}
	if mostCPU*2 >= minions*minionCPU {
		return nil, fmt.Errorf("half of the service is in use")
	}
	var broken []string
	for index := range minions {
		task := fmt.Sprintf("%s.0.0.%d", sound, index)
		rc.say("task %s had nothing running for %d ms after it failed", task, longest[task].Milliseconds())
		if longest[task] > restartLimit+idleLimit {
			broken = append(broken, fmt.Sprintf("LOST: %s, a task that lasts, has had nothing running for %d ms after its last run, while at most %d of %d thousandths of a core were in use",
				task, longest[task].Milliseconds(), mostCPU, minions*minionCPU))
		}
	}
	return broken, nil
}

// failLater makes the run of a task that goes on at a time fail then.
func (fl *fleet) failLater(task string, at time.Time) {
	time.AfterFunc(time.Until(at), func() {
		for _, mn := range fl.minions {
			mn.mu.Lock()
			for name, rn := range mn.lf.running {
				if rn.task == task {
					fl.rc.line("minion %s: %s fails", mn.id, name)
					rn.failsAfter = time.Nanosecond
				}
			}
			mn.mu.Unlock()
		}
	})
}

// reads from the words of a spec how long after its start a run fails.
func failsAfter(spec string) time.Duration {
	for _, word := range strings.Fields(spec) {
		var ms int
		if _, err := fmt.Sscanf(word, "fails-after-ms=%d", &ms); err == nil {
			return time.Duration(ms) * time.Millisecond
		}
	}
	return 0
}
