package apportion

import (
	"cmp"
	"math"
	"slices"
)

// LargestRemainder apportions all units by the largest remainder method; weights of 0 or less get no unit. If no weight is positive, each counts as 1.
func LargestRemainder(weights []float64, units int) []int {
	weights, sum := clampWeights(weights)
	alloc := make([]int, len(weights))
	remainders := make([]float64, len(weights))
	remaining := units
	for i, wt := range weights {
		exact := wt * float64(units) / sum
		alloc[i] = int(exact)
		remainders[i] = exact - float64(alloc[i])
		remaining -= alloc[i]
	}
	for _, i := range indexesDescending(remainders) {
		if remaining == 0 {
			break
		}
		alloc[i]++
		remaining--
	}
	return alloc
}

// Balanced apportions all units so that the largest ratio of weight to units is minimal, with at least one unit for each positive weight while units last.
func Balanced(weights []float64, units int) []int {
	weights, _ = clampWeights(weights)
	alloc := make([]int, len(weights))
	for range units {
		best := -1
		for i, wt := range weights {
			if wt > 0 && (best < 0 || hasHigherRatio(wt, alloc[i], weights[best], alloc[best])) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		alloc[best]++
	}
	return alloc
}

// EqualSplitAll apportions all units so that the largest ratio of a weight's units to its exact share is minimal (algorithms 1 and 2 of the paper cited at EqualSplit); if some weight can't get a unit, as with fewer units than weights, it falls back to Balanced.
func EqualSplitAll(weights []float64, units int) []int {
	weights, sum := clampWeights(weights)
	if alloc := fixedUnits(weights, sum, units); alloc != nil {
		return alloc
	}
	return Balanced(weights, units)
}

// EqualSplit apportions at most the given units so that an equal split over the used ones approximates the weights best (Németh, Kőrösi and Rétvári, Optimal resource pooling over legacy equal-split load balancing schemes, 2017, algorithms 1 to 3); some units may stay unused, and the result is nil if some weight can't get a unit.
func EqualSplit(weights []float64, units int) []int {
	weights, sum := clampWeights(weights)
	var best []int
	bestErr := math.Inf(1)
	for used := len(weights); used <= units; used++ {
		alloc := fixedUnits(weights, sum, used)
		if over := maxOverAllocation(weights, sum, alloc); alloc != nil && over < bestErr-tolerance {
			best, bestErr = alloc, over
		}
	}
	return best
}

const (
	searchSteps = 40
	// tolerance absorbs rounding errors of floating-point comparisons.
	tolerance = 1e-9
)

// fixedUnits finds by bisection the smallest over-allocation with which exactly the used units can be assigned, at least one to each weight; it returns nil if there is none.
func fixedUnits(weights []float64, sum float64, used int) []int {
	low, high := 1.0, float64(used)*sum
	var best []int
	for range searchSteps {
		mid := (low + high) / 2
		if alloc := feasible(weights, sum, used, mid); alloc != nil {
			best, high = alloc, mid
		} else {
			low = mid
		}
	}
	return best
}

// feasible assigns the used units so that no weight gets more than alpha times its exact share, or returns nil if that can't be done.
func feasible(weights []float64, sum float64, used int, alpha float64) []int {
	alloc := make([]int, len(weights))
	limits := make([]int, len(weights))
	remaining := used
	for i, wt := range weights {
		limits[i] = int(alpha*wt*float64(used)/sum + tolerance)
		if limits[i] < 1 {
			return nil
		}
		alloc[i] = 1
		remaining--
	}
	for i := range alloc {
		add := max(min(remaining, limits[i]-alloc[i]), 0)
		alloc[i] += add
		remaining -= add
	}
	if remaining != 0 {
		return nil
	}
	return alloc
}

// maxOverAllocation returns the largest ratio of a weight's share under an equal split over the used units to its exact share.
func maxOverAllocation(weights []float64, sum float64, alloc []int) float64 {
	used := 0
	for _, got := range alloc {
		used += got
	}
	worst := 0.0
	for i, wt := range weights {
		if wt > 0 && used > 0 {
			worst = max(worst, float64(alloc[i])/float64(used)*sum/wt)
		}
	}
	return worst
}

// clampWeights returns the weights with negative ones as 0, or all as 1 if none is positive, and their sum.
func clampWeights(weights []float64) ([]float64, float64) {
	out := make([]float64, len(weights))
	sum := 0.0
	for i, wt := range weights {
		out[i] = max(wt, 0)
		sum += out[i]
	}
	if sum > 0 {
		return out, sum
	}
	for i := range out {
		out[i] = 1
	}
	return out, float64(len(out))
}

// indexesDescending returns the indexes of the values in descending order of value.
func indexesDescending(remainders []float64) []int {
	idx := make([]int, len(remainders))
	for i := range idx {
		idx[i] = i
	}
	slices.SortStableFunc(idx, func(a, b int) int { return cmp.Compare(remainders[b], remainders[a]) })
	return idx
}

// hasHigherRatio reports whether the ratio of weight a to its units exceeds that of weight b; the ratio to 0 units is infinite.
func hasHigherRatio(a float64, unitsA int, b float64, unitsB int) bool {
	if unitsA == 0 || unitsB == 0 {
		return unitsA == 0 && (unitsB > 0 || a > b)
	}
	return a*float64(unitsB) > b*float64(unitsA)
}
