package jobcontrol

// zone tracks the reachability of an availability zone by the polls of its VMs.
type zone struct {
	answeredMS int64
	// failures counts the unanswered polls since the last answer.
	failures int
	failedMS int64
	// probedMS is when the zone's idle VMs were last polled early to find out whether the zone can be reached.
	probedMS int64
}

const (
	// A zone counts as cut off after minZoneFailures unanswered polls, if none was answered for zoneUnansweredMS.
	minZoneFailures  = 2
	zoneUnansweredMS = 500
	// zoneRetryMS is how long after the last unanswered poll a zone is used again.
	zoneRetryMS = 6000
)

func (ct *Controller) ensureZone(name string) *zone {
	zn, ok := ct.zones[name]
	if !ok {
		zn = &zone{answeredMS: ct.startedMS}
		ct.zones[name] = zn
	}
	return zn
}

func (ct *Controller) zoneAnswered(name string) {
	zn := ct.ensureZone(name)
	zn.answeredMS, zn.failures = ct.ck.Now(), 0
}

func (ct *Controller) zoneFailed(name string) {
	zn := ct.ensureZone(name)
	zn.failures++
	zn.failedMS = ct.ck.Now()
	if zn.failedMS-zn.probedMS >= zoneUnansweredMS {
		zn.probedMS = zn.failedMS
		ct.pollZone(name)
	}
}

// pollZone makes the polls of a zone's idle VMs due, which are far apart otherwise.
func (ct *Controller) pollZone(name string) {
	nowMS := ct.ck.Now()
	for _, vm := range ct.vms {
		if vm.reg.GetZone() == name && len(vm.runs) == 0 && !vm.unresponsive {
			vm.nextPollMS = min(vm.nextPollMS, nowMS)
		}
	}
}

// CutOff reports whether an availability zone seems to be cut off from this entry process, so that nothing should be started or moved there.
func (ct *Controller) CutOff(name string) bool {
	zn, ok := ct.zones[name]
	if !ok || zn.failures < minZoneFailures {
		return false
	}
	nowMS := ct.ck.Now()
	return nowMS-zn.answeredMS >= zoneUnansweredMS && nowMS-zn.failedMS < zoneRetryMS
}

// SetEvacuatedZones sets the availability zones in which the operators allow no starts; what runs there goes on.
func (ct *Controller) SetEvacuatedZones(zones map[string]bool) { ct.evacuated = zones }

// ZoneClosed reports whether nothing may be started or moved in an availability zone: it is evacuated or seems to be cut off.
func (ct *Controller) ZoneClosed(name string) bool { return ct.evacuated[name] || ct.CutOff(name) }
