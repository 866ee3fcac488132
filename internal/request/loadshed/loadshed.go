package loadshed

import (
	"math"
	"slices"
	"sync"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/jobwork"
)

// Shedder decides by the owner's last estimate of the queueing delay and by what its entry has accepted since; it is safe for concurrent use.
type Shedder struct {
	mu       sync.Mutex
	services map[string]*service
	readMS   int64
	// entry holds what the entry itself has taken and promised, by service; it outlives estimates.
	entry map[string]*ledger
}

// service is the estimate of one service.
type service struct {
	roomMilli   int64
	begunCoreMS int64
	teams       map[string]*workpb.TeamWait
}

// ledger is what one entry has accepted for a service since about the last estimate, how fast it accepts, and the last time for which it told a caller to come back.
type ledger struct {
	accepted []acceptance
	// rateMilli is a moving average of the accepted work in thousandths of a core, as of rateMS.
	rateMilli float64
	rateMS    int64
	// averages is over the last jobs that callers submitted, of which jobs is the number up to meanJobs.
	averages means
	jobs     int
	// slacks holds the mean slack of each queue's jobs, since queues of one service may have very different objectives.
	slacks map[string]*slack
	// nextReturnMS is the earliest time at which the next refused caller is told to come back.
	nextReturnMS int64
}

// means are of the longest step and of the critical path.
type means struct {
	stepMS, pathMS float64
}

// slack is the mean time that jobs may wait and still be in time, over the last jobs, up to meanJobs.
type slack struct {
	meanMS float64
	jobs   int
}

type acceptance struct {
	atMS       int64
	team       string
	level      int32
	workCoreMS int64
}

const (
	milli = 1000
	// maxAgeMS is the age from which an estimate isn't used: the owner writes one every 300 ms, so an older one means that its owner or the feed is delayed.
	maxAgeMS = 1500
	// overlapMS is how long before an estimate was read a job must have been accepted to be part of it: the feeds from the entry to the owner and back and the owner's commit take about as long.
	overlapMS = 150
	// atOnceMS is the wait up to which a job counts as starting at once; the owner writes no estimate below 500 ms.
	atOnceMS = 300
	// maxWaitPart and maxWaitPartAboveShare are the parts of a queue's mean slack that a job of a team within or above its share may wait. They are below 1 since the owner starts the job with the least slack first, so that a queue as long as the mean slack would make accepted longer jobs late.
	maxWaitPart           = 0.75
	maxWaitPartAboveShare = 0.5
	// maxAboveShareSlowdown is how many times longer the work of teams above their share is taken to wait at most, since what they use now changes.
	maxAboveShareSlowdown = 3
	// meanJobs is the number of jobs over which slack and step length are averaged.
	meanJobs = 30
	// minRetryAfterS and maxRetryAfterS bound the times that callers are told.
	minRetryAfterS = 1
	maxRetryAfterS = 10
	// rateMeanMS is the time constant of the average of the entry's accepted work, about the length of a burst.
	rateMeanMS = 3000
	// minShare is the least part of a service's capacity that an entry takes its returning callers to have, about that of one of fifty entries.
	minShare = 0.02
)

// New returns a shedder without an estimate, which refuses nothing.
func New() *Shedder { return &Shedder{entry: map[string]*ledger{}} }

// SetEstimate takes the owner's estimate as of readMS on the entry's clock.
func (sh *Shedder) SetEstimate(ws *workpb.Waits, readMS int64) {
	services := map[string]*service{}
	for _, row := range ws.GetServices() {
		sv := &service{roomMilli: row.GetRoomMilli(), begunCoreMS: row.GetBegunCoreMs(), teams: map[string]*workpb.TeamWait{}}
		for _, tm := range row.GetTeams() {
			sv.teams[tm.GetTeam()] = tm
		}
		services[row.GetService()] = sv
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.services, sh.readMS = services, readMS
	for _, lg := range sh.entry {
		lg.accepted = slices.DeleteFunc(lg.accepted, func(ac acceptance) bool { return ac.atMS < readMS-overlapMS })
	}
}

// Applies reports whether jobs of the queue may be refused at all: it must have an objective and not be public, in rules whose teams have weights, and the job must run once, at once, and end by itself.
func Applies(rules *workpb.Rules, qu *workpb.Queue, jb *workpb.Job) bool {
	if !jobwork.Weighted(rules) || !jobwork.HasObjective(qu) || jb.GetOccurrences() > 0 {
		return false
	}
	return !slices.ContainsFunc(jb.GetSteps(), (*workpb.Step).GetLasting)
}

// Decide returns the decision on a job whose caller first tried at firstTriedMS.
func (sh *Shedder) Decide(rules *workpb.Rules, qu *workpb.Queue, jb *workpb.Job, firstTriedMS, nowMS int64) Decision {
	if !Applies(rules, qu, jb) {
		return Decision{}
	}
	dc := newDecision(qu, jb)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sv := sh.services[dc.service]
	dc.ageMS = nowMS - sh.readMS
	// Without any capacity the estimate can't tell when there will be some.
	if sv == nil || dc.ageMS > maxAgeMS || sv.roomMilli <= 0 {
		return dc
	}
	dc.roomMilli = sv.roomMilli
	dc.level = sv.teams[dc.team].GetShareLevel()
	late := nowMS+dc.criticalPathMS > firstTriedMS+dc.objectiveMS
	dc.waitMS = max(sh.poolWaitMS(sv, &dc), sh.capWaitMS(sv, &dc))
	dc.hopeless = dc.waitMS > sh.maxWaitMS(&dc, late)
	return dc
}

// maxWaitMS returns the wait up to which a job is accepted. One that can't be in time any more is accepted if its team's level lets it start at once: its caller was told to come back when there is capacity.
func (sh *Shedder) maxWaitMS(dc *Decision, late bool) int64 {
	if late {
		return atOnceMS
	}
	part := maxWaitPart
	if dc.level > 0 {
		part = maxWaitPartAboveShare
	}
	return max(int64(part*sh.ledgerOf(dc.service).slackMS(dc)), atOnceMS)
}

// timeFor returns how long the work takes with the capacity, in milliseconds.
func timeFor(workCoreMS, roomMilli int64) int64 {
	return int64(math.Ceil(float64(max(workCoreMS, 0)) * milli / float64(roomMilli)))
}

// poolWaitMS returns how long the job waits for the work that the owner does before it: what waits of teams that aren't further above their share and later steps of jobs that have begun, less what has been done since the estimate, plus what this entry has accepted since.
//
// If nothing waits ahead, the job is the next to start, however long the begun work takes. Work of teams above their share is done with what the others leave, which is taken to be what such teams use now.
func (sh *Shedder) poolWaitMS(sv *service, dc *Decision) int64 {
	within, above := int64(0), int64(0)
	for _, tm := range sv.teams {
		switch {
		case tm.GetShareLevel() == 0:
			within += usableWork(tm, dc.objectiveMS)
		case tm.GetShareLevel() <= dc.level:
			above += usableWork(tm, dc.objectiveMS)
		}
	}
	if within+above == 0 {
		return 0
	}
	lg := sh.ledgerOf(dc.service)
	acceptedWithin, acceptedAbove := int64(0), int64(0)
	for _, ac := range lg.accepted {
		switch {
		case ac.level == 0:
			acceptedWithin += ac.workCoreMS
		case ac.level <= dc.level:
			acceptedAbove += ac.workCoreMS
		}
	}
	roomAbove := sv.roomAboveShare()
	sinceMS := max(timeFor(within, sv.roomMilli)+timeFor(above, roomAbove)+lg.laterStepsMS(sv, dc)-dc.ageMS, 0)
	return sinceMS + timeFor(acceptedWithin, sv.roomMilli) + timeFor(acceptedAbove, roomAbove)
}

// roomAboveShare returns the capacity that teams above their share have, all of it if the estimate doesn't tell what they use.
func (sv *service) roomAboveShare() int64 {
	used := int64(0)
	for _, tm := range sv.teams {
		if tm.GetShareLevel() > 0 {
			used += tm.GetUsedMilli()
		}
	}
	if used == 0 {
		return sv.roomMilli
	}
	return min(max(used, sv.roomMilli/maxAboveShareSlowdown), sv.roomMilli)
}

// laterStepsMS returns how long the steps of begun jobs take that haven't started. The tasks that run have half a step left; the rest of the begun work is taken to be later steps as far as jobs have such steps, since estimates of work may be far too high.
func (lg *ledger) laterStepsMS(sv *service, dc *Decision) int64 {
	means := lg.means(dc)
	begunMS := timeFor(sv.begunCoreMS, sv.roomMilli)
	return min(max(begunMS-int64(means.stepMS/2), 0), int64(max(means.pathMS-means.stepMS, 0)))
}

// usableWork returns a team's waiting work as far as it competes with other teams' within a time: a team can't use more than its cap.
func usableWork(tm *workpb.TeamWait, withinMS int64) int64 {
	if tm.GetCapMilli() <= 0 {
		return tm.GetWaitingCoreMs()
	}
	return min(tm.GetWaitingCoreMs(), tm.GetCapMilli()*withinMS/milli)
}

// capWaitMS returns how long the job waits for its team's other work under the team's CPU cap. The part of the begun work that is the team's is taken to be its part of the used capacity; the tasks that run have half a step left.
func (sh *Shedder) capWaitMS(sv *service, dc *Decision) int64 {
	tm := sv.teams[dc.team]
	if tm.GetCapMilli() <= 0 {
		return 0
	}
	work := tm.GetWaitingCoreMs()
	for _, ac := range sh.ledgerOf(dc.service).accepted {
		if ac.team == dc.team {
			work += ac.workCoreMS
		}
	}
	used := min(tm.GetUsedMilli(), tm.GetCapMilli())
	if work == 0 && used < tm.GetCapMilli() {
		return 0
	}
	work += sv.begunCoreMS * min(used, sv.roomMilli) / sv.roomMilli
	waitMS := timeFor(work-tm.GetCapMilli()*dc.ageMS/milli, tm.GetCapMilli())
	return max(waitMS-int64(sh.ledgerOf(dc.service).means(dc).stepMS/2), 0)
}

// Accepted counts a job that was accepted after the decision.
func (sh *Shedder) Accepted(dc Decision, nowMS int64) {
	if dc.service == "" {
		return
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	lg := sh.ledgerOf(dc.service)
	lg.observe(dc)
	lg.accepted = slices.DeleteFunc(lg.accepted, func(ac acceptance) bool { return ac.atMS < nowMS-maxAgeMS-overlapMS })
	lg.accepted = append(lg.accepted, acceptance{nowMS, dc.team, dc.level, dc.workCoreMS})
	lg.decay(nowMS)
	lg.rateMilli += float64(dc.workCoreMS) * milli / rateMeanMS
}

func (sh *Shedder) ledgerOf(service string) *ledger {
	lg, ok := sh.entry[service]
	if !ok {
		lg = &ledger{slacks: map[string]*slack{}}
		sh.entry[service] = lg
	}
	return lg
}

// means returns the averages, or the figures of the job at hand if it is the first one.
func (lg *ledger) means(dc *Decision) means {
	if lg.jobs == 0 {
		return dc.means()
	}
	return lg.averages
}

// slackMS returns the mean slack of the jobs of the job's queue, or its own if it is the first one.
func (lg *ledger) slackMS(dc *Decision) float64 {
	if sl, ok := lg.slacks[dc.queue]; ok {
		return sl.meanMS
	}
	return dc.slackMS()
}

// observe takes a job into the averages.
func (lg *ledger) observe(dc Decision) {
	lg.jobs = min(lg.jobs+1, meanJobs)
	add := func(mean *float64, value float64, jobs int) { *mean += (value - *mean) / float64(jobs) }
	own := dc.means()
	add(&lg.averages.stepMS, own.stepMS, lg.jobs)
	add(&lg.averages.pathMS, own.pathMS, lg.jobs)
	sl, ok := lg.slacks[dc.queue]
	if !ok {
		sl = &slack{}
		lg.slacks[dc.queue] = sl
	}
	sl.jobs = min(sl.jobs+1, meanJobs)
	add(&sl.meanMS, dc.slackMS(), sl.jobs)
}

// decay brings the average of the accepted work to nowMS.
func (lg *ledger) decay(nowMS int64) {
	lg.rateMilli *= math.Exp(-float64(max(nowMS-lg.rateMS, 0)) / rateMeanMS)
	lg.rateMS = nowMS
}

// Refused returns after how many seconds the caller of a refused job should come back. The callers of one entry come back one after the other, as fast as the entry's part of the capacity allows; that part is taken to be what the entry had accepted lately.
func (sh *Shedder) Refused(dc Decision, nowMS int64) int64 {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	lg := sh.ledgerOf(dc.service)
	lg.observe(dc)
	lg.decay(nowMS)
	share := min(max(lg.rateMilli/float64(dc.roomMilli), minShare), 1)
	returnMS := max(nowMS+dc.waitMS, lg.nextReturnMS)
	lg.nextReturnMS = min(returnMS+timeFor(dc.workCoreMS, int64(math.Ceil(share*float64(dc.roomMilli)))), nowMS+maxRetryAfterS*milli)
	seconds := (returnMS - nowMS + milli - 1) / milli
	return min(max(seconds, minRetryAfterS), maxRetryAfterS)
}
