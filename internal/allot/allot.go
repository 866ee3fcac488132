package allot

import (
	"cmp"
	"math"
	"slices"
)

// LargestRemainder divides all units by largest remainder; weights of 0 or less get none unless all are so, and then every weight counts as 1.
func LargestRemainder(weights []float64, units int) []int {
	weights, sum := positive(weights)
	parts := make([]int, len(weights))
	rest := make([]float64, len(weights))
	left := units
	for i, wt := range weights {
		exact := wt * float64(units) / sum
		parts[i] = int(exact)
		rest[i] = exact - float64(parts[i])
		left -= parts[i]
	}
	for _, i := range order(rest) {
		if left == 0 {
			break
		}
		parts[i]++
		left--
	}
	return parts
}

// Balanced divides all units so that the largest ratio of weight to units is as small as it can be, with at least one unit for each positive weight while they last.
func Balanced(weights []float64, units int) []int {
	weights, _ = positive(weights)
	parts := make([]int, len(weights))
	for range units {
		best := -1
		for i, wt := range weights {
			if wt > 0 && (best < 0 || heavier(wt, parts[i], weights[best], parts[best])) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		parts[best]++
	}
	return parts
}

// EqualSplitAll divides all units so that no weight gets more above its exact part than it must (algorithms 1 and 2 of the paper cited at EqualSplit); with fewer units than weights it falls back to Balanced.
func EqualSplitAll(weights []float64, units int) []int {
	weights, sum := positive(weights)
	if parts := fixedUnits(weights, sum, units); parts != nil {
		return parts
	}
	return Balanced(weights, units)
}

// EqualSplit returns how many of at most the given units each weight gets so that an equal split over the units used comes as close to the weights as it can (Németh, Kőrösi and Rétvári, Optimal resource pooling over legacy equal-split load balancing schemes, 2017, algorithms 1 to 3); some units may stay unused.
func EqualSplit(weights []float64, units int) []int {
	weights, sum := positive(weights)
	var best []int
	bestErr := math.Inf(1)
	for used := len(weights); used <= units; used++ {
		parts := fixedUnits(weights, sum, used)
		if err := excess(weights, sum, parts); parts != nil && err < bestErr-tolerance {
			best, bestErr = parts, err
		}
	}
	return best
}

const (
	searchSteps = 40
	tolerance   = 1e-9
)

// fixedUnits finds by bisection the smallest error for which the given number of units can be assigned with at least one each.
func fixedUnits(weights []float64, sum float64, used int) []int {
	low, high := 1.0, float64(used)*sum
	var best []int
	for range searchSteps {
		mid := (low + high) / 2
		if parts := feasible(weights, sum, used, mid); parts != nil {
			best, high = parts, mid
		} else {
			low = mid
		}
	}
	return best
}

func feasible(weights []float64, sum float64, used int, alpha float64) []int {
	parts := make([]int, len(weights))
	most := make([]int, len(weights))
	left := used
	for i, wt := range weights {
		most[i] = int(alpha*wt*float64(used)/sum + tolerance)
		if most[i] < 1 {
			return nil
		}
		parts[i] = 1
		left--
	}
	for i := range parts {
		add := max(min(left, most[i]-parts[i]), 0)
		parts[i] += add
		left -= add
	}
	if left != 0 {
		return nil
	}
	return parts
}

// excess returns the largest ratio of what a weight gets under an equal split over the used units to what it asked for.
func excess(weights []float64, sum float64, parts []int) float64 {
	used := 0
	for _, part := range parts {
		used += part
	}
	most := 0.0
	for i, wt := range weights {
		if wt > 0 && used > 0 {
			most = max(most, float64(parts[i])/float64(used)*sum/wt)
		}
	}
	return most
}

func positive(weights []float64) ([]float64, float64) {
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

func order(rest []float64) []int {
	idx := make([]int, len(rest))
	for i := range idx {
		idx[i] = i
	}
	slices.SortStableFunc(idx, func(a, b int) int { return cmp.Compare(rest[b], rest[a]) })
	return idx
}

// heavier reports whether weight a over its units exceeds weight b over its units, where no units count as infinite.
func heavier(a float64, unitsA int, b float64, unitsB int) bool {
	if unitsA == 0 || unitsB == 0 {
		return unitsA == 0 && (unitsB > 0 || a > b)
	}
	return a*float64(unitsB) > b*float64(unitsA)
}
