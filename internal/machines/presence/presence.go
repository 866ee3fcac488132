package presence

import (
	"github.com/fulmarloft/fulmarloft/internal/machines/vm"
	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
)

// Presence interprets one reading of the VM list; a VM that it doesn't show to be up counts as down.
type Presence struct {
	asOfMS  int64
	fresh   bool
	listed  map[string]*platformpb.VM
	gone    map[string]bool
	failing func(name string) bool
}

// New interprets a list read at nowMS; a list that is older than maxAgeMS, or dated later than nowMS by more than that, shows no VM as up. The function failing, which may be nil, reports the VMs that this process observes to fail.
func New(list *platformpb.VMList, nowMS, maxAgeMS int64, failing func(name string) bool) *Presence {
	age := nowMS - list.GetAsOfMs()
	pr := &Presence{
		asOfMS:  list.GetAsOfMs(),
		fresh:   age <= maxAgeMS && age >= -maxAgeMS,
		listed:  make(map[string]*platformpb.VM, len(list.GetVms())),
		gone:    make(map[string]bool, len(list.GetGone())),
		failing: failing,
	}
	for _, listed := range list.GetVms() {
		pr.listed[listed.GetName()] = listed
	}
	for _, inc := range list.GetGone() {
		pr.gone[inc] = true
	}
	return pr
}

// Fresh reports whether the list is recent enough to base decisions on.
func (pr *Presence) Fresh() bool { return pr.fresh }

// Listed returns the list's entry for the VM of that name, or nil if there is none or its incarnation is listed as ended.
func (pr *Presence) Listed(name string) *platformpb.VM {
	listed := pr.listed[name]
	if pr.gone[listed.GetIncarnation()] {
		return nil
	}
	return listed
}

// Ended reports whether the incarnation is listed as permanently ended.
func (pr *Presence) Ended(incarnation string) bool { return pr.gone[incarnation] }

// Up reports whether the VM certainly takes work: its row allows it, a fresh list shows the same incarnation as not leaving, and the VM isn't observed to fail.
func (pr *Presence) Up(inst *vm.VM) bool {
	if !pr.fresh || !inst.Serving() {
		return false
	}
	listed := pr.Listed(inst.Name())
	if listed == nil || listed.GetLeaving() || listed.GetIncarnation() != inst.Incarnation() {
		return false
	}
	return pr.failing == nil || !pr.failing(inst.Name())
}

// HasReturned reports whether the list reflects the VM's state and shows the VM as present and not leaving.
func (pr *Presence) HasReturned(inst *vm.VM, marginMS int64) bool {
	if !pr.ReflectsState(inst, marginMS) {
		return false
	}
	listed := pr.Listed(inst.Name())
	return listed != nil && !listed.GetLeaving()
}

// ReflectsState reports whether the list is fresh and was made at least marginMS, which allows for clock skew, after the VM entered its state.
func (pr *Presence) ReflectsState(inst *vm.VM, marginMS int64) bool {
	return pr.fresh && pr.asOfMS >= inst.SinceMS()+marginMS
}
