package capacity

import "github.com/fulmarloft/fulmarloft/pkg/bundle"

// strategyCost is the cost of one strategy as measured in docs/measurements/capacity-moves.md.
type strategyCost struct {
	strategy     string
	idleVMs      float64
	movesPerHour float64
	shareError   float64
}

// measuredCosts lists the costs for peaks of 30 s, in the order of Strategies.
var measuredCosts = []strategyCost{
	{None, 46.7, 0, 0.1549},
	{Reactive, 46.3, 48, 0.1404},
	{Hysteresis, 46.1, 48, 0.1381},
	{Predictive, 46.3, 48, 0.1393},
	{Lend, 42.4, 0, 0.0066},
}

// Choose returns the strategy with the lowest weighted cost under the bundle's weights, the first on a tie; each cost is normalized by that of the worst strategy, and roll-out time is left out because no strategy changes it.
func Choose(bd *bundle.Bundle) string {
	best, minCost := None, 0.0
	for i, sc := range measuredCosts {
		cost := bd.WeightShare()*fraction(sc.shareError, maxCost(shareOf)) +
			bd.WeightBuffer()*fraction(sc.idleVMs, maxCost(idleOf)) +
			bd.WeightMoves()*fraction(sc.movesPerHour, maxCost(movesOf))
		if i == 0 || cost < minCost {
			best, minCost = sc.strategy, cost
		}
	}
	return best
}

func shareOf(sc strategyCost) float64 { return sc.shareError }

func idleOf(sc strategyCost) float64 { return sc.idleVMs }

func movesOf(sc strategyCost) float64 { return sc.movesPerHour }

func maxCost(of func(strategyCost) float64) float64 {
	highest := 0.0
	for _, sc := range measuredCosts {
		highest = max(highest, of(sc))
	}
	return highest
}

func fraction(val, maxVal float64) float64 {
	if maxVal == 0 {
		return 0
	}
	return val / maxVal
}
