package main

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// The jobs of backlog: schedules whose times lie in the past, and small jobs beside them.
const (
	schedules    = 30
	times        = 20_000
	fewTimes     = 20
	interval     = 4 * time.Second
	begunBefore  = 24 * time.Hour
	smallEvery   = 500 * time.Millisecond
	smallFor     = 30 * time.Second
	finish       = 14 * time.Second
	judgedFor    = 5 * time.Second
	judgedEvery  = 50 * time.Millisecond
	backlogHosts = 9
	smallTasks   = 4
	smallCPU     = 1000
	twice        = 2
	scheduleCPU  = 1800

	// Ids of the jobs begin with these.
	schedulePrefix = "5ced"
	largePrefix    = "1a46"
	smallPrefix    = "5a11"
)

// backlog hands in jobs with many times, all of which are due, and small jobs for some time. LOST: 14 s after the end of the traffic a small job has nothing running for 5 s (3 would do), though there is capacity for it twice over, no cap, and less than half of the service's capacity is in use all the while.
func backlog(pl *platform, trouble bool) ([]string, error) {
	work := func(string) (time.Duration, string) { return 800 * time.Millisecond, "done" }
	for range backlogHosts {
		if _, err := pl.addMinion("rack-1", work); err != nil {
			return nil, err
		}
	}
	if err := pl.begin(); err != nil {
		return nil, err
	}
	count := times
	if !trouble {
		count = fewTimes
	}
	for at := range schedules {
		status, _ := pl.call(pl.entries[at%entries], "POST", fmt.Sprintf("%s%s0000%08x", prefix, schedulePrefix, at), map[string]any{
			"spec": "scheduled", "steps": []map[string]any{{"count": 1, "cpu": scheduleCPU, "mem_mb": 2500, "estimated_ms": 800}},
			"repeat_count": count, "start_at_ms": time.Now().Add(-begunBefore).UnixMilli(), "interval_ms": interval.Milliseconds(),
		})
		if status != 200 {
			pl.rec.log("schedule %d isn't accepted", at)
		}
	}
	return pl.smallJobs(), nil
}

// The large jobs of largeJobs: a hundredth of their tasks with TROUBLE=0.
const (
	largeCount = 3
	largeTasks = 20_000
	largeCPU   = 2
	largeTakes = 30 * time.Second
	fewer      = 100
)

// largeJobs hands in jobs with many small tasks, which take less than half of the service's capacity in all, and small jobs for some time. LOST as with backlog.
func largeJobs(pl *platform, trouble bool) ([]string, error) {
	work := func(task string) (time.Duration, string) {
		if strings.HasPrefix(task, largePrefix) {
			return largeTakes, "done"
		}
		return 800 * time.Millisecond, "done"
	}
	for range backlogHosts {
		if _, err := pl.addMinion("rack-1", work); err != nil {
			return nil, err
		}
	}
	if err := pl.begin(); err != nil {
		return nil, err
	}
	count := largeTasks
	if !trouble {
		count /= fewer
	}
	for at := range largeCount {
		status, _ := pl.call(pl.entries[at%entries], "POST", fmt.Sprintf("%s%s0000%08x", prefix, largePrefix, at), map[string]any{
			"spec": "large", "steps": []map[string]any{{"count": count, "cpu": largeCPU, "mem_mb": 1, "estimated_ms": largeTakes.Milliseconds()}},
		})
		if status != 200 {
			pl.rec.log("large job %d isn't accepted", at)
		}
	}
	return pl.smallJobs(), nil
}

// smallJobs hands in small jobs for some time, waits for finish and says what breaks LOST.
func (pl *platform) smallJobs() []string {
	var accepted []string
	for begin := time.Now(); time.Since(begin) < smallFor; time.Sleep(smallEvery) {
		id := fmt.Sprintf("%s0000%08x", smallPrefix, len(accepted))
		status, _ := pl.call(pl.entries[len(accepted)%entries], "POST", prefix+id, map[string]any{
			"spec": "small", "steps": []map[string]any{{"count": smallTasks, "cpu": smallCPU, "mem_mb": 1000, "estimated_ms": 800}},
		})
		if status == 200 {
			accepted = append(accepted, id)
		}
	}
	time.Sleep(finish)
	idle := pl.idleJobs(accepted)
	pl.rec.log("%d of %d accepted small jobs have had nothing running for %v beside free capacity", len(idle), len(accepted), judgedFor)
	pl.rec.log("%d runs were started in all; most memory of an entry: %s", pl.rec.totalStarts(), pl.mostMemory())
	var lost []string
	for at, id := range idle {
		if _, state := pl.state(pl.entries[at%entries], id); state == "queued" || state == "running" {
			lost = append(lost, id)
		}
	}
	if len(lost) == 0 {
		return nil
	}
	return []string{fmt.Sprintf("LOST: %d of %d accepted small jobs have nothing running for %v, and the service has room", len(lost), len(accepted), judgedFor)}
}

// idleJobs watches the minions and returns the jobs of which nothing runs all the while; none if there isn't capacity for one of them twice over, or half of the service's capacity is in use.
func (pl *platform) idleJobs(ids []string) []string {
	seen := map[string]bool{}
	for begin := time.Now(); time.Since(begin) < judgedFor; time.Sleep(judgedEvery) {
		used, room := int64(0), int64(0)
		for _, mn := range pl.minions {
			mn.mu.Lock()
			own := int64(0)
			for task := range mn.running {
				seen[strings.SplitN(task, ".", 2)[0]] = true
				own += taskCPU(task)
			}
			used += own
			room += (mn.cpu - own) / smallCPU
			mn.mu.Unlock()
		}
		if used*2 >= int64(len(pl.minions))*pl.minions[0].cpu || room < twice*smallTasks {
			return nil
		}
	}
	var out []string
	for _, id := range ids {
		if !seen[id] {
			out = append(out, id)
		}
	}
	return out
}

// taskCPU returns what a task of backlog or largeJobs takes.
func taskCPU(task string) int64 {
	switch {
	case strings.HasPrefix(task, schedulePrefix):
		return scheduleCPU
	case strings.HasPrefix(task, largePrefix):
		return largeCPU
	default:
		return smallCPU
	}
}

// mostMemory returns the largest memory that one of the entries has had, as the kernel counts it.
func (pl *platform) mostMemory() string {
	most := 0
	for _, en := range pl.entries {
		raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", en.cmd.Process.Pid))
		for _, line := range strings.Split(string(raw), "\n") {
			kb := 0
			if _, err := fmt.Sscanf(line, "VmHWM: %d kB", &kb); err == nil {
				most = max(most, kb)
			}
		}
	}
	return fmt.Sprintf("%d MB", most/1024)
}
