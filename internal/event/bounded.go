package event

import (
	"io"
	"sync"

	"github.com/phuslu/log"

	"github.com/fulmarloft/fulmarloft/internal/clock"
)

const (
	// linesInQueue is how many lines wait for the writer; further ones are left out.
	linesInQueue = 2048
	// linesPerSecond bounds the lines of one event's name.
	linesPerSecond = 150
	secondMS       = 1000
)

// NewBounded returns a log that never blocks its callers: lines wait in a queue, and what exceeds the rate of an event or finds the queue full is left out, which the event's next line tells.
func NewBounded(out io.Writer, ck *clock.Clock) *Log {
	lines := &log.ConsoleWriter{Writer: out, Formatter: format}
	queue := &log.AsyncWriter{ChannelSize: linesInQueue, DiscardOnFull: true, Writer: lines}
	return &Log{lg: log.Logger{Level: log.InfoLevel, Writer: queue}, rates: &rates{ck: ck, events: map[string]*rate{}}, queue: queue}
}

// Close writes what waits in the queue.
func (lg *Log) Close() error {
	if lg.queue == nil {
		return nil
	}
	return lg.queue.Close()
}

// rates bounds the lines of each event.
type rates struct {
	ck *clock.Clock

	mu     sync.Mutex
	events map[string]*rate
}

type rate struct {
	sinceMS int64
	lines   int
	leftOut int
}

// admit reports whether a line may be written, and how many of the event were left out since the last one.
func (rt *rates) admit(name string) (leftOut int, ok bool) {
	if rt == nil {
		return 0, true
	}
	nowMS := rt.ck.Now()
	rt.mu.Lock()
	defer rt.mu.Unlock()
	ev, known := rt.events[name]
	if !known {
		ev = &rate{}
		rt.events[name] = ev
	}
	if nowMS-ev.sinceMS >= secondMS {
		ev.sinceMS, ev.lines = nowMS, 0
	}
	if ev.lines >= linesPerSecond {
		ev.leftOut++
		return 0, false
	}
	ev.lines++
	leftOut, ev.leftOut = ev.leftOut, 0
	return leftOut, true
}
