package jobcontrol_test

import (
	"fmt"
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

// adviser handles one request at a time, in turn, like the advice service; a caller that has waited for too long gets no answer, and the request takes its time all the same.
type adviser struct {
	fl *fleet
	// takesMS is how long a request takes.
	takesMS int64
	freeMS  int64
	answers []adviserAnswer
}

type adviserAnswer struct {
	rq            *workpb.AdviceRequest
	sentMS, dueMS int64
	ad            *workpb.Advice
}

const (
	adviserTimeoutMS  = 3000
	adviserMaxWaiting = 32
	adviserValidMS    = 3000
)

// step takes the requests of the controller and gives it the answers that are due.
func (av *adviser) step() {
	nowMS := av.fl.ck.Now()
	for _, rq := range av.fl.ct.AdviceRequests() {
		if av.freeMS-nowMS > adviserMaxWaiting*av.takesMS {
			av.answers = append(av.answers, adviserAnswer{rq: rq, sentMS: nowMS, dueMS: nowMS})
			continue
		}
		av.freeMS = max(av.freeMS, nowMS) + av.takesMS
		an := adviserAnswer{rq: rq, sentMS: nowMS, dueMS: nowMS + adviserTimeoutMS}
		if av.freeMS-nowMS < adviserTimeoutMS {
			an.dueMS, an.ad = av.freeMS, &workpb.Advice{Tickets: map[string]string{}, ValidMs: adviserValidMS}
			for _, id := range rq.GetVms() {
				an.ad.Tickets[id] = "ticket"
			}
		}
		av.answers = append(av.answers, an)
	}
	var later []adviserAnswer
	for _, an := range av.answers {
		if an.dueMS > nowMS {
			later = append(later, an)
			continue
		}
		av.fl.ct.HandleAdvice(an.rq, an.sentMS, an.ad)
	}
	av.answers = later
}

// Guards against a queue on which no job starts any more after a burst: as many requests for advice as steps were under way, so that each answer came after its caller had given up.
func TestJobsOnAnAdvisedQueueStartAfterABurst(t *testing.T) {
	const jobs, takesMS = 60, 145
	fl := newFleet(t, vmOf("a"), vmOf("b"), vmOf("c"))
	rules := testRules()
	rules.Queues[0].Advised = true
	fl.setRules(rules)
	fl.setBehavior(300, workpb.End_END_DONE)
	fl.run(settledMS)
	av := &adviser{fl: fl, takesMS: takesMS}
	for at := range jobs {
		fl.submit(jobOf(fmt.Sprint("j", at), stepOf(1)))
	}
	for range 2 * jobs * takesMS / stepMS {
		fl.run(stepMS)
		av.step()
	}
	done := 0
	for id := range fl.jobs {
		if fl.state(id) == workpb.State_COMPLETED {
			done++
		}
	}
	qt.Check(t, done, qt.Equals, jobs)
}
