package budget

import (
	"fmt"
	"maps"
	"slices"

	"github.com/fulmarloft/fulmarloft/internal/machines/poolmembers"
	"github.com/fulmarloft/fulmarloft/internal/machines/vm"
	"github.com/fulmarloft/fulmarloft/pkg/code"
	"github.com/fulmarloft/fulmarloft/pkg/pool"
)

// Budget compares a pool's unavailable members with the maximum allowed; every member that isn't known to be up counts as down.
type Budget struct {
	pl      pool.Pool
	members int
	// away counts the members that are unavailable as planned.
	away          int
	upByRack      map[string]int
	upByZone      map[string]int
	membersByZone map[string]int
	up            map[string]*vm.VM
}

// New returns the budget of a pool and its members as read; up tells whether a VM is known to take work.
func New(pl pool.Pool, mb *poolmembers.Membership, up func(*vm.VM) bool) *Budget {
	bg := &Budget{
		pl:            pl,
		upByRack:      map[string]int{},
		upByZone:      map[string]int{},
		membersByZone: map[string]int{},
		up:            map[string]*vm.VM{},
	}
	for _, inst := range mb.VMs() {
		if !inst.Arriving() {
			bg.add(inst, up(inst))
		}
	}
	return bg
}

// add counts a member; New leaves out VMs that are still arriving, since the pool doesn't rely on them yet.
func (bg *Budget) add(inst *vm.VM, up bool) {
	bg.members++
	bg.membersByZone[inst.Zone()]++
	if inst.Away() {
		bg.away++
	}
	if up {
		bg.up[inst.Name()] = inst
		bg.upByRack[inst.Rack()]++
		bg.upByZone[inst.Zone()]++
	}
}

// Down returns how many VMs are missing: the pool's size, or its number of members if that is larger, minus the members that are up.
func (bg *Budget) Down() int { return max(bg.pl.Size(), bg.members) - len(bg.up) }

// Unplanned returns how many members are down without a planned cause.
func (bg *Budget) Unplanned() int { return bg.members - bg.away - len(bg.up) }

// WorstRack returns the largest number of members that are up in one rack.
func (bg *Budget) WorstRack() int { return maxCount(bg.upByRack) }

// Check returns a BudgetExhausted error if the VM may not be made unavailable.
func (bg *Budget) Check(name string) error {
	if reason := bg.BlockReason(name); reason != "" {
		return code.BudgetExhausted.New("%s", reason)
	}
	return nil
}

// BlockReason returns why the VM may not be made unavailable, empty if it may: the budget must still cover the loss of the largest remaining rack afterwards, and except in the spare pool the VM must not be the last one up in its zone.
func (bg *Budget) BlockReason(name string) string {
	inst := bg.up[name]
	if inst == nil {
		return bg.blockReasonDown(name)
	}
	if !bg.pl.Spare() && bg.upByZone[inst.Zone()] == 1 && bg.membersByZone[inst.Zone()] > 1 {
		return fmt.Sprintf("pool %s: %s is the last VM that is up in zone %s", bg.pl.Name(), name, inst.Zone())
	}
	return bg.overBudgetReason(bg.Down()+1, bg.worstRackAfter(inst.Rack()))
}

// PoolBlockReason returns why no VM of the pool may be made unavailable now, empty if one may.
func (bg *Budget) PoolBlockReason() string {
	reason := fmt.Sprintf("pool %s has no VM that is up", bg.pl.Name())
	for _, name := range slices.Sorted(maps.Keys(bg.up)) {
		reason = bg.BlockReason(name)
		if reason == "" {
			return ""
		}
	}
	return reason
}

// blockReasonDown returns why a member that is already down may not be made unavailable, empty if it may. Maintaining it makes no further VM unavailable, but is refused while the pool exceeds its budget, so that it doesn't hide that.
func (bg *Budget) blockReasonDown(name string) string {
	if bg.Down() <= bg.pl.MaxUnavailable() {
		return ""
	}
	return fmt.Sprintf("pool %s: %d down, at most %d allowed; %s stays", bg.pl.Name(), bg.Down(), bg.pl.MaxUnavailable(), name)
}

// overBudgetReason returns why the down VMs and the loss of the worst rack exceed the budget, empty if they don't.
func (bg *Budget) overBudgetReason(down, worstRack int) string {
	if down+worstRack <= bg.pl.MaxUnavailable() {
		return ""
	}
	return fmt.Sprintf("pool %s: %d would be down and a rack holds %d more, at most %d allowed", bg.pl.Name(), down, worstRack, bg.pl.MaxUnavailable())
}

// worstRackAfter returns the largest number of members up in one rack after a VM of the given rack became unavailable.
func (bg *Budget) worstRackAfter(rack string) int {
	highest := 0
	for other, cnt := range bg.upByRack {
		if other == rack {
			cnt--
		}
		highest = max(highest, cnt)
	}
	return highest
}

func maxCount(counts map[string]int) int {
	highest := 0
	for _, cnt := range counts {
		highest = max(highest, cnt)
	}
	return highest
}
