package maintenance

import (
	"sort"

	"github.com/fulmarloft/fulmarloft/internal/workpb"
)

// Wave is the state machine of one maintenance wave; it is not safe for concurrent use.
type Wave struct {
	wave     *workpb.Wave
	machines map[string]*machine
	// cordon keeps new work from a VM. evacuate drains a VM, with force also of runs that would end by themselves, and reports whether it is empty. load counts its runs.
	cordon   func(vm string, cordoned bool)
	evacuate func(vm string, force bool) bool
	load     func(vm string) int
	// hasLongRunning reports whether long-running tasks run on a VM.
	hasLongRunning func(vm string) bool
	done           bool
	startedMS      int64
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
}

const (
	// cycleMS is the approximate time from the start of draining a machine until it is back.
	cycleMS = 5000
	// urgentCycles is how many cycles before its deadline a wave becomes urgent.
	urgentCycles = 2
	// reservePercent is the share of the wave's duration that is kept in reserve for failures.
	reservePercent = 35
	percent        = 100
	// extraLongRunning is how many machines with long-running tasks are drained beyond the required number, since these tasks leave a VM one after another.
	extraLongRunning = 3
	// listDelayMS is how long after an order was accepted a list of machines must have been read to show that the machine is back.
	listDelayMS = 500
)

// New returns the state machine of a wave.
func New(wave *workpb.Wave, cordon func(string, bool), evacuate func(string, bool) bool, load func(string) int, hasLongRunning func(string) bool) *Wave {
	up := &Wave{wave: wave, machines: map[string]*machine{}, cordon: cordon, evacuate: evacuate, load: load, hasLongRunning: hasLongRunning}
	for _, id := range wave.GetMachines() {
		up.machines[id] = &machine{id: id}
	}
	return up
}

// Restore resumes from the state that an earlier owner stored; orders whose outcome is not stored are sent again, which is idempotent.
func (up *Wave) Restore(row *workpb.Upkeep) {
	for _, id := range row.GetDone() {
		if mc, ok := up.machines[id]; ok {
			mc.state = finished
		}
	}
	up.done = row.GetCompleted()
	up.startedMS = row.GetBeganMs()
}

// Row returns the state to be stored.
func (up *Wave) Row() *workpb.Upkeep {
	row := &workpb.Upkeep{Wave: up.wave.GetNumber(), Completed: up.done, BeganMs: up.startedMS}
	for _, mc := range up.machines {
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
func (up *Wave) Done() bool { return up.done }

// Step applies a list of machines whose read began at readMS and returns the machines whose maintenance is to be ordered once Row is stored.
func (up *Wave) Step(nowMS, readMS int64, list []*workpb.Machine) []string {
	if up.done {
		return nil
	}
	if up.startedMS == 0 {
		up.startedMS = nowMS
	}
	rows := map[string]*workpb.Machine{}
	for _, row := range list {
		rows[row.GetId()] = row
	}
	up.updateStates(readMS, rows)
	up.startDraining(nowMS, rows)
	return up.planOrders(nowMS, rows)
}

// updateStates marks machines that are in maintenance, back from it or no longer listed.
func (up *Wave) updateStates(readMS int64, rows map[string]*workpb.Machine) {
	rest := 0
	for id, mc := range up.machines {
		row, ok := rows[id]
		if !ok {
			mc.state = finished
			continue
		}
		if row.GetInUpkeep() && mc.state != finished && mc.state != orderAccepted {
			mc.state = orderAccepted
			mc.acceptedMS = readMS
		}
		if mc.state == orderAccepted && row.GetUp() && readMS >= mc.acceptedMS+listDelayMS {
			mc.state = finished
			up.cordon(mc.vm, false)
		}
		if mc.state != finished {
			rest++
		}
	}
	up.done = rest == 0
}

// countDown counts the machines that are or may be down because of the wave.
func (up *Wave) countDown(rows map[string]*workpb.Machine) int {
	count := 0
	for id, mc := range up.machines {
		if mc.state == orderPending || mc.state == orderAccepted || rows[id].GetInUpkeep() {
			count++
		}
	}
	return count
}

func (up *Wave) countIn(st state) int {
	count := 0
	for _, mc := range up.machines {
		if mc.state == st {
			count++
		}
	}
	return count
}

// startDraining starts to drain machines: idle ones as soon as they may go down, busy ones only as fast as the wave's duration requires.
func (up *Wave) startDraining(nowMS int64, rows map[string]*workpb.Machine) {
	inProgress := up.countIn(draining) + up.countDown(rows)
	required := up.requiredInProgress(nowMS)
	for _, mc := range up.byLoad(rows) {
		row := rows[mc.id]
		if mc.state != waiting || !row.GetUp() {
			continue
		}
		limit := up.maxDown()
		switch {
		case up.hasLongRunning(row.GetVm()):
			limit = required + extraLongRunning
		case up.load(row.GetVm()) > 0:
			limit = min(limit, required)
		}
		if inProgress >= limit {
			continue
		}
		mc.state = draining
		mc.vm = row.GetVm()
		up.cordon(mc.vm, true)
		inProgress++
	}
}

// Drain continues to drain the VMs of machines in progress.
func (up *Wave) Drain(nowMS int64) {
	for _, mc := range up.machines {
		if mc.state == draining {
			up.evacuate(mc.vm, up.urgent(nowMS))
		}
	}
}

// urgent reports whether so little time is left that runs are stopped which would have ended by themselves.
func (up *Wave) urgent(nowMS int64) bool {
	return nowMS > up.startedMS+up.wave.GetDurationMs()-urgentCycles*cycleMS
}

// requiredInProgress returns how many machines must be in progress at once for the wave to end in time.
func (up *Wave) requiredInProgress(nowMS int64) int {
	rest := len(up.machines) - up.countIn(finished)
	left := up.startedMS + up.wave.GetDurationMs()*(percent-reservePercent)/percent - nowMS
	rounds := max(left/cycleMS, 1)
	return (rest + int(rounds) - 1) / int(rounds)
}

func (up *Wave) maxDown() int { return max(int(up.wave.GetAtOnce()), 1) }

// byLoad returns the machines in the order of their load.
func (up *Wave) byLoad(rows map[string]*workpb.Machine) []*machine {
	list := make([]*machine, 0, len(up.machines))
	loads := map[string]int{}
	for id, mc := range up.machines {
		list = append(list, mc)
		loads[id] = up.load(rows[id].GetVm())
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
func (up *Wave) planOrders(nowMS int64, rows map[string]*workpb.Machine) []string {
	var orders []string
	room := up.maxDown() - up.countDown(rows)
	for _, mc := range up.byLoad(rows) {
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
			up.cordon(mc.vm, true)
		}
		if !up.evacuate(mc.vm, up.urgent(nowMS)) || room <= 0 {
			continue
		}
		mc.state = orderPending
		orders = append(orders, mc.id)
		room--
	}
	return orders
}

// RecordAccepted records that the platform accepted a machine's maintenance.
func (up *Wave) RecordAccepted(id string, nowMS int64) {
	if mc, ok := up.machines[id]; ok && mc.state == orderPending {
		mc.state = orderAccepted
		mc.acceptedMS = nowMS
	}
}

// RecordRefused records that a machine's maintenance definitely did not begin.
func (up *Wave) RecordRefused(id string) {
	if mc, ok := up.machines[id]; ok && mc.state == orderPending {
		mc.state = draining
	}
}

// InProgress reports whether a machine is being drained or in maintenance, so that nothing else may operate on it.
func (up *Wave) InProgress(id string) bool {
	mc, ok := up.machines[id]
	return ok && (mc.state == draining || mc.state == orderPending || mc.state == orderAccepted)
}
