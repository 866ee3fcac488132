package jobcontrol

import "github.com/fulmarloft/fulmarloft/internal/pb/workpb"

// eligibleServices returns the services for which the rules ask for refusals: they serve a queue with an objective that isn't public, and teams have weights.
func (ct *Controller) eligibleServices() map[string]bool {
	out := map[string]bool{}
	if !ct.weighted {
		return out
	}
	for _, qu := range ct.rules.Rules().GetQueues() {
		if hasObjective(qu) {
			out[qu.GetService()] = true
		}
	}
	return out
}

// hasObjective reports whether a queue's jobs have an objective that refusals may protect.
func hasObjective(qu *workpb.Queue) bool {
	return qu.GetStretch() > 0 && qu.GetTargetMs() > 0 && !qu.GetPublic()
}
