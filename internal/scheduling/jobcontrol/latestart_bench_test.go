package jobcontrol_test

import (
	"fmt"
	"testing"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/configuration/rulesindex"
	"github.com/fulmarloft/fulmarloft/internal/observability/event"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/jobcontrol"
)

// BenchmarkPlanBesideLateStarts makes planning passes of 200 starts on 3,000 VMs, with late starts of earlier runs on each.
func BenchmarkPlanBesideLateStarts(b *testing.B) {
	for _, late := range []int{0, 10} {
		b.Run(fmt.Sprint(late), func(b *testing.B) { planBesideLateStarts(b, 3000, late) })
	}
}

func planBesideLateStarts(b *testing.B, vms, late int) {
	ck := clock.NewFake(1_000_000)
	ct := jobcontrol.New(ck, event.Discard(), 1, runLeaseMS)
	ix := testRules()
	ix.Teams = nil
	ct.SetRules(rulesindex.New(ix))
	for at := range vms {
		ct.SetVM(vmOf(fmt.Sprintf("v%d", at)))
	}
	ended := map[string][]*workpb.EndedRun{}
	poll := func() {
		for range 200 {
			ck.Advance(1)
			for _, lr := range ct.DuePolls() {
				list := ended[lr.GetVm()]
				delete(ended, lr.GetVm())
				ct.HandlePoll(lr.GetVm(), ck.Now(), &workpb.Look{BornMs: 1, ClockMs: ck.Now(), Ended: list}, workpb.Verdict_ACCEPTED)
			}
		}
	}
	poll()
	number := map[string]int64{}
	for round := range late {
		st := stepOf(int32(vms))
		st.CpuMilli, st.MaxPerVm = 8000, 1
		jb := jobOf(fmt.Sprintf("e%d", round), st)
		jb.Queue, jb.AcceptedMs = "q", ck.Now()
		ct.Submit(jb)
		for _, od := range ct.ConfirmStored(ct.Plan(true)) {
			ct.HandleRepeated(od)
			ct.HandleOutcome(od, outcome(workpb.Verdict_ACCEPTED))
			number[od.GetVm()]++
			ended[od.GetVm()] = append(ended[od.GetVm()], &workpb.EndedRun{Number: number[od.GetVm()], Task: od.GetTask(), Run: od.GetRun(), End: workpb.End_END_DONE})
		}
		poll()
	}
	for at := 0; b.Loop(); at++ {
		st := stepOf(200)
		st.CpuMilli, st.MaxPerVm = 1, 1
		jb := jobOf(fmt.Sprintf("b%d", at), st)
		jb.Queue, jb.AcceptedMs = "q", ck.Now()
		ct.Submit(jb)
		bt := ct.Plan(true)
		if at == 0 {
			b.Logf("%d rows", len(bt.Rows()))
		}
		b.StopTimer()
		for _, od := range ct.ConfirmStored(bt) {
			ct.HandleOutcome(od, outcome(workpb.Verdict_NO_ROOM))
		}
		ct.Cancel(jb.GetId())
		ct.ConfirmStored(ct.Plan(false))
		b.StartTimer()
	}
}
