package wavestep

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/fulmarloft/fulmarloft/internal/budget"
	"github.com/fulmarloft/fulmarloft/internal/fleetpb"
	"github.com/fulmarloft/fulmarloft/internal/poolmembers"
	"github.com/fulmarloft/fulmarloft/internal/presence"
	"github.com/fulmarloft/fulmarloft/internal/vm"
	"github.com/fulmarloft/fulmarloft/internal/wave"
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

// correlatedFailures is the number of VMs of a pool that are down after the wave maintained them at which the maintenance itself is taken to be the cause.
const correlatedFailures = 2

// New decides from a snapshot of the pool; a VM of the wave that stays in one state for longer than timeoutMS counts as a failure.
func New(wv *wave.Wave, mb *poolmembers.Membership, pr *presence.Presence, pl pool.Pool, nowMS, timeoutMS int64) *Step {
	st := &Step{wv: wv, mb: mb, pr: pr, pl: pl, nowMS: nowMS, timeoutMS: timeoutMS, bg: budget.New(pl, mb, pr.Up)}
	if !pr.Fresh() {
		st.waitReason = "the VM list is too old to act on"
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
	for _, at := range st.inMaintenance() {
		if st.nowMS-at.SinceMS() > st.timeoutMS {
			return fmt.Sprintf("%s is %s for more than %d ms", at.Name(), vm.StateName(at.State()), st.timeoutMS)
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
	for _, at := range st.mb.VMs() {
		maintainedByWave := at.Wave() == st.wv.Name() && at.MaintainedMS() >= st.wv.StartedMS()
		if maintainedByWave && at.Serving() && !st.pr.Up(at) {
			down++
		}
	}
	return down
}

// inMaintenance returns the VMs that the wave has taken and that haven't returned to service yet.
func (st *Step) inMaintenance() []*vm.VM {
	var list []*vm.VM
	for _, at := range st.mb.VMs() {
		if at.Away() && at.Wave() == st.wv.Name() && at.Purpose() == fleetpb.VMPurpose_VM_PURPOSE_MAINTAIN {
			list = append(list, at)
		}
	}
	return list
}

func (st *Step) chooseVM() {
	inMaintenance := st.inMaintenance()
	remaining := 0
	var ready []*vm.VM
	for _, at := range st.mb.VMs() {
		if !st.wv.NeedsMaintenance(at) {
			continue
		}
		remaining++
		if st.pr.Up(at) {
			ready = append(ready, at)
		}
	}
	switch {
	case remaining == 0 && len(inMaintenance) == 0:
		st.done = true
	case len(inMaintenance) >= st.wv.Parallel():
		st.waitReason = "the wave already has its maximum number of VMs in maintenance"
	case len(ready) == 0:
		st.waitReason = "all VMs left to maintain are held, down or already in maintenance"
	default:
		st.pickWithinBudget(ready, inMaintenance)
	}
}

// pickWithinBudget chooses the first VM that the budget allows, from the zone in which the wave already has VMs in maintenance and preferably from the same racks; without any, from the first zone by name.
func (st *Step) pickWithinBudget(ready, inMaintenance []*vm.VM) {
	zone := firstZone(ready)
	racks := map[string]bool{}
	for _, at := range inMaintenance {
		zone = at.Zone()
		racks[at.Rack()] = true
	}
	slices.SortStableFunc(ready, func(aa, bb *vm.VM) int {
		return cmp.Or(
			-cmp.Compare(boolRank(racks[aa.Rack()]), boolRank(racks[bb.Rack()])),
			cmp.Compare(aa.MaintainedMS(), bb.MaintainedMS()),
			cmp.Compare(aa.SinceMS(), bb.SinceMS()),
		)
	})
	st.waitReason = "no VM is ready in zone " + zone
	for _, at := range ready {
		if at.Zone() != zone {
			continue
		}
		st.waitReason = st.bg.BlockReason(at.Name())
		if st.waitReason == "" {
			st.nextVM = at
			return
		}
	}
}

// firstZone returns the first zone by name.
func firstZone(ready []*vm.VM) string {
	zone := ready[0].Zone()
	for _, at := range ready {
		zone = min(zone, at.Zone())
	}
	return zone
}

func boolRank(in bool) int {
	if in {
		return 1
	}
	return 0
}
