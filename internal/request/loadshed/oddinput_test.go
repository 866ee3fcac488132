package loadshed_test

import (
	"math"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/request/loadshed"
)

// An estimate of any content must not make the decision on a submission fail, and the time after which its caller comes back stays within bounds.
func TestOddEstimatesDoNotStopAdmission(t *testing.T) {
	numbers := []int64{math.MinInt64, -1, 0, 1, 1000, math.MaxInt64 - 1, math.MaxInt64}
	for seed := range uint64(2000) {
		rd := rand.New(rand.NewPCG(seed, 3))
		number := func() int64 { return numbers[rd.IntN(len(numbers))] }
		sh := loadshed.New()
		qu := &workpb.Queue{Name: "q", Service: "s", Stretch: 1.5, TargetMs: 500}
		rules := &workpb.Rules{Queues: []*workpb.Queue{qu}, Teams: []*workpb.Team{{Name: "t", Weight: 1}}}
		for nowMS := int64(10_000); nowMS < 10_500; nowMS += 50 {
			tm := &workpb.TeamWait{Team: "t", WaitingCoreMs: number(), ShareLevel: int32(rd.IntN(5) - 1), CapMilli: number(), UsedMilli: number()}
			sv := &workpb.ServiceWait{Service: "s", RoomMilli: number(), BegunCoreMs: number(), Teams: []*workpb.TeamWait{tm}}
			sh.SetEstimate(&workpb.Waits{EstimatedMs: number(), Services: []*workpb.ServiceWait{sv}}, nowMS-int64(rd.IntN(100)))
			jb := &workpb.Job{Id: "j", Queue: "q", Team: "t", AcceptedMs: nowMS, Steps: []*workpb.Step{{Count: 2, CpuMilli: 1000, EstimateMs: 300}}}
			dc := sh.Decide(rules, qu, jb, nowMS, nowMS)
			if !dc.Hopeless() {
				sh.Accepted(dc, nowMS)
				continue
			}
			seconds := sh.Refused(dc, nowMS)
			qt.Assert(t, seconds >= 1 && seconds <= 10, qt.IsTrue, qt.Commentf("seed %d: %d s", seed, seconds))
		}
	}
}
