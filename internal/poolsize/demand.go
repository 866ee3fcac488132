package poolsize

// Demand is what a pool is asked for.
type Demand struct {
	service    string
	standby    bool
	coresMilli int64
	lateMilli  int64
	// expectedMilli is the room that is forecast.
	expectedMilli int64
	leastVMs      int
	fresh         bool
}

// NewDemand returns the demand on a service's pool: the processor room wanted now and the least number of VMs that its tasks must be spread over; a fresh pool may see its first peak soon.
//
// The room for late jobs is given only after all pools have what their timely ones need.
func NewDemand(service string, coresMilli, lateMilli int64, leastVMs int, fresh bool) Demand {
	return Demand{service: service, coresMilli: coresMilli, lateMilli: lateMilli, leastVMs: leastVMs, fresh: fresh}
}

// WithForecast returns the demand with the processor room that is forecast; machines that wait for it are given up as soon as it is forecast no more.
func (dm Demand) WithForecast(coresMilli int64) Demand {
	dm.expectedMilli = coresMilli
	return dm
}

// room returns the processor room that the pool is to have.
func (dm Demand) room() int64 { return max(dm.coresMilli, dm.expectedMilli) }

// NewStandby returns the entry of a pool whose machines are off and cost nothing.
func NewStandby(service string) Demand { return Demand{service: service, standby: true} }
