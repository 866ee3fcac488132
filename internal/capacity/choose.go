package capacity

import "github.com/fulmarloft/fulmarloft/pkg/bundle"

// figure is what one way cost in the measurement of docs/measurements/capacity-moves.md.
type figure struct {
	way        string
	idleVMs    float64
	moves      float64
	shareError float64
}

// figures are those of turns of 30 s, in the order of Strategies.
var figures = []figure{
	{None, 46.7, 0, 0.1549},
	{Reactive, 46.3, 48, 0.1404},
	{Hysteresis, 46.1, 48, 0.1381},
	{Predictive, 46.3, 48, 0.1393},
	{Lend, 42.4, 0, 0.0066},
}

// Choose returns the way with the least weighted cost for the user whose weights the bundle holds, the first of several; each cost counts in parts of the worst way's, and roll-out time, which no way changes, counts for none.
func Choose(bd *bundle.Bundle) string {
	best, least := None, 0.0
	for i, fg := range figures {
		cost := bd.WeightShare()*part(fg.shareError, worst(shareOf)) +
			bd.WeightBuffer()*part(fg.idleVMs, worst(idleOf)) +
			bd.WeightMoves()*part(fg.moves, worst(movesOf))
		if i == 0 || cost < least {
			best, least = fg.way, cost
		}
	}
	return best
}

func shareOf(fg figure) float64 { return fg.shareError }

func idleOf(fg figure) float64 { return fg.idleVMs }

func movesOf(fg figure) float64 { return fg.moves }

func worst(of func(figure) float64) float64 {
	most := 0.0
	for _, fg := range figures {
		most = max(most, of(fg))
	}
	return most
}

func part(val, most float64) float64 {
	if most == 0 {
		return 0
	}
	return val / most
}
