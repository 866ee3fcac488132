package explain

import (
	"bufio"
	"cmp"
	"errors"
	"io"
	"slices"
	"strings"

	"github.com/fulmarloft/fulmarloft/internal/observability/logline"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Explanation holds what the log lines of all entries say on one id: of a job, a task, a VM, a machine or a request, or the path of a refused call.
type Explanation struct {
	id string
	// lines are all lines of the files, in order of time after Gather.
	lines []datedLine
	// foreign counts lines without an event, undated ones with an event but without a time.
	foreign int
	undated int
	sub     *subject
	startMS int64
	endMS   int64
	steps   []step
	missing map[string]int64
}

// datedLine is a line with the time by which it is ordered.
type datedLine struct {
	logline.Line
	atMS int64
}

// step is a line of the explanation and the number of lines like it that follow directly.
type step struct {
	datedLine
	// context is set for a line that doesn't hold the id itself.
	context bool
	repeats int
	lastMS  int64
}

// New returns an explanation of the id without lines.
func New(id string) *Explanation {
	return &Explanation{id: id, missing: map[string]int64{}}
}

// Read adds the lines of a log file. Lines without a prefix are those of the entry that the file's entry-started lines name; if they name none or several, the file's name stands for it.
func (ex *Explanation) Read(name string, in io.Reader) error {
	rd := bufio.NewReader(in)
	first, lastMS := len(ex.lines), int64(0)
	for {
		text, err := rd.ReadString('\n')
		ln, ok := logline.Parse(text)
		switch {
		case ok:
			lastMS = ex.add(ln, lastMS)
		case strings.TrimSpace(text) != "":
			ex.foreign++
		}
		if errors.Is(err, io.EOF) {
			label(ex.lines[first:], name)
			return nil
		}
		if err != nil {
			return code.FileUnreadable.New("%s: %w", name, err)
		}
	}
}

// add adds a line and returns the time of following lines that hold none.
func (ex *Explanation) add(ln logline.Line, lastMS int64) int64 {
	ms, dated := ln.TimeMS()
	if !dated {
		ms = lastMS
		ex.undated++
	}
	ex.lines = append(ex.lines, datedLine{ln, ms})
	return ms
}

// label names the entry of a file's lines without a prefix.
func label(lines []datedLine, file string) {
	names := map[string]bool{}
	for _, ln := range lines {
		if ln.Event() == "entry-started" {
			names[ln.Get("node")+ln.Get("name")] = true
		}
	}
	entry := file
	for name := range names {
		if len(names) == 1 {
			entry = name
		}
	}
	for at := range lines {
		if lines[at].Entry() == "" {
			lines[at].Line = lines[at].WithEntry(entry)
		}
	}
}

// Gather finds the lines that concern the id and reports whether any line holds it.
func (ex *Explanation) Gather() bool {
	ex.sort()
	ex.sub = newSubject(ex.id)
	var own []datedLine
	for _, ln := range ex.lines {
		if ex.sub.named(ln.Line) {
			own = append(own, ln)
			ex.sub.learn(ln.Line)
		}
	}
	if len(own) == 0 {
		ex.countMissing(0, 0)
		return false
	}
	for _, ln := range ex.lines {
		ex.sub.learnOthers(ln.Line)
	}
	ex.setWindow(own)
	refusalContext := ex.refusalContext(own)
	for at, ln := range ex.lines {
		switch {
		case ex.sub.named(ln.Line):
			ex.addStep(ln, false)
		case refusalContext[at], ln.atMS >= ex.startMS && ln.atMS <= ex.endMS && ex.sub.concerned(ln.Line):
			ex.addStep(ln, true)
		}
	}
	ex.countMissing(ex.startMS, ex.endMS)
	return true
}

// sort orders the lines by time: by that of the prefixes if all lines have one, since an entry's clock may be wrong.
func (ex *Explanation) sort() {
	prefixed := !slices.ContainsFunc(ex.lines, func(ln datedLine) bool {
		_, ok := ln.PrefixMS()
		return !ok
	})
	for at := range ex.lines {
		if ms, ok := ex.lines[at].PrefixMS(); ok && prefixed {
			ex.lines[at].atMS = ms
		}
	}
	slices.SortStableFunc(ex.lines, func(aa, bb datedLine) int { return cmp.Compare(aa.atMS, bb.atMS) })
}

// setWindow sets the time in which lines of VMs and owners concern the id: for a job from its acceptance to its end or that of the files, else from the first to the last line that holds the id.
func (ex *Explanation) setWindow(own []datedLine) {
	ex.startMS, ex.endMS = own[0].atMS, own[len(own)-1].atMS
	if !ex.sub.isJob {
		return
	}
	ex.endMS = ex.lines[len(ex.lines)-1].atMS
	accepted := false
	for _, ln := range own {
		if acceptances[ln.Event()] && !accepted {
			accepted = true
			ex.startMS = ln.atMS - ln.Int("took-ms")
		}
		if ends[ln.Event()] {
			ex.endMS = ln.atMS
			return
		}
	}
}

// addStep adds a line; one that repeats the last step's event, as retries do, is only counted.
func (ex *Explanation) addStep(ln datedLine, context bool) {
	if last := len(ex.steps) - 1; context && last >= 0 && ex.steps[last].repeatedBy(ln.Line) {
		ex.steps[last].repeats++
		ex.steps[last].lastMS = shownMS(ln)
		return
	}
	ex.steps = append(ex.steps, step{datedLine: ln, context: context, lastMS: shownMS(ln)})
}

// repeatedBy reports whether a line differs from the step's at most in its figures.
func (st step) repeatedBy(ln logline.Line) bool {
	if !st.context {
		return false
	}
	for _, key := range []string{logline.EventField, logline.CodeField, "vm", "machine", "token"} {
		if st.Get(key) != ln.Get(key) {
			return false
		}
	}
	return st.Entry() == ln.Entry()
}

// countMissing counts the lines that the files lack by event, with an empty name for lines of any event: those that lines from startMS to endMS report, and the next line of each event and entry after that; all of them if both are 0.
func (ex *Explanation) countMissing(startMS, endMS int64) {
	after := map[[2]string]bool{}
	all := startMS == 0 && endMS == 0
	for _, ln := range ex.lines {
		key := [2]string{ln.Entry(), ln.Event()}
		if !all && (ln.atMS < startMS || after[key]) {
			continue
		}
		after[key] = !all && ln.atMS > endMS
		if count, name := ln.LeftOut(); count > 0 {
			ex.missing[name] += count
		}
	}
}

// shownMS returns the entry's own time of a line, or the time by which it is ordered.
func shownMS(ln datedLine) int64 {
	if ms, ok := ln.TimeMS(); ok {
		return ms
	}
	return ln.atMS
}
