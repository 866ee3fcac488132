package entrystatus

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/fulmarloft/fulmarloft/internal/clock"
)

// Status is what an entry's events tell of its ownership, of the VMs under it and of lost changes; it is safe for concurrent use.
type Status struct {
	ck *clock.Clock

	mu sync.Mutex
	// ownerMS and schedulingMS are since when the entry owns scheduling and schedules, 0 while it doesn't.
	ownerMS      int64
	schedulingMS int64
	token        string
	vms          map[string]vm
	// slow holds the VMs that are slow by comparison.
	slow       map[string]bool
	unanswered int
	// lostMS holds since when the changes of a table are lost.
	lostMS map[string]int64
	// shareLevels holds for each service the teams above their share, with their levels, as text.
	shareLevels map[string]string
	// deferred holds for each service how many jobs were put off, if any.
	deferred map[string]int64
}

// vm is a VM as the last event about it left it; runs is the number of its runs at that time.
type vm struct {
	state string
	runs  int64
}

// States of VMs.
const (
	stateRegistered   = "registered"
	stateDraining     = "draining"
	stateSilent       = "silent"
	stateUnregistered = "unregistered"
)

// operatorsTable stands for the operators' changes and waitsTable for the estimate of the queueing delay, which each entry follows.
const (
	operatorsTable = "operators"
	waitsTable     = "waits"
)

// New returns a status without events.
func New(ck *clock.Clock) *Status {
	return &Status{ck: ck, vms: map[string]vm{}, slow: map[string]bool{}, lostMS: map[string]int64{}, shareLevels: map[string]string{}, deferred: map[string]int64{}}
}

// Follow takes an event with its alternating names and values; it is meant for event.Log's OnEvent.
func (st *Status) Follow(name string, pairs []any) {
	st.mu.Lock()
	defer st.mu.Unlock()
	switch {
	case strings.HasPrefix(name, "vm-"):
		st.followVM(name, pairs)
	case strings.HasSuffix(name, "feed-lost") || strings.HasSuffix(name, "feed-regained"):
		st.followFeed(name, pairs)
	default:
		st.followOwnership(name, pairs)
	}
}

func (st *Status) followOwnership(name string, pairs []any) {
	switch name {
	case "ownership-taken":
		st.reset()
		st.ownerMS, st.token = st.ck.Now(), value(pairs, "token")
	case "scheduling-started":
		st.schedulingMS = st.ck.Now()
	case "scheduling-ended", "scheduling-lost", "ownership-released", "ownership-unreleased":
		st.reset()
	case "start-in-doubt":
		st.unanswered++
	case "starts-deferred":
		st.deferred[value(pairs, "service")] = number(pairs, "jobs")
		if number(pairs, "jobs") == 0 {
			delete(st.deferred, value(pairs, "service"))
		}
	case "share-levels":
		st.shareLevels[value(pairs, "service")] = value(pairs, "levels")
		if value(pairs, "levels") == "none" {
			delete(st.shareLevels, value(pairs, "service"))
		}
	}
}

// reset forgets what only the owner of scheduling knows.
func (st *Status) reset() {
	st.ownerMS, st.schedulingMS, st.token, st.unanswered = 0, 0, "", 0
	clear(st.vms)
	clear(st.shareLevels)
	clear(st.deferred)
	clear(st.slow)
	for table := range st.lostMS {
		if table != operatorsTable && table != waitsTable {
			delete(st.lostMS, table)
		}
	}
}

func (st *Status) followFeed(name string, pairs []any) {
	table := operatorsTable
	if !strings.HasPrefix(name, operatorsTable) {
		table = value(pairs, "table")
	}
	if strings.HasSuffix(name, "regained") {
		delete(st.lostMS, table)
		return
	}
	st.lostMS[table] = st.ck.Now()
}

func (st *Status) followVM(name string, pairs []any) {
	id := value(pairs, "vm")
	old, known := st.vms[id]
	runs := number(pairs, "runs")
	switch name {
	case "vm-slow":
		st.slow[id] = true
	case "vm-recovered", "vm-pace-forgotten":
		delete(st.slow, id)
	case "vm-registered":
		state := stateRegistered
		if value(pairs, "draining") == "true" {
			state = stateDraining
		}
		st.vms[id] = vm{state, old.runs}
	case "vm-silent":
		st.vms[id] = vm{stateSilent, runs}
	case "vm-answers":
		st.vms[id] = vm{stateRegistered, 0}
	case "vm-unregistered":
		st.vms[id] = vm{stateUnregistered, runs}
		if runs == 0 {
			delete(st.vms, id)
		}
	case "vm-ended", "vm-down", "vm-leases-expired":
		left := number(pairs, "unanswered-starts")
		if known && old.state == stateUnregistered && left == 0 {
			delete(st.vms, id)
		} else if known {
			st.vms[id] = vm{old.state, left}
		}
	}
}

// SlowVMs returns the number of VMs that are slow by comparison.
func (st *Status) SlowVMs() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return len(st.slow)
}

// Values returns the status by name, for JSON: times are durations until now.
func (st *Status) Values() map[string]any {
	st.mu.Lock()
	defer st.mu.Unlock()
	nowMS := st.ck.Now()
	lost := map[string]int64{}
	for table, ms := range st.lostMS {
		lost[table] = nowMS - ms
	}
	out := map[string]any{"owner": st.ownerMS != 0, "changes-lost-ms": lost}
	if st.ownerMS == 0 {
		return out
	}
	out["token"] = st.token
	out["owner-for-ms"] = nowMS - st.ownerMS
	if st.schedulingMS != 0 {
		out["scheduling-for-ms"] = nowMS - st.schedulingMS
	}
	if len(st.slow) > 0 {
		out["slow-vms"] = slices.Sorted(maps.Keys(st.slow))
	}
	vms, inDoubt := map[string]int{}, int64(0)
	for _, each := range st.vms {
		vms[each.state]++
		inDoubt += each.runs
	}
	out["vms"], out["runs-in-doubt"], out["starts-unanswered"] = vms, inDoubt, st.unanswered
	if len(st.deferred) > 0 {
		out["deferred-jobs"] = maps.Clone(st.deferred)
	}
	if len(st.shareLevels) > 0 {
		out["share-levels"] = maps.Clone(st.shareLevels)
	}
	return out
}

// value returns the value of a name as text, empty if there is none.
func value(pairs []any, name string) string {
	for at := 0; at+1 < len(pairs); at += 2 {
		if pairs[at] == name {
			return fmt.Sprint(pairs[at+1])
		}
	}
	return ""
}

// number returns the value of a name that is a count, 0 if there is none.
func number(pairs []any, name string) int64 {
	for at := 0; at+1 < len(pairs); at += 2 {
		if count, ok := pairs[at+1].(int); ok && pairs[at] == name {
			return int64(count)
		}
	}
	return 0
}
