//go:build review

package main

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// gangCheckpoint submits a gang that saves its progress and, as the trouble, crashes one minion while the gang works. All members of its next run must carry the same checkpoint.
func gangCheckpoint(rc *recorder, program, dir string, trouble bool) ([]string, error) {
	const (
		minions   = 9
		members   = 6
		work      = 6 * time.Second
		crashAt   = 2500 * time.Millisecond
		downFor   = 4500 * time.Millisecond
		completed = 60 * time.Second
		id        = "5c0e7a21d94b36f8"
	)
	dp, err := newDeployment(rc, program, dir, minions, 3, trouble)
	if err != nil {
		return nil, err
	}
	defer dp.close()
	jb := &jobJSON{
		Spec:  fmt.Sprintf("work-ms=%d cpu=8000 checkpoints gang=%d", work.Milliseconds(), members),
		Steps: []stepJSON{{Count: members, CPU: 8000, Memory: 1000, EstimatedMS: int(work.Milliseconds()), Checkpoints: true, Gang: true}},
	}
	if !dp.cl.submit(dp.entries, id, jb) {
		return nil, fmt.Errorf("the job wasn't accepted")
	}
	for begin := time.Now(); dp.fl.runningOf(id) < members; time.Sleep(20 * time.Millisecond) {
		if time.Since(begin) > 10*time.Second {
			return nil, fmt.Errorf("the gang didn't begin")
		}
	}
	time.Sleep(crashAt)
	if trouble {
		mn := dp.fl.hostOf(id)
		mn.crash()
		time.AfterFunc(downFor, mn.restart)
	}
	begin := time.Now()
	for time.Since(begin) < completed && dp.cl.state(dp.entries, id) != "completed" {
		time.Sleep(time.Second)
	}
	rc.say("the job is %q", dp.cl.state(dp.entries, id))
	return dp.fl.differentCheckpoints(), nil
}

// hostOf returns the minion on which most runs of a job go on.
func (fl *fleet) hostOf(job string) *minion {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	counts := map[string]int{}
	for task, where := range fl.runningOn {
		for id := range where {
			if jobOf(task) == job {
				counts[id]++
			}
		}
	}
	var best *minion
	for _, mn := range fl.minions {
		if counts[mn.id] > 0 && (best == nil || counts[mn.id] > counts[best.id]) {
			best = mn
		}
	}
	return best
}

// differentCheckpoints returns the runs of gangs whose members were told to start from different checkpoints.
func (fl *fleet) differentCheckpoints() []string {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	values := map[string]map[string]bool{}
	for _, od := range fl.orders {
		name := gangName(od.Task, od.Run)
		if values[name] == nil {
			values[name] = map[string]bool{}
		}
		values[name][fmt.Sprintf("%q", od.Checkpoint)] = true
	}
	var broken []string
	for name, set := range values {
		if len(set) < 2 {
			continue
		}
		var list []string
		for value := range set {
			list = append(list, value)
		}
		sort.Strings(list)
		broken = append(broken, fmt.Sprintf("UNASKED: the members of gang %s are told to start with different checkpoints: %s", name, strings.Join(list, ", ")))
	}
	return broken
}
