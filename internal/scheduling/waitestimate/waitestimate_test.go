package waitestimate_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/waitestimate"
)

const (
	startMS = 100_000
	// settledMS is a time at which the owner has scheduled for long enough to state something.
	settledMS = startMS + 4000
	// vmMilli is the capacity of each machine.
	vmMilli = 10_000
)

func anywhere(string) bool { return true }

// begin returns an estimator that has begun an estimate of the services "a" and "b", which can be listed, and "c", which can't.
func begin(nowMS int64) *waitestimate.Estimator {
	es := waitestimate.New(startMS)
	es.Stored(&workpb.Waits{})
	beginNext(es, nowMS)
	return es
}

func beginNext(es *waitestimate.Estimator, nowMS int64) {
	es.Begin(nowMS)
	es.AddService("a", true)
	es.AddService("b", true)
	es.AddService("c", false)
}

// overload adds two full machines and twice the work that they do in a second to a service.
func overload(es *waitestimate.Estimator, service string) {
	es.AddMachine(service, service+"-1", vmMilli, vmMilli)
	es.AddMachine(service, service+"-2", vmMilli, vmMilli)
	es.AddBegun(service, 10_000)
	es.AddWaiting(service, "t", 30_000)
	es.AddAsked(service, 30_000)
	es.SetTeam(service, "t", 1, 0, 20_000)
	es.SetTeam(service, "calm", 0, 0, 0)
	es.SetTeam(service, "earlier", 2, 5000, 4000)
}

// rooms returns the capacity of each listed service.
func rooms(row *workpb.Waits) map[string]int64 {
	out := map[string]int64{}
	for _, sv := range row.GetServices() {
		out[sv.GetService()] = sv.GetRoomMilli()
	}
	return out
}

func TestRowHoldsCapacityAndWorkOfServicesThatWait(t *testing.T) {
	es := begin(settledMS)
	overload(es, "a")
	overload(es, "c")
	es.AddMachine("b", "b-1", vmMilli, 0)
	row := es.Row(settledMS)
	qt.Assert(t, row.GetEstimatedMs(), qt.Equals, int64(settledMS))
	qt.Assert(t, len(row.GetServices()), qt.Equals, 1)
	sv := row.GetServices()[0]
	qt.Check(t, sv.GetService(), qt.Equals, "a")
	qt.Check(t, sv.GetRoomMilli(), qt.Equals, int64(20_000))
	qt.Check(t, sv.GetBegunCoreMs(), qt.Equals, int64(10_000))
	qt.Check(t, waitestimate.WaitMS(sv), qt.Equals, int64(2000))
	qt.Assert(t, len(sv.GetTeams()), qt.Equals, 2)
	earlier, waiting := sv.GetTeams()[0], sv.GetTeams()[1]
	qt.Check(t, earlier.GetTeam(), qt.Equals, "earlier")
	qt.Check(t, earlier.GetShareLevel(), qt.Equals, int32(2))
	qt.Check(t, earlier.GetCapMilli(), qt.Equals, int64(5000))
	qt.Check(t, earlier.GetUsedMilli(), qt.Equals, int64(4000))
	qt.Check(t, waiting.GetTeam(), qt.Equals, "t")
	qt.Check(t, waiting.GetWaitingCoreMs(), qt.Equals, int64(30_000))
}

// Guards against refusals while VMs are free, of work that nothing keeps waiting, and by an estimate without any capacity.
func TestServiceIsListedOnlyIfAJobSubmittedNowWouldWait(t *testing.T) {
	for _, tc := range []struct {
		name   string
		add    func(es *waitestimate.Estimator)
		listed bool
	}{
		{"overloaded", func(es *waitestimate.Estimator) { overload(es, "a") }, true},
		{"long work on half of the VMs, nothing waits", func(es *waitestimate.Estimator) {
			es.AddMachine("a", "a-1", vmMilli, vmMilli)
			es.AddMachine("a", "a-2", vmMilli, 0)
			es.AddBegun("a", 500_000)
		}, false},
		{"free VMs suffice for the tasks that are ready", func(es *waitestimate.Estimator) {
			overload(es, "a")
			es.AddMachine("a", "a-3", 4*vmMilli, 0)
			es.AddBegun("a", 500_000)
		}, false},
		{"a team waits only for its cap", func(es *waitestimate.Estimator) {
			es.AddMachine("a", "a-1", vmMilli, vmMilli)
			es.AddBegun("a", 2000)
			es.AddWaiting("a", "t", 200_000)
			es.AddAsked("a", 1000)
			es.SetTeam("a", "t", 0, 1000, 1000)
		}, false},
		{"a wait below half a second", func(es *waitestimate.Estimator) {
			overload(es, "a")
			es.AddMachine("a", "a-3", 8*vmMilli, 8*vmMilli)
		}, false},
		{"no capacity at all", func(es *waitestimate.Estimator) {
			es.AddWaiting("a", "t", 30_000)
			es.AddAsked("a", 30_000)
		}, false},
		{"VMs that the owner doesn't know yet", func(es *waitestimate.Estimator) {
			overload(es, "a")
			es.Withhold("a")
		}, false},
	} {
		es := begin(settledMS)
		tc.add(es)
		qt.Check(t, len(es.Row(settledMS).GetServices()) == 1, qt.Equals, tc.listed, qt.Commentf(tc.name))
	}
}

// Guards against counting too little capacity, which led to refusals beside idle machines, and against counting a machine twice.
func TestEachMachineCountsForOneService(t *testing.T) {
	for _, tc := range []struct {
		name string
		add  func(es *waitestimate.Estimator)
		want map[string]int64
	}{
		{"machine on its way", func(es *waitestimate.Estimator) { es.AddMachine("a", "m", vmMilli, 0) }, map[string]int64{"a": 30_000, "b": 20_000}},
		{"the same machine with its VM registered", func(es *waitestimate.Estimator) {
			es.AddMachine("a", "m", vmMilli, 0)
			es.AddMachine("a", "m", vmMilli, 0)
		}, map[string]int64{"a": 30_000, "b": 20_000}},
		{"standby machines go to the longer wait", func(es *waitestimate.Estimator) {
			es.AddBegun("b", 5000)
			es.AddSpare("z-1", vmMilli, anywhere)
			es.AddSpare("z-2", vmMilli, anywhere)
		}, map[string]int64{"a": 30_000, "b": 30_000}},
		{"a standby machine goes only where it may", func(es *waitestimate.Estimator) {
			es.AddBegun("b", 5000)
			es.AddSpare("z-1", vmMilli, func(service string) bool { return service == "a" })
		}, map[string]int64{"a": 30_000, "b": 20_000}},
		{"a machine of another pool's surplus", func(es *waitestimate.Estimator) {
			es.AddMachine("c", "m", vmMilli, 0)
			es.AddMachine("c", "n", vmMilli, 0)
			es.AddBegun("a", 5000)
			es.AddSpare("m", vmMilli, anywhere)
		}, map[string]int64{"a": 30_000, "b": 20_000}},
		{"a standby machine that a service which can't be listed needs more", func(es *waitestimate.Estimator) {
			overload(es, "c")
			es.AddBegun("c", 50_000)
			es.AddSpare("z-1", vmMilli, anywhere)
		}, map[string]int64{"a": 20_000, "b": 20_000}},
	} {
		es := begin(settledMS)
		overload(es, "a")
		overload(es, "b")
		tc.add(es)
		qt.Check(t, rooms(es.Row(settledMS)), qt.DeepEquals, tc.want, qt.Commentf(tc.name))
	}
}

// Guards against refusals by what a predecessor stored or by what a new owner doesn't know yet: in its first three seconds it only stores that nothing waits, until that is certainly stored.
func TestNewOwnerStatesNothingAtFirst(t *testing.T) {
	es := waitestimate.New(startMS)
	for nowMS := int64(startMS); nowMS < startMS+3000; nowMS += 300 {
		beginNext(es, nowMS)
		overload(es, "a")
		row := es.Row(nowMS)
		qt.Assert(t, row != nil, qt.Equals, nowMS <= startMS+300)
		qt.Assert(t, len(row.GetServices()), qt.Equals, 0)
		if nowMS == startMS+300 {
			es.Stored(row)
		}
	}
	beginNext(es, startMS+3000)
	overload(es, "a")
	qt.Assert(t, len(es.Row(startMS+3000).GetServices()), qt.Equals, 1)
}

// Guards against a row that lists services for longer than their work waits, also if the commit that would end it gets no answer, and against writes while nothing waits.
func TestRowIsWrittenOnceMoreWhenWaitingEnds(t *testing.T) {
	es := begin(settledMS)
	qt.Assert(t, es.Due(settledMS+299), qt.IsFalse)
	qt.Assert(t, es.Due(settledMS+300), qt.IsTrue)
	qt.Assert(t, es.Row(settledMS), qt.IsNil)
	beginNext(es, settledMS+300)
	overload(es, "a")
	qt.Assert(t, len(es.Row(settledMS+300).GetServices()), qt.Equals, 1)
	for range 2 {
		beginNext(es, settledMS+600)
		row := es.Row(settledMS + 600)
		qt.Assert(t, row, qt.IsNotNil)
		qt.Assert(t, len(row.GetServices()), qt.Equals, 0)
	}
	es.Stored(&workpb.Waits{})
	beginNext(es, settledMS+900)
	qt.Assert(t, es.Row(settledMS+900), qt.IsNil)
}

// Guards against a row that lists services after a change of the rules has left none that may be listed.
func TestRowIsEmptiedWhenTheRulesNoLongerAskForIt(t *testing.T) {
	es := begin(settledMS)
	overload(es, "a")
	es.Stored(es.Row(settledMS))
	es.Begin(settledMS + 300)
	row := es.Row(settledMS + 300)
	qt.Assert(t, row, qt.IsNotNil)
	qt.Assert(t, len(row.GetServices()), qt.Equals, 0)
}
