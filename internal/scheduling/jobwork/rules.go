package jobwork

import (
	"slices"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

// Weighted reports whether teams have weights under the rules, without which no submission is refused for want of capacity.
func Weighted(rules *workpb.Rules) bool {
	return slices.ContainsFunc(rules.GetTeams(), func(tm *workpb.Team) bool { return tm.GetWeight() > 0 })
}

// HasObjective reports whether a queue has both a stretch and a target and isn't public, so that the rules for overload apply to its jobs.
func HasObjective(qu *workpb.Queue) bool {
	return qu.GetStretch() > 0 && qu.GetTargetMs() > 0 && !qu.GetPublic()
}
