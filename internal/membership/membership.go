package membership

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/fleetpb"
	"github.com/fulmarloft/fulmarloft/internal/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/vm"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Membership is the row of one pool with the rows of its VMs from the same snapshot; it doesn't change, With and Without return the next one.
type Membership struct {
	row     *fleetpb.PoolRow
	version uint64
	vms     map[string]*vm.VM
}

const keyPrefix = "pool/"

// New returns the membership of a pool row at the table's version.
func New(row *fleetpb.PoolRow, version uint64, vms []*vm.VM) *Membership {
	mb := &Membership{row: row, version: version, vms: make(map[string]*vm.VM, len(vms))}
	for _, at := range vms {
		mb.vms[at.Name()] = at
	}
	return mb
}

// Parse returns the membership of a row of the table, without VM rows; an absent row is an empty pool.
func Parse(name string, row *platformpb.Row) (*Membership, error) {
	msg := &fleetpb.PoolRow{}
	if err := proto.Unmarshal(row.GetValue(), msg); err != nil {
		return nil, code.Internal.Wrap(err)
	}
	msg.Name = name
	return New(msg, row.GetVersion(), nil), nil
}

// Key returns the key of the row of a pool by name.
func Key(name string) string { return keyPrefix + name }

// Name returns the pool's name.
func (mb *Membership) Name() string { return mb.row.GetName() }

// Members returns the names of the VMs that belong to the pool; the caller must not change the slice.
func (mb *Membership) Members() []string { return mb.row.GetMembers() }

// Away returns the names of the members that are unavailable by our own doing; the caller must not change the slice.
func (mb *Membership) Away() []string { return mb.row.GetAway() }

// RowNames returns the names of all VMs whose row names the pool, gone ones included.
func (mb *Membership) RowNames() []string {
	return append(slices.Clone(mb.row.GetMembers()), mb.row.GetGone()...)
}

// VM returns the row of a VM of the pool, nil when it wasn't read.
func (mb *Membership) VM(name string) *vm.VM { return mb.vms[name] }

// VMs returns the rows of the members in order of their names.
func (mb *Membership) VMs() []*vm.VM { return mb.list(mb.row.GetMembers()) }

// Gone returns the rows of the VMs that are gone, in order of their names.
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

// With returns the membership after a step of a VM, which belongs to it or joins it.
func (mb *Membership) With(at *vm.VM) *Membership {
	next := mb.Without(at.Name())
	next.vms[at.Name()] = at
	if at.Gone() {
		next.row.Gone = insert(next.row.Gone, at.Name())
		return next
	}
	next.row.Members = insert(next.row.Members, at.Name())
	if at.Away() {
		next.row.Away = insert(next.row.Away, at.Name())
	}
	return next
}

// Without returns the membership after a VM left it.
func (mb *Membership) Without(name string) *Membership {
	next := New(proto.CloneOf(mb.row), mb.version, nil)
	next.row.Members = remove(next.row.Members, name)
	next.row.Away = remove(next.row.Away, name)
	next.row.Gone = remove(next.row.Gone, name)
	for other, at := range mb.vms {
		if other != name {
			next.vms[other] = at
		}
	}
	return next
}

// Condition returns the condition that holds while the pool's row is as read.
func (mb *Membership) Condition() *platformpb.Condition {
	return &platformpb.Condition{Key: Key(mb.Name()), Version: mb.version}
}

// Write returns the write that puts the pool's row.
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
		if at := mb.vms[name]; at != nil {
			out = append(out, at)
		}
	}
	return out
}

func insert(names []string, name string) []string {
	at, found := slices.BinarySearch(names, name)
	if found {
		return names
	}
	return slices.Insert(names, at, name)
}

func remove(names []string, name string) []string {
	at, found := slices.BinarySearch(names, name)
	if !found {
		return names
	}
	return slices.Delete(names, at, at+1)
}
