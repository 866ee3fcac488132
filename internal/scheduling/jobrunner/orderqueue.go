package jobrunner

import (
	"context"
	"slices"
	"sync"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

// orderQueue sends orders to one VM in order. One connection carries them as long as answers come quickly and few wait; while an answer is late, or where many wait, further connections carry the orders behind it.
type orderQueue struct {
	rn *Runner

	mu      sync.Mutex
	waiting []*queuedOrder
	// stops holds the runs whose stops are waiting.
	stops   map[orderKey]bool
	senders int
	// unanswered counts the copies of orders sent since answeredMS that got no answer, since the queue was last empty.
	unanswered int
	// answeredMS is when the last answer came, meanAnswerMS the moving average of how long answers take.
	answeredMS   int64
	meanAnswerMS float64
}

// queuedOrder is an order that is to be sent.
type queuedOrder struct {
	oq *orderQueue
	od *workpb.Order
	// queuedMS is when it was queued, untilMS when it is too late to send a start.
	queuedMS int64
	untilMS  int64
	// withdrawn is set, under the queue's lock, once a start must not be sent any more.
	withdrawn bool
}

// orderKey identifies the run on a VM that an order concerns.
type orderKey struct {
	vm, task string
	run      int64
}

func newOrderKey(od *workpb.Order) orderKey {
	return orderKey{od.GetVm(), od.GetTask(), od.GetRun()}
}

const (
	// maxSenders is the maximum number of orders in flight to one VM while an answer is late.
	maxSenders = 4
	// ordersPerSender is the number of waiting orders for each of which another one is in flight, at most maxDeepSenders, so that starts don't grow too old nor stops late. Where answers take long, it is the number whose answers take lateAnswerMS in sum.
	ordersPerSender = 64
	maxDeepSenders  = 8
	// answerWeight is the weight of a new value in the moving average of answers.
	answerWeight = 0.2
	// lateAnswerMS is how long an answer may take before the next order is sent beside it.
	lateAnswerMS = 80
	// maxUnanswered is the number of unanswered copies of orders in a row after which queued starts are not sent; fewer answers may just be lost.
	maxUnanswered = 8
	// maxStartAgeMS is how long after it was handed over a start may be sent: jobcontrol counts its run from then, and allows 1 s more than an order may take to be executed.
	maxStartAgeMS = 1000
)

// enqueue adds orders to the queues of their VMs. A stop withdraws the start of the same run if that is still waiting.
func (rn *Runner) enqueue(ctx context.Context, orders []*workpb.Order) {
	for _, od := range orders {
		oq, ok := rn.orderQueues[od.GetVm()]
		if !ok {
			oq = &orderQueue{rn: rn, stops: map[orderKey]bool{}}
			rn.orderQueues[od.GetVm()] = oq
		}
		if od.GetVerb() == workpb.Verb_STOP && (rn.withdrawStart(od) || !rn.ct.StopWanted(od)) {
			continue
		}
		nowMS := rn.ck.Now()
		qo := &queuedOrder{oq: oq, od: od, queuedMS: nowMS, untilMS: nowMS + maxStartAgeMS}
		if od.GetVerb() == workpb.Verb_START {
			rn.openStarts[newOrderKey(od)] = qo
		}
		oq.add(ctx, qo)
	}
}

// withdrawStart withdraws the start of an order's run, and reports whether it was waiting.
func (rn *Runner) withdrawStart(od *workpb.Order) bool {
	key := newOrderKey(od)
	qo, ok := rn.openStarts[key]
	if !ok || !qo.withdraw() {
		return false
	}
	delete(rn.openStarts, key)
	rn.ct.HandleWithdrawn(qo.od)
	return true
}

// withdrawUnwantedStarts withdraws the starts of runs that have begun, have ended or are to be stopped, whether or not a stop is sent.
func (rn *Runner) withdrawUnwantedStarts() {
	rn.ct.EachStartOver(func(vm, task string, run int64) {
		if qo, ok := rn.openStarts[orderKey{vm, task, run}]; ok && !rn.ct.StartWanted(qo.od) {
			rn.withdrawStart(qo.od)
		}
	})
}

// withdraw keeps a start from being sent, or sent again, and reports whether it was waiting.
func (qo *queuedOrder) withdraw() bool {
	oq := qo.oq
	oq.mu.Lock()
	defer oq.mu.Unlock()
	qo.withdrawn = true
	at := slices.Index(oq.waiting, qo)
	if at < 0 {
		return false
	}
	oq.waiting = slices.Delete(oq.waiting, at, at+1)
	return true
}

// add appends an order, except for a stop that is already waiting.
func (oq *orderQueue) add(ctx context.Context, qo *queuedOrder) {
	oq.mu.Lock()
	defer oq.mu.Unlock()
	if qo.od.GetVerb() == workpb.Verb_STOP {
		if oq.stops[newOrderKey(qo.od)] {
			return
		}
		oq.stops[newOrderKey(qo.od)] = true
	}
	oq.waiting = append(oq.waiting, qo)
	oq.matchSenders(ctx)
}

// matchSenders starts one more sender if too many orders wait for those that there are; the caller holds the lock.
func (oq *orderQueue) matchSenders(ctx context.Context) {
	waiting := len(oq.waiting)
	byTime := int(float64(waiting) * oq.meanAnswerMS / lateAnswerMS)
	if waiting > 0 && oq.senders < min(1+max(waiting/ordersPerSender, byTime), maxDeepSenders) {
		oq.senders++
		go oq.run(ctx)
	}
}

// addSender starts one more sender if orders wait behind late answers.
func (oq *orderQueue) addSender(ctx context.Context) {
	oq.mu.Lock()
	defer oq.mu.Unlock()
	if len(oq.waiting) > 0 && oq.senders < maxSenders {
		oq.senders++
		go oq.run(ctx)
	}
}

// run sends waiting orders one after the other until none is left.
func (oq *orderQueue) run(ctx context.Context) {
	for {
		qo, send := oq.next()
		if qo == nil {
			return
		}
		an := orderAnswer{outcome: notSent()}
		if send {
			an = oq.send(ctx, qo)
		}
		withdrawn := oq.withdrawnUnsent(qo, an)
		waitedMS := oq.rn.ck.Now() - qo.queuedMS
		oq.rn.post(ctx, func() { oq.rn.handleOutcome(qo.od, an, withdrawn, waitedMS) })
	}
}

// withdrawnUnsent reports whether an order is a start that was withdrawn before it was sent.
func (oq *orderQueue) withdrawnUnsent(qo *queuedOrder, an orderAnswer) bool {
	oq.mu.Lock()
	defer oq.mu.Unlock()
	return an.copies == 0 && qo.withdrawn
}

// handleOutcome passes the outcome of an order, which came waitedMS after it was queued, on to the controller, on the runner's goroutine.
func (rn *Runner) handleOutcome(od *workpb.Order, an orderAnswer, withdrawn bool, waitedMS int64) {
	if od.GetVerb() == workpb.Verb_START {
		delete(rn.openStarts, newOrderKey(od))
	}
	if withdrawn || an.unsent != "" {
		rn.orderQueues[od.GetVm()].dropStop(od)
	}
	if withdrawn {
		rn.ct.HandleWithdrawn(od)
		return
	}
	if an.unsent != "" {
		rn.lg.Info("start-unsent", "vm", od.GetVm(), "task", od.GetTask(), "run", od.GetRun(), "reason", string(an.unsent), "waited-ms", waitedMS)
		rn.ct.HandleUnsent(od)
		return
	}
	rn.recordCall(od.GetZone(), an.verdict(), an.tookMS)
	rn.recordOrder(an.verdict(), an.tookMS)
	if an.copies > 1 && od.GetVerb() == workpb.Verb_START {
		rn.ct.HandleRepeated(od)
	}
	rn.handleAnswer(od, an.outcome)
}

// orderAnswer is the outcome of an order, how long the copy that decided it took, and how many copies were sent.
type orderAnswer struct {
	outcome *workpb.Outcome
	tookMS  int64
	copies  int
	// unsent is set if no copy left this entry for a reason that has nothing to do with the VM.
	unsent unsentReason
}

func (an orderAnswer) verdict() workpb.Verdict { return an.outcome.GetVerdict() }

// notSent returns the outcome of an order that was not sent.
func notSent() *workpb.Outcome { return &workpb.Outcome{Verdict: workpb.Verdict_NOT_SENT} }

// unsentReason says why a start was not sent.
type unsentReason string

const (
	unsentTooOld       unsentReason = "too-old"
	unsentLeaseExpired unsentReason = "lease-expired"
)

// send sends an order; while its answer is late, another sender takes over the orders behind it.
func (oq *orderQueue) send(ctx context.Context, qo *queuedOrder) orderAnswer {
	stopTimer := oq.rn.ck.AfterFunc(lateAnswerMS, func() { oq.addSender(ctx) })
	defer stopTimer()
	if qo.od.GetVerb() != workpb.Verb_PACE {
		return oq.sendCopies(ctx, qo)
	}
	sentMS := oq.rn.ck.Now()
	out := oq.rn.deps.Order(ctx, qo.od)
	oq.recordCopy(ctx, out.GetVerdict(), sentMS)
	return orderAnswer{outcome: out, tookMS: oq.rn.ck.Now() - sentMS, copies: 1}
}

// dropStop removes the waiting stop of an order's run, of whose start the VM has never heard.
func (oq *orderQueue) dropStop(od *workpb.Order) {
	oq.mu.Lock()
	defer oq.mu.Unlock()
	if !oq.stops[newOrderKey(od)] {
		return
	}
	delete(oq.stops, newOrderKey(od))
	oq.waiting = slices.DeleteFunc(oq.waiting, func(other *queuedOrder) bool {
		return other.od.GetVerb() == workpb.Verb_STOP && newOrderKey(other.od) == newOrderKey(od)
	})
}

// next removes the first waiting order, nil if there is none, and reports whether it is to be sent.
func (oq *orderQueue) next() (qo *queuedOrder, send bool) {
	oq.mu.Lock()
	defer oq.mu.Unlock()
	if len(oq.waiting) == 0 {
		oq.senders--
		if oq.senders == 0 {
			oq.waiting = nil
			oq.unanswered = 0
		}
		return nil, false
	}
	qo = oq.waiting[0]
	oq.waiting = oq.waiting[1:]
	if qo.od.GetVerb() == workpb.Verb_STOP {
		delete(oq.stops, newOrderKey(qo.od))
	}
	return qo, oq.unanswered < maxUnanswered || qo.od.GetVerb() != workpb.Verb_START
}

// recordCopy records the outcome of a copy that was sent at sentMS.
func (oq *orderQueue) recordCopy(ctx context.Context, vd workpb.Verdict, sentMS int64) {
	oq.mu.Lock()
	defer oq.mu.Unlock()
	oq.countUnanswered(vd, sentMS)
	oq.matchSenders(ctx)
}

// countUnanswered counts a copy by its outcome; the caller holds the lock.
func (oq *orderQueue) countUnanswered(vd workpb.Verdict, sentMS int64) {
	switch vd {
	case workpb.Verdict_NOT_SENT:
		oq.unanswered = maxUnanswered
	case workpb.Verdict_IN_DOUBT:
		if sentMS >= oq.answeredMS {
			oq.unanswered++
		}
	default:
		oq.unanswered, oq.answeredMS = 0, oq.rn.ck.Now()
		oq.meanAnswerMS += answerWeight * (float64(oq.answeredMS-sentMS) - oq.meanAnswerMS)
	}
}

// recordOrder adapts the number of starts under way to the latency of an order that was sent.
func (rn *Runner) recordOrder(vd workpb.Verdict, tookMS int64) {
	switch vd {
	case workpb.Verdict_NOT_SENT:
	case workpb.Verdict_IN_DOUBT:
		rn.starts.RecordUnanswered(rn.ck.Now())
	default:
		rn.starts.Record(rn.ck.Now(), tookMS)
	}
}

// maySend reports whether an order may be sent now, for the first time or again; only starts are withdrawn or come too late.
func (oq *orderQueue) maySend(qo *queuedOrder) bool {
	if qo.od.GetVerb() != workpb.Verb_START {
		return true
	}
	oq.mu.Lock()
	defer oq.mu.Unlock()
	return !qo.withdrawn && oq.rn.ck.Now() < qo.untilMS
}

// maySendOrder reports whether the ownership allows an order now; a start is not sent once the lease has expired.
func (rn *Runner) maySendOrder(od *workpb.Order) bool {
	return od.GetVerb() != workpb.Verb_START || rn.ow.Held()
}

func (rn *Runner) handleAnswer(od *workpb.Order, out *workpb.Outcome) {
	vd := out.GetVerdict()
	if vd == workpb.Verdict_FENCED && !rn.outdated(od.GetVm(), od.GetToken()) {
		rn.handleFenced(od.GetVm(), od.GetToken())
		return
	}
	if vd == workpb.Verdict_FENCED {
		out = &workpb.Outcome{Verdict: workpb.Verdict_IN_DOUBT}
	}
	if !rn.startAccepted && od.GetVerb() == workpb.Verb_START && vd == workpb.Verdict_ACCEPTED {
		rn.startAccepted = true
		rn.lg.Info("first-start-accepted", "token", rn.ow.Token(), "after-ms", rn.ck.Now()-rn.startMS)
	}
	rn.ct.HandleOutcome(od, out)
}
