package explain

import (
	"strings"

	"github.com/fulmarloft/fulmarloft/internal/observability/logline"
)

// missingValue stands for a field that a sentence needs and the line lacks.
const missingValue = "(unknown)"

// sentence says what a line reports, or returns the line's text if its event is unknown.
func sentence(ln logline.Line) string {
	template, known := sentences[ln.Event()]
	if !known {
		return ln.Text()
	}
	out := fill(template, ln)
	if text := ln.Get(logline.ErrorField); text != "" {
		out += " Error " + ln.Get(logline.CodeField) + ": " + text + "."
	}
	if ln.Truncated() {
		out += " (The line is truncated.)"
	}
	return out
}

// fill puts a line's values into a template.
func fill(template string, ln logline.Line) string {
	out := &strings.Builder{}
	for template != "" {
		before, rest, optional := strings.Cut(template, "[")
		text, _ := fillPart(before, ln)
		out.WriteString(text)
		if !optional {
			break
		}
		part, after, _ := strings.Cut(rest, "]")
		if text, whole := fillPart(part, ln); whole {
			out.WriteString(text)
		}
		template = after
	}
	return out.String()
}

// fillPart fills a part of a template and reports whether the line has all of its fields.
func fillPart(part string, ln logline.Line) (text string, whole bool) {
	out := &strings.Builder{}
	whole = true
	for {
		before, rest, found := strings.Cut(part, "{")
		out.WriteString(before)
		if !found {
			return out.String(), whole
		}
		key, after, _ := strings.Cut(rest, "}")
		value := ln.Get(key)
		if meaning, named := words[value]; named {
			value = meaning
		}
		if value == "" {
			whole = false
			value = missingValue
		}
		out.WriteString(value)
		part = after
	}
}
