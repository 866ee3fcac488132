package vmsizes

import (
	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/size"
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

// Put records that the platform lists a VM with the given total size now.
func (st *Set) Put(total size.Size) { st.lastListedMS[total] = st.ck.Now() }

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

// Cap returns the need, reduced to the largest listed VM that fits the declared size, so that a corrected estimate never makes work impossible that is possible as declared.
func (st *Set) Cap(need, declared size.Size) size.Size {
	if !st.Impossible(need) {
		return need
	}
	best := declared
	for total := range st.lastListedMS {
		capped := need.Min(total)
		if declared.Fits(total) && (capped.CoresMilli() > best.CoresMilli() || capped.MemoryMB() > best.MemoryMB()) {
			best = capped
		}
	}
	return best
}
