package retention

// Retention keeps the ids of jobs that are over until their rows may be removed.
//
// It counts from when this process learnt of a job's end, on its own steady clock, so that no jump of a clock shortens the time; a change of the owner begins it anew.
type Retention struct {
	keepMS int64
	// parts holds the ids of each partition in the order of their ends.
	parts map[string][]ended
}

type ended struct {
	id   string
	atMS int64
}

// New returns a retention of keepMS; 0 or less keeps all rows.
func New(keepMS int64) *Retention {
	return &Retention{keepMS: keepMS, parts: map[string][]ended{}}
}

// RecordEnded takes up that a job in a partition is over.
func (rt *Retention) RecordEnded(part, id string, nowMS int64) {
	if rt.keepMS > 0 {
		rt.parts[part] = append(rt.parts[part], ended{id, nowMS})
	}
}

// Requeue makes ids due once more whose removal failed.
func (rt *Retention) Requeue(part string, ids []string, nowMS int64) {
	list := make([]ended, 0, len(ids)+len(rt.parts[part]))
	for _, id := range ids {
		list = append(list, ended{id, nowMS - rt.keepMS})
	}
	rt.parts[part] = append(list, rt.parts[part]...)
}

// TakeDue removes up to most ids from the partition with the most that are due, and returns both; it returns no ids if none is due.
func (rt *Retention) TakeDue(nowMS int64, most int) (part string, ids []string) {
	best := 0
	for name, list := range rt.parts {
		if due := rt.due(list, nowMS); due > best || (due == best && due > 0 && name < part) {
			part, best = name, due
		}
	}
	list := rt.parts[part]
	for _, en := range list[:min(best, most)] {
		ids = append(ids, en.id)
	}
	if len(ids) > 0 {
		rt.parts[part] = list[len(ids):]
	}
	return part, ids
}

func (rt *Retention) due(list []ended, nowMS int64) int {
	for at, en := range list {
		if nowMS-en.atMS < rt.keepMS {
			return at
		}
	}
	return len(list)
}
