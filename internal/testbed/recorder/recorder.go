package recorder

import (
	"fmt"
	"sort"
	"sync"
)

// Recorder counts the starts of each id and the concurrent runs of each group; it is safe for concurrent use.
type Recorder struct {
	mu         sync.Mutex
	runs       map[string]int
	running    map[string]int
	peak       map[string]int
	violations []string
}

// New returns an empty recorder.
func New() *Recorder {
	return &Recorder{runs: map[string]int{}, running: map[string]int{}, peak: map[string]int{}}
}

// Start records that the request or run with the id starts, and counts it as running in each group until the returned function is called.
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

// Runs returns how many times the id was started.
func (rc *Recorder) Runs(id string) int {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return rc.runs[id]
}

// Running returns the number of runs of the group that are in progress.
func (rc *Recorder) Running(group string) int {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return rc.running[group]
}

// Peak returns the maximum number of concurrent runs of the group so far.
func (rc *Recorder) Peak(group string) int {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return rc.peak[group]
}

// Repeated returns the ids that were started more than once, sorted.
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

// Total returns the number of starts of all ids.
func (rc *Recorder) Total() int {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	sum := 0
	for _, cnt := range rc.runs {
		sum += cnt
	}
	return sum
}

// AddViolation records the violation of a guarantee that a stand-in or test observed.
func (rc *Recorder) AddViolation(format string, args ...any) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.violations = append(rc.violations, fmt.Sprintf(format, args...))
}

// Violations returns the recorded violations in order.
func (rc *Recorder) Violations() []string {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return append([]string(nil), rc.violations...)
}

func (rc *Recorder) end(groups []string) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	for _, gr := range groups {
		rc.running[gr]--
	}
}
