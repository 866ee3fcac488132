package dispatch

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/pb/callpb"
	"github.com/fulmarloft/fulmarloft/internal/request/outcome"
	"github.com/fulmarloft/fulmarloft/internal/request/picker"
	"github.com/fulmarloft/fulmarloft/internal/request/queue"
	"github.com/fulmarloft/fulmarloft/internal/request/refusal"
	"github.com/fulmarloft/fulmarloft/internal/request/retrybudget"
	"github.com/fulmarloft/fulmarloft/pkg/code"
	"github.com/fulmarloft/fulmarloft/pkg/service"
)

// Dispatcher queues and carries out the requests of one service; its exported fields are callbacks that must be set before use.
type Dispatcher struct {
	// Service returns the service as described by the configuration in force.
	Service func() service.Service
	// Exchange sends a request at most once to the endpoint at an address. It calls beforeSend right before the first byte and sends nothing if that returns an error.
	Exchange func(ctx context.Context, address string, req *callpb.Request, maxAnswer int64, at *outcome.Attempt, beforeSend func() error) *callpb.Answer
	// ReportUnresponsive reports that an exchange with the address, begun at sinceMS, has had no answer for the hedge delay.
	ReportUnresponsive func(address string, sinceMS int64)
	// AcquireUnit acquires one unit of a team's concurrency limit without waiting, and returns nil functions if none is free. Call check right before the first byte is sent. Call release to return the unit, with the time at which the request was sent if it may still be running, or else 0.
	AcquireUnit func(team string, maxRunMS int64) (check func() error, release func(sentMS int64))
	// Count increments a counter of the service.
	Count func(name string)

	ck       *clock.Clock
	qu       *queue.Queue[*waiter]
	pk       *picker.Picker
	listener int
	budget   *retrybudget.Budget
	mu       sync.Mutex
	acquired unit
	// maxRunMS is the longest time that any request of the service so far may run; a later bundle with a smaller value does not lower it.
	maxRunMS atomic.Int64
}

const (
	maxAttempts            = 3
	maxRequeues            = 8
	minHedgeDelayMS        = 20
	defaultHedgeDelayMS    = 1_000
	noEndpointRetryAfterMS = 500
)

// New returns a dispatcher over the endpoints of a picker. The share function returns a team's weight, and limit returns how many of its requests may run at once on this entry.
func New(ck *clock.Clock, pk *picker.Picker, share, limit func(team string) int) *Dispatcher {
	dp := &Dispatcher{ck: ck, pk: pk, budget: retrybudget.New(ck)}
	dp.qu = queue.New(ck, 0, func(wt *waiter, err error) { wt.granted <- err })
	dp.qu.SetSlots(pk.Slots)
	dp.qu.SetShare(share)
	dp.qu.SetLimit(limit)
	dp.listener = pk.OnFree(dp.Wake)
	return dp
}

// Do carries out one request and returns its complete answer, or a refusal with its outcome. Cancelling ctx ends the wait in the queue, but not an execution that has started.
func (dp *Dispatcher) Do(ctx context.Context, req *callpb.Request) *callpb.Answer {
	start := dp.ck.Now()
	svc := dp.Service()
	if svc.Name() == "" {
		return refuse(req, code.ServiceUnknown, 0)
	}
	rn := &run{dp: dp, svc: svc, req: req, deadlineMS: start + req.GetLeftMs()}
	dp.raiseMaxRun(svc.MaxRunMS())
	dp.budget.Deposit()
	ans, err := dp.serve(ctx, rn)
	if err != nil {
		ans = refuse(req, code.Of(err), refusal.RetryAfterMS(err))
	}
	ans.RunMs = rn.runMS
	ans.WaitMs = dp.ck.Now() - start - rn.runMS
	return ans
}

// serve queues the request and executes it once it is granted, and requeues it when an endpoint refuses to start it because its slots are in use.
func (dp *Dispatcher) serve(ctx context.Context, rn *run) (*callpb.Answer, error) {
	if !dp.pk.Usable() {
		return nil, refusal.New(code.NoEndpoint, noEndpointRetryAfterMS)
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
		ans := rn.execute(wt.tr)
		rn.runMS = dp.ck.Now() - start
		if ans != nil {
			return ans, nil
		}
		dp.Count("refused-by-endpoint")
		dp.qu.Requeue(id)
	}
}

// Wake starts waiting requests while there are free slots and units; call it when units of a limit become available.
func (dp *Dispatcher) Wake() {
	if unused := dp.startWaiting(); unused != "" {
		dp.pk.Cancel(unused)
	}
}

// startWaiting starts waiting requests and returns the endpoint of a reservation for which none could be started, to be cancelled without the lock.
func (dp *Dispatcher) startWaiting() (unused string) {
	dp.mu.Lock()
	defer dp.mu.Unlock()
	for dp.qu.Len() > 0 {
		vm, ok := dp.pk.PickFor(dp.listener)
		if !ok {
			return ""
		}
		id, wt, ok := dp.qu.Next(dp.acquireNext)
		if !ok {
			return vm.GetIncarnation()
		}
		wt.tr = &try{vm: vm, ticket: id, un: dp.acquired}
		wt.granted <- nil
	}
	return ""
}

// Waiting returns the number of waiting requests.
func (dp *Dispatcher) Waiting() int { return dp.qu.Len() }

// WaitMS returns the estimated wait of a new request of the team.
func (dp *Dispatcher) WaitMS(team string) int64 { return dp.qu.WaitMS(team) }

// wait returns once the request has a slot at an endpoint and a unit of its team's limit, or an error if it left the queue without them.
func (dp *Dispatcher) wait(ctx context.Context, rn *run, wt *waiter, id int64) error {
	dp.Wake()
	select {
	case err := <-wt.granted:
		return err
	case <-ctx.Done():
	}
	if dp.qu.Cancel(id) {
		return dp.waitError(rn)
	}
	if err := <-wt.granted; err != nil {
		return err
	}
	dp.abandon(wt.tr)
	return dp.waitError(rn)
}

func (dp *Dispatcher) waitError(rn *run) error {
	if dp.ck.Now() >= rn.deadlineMS {
		return code.DeadlinePassed
	}
	return code.Cancelled
}

// abandon returns the resources of a granted request that is not going to be sent.
func (dp *Dispatcher) abandon(tr *try) {
	dp.qu.Undo(tr.ticket)
	tr.un.release(0)
	dp.pk.Release(tr.vm.GetIncarnation())
}

// acquireNext leaves the unit in dp.acquired for Wake, which holds the lock during the call.
func (dp *Dispatcher) acquireNext(team string) bool {
	var ok bool
	dp.acquired, ok = dp.acquire(team)
	return ok
}

func (dp *Dispatcher) acquire(team string) (un unit, ok bool) {
	if team == "" {
		return unit{check: noCheck, release: func(int64) {}}, true
	}
	un.check, un.release = dp.AcquireUnit(team, dp.maxRunMS.Load())
	return un, un.release != nil
}

func (dp *Dispatcher) raiseMaxRun(ms int64) {
	for {
		old := dp.maxRunMS.Load()
		if ms <= old || dp.maxRunMS.CompareAndSwap(old, ms) {
			return
		}
	}
}

func noCheck() error { return nil }

// hedgeDelayMS returns how long an idempotent request stays unanswered before it is also sent to another endpoint.
func (dp *Dispatcher) hedgeDelayMS() int64 {
	tailMS := dp.qu.TailRunMS()
	if tailMS == 0 {
		return defaultHedgeDelayMS
	}
	return max(tailMS, minHedgeDelayMS)
}

func refuse(req *callpb.Request, cd code.Code, afterMS int64) *callpb.Answer {
	return &callpb.Answer{Id: req.GetId(), Outcome: notRun, Code: int32(cd), Status: int32(cd.Status()), RetryAfterMs: afterMS}
}
