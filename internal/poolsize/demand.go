package poolsize

// Demand is what a pool is asked for.
type Demand struct {
	service    string
	standby    bool
	coresMilli int64
	lateMilli  int64
	leastVMs   int
	fresh      bool
}

// NewDemand returns the demand on a service's pool: the processor room wanted now and the least number of VMs that its tasks must be spread over; a fresh pool may see its first peak soon.
//
// The room for late jobs is given only after all pools have what their timely ones need.
func NewDemand(service string, coresMilli, lateMilli int64, leastVMs int, fresh bool) Demand {
	return Demand{service: service, coresMilli: coresMilli, lateMilli: lateMilli, leastVMs: leastVMs, fresh: fresh}
}

// NewStandby returns the entry of a pool whose machines are off and cost nothing.
func NewStandby(service string) Demand { return Demand{service: service, standby: true} }
