package wavestep

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/fulmarloft/fulmarloft/internal/budget"
	"github.com/fulmarloft/fulmarloft/internal/fleetpb"
	"github.com/fulmarloft/fulmarloft/internal/membership"
	"github.com/fulmarloft/fulmarloft/internal/presence"
	"github.com/fulmarloft/fulmarloft/internal/vm"
	"github.com/fulmarloft/fulmarloft/internal/wave"
	"github.com/fulmarloft/fulmarloft/pkg/pool"
)

// Step is the decision: a VM to take, a failure that halts the wave, the end of the pool, or a reason to wait.
type Step struct {
	wv      *wave.Wave
	mb      *membership.Membership
	pr      *presence.Presence
	bg      *budget.Budget
	pl      pool.Pool
	nowMS   int64
	lateMS  int64
	take    *vm.VM
	failure string
	wait    string
	done    bool
}

// correlated is how many VMs that the wave maintained may be down in a pool before the maintenance itself is the suspect.
const correlated = 2

// New decides for a pool as read; a VM of the wave that stays in one state for longer than lateMS is a failure.
func New(wv *wave.Wave, mb *membership.Membership, pr *presence.Presence, pl pool.Pool, nowMS, lateMS int64) *Step {
	st := &Step{wv: wv, mb: mb, pr: pr, pl: pl, nowMS: nowMS, lateMS: lateMS, bg: budget.New(pl, mb, pr.Up)}
	if !pr.Fresh() {
		st.wait = "the list of VMs is too old to decide by"
		return st
	}
	st.failure = st.findFailure()
	if st.failure == "" && wv.Running() {
		st.choose()
	}
	return st
}

// Take returns the VM to drain next, nil when there is none.
func (st *Step) Take() *vm.VM { return st.take }

// Failure returns what halts the wave, empty when nothing does.
func (st *Step) Failure() string { return st.failure }

// Wait returns why no VM is taken, empty when one is or the pool is finished.
func (st *Step) Wait() string { return st.wait }

// Done reports whether the pool has no VM left to maintain.
func (st *Step) Done() bool { return st.done }

func (st *Step) findFailure() string {
	for _, at := range st.underWay() {
		if st.nowMS-at.SinceMS() > st.lateMS {
			return fmt.Sprintf("%s is %s for more than %d ms", at.Name(), vm.StateName(at.State()), st.lateMS)
		}
	}
	if lost := st.bg.Unplanned(); lost > st.pl.Budget() {
		return fmt.Sprintf("pool %s: %d VMs are down without our doing, more than the %d allowed", st.pl.Name(), lost, st.pl.Budget())
	}
	if bad := st.downAfter(); bad >= correlated {
		return fmt.Sprintf("pool %s: %d VMs are down after their maintenance in this wave", st.pl.Name(), bad)
	}
	return ""
}

// downAfter counts the VMs that the wave brought back and that are down now.
func (st *Step) downAfter() int {
	bad := 0
	for _, at := range st.mb.VMs() {
		ours := at.Wave() == st.wv.Name() && at.MaintainedMS() >= st.wv.StartedMS()
		if ours && at.Serving() && !st.pr.Up(at) {
			bad++
		}
	}
	return bad
}

func (st *Step) underWay() []*vm.VM {
	var list []*vm.VM
	for _, at := range st.mb.VMs() {
		if at.Away() && at.Wave() == st.wv.Name() && at.Purpose() == fleetpb.VMPurpose_VM_PURPOSE_MAINTAIN {
			list = append(list, at)
		}
	}
	return list
}

func (st *Step) choose() {
	under := st.underWay()
	left := 0
	var ready []*vm.VM
	for _, at := range st.mb.VMs() {
		if !st.wv.Needs(at) {
			continue
		}
		left++
		if st.pr.Up(at) {
			ready = append(ready, at)
		}
	}
	switch {
	case left == 0 && len(under) == 0:
		st.done = true
	case len(under) >= st.wv.Parallel():
		st.wait = "VMs of the wave are under way"
	case len(ready) == 0:
		st.wait = "VMs left to maintain are held, down or under way"
	default:
		st.pick(ready, under)
	}
}

// pick takes the first VM that the budget allows, staying in the zone and the racks that the wave is in.
func (st *Step) pick(ready, under []*vm.VM) {
	zone := first(ready)
	racks := map[string]bool{}
	for _, at := range under {
		zone = at.Zone()
		racks[at.Rack()] = true
	}
	slices.SortStableFunc(ready, func(aa, bb *vm.VM) int {
		return cmp.Or(
			-cmp.Compare(rank(racks[aa.Rack()]), rank(racks[bb.Rack()])),
			cmp.Compare(aa.MaintainedMS(), bb.MaintainedMS()),
			cmp.Compare(aa.SinceMS(), bb.SinceMS()),
		)
	})
	st.wait = "no VM is ready in zone " + zone
	for _, at := range ready {
		if at.Zone() != zone {
			continue
		}
		st.wait = st.bg.BlockReason(at.Name())
		if st.wait == "" {
			st.take = at
			return
		}
	}
}

func first(ready []*vm.VM) string {
	zone := ready[0].Zone()
	for _, at := range ready {
		zone = min(zone, at.Zone())
	}
	return zone
}

func rank(in bool) int {
	if in {
		return 1
	}
	return 0
}
