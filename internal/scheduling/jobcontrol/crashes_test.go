package jobcontrol_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

const (
	// downMS is how long a crashed VM is away.
	downMS = 3000
	// maxStartsOfDeadlyTask is how often a task that crashes its VMs may be started: three VMs may crash under it, and the third start after that is one too many.
	maxStartsOfDeadlyTask = 5
	// deadlyJob begins the ids of jobs whose first task crashes the VMs that start it.
	deadlyJob = "deadly"
)

// crashFleet is a fleet some of whose tasks crash the VMs that start them.
type crashFleet struct {
	*fleet
	// crashing holds the VMs that crash at the next step, downUntilMS when those that did are back.
	crashing    map[string]bool
	downUntilMS map[string]int64
	listedMS    int64
	// lasting is set if the deadly jobs are long-running.
	lasting bool
}

func newCrashFleet(t *testing.T, vms int) *crashFleet {
	var list []*workpb.VM
	for at := range vms {
		list = append(list, hostedVM(fmt.Sprintf("vm%02d", at)))
	}
	cf := &crashFleet{fleet: newFleet(t, list...), crashing: map[string]bool{}, downUntilMS: map[string]int64{}}
	for id, wk := range cf.workers {
		wk.Behave = func(task string, _ int64) (int64, workpb.End) {
			if strings.HasPrefix(task, deadlyJob) && strings.HasSuffix(task, ".0.0") {
				cf.crashing[id] = true
			}
			if cf.lasting && strings.HasPrefix(task, deadlyJob) {
				return 600, workpb.End_END_UNKNOWN
			}
			return 600, workpb.End_END_DONE
		}
	}
	return cf
}

// run runs the fleet, its crashes and the lists of machines for a time.
func (cf *crashFleet) run(forMS int64) {
	for range forMS / stepMS {
		for id := range cf.crashing {
			cf.crash(id)
			cf.downUntilMS[id] = cf.ck.Now() + downMS
		}
		clear(cf.crashing)
		for id, untilMS := range cf.downUntilMS {
			if cf.ck.Now() >= untilMS {
				cf.workers[id].Restart()
				delete(cf.unresponsive, id)
				delete(cf.downUntilMS, id)
				cf.ct.SetVM(proto.Clone(cf.workers[id].VM()).(*workpb.VM))
			}
		}
		if cf.ck.Now()-cf.listedMS >= listIntervalMS {
			cf.listedMS = cf.ck.Now()
			cf.ct.SetMachines(cf.ck.Now(), cf.machinesWithDown())
		}
		cf.fleet.run(stepMS)
	}
}

// deadlyStarts returns how often the most started deadly task was started.
func (cf *crashFleet) deadlyStarts() int {
	most := 0
	for task, count := range cf.starts {
		if strings.HasPrefix(task, deadlyJob) && strings.HasSuffix(task, ".0.0") {
			most = max(most, count)
		}
	}
	return most
}

// A task that crashes the VMs that start it must be given up after a few of them, whatever runs beside it and whoever owns scheduling, and must take no other job with it.
func TestTaskThatCrashesItsVMsIsGivenUp(t *testing.T) {
	for _, tc := range []struct {
		name                    string
		vms, neighbours, deadly int
		duplicates, newOwner    bool
		lasting                 bool
		lostAnswers             int
	}{
		{name: "alone", vms: 12, deadly: 1},
		{name: "beside others", vms: 12, deadly: 1, neighbours: 40},
		{name: "several", vms: 20, deadly: 4, neighbours: 60},
		{name: "copies allowed", vms: 12, deadly: 1, neighbours: 20, duplicates: true},
		{name: "long-running", vms: 12, deadly: 1, neighbours: 20, lasting: true},
		{name: "the owner is replaced", vms: 12, deadly: 1, neighbours: 20, newOwner: true},
		{name: "the VM doesn't answer the start", vms: 12, deadly: 1, neighbours: 20, lostAnswers: 1},
		{name: "a pool of two VMs", vms: 2, deadly: 1, neighbours: 6},
	} {
		t.Run(tc.name, func(t *testing.T) {
			cf := newCrashFleet(t, tc.vms)
			cf.allowDuplicates, cf.lasting = tc.duplicates, tc.lasting
			lost := 0
			cf.loseAnswer = func(od *workpb.Order) bool {
				if !strings.HasPrefix(od.GetTask(), deadlyJob) || od.GetVerb() != workpb.Verb_START || lost >= tc.lostAnswers {
					return false
				}
				lost++
				return true
			}
			for at := range max(tc.neighbours, tc.deadly) {
				if at < tc.deadly {
					st := stepOf(3)
					st.Duplicates, st.Lasting = tc.duplicates, tc.lasting
					cf.submit(jobOf(fmt.Sprintf("%s%d", deadlyJob, at), st))
				}
				if at < tc.neighbours {
					cf.submit(jobOf(fmt.Sprintf("n%d", at), stepOf(4)))
				}
				cf.run(100)
			}
			if tc.newOwner {
				cf.newOwner()
			}
			cf.run(60_000)
			qt.Check(t, cf.deadlyStarts() <= maxStartsOfDeadlyTask, qt.IsTrue, qt.Commentf("%d starts", cf.deadlyStarts()))
			qt.Check(t, cf.deadlyStarts() >= 2, qt.IsTrue, qt.Commentf("%d starts", cf.deadlyStarts()))
			for at := range tc.deadly {
				qt.Check(t, cf.state(fmt.Sprintf("%s%d", deadlyJob, at)), qt.Equals, workpb.State_FAILED)
			}
			for at := range tc.neighbours {
				qt.Check(t, cf.state(fmt.Sprintf("n%d", at)), qt.Equals, workpb.State_COMPLETED)
			}
		})
	}
}

// VMs that crash by themselves, one after the other or many at once, must fail none of the jobs that ran there.
func TestVMsThatCrashByThemselvesFailNoJob(t *testing.T) {
	for _, tc := range []struct {
		name                string
		atOnce              int
		intervalMS, startMS int64
	}{
		{"one after the other", 1, 300, 0},
		{"a rack at a time", 6, 1500, 0},
		{"right after their starts", 4, 700, 40},
	} {
		t.Run(tc.name, func(t *testing.T) {
			cf := newCrashFleet(t, 12)
			next := 0
			for at := range 60 {
				cf.submit(jobOf(fmt.Sprintf("n%d", at), stepOf(4), stepOf(4, 0)))
				cf.run(tc.startMS)
				if cf.ck.Now()/100%(tc.intervalMS/100) == 0 {
					for range tc.atOnce {
						cf.crashing[fmt.Sprintf("vm%02d", next%12)] = true
						next++
					}
				}
				cf.run(100 - tc.startMS)
			}
			cf.run(40_000)
			for at := range 60 {
				qt.Check(t, cf.state(fmt.Sprintf("n%d", at)), qt.Equals, workpb.State_COMPLETED, qt.Commentf("n%d", at))
			}
		})
	}
}

// A gang that was on a crashed VM must run again although it has fewer VMs than members: its tasks waited for VMs of their own, forever.
func TestGangOnProbationStartsOnFewVMs(t *testing.T) {
	cf := newCrashFleet(t, 2)
	st := stepOf(3)
	st.Gang = true
	cf.submit(jobOf("g", st))
	cf.run(40)
	cf.crashing["vm00"], cf.crashing["vm01"] = true, true
	cf.run(20_000)
	qt.Assert(t, cf.state("g"), qt.Equals, workpb.State_COMPLETED)
}
