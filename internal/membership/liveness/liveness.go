package liveness

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarloft/fulmarloft/internal/pb/configpb"
)

// View is the liveness of the other entries as observed by one entry, the viewer; it is safe for concurrent use.
type View struct {
	self *configpb.Member

	mu     sync.Mutex
	known  map[string]*peer
	probes uint64
}

type peer struct {
	mb         *configpb.Member
	registered bool
	missed     int
	gone       bool
}

// States of an entry as reported in the status.
const (
	Alive   = "alive"
	Suspect = "suspect"
	Dead    = "dead"
	Gone    = "gone"
)

const (
	suspectAfterMissed = 3
	deadAfterMissed    = 8
	remoteTargets      = 2
)

// New returns the view of an entry that doesn't know any other entry yet.
func New(self *configpb.Member) *View {
	return &View{self: self, known: map[string]*peer{}}
}

// SetRoster marks the members of a roster as registered; other known entries are kept until they are dead or gone.
func (vw *View) SetRoster(members []*configpb.Member) {
	vw.mu.Lock()
	defer vw.mu.Unlock()
	for inc, pr := range vw.known {
		pr.registered = false
		if pr.gone || pr.missed >= deadAfterMissed {
			delete(vw.known, inc)
		}
	}
	for _, mb := range members {
		vw.add(mb).registered = true
	}
}

// RecordHeartbeat resets the count of missed heartbeats; mb may be nil for an incarnation that is already known.
func (vw *View) RecordHeartbeat(incarnation string, mb *configpb.Member) {
	vw.mu.Lock()
	defer vw.mu.Unlock()
	if mb != nil && mb.GetIncarnation() == incarnation {
		vw.add(mb)
	}
	if pr, ok := vw.known[incarnation]; ok {
		pr.missed = 0
	}
}

// RecordMiss counts a heartbeat that wasn't answered.
func (vw *View) RecordMiss(incarnation string) {
	vw.mu.Lock()
	defer vw.mu.Unlock()
	if pr, ok := vw.known[incarnation]; ok {
		pr.missed++
	}
}

// MarkGone records that an incarnation has permanently ended.
func (vw *View) MarkGone(incarnation string) {
	vw.mu.Lock()
	defer vw.mu.Unlock()
	if pr, ok := vw.known[incarnation]; ok {
		pr.gone = true
	}
}

// State returns the state of an incarnation; one that is unknown or was never contacted counts as alive.
func (vw *View) State(incarnation string) string {
	vw.mu.Lock()
	defer vw.mu.Unlock()
	return vw.known[incarnation].state()
}

// Find returns the known entry with the incarnation, or nil; the viewer itself isn't found.
func (vw *View) Find(incarnation string) *configpb.Member {
	vw.mu.Lock()
	defer vw.mu.Unlock()
	if pr, ok := vw.known[incarnation]; ok {
		return pr.mb
	}
	return nil
}

// HeartbeatTargets returns the entries to send heartbeats to: all of the viewer's zone, remoteTargets entries of other zones chosen by rendezvous hashing, and one dead entry in rotation, so that its recovery is noticed.
func (vw *View) HeartbeatTargets() []*configpb.Member {
	vw.mu.Lock()
	defer vw.mu.Unlock()
	var sameZone, otherZones, dead []*configpb.Member
	for _, pr := range vw.sorted() {
		switch {
		case pr.gone:
		case pr.mb.GetZone() == vw.self.GetZone() && (pr.registered || pr.missed < deadAfterMissed):
			sameZone = append(sameZone, pr.mb)
		case pr.missed >= deadAfterMissed:
			dead = append(dead, pr.mb)
		case pr.mb.GetZone() != vw.self.GetZone():
			otherZones = append(otherZones, pr.mb)
		}
	}
	slices.SortFunc(otherZones, func(a, b *configpb.Member) int { return cmp.Compare(vw.rendezvousWeight(b), vw.rendezvousWeight(a)) })
	list := append(sameZone, otherZones[:min(len(otherZones), remoteTargets)]...)
	if len(dead) > 0 {
		vw.probes++
		list = append(list, dead[vw.probes%uint64(len(dead))])
	}
	return list
}

// Nearest returns up to count live entries, those of the viewer's zone first.
func (vw *View) Nearest(count int) []*configpb.Member {
	vw.mu.Lock()
	defer vw.mu.Unlock()
	var list []*configpb.Member
	for _, pr := range vw.sorted() {
		if !pr.gone && pr.missed < suspectAfterMissed {
			list = append(list, pr.mb)
		}
	}
	slices.SortStableFunc(list, func(a, b *configpb.Member) int {
		return cmp.Compare(vw.zoneDistance(a), vw.zoneDistance(b))
	})
	return list[:min(len(list), count)]
}

// Relays returns for each other zone the live entry with the lowest incarnation among the given ones.
func (vw *View) Relays(members []*configpb.Member) []*configpb.Member {
	vw.mu.Lock()
	defer vw.mu.Unlock()
	first := map[string]*configpb.Member{}
	for _, mb := range members {
		zone := mb.GetZone()
		if zone == vw.self.GetZone() || vw.known[mb.GetIncarnation()].state() != Alive {
			continue
		}
		if lowest := first[zone]; lowest == nil || mb.GetIncarnation() < lowest.GetIncarnation() {
			first[zone] = mb
		}
	}
	var list []*configpb.Member
	for _, mb := range first {
		list = append(list, mb)
	}
	slices.SortFunc(list, byIncarnation)
	return list
}

// IsCoordinator reports whether the viewer is one of the given entries and sees no live one with a lower incarnation; views may differ, so several entries can be coordinator at once.
func (vw *View) IsCoordinator(members []*configpb.Member) bool {
	vw.mu.Lock()
	defer vw.mu.Unlock()
	isMember := false
	for _, mb := range members {
		if mb.GetIncarnation() == vw.self.GetIncarnation() {
			isMember = true
			continue
		}
		if mb.GetIncarnation() < vw.self.GetIncarnation() && vw.known[mb.GetIncarnation()].state() == Alive {
			return false
		}
	}
	return isMember
}

func (vw *View) add(mb *configpb.Member) *peer {
	if mb.GetIncarnation() == vw.self.GetIncarnation() {
		return &peer{mb: mb}
	}
	pr, ok := vw.known[mb.GetIncarnation()]
	if !ok {
		pr = &peer{}
		vw.known[mb.GetIncarnation()] = pr
	}
	pr.mb = mb
	return pr
}

func (vw *View) sorted() []*peer {
	list := make([]*peer, 0, len(vw.known))
	for _, pr := range vw.known {
		list = append(list, pr)
	}
	slices.SortFunc(list, func(a, b *peer) int { return byIncarnation(a.mb, b.mb) })
	return list
}

func (vw *View) rendezvousWeight(mb *configpb.Member) uint64 {
	return xxhash.Sum64String(vw.self.GetIncarnation() + "/" + mb.GetIncarnation())
}

func (vw *View) zoneDistance(mb *configpb.Member) int {
	if mb.GetZone() == vw.self.GetZone() {
		return 0
	}
	return 1
}

func (pr *peer) state() string {
	switch {
	case pr == nil || (pr.missed < suspectAfterMissed && !pr.gone):
		return Alive
	case pr.gone:
		return Gone
	case pr.missed < deadAfterMissed:
		return Suspect
	}
	return Dead
}

func byIncarnation(a, b *configpb.Member) int {
	return cmp.Compare(a.GetIncarnation(), b.GetIncarnation())
}
