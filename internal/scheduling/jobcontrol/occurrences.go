package jobcontrol

import (
	"cmp"
	"slices"

	"github.com/bits-and-blooms/bitset"

	"github.com/fulmarloft/fulmarloft/internal/scheduling/jobwork"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/numberset"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/taskname"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

const (
	singleOccurrence = 1
	// maxOpenTasks bounds the tasks of a job's occurrences that are open at once, since each takes memory: as many as one occurrence may have.
	maxOpenTasks = jobwork.MaxTasks
	// maxIdleTasks bounds the tasks of all scheduled jobs' occurrences that are open while none of their tasks has a run; it is above what can start within a second. Each job may have one such occurrence all the same.
	maxIdleTasks = 4096
	// maxCompletedRanges bounds the ranges of completed occurrences with which another one is created, since they are stored in one row. Those that are open can add no more ranges than maxOpenTasks.
	maxCompletedRanges = 1000
)

// totalOccurrences returns the number of occurrences of the job.
func (jb *job) totalOccurrences() int { return max(int(jb.row.GetOccurrences()), singleOccurrence) }

// scheduled reports whether the job's occurrences have due times.
func (jb *job) scheduled() bool { return jb.row.GetOccurrences() > 0 }

// dueMS returns when an occurrence may start, for a job that runs once the time from which its objective counts: its first attempt, also if that was refused, so that a job that comes back doesn't go ahead of those that can still be in time.
func (jb *job) dueMS(number int) int64 {
	if !jb.scheduled() {
		return cmp.Or(jb.row.GetFirstTriedMs(), jb.row.GetAcceptedMs())
	}
	return jb.row.GetFirstDueMs() + int64(number)*jb.row.GetPeriodMs()
}

// openDueOccurrences creates the occurrences that are due, as far as their limits allow; the next ones are created when earlier ones have got runs or have completed. The tasks of idle occurrences are at most maxIdle, but there may be one such occurrence.
func (jb *job) openDueOccurrences(nowMS int64, maxIdle int) {
	for jb.nextOccurrenceDue(nowMS) && jb.mayOpenIdle(maxIdle) && len(jb.occurrences) < jb.maxOpenOccurrences() && jb.completed.Ranges() < maxCompletedRanges {
		jb.addOccurrence()
	}
}

// mayOpenIdle reports whether one more occurrence of which no task has a run may be open, if these have at most maxIdle tasks in all.
func (jb *job) mayOpenIdle(maxIdle int) bool {
	return jb.idle == 0 || (jb.idle+1)*int(jb.tasks) <= maxIdle
}

// openDueOccurrences creates the occurrences that are due of all jobs, which share what may be idle. Each open occurrence takes memory and is visited by each planning pass, though only as many can start as fit.
func (ct *Controller) openDueOccurrences(nowMS int64) {
	due := 0
	for _, jb := range ct.active {
		if jb.nextOccurrenceDue(nowMS) {
			due++
		}
	}
	for _, jb := range ct.active {
		jb.openDueOccurrences(nowMS, maxIdleTasks/max(due, 1))
	}
}

// nextOccurrenceDue reports whether the job has an occurrence that isn't created yet and is due.
func (jb *job) nextOccurrenceDue(nowMS int64) bool {
	return jb.created < jb.totalOccurrences() && (!jb.scheduled() || jb.dueMS(jb.created) <= nowMS)
}

// maxOpenOccurrences returns how many occurrences of the job may be open at once, at least one.
func (jb *job) maxOpenOccurrences() int { return max(maxOpenTasks/max(int(jb.tasks), 1), 1) }

// addOccurrence creates the next occurrence.
func (jb *job) addOccurrence() {
	oc := &occurrence{jb: jb, number: jb.created, dueMS: jb.dueMS(jb.created)}
	for at, row := range jb.row.GetSteps() {
		st := &step{oc: oc, row: row, number: at, tasks: stepTasks{count: int(row.GetCount())}, unassigned: bitset.New(uint(row.GetCount()))}
		st.unassigned.FlipRange(0, uint(row.GetCount()))
		oc.steps = append(oc.steps, st)
	}
	jb.occurrences = append(jb.occurrences, oc)
	jb.created++
	jb.idle++
}

// countRuns counts the tasks of an occurrence that have a run, and the open occurrences without any.
func (oc *occurrence) countRuns(added int) {
	before := oc.runs
	oc.runs += added
	switch {
	case oc.closed:
	case before == 0:
		oc.jb.idle--
	case oc.runs == 0:
		oc.jb.idle++
	}
}

// occurrence returns the open occurrence of a number, or nil.
func (jb *job) occurrence(number int) *occurrence {
	at, ok := jb.findOccurrence(number)
	if !ok {
		return nil
	}
	return jb.occurrences[at]
}

func (jb *job) findOccurrence(number int) (int, bool) {
	return slices.BinarySearchFunc(jb.occurrences, number, func(oc *occurrence, number int) int { return cmp.Compare(oc.number, number) })
}

// closeOccurrence replaces a completed occurrence by its number, and reports whether it was open.
func (jb *job) closeOccurrence(oc *occurrence) bool {
	at, ok := jb.findOccurrence(oc.number)
	if !ok {
		return false
	}
	jb.occurrences = slices.Delete(jb.occurrences, at, at+1)
	jb.completed.Add(oc.number)
	oc.closed = true
	if oc.runs == 0 {
		jb.idle--
	}
	return true
}

// restoreCompleted takes over the completed occurrences from stored pairs and creates those before the last of them that weren't. It is an error if these are more than may be open.
func (jb *job) restoreCompleted(pairs []int32) error {
	completed, err := numberset.Decode(pairs, jb.totalOccurrences())
	if err != nil {
		return err
	}
	if open := completed.End() - completed.Len(); open > jb.maxOpenOccurrences() {
		return code.BodyBroken.New("%d occurrences are open, at most %d may be", open, jb.maxOpenOccurrences())
	}
	jb.completed, jb.occurrences, jb.idle = *completed, nil, 0
	for jb.created = completed.NextMissing(0); jb.created < completed.End(); jb.created = completed.NextMissing(jb.created) {
		jb.addOccurrence()
	}
	return nil
}

// storedTask returns the task of a name in stored progress, or nil if there is none; it creates the occurrences up to the name's, which an earlier owner had opened.
func (jb *job) storedTask(nm taskname.Name) *task {
	if nm.Occurrence() < jb.created+jb.maxOpenOccurrences() {
		for nm.Occurrence() >= jb.created && jb.created < jb.totalOccurrences() {
			jb.addOccurrence()
		}
	}
	return jb.task(nm)
}

// complete reports whether all tasks of all occurrences are done.
func (jb *job) complete() bool {
	return jb.created >= jb.totalOccurrences() && len(jb.occurrences) == 0
}

// complete reports whether all tasks of the occurrence are done.
func (oc *occurrence) complete() bool {
	return !slices.ContainsFunc(oc.steps, func(st *step) bool { return st.done < st.taskCount() })
}
