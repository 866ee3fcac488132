package jobcontrol_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

// A ticket is valid for the life of the VM for which it was requested, whether it was answered before or after the restart.
func TestTicketIsNotUsedAfterARestartOfItsVM(t *testing.T) {
	for _, tc := range []struct {
		name        string
		answerFirst bool
	}{
		{"answered before the restart", true},
		{"answered after the restart", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			fl := newFleet(t, vmOf("a"))
			rules := testRules()
			rules.Queues[0].Advised = true
			fl.setRules(rules)
			fl.run(settledMS)
			fl.submit(jobOf("j1", stepOf(1)))
			var requests []*workpb.AdviceRequest
			for len(requests) == 0 {
				fl.run(stepMS)
				requests = fl.ct.AdviceRequests()
			}
			answer := func(rq *workpb.AdviceRequest, text string) {
				fl.ct.HandleAdvice(rq, fl.ck.Now(), &workpb.Advice{Tickets: map[string]string{"a": text}, ValidMs: 60_000})
			}
			sent := ""
			fl.beforeOrder = func(od *workpb.Order) { sent += od.GetTicket() }
			if tc.answerFirst {
				answer(requests[0], "first")
			}
			fl.workers["a"].Restart()
			fl.register("a")
			fl.pollAll()
			if !tc.answerFirst {
				answer(requests[0], "first")
			}
			fl.run(2000)
			qt.Assert(t, sent, qt.Equals, "")
			requests = fl.ct.AdviceRequests()
			qt.Assert(t, requests, qt.HasLen, 1)
			answer(requests[0], "second")
			fl.run(400)
			qt.Assert(t, sent, qt.Equals, "second")
		})
	}
}
