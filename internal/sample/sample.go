package sample

import (
	"sync"

	"github.com/fulmarloft/fulmarloft/internal/clock"
)

// Sampler admits a limited number of events of each kind per second and counts the suppressed ones.
type Sampler struct {
	mu    sync.Mutex
	ck    *clock.Clock
	most  int64
	kinds map[string]*window
}

type window struct {
	startMS int64
	count   int64
	left    int64
}

const windowMS = 1000

// New returns a sample that lets the given number of events of a kind through in a second.
func New(ck *clock.Clock, most int64) *Sampler {
	return &Sampler{ck: ck, most: most, kinds: map[string]*window{}}
}

// Allow reports whether to write the event and how many of its kind were left out before it.
func (sa *Sampler) Allow(kind string) (leftOut int64, ok bool) {
	now := sa.ck.Now()
	sa.mu.Lock()
	defer sa.mu.Unlock()
	wd := sa.kinds[kind]
	if wd == nil {
		wd = &window{startMS: now}
		sa.kinds[kind] = wd
	}
	if now-wd.startMS >= windowMS {
		wd.startMS, wd.count = now, 0
	}
	wd.count++
	if wd.count > sa.most {
		wd.left++
		return 0, false
	}
	leftOut, wd.left = wd.left, 0
	return leftOut, true
}
