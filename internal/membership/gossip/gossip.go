package gossip

import (
	"sync"

	"github.com/fulmarloft/fulmarloft/internal/clock"
)

// Gossip is a set of names in order of arrival; a name is removed after the retention period.
type Gossip struct {
	ck          *clock.Clock
	retentionMS int64

	mu    sync.Mutex
	seq   uint64
	known map[string]struct{}
	items []item
}

type item struct {
	seq     uint64
	addedMS int64
	name    string
}

// New returns an empty set with the given retention period.
func New(ck *clock.Clock, retentionMS int64) *Gossip {
	return &Gossip{ck: ck, retentionMS: retentionMS, known: map[string]struct{}{}}
}

// Add adds names and returns those that weren't in the set.
func (gs *Gossip) Add(names ...string) []string {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	gs.expire()
	var added []string
	for _, name := range names {
		if _, ok := gs.known[name]; ok {
			continue
		}
		gs.seq++
		gs.known[name] = struct{}{}
		gs.items = append(gs.items, item{seq: gs.seq, addedMS: gs.ck.Now(), name: name})
		added = append(added, name)
	}
	return added
}

// Has reports whether a name is in the set.
func (gs *Gossip) Has(name string) bool {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	gs.expire()
	_, ok := gs.known[name]
	return ok
}

// Since returns the names added after a position, and the current position.
func (gs *Gossip) Since(position uint64) (names []string, last uint64) {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	gs.expire()
	for _, it := range gs.items {
		if it.seq > position {
			names = append(names, it.name)
		}
	}
	return names, gs.seq
}

func (gs *Gossip) expire() {
	now := gs.ck.Now()
	for len(gs.items) > 0 && gs.items[0].addedMS+gs.retentionMS <= now {
		delete(gs.known, gs.items[0].name)
		gs.items = gs.items[1:]
	}
}
