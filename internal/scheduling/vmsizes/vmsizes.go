package vmsizes

import (
	"maps"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/size"
)

// Set holds the distinct sizes of all worker VMs, including those in maintenance. It isn't safe for concurrent use.
type Set struct {
	ck           *clock.Clock
	lastListedMS map[size.Size]int64
}

// RetentionMS is how long a size still counts after the last VM of that size was listed by the platform, in milliseconds.
const RetentionMS = 10 * 60 * 1000

// New returns an empty set, for which no work is impossible.
func New(ck *clock.Clock) *Set {
	return &Set{ck: ck, lastListedMS: map[size.Size]int64{}}
}

// Put records that the platform lists a VM with the given total size now, and forgets sizes that count no more.
func (st *Set) Put(total size.Size) {
	now := st.ck.Now()
	if _, ok := st.lastListedMS[total]; !ok {
		maps.DeleteFunc(st.lastListedMS, func(_ size.Size, listedMS int64) bool { return now-listedMS > RetentionMS })
	}
	st.lastListedMS[total] = now
}

// Impossible reports whether the need fits no VM of the fleet, not even an idle one; it returns false while no VM is known.
func (st *Set) Impossible(need size.Size) bool {
	known := false
	for total, listedMS := range st.lastListedMS {
		if st.ck.Now()-listedMS > RetentionMS {
			continue
		}
		known = true
		if need.Fits(total) {
			return false
		}
	}
	return known
}

// Cap returns the need, reduced to the listed VM that reduces it least among those that fit the declared size, so that a corrected estimate never makes work impossible that is possible as declared.
func (st *Set) Cap(need, declared size.Size) size.Size {
	if !st.Impossible(need) {
		return need
	}
	best, bestPart := declared, -1.0
	for total, listedMS := range st.lastListedMS {
		if st.ck.Now()-listedMS > RetentionMS || !declared.Fits(total) {
			continue
		}
		capped := need.Min(total)
		left := smallestPart(capped, need)
		if left > bestPart || (left == bestPart && larger(capped, best)) {
			best, bestPart = capped, left
		}
	}
	return best
}

// smallestPart returns how much is left of the resource that is reduced most, as a fraction of the need.
func smallestPart(capped, need size.Size) float64 {
	return min(part(capped.CoresMilli(), need.CoresMilli()), part(capped.MemoryMB(), need.MemoryMB()))
}

func part(capped, need int64) float64 {
	if need == 0 {
		return 1
	}
	return float64(capped) / float64(need)
}

// larger compares two sizes by cores, then by memory.
func larger(one, other size.Size) bool {
	if one.CoresMilli() != other.CoresMilli() {
		return one.CoresMilli() > other.CoresMilli()
	}
	return one.MemoryMB() > other.MemoryMB()
}
