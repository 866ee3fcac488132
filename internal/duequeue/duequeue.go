package duequeue

import "github.com/google/btree"

// Queue is a priority queue of ids ordered by due time; it isn't safe for concurrent use.
type Queue struct {
	dueByID map[string]int64
	queue   *btree.BTreeG[entry]
}

type entry struct {
	dueMS int64
	id    string
}

const btreeDegree = 16

// New returns an empty agenda.
func New() *Queue {
	return &Queue{dueByID: map[string]int64{}, queue: btree.NewG(btreeDegree, less)}
}

// Set sets the id's due time in milliseconds, replacing any earlier one.
func (ag *Queue) Set(id string, atMS int64) {
	if old, ok := ag.dueByID[id]; ok {
		if old == atMS {
			return
		}
		ag.queue.Delete(entry{old, id})
	}
	ag.dueByID[id] = atMS
	ag.queue.ReplaceOrInsert(entry{atMS, id})
}

// Remove removes the id.
func (ag *Queue) Remove(id string) {
	if at, ok := ag.dueByID[id]; ok {
		ag.queue.Delete(entry{at, id})
		delete(ag.dueByID, id)
	}
}

// PopDue removes all ids that are due by the given time and returns them in order of due time.
func (ag *Queue) PopDue(nowMS int64) []string {
	var ids []string
	for {
		first, ok := ag.queue.Min()
		if !ok || first.dueMS > nowMS {
			return ids
		}
		ag.Remove(first.id)
		ids = append(ids, first.id)
	}
}

func less(a, b entry) bool {
	if a.dueMS != b.dueMS {
		return a.dueMS < b.dueMS
	}
	return a.id < b.id
}
