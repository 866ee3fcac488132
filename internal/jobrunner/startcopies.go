package jobrunner

import (
	"context"

	"github.com/fulmarloft/fulmarloft/internal/workpb"
)

// maxStartCopies is how often one start is sent at most.
const maxStartCopies = 4

// startCopies sends one start, and sends it again while no answer comes. A VM executes the start of a run only once, also if an earlier copy arrives last.
type startCopies struct {
	oq       *orderQueue
	od       *workpb.Order
	answers  chan workpb.Verdict
	sent     int
	inFlight int
	// inDoubt is set once a copy got no answer, refused once one certainly wasn't executed, for the reason in refusal.
	inDoubt bool
	refused bool
	refusal workpb.Verdict
}

// sendStart sends a start and returns its verdict and the number of copies that were sent.
func (oq *orderQueue) sendStart(ctx context.Context, od *workpb.Order) (vd workpb.Verdict, copies int) {
	sc := &startCopies{oq: oq, od: od, answers: make(chan workpb.Verdict, maxStartCopies)}
	return sc.send(ctx), sc.sent
}

// send returns the first answer that the start was executed. A refusal doesn't tell while another copy is in doubt: that copy's run may have ended already.
func (sc *startCopies) send(ctx context.Context) workpb.Verdict {
	sc.sendCopy(ctx)
	for sc.inFlight > 0 {
		vd, answered := sc.wait()
		switch {
		case !answered:
		case vd == workpb.Verdict_ACCEPTED || vd == workpb.Verdict_FENCED:
			return vd
		case vd == workpb.Verdict_IN_DOUBT:
			sc.inDoubt = true
		default:
			sc.refused, sc.refusal = true, vd
		}
		if sc.mayRepeat() {
			sc.sendCopy(ctx)
		}
	}
	if sc.inDoubt {
		return workpb.Verdict_IN_DOUBT
	}
	return sc.refusal
}

// sendCopy sends the start once more; its answer goes to answers, which has room for all copies.
func (sc *startCopies) sendCopy(ctx context.Context) {
	sc.sent++
	sc.inFlight++
	rn := sc.oq.rn
	sentMS := rn.ck.Now()
	go func() {
		vd := rn.sendOrder(ctx, sc.od)
		if vd == workpb.Verdict_ACCEPTED {
			rn.startRetry.Record(rn.ck.Now() - sentMS)
		}
		sc.answers <- vd
	}()
}

// wait waits for the answer to a copy, or until another copy may be sent.
func (sc *startCopies) wait() (vd workpb.Verdict, answered bool) {
	due := make(chan struct{})
	stopTimer := sc.oq.rn.ck.AfterFunc(sc.oq.rn.startRetry.MS(), func() { close(due) })
	defer stopTimer()
	select {
	case vd = <-sc.answers:
		sc.inFlight--
		return vd, true
	case <-due:
		return workpb.Verdict_IN_DOUBT, false
	}
}

// mayRepeat reports whether another copy may be sent: none was refused, and the start is still wanted.
func (sc *startCopies) mayRepeat() bool {
	if sc.sent >= maxStartCopies || sc.refused {
		return false
	}
	sc.oq.mu.Lock()
	defer sc.oq.mu.Unlock()
	return sc.oq.unanswered == 0 && !sc.oq.stopWaits(sc.od)
}
