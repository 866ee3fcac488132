package peakforecast

// Forecaster learns from the arrival rates of work when each service peaks; it is made for peaks that alternate faster than machines can be moved to follow them. It isn't safe for concurrent use.
type Forecaster struct {
	services map[string]*series
	// current is the service with the last confirmed peak, candidate the one that may be entering its own.
	current          string
	candidate        string
	candidateSinceMS int64
	// candidateJobs counts the jobs that arrived for the candidate since candidateSinceMS.
	candidateJobs int
	// onsets holds the last minOnsets starts of peaks.
	onsets []onset
}

// series holds the arrival statistics of one service; mean, smooth and latest are moving averages over a long, a short and a very short window.
type series struct {
	mean   float64
	smooth float64
	latest float64
	// peak is the highest rate of the current or last peak, previousPeak that of the one before.
	peak         int64
	previousPeak int64
	onsetMS      int64
	hasOnset     bool
}

// onset is the start of a peak.
type onset struct {
	service string
	atMS    int64
}

const (
	// peakFactor is the minimum ratio of a service's rate to its mean during a peak.
	peakFactor = 1.8
	// minShare is the minimum share of all arriving work that a peaking service has.
	minShare = 0.5
	// confirmMS is how long a service must have the most arriving work for its peak to count, and confirmJobs how many of its jobs must arrive meanwhile, since a single job may be large.
	confirmMS   = 350
	confirmJobs = 3
	// rampUpMS is how long after its onset a peak may still be rising.
	rampUpMS = 2500
	// meanWindowMS, smoothWindowMS and latestWindowMS are the windows of the moving averages for the mean, for the rate at a peak and for what shows that another peak begins while the last one's rate falls off.
	meanWindowMS   = 20000
	smoothWindowMS = 700
	latestWindowMS = 300
	// intervalTolerance divides the sum of the last two intervals between peaks; they are regular if they differ by no more than that.
	intervalTolerance = 12
	// leadTimeMS is how long before a peak its machines should start to move: the time of a move and of the VM's registration.
	leadTimeMS = 1900
	// overdueMS is how long after its expected time a peak is still awaited.
	overdueMS = 1000
	// minOnsets is how many peaks must have been seen before the next one is forecast.
	minOnsets = 3
)

// New returns a forecaster without observations.
func New() *Forecaster { return &Forecaster{services: map[string]*series{}} }

// Observe records the arrival rates of work, in thousandths of a core, and the numbers of jobs over the elapsedMS since the last call.
func (fc *Forecaster) Observe(nowMS, elapsedMS int64, rates map[string]int64, jobs map[string]int) {
	total := 0.0
	top := ""
	for service, rate := range rates {
		se := fc.series(service)
		se.mean = movingAverage(se.mean, rate, elapsedMS, meanWindowMS)
		se.smooth = movingAverage(se.smooth, rate, elapsedMS, smoothWindowMS)
		se.latest = movingAverage(se.latest, rate, elapsedMS, latestWindowMS)
		total += se.latest
		if top == "" || se.latest > fc.services[top].latest || (se.latest == fc.services[top].latest && service < top) {
			top = service
		}
	}
	if top == "" || total <= 0 {
		return
	}
	se := fc.services[top]
	if se.latest < minShare*total || (se.latest < peakFactor*se.mean && len(fc.onsets) > 0) {
		fc.candidate = ""
		return
	}
	fc.confirmPeak(nowMS, top, jobs[top])
	if fc.current == top {
		se.peak = max(se.peak, int64(se.smooth))
	}
}

// confirmPeak records that a service has the most arriving work, and starts its peak once that has lasted for confirmMS and confirmJobs.
func (fc *Forecaster) confirmPeak(nowMS int64, top string, jobs int) {
	if top == fc.current {
		fc.candidate = ""
		return
	}
	if top != fc.candidate {
		fc.candidate, fc.candidateSinceMS, fc.candidateJobs = top, nowMS, 0
	}
	fc.candidateJobs += jobs
	if nowMS-fc.candidateSinceMS < confirmMS || fc.candidateJobs < confirmJobs {
		return
	}
	fc.current, fc.candidate = top, ""
	fc.onsets = append(fc.onsets, onset{service: top, atMS: fc.candidateSinceMS})
	fc.onsets = fc.onsets[max(len(fc.onsets)-minOnsets, 0):]
	se := fc.services[top]
	se.onsetMS, se.hasOnset = fc.candidateSinceMS, true
	se.previousPeak, se.peak = se.peak, 0
}

// Rising returns the service whose peak has just begun and the rate expected of it, or false if there is none.
func (fc *Forecaster) Rising(nowMS int64) (service string, rate int64, ok bool) {
	if fc.current == "" || nowMS-fc.services[fc.current].onsetMS > rampUpMS {
		return "", 0, false
	}
	rate = fc.expectedRate(fc.current)
	return fc.current, rate, rate > 0
}

func (fc *Forecaster) series(service string) *series {
	se, ok := fc.services[service]
	if !ok {
		se = &series{}
		fc.services[service] = se
	}
	return se
}

// movingAverage updates an exponential moving average with a rate that held for elapsedMS.
func movingAverage(mean float64, rate, elapsedMS, windowMS int64) float64 {
	weight := min(float64(elapsedMS)/float64(windowMS), 1)
	return mean + (float64(rate)-mean)*weight
}

// HasPeaked reports whether a peak of the service was seen.
func (fc *Forecaster) HasPeaked(service string) bool {
	se, ok := fc.services[service]
	return ok && se.hasOnset
}

// Next returns the service whose peak is due and the rate expected of it, or false if none is due now.
func (fc *Forecaster) Next(nowMS int64) (service string, rate int64, ok bool) {
	interval, ok := fc.interval()
	if !ok {
		return "", 0, false
	}
	due := fc.onsets[len(fc.onsets)-1].atMS + interval
	if nowMS < due-leadTimeMS || nowMS > due+overdueMS {
		return "", 0, false
	}
	service, ok = fc.leastRecentPeak()
	if !ok {
		return "", 0, false
	}
	return service, fc.expectedRate(service), true
}

// interval returns the time between peaks, or false if the last ones were irregular.
func (fc *Forecaster) interval() (int64, bool) {
	count := len(fc.onsets)
	if count < minOnsets {
		return 0, false
	}
	last := fc.onsets[count-1].atMS - fc.onsets[count-2].atMS
	previous := fc.onsets[count-2].atMS - fc.onsets[count-3].atMS
	if diff := max(last-previous, previous-last); diff*intervalTolerance > last+previous {
		return 0, false
	}
	return (last + previous) / 2, true
}

// leastRecentPeak returns the service that is to peak next: the only one that hasn't peaked yet, or else the one whose peak is longest ago; it returns false if several haven't peaked yet.
func (fc *Forecaster) leastRecentPeak() (string, bool) {
	best := ""
	unseen := 0
	for service, se := range fc.services {
		if service == fc.current {
			continue
		}
		if !se.hasOnset {
			unseen++
			best = service
		}
	}
	if unseen > 0 {
		return best, unseen == 1
	}
	for service, se := range fc.services {
		if service != fc.current && (best == "" || se.onsetMS < fc.services[best].onsetMS) {
			best = service
		}
	}
	return best, best != ""
}

// expectedRate returns the rate of a service at its current or next peak: that of its last complete peak, or else the mean peak of the other services.
func (fc *Forecaster) expectedRate(service string) int64 {
	se := fc.services[service]
	if service == fc.current && se.previousPeak > 0 {
		return se.previousPeak
	}
	if service != fc.current && se.peak > 0 {
		return se.peak
	}
	sum, count := int64(0), int64(0)
	for name, other := range fc.services {
		if name != service && other.peak > 0 {
			sum += other.peak
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return sum / count
}
