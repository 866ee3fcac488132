package waitestimate

import (
	"sort"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

// Estimator computes the estimates of one ownership, each from Begin to Row, and decides which of them are stored. It isn't safe for concurrent use.
type Estimator struct {
	startMS int64
	nextMS  int64
	// storedMayList is set while the stored row may list services of this owner, inherited while it may be that of the predecessor.
	storedMayList bool
	inherited     bool
	services      map[string]*service
	// counted holds the machines whose capacity is counted, with what each adds.
	counted map[string]capacity
	spare   []spareMachine
}

// service is what one pass has learned of a service.
type service struct {
	eligible   bool
	withheld   bool
	roomMilli  int64
	freeMilli  int64
	askedMilli int64
	begunMS    int64
	teams      map[string]*workpb.TeamWait
}

// capacity is what a machine adds to a service.
type capacity struct {
	service    string
	coresMilli int64
	usedMilli  int64
}

// spareMachine is a machine that no service needs now.
type spareMachine struct {
	id        string
	capacity  capacity
	mayMoveTo func(service string) bool
}

const (
	// intervalMS is the time between estimates; work that starts or ends within one interval isn't seen by the entries.
	intervalMS = 300
	// settleMS is how long after it began to schedule an owner states nothing: it still learns what its predecessor left.
	settleMS = 3000
	// minWaitMS is the wait of a job submitted now from which a service is listed.
	minWaitMS = 500
	// moveMS is about the time in which a machine can get from one pool to another.
	moveMS = 2000
	milli  = 1000
)

// New returns an estimator for an owner that began to schedule at startMS.
func New(startMS int64) *Estimator {
	return &Estimator{startMS: startMS, inherited: true}
}

// SettledMS returns the time before which this owner states nothing.
func (es *Estimator) SettledMS() int64 { return es.startMS + settleMS }

// Due reports whether the next estimate is due.
func (es *Estimator) Due(nowMS int64) bool { return nowMS >= es.nextMS }

// Begin begins an estimate without services.
func (es *Estimator) Begin(nowMS int64) {
	es.nextMS = nowMS + intervalMS
	es.services = map[string]*service{}
	es.counted = map[string]capacity{}
	es.spare = nil
}

// AddService adds a service; only an eligible one, whose rules ask for refusals, can be listed.
func (es *Estimator) AddService(name string, eligible bool) {
	es.services[name] = &service{eligible: eligible, teams: map[string]*workpb.TeamWait{}}
}

// Withhold leaves a service out of this estimate, since the owner doesn't know its VMs yet.
func (es *Estimator) Withhold(name string) {
	if sv, ok := es.services[name]; ok {
		sv.withheld = true
	}
}

// AddMachine adds the capacity of a machine to the service that has or gets it, beyond what long-running tasks take, with the part that other work uses. A machine counts once, for the service that it is added to first; an empty id stands for an unknown machine.
func (es *Estimator) AddMachine(name, id string, coresMilli, usedMilli int64) {
	sv, ok := es.services[name]
	if _, known := es.counted[id]; !ok || known {
		return
	}
	added := capacity{name, max(coresMilli, 0), max(usedMilli, 0)}
	if id != "" {
		es.counted[id] = added
	}
	sv.add(added)
}

// AddSpare adds a machine that its own pool, if any, doesn't need: it counts for the service whose wait is longest among those that it may move to.
func (es *Estimator) AddSpare(id string, coresMilli int64, mayMoveTo func(service string) bool) {
	own, ok := es.counted[id]
	if !ok {
		own = capacity{coresMilli: coresMilli}
	}
	es.spare = append(es.spare, spareMachine{id, own, mayMoveTo})
}

// AddBegun adds remaining work of jobs of which a task has started.
func (es *Estimator) AddBegun(name string, coreMS int64) {
	if sv, ok := es.services[name]; ok {
		sv.begunMS += coreMS
	}
}

// AddWaiting adds work of a team's jobs that haven't started and can still be in time.
func (es *Estimator) AddWaiting(name, team string, coreMS int64) {
	if sv, ok := es.services[name]; ok {
		sv.team(team).WaitingCoreMs += coreMS
	}
}

// AddAsked adds the capacity that tasks ready to start would take at once, as far as their teams' caps allow.
func (es *Estimator) AddAsked(name string, coresMilli int64) {
	if sv, ok := es.services[name]; ok {
		sv.askedMilli += coresMilli
	}
}

// SetTeam sets how far a team is above its share of a service, its CPU cap, 0 for none, and what it uses of it. A team within its share is listed only if its work waits.
func (es *Estimator) SetTeam(name, team string, shareLevel int32, capMilli, usedMilli int64) {
	sv, ok := es.services[name]
	if !ok || (shareLevel == 0 && sv.teams[team] == nil) {
		return
	}
	row := sv.team(team)
	row.ShareLevel, row.CapMilli, row.UsedMilli = shareLevel, capMilli, usedMilli
}

func (sv *service) team(name string) *workpb.TeamWait {
	row, ok := sv.teams[name]
	if !ok {
		row = &workpb.TeamWait{Team: name}
		sv.teams[name] = row
	}
	return row
}

func (sv *service) add(ca capacity) {
	sv.roomMilli += ca.coresMilli
	sv.freeMilli += max(ca.coresMilli-ca.usedMilli, 0)
}

func (sv *service) remove(ca capacity) {
	sv.roomMilli -= ca.coresMilli
	sv.freeMilli -= max(ca.coresMilli-ca.usedMilli, 0)
}

// aheadMS returns the work that competes for the service within a time, in milliseconds of a core: a team's waiting work beyond what its cap admits in that time takes no capacity from others.
func (sv *service) aheadMS(withinMS int64) int64 {
	sum := sv.begunMS
	for _, row := range sv.teams {
		work := row.GetWaitingCoreMs()
		if row.GetCapMilli() > 0 {
			work = min(work, row.GetCapMilli()*withinMS/milli)
		}
		sum += work
	}
	return sum
}

// waitMS returns how long the capacity takes for an amount of work.
func waitMS(coreMS, roomMilli int64) int64 { return coreMS * milli / max(roomMilli, 1) }

// WaitMS returns how long a job waits that is submitted to a service behind all work that competes for it.
func WaitMS(row *workpb.ServiceWait) int64 {
	sum := row.GetBegunCoreMs()
	for _, tm := range row.GetTeams() {
		sum += tm.GetWaitingCoreMs()
	}
	return waitMS(sum, row.GetRoomMilli())
}

// waits reports whether a job submitted now would wait for minWaitMS or longer. While the free capacity suffices for the tasks that are ready to start, it wouldn't, however much work has begun. Without any capacity nothing is known of the wait, as after the loss of a zone.
func (sv *service) waits() bool {
	return sv.roomMilli > 0 && sv.askedMilli > 0 && sv.askedMilli >= sv.freeMilli && waitMS(sv.aheadMS(minWaitMS), sv.roomMilli) >= minWaitMS
}

// shareSpare counts each spare machine for the service whose wait is then longest, its own among equal ones.
func (es *Estimator) shareSpare() {
	names := make([]string, 0, len(es.services))
	ahead := map[string]int64{}
	for name, sv := range es.services {
		names = append(names, name)
		ahead[name] = sv.aheadMS(moveMS)
	}
	sort.Strings(names)
	for _, sp := range es.spare {
		own := sp.capacity.service
		if sv, ok := es.services[own]; ok {
			sv.remove(sp.capacity)
		}
		best, bestMS := own, int64(0)
		if sv, ok := es.services[own]; ok {
			bestMS = waitMS(ahead[own], sv.roomMilli)
		}
		for _, name := range names {
			wait := waitMS(ahead[name], es.services[name].roomMilli)
			if wait > bestMS && sp.mayMoveTo(name) {
				best, bestMS = name, wait
			}
		}
		if sv, ok := es.services[best]; ok {
			sv.add(sp.capacity)
		}
	}
}

// Row ends the estimate and returns the row to store, nil if none is to be stored: the services with work that waits, or none once after such a row. A new owner begins with a row without services, since an entry that starts then takes its predecessor's row for a recent one.
func (es *Estimator) Row(nowMS int64) *workpb.Waits {
	es.shareSpare()
	row := &workpb.Waits{EstimatedMs: nowMS}
	if nowMS >= es.SettledMS() {
		for name, sv := range es.services {
			if sv.eligible && !sv.withheld && sv.waits() {
				row.Services = append(row.Services, sv.row(name))
			}
		}
	}
	sort.Slice(row.Services, func(i, j int) bool { return row.Services[i].GetService() < row.Services[j].GetService() })
	if len(row.GetServices()) > 0 {
		es.storedMayList = true
		return row
	}
	if es.storedMayList || (es.inherited && es.anyEligible()) {
		return row
	}
	return nil
}

func (es *Estimator) anyEligible() bool {
	for _, sv := range es.services {
		if sv.eligible {
			return true
		}
	}
	return false
}

// Stored records that a row has certainly been stored.
func (es *Estimator) Stored(row *workpb.Waits) {
	es.storedMayList, es.inherited = len(row.GetServices()) > 0, false
}

func (sv *service) row(name string) *workpb.ServiceWait {
	out := &workpb.ServiceWait{Service: name, RoomMilli: sv.roomMilli, BegunCoreMs: sv.begunMS}
	for _, row := range sv.teams {
		out.Teams = append(out.Teams, row)
	}
	sort.Slice(out.Teams, func(i, j int) bool { return out.Teams[i].GetTeam() < out.Teams[j].GetTeam() })
	return out
}
