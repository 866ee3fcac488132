package wavestep

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/fulmarloft/fulmarloft/internal/machines/budget"
	"github.com/fulmarloft/fulmarloft/internal/machines/poolmembers"
	"github.com/fulmarloft/fulmarloft/internal/machines/presence"
	"github.com/fulmarloft/fulmarloft/internal/machines/vm"
	"github.com/fulmarloft/fulmarloft/internal/machines/wave"
	"github.com/fulmarloft/fulmarloft/internal/pb/fleetpb"
	"github.com/fulmarloft/fulmarloft/pkg/pool"
)

// Step is the decision for one pool: the next VM to drain, a failure that halts the wave, that the pool is finished, or a reason to wait.
type Step struct {
	wv         *wave.Wave
	mb         *poolmembers.Membership
	pr         *presence.Presence
	bg         *budget.Budget
	pl         pool.Pool
	nowMS      int64
	timeoutMS  int64
	nextVM     *vm.VM
	failure    string
	waitReason string
	done       bool
}

// correlatedFailures is how many VMs of a pool must be down after the wave maintained them for the maintenance itself to be taken as the cause.
const correlatedFailures = 2

// New decides from a snapshot of the pool; a VM of the wave that stays in one state for longer than timeoutMS counts as a failure.
func New(wv *wave.Wave, mb *poolmembers.Membership, pr *presence.Presence, pl pool.Pool, nowMS, timeoutMS int64) *Step {
	st := &Step{wv: wv, mb: mb, pr: pr, pl: pl, nowMS: nowMS, timeoutMS: timeoutMS, bg: budget.New(pl, mb, pr.Up)}
	if !pr.Fresh() {
		st.waitReason = "the list of VMs is too old to decide by"
		return st
	}
	st.failure = st.findFailure()
	if st.failure == "" && wv.Running() {
		st.chooseVM()
	}
	return st
}

// Next returns the VM to drain next, nil if there is none.
func (st *Step) Next() *vm.VM { return st.nextVM }

// Failure returns the failure that halts the wave, empty if there is none.
func (st *Step) Failure() string { return st.failure }

// WaitReason returns why no VM is drained, empty if one is, if the wave is halted or halts now, or if the pool is finished.
func (st *Step) WaitReason() string { return st.waitReason }

// Done reports whether the pool has no VM left to maintain.
func (st *Step) Done() bool { return st.done }

// findFailure describes a VM that exceeds the timeout, unplanned downtime beyond the budget or VMs that are down after their maintenance; it returns an empty string if there is none of these.
func (st *Step) findFailure() string {
	for _, inst := range st.inMaintenance() {
		if st.nowMS-inst.SinceMS() > st.timeoutMS {
			return fmt.Sprintf("%s is %s for more than %d ms", inst.Name(), vm.StateName(inst.State()), st.timeoutMS)
		}
	}
	if unplanned := st.bg.Unplanned(); unplanned > st.pl.MaxUnavailable() {
		return fmt.Sprintf("pool %s: %d VMs are down without our doing, more than the %d allowed", st.pl.Name(), unplanned, st.pl.MaxUnavailable())
	}
	if down := st.downAfterMaintenance(); down >= correlatedFailures {
		return fmt.Sprintf("pool %s: %d VMs are down after their maintenance in this wave", st.pl.Name(), down)
	}
	return ""
}

// downAfterMaintenance counts the VMs that the wave maintained and returned to service and that are down now.
func (st *Step) downAfterMaintenance() int {
	down := 0
	for _, inst := range st.mb.VMs() {
		maintainedByWave := inst.Wave() == st.wv.Name() && inst.MaintainedMS() >= st.wv.StartedMS()
		if maintainedByWave && inst.Serving() && !st.pr.Up(inst) {
			down++
		}
	}
	return down
}

// inMaintenance returns the VMs that the wave has taken and that haven't returned to service yet.
func (st *Step) inMaintenance() []*vm.VM {
	var list []*vm.VM
	for _, inst := range st.mb.VMs() {
		if inst.Away() && inst.Wave() == st.wv.Name() && inst.Purpose() == fleetpb.VMPurpose_VM_PURPOSE_MAINTAIN {
			list = append(list, inst)
		}
	}
	return list
}

func (st *Step) chooseVM() {
	inMaintenance := st.inMaintenance()
	remaining := 0
	var ready []*vm.VM
	for _, inst := range st.mb.VMs() {
		if !st.wv.NeedsMaintenance(inst) {
			continue
		}
		remaining++
		if st.pr.Up(inst) {
			ready = append(ready, inst)
		}
	}
	switch {
	case remaining == 0 && len(inMaintenance) == 0:
		st.done = true
	case len(inMaintenance) >= st.wv.Parallel():
		st.waitReason = "VMs of the wave are under way"
	case len(ready) == 0:
		st.waitReason = "VMs left to maintain are held, down or under way"
	default:
		st.pickWithinBudget(ready, inMaintenance)
	}
}

// pickWithinBudget chooses the first VM that the budget allows, from the zone in which the wave already has VMs in maintenance and preferably from the same racks; without any, from the first zone by name.
func (st *Step) pickWithinBudget(ready, inMaintenance []*vm.VM) {
	zone := firstZone(ready)
	racks := map[string]bool{}
	for _, inst := range inMaintenance {
		zone = inst.Zone()
		racks[inst.Rack()] = true
	}
	slices.SortStableFunc(ready, func(a, b *vm.VM) int {
		return cmp.Or(
			-cmp.Compare(boolRank(racks[a.Rack()]), boolRank(racks[b.Rack()])),
			cmp.Compare(a.MaintainedMS(), b.MaintainedMS()),
			cmp.Compare(a.SinceMS(), b.SinceMS()),
		)
	})
	st.waitReason = "no VM is ready in zone " + zone
	for _, inst := range ready {
		if inst.Zone() != zone {
			continue
		}
		st.waitReason = st.bg.BlockReason(inst.Name())
		if st.waitReason == "" {
			st.nextVM = inst
			return
		}
	}
}

// firstZone returns the first zone by name.
func firstZone(ready []*vm.VM) string {
	zone := ready[0].Zone()
	for _, inst := range ready {
		zone = min(zone, inst.Zone())
	}
	return zone
}

func boolRank(in bool) int {
	if in {
		return 1
	}
	return 0
}
