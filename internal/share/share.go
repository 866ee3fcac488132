package share

import (
	"github.com/google/btree"

	"github.com/fulmarloft/fulmarloft/internal/size"
)

// Picker keeps each team's queue and use and names the job to start next; it isn't safe for concurrent use.
type Picker struct {
	total size.Size
	teams map[string]*team
	busy  *btree.BTreeG[*team]
	round int64
}

// MaxUrgentStreak is how many urgent jobs of a team start in a row while a normal one waits.
const MaxUrgentStreak = 8

// Lookahead is how many jobs of a team are passed over in one round before the team is left out of it.
const Lookahead = 8

const (
	normal = iota
	urgent
	classes
)

const treeDegree = 16

type team struct {
	name    string
	weight  int
	limit   int
	running int
	used    size.Size
	level   float64
	queued  bool
	queues  [classes]*btree.BTreeG[waiting]
	entries map[string]waiting
	inRow   int
	round   int64
	passed  int
	after   [classes]waiting
}

type waiting struct {
	id        string
	class     int
	submitted int64
	need      size.Size
}

// New returns a picker without teams.
func New() *Picker {
	return &Picker{teams: map[string]*team{}, busy: btree.NewG(treeDegree, teamLess)}
}

// SetTotal sets the capacity that shares are parts of.
func (pk *Picker) SetTotal(total size.Size) {
	if total == pk.total {
		return
	}
	pk.total = total
	for _, tm := range pk.teams {
		pk.reorder(tm, func() {})
	}
}

// SetTeam sets a team's weight, 0 for one that takes only what others leave, and the number of jobs it may run at once.
func (pk *Picker) SetTeam(name string, weight, limit int) {
	tm := pk.team(name)
	if tm.weight == weight && tm.limit == limit {
		return
	}
	pk.reorder(tm, func() { tm.weight, tm.limit = weight, limit })
}

// Push queues a job; pushing it again replaces it.
func (pk *Picker) Push(name, id string, isUrgent bool, submittedMS int64, need size.Size) {
	pk.Drop(name, id)
	tm := pk.team(name)
	wt := waiting{id: id, submitted: submittedMS, need: need}
	if isUrgent {
		wt.class = urgent
	}
	pk.reorder(tm, func() {
		tm.queues[wt.class].ReplaceOrInsert(wt)
		tm.entries[id] = wt
	})
}

// Drop takes a job out of its team's queue and reports whether it stood there.
func (pk *Picker) Drop(name, id string) bool {
	tm, ok := pk.teams[name]
	if !ok {
		return false
	}
	wt, ok := tm.entries[id]
	if !ok {
		return false
	}
	pk.reorder(tm, func() {
		tm.queues[wt.class].Delete(wt)
		delete(tm.entries, id)
	})
	return true
}

// Start moves a queued job into its team's use, with the size reserved for it.
func (pk *Picker) Start(name, id string, reserved size.Size) {
	tm := pk.team(name)
	if wt, ok := tm.entries[id]; ok {
		tm.count(wt.class)
	}
	pk.Drop(name, id)
	pk.AddRunning(name, reserved)
}

// AddRunning adds a running job to the team's use.
func (pk *Picker) AddRunning(name string, reserved size.Size) {
	tm := pk.team(name)
	pk.reorder(tm, func() {
		tm.running++
		tm.used = tm.used.Plus(reserved)
	})
}

// RemoveRunning takes an ended job from the team's use.
func (pk *Picker) RemoveRunning(name string, reserved size.Size) {
	tm := pk.team(name)
	pk.reorder(tm, func() {
		tm.running--
		tm.used = tm.used.Minus(reserved)
	})
}

// BeginRound opens a round, in which each job is offered at most once.
func (pk *Picker) BeginRound() { pk.round++ }

// Next returns the job to try next: of the team with the least use for its weight, urgent before normal with a bound on urgent jobs in a row, older before younger.
func (pk *Picker) Next() (name, id string, need size.Size, ok bool) {
	var found waiting
	pk.busy.Ascend(func(tm *team) bool {
		if tm.running >= tm.limit || tm.exhausted(pk.round) {
			return true
		}
		found, ok = tm.head(pk.round)
		name = tm.name
		return !ok
	})
	if !ok {
		return "", "", size.Size{}, false
	}
	return name, found.id, found.need, true
}

// Skip leaves the job out for the rest of the round, and its team too after Lookahead jobs.
func (pk *Picker) Skip(name, id string) {
	tm, ok := pk.teams[name]
	if !ok {
		return
	}
	if wt, ok := tm.entries[id]; ok {
		tm.enter(pk.round)
		tm.passed++
		tm.after[wt.class] = wt
	}
}

// Running returns how many jobs of the team run.
func (pk *Picker) Running(name string) int { return pk.team(name).running }

// Queued returns how many jobs of the team wait.
func (pk *Picker) Queued(name string) int { return len(pk.team(name).entries) }

// WeightedShare returns the team's dominant part of the total, divided by its weight; a team of weight 0 is counted as the lightest possible one.
func (pk *Picker) WeightedShare(name string) float64 { return pk.team(name).level }

// Names returns the teams known, in no particular order.
func (pk *Picker) Names() []string {
	names := make([]string, 0, len(pk.teams))
	for name := range pk.teams {
		names = append(names, name)
	}
	return names
}

// MayPreempt reports whether an urgent job of one team may take the place of a normal job of another: not if the other would end up with less for its weight.
func (pk *Picker) MayPreempt(name string, need size.Size, victim string, victimNeed size.Size) bool {
	if name == victim {
		return true
	}
	tm, other := pk.team(name), pk.team(victim)
	if tm.weight == 0 {
		return false
	}
	return other.weight == 0 || pk.levelOf(tm, tm.used.Plus(need)) <= pk.levelOf(other, other.used.Minus(victimNeed))
}

func (pk *Picker) team(name string) *team {
	tm, ok := pk.teams[name]
	if !ok {
		tm = &team{name: name, entries: map[string]waiting{}}
		for class := range tm.queues {
			tm.queues[class] = btree.NewG(treeDegree, waitingLess)
		}
		pk.teams[name] = tm
	}
	return tm
}

func (pk *Picker) reorder(tm *team, change func()) {
	if tm.queued {
		pk.busy.Delete(tm)
	}
	change()
	tm.level = pk.levelOf(tm, tm.used)
	tm.queued = len(tm.entries) > 0
	if tm.queued {
		pk.busy.ReplaceOrInsert(tm)
	}
}

func (pk *Picker) levelOf(tm *team, used size.Size) float64 {
	return used.Dominant(pk.total) / float64(max(1, tm.weight))
}

func (tm *team) enter(round int64) {
	if tm.round != round {
		tm.round, tm.passed, tm.after = round, 0, [classes]waiting{}
	}
}

func (tm *team) exhausted(round int64) bool { return tm.round == round && tm.passed >= Lookahead }

func (tm *team) head(round int64) (waiting, bool) {
	tm.enter(round)
	first, second := urgent, normal
	if tm.inRow >= MaxUrgentStreak {
		first, second = normal, urgent
	}
	if wt, ok := tm.first(first); ok {
		return wt, true
	}
	return tm.first(second)
}

func (tm *team) first(class int) (found waiting, ok bool) {
	from := tm.after[class]
	tm.queues[class].AscendGreaterOrEqual(from, func(wt waiting) bool {
		found, ok = wt, wt.id != from.id
		return !ok
	})
	return found, ok
}

func (tm *team) count(class int) {
	if class == normal || tm.queues[normal].Len() == 0 {
		tm.inRow = 0
		return
	}
	tm.inRow++
}

func teamLess(a, b *team) bool {
	if (a.weight == 0) != (b.weight == 0) {
		return b.weight == 0
	}
	if a.level != b.level {
		return a.level < b.level
	}
	return a.name < b.name
}

func waitingLess(a, b waiting) bool {
	if a.submitted != b.submitted {
		return a.submitted < b.submitted
	}
	return a.id < b.id
}
