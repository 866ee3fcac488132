package maintenance

import (
	"sort"

	"github.com/fulmarloft/fulmarloft/internal/workpb"
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
	// orderPending: the maintenance order is to be stored and sent.
	orderPending
	// orderAccepted: the platform accepted the order.
	orderAccepted
	finished
)

type machine struct {
	id         string
	state      state
	vm         string
	acceptedMS int64
	// seenInUpkeep is set where the state orderAccepted follows from a list alone.
	seenInUpkeep bool
}

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

// Restore resumes from the state that an earlier owner stored; orders whose outcome is not stored are sent again, which is idempotent.
func (wv *Wave) Restore(row *workpb.Upkeep) {
	for _, id := range row.GetDone() {
		if mc, ok := wv.machines[id]; ok {
			mc.state = finished
			wv.OnDone(id, "stored", 0)
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
		case orderPending, orderAccepted:
			row.Ordered = append(row.Ordered, mc.id)
		case finished:
			row.Done = append(row.Done, mc.id)
		default:
		}
	}
	sort.Strings(row.Ordered)
	sort.Strings(row.Done)
	return row
}

// Done reports whether all machines that still exist have had their maintenance.
func (wv *Wave) Done() bool { return wv.done }

// Step applies a list of machines whose read began at readMS and returns the machines whose maintenance is to be ordered once Row is stored.
func (wv *Wave) Step(nowMS, readMS int64, list []*workpb.Machine) []string {
	if wv.done {
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

// updateStates marks machines that are in maintenance, back from it or no longer listed.
func (wv *Wave) updateStates(readMS int64, rows map[string]*workpb.Machine) {
	rest := 0
	for id, mc := range wv.machines {
		row, ok := rows[id]
		if !ok {
			if mc.state != finished {
				wv.OnDone(id, "unlisted", readMS)
			}
			mc.state = finished
			continue
		}
		if row.GetInUpkeep() && mc.state != finished && mc.state != orderAccepted {
			mc.state = orderAccepted
			mc.acceptedMS = readMS
			mc.seenInUpkeep = true
		}
		if mc.state == orderAccepted && row.GetUp() && readMS >= mc.acceptedMS+listDelayMS {
			mc.state = finished
			wv.cordon(mc.vm, false)
			reason := "up-after-order"
			if mc.seenInUpkeep {
				reason = "up-after-listed-in-maintenance"
			}
			wv.OnDone(id, reason, readMS)
		}
		if mc.state != finished {
			rest++
		}
	}
	wv.done = rest == 0
}

// countDown counts the machines that are or may be down because of the wave.
func (wv *Wave) countDown(rows map[string]*workpb.Machine) int {
	count := 0
	for id, mc := range wv.machines {
		if mc.state == orderPending || mc.state == orderAccepted || rows[id].GetInUpkeep() {
			count++
		}
	}
	return count
}

func (wv *Wave) countIn(st state) int {
	count := 0
	for _, mc := range wv.machines {
		if mc.state == st {
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
	inProgress := wv.countIn(draining) + wv.countDown(rows)
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
		if mc.state == draining {
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
	rest := len(wv.machines) - wv.countIn(finished)
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
		if mc.state == orderPending && row.GetUp() {
			orders = append(orders, mc.id)
			continue
		}
		if mc.state != draining || !row.GetUp() {
			continue
		}
		if mc.vm != row.GetVm() {
			mc.vm = row.GetVm()
			wv.cordon(mc.vm, true)
		}
		if !wv.evacuate(mc.vm, wv.urgent(nowMS)) || headroom <= 0 {
			continue
		}
		mc.state = orderPending
		orders = append(orders, mc.id)
		headroom--
	}
	return orders
}

// RecordAccepted records that the platform accepted a machine's maintenance.
func (wv *Wave) RecordAccepted(id string, nowMS int64) {
	if mc, ok := wv.machines[id]; ok && mc.state == orderPending {
		mc.state = orderAccepted
		mc.acceptedMS = nowMS
	}
}

// RecordRefused records that a machine's maintenance definitely did not begin.
func (wv *Wave) RecordRefused(id string) {
	if mc, ok := wv.machines[id]; ok && mc.state == orderPending {
		mc.state = draining
	}
}

// InProgress reports whether a machine is being drained or in maintenance, so that nothing else may operate on it.
func (wv *Wave) InProgress(id string) bool {
	mc, ok := wv.machines[id]
	return ok && (mc.state == draining || mc.state == orderPending || mc.state == orderAccepted)
}
