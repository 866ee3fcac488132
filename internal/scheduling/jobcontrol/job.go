package jobcontrol

import (
	"cmp"
	"slices"

	"github.com/fulmarloft/fulmarloft/internal/configuration/rulesindex"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/intake"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/jobwork"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/size"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/taskname"
)

// job is an accepted job that isn't completed; a failed or cancelled one stays until Forget removes it.
type job struct {
	row         *workpb.Job
	state       workpb.State
	occurrences []*occurrence
	// criticalPaths holds for each step the largest sum of estimates along a path of dependent steps from its start to the job's end, in milliseconds.
	criticalPaths []int64
	// longestPathMS is the largest of them.
	longestPathMS int64
	dirty         bool
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
}

type step struct {
	oc       *occurrence
	row      *workpb.Step
	number   int
	tasks    []*task
	done     int
	failures int32
	// failedRun is the number of the gang run whose failure was counted last.
	failedRun int64
	// tickets and refused hold by VM id the VMs that may and may not run the step, on queues whose placement needs advice.
	tickets map[string]ticket
	refused map[string]bool
	// adviceVMs holds the incarnations of the VMs at the last request, for which the tickets in its answer are valid.
	adviceVMs         map[string]int64
	advicePending     bool
	adviceRequestedMS int64
	// paced is set while what was learned of VMs and work decides where the step's tasks run.
	paced bool
	// paceKey names the step where its durations are learned, empty until then.
	paceKey string
}

type task struct {
	st          *step
	index       int
	done        bool
	run         int64
	failures    int32
	crashes     crashes
	checkpoint  string
	notBeforeMS int64
	current     *run
	avoid       []string
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

const (
	singleOccurrence = 1
	// maxOpenTasks bounds the tasks of a job's occurrences that are open at once, since each takes memory: as many as one occurrence may have.
	maxOpenTasks = jobwork.MaxTasks
)

func newJob(row *workpb.Job) *job {
	jb := &job{row: row, state: workpb.State_QUEUED}
	jb.criticalPaths = jobwork.CriticalPaths(row.GetSteps())
	for _, pathMS := range jb.criticalPaths {
		jb.longestPathMS = max(jb.longestPathMS, pathMS)
	}
	return jb
}

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

// openDueOccurrences creates the occurrences that are due, as far as maxOpenTasks allows; the next ones are created when earlier ones have completed.
func (jb *job) openDueOccurrences(nowMS int64) {
	if !jb.nextOccurrenceDue(nowMS) {
		return
	}
	for mayOpen := jb.maxOpenOccurrences() - jb.openOccurrences(); mayOpen > 0 && jb.nextOccurrenceDue(nowMS); mayOpen-- {
		jb.addOccurrence(len(jb.occurrences))
	}
}

// nextOccurrenceDue reports whether the job has an occurrence that isn't created yet and is due.
func (jb *job) nextOccurrenceDue(nowMS int64) bool {
	number := len(jb.occurrences)
	return number < jb.totalOccurrences() && (!jb.scheduled() || jb.dueMS(number) <= nowMS)
}

// maxOpenOccurrences returns how many occurrences of the job may be open at once, at least one.
func (jb *job) maxOpenOccurrences() int {
	tasks := 0
	for _, row := range jb.row.GetSteps() {
		tasks += int(row.GetCount())
	}
	return max(maxOpenTasks/max(tasks, 1), 1)
}

// openOccurrences counts the occurrences that have been created and aren't complete.
func (jb *job) openOccurrences() int {
	count := 0
	for _, oc := range jb.occurrences {
		if !oc.complete() {
			count++
		}
	}
	return count
}

func (jb *job) addOccurrence(number int) {
	oc := &occurrence{jb: jb, number: number, dueMS: jb.dueMS(number)}
	for at, row := range jb.row.GetSteps() {
		st := &step{oc: oc, row: row, number: at}
		for index := range int(row.GetCount()) {
			st.tasks = append(st.tasks, &task{st: st, index: index})
		}
		oc.steps = append(oc.steps, st)
	}
	jb.occurrences = append(jb.occurrences, oc)
}

// storedTask returns the task of a name in stored progress, or nil if there is none; it creates the occurrences up to the name's, which an earlier owner had opened.
func (jb *job) storedTask(nm taskname.Name) *task {
	if nm.Occurrence() < len(jb.occurrences)+jb.maxOpenOccurrences() {
		for nm.Occurrence() >= len(jb.occurrences) && len(jb.occurrences) < jb.totalOccurrences() {
			jb.addOccurrence(len(jb.occurrences))
		}
	}
	return jb.task(nm)
}

// task returns the task of a name, or nil if the job has no such task or its occurrence isn't open yet.
func (jb *job) task(nm taskname.Name) *task {
	if min(nm.Occurrence(), nm.Step(), nm.Index()) < 0 {
		return nil
	}
	if nm.Occurrence() >= len(jb.occurrences) || nm.Step() >= len(jb.row.GetSteps()) {
		return nil
	}
	st := jb.occurrences[nm.Occurrence()].steps[nm.Step()]
	if nm.Index() >= len(st.tasks) {
		return nil
	}
	return st.tasks[nm.Index()]
}

// complete reports whether all tasks of all occurrences are done.
func (jb *job) complete() bool {
	if len(jb.occurrences) < jb.totalOccurrences() {
		return false
	}
	return jb.openOccurrences() == 0
}

// complete reports whether all tasks of the occurrence are done.
func (oc *occurrence) complete() bool {
	return !slices.ContainsFunc(oc.steps, func(st *step) bool { return st.done < len(st.tasks) })
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

// eachTask calls fn for each task of the opened occurrences.
func (jb *job) eachTask(fn func(*task)) {
	for _, oc := range jb.occurrences {
		for _, st := range oc.steps {
			for _, tk := range st.tasks {
				fn(tk)
			}
		}
	}
}

// progress returns the job's progress as it is stored.
func (jb *job) progress() *workpb.Progress {
	pg := &workpb.Progress{Id: jb.row.GetId(), State: jb.state}
	if jb.state == workpb.State_COMPLETED {
		return pg
	}
	hosts := map[string]int32{}
	jb.eachTask(func(tk *task) {
		row := tk.progressRow()
		if row == nil {
			return
		}
		if row.GetPhase() == workpb.Phase_INTENDED {
			row.Host = addHost(pg, hosts, tk.current.vm.reg)
		}
		for number, rn := range tk.replaced {
			row.Replaced = append(row.Replaced, &workpb.EarlierRun{Run: number, Host: addHost(pg, hosts, rn.vm.reg)})
		}
		for number, vm := range tk.givenUp {
			row.GivenUp = append(row.GivenUp, &workpb.EarlierRun{Run: number, Host: addHost(pg, hosts, vm.reg)})
		}
		pg.Tasks = append(pg.Tasks, row)
	})
	return pg
}

// addHost returns the position of a VM in the progress row's hosts, counted from 1, and adds the VM if it isn't there yet. Most tasks of a job share a few VMs.
func addHost(pg *workpb.Progress, hosts map[string]int32, reg *workpb.VM) int32 {
	if at, ok := hosts[reg.GetId()]; ok {
		return at
	}
	pg.Hosts = append(pg.Hosts, &workpb.Host{Vm: reg.GetId(), Machine: reg.GetMachine(), Address: reg.GetAddress(), Zone: reg.GetZone()})
	hosts[reg.GetId()] = int32(len(pg.GetHosts()))
	return hosts[reg.GetId()]
}

// ready reports whether all tasks of the steps that this step depends on are done.
func (st *step) ready() bool {
	for _, before := range st.row.GetAfter() {
		if prev := st.oc.steps[before]; prev.done < len(prev.tasks) {
			return false
		}
	}
	return true
}

// criticalPathMS returns the length of the critical path from the step's start to the end of the job.
func (st *step) criticalPathMS() int64 { return st.oc.jb.criticalPaths[st.number] }

// unavailable counts the tasks that aren't available, leaving one out.
func (st *step) unavailable(except *task) int {
	count := 0
	for _, tk := range st.tasks {
		if tk != except && !tk.available() {
			count++
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

// waiting reports whether the task may be given a run; one whose first run goes on after the end of its second waits for that.
func (tk *task) waiting(nowMS int64) bool {
	return !tk.done && tk.current == nil && tk.notBeforeMS <= nowMS && tk.first() == nil
}

// available reports whether a long-running task is known to serve its users; on an unresponsive VM it may not.
func (tk *task) available() bool {
	return tk.current != nil && !tk.current.vm.unresponsive && tk.current.phase == phaseRunning && tk.current.percent >= fullPercent
}

func (tk *task) progressRow() *workpb.Task {
	if tk.run == 0 {
		return nil
	}
	row := &workpb.Task{
		Occurrence: int32(tk.st.oc.number), Step: int32(tk.st.number), Index: int32(tk.index),
		Run: tk.run, Failures: tk.failures,
	}
	if cr := tk.crashes; cr.probation && !tk.done {
		row.Crashes = &workpb.Crashes{Confirmed: cr.confirmed, Doubtful: cr.doubtful, Blamed: cr.blamed}
	}
	switch {
	case tk.done:
		row.Phase = workpb.Phase_DONE
	case tk.current != nil:
		row.Phase = workpb.Phase_INTENDED
		row.Settled = tk.current.settled
		row.Checkpoint = tk.checkpoint
	default:
		row.Checkpoint = tk.checkpoint
	}
	return row
}

func (tk *task) avoids(vm string) bool { return slices.Contains(tk.avoid, vm) }
