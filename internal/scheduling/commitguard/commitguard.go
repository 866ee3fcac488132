package commitguard

// Guard limits the next commits after one was refused for its content: each holds half as much as the refused one, until one is refused that holds a single item (the progress of a job, or another row). That item is then left out for a while.
type Guard struct {
	maxRows int
	limit   int
	// asideUntilMS holds until when items are left out, by their names.
	asideUntilMS map[string]int64
}

const (
	// asideMS is for how long an item is left out.
	asideMS = 30_000
	growth  = 2
)

// New returns a guard of commits that hold up to maxRows rows.
func New(maxRows int) *Guard {
	return &Guard{maxRows: maxRows, limit: maxRows, asideUntilMS: map[string]int64{}}
}

// Limit returns how many rows the next commit may hold.
func (gd *Guard) Limit() int { return gd.limit }

// RecordStored records that a commit was stored.
func (gd *Guard) RecordStored() { gd.limit = min(gd.limit*growth, gd.maxRows) }

// RecordRefused records that a commit was refused that held the named items, each of which could have been left out. If it was a single one, that is left out from now on, and RecordRefused returns its name.
func (gd *Guard) RecordRefused(names []string, nowMS int64) (culprit string, found bool) {
	if len(names) == 1 {
		gd.SetAside(names[0], nowMS)
		return names[0], true
	}
	gd.limit = max(min(gd.limit, len(names))/growth, 1)
	return "", false
}

// SetAside leaves an item out for a while.
func (gd *Guard) SetAside(name string, nowMS int64) { gd.asideUntilMS[name] = nowMS + asideMS }

// Aside reports whether an item is left out.
func (gd *Guard) Aside(name string, nowMS int64) bool {
	untilMS, ok := gd.asideUntilMS[name]
	if ok && nowMS >= untilMS {
		delete(gd.asideUntilMS, name)
		return false
	}
	return ok
}
