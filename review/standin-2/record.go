package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes down what was sent, answered and run, and counts the runs and ends that the minions saw.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
	// at holds the minions on which runs of a task are under way.
	at map[string]map[*minion]int64
	// starts counts the runs of each task.
	starts map[string]int
	// twice holds what broke TWICE: two runs of a task at once, or a start after an end that was taken note of.
	twice []string
	done  map[string]bool
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{
		file: file, begun: time.Now(), at: map[string]map[*minion]int64{},
		starts: map[string]int{}, done: map[string]bool{},
	}, nil
}

func (rec *record) log(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.line(format, args...)
}

func (rec *record) line(format string, args ...any) {
	fmt.Fprintf(rec.file, "%8.3f %s\n", time.Since(rec.begun).Seconds(), fmt.Sprintf(format, args...))
}

func (rec *record) started(mn *minion, rn *run, note string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.line("minion %s (life %d) %sstarts %s run %d", mn.id, mn.life, note, rn.task, rn.number)
	for other, number := range rec.at[rn.task] {
		if other != mn {
			rec.twice = append(rec.twice, fmt.Sprintf("%s run %d begins on %s while run %d goes on on %s", rn.task, rn.number, mn.id, number, other.id))
			rec.line("TWICE: %s", rec.twice[len(rec.twice)-1])
		}
	}
	if rec.done[rn.task] {
		rec.twice = append(rec.twice, fmt.Sprintf("%s run %d begins on %s after its end was taken note of", rn.task, rn.number, mn.id))
		rec.line("TWICE: %s", rec.twice[len(rec.twice)-1])
	}
	if rec.at[rn.task] == nil {
		rec.at[rn.task] = map[*minion]int64{}
	}
	rec.at[rn.task][mn] = rn.number
	rec.starts[rn.task]++
}

func (rec *record) ended(mn *minion, rn *run, how string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.line("minion %s: %s run %d ends %s", mn.id, rn.task, rn.number, how)
	delete(rec.at[rn.task], mn)
}

// lost records that a run is gone with its minion.
func (rec *record) lost(mn *minion, rn *run) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	delete(rec.at[rn.task], mn)
}

// noted records that an end was taken note of.
func (rec *record) noted(mn *minion, en end) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if en.how == "done" {
		rec.done[en.task] = true
	}
	rec.line("minion %s: end %s of %s run %d is taken note of", mn.id, en.how, en.task, en.run)
}

// violations returns what broke TWICE.
func (rec *record) violations() []string {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	var out []string
	for _, text := range rec.twice {
		out = append(out, "TWICE: "+text)
	}
	return out
}

// totalStarts returns how many runs were started in all.
func (rec *record) totalStarts() int {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	sum := 0
	for _, count := range rec.starts {
		sum += count
	}
	return sum
}
