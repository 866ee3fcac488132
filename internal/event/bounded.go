package event

import (
	"io"
	"sync"

	"github.com/phuslu/log"

	"github.com/fulmarloft/fulmarloft/internal/clock"
)

const (
	// maxQueuedLines is how many lines may wait for the writer; further lines are dropped.
	maxQueuedLines = 2048
	// maxLinesPerSecond limits the lines of events with the same name.
	maxLinesPerSecond = 150
	windowMS          = 1000
)

// NewBounded returns a log that never blocks its callers. Lines wait in a queue, and a line that finds it full is dropped without a trace. Lines above the rate limit of their event are suppressed, and the event's next line holds their number.
func NewBounded(out io.Writer, ck *clock.Clock) *Log {
	lines := &log.ConsoleWriter{Writer: out, Formatter: format}
	queue := &log.AsyncWriter{ChannelSize: maxQueuedLines, DiscardOnFull: true, Writer: lines}
	return &Log{logger: log.Logger{Level: log.InfoLevel, Writer: queue}, rateLimiter: &rateLimiter{ck: ck, windows: map[string]*window{}}, queue: queue}
}

// Close writes the queued lines.
func (lg *Log) Close() error {
	if lg.queue == nil {
		return nil
	}
	return lg.queue.Close()
}

// rateLimiter limits the lines per second of each event name; a nil limiter admits all.
type rateLimiter struct {
	ck *clock.Clock

	mu      sync.Mutex
	windows map[string]*window
}

// window counts the lines of one event name in the current second, and those suppressed since the last line written.
type window struct {
	startMS    int64
	lines      int
	suppressed int
}

// admit reports whether a line of the event may be written, and how many were suppressed since the last one.
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
