package jobrunner

import (
	"context"

	"github.com/fulmarloft/fulmarloft/internal/membership/sendcheck"
	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

// maxOrderCopies is how often one start or stop is sent at most.
const maxOrderCopies = 6

// orderCopies sends one start or stop, and sends it again while no answer comes. A VM executes the start of a run only once, also if an earlier copy arrives last, and never after a stop of that run.
type orderCopies struct {
	oq       *orderQueue
	qo       *queuedOrder
	answers  chan orderAnswer
	sent     int
	inFlight int
	// inDoubt is set once a copy got no answer, refused once one certainly wasn't executed.
	inDoubt bool
	refused bool
}

// sendCopies sends a start or stop until its outcome is known or too many copies got no answer.
func (oq *orderQueue) sendCopies(ctx context.Context, qo *queuedOrder) orderAnswer {
	oc := &orderCopies{oq: oq, qo: qo, answers: make(chan orderAnswer, maxOrderCopies)}
	an := oc.send(ctx)
	an.copies = oc.sent
	return an
}

// send returns the first answer that the order was executed. A refusal doesn't tell while another copy is in doubt: that copy's run may have ended already.
func (oc *orderCopies) send(ctx context.Context) orderAnswer {
	oc.sendCopy(ctx)
	refusal, doubt := oc.unsent(), orderAnswer{}
	for oc.inFlight > 0 {
		an, answered := oc.wait()
		switch {
		case !answered:
		case an.unsent != "":
			oc.refused = true
			if refusal.unsent != "" {
				refusal = an
			}
		case an.verdict() == workpb.Verdict_ACCEPTED || an.verdict() == workpb.Verdict_FENCED:
			return an
		case an.verdict() == workpb.Verdict_IN_DOUBT:
			oc.inDoubt, doubt = true, an
		default:
			oc.refused, refusal = true, an
		}
		if oc.mayRepeat() {
			oc.sendCopy(ctx)
		}
	}
	if oc.inDoubt {
		return doubt
	}
	return refusal
}

// sendCopy sends the order once more, unless it may not be sent any more; its answer goes to answers, which has room for all copies.
func (oc *orderCopies) sendCopy(ctx context.Context) {
	if !oc.oq.maySend(oc.qo) {
		return
	}
	oc.sent++
	oc.inFlight++
	rn := oc.oq.rn
	sentMS := rn.ck.Now()
	// The call may wait for a connection, or for another entry that doesn't pass it on.
	allowed := func() bool { return rn.maySendOrder(oc.qo.od) && oc.oq.maySend(oc.qo) }
	checked := sendcheck.With(ctx, allowed)
	go func() {
		if !rn.maySendOrder(oc.qo.od) {
			oc.answers <- oc.unsent()
			return
		}
		out := rn.deps.Order(checked, oc.qo.od)
		vd := out.GetVerdict()
		if vd == workpb.Verdict_NOT_SENT && !allowed() {
			oc.answers <- oc.unsent()
			return
		}
		tookMS := rn.ck.Now() - sentMS
		if vd == workpb.Verdict_ACCEPTED {
			rn.startRetry.Record(tookMS)
		}
		oc.oq.recordCopy(ctx, vd, sentMS)
		oc.answers <- orderAnswer{outcome: out, tookMS: tookMS}
	}()
}

// unsent returns the outcome of an order of which no copy was sent.
func (oc *orderCopies) unsent() orderAnswer {
	reason := unsentTooOld
	if !oc.oq.rn.maySendOrder(oc.qo.od) {
		reason = unsentLeaseExpired
	}
	return orderAnswer{outcome: notSent(), unsent: reason}
}

// wait waits for the answer to a copy, or until another copy may be sent.
func (oc *orderCopies) wait() (an orderAnswer, answered bool) {
	due := make(chan struct{})
	stopTimer := oc.oq.rn.ck.AfterFunc(oc.oq.rn.startRetry.MS(), func() { close(due) })
	defer stopTimer()
	select {
	case an = <-oc.answers:
		oc.inFlight--
		return an, true
	case <-due:
		return orderAnswer{}, false
	}
}

// mayRepeat reports whether another copy may be sent: none was refused, and the VM doesn't seem to be silent.
func (oc *orderCopies) mayRepeat() bool {
	if oc.sent >= maxOrderCopies || oc.refused {
		return false
	}
	oc.oq.mu.Lock()
	defer oc.oq.mu.Unlock()
	return oc.oq.unanswered < maxUnanswered
}
