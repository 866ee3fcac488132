package agenda

import "github.com/google/btree"

// Agenda orders ids by the time at which they are due; it isn't safe for concurrent use.
type Agenda struct {
	times map[string]int64
	order *btree.BTreeG[entry]
}

type entry struct {
	at int64
	id string
}

const treeDegree = 16

// New returns an empty agenda.
func New() *Agenda {
	return &Agenda{times: map[string]int64{}, order: btree.NewG(treeDegree, less)}
}

// Set makes the id due at the time in milliseconds, in place of any earlier one.
func (ag *Agenda) Set(id string, atMS int64) {
	if old, ok := ag.times[id]; ok {
		if old == atMS {
			return
		}
		ag.order.Delete(entry{old, id})
	}
	ag.times[id] = atMS
	ag.order.ReplaceOrInsert(entry{atMS, id})
}

// Remove takes the id off the agenda.
func (ag *Agenda) Remove(id string) {
	if at, ok := ag.times[id]; ok {
		ag.order.Delete(entry{at, id})
		delete(ag.times, id)
	}
}

// PopDue takes off all ids that are due by the given time and returns them in the order of their times.
func (ag *Agenda) PopDue(nowMS int64) []string {
	var ids []string
	for {
		first, ok := ag.order.Min()
		if !ok || first.at > nowMS {
			return ids
		}
		ag.Remove(first.id)
		ids = append(ids, first.id)
	}
}

func less(a, b entry) bool {
	if a.at != b.at {
		return a.at < b.at
	}
	return a.id < b.id
}
