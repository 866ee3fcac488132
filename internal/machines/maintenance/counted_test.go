package maintenance_test

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/fulmarloft/fulmarloft/internal/machines/maintenance"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/testbed/property"
)

// moveMS is how long the move of a machine to another pool takes.
const moveMS = 1500

// fleet simulates machines that several waves share. A VM has work until it was cordoned for workMS.
type fleet struct {
	fail   func(format string, args ...any)
	nowMS  int64
	hosts  map[string]*host
	waves  []*ownedWave
	workMS int64
	// lasting is set where all work is that of long-running tasks.
	lasting bool
}

type host struct {
	id        string
	lives     int
	busyLeft  int64
	cordoned  bool
	downForMS int64
	// downFor is the wave that the machine is down for, 0 while it moves to another pool.
	downFor    int64
	maintained map[int64]bool
	left       bool
}

// ownedWave is a wave with the state that its owner has stored.
type ownedWave struct {
	spec   *workpb.Wave
	wv     *maintenance.Wave
	stored *workpb.Upkeep
	// late lists machines whose orders are still to be executed.
	late []string
}

func newFleet(fail func(string, ...any), ids ...string) *fleet {
	fl := &fleet{fail: fail, nowMS: 1000, hosts: map[string]*host{}, workMS: 300}
	for _, id := range ids {
		fl.hosts[id] = &host{id: id, busyLeft: fl.workMS, maintained: map[int64]bool{}}
	}
	return fl
}

func (fl *fleet) addWave(number int64, atOnce int32, ids ...string) *ownedWave {
	ow := &ownedWave{spec: &workpb.Wave{Number: number, AtOnce: atOnce, DurationMs: durationMS, Machines: ids}}
	fl.waves = append(fl.waves, ow)
	fl.changeOwner(ow)
	return ow
}

// changeOwner lets a new owner resume from the stored state.
func (fl *fleet) changeOwner(ow *ownedWave) {
	ow.wv = maintenance.New(ow.spec, fl.cordon, fl.evacuate, fl.load, func(string) bool { return fl.lasting })
	if ow.stored != nil {
		ow.wv.Restore(ow.stored)
	}
	for _, ho := range fl.hosts {
		ho.cordoned = false
	}
}

func (ho *host) vm() string { return fmt.Sprintf("%s-%d", ho.id, ho.lives) }

func (fl *fleet) hostOf(vm string) *host {
	for _, ho := range fl.hosts {
		if ho.vm() == vm && ho.downForMS == 0 {
			return ho
		}
	}
	return nil
}

func (fl *fleet) cordon(vm string, on bool) {
	if ho := fl.hostOf(vm); ho != nil {
		ho.cordoned = on
	}
}

func (fl *fleet) load(vm string) int {
	if ho := fl.hostOf(vm); ho != nil && ho.busyLeft > 0 {
		return 1
	}
	return 0
}

func (fl *fleet) evacuate(vm string, _ bool) bool { return fl.load(vm) == 0 }

// list returns the machines as the platform lists them now, without the hidden ones.
func (fl *fleet) list(hidden ...string) []*workpb.Machine {
	var out []*workpb.Machine
	for id, ho := range fl.hosts {
		if !ho.left && !slices.Contains(hidden, id) {
			out = append(out, &workpb.Machine{Id: id, Up: ho.downForMS == 0, InUpkeep: ho.downForMS > 0 && ho.downFor > 0, Moving: ho.downForMS > 0 && ho.downFor == 0, Vm: ho.vm()})
		}
	}
	return out
}

// pass advances the time by one step.
func (fl *fleet) pass() {
	fl.nowMS += stepMS
	for _, ho := range fl.hosts {
		ho.busyLeft -= stepMS
		if !ho.cordoned {
			ho.busyLeft = fl.workMS
		}
		if ho.downForMS > 0 {
			ho.downForMS -= stepMS
			if ho.downForMS == 0 {
				ho.lives++
				ho.cordoned, ho.busyLeft = false, fl.workMS
			}
		}
	}
}

// execute carries out an order as the platform does and reports whether it succeeds; late orders may end the work on a VM.
func (fl *fleet) execute(ow *ownedWave, id string, late bool) bool {
	ho, number := fl.hosts[id], ow.spec.GetNumber()
	if ho.maintained[number] {
		return true
	}
	if ho.downForMS > 0 || ho.left {
		return false
	}
	if fl.load(ho.vm()) > 0 && !late {
		fl.fail("maintenance of %s for wave %d begins while its VM has work", id, number)
	}
	ho.maintained[number], ho.downForMS, ho.downFor = true, downForMS, number
	down := 0
	for _, other := range fl.hosts {
		if !other.left && other.downForMS > 0 && other.downFor == number {
			down++
		}
	}
	if down > int(ow.spec.GetAtOnce()) {
		fl.fail("%d machines are down for wave %d", down, number)
	}
	return true
}

// step applies a list to a wave, stores the outcome and sends the orders, with answers where answered is set.
func (fl *fleet) step(ow *ownedWave, readMS int64, list []*workpb.Machine, answered bool) {
	orders := ow.wv.Step(fl.nowMS, readMS, list)
	ow.stored = ow.wv.Row()
	for _, id := range orders {
		done := fl.execute(ow, id, false)
		switch {
		case !answered:
			ow.wv.RecordUnanswered(id)
		case done:
			ow.wv.RecordAccepted(id, fl.nowMS)
		default:
			ow.wv.RecordRefused(id)
		}
	}
	fl.check(ow)
}

// check fails if a wave counts as completed while a machine that stays hasn't begun its maintenance.
func (fl *fleet) check(ow *ownedWave) {
	for _, id := range ow.spec.GetMachines() {
		if ho := fl.hosts[id]; ow.wv.Done() && !ho.left && !ho.maintained[ow.spec.GetNumber()] {
			fl.fail("wave %d is completed, %s hasn't begun its maintenance", ow.spec.GetNumber(), id)
		}
	}
}

// finish lets all waves go on undisturbed, which must complete them within forMS.
func (fl *fleet) finish(forMS int64) {
	undone := func(ow *ownedWave) bool { return !ow.wv.Done() }
	for endMS := fl.nowMS + forMS; fl.nowMS < endMS && slices.ContainsFunc(fl.waves, undone); {
		fl.pass()
		for _, ow := range fl.waves {
			fl.step(ow, fl.nowMS, fl.list(), true)
		}
	}
	for _, ow := range fl.waves {
		if !ow.wv.Done() {
			fl.fail("wave %d isn't completed: %v", ow.spec.GetNumber(), ow.wv.Row())
		}
	}
}

func TestMaintenanceOfAnotherWaveIsNotCounted(t *testing.T) {
	fl := newFleet(t.Fatalf, "m0", "m1")
	first := fl.addWave(1, 2, "m0", "m1")
	for fl.hosts["m0"].downForMS == 0 {
		fl.pass()
		fl.step(first, fl.nowMS, fl.list(), true)
	}
	fl.addWave(2, 2, "m0", "m1")
	fl.finish(20_000)
}

func TestMachineMissingFromAListIsNotCounted(t *testing.T) {
	for _, tc := range []struct {
		name string
		list func(fl *fleet) []*workpb.Machine
	}{
		{"one machine", func(fl *fleet) []*workpb.Machine { return fl.list("m1") }},
		{"all machines of the wave", func(fl *fleet) []*workpb.Machine { return fl.list("m0", "m1") }},
		{"all machines", func(*fleet) []*workpb.Machine { return nil }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			fl := newFleet(t.Fatalf, "m0", "m1", "m2")
			ow := fl.addWave(1, 1, "m0", "m1")
			for range 40 {
				fl.pass()
				fl.step(ow, fl.nowMS, tc.list(fl), true)
				fl.pass()
				fl.step(ow, fl.nowMS, fl.list(), true)
			}
			fl.finish(20_000)
		})
	}
}

// A machine that leaves while the wave works on it must not keep the place of another.
func TestMachineThatLeavesFreesItsPlace(t *testing.T) {
	for _, tc := range []struct {
		name              string
		ordered, accepted bool
	}{
		{name: "being drained"},
		{name: "order in doubt", ordered: true},
		{name: "order accepted", ordered: true, accepted: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			fl := newFleet(t.Fatalf, "m0", "m1")
			fl.hosts["m1"].busyLeft = 10 * fl.workMS
			ow := fl.addWave(1, 1, "m0", "m1")
			fl.step(ow, fl.nowMS, fl.list(), true)
			for tc.ordered && fl.hosts["m0"].downForMS == 0 {
				fl.pass()
				fl.step(ow, fl.nowMS, fl.list(), tc.accepted)
			}
			fl.hosts["m0"].left = true
			fl.finish(20_000)
		})
	}
}

func TestEmptyListsCompleteNothing(t *testing.T) {
	fl := newFleet(t.Fatalf, "m0", "m1")
	ow := fl.addWave(1, 1, "m0", "m1")
	for range 10 {
		fl.pass()
		fl.step(ow, fl.nowMS, nil, true)
	}
	fl.finish(20_000)
}

// An earlier owner may have sent an order or not, so the next one must not count it as executed, nor end the VM's new work with it.
func TestOrderOfAnEarlierOwnerIsNotTakenForExecuted(t *testing.T) {
	fl := newFleet(t.Fatalf, "m0", "m1")
	fl.hosts["m0"].downForMS, fl.hosts["m0"].downFor = downForMS, 2
	ow := fl.addWave(1, 1, "m0", "m1")
	ow.stored = &workpb.Upkeep{Wave: 1, Ordered: []string{"m0"}, BeganMs: fl.nowMS}
	fl.changeOwner(ow)
	fl.finish(20_000)
}

// An order that the platform accepted before the owner changed isn't sent again, which would drain the VM once more.
func TestAcceptedOrderOfAnEarlierOwnerIsNotRepeated(t *testing.T) {
	fl := newFleet(t.Fatalf, "m0")
	ow := fl.addWave(1, 1, "m0")
	for fl.hosts["m0"].downForMS == 0 {
		fl.pass()
		fl.step(ow, fl.nowMS, fl.list(), true)
	}
	ow.stored = ow.wv.Row()
	for fl.hosts["m0"].downForMS > 0 {
		fl.pass()
	}
	fl.changeOwner(ow)
	for !ow.wv.Done() && fl.nowMS < 20_000 {
		fl.pass()
		orders := ow.wv.Step(fl.nowMS, fl.nowMS, fl.list())
		qt.Assert(t, orders, qt.HasLen, 0)
	}
	qt.Assert(t, ow.wv.Done(), qt.IsTrue)
}

// An unanswered order may be executed late, so neither a refusal of its repetition nor a change of owner frees the place that it takes.
func TestUnansweredOrderKeepsItsPlace(t *testing.T) {
	for _, tc := range []struct {
		name        string
		ownerChange bool
	}{
		{name: "repetition refused"},
		{name: "next owner", ownerChange: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			fl := newFleet(t.Fatalf, "m0", "m1")
			fl.lasting = true
			ow := fl.addWave(1, 1, "m0", "m1")
			ordered := map[string]int{}
			for range 100 {
				fl.pass()
				for _, id := range ow.wv.Step(fl.nowMS, fl.nowMS, fl.list()) {
					ordered[id]++
					ow.stored = ow.wv.Row()
					switch {
					case ordered[id] > 1:
						ow.wv.RecordRefused(id)
					case tc.ownerChange:
						fl.changeOwner(ow)
					default:
						ow.wv.RecordUnanswered(id)
						continue
					}
					fl.hosts[id].busyLeft = 2 * fl.workMS
				}
			}
			qt.Assert(t, ordered, qt.HasLen, 1)
		})
	}
}

func TestListOlderThanTheAcceptedOrderDecidesNothing(t *testing.T) {
	fl := newFleet(t.Fatalf, "m0")
	ow := fl.addWave(1, 1, "m0")
	for fl.hosts["m0"].downForMS == 0 {
		fl.pass()
		list := fl.list()
		fl.step(ow, fl.nowMS, list, true)
		ow.wv.Step(fl.nowMS, fl.nowMS, list)
	}
	qt.Assert(t, ow.wv.Done(), qt.IsFalse)
}

// Overlapping waves, lost and late answers, incomplete and old lists, a store that doesn't take the state and machines that move and changes of owner must not make a wave count a machine that hasn't begun its maintenance for it, nor break its limit.
func TestWaveCountsOnlyItsOwnMaintenance(t *testing.T) {
	property.Check(t, func(rt *rapid.T) {
		ids := []string{"m0", "m1", "m2", "m3", "m4", "m5"}
		fl := newFleet(rt.Fatalf, ids...)
		fl.addWave(1, 2, ids[:4]...)
		fl.addWave(2, 1, ids[2:]...)
		hidden := ""
		for range rapid.IntRange(5, 100).Draw(rt, "lists") {
			// A machine is missing from at most one list in a row.
			next := ""
			if rapid.IntRange(0, 9).Draw(rt, "hide") == 0 {
				next = rapid.SampledFrom(ids).Draw(rt, "hidden")
			}
			if next == hidden {
				next = ""
			}
			hidden = next
			list, readMS := fl.list(hidden), fl.nowMS
			for range rapid.IntRange(0, 8).Draw(rt, "delay") {
				fl.pass()
			}
			if ho := fl.hosts[rapid.SampledFrom(ids).Draw(rt, "moved")]; ho.downForMS == 0 && rapid.IntRange(0, 9).Draw(rt, "move") == 0 {
				ho.downForMS, ho.downFor = moveMS, 0
			}
			fl.disturb(rt, list, readMS)
			fl.pass()
		}
		fl.finish(60_000)
	})
}

// disturb advances each wave by one step with a random fault.
func (fl *fleet) disturb(rt *rapid.T, list []*workpb.Machine, readMS int64) {
	for _, ow := range fl.waves {
		if len(ow.late) > 0 && rapid.Bool().Draw(rt, "execute late order") {
			fl.execute(ow, ow.late[0], true)
			ow.late = ow.late[1:]
		}
		switch rapid.SampledFrom([]string{"", "", "", "", "lost", "late", "store away", "owner"}).Draw(rt, "fault") {
		case "lost":
			fl.step(ow, readMS, list, false)
		case "late":
			orders := ow.wv.Step(fl.nowMS, readMS, list)
			ow.stored = ow.wv.Row()
			for _, id := range orders {
				ow.wv.RecordUnanswered(id)
			}
			ow.late = append(ow.late, orders...)
		case "store away":
			ow.wv.Step(fl.nowMS, readMS, list)
		case "owner":
			ow.stored = proto.Clone(ow.stored).(*workpb.Upkeep)
			fl.changeOwner(ow)
		default:
			fl.step(ow, readMS, list, true)
		}
		fl.check(ow)
	}
}
