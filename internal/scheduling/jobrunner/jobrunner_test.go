package jobrunner_test

import (
	"context"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/membership/ownership"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/store/rowstore"
	"github.com/fulmarloft/fulmarloft/internal/testbed/rowstoretest"
)

// dropEveryThirdAnswer applies every commit but loses the answer to each third one.
func dropEveryThirdAnswer(si *simulation) {
	count := 0
	si.st.SetCommitOutcome(func(*rowstore.Tx) rowstoretest.Outcome {
		count++
		if count%3 == 0 {
			return rowstoretest.AnswerLost
		}
		return rowstoretest.Served
	})
}

// Jobs must complete after the loss of the owner or faults of the store, and no task may run twice at once or again after it was done.
func TestJobsCompleteAcrossOwnerChanges(t *testing.T) {
	for _, tc := range []struct {
		name    string
		disturb func(si *simulation)
	}{
		{"undisturbed", func(*simulation) {}},
		{"owner killed", func(si *simulation) { si.kill("one") }},
		{"owner stopped gracefully", func(si *simulation) { si.entries["one"].cancel() }},
		{"owner cut off from the store", func(si *simulation) { si.entries["one"].setCut(true) }},
		{"all killed and restarted", func(si *simulation) {
			si.kill("one")
			si.kill("two")
			si.wait(1500)
			si.start("one")
			si.start("two")
		}},
		{"store down for four seconds", func(si *simulation) {
			si.st.SetDown(true)
			si.wait(4000)
			si.st.SetDown(false)
		}},
		{"history dropped", func(si *simulation) { si.st.DropHistory() }},
		{"answer to every third commit lost", dropEveryThirdAnswer},
	} {
		t.Run(tc.name, func(t *testing.T) {
			simulate(t, func(si *simulation) {
				si.start("one")
				si.wait(500)
				si.start("two")
				si.wait(500)
				for at := range 10 {
					si.submit(fmt.Sprintf("%015d%d", 0, at), 4)
				}
				si.wait(300)
				tc.disturb(si)
				si.wait(14_000)
				for at := range 10 {
					qt.Check(t, si.state(fmt.Sprintf("%015d%d", 0, at)), qt.Equals, workpb.State_COMPLETED)
				}
			})
		})
	}
}

// The offsets stop the owner at different moments of a commit in flight.
func TestPlannedHandoverIsFast(t *testing.T) {
	for offsetMS := int64(1); offsetMS < 80; offsetMS += 4 {
		simulate(t, func(si *simulation) {
			si.st.SetLatency(40)
			si.start("one")
			si.wait(500)
			si.start("two")
			si.wait(500)
			for at := range 8 {
				si.submit(fmt.Sprintf("%014d%02d", 0, at), 1)
				si.wait(5)
			}
			si.wait(offsetMS)
			si.entries["one"].cancel()
			si.submit("00000000000000aa", 1)
			si.wait(900)
			qt.Assert(t, si.state("00000000000000aa"), qt.Equals, workpb.State_RUNNING, qt.Commentf("offset %d", offsetMS))
		})
	}
}

func TestLostOwnerIsReplacedWithinThreeSeconds(t *testing.T) {
	simulate(t, func(si *simulation) {
		si.start("one")
		si.wait(500)
		si.start("two")
		si.wait(500)
		si.kill("one")
		si.submit("00000000000000aa", 1)
		si.wait(3000)
		qt.Assert(t, si.state("00000000000000aa"), qt.Equals, workpb.State_RUNNING)
	})
}

// Machines without work must be moved to the standby pool, and none while runs are on it.
func TestSpareMachinesArePoweredOff(t *testing.T) {
	simulate(t, func(si *simulation) {
		si.start("one")
		si.submit("00000000000000aa", 2)
		si.wait(40_000)
		qt.Assert(t, si.state("00000000000000aa"), qt.Equals, workpb.State_COMPLETED)
		si.mu.Lock()
		defer si.mu.Unlock()
		qt.Assert(t, len(si.moves) >= 3, qt.IsTrue, qt.Commentf("moves of machines to pools: %v", si.moves))
	})
}

// An order to a machine that gets no answer must be given up before a successor can be the owner, since a machine may not check fencing tokens.
func TestMoveOrdersEndWithTheLease(t *testing.T) {
	simulate(t, func(si *simulation) {
		si.movesHang = true
		si.start("one")
		si.submit("00000000000000aa", 2)
		for range 400 {
			si.wait(100)
			if si.lastMoveEnd() > 0 {
				break
			}
		}
		qt.Check(t, si.lastMoveEnd() > 0, qt.IsTrue, qt.Commentf("no move order was given up"))
		si.entries["one"].setCut(true)
		cutMS := si.ck.Now()
		si.wait(5000)
		lateMS := si.lastMoveEnd() - cutMS
		qt.Check(t, lateMS <= ownership.LeaseMS, qt.IsTrue, qt.Commentf("given up %d ms after the cut", lateMS))
	})
}

func (si *simulation) lastMoveEnd() int64 {
	si.mu.Lock()
	defer si.mu.Unlock()
	return si.lastMoveEndMS
}

// owner returns the entry named in the ownership row.
func (si *simulation) owner() string {
	list, _, err := si.st.Rowstore().ReadAll(context.Background(), "ownership", ownership.Partition)
	qt.Assert(si.t, err, qt.IsNil)
	row := &workpb.Ownership{}
	qt.Assert(si.t, proto.Unmarshal(list[0].Value(), row), qt.IsNil)
	return row.GetEntry()
}

// An owner whose calls to VMs are much delayed must hand over to another entry; a slight delay must not cause a handover.
func TestOwnerOnASlowMachineYields(t *testing.T) {
	for _, tc := range []struct {
		name   string
		slowMS int64
		owner  string
	}{
		{"not slowed down", 0, "one"},
		{"slightly slow", 100, "one"},
		{"too slow", 500, "two"},
	} {
		simulate(t, func(si *simulation) {
			si.start("one")
			si.wait(500)
			si.start("two")
			si.wait(3000)
			si.entries["one"].setSlow(tc.slowMS)
			for at := range 40 {
				si.submit(fmt.Sprintf("%014d%02d", 0, at), 1)
				si.wait(100)
			}
			si.wait(500)
			qt.Check(t, si.owner(), qt.Equals, tc.owner, qt.Commentf(tc.name))
			si.entries["one"].setSlow(0)
			si.wait(10_000)
			qt.Check(t, si.state(fmt.Sprintf("%014d%02d", 0, 39)), qt.Equals, workpb.State_COMPLETED, qt.Commentf(tc.name))
		})
	}
}

// A load that is too high for every entry must not pass the ownership around: each change of owner interrupts all work.
func TestOverloadOfAllEntriesKeepsTheOwner(t *testing.T) {
	simulate(t, func(si *simulation) {
		si.start("one")
		si.wait(500)
		si.start("two")
		si.start("three")
		si.wait(16_000)
		for _, en := range si.entries {
			en.setSlow(500)
		}
		changes := 0
		last := si.owner()
		for at := range 100 {
			si.submit(fmt.Sprintf("%014d%02d", 0, at), 2)
			si.wait(200)
			if current := si.owner(); current != last {
				changes++
				last = current
			}
		}
		qt.Check(t, changes <= 2, qt.IsTrue, qt.Commentf("%d changes of owner in 20 s", changes))
		for _, en := range si.entries {
			en.setSlow(0)
		}
	})
}
