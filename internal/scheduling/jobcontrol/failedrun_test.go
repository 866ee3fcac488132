package jobcontrol_test

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/configuration/rulesindex"
	"github.com/fulmarloft/fulmarloft/internal/observability/event"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/jobcontrol"
)

// The lines must tell on which VMs the runs of a failed job failed.
func TestFailedRunsAreLoggedWithTheirVMs(t *testing.T) {
	fl := newFleet(t, vmOf("a"))
	var log bytes.Buffer
	fl.ct = jobcontrol.New(fl.ck, event.New(&log), fl.token, runLeaseMS)
	fl.ct.SetRules(rulesindex.New(testRules()))
	fl.ct.SetVM(vmOf("a"))
	fl.setBehavior(100, workpb.End_END_FAILED)
	fl.submit(jobOf("j1", stepOf(1)))
	fl.run(4000)
	var failed []string
	for _, line := range strings.Split(log.String(), "\n") {
		if _, text, found := strings.Cut(line, `event="run-failed" `); found {
			failed = append(failed, text)
		}
	}
	qt.Assert(t, failed, qt.DeepEquals, []string{
		`vm="a" task="j1.0.0.0" run=1 failures=1`, `vm="a" task="j1.0.0.0" run=2 failures=2`, `vm="a" task="j1.0.0.0" run=3 failures=3`,
	})
	qt.Assert(t, strings.Index(log.String(), "run=3 failures=3") < strings.Index(log.String(), `event="job-failed"`), qt.IsTrue)
}
