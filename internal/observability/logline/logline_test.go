package logline_test

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/observability/event"
	"github.com/fulmarloft/fulmarloft/internal/observability/logline"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// What an event log writes must be read back field by field, also values with quotes, line breaks and equal signs.
func TestWrittenLinesAreReadBack(t *testing.T) {
	texts := []string{"", "plain", "two words", `a "quoted" one`, "line\nbreak", `back\slash`, "k=v x=\"y\"", "žába\t€", " leading"}
	for _, text := range texts {
		buf := &bytes.Buffer{}
		lg := event.New(buf)
		lg.Info("vm-ended", "vm", text, "runs", 7, "draining", true, "registered", false)
		lg.Fail("feed-lost", code.TableUnavailable.New("%s", text), "table", "jobs")
		lines := strings.SplitAfter(buf.String(), "\n")
		ln, ok := logline.Parse(lines[0])
		qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%q", lines[0]))
		qt.Check(t, ln.Event(), qt.Equals, "vm-ended")
		qt.Check(t, ln.Get("vm"), qt.Equals, text)
		qt.Check(t, ln.Int("runs"), qt.Equals, int64(7))
		qt.Check(t, ln.Get("draining"), qt.Equals, "true")
		qt.Check(t, ln.Get("registered"), qt.Equals, "false")
		_, timed := ln.TimeMS()
		qt.Check(t, timed, qt.IsTrue)
		ln, ok = logline.Parse(lines[1])
		qt.Assert(t, ok, qt.IsTrue)
		qt.Check(t, ln.Int(logline.CodeField), qt.Equals, int64(307))
		qt.Check(t, ln.Get(logline.ErrorField), qt.Contains, text)
		qt.Check(t, ln.Get("table"), qt.Equals, "jobs")
	}
}

func TestParse(t *testing.T) {
	const rest = `time=2026-02-05T08:32:13.024Z level=info event="job-accepted" job="3ffe" left-out=4`
	for _, tc := range []struct {
		name, text, entry string
		ok, cut           bool
		prefixMS, leftOut int64
		job               string
	}{
		{"raw", rest, "", true, false, 0, 4, "3ffe"},
		{"bench", "  -4.9753 edge-a-1 " + rest, "edge-a-1", true, false, -4975, 4, "3ffe"},
		{"entry only", "edge-a-1 | " + rest, "edge-a-1", true, false, 0, 4, "3ffe"},
		{"entry with colon", "edge-a-1: " + rest + "\r\n", "edge-a-1", true, false, 0, 4, "3ffe"},
		{"truncated", rest[:len(rest)-14], "", true, true, 0, 0, ""},
		{"truncated event", rest[:50], "", false, true, 0, 0, ""},
		{"no time", `event="job-accepted" job="3ffe"`, "", true, false, 0, 0, "3ffe"},
		{"time within a value", `event="feed-lost" job="3ffe" error="at time=5"`, "", true, false, 0, 0, "3ffe"},
		{"bad time", `time=yesterday event="job-accepted" job="3ffe"`, "", true, false, 0, 0, "3ffe"},
		{"foreign", "panic: runtime error: time=0", "", false, false, 0, 0, ""},
		{"empty", "", "", false, false, 0, 0, ""},
	} {
		ln, ok := logline.Parse(tc.text)
		qt.Check(t, ok, qt.Equals, tc.ok, qt.Commentf(tc.name))
		if !ok {
			continue
		}
		prefixMS, _ := ln.PrefixMS()
		count, _ := ln.LeftOut()
		qt.Check(t, ln.Entry(), qt.Equals, tc.entry, qt.Commentf(tc.name))
		qt.Check(t, ln.Truncated(), qt.Equals, tc.cut, qt.Commentf(tc.name))
		qt.Check(t, prefixMS, qt.Equals, tc.prefixMS, qt.Commentf(tc.name))
		qt.Check(t, count, qt.Equals, tc.leftOut, qt.Commentf(tc.name))
		qt.Check(t, ln.Get("job"), qt.Equals, tc.job, qt.Commentf(tc.name))
	}
}

func TestLostLinesNameNoEvent(t *testing.T) {
	ln, ok := logline.Parse(`level=info event="lines-lost" count=12`)
	qt.Assert(t, ok, qt.IsTrue)
	count, name := ln.LeftOut()
	qt.Check(t, count, qt.Equals, int64(12))
	qt.Check(t, name, qt.Equals, "")
}

func FuzzParse(f *testing.F) {
	f.Add(`time=2026-02-05T08:32:13.024Z level=info event="job-accepted" job="3ffe"`)
	f.Add(`  -4.9753 edge-a-1 event="x" flag y="`)
	f.Fuzz(func(t *testing.T, text string) {
		ln, ok := logline.Parse(text)
		if ok {
			qt.Check(t, ln.Event(), qt.Not(qt.Equals), "")
		}
	})
}
