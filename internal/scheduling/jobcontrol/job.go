package jobcontrol

import (
	"slices"

	"github.com/bits-and-blooms/bitset"

	"github.com/fulmarloft/fulmarloft/internal/configuration/rulesindex"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/intake"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/jobwork"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/numberset"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/size"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/taskname"
)

// job is an accepted job that isn't completed; a failed or cancelled one stays until Forget removes it.
type job struct {
	row   *workpb.Job
	state workpb.State
	// occurrences holds the open ones in order of their numbers: those that were created and aren't completed.
	occurrences []*occurrence
	// completed holds the numbers of the completed ones, created is the number of the next one to be created.
	completed numberset.Set
	created   int
	// turnMS is when an occurrence of the job last began, 0 if none has.
	turnMS int64
	// idle is the number of open occurrences of which no task has a run.
	idle int
	// stepOffsets holds for each step the number of the tasks of an occurrence before it, tasks the number of all its tasks.
	stepOffsets []int64
	tasks       int64
	// parts holds the parts of the job's progress that are stored or waiting to be stored, by their numbers.
	parts    map[int64]*progressPart
	outcomes jobOutcomes
	// asideUntilMS is until when the job starts nothing and its progress isn't stored, since the store has refused it.
	asideUntilMS int64
	// criticalPaths holds for each step the largest sum of estimates along a path of dependent steps from its start to the job's end, in milliseconds.
	criticalPaths []int64
	// longestPathMS is the largest of them.
	longestPathMS int64
	// queue is the job's queue under queueRules.
	queue      *workpb.Queue
	queueRules *rulesindex.Index
}

// occurrence is one execution of a job's steps; a scheduled job may have several.
type occurrence struct {
	jb     *job
	number int
	dueMS  int64
	steps  []*step
	// runs is the number of its tasks that have a run.
	runs int
	// begun is set once a task of it was given a run by this owner or an earlier one.
	begun bool
	// turnMS is when its last turn of overdue work ended or, before that, when its job's last one did; turnStarts counts its starts.
	turnMS     int64
	turnStarts int
	// closed is set once the occurrence has completed.
	closed bool
}

type step struct {
	oc     *occurrence
	row    *workpb.Step
	number int
	tasks  stepTasks
	// unassigned holds the indices of the tasks that neither have a run nor are done.
	unassigned *bitset.BitSet
	// hadRun is set once a task had a run.
	hadRun bool
	// onProbation counts the tasks on probation.
	onProbation int
	done        int
	failures    int32
	// failedRun is the number of the gang run whose failure was counted last.
	failedRun int64
	// tickets and refused hold by VM id the VMs that may and may not run the step, on queues whose placement needs advice.
	tickets map[string]ticket
	refused map[string]bool
	// adviceVMs holds the incarnations of the VMs at the last request, for which the tickets in its answer are valid.
	adviceVMs         map[string]int64
	advicePending     bool
	adviceRequestedMS int64
	// placed is a task that had a run when the rack of a colocated step was last looked for, nil if there was none.
	placed *task
	// leavesHalf is set while the step leaves half of the starts that may be under way to others.
	leavesHalf bool
	// paced is set while what was learned of VMs and work decides where the step's tasks run.
	paced bool
	// paceKey names the step where its durations are learned, empty until then.
	paceKey string
}

type task struct {
	st         *step
	index      int
	done       bool
	run        int64
	failures   int32
	crashes    crashes
	checkpoint string
	// checkpointMS is when a VM reported the checkpoint, 0 if an earlier owner heard of it.
	checkpointMS int64
	notBeforeMS  int64
	current      *run
	avoid        []string
	// givenUp holds the runs, with their VMs, that this owner ended without knowing how they ended.
	givenUp map[int64]*vmState
	// replaced holds the runs that were detached so that the task may start elsewhere as well, until they have ended. They are to be stopped, but for the first of two runs that go on beside each other.
	replaced map[int64]*run
	// secondRuns counts the runs of the task that were started beside another.
	secondRuns int
	// firstOnSoundVM is set while the task has a second run beside one on a VM of normal speed.
	firstOnSoundVM bool
	// longMS is how long the task's run would have taken that was moved off a VM of normal speed, 0 if none was.
	longMS int64
	// moves counts the runs of the task that were stopped because their VM was slow by comparison.
	moves int
	// movedOffSlowVM is set once a run of the task was stopped because it was slow.
	movedOffSlowVM bool
}

func newJob(row *workpb.Job) *job {
	jb := &job{row: row, state: workpb.State_QUEUED, parts: map[int64]*progressPart{}}
	jb.criticalPaths = jobwork.CriticalPaths(row.GetSteps())
	for _, pathMS := range jb.criticalPaths {
		jb.longestPathMS = max(jb.longestPathMS, pathMS)
	}
	for _, st := range row.GetSteps() {
		jb.stepOffsets = append(jb.stepOffsets, jb.tasks)
		jb.tasks += int64(st.GetCount())
	}
	return jb
}

// task returns the task of a name, or nil if the job has no such task or its occurrence isn't open.
func (jb *job) task(nm taskname.Name) *task {
	if min(nm.Occurrence(), nm.Step(), nm.Index()) < 0 {
		return nil
	}
	oc := jb.occurrence(nm.Occurrence())
	if oc == nil || nm.Step() >= len(oc.steps) {
		return nil
	}
	st := oc.steps[nm.Step()]
	if nm.Index() >= st.taskCount() {
		return nil
	}
	return st.task(nm.Index())
}

func (jb *job) ended() bool { return intake.Final(jb.state) }

// running reports whether a task of the job has a run, or may have one.
func (jb *job) running() bool {
	found := false
	jb.eachTask(func(tk *task) { found = found || tk.current != nil })
	return found
}

// shortRow returns what is kept of the job's row once it has ended: enough to tell repeated submissions and queries of its state, and to forecast the demand.
func (jb *job) shortRow() *workpb.Job {
	return &workpb.Job{
		Id: jb.row.GetId(), Queue: jb.row.GetQueue(), AcceptedMs: jb.row.GetAcceptedMs(), Occurrences: jb.row.GetOccurrences(),
		Ended: jb.state, WorkCoreMs: jb.workCoreMS(),
	}
}

// workCoreMS returns the estimated work of the job in milliseconds of a core, without long-running steps.
func (jb *job) workCoreMS() int64 {
	if jb.row.GetEnded() != workpb.State_QUEUED {
		return jb.row.GetWorkCoreMs()
	}
	return jobwork.CoreMS(jb.row.GetSteps())
}

// eachTask calls fn for each task of the open occurrences that has a record.
func (jb *job) eachTask(fn func(*task)) {
	for _, oc := range jb.occurrences {
		for _, st := range oc.steps {
			for tk := range st.tasks.recorded() {
				fn(tk)
			}
		}
	}
}

// ready reports whether all tasks of the steps that this step depends on are done.
func (st *step) ready() bool {
	for _, before := range st.row.GetAfter() {
		if prev := st.oc.steps[before]; prev.done < prev.taskCount() {
			return false
		}
	}
	return true
}

// criticalPathMS returns the length of the critical path from the step's start to the end of the job.
func (st *step) criticalPathMS() int64 { return st.oc.jb.criticalPaths[st.number] }

// unavailable counts the tasks that aren't available, leaving one out.
func (st *step) unavailable(except *task) int {
	count := st.taskCount()
	for tk := range st.tasks.recorded() {
		if tk == except || tk.available() {
			count--
		}
	}
	return count
}

// need returns the resources that one task of the step takes on a VM; best-effort tasks take no CPU.
func (st *step) need() size.Size {
	if st.row.GetFills() {
		return size.New(0, st.row.GetMemoryMb(), st.row.GetAccelerators())
	}
	return st.capUse()
}

// capUse returns the resources that one task of the step counts against its team's cap.
func (st *step) capUse() size.Size {
	return size.New(st.row.GetCpuMilli(), st.row.GetMemoryMb(), st.row.GetAccelerators())
}

func (tk *task) name() taskname.Name {
	return taskname.New(tk.st.oc.jb.row.GetId(), tk.st.oc.number, tk.st.number, tk.index)
}

func (tk *task) job() *job { return tk.st.oc.jb }

// setProbation sets whether the task is on probation.
func (tk *task) setProbation(on bool) {
	if tk.crashes.probation == on {
		return
	}
	tk.crashes.probation = on
	if on {
		tk.st.onProbation++
	} else {
		tk.st.onProbation--
	}
}

// assigned returns the number of tasks that have a run or are done.
func (st *step) assigned() int { return st.taskCount() - int(st.unassigned.Count()) }

// setDone records that the task is done.
func (tk *task) setDone() {
	tk.done = true
	tk.st.done++
	tk.st.unassigned.Clear(uint(tk.index))
}

// setCurrent sets the run that the task has, nil for none.
func (tk *task) setCurrent(rn *run) {
	had, has := tk.current != nil, rn != nil
	tk.st.hadRun = tk.st.hadRun || has
	tk.current = rn
	tk.st.unassigned.SetTo(uint(tk.index), !has && !tk.done)
	switch {
	case has && !had:
		tk.st.oc.countRuns(1)
	case had && !has:
		tk.st.oc.countRuns(-1)
	}
}

// waiting reports whether the task may be given a run; one whose first run goes on after the end of its second waits for that.
func (tk *task) waiting(nowMS int64) bool {
	return !tk.done && tk.current == nil && tk.notBeforeMS <= nowMS && tk.first() == nil
}

// available reports whether a long-running task is known to serve its users; on an unresponsive VM it may not.
func (tk *task) available() bool {
	return tk.current != nil && !tk.current.vm.unresponsive && tk.current.phase == phaseRunning && tk.current.percent >= fullPercent
}

func (tk *task) avoids(vm string) bool { return slices.Contains(tk.avoid, vm) }
