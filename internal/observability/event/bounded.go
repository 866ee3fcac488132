package event

import (
	"io"
	"sync"
	"sync/atomic"

	"github.com/phuslu/log"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/observability/logline"
)

const (
	// maxQueuedLines is how many lines may wait for the writer; further lines are dropped.
	maxQueuedLines = 2048
	// maxLinesPerSecond limits the lines of events with the same name.
	maxLinesPerSecond = 150
	windowMS          = 1000
)

// NewBounded returns a log that never blocks its callers. Lines wait in a queue; lines that find it full are dropped, and a later line holds their number. Lines above the rate limit of their event are suppressed, and the event's next line holds their number.
func NewBounded(out io.Writer, ck *clock.Clock) *Log {
	lines := &log.ConsoleWriter{Writer: out, Formatter: format}
	qu := &queue{lines: lines, async: &log.AsyncWriter{ChannelSize: maxQueuedLines, DiscardOnFull: true, Writer: lines}}
	return &Log{logger: log.Logger{Level: log.InfoLevel, Writer: qu}, rateLimiter: &rateLimiter{ck: ck, windows: map[string]*window{}}, queue: qu}
}

// Close writes the queued lines.
func (lg *Log) Close() error {
	if lg.queue == nil {
		return nil
	}
	if err := lg.queue.async.Close(); err != nil {
		return err
	}
	lg.queue.reportLost(lg.queue.lines)
	return nil
}

// queue passes lines to the writer and counts those that it has no room for.
type queue struct {
	lines *log.ConsoleWriter
	async *log.AsyncWriter
	lost  atomic.Int64
}

// WriteEntry queues one line, after one with the number of lost lines if there are any.
func (qu *queue) WriteEntry(en *log.Entry) (int, error) {
	qu.reportLost(qu.async)
	count, err := qu.async.WriteEntry(en)
	if err != nil {
		qu.lost.Add(1)
	}
	return count, err
}

// reportLost writes a line with the number of lost lines; if that is lost too, the number stays.
func (qu *queue) reportLost(to log.Writer) {
	lost := qu.lost.Swap(0)
	if lost == 0 {
		return
	}
	write := log.WriterFunc(func(en *log.Entry) (int, error) {
		count, err := to.WriteEntry(en)
		if err != nil {
			qu.lost.Add(lost)
		}
		return count, err
	})
	lg := log.Logger{Level: log.InfoLevel, Writer: write}
	lg.Info().Str(logline.EventField, logline.LostEvent).Int64(logline.CountField, lost).Msg("")
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
