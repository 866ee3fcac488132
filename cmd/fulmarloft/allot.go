package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"text/tabwriter"

	"github.com/fulmarloft/fulmarloft/internal/limits/apportion"
)

const (
	apportionTrials   = 10_000
	apportionP99Index = apportionTrials * 99 / 100
	maxWeight         = 20
)

// compareApportioning prints, for each method of apportioning whole units, how much the demand per unit of the worst-off holder exceeds that of an exact division.
func compareApportioning(seed uint64) error {
	tw := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(tw, "holders\tunits\tmethod\tdemand per unit over ideal, mean\tp99\tunits unused, mean\t")
	for _, holders := range []int{2, 3, 8} {
		for _, units := range []int{8, 32, 120} {
			for _, method := range []struct {
				name string
				fn   func([]float64, int) []int
			}{{"largest remainder", apportion.LargestRemainder}, {"balanced", apportion.Balanced}, {"equal split, all units", apportion.EqualSplitAll}, {"equal split, at most units", apportion.EqualSplit}} {
				mean, p99, unused := runApportionTrials(method.fn, holders, units, seed)
				_, _ = fmt.Fprintf(tw, "%d\t%d\t%s\t%.3f\t%.3f\t%.2f\t\n", holders, units, method.name, mean, p99, unused)
			}
		}
	}
	return tw.Flush()
}

// runApportionTrials apportions units to random weights and returns the mean and the 99th percentile of the worst-off holder's demand per unit relative to an exact division, and the mean number of unused units.
func runApportionTrials(fn func([]float64, int) []int, holders, units int, seed uint64) (mean, p99, unused float64) {
	rnd := rand.New(rand.NewPCG(seed, seed))
	ratios := make([]float64, apportionTrials)
	for i := range ratios {
		weights := make([]float64, holders)
		sum := 0.0
		for j := range weights {
			weights[j] = 1 + rnd.Float64()*(maxWeight-1)
			sum += weights[j]
		}
		used := 0
		for j, part := range fn(weights, units) {
			used += part
			// A holder without a unit counts as having half a unit, which keeps the ratio finite.
			ratios[i] = max(ratios[i], weights[j]/max(float64(part), 0.5)*float64(units)/sum)
		}
		mean += ratios[i] / apportionTrials
		unused += float64(units-used) / apportionTrials
	}
	slices.Sort(ratios)
	return mean, ratios[apportionP99Index], unused
}
