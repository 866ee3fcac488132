package explain

import (
	"github.com/fulmarloft/fulmarloft/internal/observability/logline"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// refusalContext returns the lines, by position, of what the refusing entries knew at the time: their rules, or the loss of the operators' changes and its end, or the start of their drain.
func (ex *Explanation) refusalContext(own []datedLine) map[int]bool {
	out := map[int]bool{}
	for _, ln := range own {
		if !refusals[ln.Event()] {
			continue
		}
		switch code.Code(ln.Int(logline.CodeField)) {
		case code.KeyedWorkPaused:
			ex.addOutage(ln, out)
		case code.KeyMissing, code.KeyUnknown, code.KeyWithdrawn, code.ServiceUnknown:
			ex.addLastBefore(ln, out, "rules-in-force", "bundle-adopted")
		case code.Draining:
			ex.addLastBefore(ln, out, "drain-started", "entry-draining")
		default:
		}
	}
	return out
}

// addOutage adds the loss of the operators' changes in which an entry refused a call, and its end.
func (ex *Explanation) addOutage(refused datedLine, out map[int]bool) {
	lost := -1
	for at, ln := range ex.lines {
		if ln.Entry() != refused.Entry() {
			continue
		}
		switch {
		case ln.Event() == "operators-feed-lost" && ln.atMS <= refused.atMS:
			lost = at
		case ln.Event() == "operators-feed-regained" && ln.atMS < refused.atMS:
			lost = -1
		case ln.Event() == "operators-feed-regained":
			out[at] = true
			if lost >= 0 {
				out[lost] = true
			}
			return
		}
	}
	if lost >= 0 {
		out[lost] = true
	}
}

// addLastBefore adds the last line of the events that the entry wrote before it refused a call.
func (ex *Explanation) addLastBefore(refused datedLine, out map[int]bool, events ...string) {
	last := -1
	for at, ln := range ex.lines {
		if ln.atMS > refused.atMS {
			break
		}
		for _, name := range events {
			if ln.Event() == name && ln.Entry() == refused.Entry() {
				last = at
			}
		}
	}
	if last >= 0 {
		out[last] = true
	}
}
