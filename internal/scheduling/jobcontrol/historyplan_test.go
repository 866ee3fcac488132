package jobcontrol_test

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

// faultKind is a kind of disturbance in a random history.
type faultKind string

const (
	lostAnswers    faultKind = "lost-answers"
	lateOrders     faultKind = "late-orders"
	lostOrders     faultKind = "lost-orders"
	slowAnswers    faultKind = "slow-answers"
	lostPolls      faultKind = "lost-polls"
	slowCommits    faultKind = "slow-commits"
	staleLists     faultKind = "stale-lists"
	silentVM       faultKind = "silent-vm"
	restartedVM    faultKind = "restarted-vm"
	changedVM      faultKind = "changed-vm"
	replacedVM     faultKind = "replaced-vm"
	leavingVM      faultKind = "leaving-vm"
	unregisteredVM faultKind = "unregistered-vm"
	newOwner       faultKind = "new-owner"
	cancelledJob   faultKind = "cancelled-job"
	repeatedJob    faultKind = "repeated-job"
	changedQueue   faultKind = "changed-queue"
)

// faultKinds lists the kinds by how often they are drawn.
var faultKinds = []faultKind{
	lostAnswers, lateOrders, lateOrders, lostOrders, slowAnswers, lostPolls, lostPolls, slowCommits, staleLists, silentVM, silentVM,
	restartedVM, restartedVM, changedVM, replacedVM, leavingVM, unregisteredVM, newOwner, newOwner, cancelledJob, repeatedJob, changedQueue,
}

// fault is one disturbance; target is the number of the VM or job concerned, share the percentage of calls.
type fault struct {
	kind   faultKind
	atMS   int64
	forMS  int64
	target int
	share  int64
}

func (ft fault) String() string {
	return fmt.Sprintf("%s at %d for %d target %d share %d", ft.kind, ft.atMS, ft.forMS, ft.target, ft.share)
}

// plannedJob is a job that is submitted at a time.
type plannedJob struct {
	atMS int64
	row  *workpb.Job
}

// historyPlan is what a seed draws: the VMs, the jobs and the faults.
type historyPlan struct {
	seed   uint64
	vms    []*workpb.VM
	jobs   []plannedJob
	faults []fault
	capCPU int64
	// maxWorkMS bounds how long runs take.
	maxWorkMS int64
	// paced is set if VMs and tasks differ in speed, and the rules let what is learned of that decide.
	paced bool
	// restarts is set if VMs restart while starts are under way; longWorkMS then bounds how long the planned jobs' runs take, and agesMS is how long each VM has run when the next one begins, or the history.
	restarts   bool
	longWorkMS int64
	agesMS     []int64
}

const (
	maxHistoryVMs    = 4
	maxHistoryJobs   = 4
	maxHistoryFaults = 8
	// faultSpanMS is the time in which faults begin, maxFaultMS how long they last at most.
	faultSpanMS = 7000
	maxFaultMS  = 5000
	jobSpanMS   = 5000
)

func drawPlan(seed uint64) *historyPlan {
	rg := rand.New(rand.NewPCG(seed, seed))
	pl := &historyPlan{seed: seed, maxWorkMS: 300 + rg.Int64N(4000), capCPU: 8000 + 4000*rg.Int64N(8)}
	for at := range 2 + rg.IntN(maxHistoryVMs-1) {
		pl.vms = append(pl.vms, drawVM(rg, fmt.Sprintf("v%d", at), "s"))
	}
	for at := range 1 + rg.IntN(maxHistoryJobs) {
		pl.jobs = append(pl.jobs, drawJob(rg, at))
	}
	for range 1 + rg.IntN(maxHistoryFaults) {
		pl.faults = append(pl.faults, fault{
			kind: faultKinds[rg.IntN(len(faultKinds))], atMS: rg.Int64N(faultSpanMS), forMS: 20 + rg.Int64N(maxFaultMS),
			target: rg.IntN(maxHistoryVMs), share: 10 + rg.Int64N(90),
		})
	}
	pl.drawOperatorFaults()
	return pl
}

// drawPacedPlan draws a plan whose VMs and tasks differ in speed.
func drawPacedPlan(seed uint64) *historyPlan {
	pl := drawPlan(seed)
	pl.paced = true
	for _, pj := range pl.jobs {
		for _, st := range pj.row.GetSteps() {
			if !st.GetGang() && !st.GetLasting() {
				// A task is compared with at least two siblings.
				st.Count += minSiblings
				st.Duplicates = st.GetDuplicates() || st.GetCount()%2 == 0
			}
		}
	}
	return pl
}

func drawVM(rg *rand.Rand, id, service string) *workpb.VM {
	labels := []string{"a"}
	if rg.IntN(3) == 0 {
		labels = []string{"a", "b"}
	}
	return &workpb.VM{
		Id: id, Service: service, Address: "at-" + id, Machine: "m-" + id, Zone: "z", CpuMilli: 8000, MemoryMb: 8000, Labels: labels, Rack: "r1",
	}
}

func drawJob(rg *rand.Rand, number int) plannedJob {
	jb := &workpb.Job{Id: fmt.Sprintf("j%d", number), Queue: "q", Team: "t"}
	if rg.IntN(6) == 0 {
		jb.Occurrences, jb.FirstDueMs, jb.PeriodMs = 2, historyStartMS+rg.Int64N(jobSpanMS), 500+rg.Int64N(2000)
	}
	for at := range 1 + rg.IntN(2) {
		st := drawStep(rg)
		if at > 0 {
			st.After = []int32{int32(at - 1)}
		}
		jb.Steps = append(jb.Steps, st)
	}
	return plannedJob{atMS: rg.Int64N(jobSpanMS), row: jb}
}

func drawStep(rg *rand.Rand) *workpb.Step {
	st := &workpb.Step{Count: 1 + rg.Int32N(5), CpuMilli: 1000 + 1000*rg.Int64N(3), MemoryMb: 100, EstimateMs: 200 + rg.Int64N(3000)}
	st.MaxPerVm = rg.Int32N(3)
	st.Duplicates = rg.IntN(2) == 0
	if rg.IntN(5) == 0 {
		st.Label = "b"
	}
	switch rg.IntN(8) {
	case 0:
		st.Gang, st.Duplicates = true, false
	case 1:
		st.Lasting, st.Duplicates = true, false
	}
	return st
}

// without returns the plan without one of its faults or jobs; the number counts faults first. It returns nil if there is nothing of this number.
func (pl *historyPlan) without(number int) *historyPlan {
	out := *pl
	switch {
	case number < len(pl.faults):
		out.faults = slices.Delete(slices.Clone(pl.faults), number, number+1)
	case number-len(pl.faults) < len(pl.jobs) && len(pl.jobs) > 1:
		at := number - len(pl.faults)
		out.jobs = slices.Delete(slices.Clone(pl.jobs), at, at+1)
	default:
		return nil
	}
	return &out
}

// shrink removes faults and jobs as long as the history still breaks the same rule.
func (pl *historyPlan) shrink(rule string) *historyPlan {
	for number := 0; ; {
		smaller := pl.without(number)
		if smaller == nil {
			return pl
		}
		if breaks(smaller, rule) {
			pl, number = smaller, 0
			continue
		}
		number++
	}
}

func breaks(pl *historyPlan, rule string) bool {
	hs := newHistory(pl)
	hs.run()
	return slices.ContainsFunc(hs.violations, func(vi violation) bool { return vi.rule == rule })
}
