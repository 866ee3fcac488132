package jobcontrol

import "github.com/fulmarloft/fulmarloft/internal/pb/workpb"

// crashes counts the VMs that crashed under a task.
type crashes struct {
	// confirmed counts those on which the task had certainly started, doubtful those that left its start unanswered.
	confirmed, doubtful int32
	// blamed counts those on which nothing else had started shortly before.
	blamed int32
	// probation is set while each start of the task may crash its VM: it then is the only start there.
	probation bool
}

const (
	// clearedAfterMS is how long a run goes on before its start counts as survived by its VM; it doubles with each VM that crashed under the task.
	clearedAfterMS = 100
	maxDoublings   = 6
	// forgivenAfterMS is how long a run goes on before earlier crashes under its task no longer count.
	forgivenAfterMS = 20_000
	// A task is given up after maxBlamed crashes that no other task can have caused and maxCrashes in all, of which minConfirmed were certainly under it. One more must be blamed on it while VMs of its service also crash by themselves.
	maxBlamed    = 2
	maxCrashes   = 3
	minConfirmed = 2
	// unexplainedMS is for how long a crash that no start explains shows that VMs of the service crash by themselves.
	unexplainedMS = 10_000
	// probationHoldMS is how long a VM takes no other work so that a task on probation can start there.
	probationHoldMS = 1000
)

// clearedMS returns the age at which a run of the task counts as survived by its VM.
func (cr *crashes) clearedMS() int64 {
	return clearedAfterMS << min(cr.confirmed+cr.doubtful, maxDoublings)
}

// deadly reports whether the task is to be given up; unexplained is set while VMs also crash by themselves.
func (cr *crashes) deadly(unexplained bool) bool {
	blamed := cr.blamed
	if unexplained {
		blamed--
	}
	return blamed >= maxBlamed && cr.confirmed >= minConfirmed && cr.confirmed+cr.doubtful >= maxCrashes
}

// startInDoubt reports whether a run may never have begun on its VM.
func (ct *Controller) startInDoubt(rn *run) bool {
	switch rn.phase {
	case phaseOrdered, phaseInDoubt:
		return true
	case phaseStopping:
		return rn.unanswered || ct.ck.Now() < rn.mayStartUntilMS
	default:
		return false
	}
}

// recordCrash counts the crash of a VM that wasn't about to leave against the tasks that ran there, and gives up those that crash each VM. The crash is blamed on a task if only its run hadn't been survived yet; if there are several, each of them is started alone from then on. survived reports the runs that began after the crash.
func (ct *Controller) recordCrash(vm *vmState, survived func(*run) bool) {
	if vm.reg.GetDraining() {
		return
	}
	var suspects []*task
	for _, rn := range vm.runs {
		if rn.phase == phasePlanned || rn.crashed || survived(rn) {
			continue
		}
		rn.crashed = true
		tk := ct.openTask(rn.key.task)
		if tk == nil {
			continue
		}
		if ct.startInDoubt(rn) {
			tk.crashes.doubtful++
		} else {
			tk.crashes.confirmed++
		}
		if !rn.cleared {
			suspects = append(suspects, tk)
		}
	}
	if len(suspects) == 0 && !vm.crashRecorded {
		ct.unexplainedCrashMS[vm.reg.GetService()] = ct.ck.Now()
	}
	vm.crashRecorded = true
	count := countSuspects(suspects)
	for _, tk := range suspects {
		ct.putOnProbation(vm, tk, count)
	}
}

// countSuspects counts tasks, those of a gang as one.
func countSuspects(list []*task) int {
	gangs := map[*step]bool{}
	count := 0
	for _, tk := range list {
		if tk.st.row.GetGang() {
			gangs[tk.st] = true
			continue
		}
		count++
	}
	return count + len(gangs)
}

// crashesUnexplained reports whether a VM of a service has crashed lately though nothing had started there shortly before.
func (ct *Controller) crashesUnexplained(service string) bool {
	atMS, ok := ct.unexplainedCrashMS[service]
	return ok && ct.ck.Now()-atMS < unexplainedMS
}

// lists returns a function that reports the runs that an answer of a VM lists, or may list later.
func lists(lk *workpb.Look) func(*run) bool {
	listed := map[runKey]bool{}
	for _, row := range lk.GetRunning() {
		listed[runKey{row.GetTask(), row.GetRun()}] = true
	}
	for _, row := range lk.GetEnded() {
		listed[runKey{row.GetTask(), row.GetRun()}] = true
	}
	return func(rn *run) bool { return listed[rn.key] || lk.GetMoreEnded() }
}

// putOnProbation handles a crash that one of a number of tasks may have caused.
func (ct *Controller) putOnProbation(vm *vmState, tk *task, suspects int) {
	cr := &tk.crashes
	tk.setProbation(true)
	if suspects == 1 {
		cr.blamed++
	}
	ct.lg.Info("vm-crashed-under-task", "vm", vm.id, "task", tk.name().String(), "suspects", suspects,
		"confirmed", cr.confirmed, "doubtful", cr.doubtful, "blamed", cr.blamed)
	ct.markTask(tk)
	if jb := tk.job(); cr.deadly(ct.crashesUnexplained(vm.reg.GetService())) && !jb.ended() {
		ct.lg.Info("job-given-up", "job", jb.row.GetId(), "task", tk.name().String(), "crashed-vms", cr.confirmed+cr.doubtful, "blamed", cr.blamed)
		ct.end(jb, workpb.State_FAILED)
	}
}

// clearRun records that a run which its VM listed in the answer to a poll sent at sentMS has gone on for long enough.
func (ct *Controller) clearRun(rn *run, sentMS int64) {
	if rn.phase != phaseRunning || rn.task == nil {
		return
	}
	cr, ageMS := &rn.task.crashes, sentMS-rn.startedMS
	if !rn.cleared && ageMS >= cr.clearedMS() {
		rn.setCleared()
		rn.task.setProbation(false)
	}
	if ageMS >= forgivenAfterMS {
		rn.task.setProbation(false)
		*cr = crashes{}
	}
}

// setCleared records that the VM has survived the start of a run.
func (rn *run) setCleared() {
	if rn.cleared {
		return
	}
	rn.cleared = true
	rn.vm.uncleared--
	if rn.onProbation {
		rn.vm.onProbation--
	}
}

// countUncleared counts a run that was added to its VM, or with -1 one that was removed.
func (rn *run) countUncleared(change int) {
	if rn.cleared {
		return
	}
	rn.vm.uncleared += change
	if rn.onProbation {
		rn.vm.onProbation += change
	}
}

// admitsProbation reports whether, by what else has started on the VM lately, a task may start there: one on probation starts alone, and nothing starts beside it until it is cleared. A gang starts as one, however few VMs it has, and waits for no VM on which nothing has started.
func (vm *vmState) admitsProbation(tk *task) bool {
	if tk.crashes.probation && !tk.st.row.GetGang() {
		return vm.uncleared == 0
	}
	if vm.heldForProbation {
		return false
	}
	return vm.onProbation == 0 || tk.st.row.GetGang() && !vm.hasRun(func(rn *run) bool {
		return rn.onProbation && !rn.cleared && rn.st != tk.st
	})
}

// holdForProbation keeps other work from the VM of a pool that will probably be the first to admit a task on probation, unless one is held already.
func (ct *Controller) holdForProbation(tk *task, pool []*vmState, nowMS int64) {
	var best *vmState
	for _, vm := range pool {
		if vm.heldForProbation {
			return
		}
		if vm.onProbation == 0 && tk.st.need().Fits(vm.capacity()) && allowed(tk.st, vm) && (best == nil || len(vm.runs) < len(best.runs)) {
			best = vm
		}
	}
	if best != nil {
		best.heldForProbation, best.heldUntilMS = true, nowMS+probationHoldMS
	}
}

// mayDetach reports whether a task whose VM doesn't answer may start elsewhere before it is known what became of the VM: not if VMs may be crashing under it.
func (rn *run) mayDetach() bool {
	return rn.cleared || !rn.task.crashes.probation && len(rn.task.replaced) == 0
}
