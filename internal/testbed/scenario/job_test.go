package scenario

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// job runs the commands "job submit TEAM ID CORES RUN-MS [once] [urgent]" and "job cancel TEAM ID"; a job with once is not idempotent.
func (sc *scenario) job(args []string) {
	sc.requireArgs(args, 3, "job submit|cancel TEAM ID ...")
	if args[0] == "cancel" {
		sc.check(sc.fl.CancelJob(context.Background(), args[1], args[2]))
		return
	}
	sc.requireArgs(args, 5, "job submit TEAM ID CORES RUN-MS [once] [urgent]")
	class := "normal"
	if slices.Contains(args, "urgent") {
		class = "urgent"
	}
	once := slices.Contains(args, "once")
	sc.waitUntil("job accepted or rejected permanently", func() bool {
		cd, err := sc.fl.SubmitJob(context.Background(), args[1], args[2], class, args[3], args[4], !once)
		return err == nil && cd != code.KeyedWorkPaused && cd != code.NotYetKept
	})
}

// worker runs the command "worker fail|heal NAME"; all runs on a failing worker fail.
func (sc *scenario) worker(args []string) {
	sc.requireArgs(args, 2, "worker fail|heal NAME")
	sc.fl.Worker(args[1]).SetFail(args[0] == "fail")
}

// expectJob waits until a job is in one of the states: expect job TEAM ID STATE...
func (sc *scenario) expectJob(args []string) {
	sc.waitUntil("job "+strings.Join(args, " "), func() bool {
		state, err := sc.fl.JobState(context.Background(), args[0], args[1])
		return err == nil && slices.Contains(args[2:], state)
	})
}

// expectJobRuns checks how many runs of a job, over its first ten epochs, were started on workers: expect job-runs TEAM ID COUNT.
func (sc *scenario) expectJobRuns(args []string) {
	got := 0
	for epoch := range 10 {
		got += sc.fl.Recorder().Runs(fmt.Sprintf("%s/%s~%d", args[0], args[1], epoch))
	}
	sc.requireOneOf(args[2:], fmt.Sprint(got), "runs of job "+args[1])
}
