package acceptance

import (
	"slices"
	"sync"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/membership/clockdrift"
	"github.com/fulmarloft/fulmarloft/internal/membership/roster"
	"github.com/fulmarloft/fulmarloft/internal/pb/configpb"
)

// Tracker collects the acknowledgements of the entries and determines which version is accepted. It never reports a version accepted while an entry could take keyed work under an older one. It is safe for concurrent use.
type Tracker struct {
	ck *clock.Clock

	mu       sync.Mutex
	accepted uint64
	entries  map[string]entryState
	goneMS   map[string]int64
	pending  map[uint64]*pending
}

// entryState is what the acknowledgements of one incarnation say: the versions it has heard of and holds, and its roster epoch.
type entryState struct {
	heard           uint64
	held            uint64
	receivedMS      int64
	promisedUntilMS int64
	epoch           uint64
	epochHeardMS    int64
	heldSinceMS     int64
}

// pending is a committed version that is not accepted yet, with the acknowledgements of it by incarnation.
type pending struct {
	committedMS    int64
	leaseCeilingMS int64
	groups         [][]string
	heardMS        map[string]int64
	heldMS         map[string]int64
}

// maxPending limits how many versions are tracked at once.
const maxPending = 256

// New returns a tracker without acknowledgements.
func New(ck *clock.Clock) *Tracker {
	return &Tracker{ck: ck, entries: map[string]entryState{}, goneMS: map[string]int64{}, pending: map[uint64]*pending{}}
}

// Watch starts tracking a committed version. The groups are those of a roster that was read in one snapshot with a head of at least that version. Beyond maxPending versions, the oldest are dropped.
func (tr *Tracker) Watch(version uint64, ceilingMS int64, groups [][]string) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if version <= tr.accepted || tr.pending[version] != nil {
		return
	}
	now := tr.ck.Now()
	pd := &pending{committedMS: now, leaseCeilingMS: ceilingMS, groups: groups, heardMS: map[string]int64{}, heldMS: map[string]int64{}}
	tr.pending[version] = pd
	for inc, es := range tr.entries {
		pd.record(version, inc, es, now)
	}
	for len(tr.pending) > maxPending {
		delete(tr.pending, slices.Min(tr.pendingVersions()))
	}
}

// RecordAck records an acknowledgement with its arrival time, and ignores one whose versions are lower than those last acknowledged by the same incarnation, since it is outdated.
func (tr *Tracker) RecordAck(ack *configpb.Ack) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	now := tr.ck.Now()
	inc := ack.GetIncarnation()
	es := tr.entries[inc]
	if ack.GetHeard() < es.heard || ack.GetHeld() < es.held {
		return
	}
	if ack.GetEpoch() > es.epoch {
		es.epoch = ack.GetEpoch()
		es.epochHeardMS = now
	}
	es.heard = ack.GetHeard()
	es.held = ack.GetHeld()
	es.receivedMS = now
	es.promisedUntilMS = now + clockdrift.Lengthen(ack.GetPromisedMs())
	es.heldSinceMS = now - ack.GetAgeMs()
	tr.entries[inc] = es
	tr.accepted = max(tr.accepted, ack.GetAccepted())
	for version, pd := range tr.pending {
		pd.record(version, inc, es, now)
	}
}

// MarkGone records that the platform lists an incarnation as permanently ended.
func (tr *Tracker) MarkGone(incarnation string) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if _, ok := tr.goneMS[incarnation]; !ok {
		tr.goneMS[incarnation] = tr.ck.Now()
	}
}

// Accepted returns the newest accepted version.
func (tr *Tracker) Accepted() uint64 {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.acceptDue()
	return tr.accepted
}

// AwaitedAcks returns the incarnations that have not acknowledged a watched version, and when the version becomes accepted without further acknowledgements, 0 if that is not known yet. Both are empty once it is accepted.
func (tr *Tracker) AwaitedAcks(version uint64) (awaited []string, acceptedAtMS int64) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.acceptDue()
	pd := tr.pending[version]
	if version <= tr.accepted || pd == nil {
		return nil, 0
	}
	for _, group := range pd.groups {
		for _, inc := range group {
			_, held := pd.heldMS[inc]
			_, gone := tr.goneMS[inc]
			if !held && !gone && !slices.Contains(awaited, inc) {
				awaited = append(awaited, inc)
			}
		}
	}
	if atMS, ok := tr.acceptedAtMS(pd); ok {
		acceptedAtMS = atMS
	}
	return awaited, acceptedAtMS
}

// EpochHeardSince returns since when an incarnation is known to have heard of a roster epoch, and whether it has. An incarnation that is gone counts as having heard of it when it was marked gone.
func (tr *Tracker) EpochHeardSince(incarnation string, epoch uint64) (int64, bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if atMS, ok := tr.goneMS[incarnation]; ok {
		return atMS, true
	}
	es := tr.entries[incarnation]
	return es.epochHeardMS, es.epoch >= epoch
}

// HeldVersion returns the version in the last acknowledgement of an incarnation, and since when the incarnation holds it.
func (tr *Tracker) HeldVersion(incarnation string) (version uint64, sinceMS int64) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.entries[incarnation].held, tr.entries[incarnation].heldSinceMS
}

// acceptDue accepts the versions whose time has come and drops the pending versions up to the newest accepted one.
func (tr *Tracker) acceptDue() {
	now := tr.ck.Now()
	for version, pd := range tr.pending {
		if atMS, ok := tr.acceptedAtMS(pd); ok && now >= atMS {
			tr.accepted = max(tr.accepted, version)
		}
	}
	for version := range tr.pending {
		if version <= tr.accepted {
			delete(tr.pending, version)
		}
	}
}

// acceptedAtMS returns when a version becomes accepted, which all groups have to allow, or false if that is not known yet.
func (tr *Tracker) acceptedAtMS(pd *pending) (int64, bool) {
	var latestMS int64
	for _, group := range pd.groups {
		atMS, ok := tr.groupAcceptedAtMS(pd, group)
		if !ok {
			return 0, false
		}
		latestMS = max(latestMS, atMS)
	}
	return latestMS, true
}

// groupAcceptedAtMS returns when one group allows a version to be accepted.
//
// That is so once a blocking set of the group, without which no majority exists, has heard of the version or is gone, and every lease granted before then has expired. If all incarnations hold the version or are gone, it need not wait for that expiry: only for the holders to have no promises left, and for the leases of those gone to expire.
func (tr *Tracker) groupAcceptedAtMS(pd *pending, group []string) (int64, bool) {
	leaseMS := clockdrift.Lengthen(pd.leaseCeilingMS)
	allHold := true
	var allHoldMS int64
	var heardTimes []int64
	for _, inc := range group {
		goneMS, gone := tr.goneMS[inc]
		heldMS, holds := pd.heldMS[inc]
		switch {
		case holds:
			allHoldMS = max(allHoldMS, heldMS)
		case gone:
			allHoldMS = max(allHoldMS, goneMS+leaseMS)
		default:
			allHold = false
		}
		if atMS, ok := pd.heardMS[inc]; ok {
			heardTimes = append(heardTimes, atMS)
		} else if gone {
			heardTimes = append(heardTimes, goneMS)
		}
	}
	blockedMS, blocked := roster.BlockedSinceMS(heardTimes, len(group))
	blockedMS = max(blockedMS, pd.committedMS) + leaseMS
	switch {
	case allHold && blocked:
		return min(allHoldMS, blockedMS), true
	case blocked:
		return blockedMS, true
	}
	return 0, false
}

// pendingVersions returns the tracked versions in no particular order.
func (tr *Tracker) pendingVersions() []uint64 {
	var list []uint64
	for version := range tr.pending {
		list = append(list, version)
	}
	return list
}

// record sets the time at which the incarnation was first known to have heard of the version, and the time from which it holds the version and its promises to holders outside the roster have expired.
func (pd *pending) record(version uint64, inc string, es entryState, now int64) {
	if _, ok := pd.heardMS[inc]; !ok && es.heard >= version {
		pd.heardMS[inc] = now
	}
	if _, ok := pd.heldMS[inc]; !ok && es.held >= version {
		pd.heldMS[inc] = max(now, es.promisedUntilMS)
	}
}
