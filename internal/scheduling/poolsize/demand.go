package poolsize

// Demand is the capacity that is required of a pool.
type Demand struct {
	service        string
	standby        bool
	coresMilli     int64
	lateCoresMilli int64
	// forecastCoresMilli is the CPU capacity that is forecast to be needed.
	forecastCoresMilli int64
	minVMs             int
	// lastingVMs is 0 unless long-running tasks wait for VMs.
	lastingVMs      int
	awaitsFirstPeak bool
}

// NewDemand returns the demand on a service's pool: the CPU capacity needed now, in thousandths of a core, and the minimum number of VMs that its tasks must be spread over; a pool that awaits its first peak gives up machines last.
//
// Capacity for late jobs is provided only after all pools have what their on-time jobs need.
func NewDemand(service string, coresMilli, lateCoresMilli int64, minVMs int, awaitsFirstPeak bool) Demand {
	return Demand{service: service, coresMilli: coresMilli, lateCoresMilli: lateCoresMilli, minVMs: minVMs, awaitsFirstPeak: awaitsFirstPeak}
}

// WithForecast returns the demand with a forecast of the CPU capacity that will be needed; machines kept for it are released as soon as the forecast ends.
func (dm Demand) WithForecast(coresMilli int64) Demand {
	dm.forecastCoresMilli = coresMilli
	return dm
}

// WithLastingVMs returns the demand of a pool whose long-running tasks wait until it has that many VMs; it gets them before any pool gets machines for work that ends.
func (dm Demand) WithLastingVMs(lastingVMs int) Demand {
	dm.lastingVMs = lastingVMs
	dm.minVMs = max(dm.minVMs, lastingVMs)
	return dm
}

// targetCoresMilli returns the CPU capacity that the pool is to have, without that for late jobs.
func (dm Demand) targetCoresMilli() int64 { return max(dm.coresMilli, dm.forecastCoresMilli) }

// NewStandby returns the demand of a standby pool, whose machines are powered off and cost nothing.
func NewStandby(service string) Demand { return Demand{service: service, standby: true} }
