package event

import (
	"bytes"
	"io"

	"github.com/phuslu/log"

	"github.com/fulmarloft/fulmarloft/internal/observability/logline"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Log writes the events of one process. Callers must not pass it secret keys or request bodies.
type Log struct {
	logger      log.Logger
	rateLimiter *rateLimiter
	queue       *queue
	onEvent     func(name string, pairs []any)
}

// New returns a log that writes to the given writer.
func New(out io.Writer) *Log {
	return &Log{logger: log.Logger{Level: log.InfoLevel, Writer: &log.ConsoleWriter{Writer: out, Formatter: format}}}
}

// Discard returns a log that writes nothing.
func Discard() *Log { return New(io.Discard) }

// OnEvent makes fn see each event, with its alternating names and values, also if its line is left out; it must be called before the first event.
func (lg *Log) OnEvent(fn func(name string, pairs []any)) { lg.onEvent = fn }

// Info writes an event; pairs alternates kebab-case names and values.
func (lg *Log) Info(name string, pairs ...any) {
	if lg.onEvent != nil {
		lg.onEvent(name, pairs)
	}
	suppressed, ok := lg.rateLimiter.admit(name)
	if !ok {
		return
	}
	write(lg.logger.Info().Str(logline.EventField, name).KeysAndValues(pairs...), suppressed)
}

// Warn writes an event that operators should see when they look for the cause of a failure; pairs alternates kebab-case names and values.
func (lg *Log) Warn(name string, pairs ...any) {
	if lg.onEvent != nil {
		lg.onEvent(name, pairs)
	}
	suppressed, ok := lg.rateLimiter.admit(name)
	if !ok {
		return
	}
	write(lg.logger.Warn().Str(logline.EventField, name).KeysAndValues(pairs...), suppressed)
}

// Fail writes an event for an operation that failed, with the error and its result code.
func (lg *Log) Fail(name string, err error, pairs ...any) {
	if lg.onEvent != nil {
		lg.onEvent(name, pairs)
	}
	suppressed, ok := lg.rateLimiter.admit(name)
	if !ok {
		return
	}
	write(lg.logger.Error().Str(logline.EventField, name).Int(logline.CodeField, int(code.Of(err))).Err(err).KeysAndValues(pairs...), suppressed)
}

func write(en *log.Entry, suppressed int) {
	if suppressed > 0 {
		en = en.Int(logline.LeftOutField, suppressed)
	}
	en.Msg("")
}

// format writes a logfmt line without the empty message that the formatter appends.
func format(out io.Writer, args *log.FormatterArgs) (int, error) {
	buf := &bytes.Buffer{}
	if _, err := (log.LogfmtFormatter{TimeField: logline.TimeField}).Formatter(buf, args); err != nil {
		return 0, err
	}
	line := append(bytes.TrimSuffix(buf.Bytes(), []byte(" \"\"\n")), '\n')
	return out.Write(line)
}
