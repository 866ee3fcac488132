package main

import (
	"fmt"
	"strings"
	"time"
)

// The rack with all minions of crashingMinions loses power crashCount times, fewer than the queue's max_attempts: first some time after the job has begun, then each time that it has been back for a while.
const (
	crashCount  = 3
	crashAfter  = 600 * time.Millisecond
	crashDown   = 2000 * time.Millisecond
	crashUp     = 1000 * time.Millisecond
	watchedFor  = 15 * time.Second
	lastingJob  = "00c0ffee00000001"
	lastingSize = 4
)

// crashingMinions hands in a job that lasts, with one task for each minion. The minions crash, and are back. LOST: a job that nobody has cancelled is shown as failed, though no run of it has ended failed.
func crashingMinions(pl *platform, trouble bool) ([]string, error) {
	lasts := func(string) (time.Duration, string) { return 0, "" }
	for range lastingSize {
		if _, err := pl.addMinion("rack-1", lasts); err != nil {
			return nil, err
		}
	}
	if err := pl.begin(); err != nil {
		return nil, err
	}
	if err := pl.submit(lastingJob, []map[string]any{{
		"count": lastingSize, "cpu": 2700, "mem_mb": 4800, "estimated_ms": 900, "long_running": true, "anti_affinity": 1,
	}}); err != nil {
		return nil, err
	}
	time.Sleep(crashAfter)
	for range crashCount {
		if !trouble {
			break
		}
		for _, mn := range pl.minions {
			mn.crash()
		}
		time.Sleep(crashDown)
		for _, mn := range pl.minions {
			if err := mn.begin(); err != nil {
				return nil, err
			}
		}
		time.Sleep(crashUp)
	}
	time.Sleep(watchedFor)
	return pl.lostJob()
}

// lostJob asks each entry for the lasting job, and says what breaks LOST.
func (pl *platform) lostJob() ([]string, error) {
	failed, under := 0, 0
	for index := range lastingSize {
		task := fmt.Sprintf("%s.0.0.%d", lastingJob, index)
		failed += pl.rec.endsOf(task, "failed")
		if pl.rec.runs(task) > 0 {
			under++
		}
	}
	pl.rec.log("%d ends failed; %d of %d tasks run now", failed, under, lastingSize)
	var said []string
	for _, en := range pl.entries {
		status, state := pl.state(en, lastingJob)
		if status == 200 && (state == "failed" || state == "cancelled") {
			said = append(said, fmt.Sprintf("%s (%s)", state, en.name))
		}
	}
	if len(said) == 0 || failed > 0 {
		return nil, nil
	}
	return []string{"LOST: nobody has cancelled the job and no run of it has ended failed, but it is shown as " + strings.Join(said, ", ")}, nil
}
