package placement

import (
	"slices"

	"github.com/fulmarloft/fulmarloft/internal/scheduling/size"
)

// Index tracks the capacity and reservations of all workers; it isn't safe for concurrent use.
type Index struct {
	workers     map[string]*worker
	zones       map[string]*zone
	zoneList    []*zone
	total       size.Size
	randomState uint64
	visits      int
}

// Reasons why a worker takes no new work, as bits.
const (
	// Unavailable workers are leaving, or their state does not allow new work.
	Unavailable uint8 = 1 << iota
	// Quarantined workers have had too many failed runs.
	Quarantined
	// OverCapacity workers use more than their capacity.
	OverCapacity
	// Unreachable workers did not answer the last poll.
	Unreachable
)

// worker is one VM that runs jobs; while it has a holder or a reason to be blocked, Place skips it.
type worker struct {
	name    string
	rack    *rack
	total   size.Size
	free    size.Size
	blocked uint8
	holder  string
	// teamCounts holds the number of reservations of each team.
	teamCounts map[string]int32
}

// rack is a group of workers, with one leaf in each tree of its zone and the number of reservations of each team.
type rack struct {
	zone       *zone
	name       string
	leaf       int
	workers    []*worker
	teamCounts map[string]int32
}

// zone holds racks, one tree per kind of worker, and the number of reservations of each team.
type zone struct {
	name        string
	racks       []*rack
	racksByName map[string]*rack
	trees       [numKinds]*maxTree
	teamCounts  map[string]int32
}

// Kinds of workers. Those without accelerators are in a separate tree, so that jobs that need none are placed on them first.
const (
	plain = iota
	accelerated
	numKinds
)

const (
	// maxVisits is divided among the zones; each gets at least minZoneVisits. A search stops after the rack with which it exceeds its limit.
	maxVisits     = 2048
	minZoneVisits = 64
	// maxCandidates is how many racks with a fitting worker are compared in a zone.
	maxCandidates    = 8
	randomMultiplier = 0x9E3779B97F4A7C15
)

// New returns an empty index; the seed determines its random choices.
func New(seed uint64) *Index {
	return &Index{workers: map[string]*worker{}, zones: map[string]*zone{}, randomState: seed | 1}
}

// Put adds a worker, or updates its location and total capacity and keeps its reservations.
func (ix *Index) Put(name, zoneName, rackName string, total size.Size) {
	wk, ok := ix.workers[name]
	if ok && wk.rack.name == rackName && wk.rack.zone.name == zoneName {
		ix.resize(wk, total)
		return
	}
	used := size.Size{}
	fresh := &worker{name: name, teamCounts: map[string]int32{}}
	if ok {
		used = wk.total.Minus(wk.free)
		fresh.blocked, fresh.holder, fresh.teamCounts = wk.blocked, wk.holder, wk.teamCounts
		ix.Remove(name)
	}
	fresh.rack = ix.rack(zoneName, rackName)
	for team, count := range fresh.teamCounts {
		fresh.rack.addReservations(team, count)
	}
	fresh.total = total
	fresh.free = total.Minus(used)
	fresh.rack.workers = append(fresh.rack.workers, fresh)
	ix.workers[name] = fresh
	ix.addTotal(fresh)
	fresh.rack.updateTrees()
}

// Remove deletes a worker and its reservations.
func (ix *Index) Remove(name string) {
	wk, ok := ix.workers[name]
	if !ok {
		return
	}
	ix.subtractTotal(wk)
	delete(ix.workers, name)
	for team, count := range wk.teamCounts {
		wk.rack.addReservations(team, -count)
	}
	wk.rack.workers = slices.DeleteFunc(wk.rack.workers, func(other *worker) bool { return other == wk })
	wk.rack.updateTrees()
}

// Block sets or clears one reason why the worker takes no new work.
func (ix *Index) Block(name string, reason uint8, on bool) {
	wk, ok := ix.workers[name]
	if !ok {
		return
	}
	next := wk.blocked &^ reason
	if on {
		next |= reason
	}
	if next == wk.blocked {
		return
	}
	ix.subtractTotal(wk)
	wk.blocked = next
	ix.addTotal(wk)
	wk.rack.updateTrees()
}

// Blocked returns the reasons why the worker takes no new work, 0 if there are none; an unknown worker is Unavailable.
func (ix *Index) Blocked(name string) uint8 {
	if wk, ok := ix.workers[name]; ok {
		return wk.blocked
	}
	return Unavailable
}

// Has reports whether the worker is in the index.
func (ix *Index) Has(name string) bool { return ix.workers[name] != nil }

// Names returns the names of all workers, in no particular order.
func (ix *Index) Names() []string {
	names := make([]string, 0, len(ix.workers))
	for name := range ix.workers {
		names = append(names, name)
	}
	return names
}

// Total returns the summed capacity of the workers that take new work.
func (ix *Index) Total() size.Size { return ix.total }

// Capacity returns the worker's total capacity.
func (ix *Index) Capacity(name string) size.Size {
	if wk, ok := ix.workers[name]; ok {
		return wk.total
	}
	return size.Size{}
}

// Free returns the unreserved capacity of the worker; it is negative where reservations exceed the total.
func (ix *Index) Free(name string) size.Size {
	if wk, ok := ix.workers[name]; ok {
		return wk.free
	}
	return size.Size{}
}

// Reserve reserves capacity on the worker for the team, even if that exceeds the free capacity.
func (ix *Index) Reserve(name, team string, need size.Size) {
	wk, ok := ix.workers[name]
	if !ok {
		return
	}
	wk.free = wk.free.Minus(need)
	wk.teamCounts[team]++
	wk.rack.addReservations(team, 1)
	wk.rack.updateTrees()
}

// Release returns reserved capacity to the worker.
func (ix *Index) Release(name, team string, need size.Size) {
	wk, ok := ix.workers[name]
	if !ok {
		return
	}
	wk.free = wk.free.Plus(need)
	if wk.teamCounts[team] > 0 {
		add(wk.teamCounts, team, -1)
		wk.rack.addReservations(team, -1)
	}
	wk.rack.updateTrees()
}

// Hold holds a worker for the holder, so that it takes no other work: the one with the most free capacity among the workers large enough for the need.
func (ix *Index) Hold(holder string, need size.Size) (string, bool) {
	var best *worker
	for _, wk := range ix.workers {
		if wk.blocked != 0 || wk.holder != "" || !need.Fits(wk.total) {
			continue
		}
		if best == nil || hasMoreFree(wk, best) {
			best = wk
		}
	}
	if best == nil {
		return "", false
	}
	ix.HoldOn(holder, best.name)
	return best.name, true
}

// HoldOn holds the given worker for the holder, so that it takes no other work.
func (ix *Index) HoldOn(holder, name string) {
	if wk, ok := ix.workers[name]; ok {
		wk.holder = holder
		wk.rack.updateTrees()
	}
}

// Held reports whether the worker is held.
func (ix *Index) Held(name string) bool {
	wk, ok := ix.workers[name]
	return ok && wk.holder != ""
}

// Unhold ends the hold on the worker.
func (ix *Index) Unhold(name string) {
	if wk, ok := ix.workers[name]; ok && wk.holder != "" {
		wk.holder = ""
		wk.rack.updateTrees()
	}
}

// FitsOn reports whether the need fits on the worker now, even if the worker is held.
func (ix *Index) FitsOn(name string, need size.Size) bool {
	wk, ok := ix.workers[name]
	return ok && wk.blocked == 0 && need.Fits(wk.free)
}

// Visits returns how many tree nodes and workers the last call of Place visited.
func (ix *Index) Visits() int { return ix.visits }

// hasMoreFree compares the free fractions of two workers by their dominant resource; ties are broken by name.
func hasMoreFree(wk, other *worker) bool {
	a, b := wk.free.Dominant(wk.total), other.free.Dominant(other.total)
	if a != b {
		return a > b
	}
	return wk.name < other.name
}

func (ix *Index) resize(wk *worker, total size.Size) {
	if wk.total == total {
		return
	}
	ix.subtractTotal(wk)
	wk.free = wk.free.Plus(total.Minus(wk.total))
	wk.total = total
	ix.addTotal(wk)
	wk.rack.updateTrees()
}

func (ix *Index) addTotal(wk *worker) {
	if wk.blocked == 0 {
		ix.total = ix.total.Plus(wk.total)
	}
}

func (ix *Index) subtractTotal(wk *worker) {
	if wk.blocked == 0 {
		ix.total = ix.total.Minus(wk.total)
	}
}

// rack returns a rack and creates it and its zone if needed.
func (ix *Index) rack(zoneName, rackName string) *rack {
	zn, ok := ix.zones[zoneName]
	if !ok {
		zn = &zone{name: zoneName, racksByName: map[string]*rack{}, teamCounts: map[string]int32{}}
		for kind := range zn.trees {
			zn.trees[kind] = &maxTree{}
		}
		ix.zones[zoneName] = zn
		ix.zoneList = append(ix.zoneList, zn)
	}
	rk, ok := zn.racksByName[rackName]
	if !ok {
		rk = &rack{zone: zn, name: rackName, leaf: len(zn.racks), teamCounts: map[string]int32{}}
		zn.racksByName[rackName] = rk
		zn.racks = append(zn.racks, rk)
	}
	return rk
}

// updateTrees stores the largest free amount of each resource among the rack's usable workers in the zone's trees.
func (rk *rack) updateTrees() {
	maxFree := [numKinds]size.Size{noCapacity, noCapacity}
	for _, wk := range rk.workers {
		if wk.blocked == 0 && wk.holder == "" {
			kind := wk.kind()
			maxFree[kind] = maxFree[kind].Max(wk.free)
		}
	}
	for kind, tr := range rk.zone.trees {
		tr.set(rk.leaf, maxFree[kind])
	}
}

func (wk *worker) kind() int {
	if wk.total.Accelerators() > 0 {
		return accelerated
	}
	return plain
}

// addReservations changes the number of a team's reservations in the rack and its zone.
func (rk *rack) addReservations(team string, count int32) {
	add(rk.teamCounts, team, count)
	add(rk.zone.teamCounts, team, count)
}

func add(counts map[string]int32, team string, count int32) {
	counts[team] += count
	if counts[team] <= 0 {
		delete(counts, team)
	}
}
