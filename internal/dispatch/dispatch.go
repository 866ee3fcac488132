package dispatch

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/fulmarloft/fulmarloft/internal/callpb"
	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/outcome"
	"github.com/fulmarloft/fulmarloft/internal/picker"
	"github.com/fulmarloft/fulmarloft/internal/queue"
	"github.com/fulmarloft/fulmarloft/internal/refusal"
	"github.com/fulmarloft/fulmarloft/internal/retrybudget"
	"github.com/fulmarloft/fulmarloft/pkg/code"
	"github.com/fulmarloft/fulmarloft/pkg/service"
)

// Dispatcher carries out the requests of one service; its exported fields are the seams to the rest of the entry and must be set before use.
type Dispatcher struct {
	// Service returns the service as the configuration in force describes it.
	Service func() service.Service
	// Exchange sends a request to the endpoint at an address at most once; ready is asked right before the first byte and may forbid it.
	Exchange func(ctx context.Context, address string, req *callpb.Request, maxAnswer int64, at *outcome.Attempt, ready func() error) *callpb.Answer
	// Silent tells that an exchange with the address has had no answer for long.
	Silent func(address string, sinceMS int64)
	// Take takes one unit of a team's upper limit without waiting, nil functions when there is none. Check is asked right before the first byte is sent; release gives the unit back and is told when the request was sent if it may still be running, else 0.
	Take func(team string, longestMS int64) (check func() error, release func(sentMS int64))
	// Count counts an event of the service.
	Count func(name string)

	ck     *clock.Clock
	qu     *queue.Queue[*waiter]
	pk     *picker.Picker
	budget *retrybudget.Budget
	mu     sync.Mutex
	taken  unit
	// longestMS is the longest that any request of the service so far may run, whatever later bundles say.
	longestMS atomic.Int64
}

const (
	mostAttempts    = 3
	mostRequeues    = 8
	leastHedgeMS    = 20
	unknownHedgeMS  = 1_000
	noEndpointAfter = 500
)

// New returns a dispatcher over the endpoints of a picker; share gives a team's weight and limit how many of its requests may run at this entry.
func New(ck *clock.Clock, pk *picker.Picker, share, limit func(team string) int) *Dispatcher {
	dp := &Dispatcher{ck: ck, pk: pk, budget: retrybudget.New(ck)}
	dp.qu = queue.New(ck, 0, func(wt *waiter, err error) { wt.granted <- err })
	dp.qu.SetSlots(pk.Slots)
	dp.qu.SetShare(share)
	dp.qu.SetLimit(limit)
	pk.OnFree(dp.Wake)
	return dp
}

// Do carries out one request and returns its whole answer, or a refusal with its outcome; the caller's going away ends the wait but not a run.
func (dp *Dispatcher) Do(ctx context.Context, req *callpb.Request) *callpb.Answer {
	start := dp.ck.Now()
	svc := dp.Service()
	if svc.Name() == "" {
		return refuse(req, code.ServiceUnknown, 0)
	}
	rn := &run{dp: dp, svc: svc, req: req, deadlineMS: start + req.GetLeftMs()}
	dp.noteLongest(svc.LongestMS())
	dp.budget.Request()
	ans, err := dp.serve(ctx, rn)
	if err != nil {
		ans = refuse(req, code.Of(err), refusal.RetryAfterMS(err))
	}
	ans.RunMs = rn.ranMS
	ans.WaitMs = dp.ck.Now() - start - rn.ranMS
	return ans
}

// serve waits and runs, and waits again while endpoints refuse to start the request because their slots are in use.
func (dp *Dispatcher) serve(ctx context.Context, rn *run) (*callpb.Answer, error) {
	if !dp.pk.Usable() {
		return nil, refusal.New(code.NoEndpoint, noEndpointAfter)
	}
	wt := &waiter{granted: make(chan error, 1)}
	dp.qu.SetMax(rn.svc.MaxQueued())
	id, err := dp.qu.Push(rn.req.GetTeam(), rn.deadlineMS, wt)
	if err != nil {
		return nil, err
	}
	for {
		if err := dp.wait(ctx, rn, wt, id); err != nil {
			return nil, err
		}
		start := dp.ck.Now()
		ans := rn.carryOut(wt.tr)
		rn.ranMS = dp.ck.Now() - start
		if ans != nil {
			return ans, nil
		}
		dp.Count("refused-by-endpoint")
		dp.qu.Requeue(id)
	}
}

// Wake starts as many waiting requests as there are free slots and units; call it when units of a limit have arrived.
func (dp *Dispatcher) Wake() {
	dp.mu.Lock()
	defer dp.mu.Unlock()
	for dp.qu.Len() > 0 {
		vm, ok := dp.pk.Pick()
		if !ok {
			return
		}
		id, wt, ok := dp.qu.Next(dp.takeNext)
		if !ok {
			dp.pk.Cancel(vm.GetIncarnation())
			return
		}
		wt.tr = &try{vm: vm, ticket: id, un: dp.taken}
		wt.granted <- nil
	}
}

// Waiting returns how many requests wait.
func (dp *Dispatcher) Waiting() int { return dp.qu.Len() }

// WaitMS returns the estimated wait of a new request of the team.
func (dp *Dispatcher) WaitMS(team string) int64 { return dp.qu.WaitMS(team) }

// wait returns once the request has a slot, an endpoint and a unit of its team's limit.
func (dp *Dispatcher) wait(ctx context.Context, rn *run, wt *waiter, id int64) error {
	dp.Wake()
	select {
	case err := <-wt.granted:
		return err
	case <-ctx.Done():
	}
	if dp.qu.Cancel(id) {
		return dp.ended(rn)
	}
	if err := <-wt.granted; err != nil {
		return err
	}
	dp.giveBack(wt.tr)
	return dp.ended(rn)
}

func (dp *Dispatcher) ended(rn *run) error {
	if dp.ck.Now() >= rn.deadlineMS {
		return code.DeadlinePassed
	}
	return code.Cancelled
}

func (dp *Dispatcher) giveBack(tr *try) {
	dp.qu.Undo(tr.ticket)
	tr.un.release(0)
	dp.pk.Release(tr.vm.GetIncarnation())
}

// takeNext keeps the unit for Wake, under whose lock it is called.
func (dp *Dispatcher) takeNext(team string) bool {
	var ok bool
	dp.taken, ok = dp.take(team)
	return ok
}

func (dp *Dispatcher) take(team string) (un unit, ok bool) {
	if team == "" {
		return unit{check: always, release: func(int64) {}}, true
	}
	un.check, un.release = dp.Take(team, dp.longestMS.Load())
	return un, un.release != nil
}

func (dp *Dispatcher) noteLongest(ms int64) {
	for {
		old := dp.longestMS.Load()
		if ms <= old || dp.longestMS.CompareAndSwap(old, ms) {
			return
		}
	}
}

func always() error { return nil }

func (dp *Dispatcher) hedgeMS() int64 {
	long := dp.qu.TailRunMS()
	if long == 0 {
		return unknownHedgeMS
	}
	return max(long, leastHedgeMS)
}

func refuse(req *callpb.Request, cd code.Code, afterMS int64) *callpb.Answer {
	return &callpb.Answer{Id: req.GetId(), Outcome: notRun, Code: int32(cd), Status: int32(cd.Status()), RetryAfterMs: afterMS}
}
