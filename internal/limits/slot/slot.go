package slot

import (
	"maps"
	"slices"
	"sync"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/limits/apportion"
)

// Allocator holds one entry's view of its own and the other entries' demand in its zone; entries with the same view compute the same allocations, which together use each slot once.
type Allocator struct {
	ck    *clock.Clock
	self  string
	mu    sync.Mutex
	peers map[string]peer
	own   map[string]float64
	spans map[pool]span
}

type peer struct {
	heardMS int64
	demand  map[string]float64
}

type pool struct {
	service string
	slots   int
}

// span is the half-open range of slot numbers that this entry may use. Slots are numbered round-robin over the endpoints: the first slot of each endpoint, then the second of each, and so on.
type span struct {
	from, to int
}

const (
	// minDemand is the lowest demand that a live entry counts with, so that it has a slot for its first request.
	minDemand = 0.5
	// peerExpiryMS is how long another entry keeps its allocation after its last message.
	peerExpiryMS = 1000
)

// New returns the allocator of the entry self, which has all slots until SetPeer adds other entries.
func New(ck *clock.Clock, self string) *Allocator {
	return &Allocator{ck: ck, self: self, peers: map[string]peer{}, own: map[string]float64{}, spans: map[pool]span{}}
}

// SetOwn records this entry's demand for a service: its running and queued requests.
func (al *Allocator) SetOwn(service string, demand float64) {
	al.mu.Lock()
	defer al.mu.Unlock()
	al.own[service] = demand
	clear(al.spans)
}

// Own returns this entry's demands by service, to be sent to the other entries of the zone.
func (al *Allocator) Own() map[string]float64 {
	al.mu.Lock()
	defer al.mu.Unlock()
	return maps.Clone(al.own)
}

// SetPeer records the demands of another entry of the zone.
func (al *Allocator) SetPeer(entry string, demand map[string]float64) {
	if entry == al.self {
		return
	}
	al.mu.Lock()
	defer al.mu.Unlock()
	al.peers[entry] = peer{al.ck.Now(), demand}
	clear(al.spans)
}

// RemovePeer removes an entry that has left, so that its slots are allocated to others at once.
func (al *Allocator) RemovePeer(entry string) {
	al.mu.Lock()
	defer al.mu.Unlock()
	delete(al.peers, entry)
	clear(al.spans)
}

// Allocation returns how many slots this entry may use now at the endpoint with the index, if the service has the given number of endpoints with the given number of slots each.
func (al *Allocator) Allocation(service string, index, endpoints, slots int) int {
	al.mu.Lock()
	defer al.mu.Unlock()
	al.expirePeers()
	pl := pool{service, endpoints * slots}
	sp, ok := al.spans[pl]
	if !ok {
		sp = al.divide(pl)
		al.spans[pl] = sp
	}
	return slotsBelow(sp.to, index, endpoints) - slotsBelow(sp.from, index, endpoints)
}

// divide allocates the pool's slots to the live entries in the order of their names and returns this entry's span.
func (al *Allocator) divide(pl pool) span {
	names := append(slices.Collect(maps.Keys(al.peers)), al.self)
	slices.Sort(names)
	demands := make([]float64, len(names))
	for i, name := range names {
		demand := al.peers[name].demand[pl.service]
		if name == al.self {
			demand = al.own[pl.service]
		}
		demands[i] = max(demand, minDemand)
	}
	from := 0
	for i, count := range apportion.Balanced(demands, pl.slots) {
		if names[i] == al.self {
			return span{from, from + count}
		}
		from += count
	}
	return span{}
}

func (al *Allocator) expirePeers() {
	now := al.ck.Now()
	for name, pr := range al.peers {
		if now-pr.heardMS > peerExpiryMS {
			delete(al.peers, name)
			clear(al.spans)
		}
	}
}

// slotsBelow counts the slots with numbers below limit that belong to the endpoint at the index.
func slotsBelow(limit, index, endpoints int) int {
	if limit <= index {
		return 0
	}
	return (limit-index-1)/endpoints + 1
}
