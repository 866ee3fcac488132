package logline

import (
	"strconv"
	"strings"
	"time"
)

// Names of the fields that every line has, of those that some have, and of the event whose lines count lost ones.
const (
	TimeField    = "time"
	EventField   = "event"
	CodeField    = "code"
	ErrorField   = "error"
	LeftOutField = "left-out"
	CountField   = "count"
	LostEvent    = "lines-lost"
)

// noTime is the time of a line that holds none.
const noTime = -1

// Line is one log line of an entry.
type Line struct {
	text     string
	entry    string
	prefixMS int64
	prefixed bool
	timeMS   int64
	pairs    []pair
	cut      bool
}

type pair struct{ key, value string }

// Parse reads one line. It reports false for a line that holds no event; a line whose end is missing keeps the fields before that.
func Parse(text string) (Line, bool) {
	text = strings.TrimRight(text, "\r\n")
	ln := Line{text: text, timeMS: noTime}
	start := fieldsStart(text)
	if start < 0 {
		return ln, false
	}
	ln.readPrefix(strings.Fields(text[:start]))
	ln.readPairs(text[start:])
	if ln.Event() == "" {
		return ln, false
	}
	if at, err := time.Parse(time.RFC3339, ln.Get(TimeField)); err == nil {
		ln.timeMS = at.UnixMilli()
	}
	return ln, true
}

// fieldsStart returns where the first field begins, or -1.
func fieldsStart(text string) int {
	start := -1
	for _, name := range []string{TimeField + "=", EventField + "=\""} {
		at := strings.Index(" "+text, " "+name)
		if at >= 0 && (start < 0 || at < start) {
			start = at
		}
	}
	return start
}

// readPrefix takes the time in seconds from the first word before the fields, and the entry's name from the last one.
func (ln *Line) readPrefix(words []string) {
	for at, word := range words {
		if seconds, err := strconv.ParseFloat(word, 64); at == 0 && err == nil {
			ln.prefixMS, ln.prefixed = int64(seconds*1000), true
			continue
		}
		if name := strings.Trim(word, "|:[]"); name != "" && !strings.Contains(name, "=") {
			ln.entry = name
		}
	}
}

// readPairs reads key=value pairs; a key without a value is true.
func (ln *Line) readPairs(rest string) {
	for rest = strings.TrimLeft(rest, " "); rest != ""; rest = strings.TrimLeft(rest, " ") {
		end := strings.IndexAny(rest, "= ")
		if end < 0 || rest[end] == ' ' {
			key, after, _ := strings.Cut(rest, " ")
			ln.pairs = append(ln.pairs, pair{key, "true"})
			rest = after
			continue
		}
		value, after, whole := cutValue(rest[end+1:])
		if !whole {
			ln.cut = true
			return
		}
		ln.pairs = append(ln.pairs, pair{rest[:end], value})
		rest = after
	}
}

// cutValue returns the value at the start of the text and what follows it; a quoted value without its end isn't whole.
func cutValue(text string) (value, after string, whole bool) {
	if !strings.HasPrefix(text, `"`) {
		value, after, _ = strings.Cut(text, " ")
		return value, after, true
	}
	quoted, err := strconv.QuotedPrefix(text)
	if err != nil {
		return "", "", false
	}
	value, err = strconv.Unquote(quoted)
	return value, text[len(quoted):], err == nil
}

// Text returns the line as it was read, without the line break.
func (ln Line) Text() string { return ln.text }

// Event returns the name of the event.
func (ln Line) Event() string { return ln.Get(EventField) }

// Entry returns the entry's name from the prefix, empty without one.
func (ln Line) Entry() string { return ln.entry }

// WithEntry returns the line as one of the given entry.
func (ln Line) WithEntry(entry string) Line {
	ln.entry = entry
	return ln
}

// TimeMS returns the entry's time in milliseconds since the Unix epoch; false if the line holds none.
func (ln Line) TimeMS() (int64, bool) { return ln.timeMS, ln.timeMS != noTime }

// PrefixMS returns the time of the prefix in milliseconds; false without one.
func (ln Line) PrefixMS() (int64, bool) { return ln.prefixMS, ln.prefixed }

// Truncated reports whether the line ends within a quoted value.
func (ln Line) Truncated() bool { return ln.cut }

// Lookup returns the value of a field and whether the line has it.
func (ln Line) Lookup(key string) (string, bool) {
	for _, pr := range ln.pairs {
		if pr.key == key {
			return pr.value, true
		}
	}
	return "", false
}

// Get returns the value of a field, empty if the line lacks it.
func (ln Line) Get(key string) string {
	value, _ := ln.Lookup(key)
	return value
}

// Int returns the value of a field as a number, 0 if the line lacks it or it is none.
func (ln Line) Int(key string) int64 {
	number, err := strconv.ParseInt(ln.Get(key), 10, 64)
	if err != nil {
		return 0
	}
	return number
}

// Fields returns all fields of the line.
func (ln Line) Fields() map[string]string {
	out := make(map[string]string, len(ln.pairs))
	for _, pr := range ln.pairs {
		out[pr.key] = pr.value
	}
	return out
}

// LeftOut returns how many lines are missing before this one and of which event, empty for lines of any event.
func (ln Line) LeftOut() (count int64, name string) {
	if ln.Event() == LostEvent {
		return ln.Int(CountField), ""
	}
	return ln.Int(LeftOutField), ln.Event()
}
