package logsample

import (
	"sync"

	"github.com/fulmarloft/fulmarloft/internal/clock"
)

// Sampler admits a limited number of events of each kind per second and counts the suppressed ones.
type Sampler struct {
	mu           sync.Mutex
	ck           *clock.Clock
	maxPerSecond int64
	kinds        map[string]*window
}

// window counts the events of one kind in the current second, and those suppressed since the last admitted one.
type window struct {
	startMS    int64
	count      int64
	suppressed int64
}

const windowMS = 1000

// New returns a sampler that admits up to maxPerSecond events of each kind per second.
func New(ck *clock.Clock, maxPerSecond int64) *Sampler {
	return &Sampler{ck: ck, maxPerSecond: maxPerSecond, kinds: map[string]*window{}}
}

// Allow reports whether to log an event, and how many of its kind were suppressed since the last admitted one.
func (sa *Sampler) Allow(kind string) (suppressed int64, ok bool) {
	nowMS := sa.ck.Now()
	sa.mu.Lock()
	defer sa.mu.Unlock()
	wd := sa.kinds[kind]
	if wd == nil {
		wd = &window{startMS: nowMS}
		sa.kinds[kind] = wd
	}
	if nowMS-wd.startMS >= windowMS {
		wd.startMS, wd.count = nowMS, 0
	}
	wd.count++
	if wd.count > sa.maxPerSecond {
		wd.suppressed++
		return 0, false
	}
	suppressed, wd.suppressed = wd.suppressed, 0
	return suppressed, true
}
