package fairshare

import (
	"github.com/google/btree"

	"github.com/fulmarloft/fulmarloft/internal/scheduling/size"
)

// Picker tracks the queued jobs and resource usage of each team and selects the job to start next; it isn't safe for concurrent use.
type Picker struct {
	total      size.Size
	teams      map[string]*team
	backlogged *btree.BTreeG[*team]
	round      int64
}

// MaxUrgentStreak is how many urgent jobs of a team may start in a row while a normal one waits.
const MaxUrgentStreak = 8

// Lookahead is how many jobs of a team may be skipped in one round before the team itself is skipped.
const Lookahead = 8

const (
	normal = iota
	urgent
	numClasses
)

const treeDegree = 16

// team holds the queued jobs and usage of one team, and its state in the round that it was last used in.
type team struct {
	name          string
	weight        int
	limit         int
	running       int
	used          size.Size
	weightedShare float64
	inBacklog     bool
	queues        [numClasses]*btree.BTreeG[queuedJob]
	jobs          map[string]queuedJob
	urgentStreak  int
	round         int64
	skipped       int
	lastSkipped   [numClasses]queuedJob
}

// queuedJob is one job that waits to be started.
type queuedJob struct {
	id          string
	class       int
	submittedMS int64
	need        size.Size
}

// New returns a picker without teams.
func New() *Picker {
	return &Picker{teams: map[string]*team{}, backlogged: btree.NewG(treeDegree, teamLess)}
}

// SetTotal sets the total capacity, of which shares are fractions.
func (pk *Picker) SetTotal(total size.Size) {
	if total == pk.total {
		return
	}
	pk.total = total
	for _, tm := range pk.teams {
		pk.reorder(tm, func() {})
	}
}

// SetTeam sets a team's weight and the number of jobs it may run at once. A team of weight 0 comes after all others.
func (pk *Picker) SetTeam(name string, weight, limit int) {
	tm := pk.team(name)
	if tm.weight == weight && tm.limit == limit {
		return
	}
	pk.reorder(tm, func() { tm.weight, tm.limit = weight, limit })
}

// Push queues a job, or replaces it if it is queued already.
func (pk *Picker) Push(name, id string, isUrgent bool, submittedMS int64, need size.Size) {
	pk.Drop(name, id)
	tm := pk.team(name)
	qj := queuedJob{id: id, submittedMS: submittedMS, need: need}
	if isUrgent {
		qj.class = urgent
	}
	pk.reorder(tm, func() {
		tm.queues[qj.class].ReplaceOrInsert(qj)
		tm.jobs[id] = qj
	})
}

// Drop removes a job from its team's queue and reports whether it was queued.
func (pk *Picker) Drop(name, id string) bool {
	tm, ok := pk.teams[name]
	if !ok {
		return false
	}
	qj, ok := tm.jobs[id]
	if !ok {
		return false
	}
	pk.reorder(tm, func() {
		tm.queues[qj.class].Delete(qj)
		delete(tm.jobs, id)
	})
	return true
}

// Start removes a job from its team's queue and adds its reserved size to the team's usage.
func (pk *Picker) Start(name, id string, reserved size.Size) {
	tm := pk.team(name)
	if qj, ok := tm.jobs[id]; ok {
		tm.countUrgentStreak(qj.class)
	}
	pk.Drop(name, id)
	pk.AddRunning(name, reserved)
}

// AddRunning adds a running job to the team's usage.
func (pk *Picker) AddRunning(name string, reserved size.Size) {
	tm := pk.team(name)
	pk.reorder(tm, func() {
		tm.running++
		tm.used = tm.used.Plus(reserved)
	})
}

// RemoveRunning removes an ended job from the team's usage.
func (pk *Picker) RemoveRunning(name string, reserved size.Size) {
	tm := pk.team(name)
	pk.reorder(tm, func() {
		tm.running--
		tm.used = tm.used.Minus(reserved)
	})
}

// BeginRound starts a round, which clears the jobs skipped in the previous one.
func (pk *Picker) BeginRound() { pk.round++ }

// Next returns the job to try next, without removing it. The team with the lowest weighted share comes first; within a team, urgent jobs come before normal ones, up to MaxUrgentStreak in a row, and older jobs before younger ones.
func (pk *Picker) Next() (name, id string, need size.Size, ok bool) {
	var found queuedJob
	pk.backlogged.Ascend(func(tm *team) bool {
		if tm.running >= tm.limit || tm.exhausted(pk.round) {
			return true
		}
		found, ok = tm.nextJob(pk.round)
		name = tm.name
		return !ok
	})
	if !ok {
		return "", "", size.Size{}, false
	}
	return name, found.id, found.need, true
}

// Skip excludes a job, with those before it in its class, from the rest of the round; after Lookahead jobs, the whole team.
func (pk *Picker) Skip(name, id string) {
	tm, ok := pk.teams[name]
	if !ok {
		return
	}
	if qj, ok := tm.jobs[id]; ok {
		tm.enterRound(pk.round)
		tm.skipped++
		tm.lastSkipped[qj.class] = qj
	}
}

// Running returns the number of running jobs of a team.
func (pk *Picker) Running(name string) int { return pk.team(name).running }

// Queued returns the number of queued jobs of a team.
func (pk *Picker) Queued(name string) int { return len(pk.team(name).jobs) }

// WeightedShare returns the team's dominant share of the total capacity divided by its weight, where weight 0 counts as 1.
func (pk *Picker) WeightedShare(name string) float64 { return pk.team(name).weightedShare }

// Names returns the names of all known teams, in no particular order.
func (pk *Picker) Names() []string {
	names := make([]string, 0, len(pk.teams))
	for name := range pk.teams {
		names = append(names, name)
	}
	return names
}

// MayPreempt reports whether an urgent job of one team may preempt a normal job of another team. It may not if the victim's team would end up with a lower weighted share than the preempting team.
func (pk *Picker) MayPreempt(name string, need size.Size, victim string, victimNeed size.Size) bool {
	if name == victim {
		return true
	}
	tm, other := pk.team(name), pk.team(victim)
	if tm.weight == 0 {
		return false
	}
	return other.weight == 0 || pk.weightedShareWith(tm, tm.used.Plus(need)) <= pk.weightedShareWith(other, other.used.Minus(victimNeed))
}

// team returns a team's state and creates it if needed.
func (pk *Picker) team(name string) *team {
	tm, ok := pk.teams[name]
	if !ok {
		tm = &team{name: name, jobs: map[string]queuedJob{}}
		for class := range tm.queues {
			tm.queues[class] = btree.NewG(treeDegree, queuedJobLess)
		}
		pk.teams[name] = tm
	}
	return tm
}

// reorder applies a change to a team and moves it to its new place in the backlog, which holds the teams with queued jobs.
func (pk *Picker) reorder(tm *team, change func()) {
	if tm.inBacklog {
		pk.backlogged.Delete(tm)
	}
	change()
	tm.weightedShare = pk.weightedShareWith(tm, tm.used)
	tm.inBacklog = len(tm.jobs) > 0
	if tm.inBacklog {
		pk.backlogged.ReplaceOrInsert(tm)
	}
}

// weightedShareWith returns the weighted share that a team would have with the given usage.
func (pk *Picker) weightedShareWith(tm *team, used size.Size) float64 {
	return used.Dominant(pk.total) / float64(max(1, tm.weight))
}

// enterRound resets the round state of a team that was last used in another round.
func (tm *team) enterRound(round int64) {
	if tm.round != round {
		tm.round, tm.skipped, tm.lastSkipped = round, 0, [numClasses]queuedJob{}
	}
}

func (tm *team) exhausted(round int64) bool { return tm.round == round && tm.skipped >= Lookahead }

// nextJob returns the next job that was not skipped in this round; normal jobs come first after MaxUrgentStreak urgent ones.
func (tm *team) nextJob(round int64) (queuedJob, bool) {
	tm.enterRound(round)
	first, second := urgent, normal
	if tm.urgentStreak >= MaxUrgentStreak {
		first, second = normal, urgent
	}
	if qj, ok := tm.firstUnskipped(first); ok {
		return qj, true
	}
	return tm.firstUnskipped(second)
}

// firstUnskipped returns the oldest job of a class after the one skipped last in this round.
func (tm *team) firstUnskipped(class int) (found queuedJob, ok bool) {
	from := tm.lastSkipped[class]
	tm.queues[class].AscendGreaterOrEqual(from, func(qj queuedJob) bool {
		found, ok = qj, qj.id != from.id
		return !ok
	})
	return found, ok
}

// countUrgentStreak extends the streak if an urgent job starts while a normal one waits, and resets it otherwise.
func (tm *team) countUrgentStreak(class int) {
	if class == normal || tm.queues[normal].Len() == 0 {
		tm.urgentStreak = 0
		return
	}
	tm.urgentStreak++
}

// teamLess orders teams by weighted share; teams of weight 0 come after all others.
func teamLess(a, b *team) bool {
	if (a.weight == 0) != (b.weight == 0) {
		return b.weight == 0
	}
	if a.weightedShare != b.weightedShare {
		return a.weightedShare < b.weightedShare
	}
	return a.name < b.name
}

func queuedJobLess(a, b queuedJob) bool {
	if a.submittedMS != b.submittedMS {
		return a.submittedMS < b.submittedMS
	}
	return a.id < b.id
}
