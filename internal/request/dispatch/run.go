package dispatch

import (
	"context"

	"github.com/fulmarloft/fulmarloft/internal/pb/callpb"
	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/request/outcome"
	"github.com/fulmarloft/fulmarloft/internal/request/refusal"
	"github.com/fulmarloft/fulmarloft/pkg/code"
	"github.com/fulmarloft/fulmarloft/pkg/service"
)

const notRun = "not-run"

// waiter is a queued request; granted receives nil once tr has the resources of the first attempt, or the error that ends the wait.
type waiter struct {
	granted chan error
	tr      *try
}

// unit is an acquired unit of a team's concurrency limit.
type unit struct {
	check   func() error
	release func(sentMS int64)
}

// run is the execution of one request in one or more attempts.
type run struct {
	dp         *Dispatcher
	svc        service.Service
	req        *callpb.Request
	deadlineMS int64
	runMS      int64
	requeues   int
	tried      []string
	results    chan *try
	inFlight   int
	lastTry    *try
	unknownTry *try
}

// try is one attempt at one endpoint; it holds a slot there and a unit of the team's limit. Only the first attempt has a queue ticket.
type try struct {
	vm     *platformpb.VM
	at     *outcome.Attempt
	sentMS int64
	ticket int64
	un     unit
	ans    *callpb.Answer
}

// execute returns nil if the endpoint refused to start the request and the request may wait for another slot.
func (rn *run) execute(tr *try) *callpb.Answer {
	rn.tried = append(rn.tried[:0], tr.vm.GetIncarnation())
	if rn.req.GetIdempotent() {
		return rn.executeHedged(tr)
	}
	for {
		tr.sentMS = rn.dp.ck.Now()
		rn.send(tr)
		if tr.ans != nil {
			return rn.successAnswer(tr)
		}
		rn.recordFailure(tr)
		if rn.shouldRequeue(tr) {
			return nil
		}
		if tr.at.Unknown() {
			return rn.failureAnswer()
		}
		if tr = rn.nextTry(); tr == nil {
			return rn.failureAnswer()
		}
	}
}

// executeHedged sends an idempotent request to another endpoint when an attempt fails or the first one stays unanswered for the hedge delay. A slower attempt keeps its slot and unit until it ends.
func (rn *run) executeHedged(first *try) *callpb.Answer {
	dp := rn.dp
	rn.results = make(chan *try, maxAttempts)
	rn.launch(first)
	hedgeDue := make(chan struct{}, 1)
	stop := dp.ck.AfterFunc(dp.hedgeDelayMS(), func() { hedgeDue <- struct{}{} })
	defer stop()
	for {
		select {
		case tr := <-rn.results:
			rn.inFlight--
			if tr.ans != nil {
				return rn.successAnswer(tr)
			}
			rn.recordFailure(tr)
			if rn.shouldRequeue(tr) {
				return nil
			}
			if next := rn.nextTry(); next != nil {
				rn.launch(next)
			} else if rn.inFlight == 0 {
				return rn.failureAnswer()
			}
		case <-hedgeDue:
			dp.ReportUnresponsive(first.vm.GetAddress(), first.sentMS)
			if next := rn.nextTry(); next != nil {
				dp.Count("hedges")
				rn.launch(next)
			}
		}
	}
}

func (rn *run) launch(tr *try) {
	rn.inFlight++
	tr.sentMS = rn.dp.ck.Now()
	go func() {
		rn.send(tr)
		rn.results <- tr
	}()
}

// shouldRequeue reports whether the request goes back to its queue. It does if its only attempt so far was refused by an endpoint whose slots are in use; the refusal pauses that slot, which limits these attempts without the retry budget.
func (rn *run) shouldRequeue(tr *try) bool {
	if tr.ticket == 0 || tr.at.Code() != code.EndpointRefused {
		return false
	}
	if rn.inFlight > 0 || len(rn.tried) > 1 || rn.requeues >= maxRequeues {
		rn.dp.qu.Failed(tr.ticket, 0)
		return false
	}
	rn.requeues++
	return true
}

// nextTry reserves what another attempt needs: remaining time, retry budget, another endpoint and a unit of the limit. It returns nil if one of them is not available.
func (rn *run) nextTry() *try {
	dp := rn.dp
	if len(rn.tried) >= maxAttempts || dp.ck.Now() >= rn.deadlineMS || rn.unsendable() {
		return nil
	}
	vm, ok := dp.pk.Pick(rn.tried...)
	if !ok {
		return nil
	}
	un, ok := dp.acquire(rn.req.GetTeam())
	if !ok {
		dp.pk.Release(vm.GetIncarnation())
		return nil
	}
	if !dp.budget.TryWithdraw() {
		un.release(0)
		dp.pk.Release(vm.GetIncarnation())
		dp.Count("retries-refused")
		return nil
	}
	dp.Count("retries")
	rn.tried = append(rn.tried, vm.GetIncarnation())
	return &try{vm: vm, un: un}
}

// unsendable reports whether the request is malformed, so that it can't be sent to any endpoint.
func (rn *run) unsendable() bool {
	return rn.lastTry != nil && rn.lastTry.at.Code() == code.HeaderMalformed
}

// send makes the attempt, then releases its slot and unit and charges its team.
func (rn *run) send(tr *try) {
	dp := rn.dp
	tr.at = outcome.New()
	left := rn.deadlineMS - tr.sentMS
	if left <= 0 {
		tr.at.Fail(code.DeadlinePassed, code.AnswerTimeout)
		dp.finishTry(rn, tr)
		return
	}
	ctx, cancel := dp.ck.WithTimeout(context.Background(), left)
	defer cancel()
	tr.ans = dp.Exchange(ctx, tr.vm.GetAddress(), rn.requestWithin(left), rn.svc.MaxAnswer(), tr.at, tr.un.check)
	dp.finishTry(rn, tr)
}

// requestWithin returns the request with its remaining time set to leftMS.
func (rn *run) requestWithin(leftMS int64) *callpb.Request {
	if rn.req.GetLeftMs() == leftMS {
		return rn.req
	}
	return &callpb.Request{
		Id: rn.req.GetId(), Service: rn.req.GetService(), Team: rn.req.GetTeam(), Method: rn.req.GetMethod(), Path: rn.req.GetPath(),
		Headers: rn.req.GetHeaders(), Body: rn.req.GetBody(), Idempotent: rn.req.GetIdempotent(), LeftMs: leftMS,
	}
}

// finishTry charges the team, releases the unit and reports the result of the attempt to the picker. A slot or unit whose request may still be running stays in use.
func (dp *Dispatcher) finishTry(rn *run, tr *try) {
	dp.chargeTeam(rn, tr)
	sentMS := int64(0)
	if tr.at.Unknown() {
		sentMS = tr.sentMS
	}
	tr.un.release(sentMS)
	inc := tr.vm.GetIncarnation()
	switch tr.at.Code() {
	case code.OK:
		dp.pk.Done(inc, true, 0)
	case code.EndpointRefused:
		dp.pk.RecordRefusal(inc)
	case code.AnswerTimeout:
		dp.pk.Done(inc, false, tr.sentMS+rn.svc.MaxRunMS())
	case code.DeadlinePassed, code.HeaderMalformed, code.LimitReached, code.KeyedWorkPaused:
		dp.pk.Release(inc)
	default:
		dp.pk.Done(inc, false, 0)
	}
}

// chargeTeam charges the team for the slot time used. Only attempts that succeeded or timed out are samples for the run time estimates.
func (dp *Dispatcher) chargeTeam(rn *run, tr *try) {
	used := dp.ck.Now() - tr.sentMS
	cd := tr.at.Code()
	switch {
	case tr.ticket == 0:
		dp.qu.Charge(rn.req.GetTeam(), used)
	case cd == code.EndpointRefused:
		// shouldRequeue decides what happens to the ticket.
	case cd == code.OK || cd == code.AnswerTimeout:
		dp.qu.Done(tr.ticket, used)
	default:
		dp.qu.Failed(tr.ticket, used)
	}
}

func (rn *run) successAnswer(tr *try) *callpb.Answer {
	tr.ans.SentMs = tr.sentMS
	return tr.ans
}

// recordFailure keeps the first attempt that may have run, because no later attempt can rule that out.
func (rn *run) recordFailure(tr *try) {
	rn.lastTry = tr
	if tr.at.Unknown() && rn.unknownTry == nil {
		rn.unknownTry = tr
	}
}

func (rn *run) failureAnswer() *callpb.Answer {
	tr := rn.lastTry
	if rn.unknownTry != nil {
		tr = rn.unknownTry
	}
	cd := tr.at.Code()
	ans := &callpb.Answer{Id: rn.req.GetId(), Outcome: tr.at.String(), Code: int32(cd), Status: int32(cd.Status()), Detail: tr.at.Detail()}
	if rn.unknownTry != nil {
		ans.SentMs = tr.sentMS
		return ans
	}
	if !rn.unsendable() {
		ans.RetryAfterMs = refusal.After(rn.dp.qu.WaitMS(rn.req.GetTeam()))
	}
	return ans
}
