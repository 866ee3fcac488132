package maintenance

import (
	"sort"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

// Wave is the state machine that carries out one maintenance wave; it is not safe for concurrent use.
type Wave struct {
	// OnDone is called with each machine that the wave counts as done, what decided it and the time at which the read of the deciding list began.
	OnDone func(machine, reason string, readMS int64)

	spec     *workpb.Wave
	machines map[string]*machine
	// cordon keeps new work from a VM. evacuate drains a VM, with force also of runs that would end by themselves, and reports whether it is empty. load counts its runs.
	cordon   func(vm string, cordoned bool)
	evacuate func(vm string, force bool) bool
	load     func(vm string) int
	// hasLasting reports whether long-running tasks run on a VM.
	hasLasting func(vm string) bool
	done       bool
	startedMS  int64
}

type state int

const (
	waiting state = iota
	// draining: the VM of the machine is cordoned and being drained.
	draining
	// orderPending: the maintenance order is to be stored and sent, or its outcome is unknown.
	orderPending
	// orderAccepted: the platform accepted this wave's order.
	orderAccepted
	finished
)

type machine struct {
	id    string
	state state
	vm    string
	// acceptedMS is when the order was accepted, 0 if an earlier owner stored it as accepted.
	acceptedMS int64
	// inDoubt is set once an order may be executed without an answer; a refusal of a later one then doesn't show that none is.
	inDoubt bool
	// absences counts the lists in a row that didn't contain the machine.
	absences int
}

// gone reports whether the machine has left the fleet.
func (mc *machine) gone() bool { return mc.absences >= minAbsences }

const (
	// cycleMS is the approximate time from the start of draining a machine until it is back.
	cycleMS = 5000
	// urgentCycles is how many cycles before its deadline a wave becomes urgent.
	urgentCycles = 2
	// reservePercent is the percentage of the wave's duration that is kept in reserve for failures.
	reservePercent = 35
	percent        = 100
	// extraLasting is how many machines with long-running tasks are drained beyond the required number, since these tasks leave a VM one after another.
	extraLasting = 3
	// One in lastingDivisor machines of a wave may be drained of long-running tasks from its start, and extraLasting at least: the tasks of one step leave one after another, those of different steps side by side.
	lastingDivisor = 8
	// listDelayMS is how long after an order was accepted a list of machines must have been read to show that the machine is back.
	listDelayMS = 500
	// minAbsences is how many lists in a row must lack a machine that has left: a list of several pages may miss one while others leave, and the first list may be older than the wave.
	minAbsences = 2
)

// New returns the state machine of a wave.
func New(spec *workpb.Wave, cordon func(string, bool), evacuate func(string, bool) bool, load func(string) int, hasLasting func(string) bool) *Wave {
	wv := &Wave{spec: spec, machines: map[string]*machine{}, cordon: cordon, evacuate: evacuate, load: load, hasLasting: hasLasting}
	wv.OnDone = func(string, string, int64) {}
	for _, id := range spec.GetMachines() {
		wv.machines[id] = &machine{id: id}
	}
	return wv
}

// Restore resumes from the state that an earlier owner stored; orders whose outcome is not stored are in doubt.
func (wv *Wave) Restore(row *workpb.Upkeep) {
	for _, id := range row.GetDone() {
		if mc, ok := wv.machines[id]; ok {
			mc.state = finished
			wv.OnDone(id, "stored", 0)
		}
	}
	for _, id := range row.GetAccepted() {
		if mc, ok := wv.machines[id]; ok {
			mc.state = orderAccepted
		}
	}
	for _, id := range row.GetOrdered() {
		if mc, ok := wv.machines[id]; ok {
			mc.state, mc.inDoubt = orderPending, true
		}
	}
	wv.done = row.GetCompleted()
	wv.startedMS = row.GetBeganMs()
}

// Row returns the state to be stored.
func (wv *Wave) Row() *workpb.Upkeep {
	row := &workpb.Upkeep{Wave: wv.spec.GetNumber(), Completed: wv.done, BeganMs: wv.startedMS}
	for _, mc := range wv.machines {
		switch mc.state {
		case orderPending:
			row.Ordered = append(row.Ordered, mc.id)
		case orderAccepted:
			row.Accepted = append(row.Accepted, mc.id)
		case finished:
			row.Done = append(row.Done, mc.id)
		default:
		}
	}
	sort.Strings(row.Ordered)
	sort.Strings(row.Accepted)
	sort.Strings(row.Done)
	return row
}

// Done reports whether all machines that still exist have had their maintenance.
func (wv *Wave) Done() bool { return wv.done }

// Step applies a list of machines whose read began at readMS and returns the machines whose maintenance is to be ordered once Row is stored.
func (wv *Wave) Step(nowMS, readMS int64, list []*workpb.Machine) []string {
	if wv.done || len(list) == 0 {
		return nil
	}
	if wv.startedMS == 0 {
		wv.startedMS = nowMS
	}
	rows := map[string]*workpb.Machine{}
	for _, row := range list {
		rows[row.GetId()] = row
	}
	wv.updateStates(readMS, rows)
	wv.startDraining(nowMS, rows)
	return wv.planOrders(nowMS, rows)
}

// updateStates marks machines that are back from their maintenance or have left the fleet. A list shows that a machine is in maintenance, but not for which wave, so only an accepted order shows that it is for this one.
func (wv *Wave) updateStates(readMS int64, rows map[string]*workpb.Machine) {
	rest := 0
	for id, mc := range wv.machines {
		if mc.state == finished {
			continue
		}
		row, ok := rows[id]
		if !ok {
			mc.absences++
			if mc.absences == minAbsences {
				wv.OnDone(id, "unlisted", readMS)
			}
		} else {
			mc.absences = 0
		}
		if mc.state == orderAccepted && mc.acceptedMS == 0 {
			mc.acceptedMS = readMS
		}
		if mc.state == orderAccepted && row.GetUp() && readMS >= mc.acceptedMS+listDelayMS {
			mc.state = finished
			wv.cordon(mc.vm, false)
			wv.OnDone(id, "up-after-order", readMS)
			continue
		}
		if !mc.gone() {
			rest++
		}
	}
	wv.done = rest == 0
}

// countDown counts the machines that are or may be down because of the wave.
func (wv *Wave) countDown(rows map[string]*workpb.Machine) int {
	count := 0
	for id, mc := range wv.machines {
		ordered := mc.state == orderPending || mc.state == orderAccepted
		if (ordered && !mc.gone()) || rows[id].GetInUpkeep() {
			count++
		}
	}
	return count
}

// countDraining counts the machines that are being drained.
func (wv *Wave) countDraining() int {
	count := 0
	for _, mc := range wv.machines {
		if mc.state == draining && !mc.gone() {
			count++
		}
	}
	return count
}

// countDrainingLasting counts the machines that are being drained and still have long-running tasks.
func (wv *Wave) countDrainingLasting() int {
	count := 0
	for _, mc := range wv.machines {
		if mc.state == draining && wv.hasLasting(mc.vm) {
			count++
		}
	}
	return count
}

// startDraining starts to drain machines: idle ones as soon as they may go down, some with long-running tasks beside them, other busy ones only as fast as the wave's duration requires.
func (wv *Wave) startDraining(nowMS int64, rows map[string]*workpb.Machine) {
	inProgress := wv.countDraining() + wv.countDown(rows)
	required := wv.requiredInProgress(nowMS)
	lasting := wv.countDrainingLasting()
	maxLasting := max(len(wv.machines)/lastingDivisor, extraLasting)
	for _, mc := range wv.byLoad(rows) {
		row := rows[mc.id]
		if mc.state != waiting || !row.GetUp() {
			continue
		}
		limit := wv.maxDown()
		switch {
		case wv.hasLasting(row.GetVm()):
			limit = required + extraLasting
			if lasting < maxLasting {
				lasting++
				limit = len(wv.machines)
			}
		case wv.load(row.GetVm()) > 0:
			limit = min(limit, required)
		}
		if inProgress >= limit {
			continue
		}
		mc.state = draining
		mc.vm = row.GetVm()
		wv.cordon(mc.vm, true)
		inProgress++
	}
}

// Drain continues to drain the VMs of machines in progress.
func (wv *Wave) Drain(nowMS int64) {
	for _, mc := range wv.machines {
		if mc.state == draining || mc.state == orderPending {
			wv.evacuate(mc.vm, wv.urgent(nowMS))
		}
	}
}

// urgent reports whether so little time is left that runs are stopped which would have ended by themselves.
func (wv *Wave) urgent(nowMS int64) bool {
	return nowMS > wv.startedMS+wv.spec.GetDurationMs()-urgentCycles*cycleMS
}

// requiredInProgress returns how many machines must be in progress at once for the wave to end in time.
func (wv *Wave) requiredInProgress(nowMS int64) int {
	rest := 0
	for _, mc := range wv.machines {
		if mc.state != finished && !mc.gone() {
			rest++
		}
	}
	left := wv.startedMS + wv.spec.GetDurationMs()*(percent-reservePercent)/percent - nowMS
	rounds := max(left/cycleMS, 1)
	return (rest + int(rounds) - 1) / int(rounds)
}

func (wv *Wave) maxDown() int { return max(int(wv.spec.GetAtOnce()), 1) }

// byLoad returns the machines in ascending order of load.
func (wv *Wave) byLoad(rows map[string]*workpb.Machine) []*machine {
	list := make([]*machine, 0, len(wv.machines))
	loads := map[string]int{}
	for id, mc := range wv.machines {
		list = append(list, mc)
		loads[id] = wv.load(rows[id].GetVm())
	}
	sort.Slice(list, func(i, j int) bool {
		if loads[list[i].id] != loads[list[j].id] {
			return loads[list[i].id] < loads[list[j].id]
		}
		return list[i].id < list[j].id
	})
	return list
}

// planOrders returns the machines to order: unanswered orders again, and drained machines while the limit allows more of them down.
func (wv *Wave) planOrders(nowMS int64, rows map[string]*workpb.Machine) []string {
	var orders []string
	headroom := wv.maxDown() - wv.countDown(rows)
	for _, mc := range wv.byLoad(rows) {
		row := rows[mc.id]
		if (mc.state != draining && mc.state != orderPending) || !row.GetUp() || !wv.emptied(nowMS, mc, row.GetVm()) {
			continue
		}
		if mc.state == draining {
			if headroom <= 0 {
				continue
			}
			mc.state = orderPending
			headroom--
		}
		orders = append(orders, mc.id)
	}
	return orders
}

// emptied keeps the machine's current VM cordoned, drains it and reports whether it is empty; the VM changes with a crash, a move or another wave.
func (wv *Wave) emptied(nowMS int64, mc *machine, vm string) bool {
	mc.vm = vm
	wv.cordon(vm, true)
	return wv.evacuate(vm, wv.urgent(nowMS))
}

// RecordAccepted records that the platform accepted a machine's maintenance.
func (wv *Wave) RecordAccepted(id string, nowMS int64) {
	if mc, ok := wv.machines[id]; ok && mc.state == orderPending {
		mc.state = orderAccepted
		mc.acceptedMS = nowMS
	}
}

// RecordRefused records that the platform refused an order, so that the machine's maintenance didn't begin unless an earlier order is in doubt.
func (wv *Wave) RecordRefused(id string) {
	if mc, ok := wv.machines[id]; ok && mc.state == orderPending && !mc.inDoubt {
		mc.state = draining
	}
}

// RecordUnanswered records that a machine's maintenance may have begun or begin later.
func (wv *Wave) RecordUnanswered(id string) {
	if mc, ok := wv.machines[id]; ok {
		mc.inDoubt = true
	}
}

// Waiting returns the machines that are yet to be drained.
func (wv *Wave) Waiting() []string {
	var out []string
	for id, mc := range wv.machines {
		if mc.state == waiting && !mc.gone() {
			out = append(out, id)
		}
	}
	return out
}

// InProgress reports whether a machine is being drained or in maintenance, so that nothing else may operate on it.
func (wv *Wave) InProgress(id string) bool {
	mc, ok := wv.machines[id]
	return ok && (mc.state == draining || mc.state == orderPending || mc.state == orderAccepted)
}
