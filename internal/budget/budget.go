package budget

import (
	"fmt"
	"maps"
	"slices"

	"github.com/fulmarloft/fulmarloft/internal/membership"
	"github.com/fulmarloft/fulmarloft/internal/vm"
	"github.com/fulmarloft/fulmarloft/pkg/code"
	"github.com/fulmarloft/fulmarloft/pkg/pool"
)

// Budget weighs a pool's members against the most that may be unavailable, counting every member that isn't surely up as down.
type Budget struct {
	pl    pool.Pool
	live  int
	away  int
	racks map[string]int
	zones map[string]int
	total map[string]int
	up    map[string]*vm.VM
}

// New returns the budget of a pool as read; up tells whether a VM surely takes work.
func New(pl pool.Pool, mb *membership.Membership, up func(*vm.VM) bool) *Budget {
	bg := &Budget{
		pl:    pl,
		racks: map[string]int{},
		zones: map[string]int{},
		total: map[string]int{},
		up:    map[string]*vm.VM{},
	}
	for _, at := range mb.VMs() {
		if !at.Arriving() {
			bg.add(at, up(at))
		}
	}
	return bg
}

// add counts a member; one that is still arriving isn't missed yet and is left out.
func (bg *Budget) add(at *vm.VM, up bool) {
	bg.live++
	bg.total[at.Zone()]++
	if at.Away() {
		bg.away++
	}
	if up {
		bg.up[at.Name()] = at
		bg.racks[at.Rack()]++
		bg.zones[at.Zone()]++
	}
}

// Down returns how many VMs the pool lacks against the larger of its size and its members.
func (bg *Budget) Down() int { return max(bg.pl.Size(), bg.live) - len(bg.up) }

// Unplanned returns how many members are down without our doing.
func (bg *Budget) Unplanned() int { return bg.live - bg.away - len(bg.up) }

// WorstRack returns the most members that are up in one rack.
func (bg *Budget) WorstRack() int { return worst(bg.racks) }

// Check refuses with BudgetExhausted when BlockReason gives a reason.
func (bg *Budget) Check(name string) error {
	if why := bg.BlockReason(name); why != "" {
		return code.BudgetExhausted.New("%s", why)
	}
	return nil
}

// BlockReason returns why the VM may not be taken, empty when it may: the pool couldn't lose it and then the worst of the racks still up, or it is the last one up of a pool other than the spare one in its zone.
func (bg *Budget) BlockReason(name string) string {
	at := bg.up[name]
	if at == nil {
		return bg.whyDown(name)
	}
	if !bg.pl.Spare() && bg.zones[at.Zone()] == 1 && bg.total[at.Zone()] > 1 {
		return fmt.Sprintf("pool %s: %s is the last VM that is up in zone %s", bg.pl.Name(), name, at.Zone())
	}
	return bg.fits(bg.Down()+1, bg.after(at.Rack()))
}

// PoolBlockReason returns why no VM at all may be taken now, empty when one may.
func (bg *Budget) PoolBlockReason() string {
	why := fmt.Sprintf("pool %s has no VM that is up", bg.pl.Name())
	for _, name := range slices.Sorted(maps.Keys(bg.up)) {
		why = bg.BlockReason(name)
		if why == "" {
			return ""
		}
	}
	return why
}

// whyDown weighs a member that is down already: taking it costs nothing more, but may not hide that the budget is spent.
func (bg *Budget) whyDown(name string) string {
	if bg.Down() <= bg.pl.Budget() {
		return ""
	}
	return fmt.Sprintf("pool %s: %d down, at most %d allowed; %s stays", bg.pl.Name(), bg.Down(), bg.pl.Budget(), name)
}

func (bg *Budget) fits(down, rack int) string {
	if down+rack <= bg.pl.Budget() {
		return ""
	}
	return fmt.Sprintf("pool %s: %d would be down and a rack holds %d more, at most %d allowed", bg.pl.Name(), down, rack, bg.pl.Budget())
}

// after returns the worst rack once one VM of the given rack is taken.
func (bg *Budget) after(rack string) int {
	most := 0
	for other, cnt := range bg.racks {
		if other == rack {
			cnt--
		}
		most = max(most, cnt)
	}
	return most
}

func worst(racks map[string]int) int {
	most := 0
	for _, cnt := range racks {
		most = max(most, cnt)
	}
	return most
}
