package slot

import (
	"maps"
	"slices"
	"sync"

	"github.com/fulmarloft/fulmarloft/internal/allot"
	"github.com/fulmarloft/fulmarloft/internal/clock"
)

// Shares is one entry's view of its own and the other entries' demand in its zone; entries that hear each other compute the same parts, which together use each slot once.
type Shares struct {
	ck     *clock.Clock
	self   string
	mu     sync.Mutex
	peers  map[string]peer
	own    map[string]float64
	ranges map[pool]span
}

type peer struct {
	heardMS int64
	demand  map[string]float64
}

type pool struct {
	service string
	units   int
}

// span is the range of slots that this entry holds when slots are counted across the endpoints first.
type span struct {
	from, to int
}

const (
	// floorDemand is what every live entry counts with, so that its first request finds a slot.
	floorDemand = 0.5
	// silenceMS is how long an entry's part is kept without hearing from it.
	silenceMS = 1000
)

// New returns the shares as seen by one entry, which is alone until it hears of others.
func New(ck *clock.Clock, self string) *Shares {
	return &Shares{ck: ck, self: self, peers: map[string]peer{}, own: map[string]float64{}, ranges: map[pool]span{}}
}

// SetOwn notes this entry's demand for a service: requests running and queued.
func (sh *Shares) SetOwn(service string, demand float64) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.own[service] = demand
	clear(sh.ranges)
}

// Own returns this entry's demands by service, to be sent to the other entries of the zone.
func (sh *Shares) Own() map[string]float64 {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return maps.Clone(sh.own)
}

// SetPeer notes the demands of another entry of the zone.
func (sh *Shares) SetPeer(entry string, demand map[string]float64) {
	if entry == sh.self {
		return
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.peers[entry] = peer{sh.ck.Now(), demand}
	clear(sh.ranges)
}

// RemovePeer drops an entry that has left, so that its part is used at once.
func (sh *Shares) RemovePeer(entry string) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	delete(sh.peers, entry)
	clear(sh.ranges)
}

// Allocation returns how many slots of the endpoint at the index, among so many endpoints with so many slots each, this entry may use for the service now.
func (sh *Shares) Allocation(service string, index, endpoints, slots int) int {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.dropSilent()
	pl := pool{service, endpoints * slots}
	sp, ok := sh.ranges[pl]
	if !ok {
		sp = sh.divide(pl)
		sh.ranges[pl] = sp
	}
	return upTo(sp.to, index, endpoints) - upTo(sp.from, index, endpoints)
}

// divide splits the pool's slots among the live entries in the order of their names.
func (sh *Shares) divide(pl pool) span {
	names := append(slices.Collect(maps.Keys(sh.peers)), sh.self)
	slices.Sort(names)
	demands := make([]float64, len(names))
	for i, name := range names {
		demand := sh.peers[name].demand[pl.service]
		if name == sh.self {
			demand = sh.own[pl.service]
		}
		demands[i] = max(demand, floorDemand)
	}
	from := 0
	for i, part := range allot.Balanced(demands, pl.units) {
		if names[i] == sh.self {
			return span{from, from + part}
		}
		from += part
	}
	return span{}
}

func (sh *Shares) dropSilent() {
	now := sh.ck.Now()
	for name, pr := range sh.peers {
		if now-pr.heardMS > silenceMS {
			delete(sh.peers, name)
			clear(sh.ranges)
		}
	}
}

// upTo counts the slots below the limit that belong to the endpoint at the index.
func upTo(limit, index, endpoints int) int {
	if limit <= index {
		return 0
	}
	return (limit-index-1)/endpoints + 1
}
