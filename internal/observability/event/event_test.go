package event_test

import (
	"bytes"
	"strconv"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/observability/event"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

func TestOneLinePerEvent(t *testing.T) {
	buf := &bytes.Buffer{}
	lg := event.New(buf)
	lg.Info("key-withdrawn", "team", "bratislava", "version", 7)
	lg.Fail("publish-refused", code.Conflict.New("base 3, head 4"), "operator", "jana")
	lines := strings.Split(strings.TrimSpace(buf.String()), "\n")
	qt.Assert(t, lines, qt.HasLen, 2)
	qt.Check(t, lines[0], qt.Contains, `event="key-withdrawn" team="bratislava" version=7`)
	qt.Check(t, lines[1], qt.Contains, `event="publish-refused" code=300`)
	qt.Check(t, lines[1], qt.Contains, "base 3, head 4")
}

// stalledWriter blocks all writes until release is closed, like a pipe whose reader has stopped.
type stalledWriter struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (sw *stalledWriter) Write(raw []byte) (int, error) {
	<-sw.release
	sw.mu.Lock()
	defer sw.mu.Unlock()
	return sw.buf.Write(raw)
}

func TestStalledWriterDoesNotBlockCallers(t *testing.T) {
	ck := clock.NewFake(0)
	sw := &stalledWriter{release: make(chan struct{})}
	lg := event.NewBounded(sw, ck)
	for range 10_000 {
		ck.Advance(10)
		lg.Info("job-accepted")
	}
	close(sw.release)
	qt.Assert(t, lg.Close(), qt.IsNil)
	lines := strings.Count(sw.buf.String(), "\n")
	qt.Assert(t, lines > 1000 && lines < 10_000, qt.IsTrue, qt.Commentf("%d lines", lines))
}

// Lines that find the queue full must be counted in a later line, or a gap in the log couldn't be told from a quiet time.
func TestLostLinesAreCounted(t *testing.T) {
	ck := clock.NewFake(0)
	sw := &stalledWriter{release: make(chan struct{})}
	lg := event.NewBounded(sw, ck)
	const total = 5_000
	for range total {
		ck.Advance(10)
		lg.Info("job-accepted")
	}
	close(sw.release)
	for range 10 {
		ck.Advance(10)
		lg.Info("job-accepted")
	}
	qt.Assert(t, lg.Close(), qt.IsNil)
	written, lost := 0, 0
	for _, line := range strings.Split(strings.TrimSpace(sw.buf.String()), "\n") {
		_, count, found := strings.Cut(line, `event="lines-lost" count=`)
		if !found {
			written++
			continue
		}
		number, err := strconv.Atoi(count)
		qt.Assert(t, err, qt.IsNil)
		lost += number
	}
	qt.Check(t, written+lost, qt.Equals, total+10, qt.Commentf("%d written, %d reported as lost", written, lost))
}

// An event above the rate limit is suppressed, the next one reports how many were, and other events are not affected.
func TestEventRateIsLimited(t *testing.T) {
	ck := clock.NewFake(0)
	buf := &bytes.Buffer{}
	lg := event.NewBounded(buf, ck)
	for range 1000 {
		lg.Info("call-refused")
	}
	lg.Info("job-accepted")
	ck.Advance(1000)
	lg.Info("call-refused")
	qt.Assert(t, lg.Close(), qt.IsNil)
	lines := strings.Split(strings.TrimSpace(buf.String()), "\n")
	qt.Assert(t, lines, qt.HasLen, 152)
	qt.Assert(t, lines[150], qt.Contains, `event="job-accepted"`)
	qt.Assert(t, lines[151], qt.Contains, `event="call-refused" left-out=850`)
}
