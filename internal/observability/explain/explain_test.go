package explain_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/observability/explain"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// files are the logs of three entries: entry a accepts and owns, then b owns; c refuses.
var files = map[string]string{
	"a": `time=2026-12-04T09:00:00.000Z level=info event="entry-started" node="entry-a" zone="a" metrics-port=1
time=2026-12-04T09:00:00.500Z level=info event="ownership-taken" token=1
time=2026-12-04T09:00:00.600Z level=info event="scheduling-started" token=1 after-ms=100
time=2026-12-04T09:00:01.020Z level=info event="job-accepted" job="00aa" queue="q1" team="" rules=3 took-ms=20
time=2026-12-04T09:00:02.000Z level=info event="vm-silent" vm="i-1" verdict="NOT_SENT" runs=2
time=2026-12-04T09:00:02.100Z level=info event="vm-silent" vm="i-2" verdict="IN_DOUBT" runs=1
time=2026-12-04T09:00:02.200Z level=info event="job-failed" job="00bb" task="00bb.0.1.0" failures=4
time=2026-12-04T09:00:02.500Z level=error event="commit-failed" code=307 error="table-unavailable; 503" rows=1 silent-ms=66
time=2026-12-04T09:00:02.600Z level=error event="commit-failed" code=307 error="table-unavailable; 503" rows=1 silent-ms=166
`,
	"b": `time=2026-12-04T09:00:00.000Z level=info event="entry-started" node="entry-b" zone="b" metrics-port=1
time=2026-12-04T09:00:04.000Z level=info event="ownership-taken" token=9
time=2026-12-04T09:00:04.100Z level=info event="scheduling-started" token=9 after-ms=100
time=2026-12-04T09:00:04.200Z level=info event="first-start-accepted" token=9 after-ms=200
time=2026-12-04T09:00:05.000Z level=info event="vm-ended" vm="i-1" machine="m-1" machine-status="down" runs=2
time=2026-12-04T09:00:05.001Z level=info event="run-ended" vm="i-1" task="00aa.0.0.1" run=1 end="END_LEASE_EXPIRED"
time=2026-12-04T09:00:05.002Z level=info event="run-ended" vm="i-1" task="00aabb.0.0.1" run=1 end="END_STOPPED"
time=2026-12-04T09:00:06.000Z level=info event="job-completed" job="00aa" left-out=7 age-ms=5000
time=2026-12-04T09:00:09.000Z level=info event="vm-restarted" vm="i-1" born=1 runs=0
`,
	"c": `time=2026-12-04T09:00:00.000Z level=info event="entry-started" node="entry-c" zone="c" metrics-port=1
time=2026-12-04T08:59:58.000Z level=error event="operators-feed-lost" code=307 error="table-unavailable; 503" rules-age-ms=2000
time=2026-12-04T09:00:00.700Z level=error event="call-refused" code=109 error="keyed-work-paused; old" method="POST" path="/q/one/00aa" job="" status=503 rules-age-ms=4342
time=2026-12-04T09:00:08.000Z level=info event="operators-feed-regained" version=4
`,
}

// explained returns the explanation of an id from the logs of the named entries, in that order.
func explained(t *testing.T, id string, names ...string) *explain.Explanation {
	ex := explain.New(id)
	for _, name := range names {
		qt.Assert(t, ex.Read(name, strings.NewReader(files[name])), qt.IsNil)
	}
	ex.Gather()
	return ex
}

func textOf(ex *explain.Explanation, question string) string {
	buf := &bytes.Buffer{}
	ex.WriteText(buf, question)
	return buf.String()
}

func TestJobOverAllEntriesInOrderOfTime(t *testing.T) {
	const want = `2026-12-04 UTC
08:59:58.000 entry-c  The entry lost the operators' changes; its rules were last confirmed 2000 ms before. Error 307: table-unavailable; 503.
09:00:00.700 entry-c  The call POST /q/one/00aa was refused with status 503; the entry's rules were last confirmed 4342 ms before. Error 109: keyed-work-paused; old.
09:00:01.020 entry-a  The job was accepted into queue q1 under rules 3; storing it took 20 ms.
09:00:02.000 entry-a  VM i-1, with 2 runs, doesn't answer: no connection could be opened.
09:00:02.500 entry-a  The owner could not store 1 rows; its last renewal was 66 ms before. Error 307: table-unavailable; 503. (2 such lines until 09:00:02.600.)
09:00:04.000 entry-b  The entry became owner of scheduling with token 9.
09:00:04.100 entry-b  The owner with token 9 has read the stored jobs and schedules, 100 ms after it took over.
09:00:04.200 entry-b  A VM accepted the first start under the ownership with token 9, 200 ms after it was taken.
09:00:05.000 entry-b  VM i-1 has ended, as its machine m-1 is down; 2 runs ended with it.
09:00:05.001 entry-b  Run 1 of task 00aa.0.0.1 on VM i-1 ended without a result, as its lease expired or its VM ended.
09:00:06.000 entry-b  The job was completed, 5000 ms after it was accepted.
09:00:08.000 entry-c  The entry reads the operators' changes again, from version 4.
note: up to 7 lines of job-completed are missing (left-out)
`
	for _, order := range []string{"abc", "cba", "bca"} {
		qt.Check(t, textOf(explained(t, "00aa", strings.Split(order, "")...), ""), qt.Equals, want, qt.Commentf(order))
	}
}

func TestWhy(t *testing.T) {
	for _, tc := range []struct {
		id, question string
		want         []string
	}{
		{"00aa", explain.WhyRefused, []string{
			"Refused once with code 109 (keyed-work-paused) by entry-c: the entry could not prove that its rules, and so its keys, were the newest.",
			"Entry entry-c could not read the operators' changes for 10.0 s: table-unavailable; 503.",
			"Entry entry-a accepted the job 0.3 s after the last refusal.",
		}},
		{"00aa", explain.WhyLate, []string{
			"The job ended (job-completed) 5.0 s after it was accepted.",
			"The owner of scheduling changed: entry-b began 1.9 s after the last logged decision of entry-a, and a VM accepted its first start 0.1 s later.",
			"The owner entry-a could not store its decisions 2 times within 0.1 s: table-unavailable; 503.",
			"VM i-1, which the job ran on, did not answer for 3.0 s (until vm-ended).",
			"Runs that ended without being done: 1 (run-ended).",
		}},
		{"00aa", explain.WhyFailed, []string{"No line says that the job or request failed."}},
		{"00bb", explain.WhyFailed, []string{
			"The job failed: task 00bb.0.1.0 ended as failed 4 times, as often as its queue allows.",
			"No VM was suspected between its acceptance and its failure, which speaks for a fault of the job itself.",
		}},
		{"00bb", explain.WhyRefused, []string{"No line says that a call was refused."}},
		{"i-1", explain.WhyLate, []string{"No line says that a job with this id was accepted."}},
	} {
		ex := explained(t, tc.id, "a", "b", "c")
		qt.Check(t, ex.Why(tc.question), qt.DeepEquals, tc.want, qt.Commentf("%s %s", tc.id, tc.question))
	}
}

// A job that fails on several VMs is itself at fault, one that fails on one VM perhaps isn't.
func TestWhyFailedNamesTheVMsOfFailedRuns(t *testing.T) {
	ex := explain.New("00cc")
	qt.Assert(t, ex.Read("a", strings.NewReader(`time=2026-12-04T09:00:01.000Z level=info event="job-accepted" job="00cc" queue="q1" team="" rules=3 took-ms=20
time=2026-12-04T09:00:01.500Z level=info event="run-failed" vm="i-9" task="00ccdd.0.0.0" run=1 failures=1
time=2026-12-04T09:00:02.000Z level=info event="run-failed" vm="i-4" task="00cc.0.0.0" run=1 failures=1
time=2026-12-04T09:00:03.000Z level=info event="run-failed-late" vm="i-5" task="00cc.0.0.0" run=2
time=2026-12-04T09:00:04.000Z level=info event="run-failed" vm="i-3" task="00cc.0.0.0" run=3 failures=3
time=2026-12-04T09:00:05.000Z level=info event="run-failed" vm="i-4" task="00cc.0.0.0" run=4 failures=4
time=2026-12-04T09:00:05.000Z level=info event="job-failed" job="00cc" task="00cc.0.0.0" failures=4
`)), qt.IsNil)
	ex.Gather()
	qt.Assert(t, ex.Why(explain.WhyFailed), qt.DeepEquals, []string{
		"The job failed: task 00cc.0.0.0 ended as failed 4 times, as often as its queue allows.",
		"Its runs failed on the VMs i-3, i-4, i-5.",
		"Runs that failed: 3 (run-failed).",
		"Runs that proved to have failed after they had been given up: 1 (run-failed-late).",
		"No VM was suspected between its acceptance and its failure, which speaks for a fault of the job itself.",
	})
	qt.Assert(t, textOf(ex, ""), qt.Contains, "Run 1 of task 00cc.0.0.0 on VM i-4 failed; its task has failed 1 times.")
}

// A submission that was refused as hopeless and accepted when it came back must be explained by the wait and the time that its caller was told.
func TestWhyRefusedAsHopeless(t *testing.T) {
	ex := explain.New("00dd")
	qt.Assert(t, ex.Read("a", strings.NewReader(`time=2026-12-04T09:00:01.000Z level=error event="submission-refused" code=106 error="deadline-hopeless" job="00dd" queue="q1" team="t1" wait-ms=2100 estimate-age-ms=120 share-level=1 retry-after-s=3
time=2026-12-04T09:00:04.100Z level=info event="job-accepted" job="00dd" queue="q1" team="t1" rules=3 took-ms=20
`)), qt.IsNil)
	qt.Assert(t, ex.Gather(), qt.IsTrue)
	qt.Check(t, ex.Why(explain.WhyRefused), qt.DeepEquals, []string{
		"Refused once with code 106 (deadline-hopeless) by a: the job could not have ended in time, and its caller was told when to come back.",
		"Entry a accepted the job 3.1 s after the last refusal.",
	})
	qt.Check(t, textOf(ex, ""), qt.Contains, "The submission to queue q1 for team t1 was refused, as the job would have waited 2100 ms and ended too late (share level 1, estimate 120 ms old); the caller was told to come back after 3 s.")
}

// events returns the events of an explanation in order, by its JSON.
func events(t *testing.T, ex *explain.Explanation) []string {
	buf := &bytes.Buffer{}
	qt.Assert(t, ex.WriteJSON(buf, ""), qt.IsNil)
	var doc struct {
		Lines []struct{ Event string }
	}
	qt.Assert(t, json.Unmarshal(buf.Bytes(), &doc), qt.IsNil)
	var out []string
	for _, ln := range doc.Lines {
		out = append(out, ln.Event)
	}
	return out
}

func TestIDs(t *testing.T) {
	for _, tc := range []struct {
		name, id string
		want     []string
	}{
		{"VM", "i-2", []string{"vm-silent"}},
		{"VM with runs of several jobs", "i-1", []string{"vm-silent", "vm-ended", "run-ended", "run-ended", "vm-restarted"}},
		{"machine", "m-1", []string{"vm-ended"}},
		{"path", "/q/one/00aa", []string{"operators-feed-lost", "call-refused", "operators-feed-regained"}},
		{"task of another job", "00aabb.0.0.1", []string{"run-ended", "vm-restarted"}},
		{"failed task", "00bb.0.1.0", []string{"job-failed"}},
		{"start of an id", "00a", nil},
		{"unknown", "nobody", nil},
	} {
		qt.Check(t, events(t, explained(t, tc.id, "a", "b", "c")), qt.DeepEquals, tc.want, qt.Commentf(tc.name))
	}
}

func TestNotFoundSaysWhatIsMissing(t *testing.T) {
	ex := explained(t, "nobody", "a", "b", "c")
	err := ex.NotFound()
	qt.Check(t, code.Of(err), qt.Equals, code.IDUnlogged)
	qt.Check(t, err, qt.ErrorMatches, `.*no line of 22 holds "nobody"; up to 7 lines of job-completed are missing \(left-out\)`)
}

// Unknown events must be printed as they are; foreign and truncated lines and those without a time must not stop the rest.
func TestOddLines(t *testing.T) {
	ex := explain.New("00aa")
	text := "panic: something else\n\n" +
		`time=2026-12-04T09:00:01.000Z level=info event="moon-phase" job="00aa" phase=3` + "\n" +
		`level=info event="job-cancelled" job="00aa"` + "\n" +
		`time=2026-12-04T09:00:02.000Z level=info event="lines-lost" count=3` + "\n" +
		`time=2026-12-04T09:00:02.000Z level=info event="run-done-late" task="00aa.0.0.0" ru`
	qt.Assert(t, ex.Read("x", strings.NewReader(text)), qt.IsNil)
	qt.Assert(t, ex.Gather(), qt.IsTrue)
	qt.Check(t, textOf(ex, ""), qt.Equals, `2026-12-04 UTC
09:00:01.000 x  time=2026-12-04T09:00:01.000Z level=info event="moon-phase" job="00aa" phase=3
09:00:01.000 x  The job was cancelled.
09:00:02.000 x  Run (unknown) of task 00aa.0.0.0 proved to be done after it had been given up; it counts.
note: up to 3 lines of any event are missing (lines-lost)
note: 1 lines without an event were passed over
note: 1 lines without a time stand after the line before them
`)
}

// Lines behind a prefix of time and entry are ordered by that time, as the entries' own clocks may be wrong.
func TestPrefixedLines(t *testing.T) {
	ex := explain.New("00aa")
	text := `   1.5000 entry-b time=2026-12-04T08:00:00.000Z level=info event="job-completed" job="00aa" age-ms=1480
  -0.0200 entry-a time=2026-12-04T09:00:00.000Z level=info event="job-accepted" job="00aa" queue="q1" team="t1" rules=3 took-ms=20
`
	qt.Assert(t, ex.Read("bench", strings.NewReader(text)), qt.IsNil)
	qt.Assert(t, ex.Gather(), qt.IsTrue)
	qt.Check(t, events(t, ex), qt.DeepEquals, []string{"job-accepted", "job-completed"})
	qt.Check(t, textOf(ex, ""), qt.Contains, "entry-a  The job was accepted into queue q1 for team t1")
}

// The restart of the owner's process must be named as the cause, as a process that is killed logs no end.
func TestOwnerThatRestarts(t *testing.T) {
	ex := explain.New("00aa")
	text := `time=2026-12-04T09:00:00.000Z level=info event="ownership-taken" token=1
time=2026-12-04T09:00:00.100Z level=info event="scheduling-started" token=1 after-ms=100
time=2026-12-04T09:00:01.000Z level=info event="job-accepted" job="00aa" queue="q1" team="t1" rules=3 took-ms=20
time=2026-12-04T09:00:02.000Z level=info event="run-evacuated" vm="i-1" task="00aa.0.0.0" run=1
time=2026-12-04T09:00:05.000Z level=info event="entry-started" node="a" zone="z" metrics-port=1
time=2026-12-04T09:00:06.000Z level=info event="ownership-taken" token=2
time=2026-12-04T09:00:06.050Z level=info event="vm-registered" vm="i-1" service="s" draining=false
time=2026-12-04T09:00:06.100Z level=info event="scheduling-started" token=2 after-ms=100
time=2026-12-04T09:00:07.000Z level=info event="job-completed" job="00aa" age-ms=6020
`
	qt.Assert(t, ex.Read("a", strings.NewReader(text)), qt.IsNil)
	qt.Assert(t, ex.Gather(), qt.IsTrue)
	qt.Check(t, events(t, ex), qt.Contains, "entry-started")
	qt.Check(t, ex.Why(explain.WhyLate)[1], qt.Equals, "The owner of scheduling changed: a began 4.1 s after the last logged decision of a (which had restarted).")
}

// A file's lines before the entry's start are the entry's too, and those of a file of several entries can't be told apart.
func TestEntryOfUnprefixedLines(t *testing.T) {
	const (
		accepted = `time=2026-12-04T09:00:01.000Z level=info event="job-cancelled" job="00aa"` + "\n"
		first    = `time=2026-12-04T09:00:02.000Z level=info event="entry-started" node="e-1" zone="z" metrics-port=1` + "\n"
		second   = `time=2026-12-04T09:00:03.000Z level=info event="entry-started" node="e-2" zone="z" metrics-port=1` + "\n"
	)
	for _, tc := range []struct{ text, want string }{
		{accepted, "file"}, {accepted + first, "e-1"}, {accepted + first + first, "e-1"}, {accepted + first + second, "file"},
	} {
		ex := explain.New("00aa")
		qt.Assert(t, ex.Read("file", strings.NewReader(tc.text)), qt.IsNil)
		qt.Assert(t, ex.Gather(), qt.IsTrue)
		qt.Check(t, textOf(ex, ""), qt.Contains, "09:00:01.000 "+tc.want+"  The job was cancelled.")
	}
}

func TestUnreadableFile(t *testing.T) {
	err := explain.New("00aa").Read("x", iotest.ErrReader(errors.New("broken disk")))
	qt.Check(t, code.Of(err), qt.Equals, code.FileUnreadable)
	qt.Check(t, explain.New("00aa").Read("x", io.MultiReader()), qt.IsNil)
}
