//go:build review

package main

import (
	"fmt"
	"strings"
	"time"
)

// crashes submits a job whose tasks last, each on a minion of its own and one of which may be away, beside small jobs. As the trouble, the minion on which the first task runs crashes, some times in a row. No stop may end another task that is at work on a sound minion while so many are away, and the job mustn't be shown as failed.
func crashes(rc *recorder, program, dir string, trouble bool) ([]string, error) {
	const (
		minions  = 9
		tasks    = 5
		interval = time.Second
		settle   = 5 * time.Second
		runsFor  = 350 * time.Millisecond
		downFor  = time.Second
		maxTimes = 6
		watchFor = 25 * time.Second
		id       = "eeee000000000002"
	)
	dp, err := newDeployment(rc, program, dir, minions, 3, trouble)
	if err != nil {
		return nil, err
	}
	defer dp.close()
	stop := dp.sendSmallJobs(interval)
	defer stop()
	lasting := &jobJSON{
		Spec:  "lasts cpu=2000",
		Steps: []stepJSON{{Count: tasks, CPU: 2000, Memory: 1000, EstimatedMS: 700, LongRunning: true, MissAllowance: 1, AntiAffinity: 1}},
	}
	if !dp.cl.submit(dp.entries, id, lasting) {
		return nil, fmt.Errorf("the job wasn't accepted")
	}
	time.Sleep(settle)
	times := 0
	for begin := time.Now(); time.Since(begin) < watchFor; time.Sleep(20 * time.Millisecond) {
		mn, ranFor := dp.fl.runningFor(id + ".0.0.0")
		if trouble && mn != nil && ranFor >= runsFor && times < maxTimes {
			times++
			mn.crash()
			time.AfterFunc(downFor, mn.restart)
		}
	}
	state := dp.cl.state(dp.entries, id)
	dp.fl.mu.Lock()
	defer dp.fl.mu.Unlock()
	rc.say("the job is %q after %d crashes of the minion under its first task; %d of its runs ended as failed", state, times, dp.fl.failed[id])
	if state == "failed" {
		rc.say("beside AVAIL, LOST: an accepted job is shown as failed, and no run of it has ended as failed")
	}
	return dp.fl.brokenAvailability(id, 1), nil
}

// runningFor returns the minion on which a task runs and for how long it has, nil if it doesn't run.
func (fl *fleet) runningFor(task string) (*minion, time.Duration) {
	for _, mn := range fl.minions {
		mn.mu.Lock()
		for _, rn := range mn.lf.running {
			if rn.task == task && !mn.down {
				mn.mu.Unlock()
				return mn, time.Since(rn.begun)
			}
		}
		mn.mu.Unlock()
	}
	return nil, 0
}

// stopped is a stop of a task that was at work: the tasks of its job that were at work, and those that an earlier stop had ended and that haven't been at work since.
type stopped struct {
	task string
	away []string
}

// recordStop records a stop of a lasting task that is at work, and which other tasks of its job a stop has ended before; the caller holds the minion's lock.
func (fl *fleet) recordStop(rn *minionRun) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if !rn.lasting || time.Since(rn.begun) < lastingStartup {
		return
	}
	st := stopped{task: rn.task}
	for _, before := range fl.stops {
		if jobOf(before.task) == jobOf(rn.task) && before.task != rn.task {
			st.away = append(st.away, before.task)
		}
	}
	fl.stops = append(fl.stops, st)
	fl.rc.line("stop: %s is at work, and stops have ended %d others of its step", rn.task, len(st.away))
}

// brokenAvailability returns the stops that ended a task of a job that was at work while at least allowed others were away because of stops.
func (fl *fleet) brokenAvailability(job string, allowed int) []string {
	var broken []string
	for _, st := range fl.stops {
		if jobOf(st.task) == job && len(st.away) >= allowed {
			broken = append(broken, fmt.Sprintf("AVAIL: a stop ends %s, which is at work on a sound minion, while %d others of its step were ended by stops (%s), and %d may be away",
				st.task, len(st.away), strings.Join(st.away, " "), allowed))
		}
	}
	return broken
}
