//go:build review

package main

import (
	"fmt"
	"time"
)

// manyEnds submits jobs of many small tasks, of which a minion holds some hundreds at once. As the trouble, the owner of scheduling is killed when the tasks of the fullest minion begin to end, so that more ends wait there than one answer lists. No task that is done may start again.
func manyEnds(rc *recorder, program, dir string, trouble bool) ([]string, error) {
	const (
		minions  = 9
		jobs     = 4
		tasks    = 300
		workMS   = 6000
		cpu      = 40
		most     = 600
		killAge  = 5900 * time.Millisecond
		downFor  = 3500 * time.Millisecond
		watchFor = 20 * time.Second
	)
	dp, err := newDeployment(rc, program, dir, minions, 3, trouble)
	if err != nil {
		return nil, err
	}
	defer dp.close()
	time.Sleep(3 * time.Second)
	jb := &jobJSON{Spec: fmt.Sprintf("work-ms=%d cpu=%d", workMS, cpu), Steps: []stepJSON{{Count: tasks, CPU: cpu, Memory: 40, EstimatedMS: workMS}}}
	var ids []string
	for number := range jobs {
		id := fmt.Sprintf("dddd%012d", number)
		if !dp.cl.submit(dp.entries, id, jb) {
			return nil, fmt.Errorf("a job wasn't accepted")
		}
		ids = append(ids, id)
	}
	begin := time.Now()
	for {
		mn, running, oldest := dp.fl.fullest()
		if running >= most && oldest >= killAge {
			rc.say("minion %s holds %d runs, the oldest for %d ms", mn.id, running, oldest.Milliseconds())
			break
		}
		if time.Since(begin) > 30*time.Second {
			return nil, fmt.Errorf("no minion holds %d runs", most)
		}
		time.Sleep(5 * time.Millisecond)
	}
	if trouble {
		en := dp.owner()
		if en == nil {
			return nil, fmt.Errorf("no owner")
		}
		en.kill(downFor)
	}
	time.Sleep(watchFor)
	for _, id := range ids {
		rc.say("job %s is %q", id, dp.cl.state(dp.entries, id))
	}
	dp.fl.mu.Lock()
	defer dp.fl.mu.Unlock()
	rc.say("%d runs listed at once at most; %d violations", dp.fl.mostEnds, len(dp.fl.violations))
	return summary(dp.fl.violations), nil
}

// fullest returns the minion with the most runs, their number and the age of the oldest.
func (fl *fleet) fullest() (best *minion, running int, oldest time.Duration) {
	for _, mn := range fl.minions {
		mn.mu.Lock()
		if len(mn.lf.running) > running {
			best, running, oldest = mn, len(mn.lf.running), 0
			for _, rn := range mn.lf.running {
				oldest = max(oldest, time.Since(rn.begun))
			}
		}
		mn.mu.Unlock()
	}
	return best, running, oldest
}

// summary returns the first violations and the number of all.
func summary(violations []string) []string {
	const named = 5
	if len(violations) <= named {
		return violations
	}
	return append(append([]string{}, violations[:named]...), fmt.Sprintf("%d violations in all", len(violations)))
}
