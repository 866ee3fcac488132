package jobcontrol_test

import (
	"fmt"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/jobcontrol"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/taskname"
)

// historyAttempts is how often a task may fail.
const historyAttempts = 3

// violation is a limit that a history broke.
type violation struct {
	rule   string
	atMS   int64
	detail string
}

// trueRun is a run on a VM, as the VM itself sees it.
type trueRun struct {
	ht   *host
	task string
	run  int64
	nm   taskname.Name
	st   *workpb.Step
}

// trueEnd is the end of a run that counts once the owner has acknowledged it, unless the VM's lease lapsed before.
type trueEnd struct {
	ht      *host
	number  int64
	task    string
	end     workpb.End
	atMS    int64
	lapsed  bool
	counted bool
}

// checks holds what runs and has run on the VMs.
type checks struct {
	violations []violation
	running    map[string]*trueRun
	ends       []*trueEnd
	endNumbers map[*host]int64
	lastStart  map[string]int64
	// cancelKnown is when the owner heard of a cancellation.
	cancelKnown map[string]int64
	starts      int
}

func newChecks() checks {
	return checks{running: map[string]*trueRun{}, endNumbers: map[*host]int64{}, lastStart: map[string]int64{}, cancelKnown: map[string]int64{}}
}

func (hs *history) report(rule, format string, args ...any) {
	hs.violations = append(hs.violations, violation{rule: rule, atMS: hs.ck.Now() - historyStartMS, detail: fmt.Sprintf(format, args...)})
}

func (hs *history) stepOf(task string) (*workpb.Step, taskname.Name) {
	nm, err := taskname.Parse(task)
	if err != nil {
		panic(err)
	}
	return hs.jobs[nm.Job()].GetSteps()[nm.Step()], nm
}

func (hs *history) lasts(id string) bool {
	for _, st := range hs.jobs[id].GetSteps() {
		if st.GetLasting() {
			return true
		}
	}
	return false
}

// record is called by the VMs at the start and the end of each run.
func (hs *history) record(ht *host, task string, run int64, started bool, end workpb.End) {
	key := fmt.Sprintf("%s/%s/%d", ht.vm.GetId(), task, run)
	if !started {
		delete(hs.running, key)
		hs.endNumbers[ht]++
		hs.ends = append(hs.ends, &trueEnd{ht: ht, number: hs.endNumbers[ht], task: task, end: end, atMS: hs.ck.Now()})
		return
	}
	st, nm := hs.stepOf(task)
	tr := &trueRun{ht: ht, task: task, run: run, nm: nm, st: st}
	hs.starts++
	hs.checkPlace(tr)
	hs.checkCounts(tr)
	hs.checkTask(tr)
	hs.running[key] = tr
	hs.lastStart[task] = hs.ck.Now()
}

func (tr *trueRun) String() string {
	return fmt.Sprintf("%s run %d on %s", tr.task, tr.run, tr.ht.vm.GetId())
}

// unknowable reports whether the VM's present incarnation began after the order was sent, or the owner couldn't know of it yet.
func (hs *history) unknowable(ht *host) bool {
	return hs.executing.incarnation != ht.incarnation || hs.executing.known != ht.incarnation
}

func (hs *history) checkPlace(tr *trueRun) {
	if hs.unknowable(tr.ht) {
		return
	}
	if !hs.services[tr.ht.vm.GetService()] {
		hs.report("service", "%s, whose service is %s", tr, tr.ht.vm.GetService())
	}
	if label := tr.st.GetLabel(); label != "" && !contains(tr.ht.vm.GetLabels(), label) {
		hs.report("label", "%s, which lacks %s", tr, label)
	}
}

func contains(list []string, text string) bool {
	for _, one := range list {
		if one == text {
			return true
		}
	}
	return false
}

func (hs *history) checkCounts(tr *trueRun) {
	beside, cpu, teamCPU := 0, tr.st.GetCpuMilli(), int64(0)
	for _, other := range hs.running {
		teamCPU += other.st.GetCpuMilli()
		if other.ht != tr.ht {
			continue
		}
		cpu += other.st.GetCpuMilli()
		if other.nm.Job() == tr.nm.Job() && other.nm.Occurrence() == tr.nm.Occurrence() && other.nm.Step() == tr.nm.Step() {
			beside++
		}
	}
	if limit := int(tr.st.GetMaxPerVm()); limit > 0 && beside >= limit {
		hs.report("limit-per-vm", "%s is started beside %d others of its step, limit %d", tr, beside, limit)
	}
	if !hs.unknowable(tr.ht) && cpu > tr.ht.vm.GetCpuMilli() {
		hs.report("capacity", "%s takes its VM to %d of %d", tr, cpu, tr.ht.vm.GetCpuMilli())
	}
	if teamCPU > hs.pl.capCPU*11/10 {
		hs.report("team-cap", "%s starts while its team uses %d of %d", tr, teamCPU, hs.pl.capCPU)
	}
}

func (hs *history) checkTask(tr *trueRun) {
	for _, other := range hs.running {
		if other.task == tr.task && !tr.st.GetDuplicates() {
			hs.report("twice", "%s beside %s", tr, other)
		}
		if other.task == tr.task && other.ht.cut {
			hs.events["second-run-on-silent-vm"]++
		}
	}
	// An order that is executed by the VM's next incarnation may be older than the end of its task.
	if hs.executing.incarnation == tr.ht.incarnation && !tr.st.GetLasting() && !tr.st.GetGang() && !tr.st.GetDuplicates() {
		hs.checkEnded(tr)
	}
	hs.checkOrder(tr)
	if knownMS, ok := hs.cancelKnown[tr.nm.Job()]; ok && hs.executing.sentMS > knownMS {
		hs.report("cancelled", "%s is ordered at %d, after its job's cancellation", tr, hs.executing.sentMS-historyStartMS)
	}
}

// checkEnded checks that a task isn't started after it was done or has failed too often.
func (hs *history) checkEnded(tr *trueRun) {
	failed := 0
	for _, te := range hs.ends {
		if te.task != tr.task || !te.counted {
			continue
		}
		switch te.end {
		case workpb.End_END_DONE:
			hs.report("done", "%s starts after it was done on %s at %d", tr, te.ht.vm.GetId(), te.atMS-historyStartMS)
		case workpb.End_END_FAILED:
			failed++
		default:
		}
	}
	if failed >= historyAttempts {
		hs.report("attempts", "%s starts after %d failures", tr, failed)
	}
}

// checkOrder checks that a task starts when each task of the steps before has been done.
func (hs *history) checkOrder(tr *trueRun) {
	for _, before := range tr.st.GetAfter() {
		steps := hs.jobs[tr.nm.Job()].GetSteps()
		if steps[before].GetLasting() {
			continue
		}
		for index := range int(steps[before].GetCount()) {
			name := taskname.New(tr.nm.Job(), tr.nm.Occurrence(), int(before), index).String()
			if !hs.wasDone(name) && !steps[before].GetGang() {
				hs.report("order", "%s starts before %s is done", tr, name)
			}
		}
	}
}

func (hs *history) wasDone(task string) bool {
	for _, te := range hs.ends {
		if te.task == task && te.end == workpb.End_END_DONE {
			return true
		}
	}
	return false
}

// noteAcknowledged records that the owner has acknowledged a VM's ends up to a number.
func (hs *history) noteAcknowledged(ht *host, number int64) {
	for _, te := range hs.ends {
		if te.ht != ht || te.number > number || te.counted || te.lapsed {
			continue
		}
		te.counted = true
		st, nm := hs.stepOf(te.task)
		repeated := hs.lastStart[te.task] > te.atMS
		if te.end == workpb.End_END_DONE && repeated && !st.GetLasting() && !st.GetGang() && !st.GetDuplicates() && nm.Job() != "" {
			hs.report("done", "%s was started again after it was done on %s at %d", te.task, ht.vm.GetId(), te.atMS-historyStartMS)
		}
	}
}

// noteLapsedLeases marks the ends of the VMs whose lease has lapsed: such an end doesn't count if it is acknowledged later.
func (hs *history) noteLapsedLeases() {
	for _, te := range hs.ends {
		if !te.counted && te.ht.wk.ClockMS() >= te.ht.wk.LeaseUntilMS() {
			te.lapsed = true
		}
	}
}

// forgetEnds drops the ends of an incarnation that has ended, which nobody can acknowledge any more.
func (hs *history) forgetEnds(ht *host) {
	hs.endNumbers[ht] = 0
	for _, te := range hs.ends {
		if te.ht == ht && !te.counted {
			te.lapsed = true
		}
	}
}

// checkAccounts checks that what the owner counts agrees with the runs that it knows.
func (hs *history) checkAccounts() {
	if wrong := jobcontrol.Accounts(hs.ct); wrong != "" {
		hs.report("accounts", "%s", wrong)
	}
}

// checkEnd checks that no job is stuck once all faults are over; long-running tasks may leave no room for others.
func (hs *history) checkEnd() {
	for _, id := range sortedKeys(hs.jobs) {
		if hs.lasts(id) {
			return
		}
	}
	for _, id := range sortedKeys(hs.jobs) {
		if !hs.final(id) && hs.placeable(id) && len(hs.violations) == 0 {
			hs.report("stuck", "%s is %s at the end", id, hs.stored.state(id))
		}
	}
}

// placeable reports whether the VMs that are left can hold each step of a job.
func (hs *history) placeable(id string) bool {
	for _, st := range hs.jobs[id].GetSteps() {
		room := int64(0)
		for _, ht := range hs.hosts {
			if ht.gone || ht.vm.GetService() != hs.service || (st.GetLabel() != "" && !contains(ht.vm.GetLabels(), st.GetLabel())) {
				continue
			}
			fits := ht.vm.GetCpuMilli() / st.GetCpuMilli()
			if limit := int64(st.GetMaxPerVm()); limit > 0 {
				fits = min(fits, limit)
			}
			room += fits
		}
		need := int64(1)
		if st.GetGang() {
			need = int64(st.GetCount())
		}
		if room < need || need*st.GetCpuMilli() > hs.pl.capCPU {
			return false
		}
	}
	return true
}
