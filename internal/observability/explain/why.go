package explain

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/fulmarloft/fulmarloft/internal/observability/logline"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Questions that Why answers.
const (
	WhyRefused = "refused"
	WhyLate    = "late"
	WhyFailed  = "failed"
)

// Why sums up in sentences why the call was refused, or the job late or failed, as far as the gathered lines tell.
func (ex *Explanation) Why(question string) []string {
	switch question {
	case WhyRefused:
		return ex.whyRefused()
	case WhyLate:
		return ex.whyLate()
	case WhyFailed:
		return ex.whyFailed()
	}
	return nil
}

// refusalCauses says what the codes of refusals mean; the name and error of any other code say it.
var refusalCauses = map[code.Code]string{
	code.KeyUnknown:       "the key is in no team of the rules that the entry had in force",
	code.ServiceUnknown:   "the rules that the entry had in force name no such queue or service",
	code.DeadlineHopeless: "the job could not have ended in time, and its caller was told when to come back",
	code.KeyedWorkPaused:  "the entry could not prove that its rules, and so its keys, were the newest",
	code.TableUnavailable: "the store took nothing of the call and never will, so it may be repeated",
	code.TableInDoubt:     "the store gave no certain answer, so the call may have taken effect",
	code.Draining:         "the entry was shutting down",
	code.QueueFull:        "the queue held as many requests as it may",
	code.LimitReached:     "the team ran as much as its upper limit allows",
	code.ClaimUnwritten:   "the claim of the caller's own key could not be written",
}

func (ex *Explanation) whyRefused() []string {
	refused := ex.own(func(ln logline.Line) bool { return refusals[ln.Event()] })
	if len(refused) == 0 {
		return []string{"No line says that a call was refused."}
	}
	var out []string
	for _, cd := range codesOf(refused) {
		out = append(out, refusalCause(cd, refused))
	}
	for _, st := range ex.steps {
		if st.Event() == "operators-feed-lost" {
			out = append(out, ex.outageCause(st))
		}
	}
	last := refused[len(refused)-1]
	for _, st := range ex.own(func(ln logline.Line) bool { return acceptances[ln.Event()] }) {
		if st.atMS < last.atMS {
			out = append(out, fmt.Sprintf("The job had been accepted by %s before the last refusal.", st.Entry()))
			continue
		}
		out = append(out, fmt.Sprintf("Entry %s accepted the job %s after the last refusal.", st.Entry(), seconds(st.atMS-last.atMS)))
	}
	return out
}

// codesOf returns the codes of refusals in ascending order.
func codesOf(refused []step) []code.Code {
	set := map[code.Code]bool{}
	for _, st := range refused {
		set[code.Code(st.Int(logline.CodeField))] = true
	}
	return slices.Sorted(maps.Keys(set))
}

// refusalCause says how often a code was answered and what it means.
func refusalCause(cd code.Code, refused []step) string {
	count := 0
	entries := map[string]bool{}
	detail := ""
	for _, st := range refused {
		if code.Code(st.Int(logline.CodeField)) == cd {
			count++
			entries[st.Entry()] = true
			detail = st.Get(logline.ErrorField)
		}
	}
	cause, known := refusalCauses[cd]
	if !known {
		cause = detail
	}
	return fmt.Sprintf("Refused %s with code %d (%s) by %s: %s.", times(count), int(cd), cd, strings.Join(slices.Sorted(maps.Keys(entries)), ", "), cause)
}

// outageCause says for how long an entry had lost the operators' changes.
func (ex *Explanation) outageCause(lost step) string {
	for _, st := range ex.steps {
		if st.Event() == "operators-feed-regained" && st.Entry() == lost.Entry() && st.atMS >= lost.atMS {
			return fmt.Sprintf("Entry %s could not read the operators' changes for %s: %s.", lost.Entry(), seconds(st.atMS-lost.atMS), lost.Get(logline.ErrorField))
		}
	}
	return fmt.Sprintf("Entry %s lost the operators' changes and had not regained them when its log ends: %s.", lost.Entry(), lost.Get(logline.ErrorField))
}

func (ex *Explanation) whyFailed() []string {
	failed := ex.own(func(ln logline.Line) bool {
		return ln.Event() == "job-failed" || ln.Event() == "job-given-up" || ln.Event() == "request-failed" || ln.Event() == "job-ended" && ln.Get("state") != "done"
	})
	if len(failed) == 0 {
		return []string{"No line says that the job or request failed."}
	}
	last := failed[len(failed)-1]
	out := []string{sentence(last.Line)}
	if last.Event() != "job-failed" {
		return out
	}
	out = append(out, ex.failedVMs()...)
	out = append(out, ex.countedRuns()...)
	return append(out, ex.suspectedVMs())
}

// failedVMs names the VMs on which runs of the job failed.
func (ex *Explanation) failedVMs() []string {
	vms := map[string]bool{}
	for _, st := range ex.own(func(ln logline.Line) bool { return ln.Event() == "run-failed" || ln.Event() == "run-failed-late" }) {
		vms[st.Get("vm")] = true
	}
	switch len(vms) {
	case 0:
		return nil
	case 1:
		return []string{"Its runs failed on a single VM, " + slices.Collect(maps.Keys(vms))[0] + "."}
	}
	return []string{"Its runs failed on the VMs " + strings.Join(slices.Sorted(maps.Keys(vms)), ", ") + "."}
}

// suspectedVMs names the VMs that were suspected while the job ran, which may be VMs that the job wasn't on.
func (ex *Explanation) suspectedVMs() string {
	vms := map[string]bool{}
	for _, ln := range ex.lines {
		if ln.Event() == "vm-suspected" && ln.atMS >= ex.startMS && ln.atMS <= ex.endMS {
			vms[ln.Get("vm")] = true
		}
	}
	if len(vms) == 0 {
		return "No VM was suspected between its acceptance and its failure, which speaks for a fault of the job itself."
	}
	return "Suspected between its acceptance and its failure, and perhaps at fault, were the VMs " + strings.Join(slices.Sorted(maps.Keys(vms)), ", ") + "."
}

// own returns the steps that hold the id and match.
func (ex *Explanation) own(match func(logline.Line) bool) []step {
	var out []step
	for _, st := range ex.steps {
		if !st.context && match(st.Line) {
			out = append(out, st)
		}
	}
	return out
}

func times(count int) string {
	if count == 1 {
		return "once"
	}
	return fmt.Sprintf("%d times", count)
}

func seconds(ms int64) string { return fmt.Sprintf("%.1f s", float64(ms)/1000) }
