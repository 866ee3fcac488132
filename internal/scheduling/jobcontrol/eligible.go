package jobcontrol

import (
	"github.com/fulmarloft/fulmarloft/internal/configuration/rulesindex"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/jobwork"
)

// eligibleServices returns the services for which the rules ask for refusals: they serve a queue with an objective that isn't public, and teams have weights.
func eligibleServices(ix *rulesindex.Index) map[string]bool {
	out := map[string]bool{}
	if !jobwork.Weighted(ix.Rules()) {
		return out
	}
	for _, qu := range ix.Rules().GetQueues() {
		if jobwork.HasObjective(qu) {
			out[qu.GetService()] = true
		}
	}
	return out
}
