package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// memoryLimitMB is memory_mb of the settings; the platform kills a process that exceeds it and starts it again after restartAfter.
	memoryLimitMB = 284
	restartAfter  = 2 * time.Second
	pageBytes     = 4096
	bytesPerMB    = 1 << 20

	largeJobs = 200
	// largeTasks is the number of tasks of a large job, calmTasks in the run without the disruption.
	largeTasks = 20_000
	calmTasks  = 20
	largeMS    = 1000
	smallMS    = 800
	smallTasks = 4
	smallEvery = 500 * time.Millisecond
	// smallBefore and smallAfter are the numbers of small jobs before and after the large ones.
	smallBefore = 6
	smallAfter  = 60
	// finishTime is the bound finish_s; judgedTime is how long the small jobs are watched then.
	finishTime = 14 * time.Second
	judgedTime = 5 * time.Second
)

// residentMB returns the memory that the process has, 0 if it has ended.
func (ep *entryProcess) residentMB() int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", ep.pid()))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * pageBytes / bytesPerMB
}

// limitMemory does for an entry what the platform does: it kills a process that exceeds its limit and starts it again.
func (wd *world) limitMemory(ep *entryProcess) {
	defer wd.watchers.Done()
	highest := int64(0)
	for at := 0; ; at++ {
		select {
		case <-wd.stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		mb := ep.residentMB()
		highest = max(highest, mb)
		if at%50 == 0 {
			wd.fl.note("platform: %s has %d MB, the most was %d MB", ep.name, mb, highest)
		}
		if mb <= memoryLimitMB {
			continue
		}
		wd.fl.note("platform: %s has %d MB, more than memory_mb of %d, and is killed", ep.name, mb, memoryLimitMB)
		wd.mu.Lock()
		wd.killed++
		wd.mu.Unlock()
		ep.kill()
		select {
		case <-wd.stop:
			return
		case <-time.After(restartAfter):
		}
		if err := ep.start(); err != nil {
			wd.fl.note("platform: %s cannot start again: %v", ep.name, err)
			return
		}
	}
}

// submitSmall hands in a number of small jobs, one after the other.
func (wd *world) submitSmall(from, count int) []*job {
	var small []*job
	for at := range count {
		jb := &job{id: fmt.Sprintf("00000000000d%04x", from+at), prefix: prefixPlain, spec: "spec-small", steps: []step{{Count: smallTasks, CPU: 1000, Memory: 100, EstimateMS: smallMS}}, behave: worksFor(smallMS)}
		small = append(small, jb)
		go wd.submit(jb)
		time.Sleep(smallEvery)
	}
	return small
}

// playBacklog hands in large jobs at once beside small ones that come all the time. After the end of the traffic no small job may be without an answer, or wait on an idle service.
func playBacklog(wd *world) (string, error) {
	for _, ep := range wd.entries {
		wd.watchers.Add(1)
		go wd.limitMemory(ep)
	}
	tasks := largeTasks
	if !wd.trouble {
		tasks = calmTasks
	}
	small := wd.submitSmall(0, smallBefore)
	accepted := 0
	for at := range largeJobs {
		jb := &job{id: fmt.Sprintf("00000000000b%04x", at), prefix: prefixPlain, spec: "spec-large", steps: []step{{Count: tasks, CPU: 1000, Memory: 1, EstimateMS: largeMS}}, behave: worksFor(largeMS)}
		if wd.submit(jb) {
			accepted++
		}
	}
	wd.fl.note("client: %d of %d large jobs were accepted", accepted, largeJobs)
	small = append(small, wd.submitSmall(smallBefore, smallAfter)...)
	time.Sleep(finishTime)
	lost := wd.idleJobs(small)
	wd.mu.Lock()
	defer wd.mu.Unlock()
	wd.fl.note("%d small jobs were accepted, %d of them are lost; processes were killed %d times for their memory", len(wd.accepted)-accepted, lost, wd.killed)
	if lost > 0 {
		return fmt.Sprintf("%d accepted small jobs have no answer, or nothing running for %v on an idle service, %v after the end of the traffic; processes were killed %d times for their memory", lost, judgedTime, finishTime, wd.killed), nil
	}
	return "", nil
}

// idleJobs watches the service for judgedTime and returns how many accepted jobs aren't known to be completed and have had nothing running in that time, 0 if half of the service was ever in use.
func (wd *world) idleJobs(jobs []*job) int {
	from, most := time.Now(), int64(0)
	for time.Since(from) < judgedTime {
		most = max(most, wd.fl.coresInUse())
		time.Sleep(50 * time.Millisecond)
	}
	all := wd.fl.cores()
	wd.fl.note("at most %d of %d thousandths of a core were in use in the last %v", most, all, judgedTime)
	if most*2 >= all {
		return 0
	}
	lost := 0
	for _, jb := range jobs {
		wd.mu.Lock()
		_, accepted := wd.accepted[jb.id]
		wd.mu.Unlock()
		if accepted && !wd.completed(jb) && !wd.fl.ranSince(jb, from) {
			lost++
		}
	}
	return lost
}

// completed reports whether an entry shows the job as completed.
func (wd *world) completed(jb *job) bool {
	for _, ep := range wd.entries {
		status, raw := ep.call(http.MethodGet, jb.prefix+jb.id, "", callTimeout)
		wd.fl.note("client: GET %s at %s: %d %.60s", jb.id, ep.name, status, raw)
		if status == http.StatusOK && strings.Contains(raw, `"completed"`) {
			return true
		}
		if status == http.StatusOK {
			return false
		}
	}
	return false
}

// cores returns the size of all minions in thousandths of a core.
func (fl *fleet) cores() int64 {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	sum := int64(0)
	for _, mn := range fl.minions {
		sum += mn.cpu
	}
	return sum
}

// coresInUse returns the thousandths of a core that runs use.
func (fl *fleet) coresInUse() int64 {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.advance()
	sum := int64(0)
	for _, mn := range fl.minions {
		for _, rn := range mn.runs {
			if rn.st != nil {
				sum += rn.st.CPU
			}
		}
	}
	return sum
}

// ranSince reports whether a task of the job has run at any moment since a time.
func (fl *fleet) ranSince(jb *job, from time.Time) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, sr := range fl.seen {
		if strings.HasPrefix(sr.task, jb.id+".") && (sr.to.IsZero() || sr.to.After(from)) {
			return true
		}
	}
	return false
}
