package placement

import (
	"slices"

	"github.com/fulmarloft/fulmarloft/internal/size"
)

// Index knows the free capacity of each worker; it isn't safe for concurrent use.
type Index struct {
	workers map[string]*worker
	zones   map[string]*zone
	order   []*zone
	total   size.Size
	random  uint64
	visits  int
}

// Reasons for which a worker takes no new work.
const (
	Unavailable uint8 = 1 << iota
	Quarantined
	OverCapacity
	Unreachable
)

type worker struct {
	name    string
	rack    *rack
	total   size.Size
	free    size.Size
	blocked uint8
	holder  string
}

type rack struct {
	zone    *zone
	name    string
	slot    int
	workers []*worker
	teams   map[string]int32
}

type zone struct {
	name   string
	racks  []*rack
	byName map[string]*rack
	trees  [kinds]*tree
	teams  map[string]int32
}

// Workers without accelerators and with them stand in separate trees, so that work without need of them prefers the former.
const (
	plain = iota
	accelerated
	kinds
)

const (
	maxVisits      = 2048
	minZoneVisits  = 64
	maxCandidates  = 8
	randomMultiply = 0x9E3779B97F4A7C15
)

// New returns an empty index whose choices among equals follow the seed.
func New(seed uint64) *Index {
	return &Index{workers: map[string]*worker{}, zones: map[string]*zone{}, random: seed | 1}
}

// Put adds a worker, or changes its total capacity and place and keeps what is reserved on it.
func (ix *Index) Put(name, zoneName, rackName string, total size.Size) {
	wk, ok := ix.workers[name]
	if ok && wk.rack.name == rackName && wk.rack.zone.name == zoneName {
		ix.resize(wk, total)
		return
	}
	used := size.Size{}
	fresh := &worker{name: name}
	if ok {
		used = wk.total.Minus(wk.free)
		fresh.blocked, fresh.holder = wk.blocked, wk.holder
		ix.Remove(name)
	}
	fresh.rack = ix.rack(zoneName, rackName)
	fresh.total = total
	fresh.free = total.Minus(used)
	fresh.rack.workers = append(fresh.rack.workers, fresh)
	ix.workers[name] = fresh
	ix.addTotal(fresh)
	fresh.rack.refresh()
}

// Remove forgets a worker and what is reserved on it.
func (ix *Index) Remove(name string) {
	wk, ok := ix.workers[name]
	if !ok {
		return
	}
	ix.subtractTotal(wk)
	delete(ix.workers, name)
	wk.rack.workers = slices.DeleteFunc(wk.rack.workers, func(other *worker) bool { return other == wk })
	wk.rack.refresh()
}

// Block sets or clears one reason for which the worker takes no new work.
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
	wk.rack.refresh()
}

// Blocked returns the reasons for which the worker takes no new work, 0 when there are none.
func (ix *Index) Blocked(name string) uint8 {
	if wk, ok := ix.workers[name]; ok {
		return wk.blocked
	}
	return Unavailable
}

// Has reports whether the worker is in the index.
func (ix *Index) Has(name string) bool { return ix.workers[name] != nil }

// Names returns the workers' names in no particular order.
func (ix *Index) Names() []string {
	names := make([]string, 0, len(ix.workers))
	for name := range ix.workers {
		names = append(names, name)
	}
	return names
}

// Total returns the capacity of all workers that take new work.
func (ix *Index) Total() size.Size { return ix.total }

// Capacity returns the worker's total capacity.
func (ix *Index) Capacity(name string) size.Size {
	if wk, ok := ix.workers[name]; ok {
		return wk.total
	}
	return size.Size{}
}

// Free returns what is unreserved on the worker.
func (ix *Index) Free(name string) size.Size {
	if wk, ok := ix.workers[name]; ok {
		return wk.free
	}
	return size.Size{}
}

// Reserve takes the size from the worker for the team, also beyond what is free.
func (ix *Index) Reserve(name, team string, need size.Size) {
	wk, ok := ix.workers[name]
	if !ok {
		return
	}
	wk.free = wk.free.Minus(need)
	wk.rack.teams[team]++
	wk.rack.zone.teams[team]++
	wk.rack.refresh()
}

// Release gives the size back to the worker.
func (ix *Index) Release(name, team string, need size.Size) {
	wk, ok := ix.workers[name]
	if !ok {
		return
	}
	wk.free = wk.free.Plus(need)
	decrement(wk.rack.teams, team)
	decrement(wk.rack.zone.teams, team)
	wk.rack.refresh()
}

// Hold keeps the worker with the most free capacity among those large enough free of other work for the holder.
func (ix *Index) Hold(holder string, need size.Size) (string, bool) {
	var best *worker
	for _, wk := range ix.workers {
		if wk.blocked != 0 || wk.holder != "" || !need.Fits(wk.total) {
			continue
		}
		if best == nil || better(wk, best) {
			best = wk
		}
	}
	if best == nil {
		return "", false
	}
	ix.HoldOn(holder, best.name)
	return best.name, true
}

// HoldOn keeps the worker free of other work for the holder.
func (ix *Index) HoldOn(holder, name string) {
	if wk, ok := ix.workers[name]; ok {
		wk.holder = holder
		wk.rack.refresh()
	}
}

// Held reports whether the worker is kept for a holder.
func (ix *Index) Held(name string) bool {
	wk, ok := ix.workers[name]
	return ok && wk.holder != ""
}

// Unhold lets the worker take other work again.
func (ix *Index) Unhold(name string) {
	if wk, ok := ix.workers[name]; ok && wk.holder != "" {
		wk.holder = ""
		wk.rack.refresh()
	}
}

// FitsOn reports whether the worker takes new work of the size now, also when it is held.
func (ix *Index) FitsOn(name string, need size.Size) bool {
	wk, ok := ix.workers[name]
	return ok && wk.blocked == 0 && need.Fits(wk.free)
}

// Visits returns how many tree nodes and workers the last Place looked at.
func (ix *Index) Visits() int { return ix.visits }

func better(wk, than *worker) bool {
	a, b := wk.free.Dominant(wk.total), than.free.Dominant(than.total)
	if a != b {
		return a > b
	}
	return wk.name < than.name
}

func (ix *Index) resize(wk *worker, total size.Size) {
	if wk.total == total {
		return
	}
	ix.subtractTotal(wk)
	wk.free = wk.free.Plus(total.Minus(wk.total))
	wk.total = total
	ix.addTotal(wk)
	wk.rack.refresh()
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

func (ix *Index) rack(zoneName, rackName string) *rack {
	zn, ok := ix.zones[zoneName]
	if !ok {
		zn = &zone{name: zoneName, byName: map[string]*rack{}, teams: map[string]int32{}}
		for kind := range zn.trees {
			zn.trees[kind] = &tree{}
		}
		ix.zones[zoneName] = zn
		ix.order = append(ix.order, zn)
	}
	rk, ok := zn.byName[rackName]
	if !ok {
		rk = &rack{zone: zn, name: rackName, slot: len(zn.racks), teams: map[string]int32{}}
		zn.byName[rackName] = rk
		zn.racks = append(zn.racks, rk)
	}
	return rk
}

func (rk *rack) refresh() {
	most := [kinds]size.Size{none, none}
	for _, wk := range rk.workers {
		if wk.blocked == 0 && wk.holder == "" {
			kind := wk.kind()
			most[kind] = most[kind].Max(wk.free)
		}
	}
	for kind, tr := range rk.zone.trees {
		tr.set(rk.slot, most[kind])
	}
}

func (wk *worker) kind() int {
	if wk.total.Accelerators() > 0 {
		return accelerated
	}
	return plain
}

func decrement(counts map[string]int32, team string) {
	counts[team]--
	if counts[team] <= 0 {
		delete(counts, team)
	}
}
