package recorder

import (
	"fmt"
	"sort"
	"sync"
)

// Recorder counts runs and what runs at once; it is safe for concurrent use.
type Recorder struct {
	mu      sync.Mutex
	runs    map[string]int
	running map[string]int
	peak    map[string]int
	faults  []string
}

// New returns an empty recorder.
func New() *Recorder {
	return &Recorder{runs: map[string]int{}, running: map[string]int{}, peak: map[string]int{}}
}

// Start notes that the request or run of that id starts and counts it in each group until the returned function is called.
func (rc *Recorder) Start(id string, groups ...string) func() {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.runs[id]++
	for _, gr := range groups {
		rc.running[gr]++
		rc.peak[gr] = max(rc.peak[gr], rc.running[gr])
	}
	var once sync.Once
	return func() { once.Do(func() { rc.end(groups) }) }
}

// Runs returns how often the id has started.
func (rc *Recorder) Runs(id string) int {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return rc.runs[id]
}

// Running returns how many of the group run now.
func (rc *Recorder) Running(group string) int {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return rc.running[group]
}

// Peak returns the most of the group that ever ran at once.
func (rc *Recorder) Peak(group string) int {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return rc.peak[group]
}

// Repeated returns the ids that started more than once, in alphabetic order.
func (rc *Recorder) Repeated() []string {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	var ids []string
	for id, cnt := range rc.runs {
		if cnt > 1 {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// Total returns how many runs started in all.
func (rc *Recorder) Total() int {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	sum := 0
	for _, cnt := range rc.runs {
		sum += cnt
	}
	return sum
}

// AddViolation notes a broken promise seen from outside.
func (rc *Recorder) AddViolation(format string, args ...any) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.faults = append(rc.faults, fmt.Sprintf(format, args...))
}

// Violations returns the broken promises in the order seen.
func (rc *Recorder) Violations() []string {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return append([]string(nil), rc.faults...)
}

func (rc *Recorder) end(groups []string) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	for _, gr := range groups {
		rc.running[gr]--
	}
}
