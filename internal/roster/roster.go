package roster

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/configpb"
	"github.com/fulmarloft/fulmarloft/internal/margin"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Roster is one epoch of the registered entries; it doesn't change, each change returns a new one.
type Roster struct {
	msg *configpb.Roster
}

// Keys of the rows of the roster: the whole, and its epoch alone for frequent reads; both are written together.
const (
	Key      = "roster"
	EpochKey = "roster-epoch"
)

const maxUnsettled = 64

// New returns the roster of a message; nil stands for the empty roster of epoch 0.
func New(msg *configpb.Roster) *Roster {
	if msg == nil {
		msg = &configpb.Roster{}
	}
	return &Roster{msg: msg}
}

// Parse reads the roster from its row; an empty value is the empty roster.
func Parse(raw []byte) (*Roster, error) {
	msg := &configpb.Roster{}
	if err := proto.Unmarshal(raw, msg); err != nil {
		return nil, code.Internal.Wrap(err)
	}
	return New(msg), nil
}

// Bytes returns the row's value.
func (rs *Roster) Bytes() ([]byte, error) { return proto.Marshal(rs.msg) }

// Message returns the roster as it goes to peers; the caller must not change it.
func (rs *Roster) Message() *configpb.Roster { return rs.msg }

// Epoch returns the epoch, which rises with each change.
func (rs *Roster) Epoch() uint64 { return rs.msg.GetEpoch() }

// Members returns the registered entries; the caller must not change the slice.
func (rs *Roster) Members() []*configpb.Member { return rs.msg.GetMembers() }

// Has reports whether an incarnation is registered.
func (rs *Roster) Has(incarnation string) bool { return rs.Find(incarnation) != nil }

// Find returns a registered incarnation, or nil.
func (rs *Roster) Find(incarnation string) *configpb.Member {
	for _, mb := range rs.msg.GetMembers() {
		if mb.GetIncarnation() == incarnation {
			return mb
		}
	}
	return nil
}

// Named returns the registered incarnation of a name, or nil.
func (rs *Roster) Named(name string) *configpb.Member {
	for _, mb := range rs.msg.GetMembers() {
		if mb.GetName() == name {
			return mb
		}
	}
	return nil
}

// Groups returns the incarnations of the current roster and of each unsettled one; a promise of the fleet has to cover each group.
func (rs *Roster) Groups() [][]string {
	groups := [][]string{incarnations(rs.msg.GetMembers())}
	for _, old := range rs.msg.GetUnsettled() {
		groups = append(groups, old.GetIncarnations())
	}
	return groups
}

// Join returns the roster with the member in place of any other incarnation of its name.
func (rs *Roster) Join(mb *configpb.Member) (*Roster, error) {
	if rs.Has(mb.GetIncarnation()) {
		return rs, nil
	}
	keep := rs.without(func(other *configpb.Member) bool { return other.GetName() == mb.GetName() })
	to, err := rs.next(append(keep, mb))
	if err != nil {
		return nil, err
	}
	if old := rs.Named(mb.GetName()); old != nil && old.GetPeerAddress() == mb.GetPeerAddress() {
		to.msg.Superseded = append(to.msg.GetSuperseded(), old.GetIncarnation())
	}
	return to, nil
}

// Superseded returns the incarnations that can't be reached any more, because another one of their name listens at their address.
func (rs *Roster) Superseded() []string { return rs.msg.GetSuperseded() }

// Leave returns the roster without the incarnations for which gone is true, or the same roster when there are none.
func (rs *Roster) Leave(gone func(incarnation string) bool) (*Roster, error) {
	keep := rs.without(func(mb *configpb.Member) bool { return gone(mb.GetIncarnation()) })
	if len(keep) == len(rs.msg.GetMembers()) {
		return rs, nil
	}
	return rs.next(keep)
}

// Settle returns the roster without those older ones that can't back a lease any more: a blocking set of each has known a newer epoch for the lease's length; since tells from when on an incarnation knew at least the epoch.
func (rs *Roster) Settle(since func(incarnation string, epoch uint64) (int64, bool), now, leaseMS int64) *Roster {
	msg := proto.CloneOf(rs.msg)
	msg.Unsettled = slices.DeleteFunc(msg.GetUnsettled(), func(old *configpb.Unsettled) bool {
		var times []int64
		for _, inc := range old.GetIncarnations() {
			if at, ok := since(inc, old.GetEpoch()+1); ok {
				times = append(times, at)
			}
		}
		at, ok := BlockedSinceMS(times, len(old.GetIncarnations()))
		return ok && now >= at+margin.Lengthen(leaseMS)
	})
	if len(msg.GetUnsettled()) == len(rs.msg.GetUnsettled()) {
		return rs
	}
	msg.Superseded = slices.DeleteFunc(msg.GetSuperseded(), func(inc string) bool {
		return !slices.ContainsFunc(msg.GetUnsettled(), func(old *configpb.Unsettled) bool {
			return slices.Contains(old.GetIncarnations(), inc)
		})
	})
	return New(msg)
}

// Majority returns the least number of members that is more than half.
func Majority(members int) int { return members/2 + 1 }

// BlockedSinceMS returns when a blocking set of the members had been told: one that leaves no majority without a member that was told.
func BlockedSinceMS(times []int64, members int) (int64, bool) {
	need := members - Majority(members) + 1
	if members == 0 {
		return 0, true
	}
	if len(times) < need {
		return 0, false
	}
	sorted := slices.Sorted(slices.Values(times))
	return sorted[need-1], true
}

func (rs *Roster) without(drop func(*configpb.Member) bool) []*configpb.Member {
	var keep []*configpb.Member
	for _, mb := range rs.msg.GetMembers() {
		if !drop(mb) {
			keep = append(keep, mb)
		}
	}
	return keep
}

func (rs *Roster) next(members []*configpb.Member) (*Roster, error) {
	msg := &configpb.Roster{Epoch: rs.msg.GetEpoch() + 1, Members: members, Unsettled: slices.Clone(rs.msg.GetUnsettled())}
	msg.Superseded = slices.Clone(rs.msg.GetSuperseded())
	if len(msg.GetUnsettled()) >= maxUnsettled {
		return nil, code.NotYetKept.New("%d older rosters are unsettled", maxUnsettled)
	}
	if old := incarnations(rs.msg.GetMembers()); len(old) > 0 {
		msg.Unsettled = append(msg.Unsettled, &configpb.Unsettled{Epoch: rs.msg.GetEpoch(), Incarnations: old})
	}
	return New(msg), nil
}

func incarnations(members []*configpb.Member) []string {
	list := make([]string, 0, len(members))
	for _, mb := range members {
		list = append(list, mb.GetIncarnation())
	}
	return list
}
