package jobcontrol

import (
	"github.com/fulmarloft/fulmarloft/internal/configuration/rulesindex"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

// eligibleServices returns the services for which the rules ask for refusals: they serve a queue with an objective that isn't public, and teams have weights.
func eligibleServices(ix *rulesindex.Index) map[string]bool {
	out := map[string]bool{}
	if !weighted(ix) {
		return out
	}
	for _, qu := range ix.Rules().GetQueues() {
		if hasObjective(qu) {
			out[qu.GetService()] = true
		}
	}
	return out
}

// weighted reports whether teams have weights under the rules.
func weighted(ix *rulesindex.Index) bool {
	for _, tm := range ix.Rules().GetTeams() {
		if tm.GetWeight() > 0 {
			return true
		}
	}
	return false
}

// hasObjective reports whether a queue's jobs have an objective that refusals may protect.
func hasObjective(qu *workpb.Queue) bool {
	return qu.GetStretch() > 0 && qu.GetTargetMs() > 0 && !qu.GetPublic()
}
