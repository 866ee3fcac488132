package explain

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/fulmarloft/fulmarloft/pkg/code"
)

const (
	timeFormat = "15:04:05.000"
	dayFormat  = "2006-01-02"
)

// WriteText writes a sentence a line in order of time, what is missing, and the answer to the question unless that is empty.
func (ex *Explanation) WriteText(out io.Writer, question string) {
	day := ""
	for _, st := range ex.steps {
		at := time.UnixMilli(shownMS(st.datedLine)).UTC()
		if at.Format(dayFormat) != day {
			day = at.Format(dayFormat)
			fmt.Fprintln(out, day, "UTC")
		}
		fmt.Fprintf(out, "%s %s  %s%s\n", at.Format(timeFormat), st.Entry(), sentence(st.Line), st.repeated())
	}
	for _, note := range ex.notes() {
		fmt.Fprintln(out, "note:", note)
	}
	for _, cause := range ex.Why(question) {
		fmt.Fprintln(out, "why "+question+":", cause)
	}
}

// repeated says how many lines like the step's follow it.
func (st step) repeated() string {
	if st.repeats == 0 {
		return ""
	}
	return fmt.Sprintf(" (%d such lines until %s.)", st.repeats+1, time.UnixMilli(st.lastMS).UTC().Format(timeFormat))
}

// notes says which lines are missing or unreadable.
func (ex *Explanation) notes() []string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(ex.missing)) {
		if name == "" {
			out = append(out, fmt.Sprintf("up to %d lines of any event are missing (lines-lost)", ex.missing[name]))
			continue
		}
		out = append(out, fmt.Sprintf("up to %d lines of %s are missing (left-out)", ex.missing[name], name))
	}
	if ex.foreign > 0 {
		out = append(out, fmt.Sprintf("%d lines without an event were passed over", ex.foreign))
	}
	if ex.undated > 0 {
		out = append(out, fmt.Sprintf("%d lines without a time stand after the line before them", ex.undated))
	}
	return out
}

// NotFound returns the error for an id that no line holds.
func (ex *Explanation) NotFound() error {
	text := fmt.Sprintf("no line of %d holds %q", len(ex.lines), ex.id)
	for _, note := range ex.notes() {
		text += "; " + note
	}
	return code.IDUnlogged.New("%s", text)
}

type jsonLine struct {
	Time     string            `json:"time"`
	Entry    string            `json:"entry"`
	Event    string            `json:"event"`
	Sentence string            `json:"sentence"`
	Context  bool              `json:"context"`
	Repeats  int               `json:"repeats"`
	Fields   map[string]string `json:"fields"`
}

type jsonExplanation struct {
	ID       string           `json:"id"`
	Lines    []jsonLine       `json:"lines"`
	Missing  map[string]int64 `json:"missing"`
	Foreign  int              `json:"foreign"`
	Undated  int              `json:"undated"`
	Question string           `json:"question,omitempty"`
	Why      []string         `json:"why,omitempty"`
}

// WriteJSON writes the explanation as one JSON object; missing counts left-out lines by event, with an empty name for lines of any event.
func (ex *Explanation) WriteJSON(out io.Writer, question string) error {
	doc := jsonExplanation{ID: ex.id, Lines: []jsonLine{}, Missing: ex.missing, Foreign: ex.foreign, Undated: ex.undated, Question: question, Why: ex.Why(question)}
	for _, st := range ex.steps {
		doc.Lines = append(doc.Lines, jsonLine{
			Time: time.UnixMilli(shownMS(st.datedLine)).UTC().Format(time.RFC3339Nano), Entry: st.Entry(), Event: st.Event(),
			Sentence: sentence(st.Line), Context: st.context, Repeats: st.repeats, Fields: st.Fields(),
		})
	}
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	if err := enc.Encode(doc); err != nil {
		return code.Internal.Wrap(err)
	}
	return nil
}
