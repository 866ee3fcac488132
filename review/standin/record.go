//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to a file, with the milliseconds since the start of the run.
type recorder struct {
	mu    sync.Mutex
	out   *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	out, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{out: out, start: time.Now()}, nil
}

// sinceMS returns the milliseconds since the start of the run.
func (rc *recorder) sinceMS() int64 { return time.Since(rc.start).Milliseconds() }

// line writes one line.
func (rc *recorder) line(format string, args ...any) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	fmt.Fprintf(rc.out, "%7d %s\n", rc.sinceMS(), fmt.Sprintf(format, args...))
}

// say writes one line and prints it.
func (rc *recorder) say(format string, args ...any) {
	rc.line(format, args...)
	fmt.Printf("%7d %s\n", rc.sinceMS(), fmt.Sprintf(format, args...))
}
