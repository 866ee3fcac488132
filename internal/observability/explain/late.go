package explain

import (
	"fmt"
	"maps"
	"slices"

	"github.com/fulmarloft/fulmarloft/internal/observability/logline"
)

// whyLate says how long the job took and what delayed it.
func (ex *Explanation) whyLate() []string {
	if !ex.sub.isJob {
		return []string{"No line says that a job with this id was accepted."}
	}
	out := []string{ex.duration()}
	causes := slices.Concat(ex.ownerChanges(), ex.storeFailures(), ex.silentVMs(), ex.countedRuns())
	if len(causes) > 0 {
		return append(out, causes...)
	}
	return append(out, "No line names a delay, so the job waited for room or ran that long.", ex.poolsSized())
}

// duration says how long the job took.
func (ex *Explanation) duration() string {
	ended := ex.own(func(ln logline.Line) bool { return ends[ln.Event()] })
	if len(ended) == 0 {
		return fmt.Sprintf("The job had not ended %s after it was accepted, when the logs end.", seconds(ex.endMS-ex.startMS))
	}
	ms := ended[0].Int("age-ms")
	if ms == 0 {
		ms = ended[0].atMS - ex.startMS
	}
	return fmt.Sprintf("The job ended (%s) %s after it was accepted.", ended[0].Event(), seconds(ms))
}

// losses are the events with which an owner stops to schedule, failures those of what it tried in vain.
var (
	losses   = map[string]bool{"scheduling-ended": true, "scheduling-lost": true, "ownership-released": true, "ownership-yielded": true}
	failures = map[string]bool{"commit-failed": true, "renewal-failed": true, "restore-read-failed": true}
)

// owner is what lines tell of an owner of scheduling.
type owner struct {
	entry string
	token int64
	// lastMS is the time of its last logged decision.
	lastMS    int64
	lost      bool
	restarted bool
}

// ownerChanges says which owners followed each other while the job ran, and how long no decision was logged between them.
func (ex *Explanation) ownerChanges() []string {
	var out []string
	ow := owner{}
	for _, ln := range ex.lines {
		if ln.atMS > ex.endMS {
			break
		}
		if ln.Event() == "scheduling-started" {
			if ln.atMS >= ex.startMS {
				out = append(out, ex.ownerChange(ow, ln))
			}
			ow = owner{entry: ln.Entry(), token: ln.Int("token"), lastMS: ln.atMS}
			continue
		}
		ow.follow(ln)
	}
	if ow.lost {
		out = append(out, fmt.Sprintf("Owner %s stopped %s before the end, and no other had begun by then.", ow.entry, seconds(ex.endMS-ow.lastMS)))
	}
	return out
}

// follow notes an owner's decision, or that it lost the ownership or another took it.
func (ow *owner) follow(ln datedLine) {
	if ln.Event() == "entry-started" && ln.Entry() == ow.entry && !ow.lost {
		ow.restarted = true
	}
	if ow.entry != "" && (ow.restarted || ln.Event() == "ownership-taken") {
		ow.lost = true
	}
	if ow.lost || ln.Entry() != ow.entry || failures[ln.Event()] {
		return
	}
	_, ofVM := ln.Lookup("vm")
	_, ofMachine := ln.Lookup("machine")
	decided := ofVM || ofMachine || ends[ln.Event()] || ln.Event() == "pools-sized"
	ow.lost = losses[ln.Event()] && ln.Int("token") >= ow.token
	if decided || ow.lost {
		ow.lastMS = ln.atMS
	}
}

// ownerChange says who followed an owner, and when.
func (ex *Explanation) ownerChange(before owner, started datedLine) string {
	text := fmt.Sprintf("Entry %s began to schedule; no line tells who did before", started.Entry())
	if before.entry != "" {
		text = fmt.Sprintf("The owner of scheduling changed: %s began %s after the last logged decision of %s", started.Entry(), seconds(started.atMS-before.lastMS), before.entry)
	}
	if before.restarted {
		text += " (which had restarted)"
	}
	for _, st := range ex.steps {
		if st.Event() == "first-start-accepted" && st.Get("token") == started.Get("token") {
			return text + fmt.Sprintf(", and a VM accepted its first start %s later.", seconds(st.atMS-started.atMS))
		}
	}
	return text + "."
}

// storeFailures says for how long the owner could not store its decisions.
func (ex *Explanation) storeFailures() []string {
	var out []string
	for _, st := range ex.steps {
		if st.Event() == "commit-failed" {
			out = append(out, fmt.Sprintf("The owner %s could not store its decisions %s within %s: %s.",
				st.Entry(), times(st.repeats+1), seconds(st.lastMS-shownMS(st.datedLine)), st.Get(logline.ErrorField)))
		}
	}
	return out
}

// silences are the events that end a VM's silence.
var silences = map[string]bool{"vm-answers": true, "vm-ended": true, "vm-leases-expired": true, "vm-restarted": true, "vm-down": true}

// silentVMs says for how long VMs that the job ran on didn't answer.
func (ex *Explanation) silentVMs() []string {
	var out []string
	since := map[string]int64{}
	for _, st := range ex.steps {
		vm := st.Get("vm")
		switch {
		case st.Event() == "vm-silent":
			since[vm] = st.atMS
		case silences[st.Event()]:
			if startMS, silent := since[vm]; silent {
				out = append(out, fmt.Sprintf("VM %s, which the job ran on, did not answer for %s (until %s).", vm, seconds(st.atMS-startMS), st.Event()))
				delete(since, vm)
			}
		}
	}
	for _, vm := range slices.Sorted(maps.Keys(since)) {
		out = append(out, fmt.Sprintf("VM %s, which the job ran on, did not answer for the last %s.", vm, seconds(ex.endMS-since[vm])))
	}
	return out
}

// delays says what runs and starts an event counts.
var delays = map[string]string{
	"start-in-doubt": "Starts without an answer", "start-refused": "Refused starts", "start-withdrawn": "Withdrawn starts", "start-unsent": "Starts that were not sent",
	"start-unadmitted": "Starts stopped on VMs that had changed",
	"run-ended":        "Runs that ended without being done", "run-evacuated": "Runs stopped to empty a machine or zone",
	"run-stalled": "Runs stopped without progress", "run-slow": "Runs moved as they were too slow",
	"second-run-planned": "Second runs beside slow ones", "second-run-yielded": "Second runs stopped as waiting tasks needed the room",
	"slow-run-moved": "Runs moved off slow VMs",
	"run-vanished":   "Runs that their VMs no longer listed", "run-failed": "Runs that failed", "run-failed-late": "Runs that proved to have failed after they had been given up",
	"run-lapsed": "Runs whose leases lapsed", "run-reclaimed": "Runs that had to give way on a short worker", "run-displaced": "Runs displaced by urgent jobs",
}

// countedRuns says how many starts and runs of the job didn't lead to a result.
func (ex *Explanation) countedRuns() []string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(delays)) {
		hits := ex.own(func(ln logline.Line) bool { return ln.Event() == name })
		if len(hits) > 0 {
			out = append(out, fmt.Sprintf("%s: %d (%s).", delays[name], len(hits), name))
		}
	}
	return out
}

// poolsSized says what the last pools-sized line before the job's end holds.
func (ex *Explanation) poolsSized() string {
	for _, ln := range slices.Backward(ex.lines) {
		if ln.Event() == "pools-sized" && ln.atMS <= ex.endMS {
			return "The pools when it ended, each with its machines and the thousandths of a core asked for: " + ln.Get("pools") + "."
		}
	}
	return "No pools-sized line shows how full the pools were."
}
