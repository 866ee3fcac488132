package scheduler

import (
	"context"
	"fmt"
	"sync"

	"github.com/fulmarloft/fulmarloft/internal/agenda"
	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/event"
	"github.com/fulmarloft/fulmarloft/internal/metric"
	"github.com/fulmarloft/fulmarloft/internal/placement"
	"github.com/fulmarloft/fulmarloft/internal/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/quarantine"
	"github.com/fulmarloft/fulmarloft/internal/reclaim"
	"github.com/fulmarloft/fulmarloft/internal/shape"
	"github.com/fulmarloft/fulmarloft/internal/share"
	"github.com/fulmarloft/fulmarloft/internal/table"
	"github.com/fulmarloft/fulmarloft/internal/usage"
	"github.com/fulmarloft/fulmarloft/pkg/code"
	"github.com/fulmarloft/fulmarloft/pkg/team"
)

// Scheduler drives all jobs while its lease is held; its fields are the seams to the rest of the entry and must all be set before the first Step.
type Scheduler struct {
	Clock  *clock.Clock
	Table  *table.Client
	Log    *event.Log
	Metric *metric.Registry
	// Incarnation names this run of the process in operation ids.
	Incarnation string
	// Held reports whether the scheduler lease still runs; it is asked right before each effect.
	Held func() bool
	// Teams returns the teams in force, or false while this entry can't know that they are.
	Teams func() ([]team.Team, bool)
	// Timing returns the length of a run's lease and how long ended jobs are kept, both in milliseconds.
	Timing func() (leaseMS, memoryMS int64)
	// Fleet returns the newest list of VMs.
	Fleet func() *platformpb.VMList
	// Condition returns what must hold of a VM's row while a job is placed on it, nil when the VM takes no work.
	Condition func(vm string) *platformpb.Condition
	// Draining reports whether a VM's row says that it waits for its runs to end.
	Draining func(vm string) bool
	// Send gives a worker an order; a code from 100 to 199 proves that the worker did nothing.
	Send func(ctx context.Context, vm string, task *platformpb.Task) (*platformpb.TaskReport, error)
	// Reports asks a worker for the state of its runs.
	Reports func(ctx context.Context, vm string) (*platformpb.TaskReports, error)
	// Parallel is how many workers are spoken to at once.
	Parallel int

	mu        sync.Mutex
	term      int64
	seq       int64
	st        *state
	estimator *usage.Estimator
}

// state is what one holder of the lease knows; it is rebuilt from the table by the next.
type state struct {
	jobs           map[string]*record
	dirty          map[string]*record
	counters       map[string]*counter
	hosts          map[string]*host
	preemptible    map[string]map[string]*record
	heldByTeam     map[string]int
	unsent         map[string]*record
	runsDue        *agenda.Agenda
	hostsDue       *agenda.Agenda
	inDoubt        *batch
	index          *placement.Index
	picker         *share.Picker
	ledger         *quarantine.Ledger
	shapes         *shape.Set
	ladder         *reclaim.Ladder
	fleetAsOfMS    int64
	nextSweepMS    int64
	nextReviewMS   int64
	tableReachedMS int64
	tableOutage    bool
	teams          map[string]team.Team
}

// StepMS is the pause between two steps, in milliseconds.
const StepMS = 200

// OutageLeaseMS is the length of runs' leases while the table can't be reached, so that work goes on when the scheduler lease can't be renewed.
const OutageLeaseMS = 2 * 60 * 60 * 1000

const (
	outageAfterMS         = 2000
	tableTimeoutMS        = 1000
	pollIntervalMS        = 500
	pollIntervalPerHostMS = 10
	idlePollIntervalMS    = 5000
	sendTimeoutMS         = 1000
	renewsPerLease        = 3
	ladderStepMS          = 3000
	checkpointTimeoutMS   = 2000
	startDeadlineMS       = 2000
	drainGraceMS          = 5000
	holdAfterMS           = 30 * 1000
	reviewIntervalMS      = 1000
	sweepIntervalMS       = 10 * 1000
	batchSize             = 64
	inboxBatchSize        = 256
	maxStartsPerStep      = 256
	maxCommitConflicts    = 4
	maxVictimSamples      = 32
)

// Step follows the runs, settles what changed and starts what fits; call it every StepMS. Without the lease it forgets everything.
func (sc *Scheduler) Step(ctx context.Context) error {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if !sc.Held() {
		sc.st = nil
		return code.LeaseLapsed
	}
	if sc.st == nil {
		if err := sc.rebuild(ctx); err != nil {
			sc.st = nil
			return err
		}
	}
	sc.refreshFleet()
	sc.refreshTeams()
	sc.followRuns(ctx)
	return sc.runTableSteps(ctx)
}

// settle takes the steps that need the table.
func (sc *Scheduler) runTableSteps(ctx context.Context) error {
	sub, cancel := sc.Clock.WithTimeout(ctx, tableTimeoutMS)
	defer cancel()
	for _, step := range []func(context.Context) error{sc.resolveInDoubt, sc.sendUnsent, sc.readInbox, sc.flush, sc.place, sc.sweep} {
		if err := step(sub); err != nil {
			return err
		}
	}
	return nil
}

// leaseMS returns the length of the leases to give now.
func (sc *Scheduler) runLeaseMS() int64 {
	lengthMS, _ := sc.Timing()
	if sc.st.tableOutage {
		return max(lengthMS, OutageLeaseMS)
	}
	return lengthMS
}

func (sc *Scheduler) newState() *state {
	sc.term++
	if sc.estimator == nil {
		sc.estimator = usage.New(sc.Clock)
	}
	return &state{
		jobs:           map[string]*record{},
		dirty:          map[string]*record{},
		counters:       map[string]*counter{},
		hosts:          map[string]*host{},
		preemptible:    map[string]map[string]*record{},
		heldByTeam:     map[string]int{},
		unsent:         map[string]*record{},
		runsDue:        agenda.New(),
		hostsDue:       agenda.New(),
		index:          placement.New(uint64(sc.Clock.Now())),
		picker:         share.New(),
		ledger:         quarantine.New(sc.Clock),
		shapes:         shape.New(sc.Clock),
		ladder:         reclaim.New(sc.Clock, ladderStepMS),
		fleetAsOfMS:    -1,
		tableReachedMS: sc.Clock.Now(),
		teams:          map[string]team.Team{},
	}
}

// prefix begins the operation ids of this holder's term.
func (sc *Scheduler) operationPrefix() string {
	return fmt.Sprintf("%s-jobs-%d-", sc.Incarnation, sc.term)
}

func (sc *Scheduler) nextOperation() string {
	sc.seq++
	return fmt.Sprintf("%s%d", sc.operationPrefix(), sc.seq)
}
