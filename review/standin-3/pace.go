package main

import (
	"errors"
	"fmt"
	"time"
)

const (
	targetMS       = 100
	calmTailMS     = 40
	calmMS         = 20
	interferenceMS = 700
	// contactTime and interferenceTime are the bounds contact_ms and interference_ms.
	contactTime      = 3 * time.Second
	interferenceTime = 4 * time.Second
	minLateTime      = 2 * time.Second
)

// latePace leaves one order on pace unanswered and carries it out late, after a newer one.
type latePace struct {
	od         orderBody
	at         time.Time
	executedAt time.Time
}

// onOrder decides on one order; the fleet's lock is held.
func (lp *latePace) onOrder(mn *minion, path string, od orderBody) bool {
	fl := mn.fl
	if path != "/pace" || mn.interferenceMS != interferenceMS {
		return false
	}
	fl.noteLocked("%s is ordered pace %d for %s run %d", mn.id, od.Percent, od.Task, od.Run)
	switch {
	case lp.at.IsZero() && od.Percent > 0 && od.Percent < 33:
		lp.od, lp.at = od, time.Now()
		fl.noteLocked("%s leaves that order unanswered", mn.id)
		return true
	case !lp.at.IsZero() && lp.executedAt.IsZero() && od.Percent == 0 && time.Since(lp.at) >= minLateTime:
		lp.executedAt = time.Now()
		time.AfterFunc(50*time.Millisecond, func() {
			fl.mu.Lock()
			defer fl.mu.Unlock()
			status, reason := mn.execute(path, lp.od)
			fl.noteLocked("%s carries out the order of pace %d late: %d %s", mn.id, lp.od.Percent, status, reason)
		})
	}
	return false
}

// playPace raises the interference on one minion. One order on pace is carried out after a newer one; the serving task must not stay over its target for long all the same.
func playPace(wd *world) (string, error) {
	fl := wd.fl
	fl.mu.Lock()
	fl.calmTailMS = calmTailMS
	for _, mn := range fl.minions {
		mn.interferenceMS = calmMS
	}
	fl.mu.Unlock()
	serving := &job{id: "00000000000000b1", prefix: prefixPlain, spec: "spec-b1", behave: worksFor(0), steps: []step{{Count: 3, CPU: 2000, Memory: 100, EstimateMS: 900, LongRunning: true, MaxPerMinion: 1, Image: "serves", TargetMS: targetMS}}}
	filling := &job{id: "00000000000000b2", prefix: prefixPlain, spec: "spec-b2", behave: worksFor(0), steps: []step{{Count: 3, CPU: 2000, Memory: 100, EstimateMS: 900, LongRunning: true, MaxPerMinion: 1, Image: "fills", Fills: true}}}
	if !wd.submit(serving) || !wd.submit(filling) {
		return "", errors.New("a job wasn't accepted")
	}
	time.Sleep(6 * time.Second)
	lp := &latePace{}
	fl.mu.Lock()
	if wd.trouble {
		fl.onOrder = lp.onOrder
	}
	mn := fl.minions[0]
	if len(mn.runs) != 2 {
		fl.mu.Unlock()
		return "", fmt.Errorf("%d tasks run on %s, expected one that serves and one that fills", len(mn.runs), mn.id)
	}
	mn.interferenceMS = interferenceMS
	fl.noteLocked("the interference on %s rises", mn.id)
	fl.mu.Unlock()
	return watchTail(wd, mn, lp)
}

// watchTail returns how the rule was broken on a minion, apart from the time near the disruption.
func watchTail(wd *world, mn *minion, lp *latePace) (string, error) {
	var overSince time.Time
	longest := time.Duration(0)
	for until := time.Now().Add(40 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		wd.fl.mu.Lock()
		tail, pace, late := mn.tail(), mn.fillPace(), lp.executedAt
		wd.fl.mu.Unlock()
		if tail <= targetMS || pace == 0 || time.Since(late) < contactTime {
			overSince = time.Time{}
			continue
		}
		if overSince.IsZero() {
			overSince = time.Now()
		}
		longest = max(longest, time.Since(overSince))
	}
	wd.fl.note("longest time over the target: %v", longest.Round(time.Millisecond))
	if wd.trouble && lp.executedAt.IsZero() {
		return "", errors.New("no order on pace was carried out late")
	}
	if longest >= interferenceTime {
		return fmt.Sprintf("the serving task was over its target for %v on end beside a task that fills and works on", longest.Round(time.Millisecond)), nil
	}
	return "", nil
}

// tail returns the tail of the task that serves on a minion, 0 if there is none.
func (mn *minion) tail() int64 {
	for _, rn := range mn.runs {
		if rn.st != nil && rn.st.TargetMS > 0 {
			return rn.gauge()
		}
	}
	return 0
}
