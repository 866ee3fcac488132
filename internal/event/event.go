package event

import (
	"bytes"
	"io"

	"github.com/phuslu/log"

	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Log writes events of one process; it never takes a key or a request body.
type Log struct {
	logger      log.Logger
	rateLimiter *rateLimiter
	queue       *log.AsyncWriter
}

// New returns a log that writes to the given writer.
func New(out io.Writer) *Log {
	return &Log{logger: log.Logger{Level: log.InfoLevel, Writer: &log.ConsoleWriter{Writer: out, Formatter: format}}}
}

// Discard returns a log that writes nothing.
func Discard() *Log { return New(io.Discard) }

// Info writes an event with pairs of a kebab-case name and a value.
func (lg *Log) Info(name string, pairs ...any) {
	suppressed, ok := lg.rateLimiter.admit(name)
	if !ok {
		return
	}
	write(lg.logger.Info().Str("event", name).KeysAndValues(pairs...), suppressed)
}

// Fail writes an event that ended with an error, with the error's result code.
func (lg *Log) Fail(name string, err error, pairs ...any) {
	suppressed, ok := lg.rateLimiter.admit(name)
	if !ok {
		return
	}
	write(lg.logger.Error().Str("event", name).Int("code", int(code.Of(err))).Err(err).KeysAndValues(pairs...), suppressed)
}

func write(en *log.Entry, suppressed int) {
	if suppressed > 0 {
		en = en.Int("left-out", suppressed)
	}
	en.Msg("")
}

func format(out io.Writer, args *log.FormatterArgs) (int, error) {
	buf := &bytes.Buffer{}
	if _, err := (log.LogfmtFormatter{TimeField: "time"}).Formatter(buf, args); err != nil {
		return 0, err
	}
	line := append(bytes.TrimSuffix(buf.Bytes(), []byte(" \"\"\n")), '\n')
	return out.Write(line)
}
