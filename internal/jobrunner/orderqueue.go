package jobrunner

import (
	"context"
	"sync"

	"github.com/fulmarloft/fulmarloft/internal/workpb"
)

// orderQueue sends orders to one VM, in order and one at a time over a single connection.
type orderQueue struct {
	rn *Runner

	mu      sync.Mutex
	waiting []*workpb.Order
	sending bool
}

// enqueue adds orders to the queues of their VMs.
func (rn *Runner) enqueue(ctx context.Context, orders []*workpb.Order) {
	for _, od := range orders {
		oq, ok := rn.orderQueues[od.GetVm()]
		if !ok {
			oq = &orderQueue{rn: rn}
			rn.orderQueues[od.GetVm()] = oq
		}
		oq.add(ctx, od)
	}
}

func (oq *orderQueue) add(ctx context.Context, od *workpb.Order) {
	oq.mu.Lock()
	defer oq.mu.Unlock()
	oq.waiting = append(oq.waiting, od)
	if !oq.sending {
		oq.sending = true
		go oq.run(ctx)
	}
}

func (oq *orderQueue) run(ctx context.Context) {
	unanswered := 0
	for {
		od := oq.next()
		if od == nil {
			return
		}
		sentMS := oq.rn.ck.Now()
		vd := workpb.Verdict_NOT_SENT
		if unanswered < maxUnanswered || od.GetVerb() != workpb.Verb_START {
			vd = oq.rn.sendOrder(ctx, od)
		}
		unanswered = countUnanswered(unanswered, vd)
		tookMS := oq.rn.ck.Now() - sentMS
		oq.rn.post(ctx, func() {
			oq.rn.recordCall(vd, tookMS)
			oq.rn.handleAnswer(od, vd)
		})
	}
}

// maxUnanswered is the number of consecutive unanswered orders after which queued starts are not sent; a single answer may just be lost.
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

func (oq *orderQueue) next() *workpb.Order {
	oq.mu.Lock()
	defer oq.mu.Unlock()
	if len(oq.waiting) == 0 {
		oq.waiting = nil
		oq.sending = false
		return nil
	}
	od := oq.waiting[0]
	oq.waiting = oq.waiting[1:]
	return od
}

// sendOrder sends an order; a start is not sent once the ownership lease has expired.
func (rn *Runner) sendOrder(ctx context.Context, od *workpb.Order) workpb.Verdict {
	if od.GetVerb() == workpb.Verb_START && !rn.ow.Held() {
		return workpb.Verdict_NOT_SENT
	}
	return rn.deps.Order(ctx, od)
}

func (rn *Runner) handleAnswer(od *workpb.Order, vd workpb.Verdict) {
	if vd == workpb.Verdict_FENCED {
		rn.handleFenced(od.GetVm(), od.GetToken())
		return
	}
	rn.ct.HandleVerdict(od, vd)
}
