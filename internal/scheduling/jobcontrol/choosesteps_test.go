package jobcontrol

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/observability/event"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

// Guards against a job being chosen by whichever of its ready steps comes first: the one that must start earliest decides whether it fits.
func TestJobIsChosenByItsEarliestReadyStep(t *testing.T) {
	ck := clock.NewFake(1000)
	ct := New(ck, event.Discard(), 1, 1000)
	jb := newJob(&workpb.Job{
		Id: "job", AcceptedMs: 1000, AcceptedUnder: &workpb.Queue{Name: "q", Stretch: 1.6, TargetMs: 600},
		Steps: []*workpb.Step{{Count: 1, CpuMilli: 100, EstimateMs: 100}, {Count: 1, CpuMilli: 100, EstimateMs: 3000}},
	})
	jb.addOccurrence()
	oc := jb.occurrences[0]
	list := []candidate{{st: oc.steps[0], tier: tierOnTime, latestMS: 6000, objectiveMS: 5400}, {st: oc.steps[1], tier: tierOnTime, latestMS: 3100, objectiveMS: 5400}}
	ct.chooseStarts("s", list, ck.Now())
	qt.Check(t, ct.undecided[oc], qt.Equals, int64(3100))
}
