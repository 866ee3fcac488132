package presence

import (
	"github.com/fulmarloft/fulmarloft/internal/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/vm"
)

// Presence is one reading of the list; what it can't show to be up counts as down.
type Presence struct {
	asOfMS  int64
	fresh   bool
	listed  map[string]*platformpb.VM
	gone    map[string]bool
	suspect func(name string) bool
}

// New returns the reading of a list at the given time, of which nothing counts when it is older than maxAgeMS or dated later than now by more than that; suspect may name VMs that this process knows to fail and may be nil.
func New(list *platformpb.VMList, nowMS, maxAgeMS int64, suspect func(name string) bool) *Presence {
	age := nowMS - list.GetAsOfMs()
	pr := &Presence{
		asOfMS:  list.GetAsOfMs(),
		fresh:   age <= maxAgeMS && age >= -maxAgeMS,
		listed:  make(map[string]*platformpb.VM, len(list.GetVms())),
		gone:    make(map[string]bool, len(list.GetGone())),
		suspect: suspect,
	}
	for _, seen := range list.GetVms() {
		pr.listed[seen.GetName()] = seen
	}
	for _, inc := range list.GetGone() {
		pr.gone[inc] = true
	}
	return pr
}

// Fresh reports whether the list is young enough to decide by.
func (pr *Presence) Fresh() bool { return pr.fresh }

// Listed returns the listed VM of that name, nil when it isn't listed or its incarnation is known to have ended.
func (pr *Presence) Listed(name string) *platformpb.VM {
	seen := pr.listed[name]
	if pr.gone[seen.GetIncarnation()] {
		return nil
	}
	return seen
}

// Ended reports whether the incarnation is known to have ended for good.
func (pr *Presence) Ended(incarnation string) bool { return pr.gone[incarnation] }

// Up reports whether the VM surely takes work: its row lets it, and a fresh list shows its incarnation and no sign of leaving.
func (pr *Presence) Up(at *vm.VM) bool {
	if !pr.fresh || !at.Serving() {
		return false
	}
	seen := pr.Listed(at.Name())
	if seen == nil || seen.GetLeaving() || seen.GetIncarnation() != at.Incarnation() {
		return false
	}
	return pr.suspect == nil || !pr.suspect(at.Name())
}

// HasReturned reports whether a list made after the VM entered its state, by more than the margin, shows it as not leaving.
func (pr *Presence) HasReturned(at *vm.VM, marginMS int64) bool {
	if !pr.ReflectsState(at, marginMS) {
		return false
	}
	seen := pr.Listed(at.Name())
	return seen != nil && !seen.GetLeaving()
}

// ReflectsState reports whether the list was made after the VM entered its state, by more than the margin between the clocks.
func (pr *Presence) ReflectsState(at *vm.VM, marginMS int64) bool {
	return pr.fresh && pr.asOfMS >= at.SinceMS()+marginMS
}
