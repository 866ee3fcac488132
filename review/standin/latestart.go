//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

// Bounds of the lateness of an order that is carried out late.
const (
	minLate = 2 * time.Second
	maxLate = 12 * time.Second
)

// heldStarts holds the starts of one run that got no answer, until they are carried out.
type heldStarts struct {
	mu     sync.Mutex
	mn     *minion
	orders []*orderJSON
	sent   []time.Time
	others int
}

// hold makes the starts of a task's first run get no answer; all other orders are served. The starts are carried out by deliver.
func (hs *heldStarts) hold(fl *fleet, task string) {
	for _, mn := range fl.minions {
		mn.mu.Lock()
		mn.judge = func(path string, od *orderJSON) fate {
			if path == "/hold" {
				return fate{}
			}
			hs.mu.Lock()
			defer hs.mu.Unlock()
			if path != "/run-start" || od.Task != task || od.Run != 1 {
				hs.others++
				return fate{}
			}
			hs.mn = mn
			hs.orders, hs.sent = append(hs.orders, od), append(hs.sent, time.Now())
			fl.rc.line("minion %s: start of %s run %d gets no answer", mn.id, od.Task, od.Run)
			return fate{silent: true}
		}
		mn.mu.Unlock()
	}
}

func (hs *heldStarts) minion() *minion {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	return hs.mn
}

// deliver carries out the held starts, and returns an error if one isn't as late as late orders are.
func (hs *heldStarts) deliver(rc *recorder) error {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	for at, od := range hs.orders {
		late := time.Since(hs.sent[at])
		if late < minLate || late > maxLate {
			return fmt.Errorf("a start would be carried out after %v", late)
		}
		status, body := hs.mn.execute("/run-start", hs.mn.id, od)
		rc.line("minion %s: start of %s run %d is carried out %d ms late: %d %v", hs.mn.id, od.Task, od.Run, late.Milliseconds(), status, body["reason"])
	}
	return nil
}

// lateStart submits a job whose tasks must run on different minions beside small ones. As the trouble, the starts of the first run of one of its tasks get no answer, and their minion crashes and starts again under its id, where the starts are then carried out late. No two runs of the task may go on at once.
func lateStart(rc *recorder, program, dir string, trouble bool) ([]string, error) {
	const (
		minions  = 9
		interval = 200 * time.Millisecond
		crashAt  = 1500 * time.Millisecond
		downFor  = 3500 * time.Millisecond
		watchFor = 12 * time.Second
		id       = "eeee000000000001"
	)
	dp, err := newDeployment(rc, program, dir, minions, 3, trouble)
	if err != nil {
		return nil, err
	}
	defer dp.close()
	stop := dp.sendSmallJobs(interval)
	time.Sleep(3 * time.Second)
	hs := &heldStarts{}
	if trouble {
		hs.hold(dp.fl, id+".0.0.0")
	}
	large := &jobJSON{Spec: "work-ms=9000 cpu=4000", Steps: []stepJSON{{Count: 3, CPU: 4000, Memory: 1000, EstimatedMS: 9000, AntiAffinity: 1}}}
	if !dp.cl.submit(dp.entries, id, large) {
		return nil, fmt.Errorf("the job wasn't accepted")
	}
	if trouble {
		for begin := time.Now(); hs.minion() == nil; time.Sleep(10 * time.Millisecond) {
			if time.Since(begin) > 5*time.Second {
				return nil, fmt.Errorf("no start was sent")
			}
		}
		time.Sleep(crashAt)
		hs.minion().crash()
		time.Sleep(downFor)
		hs.minion().restart()
		if err := hs.deliver(rc); err != nil {
			return nil, err
		}
		rc.say("%d starts were carried out late, %d other orders were served meanwhile", len(hs.orders), hs.others)
	}
	time.Sleep(watchFor)
	stop()
	rc.say("the job is %q", dp.cl.state(dp.entries, id))
	dp.fl.mu.Lock()
	defer dp.fl.mu.Unlock()
	return dp.fl.violations, nil
}
