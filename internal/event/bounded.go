package event

import (
	"io"
	"sync"

	"github.com/phuslu/log"

	"github.com/fulmarloft/fulmarloft/internal/clock"
)

const (
	// linesInQueue is how many lines wait for the writer; further ones are left out.
	maxQueuedLines = 2048
	// linesPerSecond bounds the lines of one event's name.
	maxLinesPerSecond = 150
	windowMS          = 1000
)

// NewBounded returns a log that never blocks its callers: lines wait in a queue, and what exceeds the rate of an event or finds the queue full is left out, which the event's next line tells.
func NewBounded(out io.Writer, ck *clock.Clock) *Log {
	lines := &log.ConsoleWriter{Writer: out, Formatter: format}
	queue := &log.AsyncWriter{ChannelSize: maxQueuedLines, DiscardOnFull: true, Writer: lines}
	return &Log{logger: log.Logger{Level: log.InfoLevel, Writer: queue}, rateLimiter: &rateLimiter{ck: ck, windows: map[string]*window{}}, queue: queue}
}

// Close writes what waits in the queue.
func (lg *Log) Close() error {
	if lg.queue == nil {
		return nil
	}
	return lg.queue.Close()
}

// rates bounds the lines of each event.
type rateLimiter struct {
	ck *clock.Clock

	mu      sync.Mutex
	windows map[string]*window
}

type window struct {
	startMS    int64
	lines      int
	suppressed int
}

// admit reports whether a line may be written, and how many of the event were left out since the last one.
func (rl *rateLimiter) admit(name string) (suppressed int, ok bool) {
	if rl == nil {
		return 0, true
	}
	nowMS := rl.ck.Now()
	rl.mu.Lock()
	defer rl.mu.Unlock()
	wd, known := rl.windows[name]
	if !known {
		wd = &window{}
		rl.windows[name] = wd
	}
	if nowMS-wd.startMS >= windowMS {
		wd.startMS, wd.lines = nowMS, 0
	}
	if wd.lines >= maxLinesPerSecond {
		wd.suppressed++
		return 0, false
	}
	wd.lines++
	suppressed, wd.suppressed = wd.suppressed, 0
	return suppressed, true
}
