package poolmembers

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/machines/vm"
	"github.com/fulmarloft/fulmarloft/internal/pb/fleetpb"
	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Membership is the row of one pool with the rows of its VMs from the same snapshot; it is immutable, With and Without return changed copies.
type Membership struct {
	row     *fleetpb.PoolRow
	version uint64
	vms     map[string]*vm.VM
}

const keyPrefix = "pool/"

// New returns the membership of a pool row that has the given version in the table.
func New(row *fleetpb.PoolRow, version uint64, vms []*vm.VM) *Membership {
	mb := &Membership{row: row, version: version, vms: make(map[string]*vm.VM, len(vms))}
	for _, inst := range vms {
		mb.vms[inst.Name()] = inst
	}
	return mb
}

// Parse decodes the membership from a row of the table, without VM rows; an absent row yields an empty pool.
func Parse(name string, row *platformpb.Row) (*Membership, error) {
	msg := &fleetpb.PoolRow{}
	if err := proto.Unmarshal(row.GetValue(), msg); err != nil {
		return nil, code.Internal.New("cannot decode row %s: %w", row.GetKey(), err)
	}
	msg.Name = name
	return New(msg, row.GetVersion(), nil), nil
}

// Key returns the row key of the pool with the given name.
func Key(name string) string { return keyPrefix + name }

// Name returns the pool's name.
func (mb *Membership) Name() string { return mb.row.GetName() }

// Members returns the names of the VMs that belong to the pool; the caller must not change the slice.
func (mb *Membership) Members() []string { return mb.row.GetMembers() }

// Away returns the names of the members that are unavailable for planned reasons, such as maintenance; the caller must not change the slice.
func (mb *Membership) Away() []string { return mb.row.GetAway() }

// RowNames returns the names of all VMs whose rows belong to the pool, including those that are gone.
func (mb *Membership) RowNames() []string {
	return append(slices.Clone(mb.row.GetMembers()), mb.row.GetGone()...)
}

// VM returns the row of a VM of the pool, or nil if it wasn't read.
func (mb *Membership) VM(name string) *vm.VM { return mb.vms[name] }

// VMs returns the rows of the members, sorted by name.
func (mb *Membership) VMs() []*vm.VM { return mb.list(mb.row.GetMembers()) }

// Gone returns the rows of the VMs that are gone, sorted by name.
func (mb *Membership) Gone() []*vm.VM { return mb.list(mb.row.GetGone()) }

// Complete reports whether the row of each VM of the pool was read.
func (mb *Membership) Complete() bool {
	for _, name := range mb.RowNames() {
		if mb.vms[name] == nil {
			return false
		}
	}
	return true
}

// With returns the membership with the VM's new row; a VM that isn't a member is added, one that is gone is listed as gone instead.
func (mb *Membership) With(inst *vm.VM) *Membership {
	next := mb.Without(inst.Name())
	next.vms[inst.Name()] = inst
	if inst.Gone() {
		next.row.Gone = insertSorted(next.row.Gone, inst.Name())
		return next
	}
	next.row.Members = insertSorted(next.row.Members, inst.Name())
	if inst.Away() {
		next.row.Away = insertSorted(next.row.Away, inst.Name())
	}
	return next
}

// Without returns the membership without the VM of that name.
func (mb *Membership) Without(name string) *Membership {
	next := New(proto.CloneOf(mb.row), mb.version, nil)
	next.row.Members = removeSorted(next.row.Members, name)
	next.row.Away = removeSorted(next.row.Away, name)
	next.row.Gone = removeSorted(next.row.Gone, name)
	for other, inst := range mb.vms {
		if other != name {
			next.vms[other] = inst
		}
	}
	return next
}

// Condition returns the commit condition that the pool's row is unchanged since it was read.
func (mb *Membership) Condition() *platformpb.Condition {
	return &platformpb.Condition{Key: Key(mb.Name()), Version: mb.version}
}

// Write returns the commit write that stores the pool's row.
func (mb *Membership) Write() (*platformpb.Write, error) {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(mb.row)
	if err != nil {
		return nil, code.Internal.Wrap(err)
	}
	return &platformpb.Write{Key: Key(mb.Name()), Value: raw}, nil
}

func (mb *Membership) list(names []string) []*vm.VM {
	out := make([]*vm.VM, 0, len(names))
	for _, name := range names {
		if inst := mb.vms[name]; inst != nil {
			out = append(out, inst)
		}
	}
	return out
}

func insertSorted(names []string, name string) []string {
	i, found := slices.BinarySearch(names, name)
	if found {
		return names
	}
	return slices.Insert(names, i, name)
}

func removeSorted(names []string, name string) []string {
	i, found := slices.BinarySearch(names, name)
	if !found {
		return names
	}
	return slices.Delete(names, i, i+1)
}
