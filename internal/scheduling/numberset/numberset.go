package numberset

import (
	"slices"

	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Set is a set of numbers of 0 or more, whose size follows the number of its ranges; the zero value is empty.
type Set struct {
	ranges []span
}

// span holds the numbers from one, up to but without another.
type span struct{ from, to int }

// Add adds a number.
func (st *Set) Add(number int) {
	at, found := st.find(number)
	if found {
		return
	}
	joinsPrev := at > 0 && st.ranges[at-1].to == number
	joinsNext := at < len(st.ranges) && st.ranges[at].from == number+1
	switch {
	case joinsPrev && joinsNext:
		st.ranges[at-1].to = st.ranges[at].to
		st.ranges = slices.Delete(st.ranges, at, at+1)
	case joinsPrev:
		st.ranges[at-1].to = number + 1
	case joinsNext:
		st.ranges[at].from = number
	default:
		st.ranges = slices.Insert(st.ranges, at, span{number, number + 1})
	}
}

// Contains reports whether the set holds a number.
func (st *Set) Contains(number int) bool {
	_, found := st.find(number)
	return found
}

// NextMissing returns the lowest number that is no less than the given one and isn't in the set.
func (st *Set) NextMissing(number int) int {
	if at, found := st.find(number); found {
		return st.ranges[at].to
	}
	return number
}

// Ranges returns the number of ranges.
func (st *Set) Ranges() int { return len(st.ranges) }

// Len returns how many numbers the set holds.
func (st *Set) Len() int {
	count := 0
	for _, sp := range st.ranges {
		count += sp.to - sp.from
	}
	return count
}

// End returns the number after the highest one, 0 for an empty set.
func (st *Set) End() int {
	if len(st.ranges) == 0 {
		return 0
	}
	return st.ranges[len(st.ranges)-1].to
}

// find returns the position of the range that holds a number, or of the next range and false.
func (st *Set) find(number int) (int, bool) {
	return slices.BinarySearchFunc(st.ranges, number, func(sp span, number int) int {
		switch {
		case sp.to <= number:
			return -1
		case sp.from > number:
			return 1
		default:
			return 0
		}
	})
}

// Encode returns the set as pairs: the gap before each range and the length of the range.
func (st *Set) Encode() []int32 {
	var out []int32
	last := 0
	for _, sp := range st.ranges {
		out = append(out, int32(sp.from-last), int32(sp.to-sp.from))
		last = sp.to
	}
	return out
}

// Decode returns the set that Encode returned the pairs of. It is an error if they don't hold ranges of numbers below a limit.
func Decode(pairs []int32, limit int) (*Set, error) {
	st := &Set{}
	last := 0
	if len(pairs)%2 != 0 {
		return nil, code.BodyBroken.New("set of numbers: expected pairs, got %d numbers", len(pairs))
	}
	for at := 0; at < len(pairs); at += 2 {
		gap, length := int(pairs[at]), int(pairs[at+1])
		if gap < 0 || length <= 0 || (gap == 0 && at > 0) || last+gap+length > limit {
			return nil, code.BodyBroken.New("set of numbers: gap %d and length %d after %d don't lie below %d", gap, length, last, limit)
		}
		st.ranges = append(st.ranges, span{last + gap, last + gap + length})
		last += gap + length
	}
	return st, nil
}
