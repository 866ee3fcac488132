package jobcontrol_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

// newLongTask starts one long task on one of the VMs, whose clocks run as slow as they may, and returns the VM's id.
func newLongTask(t *testing.T, vms ...*workpb.VM) (*fleet, string) {
	fl := newFleet(t, vms...)
	fl.setBehavior(60_000, workpb.End_END_DONE)
	for _, wk := range fl.workers {
		wk.SlowPercent = maxSlowPercent
	}
	fl.run(settledMS)
	st := stepOf(1)
	st.EstimateMs = 60_000
	fl.submit(jobOf("j1", st))
	fl.run(1000)
	return fl, fl.runningOn["j1.0.0.0"]
}

func TestVMThatTheListShowsOnAnotherMachineIsNotTakenForEnded(t *testing.T) {
	for _, tc := range []struct {
		name string
		row  *workpb.Machine
	}{
		{"machine hosts another VM", &workpb.Machine{Id: "m-wrong", Vm: "other", Up: true}},
		{"machine is being moved", &workpb.Machine{Id: "m-wrong", Moving: true}},
		{"machine is down", &workpb.Machine{Id: "m-wrong", Down: true}},
		{"machine isn't listed", &workpb.Machine{Id: "m-third", Vm: "third", Up: true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			fl, host := newLongTask(t, hostedVM("a"), hostedVM("b"))
			wrong := proto.Clone(fl.workers[host].VM()).(*workpb.VM)
			wrong.Machine = "m-wrong"
			fl.ct.SetVM(wrong)
			fl.unresponsive[host] = true
			fl.runWithLists(3000, func() []*workpb.Machine { return append(fl.machines(), tc.row) })
			fl.unresponsive[host] = false
			fl.run(1000)
			qt.Assert(t, fl.starts["j1.0.0.0"], qt.Equals, 1)
		})
	}
}

// renewalOf returns the next poll of a VM that extends leases, which isn't executed.
func (fl *fleet) renewalOf(id string) *workpb.LookRequest {
	var renewal *workpb.LookRequest
	for renewal == nil {
		fl.ck.Advance(stepMS)
		for _, lr := range fl.ct.DuePolls() {
			if lr.GetVm() == id && lr.GetLeaseUntilMs() > 0 {
				renewal = lr
				continue
			}
			fl.poll(lr)
		}
	}
	return renewal
}

func TestVMWhosePollIsHeldOpenIsNotTakenForRemoved(t *testing.T) {
	fl, host := newLongTask(t, hostedVM("a"), hostedVM("b"))
	held := fl.renewalOf(host)
	fl.runWithLists(listIntervalMS+2*stepMS, func() []*workpb.Machine {
		return []*workpb.Machine{{Id: "m-other", Vm: "other", Up: true}}
	})
	fl.poll(held)
	fl.run(1000)
	qt.Assert(t, fl.runningOn["j1.0.0.0"], qt.Equals, host)
	qt.Assert(t, fl.starts["j1.0.0.0"], qt.Equals, 1)
}

// A renewal that the last owner made for the VM's incarnation before grants the longest lease, also to what the new owner starts.
func TestRunOnAVMThatRestartedAroundAChangeOfOwnerIsNotRepeatedElsewhereWhileItsLongLeaseLasts(t *testing.T) {
	fl := newFleet(t, vmOf("a"), vmOf("b"))
	fl.setBehavior(60_000, workpb.End_END_DONE)
	fl.workers["a"].SlowPercent, fl.workers["b"].SlowPercent = maxSlowPercent, maxSlowPercent
	fl.run(oldClockMS)
	renewal := fl.renewalOf("a")
	fl.workers["a"].Restart()
	fl.unresponsive["a"], fl.unresponsive["b"] = true, true
	fl.newOwner()
	fl.run(3000)
	_, vd := fl.workers["a"].Poll(renewal)
	qt.Assert(t, vd, qt.Equals, workpb.Verdict_ACCEPTED)
	fl.unresponsive["a"] = false
	fl.run(500)
	st := stepOf(1)
	st.EstimateMs = 60_000
	fl.submit(jobOf("j1", st))
	fl.run(200)
	qt.Assert(t, fl.runningOn["j1.0.0.0"], qt.Equals, "a")
	fl.unresponsive["a"], fl.unresponsive["b"] = true, false
	fl.run(40_000)
	qt.Assert(t, fl.starts["j1.0.0.0"], qt.Equals, 2)
}

// A renewal that is executed late, by the next incarnation of a VM that was unregistered meanwhile, grants the longest lease.
func TestRunOnAVMThatRegisteredAgainIsNotRepeatedElsewhereWhileItsLongLeaseLasts(t *testing.T) {
	fl := newFleet(t, vmOf("a"), vmOf("b"))
	fl.setBehavior(60_000, workpb.End_END_DONE)
	fl.workers["a"].SlowPercent, fl.workers["b"].SlowPercent = maxSlowPercent, maxSlowPercent
	fl.run(oldClockMS)
	renewal := fl.renewalOf("a")
	fl.ct.HandlePoll("a", fl.ck.Now(), nil, workpb.Verdict_IN_DOUBT)
	fl.unresponsive["a"], fl.unresponsive["b"] = true, true
	fl.ct.DropVM("a")
	fl.run(8000)
	fl.workers["a"].Restart()
	_, vd := fl.workers["a"].Poll(renewal)
	qt.Assert(t, vd, qt.Equals, workpb.Verdict_ACCEPTED)
	fl.unresponsive["a"] = false
	fl.register("a")
	st := stepOf(1)
	st.EstimateMs = 60_000
	fl.submit(jobOf("j1", st))
	fl.run(1000)
	qt.Assert(t, fl.runningOn["j1.0.0.0"], qt.Equals, "a")
	fl.unresponsive["a"], fl.unresponsive["b"] = true, false
	fl.run(40_000)
	qt.Assert(t, fl.starts["j1.0.0.0"], qt.Equals, 2)
}

// A registration that a VM wrote before it started again elsewhere may reach the store later than the next one, and another VM may have its address.
func TestAnotherVMAtAFormerAddressEndsNoRun(t *testing.T) {
	fl, host := newLongTask(t, vmOf("a"), vmOf("b"))
	former := proto.Clone(fl.workers[host].VM()).(*workpb.VM)
	former.Address, former.BornMs = "former", former.GetBornMs()-60_000
	fl.ct.SetVM(former)
	fl.ck.Advance(2 * stepMS)
	for range 3 {
		fl.ck.Advance(500)
		for _, lr := range fl.ct.DuePolls() {
			if lr.GetVm() == host && lr.GetAddress() == "former" {
				fl.ct.HandlePoll(host, fl.ck.Now(), nil, workpb.Verdict_OTHER_VM)
				continue
			}
			fl.poll(lr)
		}
	}
	fl.register(host)
	fl.run(1000)
	qt.Assert(t, fl.runningOn["j1.0.0.0"], qt.Equals, host)
	qt.Assert(t, fl.starts["j1.0.0.0"], qt.Equals, 1)
}
