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

// New returns an empty queue.
func New() *Queue {
	return &Queue{dueByID: map[string]int64{}, queue: btree.NewG(btreeDegree, less)}
}

// Set sets the id's due time in milliseconds, replacing any earlier one.
func (dq *Queue) Set(id string, atMS int64) {
	if old, ok := dq.dueByID[id]; ok {
		if old == atMS {
			return
		}
		dq.queue.Delete(entry{old, id})
	}
	dq.dueByID[id] = atMS
	dq.queue.ReplaceOrInsert(entry{atMS, id})
}

// Remove removes the id.
func (dq *Queue) Remove(id string) {
	if at, ok := dq.dueByID[id]; ok {
		dq.queue.Delete(entry{at, id})
		delete(dq.dueByID, id)
	}
}

// PopDue removes all ids that are due by the given time and returns them in order of due time.
func (dq *Queue) PopDue(nowMS int64) []string {
	var ids []string
	for {
		first, ok := dq.queue.Min()
		if !ok || first.dueMS > nowMS {
			return ids
		}
		dq.Remove(first.id)
		ids = append(ids, first.id)
	}
}

func less(a, b entry) bool {
	if a.dueMS != b.dueMS {
		return a.dueMS < b.dueMS
	}
	return a.id < b.id
}
