package scheduler_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/fulmarloft/fulmarloft/internal/pb/jobpb"
	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/pkg/code"
	"github.com/fulmarloft/fulmarloft/pkg/team"
)

// Property tests use a fixed seed so that every run makes the same draws; -rapid.seed on the command line overrides it.
func init() { _ = flag.Set("rapid.seed", "20261203") }

// chaos runs jobs while it injects faults into the table, the workers, the lease and the configuration. All faults end before the final check.
type chaos struct {
	*testBench
	rt    *rapid.T
	rnd   *rand.Rand
	ids   []string
	terms int
}

// Checks after random faults that every job ends, that its outcome agrees with what the workers ran, that job counters return to 0, and that no worker saw a violation.
func TestInvariantsUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ch := &chaos{testBench: newTestBench(t, 12, jobTeam("a", 1, 4), jobTeam("b", 2, 6)), rt: rt}
		seed := rapid.Uint64().Draw(rt, "seed")
		ch.rnd = rand.New(rand.NewPCG(seed, seed))
		for range rapid.IntRange(5, 40).Draw(rt, "events") {
			ch.event(rapid.IntRange(0, 11).Draw(rt, "event"))
			ch.run(200 * rapid.Int64Range(1, 20).Draw(rt, "steps"))
		}
		ch.clearFaults()
		ch.run(120000)
		ch.check()
	})
}

func (ch *chaos) event(kind int) {
	wk := ch.workers[fmt.Sprintf("worker-%02d", ch.rnd.IntN(12))]
	switch kind {
	case 0, 1, 2:
		ch.submitRandom()
	case 3:
		if len(ch.ids) > 0 {
			ch.cancel(ch.ids[ch.rnd.IntN(len(ch.ids))])
		}
	case 4:
		wk.dropsRequest = func(string) bool { return ch.rnd.IntN(2) == 0 }
	case 5:
		wk.dropsReply = func(string) bool { return ch.rnd.IntN(2) == 0 }
	case 6:
		wk.fails = func(string) bool { return ch.rnd.IntN(2) == 0 }
	case 7:
		wk.crashes = func(string) bool { return ch.rnd.IntN(8) == 0 }
	case 8:
		ch.setTableFaults()
	case 9:
		ch.changeHolder()
	case 10:
		ch.teamsKnown = !ch.teamsKnown
	case 11:
		if len(ch.conditions) > 8 && ch.conditions[wk.name] != nil {
			ch.drain(wk.name, ch.rnd.IntN(2) == 0)
		}
	}
}

func (ch *chaos) submitRandom() {
	for range 1 + ch.rnd.IntN(6) {
		id := fmt.Sprintf("j-%d", len(ch.ids))
		ch.ids = append(ch.ids, id)
		ch.submit(&jobpb.JobRow{
			Id: id, Team: []string{"a", "b"}[ch.rnd.IntN(2)], Class: jobpb.Class(ch.rnd.IntN(2)), Idempotent: ch.rnd.IntN(2) == 0,
			CoresMilli: 1000 + ch.rnd.Int64N(30000), MemoryMb: 1024, RunMs: 500 + ch.rnd.Int64N(8000),
		})
	}
}

func (ch *chaos) setTableFaults() {
	failureQuarters := ch.rnd.IntN(4)
	fail := func(caller string, _ bool) error {
		if caller != "caller" && caller != "test" && caller != "observer" && ch.rnd.IntN(4) < failureQuarters {
			return code.TableUnavailable
		}
		return nil
	}
	ch.tb.SetFaults(fail, fail)
}

// changeHolder passes the lease to a new scheduler; the previous one does nothing more.
func (ch *chaos) changeHolder() {
	ch.terms++
	ch.leaseHeld = false
	ch.run(400)
	ch.leaseHeld = true
	ch.sc = ch.scheduler(fmt.Sprintf("entry-%d", ch.terms+1))
}

func (ch *chaos) clearFaults() {
	ch.tb.SetFaults(nil, nil)
	ch.teamsKnown, ch.leaseHeld = true, true
	for _, wk := range ch.workers {
		wk.dropsRequest, wk.dropsReply, wk.fails, wk.crashes, wk.down = nil, nil, nil, nil, false
	}
}

func (ch *chaos) check() {
	if len(ch.violations) > 0 {
		ch.rt.Fatalf("violations: %v", ch.violations)
	}
	for _, id := range ch.ids {
		if jb := ch.job(id); !jb.Ended() {
			ch.rt.Fatalf("job %s has not ended: state %s", id, jb.StateName())
		}
		ch.checkOutcome(id)
	}
	for _, tm := range []string{"a", "b"} {
		if got := ch.storedCount(tm); got != 0 {
			ch.rt.Fatalf("team %s still counts %d running jobs", tm, got)
		}
	}
}

// checkOutcome compares the outcome reported to the caller with what happened on the workers.
func (ch *chaos) checkOutcome(id string) {
	jb, done := ch.job(id), false
	for _, wk := range ch.workers {
		for _, rn := range wk.runs {
			done = done || (rn.task.GetJob() == id && rn.state == "done")
		}
	}
	if done && jb.Status().GetState() != "done" {
		ch.rt.Fatalf("job %s is done on a worker, but its state is %s", id, jb.StateName())
	}
	if !done && jb.Status().GetState() == "done" {
		ch.rt.Fatalf("job %s has state done, but no worker finished it", id)
	}
	if jb.Outcome() == "not-run" && ch.starts[id] > 0 {
		ch.rt.Fatalf("job %s has outcome not-run, but was started %d times", id, ch.starts[id])
	}
}

// The counter row is authoritative for the team's job limit, even if it counts more jobs than are stored.
func TestCounterRowDecides(t *testing.T) {
	bn := newTestBench(t, 4, jobTeam("a", 1, 4))
	raw, err := proto.Marshal(&jobpb.JobLimitRow{Team: "a", Running: 3})
	qt.Assert(t, err, qt.IsNil)
	_, err = bn.tc.Commit(context.Background(), &platformpb.CommitRequest{Operation: "other", Writes: []*platformpb.Write{{Key: "limit/jobs/a", Value: raw}}})
	qt.Assert(t, err, qt.IsNil)
	bn.submitMany("a", 4, &jobpb.JobRow{})
	bn.run(2000)
	qt.Check(t, bn.running["a"], qt.Equals, 1)
	bn.checkNoViolations()
}

// Guards against exceeding the limit in force when a start is sent, if the limit is reduced between the commit of the start and its command.
func TestF9LimitReducedBetweenCommitAndCommand(t *testing.T) {
	bn := newTestBench(t, 4, jobTeam("a", 1, 4))
	bn.tb.SetFaults(nil, func(caller string, write bool) error {
		if caller != "entry-1" || !write {
			return nil
		}
		rep, err := bn.tb.Read(context.Background(), "observer", &platformpb.ReadRequest{Keys: []string{"limit/jobs/a"}})
		if err == nil && len(rep.GetRows()) > 0 {
			bn.teams = []team.Team{jobTeam("a", 1, 1)}
		}
		return nil
	})
	bn.submitMany("a", 4, &jobpb.JobRow{RunMs: 3000})
	bn.run(2000)
	bn.tb.SetFaults(nil, nil)
	bn.run(40000)
	for n := range 4 {
		qt.Check(t, bn.state(fmt.Sprintf("a-%d", n)), qt.Equals, "done")
	}
	bn.checkNoViolations()
}
