package jobcontrol_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

func TestStartPlannedBeforeAVMChangedIsNotSent(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(vm *workpb.VM)
	}{
		{name: "service", change: func(vm *workpb.VM) { vm.Service = "other" }},
		{name: "labels", change: func(vm *workpb.VM) { vm.Labels = []string{"b", "r1"} }},
		{name: "capacity", change: func(vm *workpb.VM) { vm.CpuMilli = 500 }},
		{name: "zone is evacuated", change: func(vm *workpb.VM) { vm.Zone = "evacuated" }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			fl := newLimitFleet(t, vmOf("a"))
			fl.ct.SetEvacuatedZones(map[string]bool{"evacuated": true})
			st := stepOf(1)
			st.Label = "a"
			fl.submit(jobOf("j1", st))
			bt := fl.ct.Plan(true)
			fl.workers["a"].Restart()
			tc.change(fl.workers["a"].VM())
			fl.register("a")
			fl.pollAll()
			qt.Assert(t, fl.ct.ConfirmStored(bt), qt.HasLen, 0)
		})
	}
}

// pollAll sends the polls that are due.
func (fl *fleet) pollAll() {
	for _, lr := range fl.ct.DuePolls() {
		fl.poll(lr)
	}
}

func TestStartPlannedBeforeAnUnknownRunWasListedIsNotSent(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(fl *fleet, st *workpb.Step)
	}{
		{name: "limit per VM", change: func(*fleet, *workpb.Step) {}},
		{name: "capacity", change: func(_ *fleet, st *workpb.Step) { st.MaxPerVm, st.CpuMilli = 0, 5000 }},
		{name: "cap of the team", change: func(fl *fleet, st *workpb.Step) {
			st.MaxPerVm = 0
			rules := testRules()
			rules.Teams[0].CapCpuMilli = 1000
			fl.setRules(rules)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			fl := newLimitFleet(t, vmOf("a"))
			st := onePerVM(2)
			tc.change(fl, st)
			fl.submit(jobOf("j1", st))
			bt := fl.ct.Plan(true)
			qt.Assert(t, bt.Rows(), qt.HasLen, 1)
			fl.ct.HandlePoll("a", fl.ck.Now(), &workpb.Look{
				BornMs: fl.workers["a"].VM().GetBornMs(), ClockMs: fl.ck.Now(), Running: []*workpb.RunningRun{{Task: "j1.0.0.1", Run: 7}},
			}, workpb.Verdict_ACCEPTED)
			qt.Assert(t, fl.ct.ConfirmStored(bt), qt.HasLen, 0)
		})
	}
}

func TestNothingIsPlacedOnARestartedVMByItsEarlierRegistration(t *testing.T) {
	fl := newLimitFleet(t, vmOf("a"))
	fl.workers["a"].Restart()
	fl.workers["a"].VM().Labels = []string{"b", "r1"}
	fl.run(7000)
	st := stepOf(1)
	st.Label = "a"
	fl.submit(jobOf("j1", st))
	fl.run(1000)
	qt.Assert(t, len(fl.starts), qt.Equals, 0)
}

func TestNothingIsPlacedOnARestartedVMByALateAnswerOfItsEarlierIncarnation(t *testing.T) {
	fl := newLimitFleet(t, vmOf("a"))
	fl.submit(jobOf("j1", onePerVM(1)))
	fl.run(1000)
	var late *workpb.LookRequest
	for late == nil {
		fl.ck.Advance(stepMS)
		for _, lr := range fl.ct.DuePolls() {
			late = lr
		}
	}
	lk, vd := fl.workers["a"].Poll(late)
	fl.workers["a"].Restart()
	fl.register("a")
	fl.ct.HandlePoll("a", fl.ck.Now(), lk, vd)
	fl.submit(jobOf("j2", stepOf(1)))
	qt.Assert(t, fl.ct.ConfirmStored(fl.ct.Plan(true)), qt.HasLen, 0)
}

func TestStartThatNoLongerFitsItsVMIsStoppedBeforeItIsSent(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(fl *fleet)
	}{
		{name: "other service", change: func(fl *fleet) {
			fl.workers["a"].Restart()
			fl.workers["a"].VM().Service = "other"
			fl.register("a")
		}},
		{name: "other labels", change: func(fl *fleet) {
			fl.workers["a"].Restart()
			fl.workers["a"].VM().Labels = []string{"b", "r1"}
			fl.register("a")
		}},
		{name: "unknown run of the step", change: func(fl *fleet) {
			fl.workers["a"].Order(&workpb.Order{Verb: workpb.Verb_START, Task: "j1.0.0.1", Run: 7, Token: fl.token, LeaseUntilMs: 60_000})
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			fl := newLimitFleet(t, vmOf("a"))
			st := onePerVM(2)
			st.Label = "a"
			od := fl.holdStart(jobOf("j1", st))
			withdrawn := false
			fl.beforeOrder = func(other *workpb.Order) {
				withdrawn = withdrawn || (other.GetVerb() == workpb.Verb_STOP && other.GetTask() == od.GetTask() && other.GetRun() == od.GetRun())
			}
			tc.change(fl)
			fl.run(400)
			qt.Assert(t, withdrawn, qt.IsTrue)
		})
	}
}

func TestGangWithADroppedStartStartsNoMember(t *testing.T) {
	for _, dropped := range []string{"a", "b", "c"} {
		one, two, three := vmOf("a"), vmOf("b"), vmOf("c")
		one.Zone, two.Zone, three.Zone = "a", "b", "c"
		fl := newLimitFleet(t, one, two, three)
		st := onePerVM(3)
		st.Gang = true
		fl.submit(jobOf("j1", st))
		bt := fl.ct.Plan(true)
		fl.ct.SetEvacuatedZones(map[string]bool{dropped: true})
		started := map[string]bool{}
		for _, od := range fl.ct.ConfirmStored(bt) {
			started[od.GetVm()] = true
		}
		for _, od := range fl.ct.Outbox() {
			delete(started, od.GetVm())
		}
		qt.Check(t, started, qt.HasLen, 0, qt.Commentf("start on %s dropped", dropped))
	}
}
