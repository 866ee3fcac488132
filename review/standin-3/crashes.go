package main

import (
	"errors"
	"time"
)

const (
	// crashAfter is how long after a start the minion crashes, downFor how long it is down.
	crashAfter = 60 * time.Millisecond
	downFor    = 500 * time.Millisecond
	maxCrashes = 3
)

// playCrashes lets the minion crash on which the task of a job has just been started, three times. No run ends as failed, so the job must not be shown as failed.
func playCrashes(wd *world) (string, error) {
	jb := &job{id: "00000000000000a1", prefix: prefixPlain, spec: "spec-a1", steps: []step{{Count: 1, CPU: 1000, Memory: 100, EstimateMS: 1000}}, behave: worksFor(1000)}
	crashes := 0
	wd.fl.onStart = func(mn *minion, _ runKey) {
		if wd.trouble && crashes < maxCrashes {
			crashes++
			time.AfterFunc(crashAfter, func() { wd.fl.crash(mn, downFor) })
		}
	}
	if !wd.submit(jb) {
		return "", errors.New("the job wasn't accepted")
	}
	for until := time.Now().Add(40 * time.Second); time.Now().Before(until); time.Sleep(time.Second) {
		_, state := wd.state(jb, wd.entries[0])
		switch state {
		case "failed":
			return "the job is shown as failed, though none of its runs has ended as failed", nil
		case "completed":
			return "", nil
		}
	}
	return "the job isn't completed 40 s after it was accepted", nil
}
