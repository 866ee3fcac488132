package jobrunner

import (
	"context"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/jobcontrol"
)

// MaxStartAgeMS is how long after it was handed over a start may be sent.
const MaxStartAgeMS = maxStartAgeMS

// Enqueue hands orders over to be sent.
func (rn *Runner) Enqueue(ctx context.Context, orders ...*workpb.Order) { rn.enqueue(ctx, orders) }

// WithdrawStart withdraws the start of an order's run.
func (rn *Runner) WithdrawStart(od *workpb.Order) { rn.withdrawStart(od) }

// HandleOutcomes handles what the queues have posted so far.
func (rn *Runner) HandleOutcomes() { rn.drainEvents() }

// OpenStarts returns the number of starts whose outcome isn't known.
func (rn *Runner) OpenStarts() int { return len(rn.openStarts) }

// Controller returns the runner's controller.
func (rn *Runner) Controller() *jobcontrol.Controller { return rn.ct }

// WithinLease returns the context of a call to the machine API.
func (rn *Runner) WithinLease(ctx context.Context) (context.Context, context.CancelFunc) {
	return rn.withinLease(ctx)
}
