package jobcontrol_test

import (
	"cmp"
	"slices"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

const (
	// repeatAfterMS is when a start without an answer is sent again, up to maxCopies times in all.
	repeatAfterMS = 60
	maxCopies     = 4
	// besideAfterMS is when the next order is sent beside one whose answer is late, up to maxInFlight at once.
	besideAfterMS = 80
	maxInFlight   = 4
	// maxUnansweredOrders is the number of orders without an answer in a row after which waiting starts aren't sent.
	maxUnansweredOrders = 2
	maxLatencyMS        = 40
	maxSlowAnswerMS     = 900
)

// startQueue holds the orders that wait to be sent to one VM, and when those under way were sent.
type startQueue struct {
	waiting    []*workpb.Order
	inFlight   map[*sentOrder]int64
	unanswered int
}

// sentOrder is an order that is under way, with the copies sent so far.
type sentOrder struct {
	od       *workpb.Order
	qu       *startQueue
	copies   int
	open     int
	inDoubt  bool
	refusal  *workpb.Outcome
	refused  bool
	answered bool
	// incarnation and known are the VM's incarnation and that of which the owner knew when the order was sent.
	incarnation int
	known       int
	sentMS      int64
}

func (hs *history) enqueue(orders []*workpb.Order) {
	slices.SortStableFunc(orders, func(one, other *workpb.Order) int {
		return cmp.Or(cmp.Compare(one.GetVm(), other.GetVm()), cmp.Compare(one.GetTask(), other.GetTask()), cmp.Compare(one.GetRun(), other.GetRun()))
	})
	for _, od := range orders {
		hs.checkEvacuated(od)
		qu, ok := hs.queues[od.GetVm()]
		if !ok {
			qu = &startQueue{inFlight: map[*sentOrder]int64{}}
			hs.queues[od.GetVm()] = qu
		}
		if od.GetVerb() == workpb.Verb_STOP && qu.withdraw(od) {
			hs.ct.HandleWithdrawn(od)
			continue
		}
		qu.waiting = append(qu.waiting, od)
	}
}

func concernsRun(verb workpb.Verb, of *workpb.Order) func(*workpb.Order) bool {
	return func(od *workpb.Order) bool {
		return od.GetVerb() == verb && od.GetTask() == of.GetTask() && od.GetRun() == of.GetRun()
	}
}

func (qu *startQueue) withdraw(stop *workpb.Order) bool {
	at := slices.IndexFunc(qu.waiting, concernsRun(workpb.Verb_START, stop))
	if at < 0 {
		return false
	}
	qu.waiting = slices.Delete(qu.waiting, at, at+1)
	return true
}

// free reports whether another order may be sent now.
func (qu *startQueue) free(nowMS int64) bool {
	if len(qu.inFlight) >= maxInFlight {
		return false
	}
	for _, sentMS := range qu.inFlight {
		if nowMS-sentMS < besideAfterMS {
			return false
		}
	}
	return true
}

func (hs *history) sendWaiting(qu *startQueue) {
	for len(qu.waiting) > 0 && qu.free(hs.ck.Now()) {
		od := qu.waiting[0]
		qu.waiting = qu.waiting[1:]
		if od.GetVerb() == workpb.Verb_START && qu.unanswered >= maxUnansweredOrders {
			hs.ct.HandleOutcome(od, outcome(workpb.Verdict_NOT_SENT))
			continue
		}
		so := &sentOrder{od: od, qu: qu, sentMS: hs.ck.Now()}
		qu.inFlight[so] = hs.ck.Now()
		hs.sendCopy(so)
	}
	if len(qu.waiting) == 0 && len(qu.inFlight) == 0 {
		qu.unanswered = 0
	}
}

// sendCopy sends an order once; a start without an answer is sent again after a while.
func (hs *history) sendCopy(so *sentOrder) {
	so.copies++
	so.open++
	hs.calls++
	call := hs.calls
	if ht := hs.hostOf(so.od.GetVm()); ht != nil {
		so.incarnation, so.known = ht.incarnation, ht.knownIncarnation
	}
	sent := *so
	execute := func() *workpb.Outcome { return hs.execute(&sent) }
	ht := hs.listening(so.od.GetAddress())
	switch {
	case ht == nil && hs.draw(2, "dark", call) == 0:
		hs.answerCopy(so, 0, outcome(workpb.Verdict_NOT_SENT))
	case ht == nil || ht.cut || hs.hits(lostOrders, call):
		hs.answerCopy(so, answerTimeoutMS, outcome(workpb.Verdict_IN_DOUBT))
	case hs.hits(lateOrders, call):
		hs.after(minLateMS+hs.draw(maxLateMS-minLateMS, "late", call), func() { execute() })
		hs.answerCopy(so, answerTimeoutMS, outcome(workpb.Verdict_IN_DOUBT))
	case hs.hits(lostAnswers, call):
		hs.after(hs.arrivalMS(call), func() { execute() })
		hs.answerCopy(so, answerTimeoutMS, outcome(workpb.Verdict_IN_DOUBT))
	default:
		hs.after(hs.arrivalMS(call), func() { hs.answerCopy(so, hs.latency(call), execute()) })
	}
	if so.od.GetVerb() == workpb.Verb_START {
		hs.restartBeneath(ht)
		hs.toOwner(repeatAfterMS, func() { hs.repeat(so) })
	}
}

// latency returns how long an answer takes.
func (hs *history) latency(call int64) int64 {
	if hs.hits(slowAnswers, call) {
		return hs.draw(maxSlowAnswerMS, "slow", call)
	}
	return hs.draw(maxLatencyMS, "answers", call)
}

func (hs *history) repeat(so *sentOrder) {
	stopped := slices.ContainsFunc(so.qu.waiting, concernsRun(workpb.Verb_STOP, so.od))
	if so.answered || so.refused || so.copies >= maxCopies || so.qu.unanswered > 0 || stopped {
		return
	}
	hs.sendCopy(so)
}

// listening returns the VM that runs at an address.
func (hs *history) listening(address string) *host {
	for _, ht := range hs.hosts {
		if ht.vm.GetAddress() == address && !ht.down && !ht.gone {
			return ht
		}
	}
	return nil
}

// execute executes a copy of an order at its address, if a VM runs there by then.
func (hs *history) execute(so *sentOrder) *workpb.Outcome {
	ht := hs.listening(so.od.GetAddress())
	if ht == nil || ht.cut {
		return outcome(workpb.Verdict_IN_DOUBT)
	}
	if ht.vm.GetId() != so.od.GetVm() {
		return outcome(workpb.Verdict_OTHER_VM)
	}
	hs.executing = so
	oc := ht.wk.Answer(so.od)
	hs.executing = nil
	if so.od.GetVerb() == workpb.Verb_START && oc.GetVerdict() == workpb.Verdict_ACCEPTED {
		hs.silenceAfterStart(ht)
	}
	return oc
}

// answerCopy delivers the outcome of one copy; the order is answered once a copy was accepted or none is left.
func (hs *history) answerCopy(so *sentOrder, delayMS int64, oc *workpb.Outcome) {
	if oc.GetVerdict() == workpb.Verdict_IN_DOUBT {
		delayMS = max(delayMS, answerTimeoutMS)
	}
	hs.toOwner(delayMS, func() {
		if so.answered {
			return
		}
		so.open--
		switch oc.GetVerdict() {
		case workpb.Verdict_ACCEPTED, workpb.Verdict_FENCED:
			hs.answerOrder(so, oc)
			return
		case workpb.Verdict_IN_DOUBT:
			so.inDoubt = true
		default:
			so.refused, so.refusal = true, oc
		}
		switch {
		case so.open > 0:
		case so.inDoubt:
			hs.answerOrder(so, outcome(workpb.Verdict_IN_DOUBT))
		default:
			hs.answerOrder(so, so.refusal)
		}
	})
}

func (hs *history) answerOrder(so *sentOrder, oc *workpb.Outcome) {
	so.answered = true
	delete(so.qu.inFlight, so)
	switch oc.GetVerdict() {
	case workpb.Verdict_NOT_SENT:
		so.qu.unanswered = maxUnansweredOrders
	case workpb.Verdict_IN_DOUBT:
		so.qu.unanswered++
	default:
		so.qu.unanswered = 0
	}
	if so.copies > 1 {
		hs.ct.HandleRepeated(so.od)
	}
	switch {
	case oc.GetVerdict() != workpb.Verdict_FENCED:
		hs.ct.HandleOutcome(so.od, oc)
	case so.od.GetToken() < hs.ct.TokenOf(so.od.GetVm()):
		hs.ct.HandleOutcome(so.od, outcome(workpb.Verdict_IN_DOUBT))
	}
}

func (hs *history) sendPoll(lr *workpb.LookRequest) {
	hs.calls++
	call, sentMS := hs.calls, hs.ck.Now()
	answer := func(delayMS int64, lk *workpb.Look, vd workpb.Verdict) {
		hs.toOwner(delayMS, func() {
			hs.ct.HandlePoll(lr.GetVm(), sentMS, lk, vd)
			hs.noteKnown(lr.GetVm(), lk.GetBornMs())
		})
	}
	ht := hs.listening(lr.GetAddress())
	lost := hs.hits(lostPolls, call)
	switch {
	case ht == nil && hs.draw(2, "dark", call) == 0:
		answer(0, nil, workpb.Verdict_NOT_SENT)
	case ht != nil && !ht.cut && hs.latePoll(lr, call):
		answer(answerTimeoutMS, nil, workpb.Verdict_IN_DOUBT)
	case ht == nil || ht.cut || (lost && hs.draw(2, "unexecuted", call) == 0):
		answer(answerTimeoutMS, nil, workpb.Verdict_IN_DOUBT)
	default:
		hs.after(hs.arrivalMS(call), func() {
			lk, vd := hs.executePoll(lr)
			if lost || vd == workpb.Verdict_IN_DOUBT {
				answer(answerTimeoutMS, nil, workpb.Verdict_IN_DOUBT)
				return
			}
			answer(hs.latency(call), lk, vd)
		})
	}
}

func (hs *history) executePoll(lr *workpb.LookRequest) (*workpb.Look, workpb.Verdict) {
	ht := hs.listening(lr.GetAddress())
	if ht == nil || ht.cut {
		return nil, workpb.Verdict_IN_DOUBT
	}
	if ht.vm.GetId() != lr.GetVm() {
		return nil, workpb.Verdict_OTHER_VM
	}
	lk, vd := ht.wk.Poll(lr)
	if vd == workpb.Verdict_ACCEPTED {
		hs.noteAcknowledged(ht, lr.GetAcknowledged())
	}
	return lk, vd
}
