package jobcontrol

import (
	"fmt"
	"maps"

	"github.com/fulmarloft/fulmarloft/internal/scheduling/size"
)

// Accounts compares what the controller counts with its runs and tasks, and returns what doesn't agree, empty if all does.
func Accounts(ct *Controller) string {
	starts, teams := 0, map[string]size.Size{}
	for id, vm := range ct.vms {
		unknown, used := 0, size.Size{}
		ofStep, ofVM := map[*step]int{}, 0
		for _, rn := range vm.runs {
			ofStep[rn.st]++
			if rn.st == nil {
				unknown++
			}
			if rn.phase.startUnderWay() {
				starts++
				ofVM++
			}
			if rn.task != nil && rn.task.current != rn {
				return fmt.Sprintf("%s on %s belongs to a task with another run", rn.key.task, id)
			}
			used, teams[rn.team] = used.Plus(rn.need), teams[rn.team].Plus(rn.capUse)
		}
		late, lateUse := map[*step]int{}, map[string]size.Size{}
		for _, rn := range vm.lateStarts {
			late[rn.st]++
			lateUse[rn.team] = lateUse[rn.team].Plus(rn.capUse)
		}
		for team, use := range vm.lateUse {
			if use != lateUse[team] {
				return fmt.Sprintf("the late starts of team %q on %s take %v of %v", team, id, use, lateUse[team])
			}
		}
		if len(vm.lateStarts) > 0 && !ct.lateVMs[vm] {
			return fmt.Sprintf("the late starts of %s don't count", id)
		}
		if !maps.Equal(late, vm.lateOfStep) {
			return fmt.Sprintf("%s counts late starts of %d steps, there are some of %d", id, len(vm.lateOfStep), len(late))
		}
		if ofVM != vm.startsUnderWay {
			return fmt.Sprintf("%d of %d starts under way to %s", vm.startsUnderWay, ofVM, id)
		}
		if !maps.Equal(ofStep, vm.ofStep) {
			return fmt.Sprintf("%s counts runs of %d steps, there are some of %d", id, len(vm.ofStep), len(ofStep))
		}
		if used != vm.used || unknown != vm.unknownRuns {
			return fmt.Sprintf("%s uses %v of %v, %d of %d unknown runs", id, vm.used, used, vm.unknownRuns, unknown)
		}
	}
	for team, used := range ct.used {
		if used != teams[team] {
			return fmt.Sprintf("team %q uses %v of %v", team, used, teams[team])
		}
	}
	for vm := range ct.lateVMs {
		if len(vm.lateStarts) == 0 || ct.vms[vm.id] != vm {
			return fmt.Sprintf("%s counts as a VM with late starts, it has none or is gone", vm.id)
		}
	}
	if starts != ct.startsUnderWay {
		return fmt.Sprintf("%d of %d starts under way", ct.startsUnderWay, starts)
	}
	if job := miscountedJob(ct); job != "" {
		return job + " miscounts its tasks or occurrences without runs"
	}
	return strayTask(ct)
}

// miscountedJob names a job whose number of occurrences without runs is wrong, or is empty.
func miscountedJob(ct *Controller) string {
	for id, jb := range ct.jobs {
		idle := 0
		for _, oc := range jb.occurrences {
			runs := 0
			for _, st := range oc.steps {
				onProbation := 0
				for at := range st.taskCount() {
					tk := st.tasks.peek(at)
					if tk == nil {
						tk = &task{st: st, index: at}
					}
					if tk.current != nil {
						runs++
					}
					if st.unassigned.Test(uint(at)) != (tk.current == nil && !tk.done) || (tk.first() != nil && !st.hadRun) {
						return id
					}
					if tk.crashes.probation {
						onProbation++
					}
				}
				if onProbation != st.onProbation {
					return id
				}
			}
			if runs != oc.runs {
				return id
			}
			if runs == 0 {
				idle++
			}
		}
		if idle != jb.idle {
			return id
		}
	}
	return ""
}

// strayTask names a task whose run isn't on its VM, or is empty.
func strayTask(ct *Controller) string {
	stray := ""
	for _, jb := range ct.jobs {
		jb.eachTask(func(tk *task) {
			if rn := tk.current; rn != nil && (rn.vm.runs[rn.key] != rn || ct.vms[rn.vm.id] != rn.vm) {
				stray = tk.name().String() + " has a run that isn't on its VM"
			}
		})
	}
	return stray
}
