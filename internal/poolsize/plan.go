package poolsize

import (
	"fmt"
	"strings"
)

// Plan is what a sizer decided at one time.
type Plan struct {
	moves map[string]string
	shed  map[string]bool
}

// Moves returns the pool that each machine is to be moved to.
func (pl Plan) Moves() map[string]string { return pl.moves }

// Cordoned returns the VMs that are to take no new work, since their machines are wanted elsewhere.
func (pl Plan) Cordoned() map[string]bool { return pl.shed }

// Summary returns each pool's machines, and the thousandths of a core that it is asked for, in a form for logs.
func Summary(demands []Demand, hosts []Host) string {
	count := map[string]int{}
	for _, ho := range hosts {
		count[ho.pool]++
	}
	parts := make([]string, 0, len(demands))
	for _, dm := range demands {
		parts = append(parts, fmt.Sprintf("%s:%d/%d", dm.service, count[dm.service], dm.room()))
	}
	return strings.Join(parts, ",")
}
