//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// latePolls makes a share of the polls of a minion get no answer, to be carried out late.
type latePolls struct {
	mn    *minion
	rd    *rand.Rand
	share float64

	mu    sync.Mutex
	late  int
	calls int
}

// judge decides the fate of a call to the minion.
func (lp *latePolls) judge(path string, od *orderJSON) fate {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	lp.calls++
	if path != "/hold" || lp.rd.Float64() >= lp.share {
		return fate{}
	}
	if od.LastSeen > 0 {
		lp.late++
	}
	return fate{late: minLate + time.Duration(lp.rd.Int64N(int64(maxLate-minLate)))}
}

// delayPolls makes a share of the polls of all minions late for some time, and returns the ones of the minion that has most of them.
func (fl *fleet) delayPolls(seed uint64, share float64, lateFor time.Duration) *latePolls {
	list := make([]*latePolls, len(fl.minions))
	for at, mn := range fl.minions {
		list[at] = &latePolls{mn: mn, rd: rand.New(rand.NewPCG(seed, uint64(at))), share: share}
		mn.mu.Lock()
		mn.judge = list[at].judge
		mn.mu.Unlock()
	}
	time.Sleep(lateFor)
	most := list[0]
	for _, lp := range list {
		lp.mn.mu.Lock()
		lp.mn.judge = nil
		lp.mn.mu.Unlock()
		if lp.late > most.late {
			most = lp
		}
	}
	return most
}

// latePoll submits jobs that keep all minions busy. As the trouble, a share of the polls gets no answer and is carried out late; meanwhile the minion with most of them crashes and starts again under its id. No task that is done may start again.
func latePoll(rc *recorder, program, dir string, trouble bool) ([]string, error) {
	const (
		minions  = 9
		interval = 50 * time.Millisecond
		before   = 8 * time.Second
		lateFor  = 6000 * time.Millisecond
		downFor  = time.Second
		watchFor = 15 * time.Second
		share    = 0.4
	)
	dp, err := newDeployment(rc, program, dir, minions, 3, trouble)
	if err != nil {
		return nil, err
	}
	defer dp.close()
	// Some 36 tasks run at once, of which a minion holds five.
	jb := &jobJSON{Spec: "work-ms=300 cpu=6000", Steps: []stepJSON{{Count: 6, CPU: 6000, Memory: 100, EstimatedMS: 300}}}
	stop := dp.sendJobs(jb, interval)
	defer stop()
	time.Sleep(before)
	if trouble {
		seed := uint64(time.Now().UnixNano())
		lp := dp.fl.delayPolls(seed, share, lateFor)
		mn := lp.mn
		rc.say("seed %d: of %d calls to minion %s %d polls that acknowledge ends get no answer", seed, lp.calls, mn.id, lp.late)
		mn.crash()
		time.Sleep(downFor)
		mn.restart()
	}
	time.Sleep(watchFor)
	dp.fl.mu.Lock()
	defer dp.fl.mu.Unlock()
	return dp.fl.violations, nil
}

// silentLateStart is like lateStart, but the minion crashes at once and is cut off from the owner when it starts again.
func silentLateStart(rc *recorder, program, dir string, trouble bool) ([]string, error) {
	const (
		minions  = 9
		downFor  = 7 * time.Second
		cutFor   = 12 * time.Second
		late     = 11500 * time.Millisecond
		watchFor = 12 * time.Second
		id       = "eeee000000000001"
	)
	dp, err := newDeployment(rc, program, dir, minions, 3, trouble)
	if err != nil {
		return nil, err
	}
	defer dp.close()
	stop := dp.sendSmallJobs(200 * time.Millisecond)
	defer stop()
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
		for begin := time.Now(); hs.minion() == nil; time.Sleep(time.Millisecond) {
			if time.Since(begin) > 5*time.Second {
				return nil, fmt.Errorf("no start was sent")
			}
		}
		mn := hs.minion()
		begin := time.Now()
		mn.crash()
		time.Sleep(downFor)
		mn.mu.Lock()
		mn.judge = func(string, *orderJSON) fate { return fate{silent: true} }
		mn.mu.Unlock()
		rc.line("minion %s is cut off", mn.id)
		mn.restart()
		time.AfterFunc(cutFor, func() {
			mn.mu.Lock()
			mn.judge = nil
			mn.mu.Unlock()
			rc.line("minion %s is reached again", mn.id)
		})
		time.Sleep(late - time.Since(begin))
		if err := hs.deliver(rc); err != nil {
			return nil, err
		}
	}
	time.Sleep(watchFor)
	rc.say("the job is %q", dp.cl.state(dp.entries, id))
	dp.fl.mu.Lock()
	defer dp.fl.mu.Unlock()
	return dp.fl.violations, nil
}
