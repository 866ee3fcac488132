package leaving

import (
	"sort"
	"sync"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/leavingpb"
)

// Set holds the incarnations known to be leaving; it is safe for concurrent use.
type Set struct {
	mu          sync.Mutex
	ck          *clock.Clock
	retentionMS int64
	announce    func(news []*leavingpb.Leaving)
	lastSeenMS  map[string]int64
}

// New returns an empty set that forgets an incarnation when no list has held it for keepMS, which must exceed the list's lag by far; tell is called with incarnations that are new to this set, so that other entries hear of them.
func New(ck *clock.Clock, retentionMS int64, announce func(news []*leavingpb.Leaving)) *Set {
	return &Set{ck: ck, retentionMS: retentionMS, announce: announce, lastSeenMS: map[string]int64{}}
}

// Mark remembers incarnations that a list or an operator's step names as leaving.
func (se *Set) Mark(incarnations ...string) {
	list := make([]*leavingpb.Leaving, 0, len(incarnations))
	for _, inc := range incarnations {
		list = append(list, &leavingpb.Leaving{Incarnation: inc})
	}
	se.Merge(list)
}

// Merge remembers what another entry told; the ages travel along, so that all entries forget an ended incarnation at about the same time.
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

// RefreshListed renews the incarnations that this entry's list of VMs holds, leaving or not, and forgets those that no list has held for long.
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

// All returns what the set holds, sorted by incarnation, for another entry.
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
