package jobcontrol_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

const (
	// maxTaskDowntimeMS is how long a long-running task may be without a run while a VM has room for it.
	maxTaskDowntimeMS = 6000
	// listIntervalMS is the time between two lists of machines.
	listIntervalMS = 700
	// settledMS is the age of an owner from which no lease of an earlier owner can hold.
	settledMS = 12_000
)

// hostedVM returns a VM on a machine of its own.
func hostedVM(id string) *workpb.VM {
	vm := vmOf(id)
	vm.Machine = "m-" + id
	return vm
}

// machines lists the machines of the VMs that exist.
func (fl *fleet) machines() []*workpb.Machine {
	var out []*workpb.Machine
	for id := range fl.workers {
		out = append(out, &workpb.Machine{Id: "m-" + id, Vm: id, Pool: "s", Up: true})
	}
	return out
}

// runWithLists runs the fleet for forMS milliseconds and passes the list of machines to the controller at each interval.
func (fl *fleet) runWithLists(forMS int64, list func() []*workpb.Machine) {
	for atMS := int64(0); atMS < forMS; atMS += stepMS {
		if atMS%listIntervalMS == 0 {
			fl.ct.SetMachines(fl.ck.Now(), list())
		}
		fl.run(stepMS)
	}
}

// leave ends a VM for good, with everything that runs on it.
func (fl *fleet) leave(id string) {
	fl.workers[id].Restart()
	delete(fl.workers, id)
	fl.ct.DropVM(id)
}

// crash ends everything that runs on a VM, which doesn't answer until it starts again under its id.
func (fl *fleet) crash(id string) {
	fl.workers[id].Restart()
	fl.unresponsive[id] = true
}

// machinesWithDown lists the machines, those of unresponsive VMs as down.
func (fl *fleet) machinesWithDown() []*workpb.Machine {
	list := fl.machines()
	for _, mc := range list {
		if fl.unresponsive[mc.GetVm()] {
			mc.Up, mc.Down, mc.Vm = false, true, ""
		}
	}
	return list
}

// newLastingTask starts one long-running task on one of the VMs and returns the VM's id.
func newLastingTask(t *testing.T, vms ...*workpb.VM) (*fleet, string) {
	fl := newFleet(t, vms...)
	fl.setBehavior(0, workpb.End_END_UNKNOWN)
	fl.submit(jobOf("j1", lastingStep(1)))
	fl.run(settledMS)
	return fl, fl.runningOn["j1.0.0.0"]
}

// underBothOwners runs a test in which the owner stays and one in which next replaces it.
func underBothOwners(t *testing.T, run func(t *testing.T, next func(fl *fleet))) {
	t.Run("same owner", func(t *testing.T) { run(t, func(*fleet) {}) })
	t.Run("new owner", func(t *testing.T) { run(t, (*fleet).newOwner) })
}

func TestLastingTaskOfAVMThatLeftRunsAgainAlsoUnderANewOwner(t *testing.T) {
	underBothOwners(t, func(t *testing.T, next func(fl *fleet)) {
		fl, host := newLastingTask(t, hostedVM("a"), hostedVM("b"))
		fl.leave(host)
		next(fl)
		fl.runWithLists(maxTaskDowntimeMS, fl.machines)
		qt.Assert(t, fl.starts["j1.0.0.0"], qt.Equals, 2)
		qt.Assert(t, fl.runningOn["j1.0.0.0"], qt.Not(qt.Equals), host)
	})
}

// A VM that is only cut off runs on, and its machine may be missing from one list while others come and go.
func TestVMWhoseMachineIsMissingFromOneListIsNotTakenForEnded(t *testing.T) {
	fl, host := newLastingTask(t, hostedVM("a"), hostedVM("b"))
	fl.newOwner()
	fl.unresponsive[host] = true
	lists := 0
	fl.runWithLists(3000, func() []*workpb.Machine {
		lists++
		if lists == 2 {
			return []*workpb.Machine{{Id: "m-other", Vm: "other", Pool: "s", Up: true}}
		}
		return fl.machines()
	})
	qt.Assert(t, fl.starts["j1.0.0.0"], qt.Equals, 1)
	fl.unresponsive[host] = false
	fl.runWithLists(3000, fl.machines)
	qt.Assert(t, fl.runningOn["j1.0.0.0"], qt.Equals, host)
}

func TestEmptyListsOfMachinesEndNoVM(t *testing.T) {
	fl, host := newLastingTask(t, hostedVM("a"), hostedVM("b"))
	fl.unresponsive[host] = true
	fl.runWithLists(3000, func() []*workpb.Machine { return nil })
	qt.Assert(t, fl.starts["j1.0.0.0"], qt.Equals, 1)
}

func TestLastingTaskOfACrashedVMRunsAgainAlsoUnderANewOwner(t *testing.T) {
	underBothOwners(t, func(t *testing.T, next func(fl *fleet)) {
		fl, host := newLastingTask(t, hostedVM("a"), hostedVM("b"))
		fl.run(settledMS)
		fl.crash(host)
		next(fl)
		fl.runWithLists(maxTaskDowntimeMS, fl.machinesWithDown)
		qt.Assert(t, fl.starts["j1.0.0.0"], qt.Equals, 2)
		qt.Assert(t, fl.runningOn["j1.0.0.0"], qt.Not(qt.Equals), host)
	})
}

// startAgain starts a crashed VM again under its id.
func (fl *fleet) startAgain(id string) {
	fl.workers[id].Restart()
	fl.unresponsive[id] = false
}

func TestStartAcceptedWhileTheMachinesAreListedIsNotTakenForEnded(t *testing.T) {
	fl := newFleet(t, hostedVM("a"))
	fl.setBehavior(0, workpb.End_END_UNKNOWN)
	fl.run(1000)
	readMS := fl.ck.Now()
	fl.unresponsive["a"] = true
	list := fl.machinesWithDown()
	fl.startAgain("a")
	fl.submit(jobOf("j1", lastingStep(1)))
	fl.run(2 * stepMS)
	qt.Assert(t, fl.starts["j1.0.0.0"], qt.Equals, 1)
	fl.ct.SetMachines(readMS, list)
	fl.run(1000)
	qt.Assert(t, fl.starts["j1.0.0.0"], qt.Equals, 1)
}

func TestVMThatAnswersBetweenListsIsNotTakenForRemoved(t *testing.T) {
	fl, host := newLastingTask(t, hostedVM("a"), hostedVM("b"))
	for range 2 {
		fl.unresponsive[host] = true
		readMS := fl.ck.Now()
		fl.run(stepMS)
		fl.ct.SetMachines(readMS, []*workpb.Machine{{Id: "m-other", Vm: "other", Up: true}})
		fl.unresponsive[host] = false
		fl.run(1000)
	}
	qt.Assert(t, fl.starts["j1.0.0.0"], qt.Equals, 1)
}

func lastingStep(count int32) *workpb.Step {
	st := stepOf(count)
	st.Lasting = true
	return st
}

func TestLastingTaskThatJustStartedOnACrashedVMRunsAgainUnderANewOwner(t *testing.T) {
	fl := newFleet(t, hostedVM("a"), hostedVM("b"))
	fl.setBehavior(0, workpb.End_END_UNKNOWN)
	fl.run(settledMS)
	fl.submit(jobOf("j1", lastingStep(1)))
	fl.run(1000)
	host := fl.runningOn["j1.0.0.0"]
	fl.crash(host)
	fl.newOwner()
	fl.runWithLists(maxTaskDowntimeMS, fl.machinesWithDown)
	qt.Assert(t, fl.starts["j1.0.0.0"], qt.Equals, 2)
	qt.Assert(t, fl.runningOn["j1.0.0.0"], qt.Not(qt.Equals), host)
}

// The registration of a VM may lapse while its store or its network is disturbed, though it runs on and answers its polls.
func TestTaskOnAnUnregisteredVMKeepsItsRunUnderANewOwner(t *testing.T) {
	fl, host := newLastingTask(t, hostedVM("a"), hostedVM("b"))
	fl.ct.DropVM(host)
	fl.unregistered[host] = true
	fl.newOwner()
	fl.run(settledMS)
	qt.Assert(t, fl.runningOn["j1.0.0.0"], qt.Equals, host)
	qt.Assert(t, fl.starts["j1.0.0.0"], qt.Equals, 1)
}
