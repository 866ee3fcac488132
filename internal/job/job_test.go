package job_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/fulmarloft/fulmarloft/internal/job"
	"github.com/fulmarloft/fulmarloft/internal/jobpb"
	"github.com/fulmarloft/fulmarloft/internal/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/property"
	"github.com/fulmarloft/fulmarloft/internal/size"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Properties are checked with the same draws on every run; the flag of the command line still wins.
type step func(jb job.Job) job.Job

func start(worker string) step {
	return func(jb job.Job) job.Job {
		next, err := jb.Start(worker, "boot-1", size.New(1, 1, 0))
		if err != nil {
			return jb
		}
		return next
	}
}

func report(run string, epoch uint64, state string) step {
	return func(jb job.Job) job.Job {
		return jb.ApplyReport(&platformpb.TaskReport{Run: run, Epoch: epoch, State: state}, 1)
	}
}

func lapse(jb job.Job) job.Job  { return jb.ExpireLease(1) }
func cancel(jb job.Job) job.Job { return jb.Cancel(1) }
func refuse(jb job.Job) job.Job { return jb.RevertStart(1) }

func TestF8EachEndCountsOnce(t *testing.T) {
	done1 := report("j~1", 1, "done")
	cases := []struct {
		name       string
		idempotent bool
		steps      []step
		state      jobpb.State
		outcome    string
		code       code.Code
	}{
		{"done once", false, []step{start("w"), done1}, jobpb.State_DONE, "answered", code.OK},
		{"done twice", false, []step{start("w"), done1, done1}, jobpb.State_DONE, "answered", code.OK},
		{"late done of a lost run", false, []step{start("w"), lapse, done1, done1}, jobpb.State_DONE, "answered", code.OK},
		{"late failure of a lost run", false, []step{start("w"), lapse, report("j~1", 1, "failed")}, jobpb.State_FAILED, "answered", code.EndpointStatus},
		{"lost run is never repeated", false, []step{start("w"), lapse, start("v")}, jobpb.State_LOST, "unknown", code.WorkerLost},
		{"late done while queued again", true, []step{start("w"), lapse, done1}, jobpb.State_DONE, "answered", code.OK},
		{"late done while a second run runs", true, []step{start("w"), lapse, start("v"), done1}, jobpb.State_STARTING, "answered", code.OK},
		{"late done, then the second run stops", true, []step{start("w"), lapse, start("v"), done1, report("j~2", 2, "stopped")}, jobpb.State_DONE, "answered", code.OK},
		{"late done, then the second run fails", true, []step{start("w"), lapse, start("v"), done1, report("j~2", 2, "failed")}, jobpb.State_DONE, "answered", code.OK},
		{"late done, then the second run lapses", true, []step{start("w"), lapse, start("v"), done1, lapse}, jobpb.State_DONE, "answered", code.OK},
		{"failed and repeated", true, []step{start("w"), report("j~1", 1, "failed"), start("v")}, jobpb.State_STARTING, "unknown", code.OK},
		{"failed for good", false, []step{start("w"), report("j~1", 1, "failed"), start("v")}, jobpb.State_FAILED, "answered", code.EndpointStatus},
		{"cancelled before a start", false, []step{cancel, start("w")}, jobpb.State_CANCELLED, "not-run", code.Cancelled},
		{"cancelled while running", true, []step{start("w"), cancel, report("j~1", 1, "stopped")}, jobpb.State_CANCELLED, "unknown", code.MayHaveRun},
		{"cancelled too late", false, []step{start("w"), cancel, done1}, jobpb.State_DONE, "answered", code.OK},
		{"cancelled, then silent", false, []step{start("w"), cancel, lapse}, jobpb.State_LOST, "unknown", code.WorkerLost},
		{"cancelled, silent, idempotent", true, []step{start("w"), cancel, lapse}, jobpb.State_CANCELLED, "unknown", code.MayHaveRun},
		{"proved not started", false, []step{start("w"), refuse}, jobpb.State_QUEUED, "not-run", code.OK},
		{"proved not started after cancel", false, []step{start("w"), cancel, refuse}, jobpb.State_CANCELLED, "not-run", code.Cancelled},
		{"checkpoint is continued", true, []step{start("w"), report("j~1", 1, "checkpointed"), start("v"), report("j~2", 2, "done")}, jobpb.State_DONE, "answered", code.OK},
		{"checkpoint of a non-idempotent job", false, []step{start("w"), report("j~1", 1, "checkpointed"), start("v")}, jobpb.State_LOST, "unknown", code.WorkerLost},
		{"checkpoint told twice", true, []step{start("w"), report("j~1", 1, "checkpointed"), start("v"), report("j~1", 1, "checkpointed")}, jobpb.State_STARTING, "unknown", code.OK},
		{"stopped by the worker for good", false, []step{start("w"), report("j~1", 1, "stopped"), start("v")}, jobpb.State_LOST, "unknown", code.WorkerLost},
		{"foreign run", false, []step{start("w"), report("k~1", 1, "done")}, jobpb.State_STARTING, "unknown", code.OK},
		{"epoch never issued", false, []step{start("w"), report("j~1", 2, "done")}, jobpb.State_STARTING, "unknown", code.OK},
		{"report before any start", false, []step{report("j~1", 0, "done")}, jobpb.State_QUEUED, "not-run", code.OK},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			jb := job.New(&jobpb.JobRow{Id: "j", Team: "t", Idempotent: tc.idempotent})
			counted := 0
			for _, st := range tc.steps {
				before := jb.Row().GetCounted()
				jb = st(jb)
				counted += delta(before, jb.Row().GetCounted())
			}
			qt.Check(t, jb.State(), qt.Equals, tc.state)
			qt.Check(t, jb.Outcome(), qt.Equals, tc.outcome)
			qt.Check(t, jb.Code(), qt.Equals, tc.code)
			qt.Check(t, counted == 1, qt.Equals, jb.Active())
		})
	}
}

func TestStartRefuses(t *testing.T) {
	cases := []struct {
		name string
		row  *jobpb.JobRow
	}{
		{"second run of a non-idempotent job", &jobpb.JobRow{Id: "j", Attempts: 1}},
		{"unwanted job", &jobpb.JobRow{Id: "j", CancelWanted: true}},
		{"active job", &jobpb.JobRow{Id: "j", Idempotent: true, State: jobpb.State_RUNNING}},
		{"ended job", &jobpb.JobRow{Id: "j", Idempotent: true, State: jobpb.State_DONE}},
	}
	for _, tc := range cases {
		_, err := job.New(tc.row).Start("w", "boot-1", size.New(1, 1, 0))
		qt.Check(t, code.Of(err), qt.Equals, code.Conflict, qt.Commentf("%s", tc.name))
	}
}

func delta(before, after bool) int {
	switch {
	case !before && after:
		return 1
	case before && !after:
		return -1
	}
	return 0
}

func TestStepsKeepTheirPromises(t *testing.T) {
	property.Check(t, func(rt *rapid.T) {
		idempotent := rapid.Bool().Draw(rt, "idempotent")
		jb := job.New(&jobpb.JobRow{Id: "j", Team: "t", Idempotent: idempotent})
		runs := map[string]bool{}
		answered := false
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			var next job.Job
			switch rapid.IntRange(0, 4).Draw(rt, "kind") {
			case 0:
				next = start("w")(jb)
			case 1:
				next = jb.ExpireLease(1)
			case 2:
				next = jb.Cancel(1)
			default:
				run := rapid.SampledFrom([]string{"j~1", "j~2", "j~3"}).Draw(rt, "run")
				epoch := rapid.Uint64Range(1, 4).Draw(rt, "epoch")
				state := rapid.SampledFrom([]string{"running", "done", "failed", "stopped", "checkpointed", "unknown"}).Draw(rt, "state")
				next = report(run, epoch, state)(jb)
			}
			if next.Row().GetCounted() != next.Active() {
				rt.Fatalf("counted %v in %s", next.Row().GetCounted(), next.StateName())
			}
			if answered && next.Outcome() != "answered" {
				rt.Fatalf("the answer was lost in %s", next.StateName())
			}
			answered = next.Outcome() == "answered"
			if next.Row().GetRun() != "" {
				runs[next.Row().GetRun()] = true
			}
			jb = next
		}
		if !idempotent && len(runs) > 1 {
			rt.Fatalf("second run of a non-idempotent job: %v", runs)
		}
	})
}
