package jobrunner_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/intake"
)

const maxHandoverDelayMS = 3000

func (si *simulation) setUnavailable(partition string) {
	si.mu.Lock()
	defer si.mu.Unlock()
	si.unavailable = partition
}

func (si *simulation) isUnavailable(partition string) bool {
	si.mu.Lock()
	defer si.mu.Unlock()
	return si.unavailable != "" && si.unavailable == partition
}

// Guards against an outage of scheduling after a planned stop: while a partition of the store can't be read, no successor can restore, so the owner must go on scheduling for as long as it may.
func TestStoppedOwnerSchedulesWhileTheStoreFails(t *testing.T) {
	simulate(t, func(si *simulation) {
		si.start("one")
		si.wait(500)
		si.start("two")
		si.wait(500)
		si.setUnavailable(intake.Partition("f"))
		si.entries["one"].cancel()
		si.wait(maxHandoverDelayMS / 2)
		si.submit("00000000000000aa", 1)
		si.wait(300)
		qt.Check(t, si.state("00000000000000aa"), qt.Equals, workpb.State_RUNNING)
		si.setUnavailable("")
		si.submit("00000000000000ab", 1)
		si.wait(900)
		qt.Check(t, si.state("00000000000000ab"), qt.Equals, workpb.State_RUNNING)
		qt.Check(t, si.owner(), qt.Equals, "two")
	})
}

// Guards against an entry that can't be stopped while the store fails: it must hand over once it may not schedule any longer.
func TestStoppedOwnerHandsOverInTime(t *testing.T) {
	simulate(t, func(si *simulation) {
		si.start("one")
		si.wait(500)
		si.setUnavailable(intake.Partition("f"))
		si.entries["one"].cancel()
		si.wait(maxHandoverDelayMS + 200)
		select {
		case <-si.entries["one"].ended:
		default:
			t.Error("the entry still schedules")
		}
	})
}
