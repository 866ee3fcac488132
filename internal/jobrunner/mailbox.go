package jobrunner

import (
	"context"
	"sync"

	"github.com/fulmarloft/fulmarloft/internal/workpb"
)

// mailbox sends one VM its orders, one after the other over one connection.
type mailbox struct {
	rn *Runner

	mu      sync.Mutex
	waiting []*workpb.Order
	busy    bool
}

// send hands orders to the mailboxes of their VMs.
func (rn *Runner) send(ctx context.Context, orders []*workpb.Order) {
	for _, od := range orders {
		mb, ok := rn.outbox[od.GetVm()]
		if !ok {
			mb = &mailbox{rn: rn}
			rn.outbox[od.GetVm()] = mb
		}
		mb.add(ctx, od)
	}
}

func (mb *mailbox) add(ctx context.Context, od *workpb.Order) {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	mb.waiting = append(mb.waiting, od)
	if !mb.busy {
		mb.busy = true
		go mb.run(ctx)
	}
}

func (mb *mailbox) run(ctx context.Context) {
	unanswered := 0
	for {
		od := mb.next()
		if od == nil {
			return
		}
		sentMS := mb.rn.ck.Now()
		vd := workpb.Verdict_NOT_SENT
		if unanswered < maxUnanswered || od.GetVerb() != workpb.Verb_START {
			vd = mb.rn.order(ctx, od)
		}
		unanswered = countUnanswered(unanswered, vd)
		tookMS := mb.rn.ck.Now() - sentMS
		mb.rn.post(ctx, func() {
			mb.rn.noteCall(vd, tookMS)
			mb.rn.answered(od, vd)
		})
	}
}

// maxUnanswered is after how many orders in a row without an answer the starts that wait aren't sent; single answers may get lost.
const maxUnanswered = 2

func countUnanswered(count int, vd workpb.Verdict) int {
	switch vd {
	case workpb.Verdict_NOT_SENT:
		return maxUnanswered
	case workpb.Verdict_IN_DOUBT:
		return count + 1
	default:
		return 0
	}
}

func (mb *mailbox) next() *workpb.Order {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	if len(mb.waiting) == 0 {
		mb.waiting = nil
		mb.busy = false
		return nil
	}
	od := mb.waiting[0]
	mb.waiting = mb.waiting[1:]
	return od
}

// order sends an order unless the lease that covers it has lapsed.
func (rn *Runner) order(ctx context.Context, od *workpb.Order) workpb.Verdict {
	if od.GetVerb() == workpb.Verb_START && !rn.ow.Held() {
		return workpb.Verdict_NOT_SENT
	}
	return rn.ln.Order(ctx, od)
}

func (rn *Runner) answered(od *workpb.Order, vd workpb.Verdict) {
	if vd == workpb.Verdict_FENCED {
		rn.fenced(od.GetVm(), od.GetToken())
		return
	}
	rn.ct.HandleVerdict(od, vd)
}
