package jobcontrol

import "github.com/fulmarloft/fulmarloft/internal/scheduling/jobwork"

// eligibleServices returns the services for which the rules ask for refusals: they serve a queue with an objective that isn't public, and teams have weights.
func (ct *Controller) eligibleServices() map[string]bool {
	out := map[string]bool{}
	if !ct.weighted {
		return out
	}
	for _, qu := range ct.rules.Rules().GetQueues() {
		if jobwork.HasObjective(qu) {
			out[qu.GetService()] = true
		}
	}
	return out
}
