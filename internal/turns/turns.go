package turns

// Forecaster learns from the rates of arriving work; it answers demand that rises and falls by turns, faster than machines can follow it.
type Forecaster struct {
	services map[string]*series
	leader   string
	rival    string
	rivalMS  int64
	// rivalJobs counts the jobs that came for the rival since it leads.
	rivalJobs int
	onsets    []onset
}

// series is what is known of one service's arriving work.
type series struct {
	mean   float64
	smooth float64
	// peak is the highest rate of the present or last turn, earlier that of the turn before it.
	peak     int64
	earlier  int64
	onsetMS  int64
	hasOnset bool
}

type onset struct {
	service string
	atMS    int64
}

const (
	// surgeFactor is how far above its mean a service's rate must be for a turn.
	surgeFactor = 1.8
	// shareOfAll is the least part of all arriving work that the service at its peak has.
	shareOfAll = 0.5
	// confirmMS is how long a service must lead before its turn counts, and confirmJobs how many jobs must come meanwhile, since single ones may be large.
	confirmMS   = 350
	confirmJobs = 3
	// riseMS is how long after its onset a turn may still be rising.
	riseMS = 2500
	// meanMS and smoothMS are the times over which the mean and the present rate are taken.
	meanMS   = 20000
	smoothMS = 700
	// toleranceParts: intervals between turns are regular if they differ by less than one part in so many of their sum.
	toleranceParts = 12
	// leadMS is how long before a turn its machines should be on their way: a move and the VM's registration.
	leadMS = 1900
	// overdueMS is how long after its expected time a turn is still awaited.
	overdueMS = 1000
	// leastOnsets is how many turns must have been seen.
	leastOnsets = 3
)

// New returns a forecast that has seen nothing.
func New() *Forecaster { return &Forecaster{services: map[string]*series{}} }

// Observe takes up the rates of arriving work, in thousandths of a core, and the number of jobs over the time since the last call.
func (tn *Forecaster) Observe(nowMS, sinceMS int64, rates map[string]int64, jobs map[string]int) {
	total := 0.0
	top := ""
	for service, rate := range rates {
		se := tn.series(service)
		se.mean = blend(se.mean, rate, sinceMS, meanMS)
		se.smooth = blend(se.smooth, rate, sinceMS, smoothMS)
		total += se.smooth
		if top == "" || se.smooth > tn.services[top].smooth || (se.smooth == tn.services[top].smooth && service < top) {
			top = service
		}
	}
	if top == "" || total <= 0 {
		return
	}
	se := tn.services[top]
	if se.smooth < shareOfAll*total || (se.smooth < surgeFactor*se.mean && len(tn.onsets) > 0) {
		tn.rival = ""
		return
	}
	tn.lead(nowMS, top, jobs[top])
	if tn.leader == top {
		se.peak = max(se.peak, int64(se.smooth))
	}
}

// lead notes that a service has the most arriving work.
func (tn *Forecaster) lead(nowMS int64, top string, jobs int) {
	if top == tn.leader {
		tn.rival = ""
		return
	}
	if top != tn.rival {
		tn.rival, tn.rivalMS, tn.rivalJobs = top, nowMS, 0
	}
	tn.rivalJobs += jobs
	if nowMS-tn.rivalMS < confirmMS || tn.rivalJobs < confirmJobs {
		return
	}
	tn.leader, tn.rival = top, ""
	tn.onsets = append(tn.onsets, onset{service: top, atMS: tn.rivalMS})
	se := tn.services[top]
	se.onsetMS, se.hasOnset = tn.rivalMS, true
	se.earlier, se.peak = se.peak, 0
}

// Rising returns the service whose turn has just begun and the rate that it will ask for, or false if there is none.
func (tn *Forecaster) Rising(nowMS int64) (service string, rate int64, ok bool) {
	if tn.leader == "" || nowMS-tn.services[tn.leader].onsetMS > riseMS {
		return "", 0, false
	}
	rate = tn.expected(tn.leader)
	return tn.leader, rate, rate > 0
}

func (tn *Forecaster) series(service string) *series {
	se, ok := tn.services[service]
	if !ok {
		se = &series{}
		tn.services[service] = se
	}
	return se
}

func blend(old float64, rate, sinceMS, overMS int64) float64 {
	part := min(float64(sinceMS)/float64(overMS), 1)
	return old + (float64(rate)-old)*part
}

// HasPeaked reports whether a service has had a turn.
func (tn *Forecaster) HasPeaked(service string) bool {
	se, ok := tn.services[service]
	return ok && se.hasOnset
}

// Next returns the service whose turn is about to come and the rate that it will ask for, or false if none is expected now.
func (tn *Forecaster) Next(nowMS int64) (service string, rate int64, ok bool) {
	interval, ok := tn.interval()
	if !ok {
		return "", 0, false
	}
	due := tn.onsets[len(tn.onsets)-1].atMS + interval
	if nowMS < due-leadMS || nowMS > due+overdueMS {
		return "", 0, false
	}
	service, ok = tn.longestAgo()
	if !ok {
		return "", 0, false
	}
	return service, tn.expected(service), true
}

// interval returns the time between turns if the last ones were regular.
func (tn *Forecaster) interval() (int64, bool) {
	count := len(tn.onsets)
	if count < leastOnsets {
		return 0, false
	}
	last := tn.onsets[count-1].atMS - tn.onsets[count-2].atMS
	before := tn.onsets[count-2].atMS - tn.onsets[count-3].atMS
	if diff := max(last-before, before-last); diff*toleranceParts > last+before {
		return 0, false
	}
	return (last + before) / 2, true
}

// longestAgo returns the service whose turn lies back farthest, if that is certain.
func (tn *Forecaster) longestAgo() (string, bool) {
	best := ""
	never := 0
	for service, se := range tn.services {
		if service == tn.leader {
			continue
		}
		if !se.hasOnset {
			never++
			best = service
		}
	}
	if never > 0 {
		return best, never == 1
	}
	for service, se := range tn.services {
		if service != tn.leader && (best == "" || se.onsetMS < tn.services[best].onsetMS) {
			best = service
		}
	}
	return best, best != ""
}

// expected returns the rate of a service at its next peak: that of an earlier turn of its own, else the mean of the other services'.
func (tn *Forecaster) expected(service string) int64 {
	se := tn.services[service]
	if service == tn.leader && se.earlier > 0 {
		return se.earlier
	}
	if service != tn.leader && se.peak > 0 {
		return se.peak
	}
	sum, count := int64(0), int64(0)
	for name, other := range tn.services {
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
