package size

import "math"

// Size is an amount of CPU in thousandths of a core, of memory in megabytes and of accelerators.
type Size struct {
	coresMilli   int64
	memoryMB     int64
	accelerators int64
}

const milliPerCore = 1000

// New returns a size.
func New(coresMilli, memoryMB, accelerators int64) Size {
	return Size{coresMilli: coresMilli, memoryMB: memoryMB, accelerators: accelerators}
}

// OfCores returns a size with fractional cores, rounded up to a thousandth of a core.
func OfCores(cores float64, memoryMB, accelerators int64) Size {
	return New(int64(math.Ceil(cores*milliPerCore)), memoryMB, accelerators)
}

// CoresMilli returns the CPU in thousandths of a core.
func (sz Size) CoresMilli() int64 { return sz.coresMilli }

// MemoryMB returns the memory in megabytes.
func (sz Size) MemoryMB() int64 { return sz.memoryMB }

// Accelerators returns the number of accelerators.
func (sz Size) Accelerators() int64 { return sz.accelerators }

// Plus returns the sum of two sizes.
func (sz Size) Plus(other Size) Size {
	return Size{sz.coresMilli + other.coresMilli, sz.memoryMB + other.memoryMB, sz.accelerators + other.accelerators}
}

// Minus returns the difference of two sizes, which may be negative.
func (sz Size) Minus(other Size) Size {
	return Size{sz.coresMilli - other.coresMilli, sz.memoryMB - other.memoryMB, sz.accelerators - other.accelerators}
}

// Max returns the larger amount of each resource.
func (sz Size) Max(other Size) Size {
	return Size{max(sz.coresMilli, other.coresMilli), max(sz.memoryMB, other.memoryMB), max(sz.accelerators, other.accelerators)}
}

// Min returns the smaller amount of each resource.
func (sz Size) Min(other Size) Size {
	return Size{min(sz.coresMilli, other.coresMilli), min(sz.memoryMB, other.memoryMB), min(sz.accelerators, other.accelerators)}
}

// Fits reports whether the size exceeds the free one in no resource.
func (sz Size) Fits(free Size) bool {
	return sz.coresMilli <= free.coresMilli && sz.memoryMB <= free.memoryMB && sz.accelerators <= free.accelerators
}

// WithinLimit reports whether the size exceeds a limit in no resource; a limit of 0 means none.
func (sz Size) WithinLimit(limit Size) bool {
	return within(sz.coresMilli, limit.coresMilli) && within(sz.memoryMB, limit.memoryMB) && within(sz.accelerators, limit.accelerators)
}

func within(amount, limit int64) bool { return limit == 0 || amount <= limit }

// BelowHalf reports whether the size is below half of a limit in each resource; a limit of 0 means none.
func (sz Size) BelowHalf(limit Size) bool {
	return belowHalf(sz.coresMilli, limit.coresMilli) && belowHalf(sz.memoryMB, limit.memoryMB) && belowHalf(sz.accelerators, limit.accelerators)
}

func belowHalf(amount, limit int64) bool { return limit == 0 || 2*amount < limit }

// CopiesIn returns how many amounts of this size the free one holds, at most a given number.
func (sz Size) CopiesIn(free Size, most int) int {
	return max(min(most, copiesIn(sz.coresMilli, free.coresMilli, most), copiesIn(sz.memoryMB, free.memoryMB, most), copiesIn(sz.accelerators, free.accelerators, most)), 0)
}

func copiesIn(amount, free int64, most int) int {
	if amount <= 0 && free >= 0 {
		return most
	}
	if amount <= 0 {
		return 0
	}
	return int(min(free/amount, int64(most)))
}

// Dominant returns the dominant share of the size: the largest fraction that it takes of any resource of the total.
func (sz Size) Dominant(total Size) float64 {
	return max(fraction(sz.coresMilli, total.coresMilli), fraction(sz.memoryMB, total.memoryMB), fraction(sz.accelerators, total.accelerators))
}

// fraction returns the amount as a fraction of the total; an amount of a resource that doesn't exist counts as 1.
func fraction(amount, total int64) float64 {
	if amount <= 0 {
		return 0
	}
	if total <= 0 {
		return 1
	}
	return float64(amount) / float64(total)
}
