package leaving

import (
	"sort"
	"sync"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/pb/leavingpb"
)

// Set holds the incarnations known to be leaving; it is safe for concurrent use.
type Set struct {
	mu          sync.Mutex
	ck          *clock.Clock
	retentionMS int64
	announce    func(added []*leavingpb.Leaving)
	lastSeenMS  map[string]int64
}

// New returns an empty set. It removes an incarnation that no VM list has held for retentionMS, which must be much longer than the list's lag. announce is called with incarnations that are new to this set, to pass them on to other entries.
func New(ck *clock.Clock, retentionMS int64, announce func(added []*leavingpb.Leaving)) *Set {
	return &Set{ck: ck, retentionMS: retentionMS, announce: announce, lastSeenMS: map[string]int64{}}
}

// Mark adds incarnations that a VM list or a fleet step names as leaving.
func (se *Set) Mark(incarnations ...string) {
	list := make([]*leavingpb.Leaving, 0, len(incarnations))
	for _, inc := range incarnations {
		list = append(list, &leavingpb.Leaving{Incarnation: inc})
	}
	se.Merge(list)
}

// Merge adds the incarnations of another entry's set with their ages, so that all entries remove an ended incarnation at about the same time.
func (se *Set) Merge(list []*leavingpb.Leaving) {
	now := se.ck.Now()
	var added []*leavingpb.Leaving
	se.mu.Lock()
	for _, lv := range list {
		inc, age := lv.GetIncarnation(), max(lv.GetAgeMs(), 0)
		if inc == "" || age > se.retentionMS {
			continue
		}
		seen, ok := se.lastSeenMS[inc]
		if !ok {
			added = append(added, lv)
			seen = now - age
		}
		se.lastSeenMS[inc] = max(seen, now-age)
	}
	se.mu.Unlock()
	if len(added) > 0 {
		se.announce(added)
	}
}

// RefreshListed resets the age of the incarnations that this entry's VM list holds, whether it shows them as leaving or not, and removes those that no list has held for the retention period.
func (se *Set) RefreshListed(incarnations ...string) {
	now := se.ck.Now()
	se.mu.Lock()
	defer se.mu.Unlock()
	for _, inc := range incarnations {
		if _, ok := se.lastSeenMS[inc]; ok {
			se.lastSeenMS[inc] = now
		}
	}
	for inc, seen := range se.lastSeenMS {
		if now-seen > se.retentionMS {
			delete(se.lastSeenMS, inc)
		}
	}
}

// Has reports whether the incarnation is leaving.
func (se *Set) Has(incarnation string) bool {
	se.mu.Lock()
	defer se.mu.Unlock()
	_, ok := se.lastSeenMS[incarnation]
	return ok
}

// All returns the set with the ages, sorted by incarnation, to send to another entry.
func (se *Set) All() []*leavingpb.Leaving {
	now := se.ck.Now()
	se.mu.Lock()
	defer se.mu.Unlock()
	list := make([]*leavingpb.Leaving, 0, len(se.lastSeenMS))
	for inc, seen := range se.lastSeenMS {
		list = append(list, &leavingpb.Leaving{Incarnation: inc, AgeMs: now - seen})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].GetIncarnation() < list[j].GetIncarnation() })
	return list
}
