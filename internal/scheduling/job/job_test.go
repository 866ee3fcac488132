package job_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/fulmarloft/fulmarloft/internal/pb/jobpb"
	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/job"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/size"
	"github.com/fulmarloft/fulmarloft/internal/testbed/property"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// transition is one call that changes a job.
type transition func(jb job.Job) job.Job

func start(worker string) transition {
	return func(jb job.Job) job.Job {
		next, err := jb.Start(worker, "boot-1", size.New(1, 1, 0))
		if err != nil {
			return jb
		}
		return next
	}
}

func report(run string, epoch uint64, state string) transition {
	return func(jb job.Job) job.Job {
		return jb.ApplyReport(&platformpb.TaskReport{Run: run, Epoch: epoch, State: state}, 1)
	}
}

func expireLease(jb job.Job) job.Job { return jb.ExpireLease(1) }
func cancel(jb job.Job) job.Job      { return jb.Cancel(1) }
func revertStart(jb job.Job) job.Job { return jb.RevertStart(1) }

// The result of a job must be right for every order of starts, reports, lease expiries and cancellations, and the job must count as running exactly while it is active.
func TestF8EachEndCountsOnce(t *testing.T) {
	done1 := report("j~1", 1, "done")
	cases := []struct {
		name        string
		idempotent  bool
		transitions []transition
		state       jobpb.State
		outcome     string
		code        code.Code
	}{
		{"done once", false, []transition{start("w"), done1}, jobpb.State_DONE, "answered", code.OK},
		{"done twice", false, []transition{start("w"), done1, done1}, jobpb.State_DONE, "answered", code.OK},
		{"late done of a lost run", false, []transition{start("w"), expireLease, done1, done1}, jobpb.State_DONE, "answered", code.OK},
		{"late failure of a lost run", false, []transition{start("w"), expireLease, report("j~1", 1, "failed")}, jobpb.State_FAILED, "answered", code.EndpointStatus},
		{"lost run is never restarted", false, []transition{start("w"), expireLease, start("v")}, jobpb.State_LOST, "unknown", code.WorkerLost},
		{"late done while queued again", true, []transition{start("w"), expireLease, done1}, jobpb.State_DONE, "answered", code.OK},
		{"late done while a second run runs", true, []transition{start("w"), expireLease, start("v"), done1}, jobpb.State_STARTING, "answered", code.OK},
		{"late done, then the second run stops", true, []transition{start("w"), expireLease, start("v"), done1, report("j~2", 2, "stopped")}, jobpb.State_DONE, "answered", code.OK},
		{"late done, then the second run fails", true, []transition{start("w"), expireLease, start("v"), done1, report("j~2", 2, "failed")}, jobpb.State_DONE, "answered", code.OK},
		{"late done, then the lease of the second run expires", true, []transition{start("w"), expireLease, start("v"), done1, expireLease}, jobpb.State_DONE, "answered", code.OK},
		{"failed and restarted", true, []transition{start("w"), report("j~1", 1, "failed"), start("v")}, jobpb.State_STARTING, "unknown", code.OK},
		{"failed and not restarted", false, []transition{start("w"), report("j~1", 1, "failed"), start("v")}, jobpb.State_FAILED, "answered", code.EndpointStatus},
		{"cancelled before a start", false, []transition{cancel, start("w")}, jobpb.State_CANCELLED, "not-run", code.Cancelled},
		{"cancelled while running", true, []transition{start("w"), cancel, report("j~1", 1, "stopped")}, jobpb.State_CANCELLED, "unknown", code.MayHaveRun},
		{"cancelled too late", false, []transition{start("w"), cancel, done1}, jobpb.State_DONE, "answered", code.OK},
		{"cancelled, then lease expired", false, []transition{start("w"), cancel, expireLease}, jobpb.State_LOST, "unknown", code.WorkerLost},
		{"cancelled, then lease expired, idempotent", true, []transition{start("w"), cancel, expireLease}, jobpb.State_CANCELLED, "unknown", code.MayHaveRun},
		{"not started by the worker", false, []transition{start("w"), revertStart}, jobpb.State_QUEUED, "not-run", code.OK},
		{"not started by the worker after cancel", false, []transition{start("w"), cancel, revertStart}, jobpb.State_CANCELLED, "not-run", code.Cancelled},
		{"checkpoint is continued", true, []transition{start("w"), report("j~1", 1, "checkpointed"), start("v"), report("j~2", 2, "done")}, jobpb.State_DONE, "answered", code.OK},
		{"checkpoint of a non-idempotent job", false, []transition{start("w"), report("j~1", 1, "checkpointed"), start("v")}, jobpb.State_LOST, "unknown", code.WorkerLost},
		{"checkpoint reported twice", true, []transition{start("w"), report("j~1", 1, "checkpointed"), start("v"), report("j~1", 1, "checkpointed")}, jobpb.State_STARTING, "unknown", code.OK},
		{"stopped by the worker and not restarted", false, []transition{start("w"), report("j~1", 1, "stopped"), start("v")}, jobpb.State_LOST, "unknown", code.WorkerLost},
		{"run of another job", false, []transition{start("w"), report("k~1", 1, "done")}, jobpb.State_STARTING, "unknown", code.OK},
		{"epoch never issued", false, []transition{start("w"), report("j~1", 2, "done")}, jobpb.State_STARTING, "unknown", code.OK},
		{"report before any start", false, []transition{report("j~1", 0, "done")}, jobpb.State_QUEUED, "not-run", code.OK},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			jb := job.New(&jobpb.JobRow{Id: "j", Team: "t", Idempotent: tc.idempotent})
			counted := 0
			for _, st := range tc.transitions {
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

// A job must not be started while it is active, after it ended or was cancelled, or a second time if it isn't idempotent.
func TestStartRefuses(t *testing.T) {
	cases := []struct {
		name string
		row  *jobpb.JobRow
	}{
		{"second run of a non-idempotent job", &jobpb.JobRow{Id: "j", Attempts: 1}},
		{"cancelled job", &jobpb.JobRow{Id: "j", CancelWanted: true}},
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

// In every sequence of transitions, a job must count as running exactly while it is active, keep its answer, and start at most once if it isn't idempotent. The draws are the same on every run, unless the flag rapid.seed is set.
func TestTransitionInvariants(t *testing.T) {
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
				rt.Fatalf("the job counts as running: %v, but its state is %s", next.Row().GetCounted(), next.StateName())
			}
			if answered && next.Outcome() != "answered" {
				rt.Fatalf("the answer was lost in state %s", next.StateName())
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
