package upkeep

import (
	"sort"

	"github.com/fulmarloft/fulmarloft/internal/workpb"
)

// Upkeep drives one wave; it isn't safe for concurrent use.
type Upkeep struct {
	wave     *workpb.Wave
	machines map[string]*machine
	// cordon keeps new work from a VM, evacuate empties it, by force also of work that would end by itself, and reports whether it is empty, load counts what runs there.
	cordon   func(vm string, cordoned bool)
	evacuate func(vm string, force bool) bool
	load     func(vm string) int
	// lasting reports whether tasks that last run on a VM.
	hasLongRunning func(vm string) bool
	done           bool
	startedMS      int64
}

type state int

const (
	waiting state = iota
	// emptying: the machine's VM takes no new work.
	draining
	// intended: the order is to be stored and sent.
	orderPending
	// ordered: the order was accepted.
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
	// cycleMS is about how long one machine takes from its emptying until it is back.
	cycleMS = 5000
	// urgentCycles is how many cycles before the end of its time a wave becomes urgent.
	urgentCycles = 2
	// reservePercent is the part of the wave's time that is left for what goes wrong.
	reservePercent = 35
	percent        = 100
	// slowAhead is how many machines with tasks that last are emptied beside the others, since these leave one after the other.
	extraLongRunning = 3
	// settleMS is how long after the order the list of machines must have been read to tell that the machine is back.
	listDelayMS = 500
)

// New returns the driver of a wave.
func New(wave *workpb.Wave, cordon func(string, bool), evacuate func(string, bool) bool, load func(string) int, lasting func(string) bool) *Upkeep {
	up := &Upkeep{wave: wave, machines: map[string]*machine{}, cordon: cordon, evacuate: evacuate, load: load, hasLongRunning: lasting}
	for _, id := range wave.GetMachines() {
		up.machines[id] = &machine{id: id}
	}
	return up
}

// Restore takes up what an earlier owner stored; orders whose outcome isn't stored are given again, which is idempotent.
func (up *Upkeep) Restore(row *workpb.Upkeep) {
	for _, id := range row.GetDone() {
		if mc, ok := up.machines[id]; ok {
			mc.state = finished
		}
	}
	up.done = row.GetCompleted()
	up.startedMS = row.GetBeganMs()
}

// Row returns what is to be stored.
func (up *Upkeep) Row() *workpb.Upkeep {
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

// Done reports whether all machines that still exist had their maintenance.
func (up *Upkeep) Done() bool { return up.done }

// Step takes up a list of machines that was read from readMS on and returns the machines whose maintenance is to be ordered, once Row is stored.
func (up *Upkeep) Step(nowMS, readMS int64, list []*workpb.Machine) []string {
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

// observe notes the machines that are back and those that have gone for good.
func (up *Upkeep) updateStates(readMS int64, rows map[string]*workpb.Machine) {
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

// down counts the machines that are or may be down for the wave.
func (up *Upkeep) countDown(rows map[string]*workpb.Machine) int {
	count := 0
	for id, mc := range up.machines {
		if mc.state == orderPending || mc.state == orderAccepted || rows[id].GetInUpkeep() {
			count++
		}
	}
	return count
}

func (up *Upkeep) countIn(st state) int {
	count := 0
	for _, mc := range up.machines {
		if mc.state == st {
			count++
		}
	}
	return count
}

// empty begins to empty machines: idle ones as soon as they may go down, busy ones only as fast as the wave's time asks for.
func (up *Upkeep) startDraining(nowMS int64, rows map[string]*workpb.Machine) {
	inHand := up.countIn(draining) + up.countDown(rows)
	pace := up.requiredInProgress(nowMS)
	for _, mc := range up.byLoad(rows) {
		row := rows[mc.id]
		if mc.state != waiting || !row.GetUp() {
			continue
		}
		limit := up.maxDown()
		switch {
		case up.hasLongRunning(row.GetVm()):
			limit = pace + extraLongRunning
		case up.load(row.GetVm()) > 0:
			limit = min(limit, pace)
		}
		if inHand >= limit {
			continue
		}
		mc.state = draining
		mc.vm = row.GetVm()
		up.cordon(mc.vm, true)
		inHand++
	}
}

// Empty goes on emptying the VMs of the machines in hand.
func (up *Upkeep) Drain(nowMS int64) {
	for _, mc := range up.machines {
		if mc.state == draining {
			up.evacuate(mc.vm, up.urgent(nowMS))
		}
	}
}

// urgent reports whether the wave's time is so short that work is stopped that would have ended by itself.
func (up *Upkeep) urgent(nowMS int64) bool {
	return nowMS > up.startedMS+up.wave.GetDurationMs()-urgentCycles*cycleMS
}

// pace returns how many machines must be in hand at once for the wave to end in time.
func (up *Upkeep) requiredInProgress(nowMS int64) int {
	rest := len(up.machines) - up.countIn(finished)
	left := up.startedMS + up.wave.GetDurationMs()*(percent-reservePercent)/percent - nowMS
	rounds := max(left/cycleMS, 1)
	return (rest + int(rounds) - 1) / int(rounds)
}

func (up *Upkeep) maxDown() int { return max(int(up.wave.GetAtOnce()), 1) }

// inOrder returns the machines by their load.
func (up *Upkeep) byLoad(rows map[string]*workpb.Machine) []*machine {
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

func (up *Upkeep) planOrders(nowMS int64, rows map[string]*workpb.Machine) []string {
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

// Accepted notes that the platform has accepted a machine's maintenance.
func (up *Upkeep) Accepted(id string, nowMS int64) {
	if mc, ok := up.machines[id]; ok && mc.state == orderPending {
		mc.state = orderAccepted
		mc.acceptedMS = nowMS
	}
}

// Refused notes that a machine's maintenance certainly didn't begin.
func (up *Upkeep) Refused(id string) {
	if mc, ok := up.machines[id]; ok && mc.state == orderPending {
		mc.state = draining
	}
}

// Busy reports whether the wave has a machine in hand, so that nobody else may operate it.
func (up *Upkeep) Busy(id string) bool {
	mc, ok := up.machines[id]
	return ok && (mc.state == draining || mc.state == orderPending || mc.state == orderAccepted)
}
