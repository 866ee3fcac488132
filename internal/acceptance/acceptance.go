package acceptance

import (
	"slices"
	"sync"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/configpb"
	"github.com/fulmarloft/fulmarloft/internal/margin"
	"github.com/fulmarloft/fulmarloft/internal/roster"
)

// Tracker gathers what the entries acknowledge; it never reports a version accepted while an entry could take keyed work under an older one.
type Tracker struct {
	ck *clock.Clock

	mu       sync.Mutex
	accepted uint64
	latest   map[string]told
	gone     map[string]int64
	pending  map[uint64]*pending
}

type told struct {
	heard    uint64
	held     uint64
	at       int64
	promised int64
	epoch    uint64
	epochAt  int64
	bornAt   int64
}

type pending struct {
	committed int64
	ceiling   int64
	groups    [][]string
	heard     map[string]int64
	held      map[string]int64
}

const maxPending = 256

// New returns an acceptance that has heard nothing.
func New(ck *clock.Clock) *Tracker {
	return &Tracker{ck: ck, latest: map[string]told{}, gone: map[string]int64{}, pending: map[uint64]*pending{}}
}

// Watch starts to follow a version that is known committed; the groups are those of a roster read in one snapshot with a head of at least that version.
func (ac *Tracker) Watch(version uint64, ceilingMS int64, groups [][]string) {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	if version <= ac.accepted || ac.pending[version] != nil {
		return
	}
	now := ac.ck.Now()
	pd := &pending{committed: now, ceiling: ceilingMS, groups: groups, heard: map[string]int64{}, held: map[string]int64{}}
	ac.pending[version] = pd
	for inc, td := range ac.latest {
		pd.note(version, inc, td, now)
	}
	for len(ac.pending) > maxPending {
		delete(ac.pending, slices.Min(ac.versions()))
	}
}

// RecordAck records an acknowledgement at the time that it arrives.
func (ac *Tracker) RecordAck(ack *configpb.Ack) {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	now := ac.ck.Now()
	inc := ack.GetIncarnation()
	td := ac.latest[inc]
	if ack.GetHeard() < td.heard || ack.GetHeld() < td.held {
		return
	}
	if ack.GetEpoch() > td.epoch {
		td.epoch = ack.GetEpoch()
		td.epochAt = now
	}
	td.heard = ack.GetHeard()
	td.held = ack.GetHeld()
	td.at = now
	td.promised = now + margin.Lengthen(ack.GetPromisedMs())
	td.bornAt = now - ack.GetAgeMs()
	ac.latest[inc] = td
	ac.accepted = max(ac.accepted, ack.GetAccepted())
	for version, pd := range ac.pending {
		pd.note(version, inc, td, now)
	}
}

// MarkGone records that the platform lists an incarnation as ended for good.
func (ac *Tracker) MarkGone(incarnation string) {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	if _, ok := ac.gone[incarnation]; !ok {
		ac.gone[incarnation] = ac.ck.Now()
	}
}

// Accepted returns the newest version that may be reported accepted.
func (ac *Tracker) Accepted() uint64 {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	ac.settle()
	return ac.accepted
}

// AwaitedAcks returns the incarnations that haven't acknowledged a watched version, and from when on it needs nobody's word, 0 while that isn't known; both are empty once it is accepted.
func (ac *Tracker) AwaitedAcks(version uint64) (waits []string, acceptedAtMS int64) {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	ac.settle()
	pd := ac.pending[version]
	if version <= ac.accepted || pd == nil {
		return nil, 0
	}
	for _, group := range pd.groups {
		for _, inc := range group {
			_, held := pd.held[inc]
			_, gone := ac.gone[inc]
			if !held && !gone && !slices.Contains(waits, inc) {
				waits = append(waits, inc)
			}
		}
	}
	if at, ok := ac.due(pd); ok {
		acceptedAtMS = at
	}
	return waits, acceptedAtMS
}

// EpochHeardSince returns from when on an incarnation is known to have heard of a roster epoch; one that ended for good needs no telling.
func (ac *Tracker) EpochHeardSince(incarnation string, epoch uint64) (int64, bool) {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	if at, ok := ac.gone[incarnation]; ok {
		return at, true
	}
	td := ac.latest[incarnation]
	return td.epochAt, td.epoch >= epoch
}

// HeldVersion returns the version that an incarnation last said it holds, and since when it holds it.
func (ac *Tracker) HeldVersion(incarnation string) (version uint64, sinceMS int64) {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	return ac.latest[incarnation].held, ac.latest[incarnation].bornAt
}

func (ac *Tracker) settle() {
	now := ac.ck.Now()
	for version, pd := range ac.pending {
		if at, ok := ac.due(pd); ok && now >= at {
			ac.accepted = max(ac.accepted, version)
		}
	}
	for version := range ac.pending {
		if version <= ac.accepted {
			delete(ac.pending, version)
		}
	}
}

func (ac *Tracker) due(pd *pending) (int64, bool) {
	var due int64
	for _, group := range pd.groups {
		at, ok := ac.groupDue(pd, group)
		if !ok {
			return 0, false
		}
		due = max(due, at)
	}
	return due, true
}

func (ac *Tracker) groupDue(pd *pending, group []string) (int64, bool) {
	lease := margin.Lengthen(pd.ceiling)
	all := true
	var allAt int64
	var times []int64
	for _, inc := range group {
		goneAt, gone := ac.gone[inc]
		held, told := pd.held[inc]
		switch {
		case told:
			allAt = max(allAt, held)
		case gone:
			allAt = max(allAt, goneAt+lease)
		default:
			all = false
		}
		if at, ok := pd.heard[inc]; ok {
			times = append(times, at)
		} else if gone {
			times = append(times, goneAt)
		}
	}
	blockedAt, blocked := roster.Blocked(times, len(group))
	blockedAt = max(blockedAt, pd.committed) + lease
	switch {
	case all && blocked:
		return min(allAt, blockedAt), true
	case blocked:
		return blockedAt, true
	}
	return 0, false
}

func (ac *Tracker) versions() []uint64 {
	var list []uint64
	for version := range ac.pending {
		list = append(list, version)
	}
	return list
}

// note keeps the first time at which the incarnation had heard of the version, and when it held it and its promises to others were over.
func (pd *pending) note(version uint64, inc string, td told, now int64) {
	if _, ok := pd.heard[inc]; !ok && td.heard >= version {
		pd.heard[inc] = now
	}
	if _, ok := pd.held[inc]; !ok && td.held >= version {
		pd.held[inc] = max(now, td.promised)
	}
}
