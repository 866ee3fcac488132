package poolsize

import (
	"fmt"
	"strings"
)

// Plan holds the moves and the cordoned VMs that a sizer decided on in one pass.
type Plan struct {
	moves    map[string]string
	cordoned map[string]bool
}

// Moves returns the target pool of each machine that is to move.
func (pl Plan) Moves() map[string]string { return pl.moves }

// Cordoned returns the VMs that are to take no new work because their machines are needed in other pools.
func (pl Plan) Cordoned() map[string]bool { return pl.cordoned }

// Summary formats for logs how many machines each pool has, how many thousandths of a core it is to have and, if its long-running tasks wait for VMs, how many VMs they need.
func Summary(demands []Demand, hosts []Host) string {
	count := map[string]int{}
	for _, ho := range hosts {
		count[ho.pool]++
	}
	parts := make([]string, 0, len(demands))
	for _, dm := range demands {
		part := fmt.Sprintf("%s:%d/%d", dm.service, count[dm.service], dm.targetCoresMilli())
		if dm.lastingVMs > 0 {
			part += fmt.Sprintf("/%d", dm.lastingVMs)
		}
		parts = append(parts, part)
	}
	return strings.Join(parts, ",")
}
