package roster

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/membership/clockdrift"
	"github.com/fulmarloft/fulmarloft/internal/pb/configpb"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Roster is the set of registered entries in one epoch, with the older rosters that are still unsettled; it is immutable, changes return a new one.
type Roster struct {
	msg *configpb.Roster
}

// Keys of the two rows of the roster: the full roster, and its epoch alone for frequent reads; both are written in one commit.
const (
	Key      = "roster"
	EpochKey = "roster-epoch"
)

// maxUnsettled limits how many older rosters may be unsettled; further changes fail until some are settled.
const maxUnsettled = 64

// New returns the roster of a message; nil yields the empty roster of epoch 0.
func New(msg *configpb.Roster) *Roster {
	if msg == nil {
		msg = &configpb.Roster{}
	}
	return &Roster{msg: msg}
}

// Parse decodes the roster from the value of its row; an empty value yields the empty roster.
func Parse(raw []byte) (*Roster, error) {
	msg := &configpb.Roster{}
	if err := proto.Unmarshal(raw, msg); err != nil {
		return nil, code.Internal.New("cannot decode the roster: %w", err)
	}
	return New(msg), nil
}

// Bytes encodes the roster as the value of its row.
func (rs *Roster) Bytes() ([]byte, error) { return proto.Marshal(rs.msg) }

// Message returns the roster as sent to other entries; the caller must not change it.
func (rs *Roster) Message() *configpb.Roster { return rs.msg }

// Epoch returns the epoch, which increases with each change of the members.
func (rs *Roster) Epoch() uint64 { return rs.msg.GetEpoch() }

// Members returns the registered entries; the caller must not change the slice.
func (rs *Roster) Members() []*configpb.Member { return rs.msg.GetMembers() }

// Has reports whether an incarnation is registered.
func (rs *Roster) Has(incarnation string) bool { return rs.Find(incarnation) != nil }

// Find returns the member with the incarnation, or nil.
func (rs *Roster) Find(incarnation string) *configpb.Member {
	for _, mb := range rs.msg.GetMembers() {
		if mb.GetIncarnation() == incarnation {
			return mb
		}
	}
	return nil
}

// FindByName returns the member with the name, or nil.
func (rs *Roster) FindByName(name string) *configpb.Member {
	for _, mb := range rs.msg.GetMembers() {
		if mb.GetName() == name {
			return mb
		}
	}
	return nil
}

// Groups returns the incarnations of the current roster and of each unsettled one; a majority of any group may have confirmed a lease, so each has to be taken into account.
func (rs *Roster) Groups() [][]string {
	groups := [][]string{incarnations(rs.msg.GetMembers())}
	for _, old := range rs.msg.GetUnsettled() {
		groups = append(groups, old.GetIncarnations())
	}
	return groups
}

// Join returns the roster with the member, which replaces any other incarnation of its name.
func (rs *Roster) Join(mb *configpb.Member) (*Roster, error) {
	if rs.Has(mb.GetIncarnation()) {
		return rs, nil
	}
	kept := rs.without(func(other *configpb.Member) bool { return other.GetName() == mb.GetName() })
	changed, err := rs.next(append(kept, mb))
	if err != nil {
		return nil, err
	}
	if old := rs.FindByName(mb.GetName()); old != nil && old.GetPeerAddress() == mb.GetPeerAddress() {
		changed.msg.Superseded = append(changed.msg.GetSuperseded(), old.GetIncarnation())
	}
	return changed, nil
}

// Superseded returns the incarnations that can't be reached any more, because a later one of the same name listens on their address.
func (rs *Roster) Superseded() []string { return rs.msg.GetSuperseded() }

// Remove returns the roster without the incarnations for which remove returns true, or the same roster if there are none.
func (rs *Roster) Remove(remove func(incarnation string) bool) (*Roster, error) {
	kept := rs.without(func(mb *configpb.Member) bool { return remove(mb.GetIncarnation()) })
	if len(kept) == len(rs.msg.GetMembers()) {
		return rs, nil
	}
	return rs.next(kept)
}

// Settle returns the roster without those older ones whose majority can't confirm a lease any more, because a blocking set of their members has known a newer epoch for the lease length; epochHeardSince returns since when an incarnation is known to have heard of at least the epoch.
func (rs *Roster) Settle(epochHeardSince func(incarnation string, epoch uint64) (int64, bool), nowMS, leaseMS int64) *Roster {
	msg := proto.CloneOf(rs.msg)
	msg.Unsettled = slices.DeleteFunc(msg.GetUnsettled(), func(old *configpb.Unsettled) bool {
		var timesMS []int64
		for _, inc := range old.GetIncarnations() {
			if atMS, ok := epochHeardSince(inc, old.GetEpoch()+1); ok {
				timesMS = append(timesMS, atMS)
			}
		}
		atMS, ok := BlockedSinceMS(timesMS, len(old.GetIncarnations()))
		return ok && nowMS >= atMS+clockdrift.Lengthen(leaseMS)
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

// Majority returns the smallest number that is more than half of the members.
func Majority(members int) int { return members/2 + 1 }

// BlockedSinceMS returns since when a blocking set of the members has been informed, or false if none has been; timesMS holds the time at which each informed member was. A blocking set has a member in every majority.
func BlockedSinceMS(timesMS []int64, members int) (int64, bool) {
	need := members - Majority(members) + 1
	if members == 0 {
		return 0, true
	}
	if len(timesMS) < need {
		return 0, false
	}
	sorted := slices.Sorted(slices.Values(timesMS))
	return sorted[need-1], true
}

func (rs *Roster) without(drop func(*configpb.Member) bool) []*configpb.Member {
	var kept []*configpb.Member
	for _, mb := range rs.msg.GetMembers() {
		if !drop(mb) {
			kept = append(kept, mb)
		}
	}
	return kept
}

func (rs *Roster) next(members []*configpb.Member) (*Roster, error) {
	msg := &configpb.Roster{Epoch: rs.msg.GetEpoch() + 1, Members: members, Unsettled: slices.Clone(rs.msg.GetUnsettled())}
	msg.Superseded = slices.Clone(rs.msg.GetSuperseded())
	if len(msg.GetUnsettled()) >= maxUnsettled {
		return nil, code.NotYetKept.New("the roster cannot change while %d older rosters are unsettled", maxUnsettled)
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
